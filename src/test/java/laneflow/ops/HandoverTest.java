package laneflow.ops;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** The handover protocol without I/O: messages, disconnects, crashes and time in any interleaving. */
class HandoverTest {
    /** A process that records the callbacks of its handover. */
    private final class Process implements Handover.Callbacks {
        final Handover handover = new Handover(this);
        final TreeSet<String> bans = new TreeSet<>();
        boolean dead;
        boolean hangs;
        boolean acceptsClients;
        boolean sendsClientsAway;
        int socketClaims;
        Handover.Role role = Handover.Role.ALONE;

        @Override
        public void acceptClients(boolean on) {
            acceptsClients = on;
        }

        @Override
        public void sendClientsAway(boolean on) {
            sendsClientsAway = on;
        }

        @Override
        public void roleChanged(Handover.Role newRole) {
            role = newRole;
        }

        @Override
        public void claimSocket() {
            socketClaims++;
            socketOwner = this;
        }

        @Override
        public void findPeer() {
            if (socketOwner != null && socketOwner != this && !socketOwner.dead && !socketOwner.hangs) {
                connect(this, socketOwner);
            } else if (socketOwner != this) {
                claimSocket();
            }
        }

        @Override
        public void applyOrder(String order) {
            String name = order.substring(order.indexOf(' ') + 1);
            if (order.startsWith("set-down ")) {
                bans.add(name);
            } else {
                bans.remove(name);
            }
        }

        @Override
        public void reloadOrders() {
            bans.clear();
            bans.addAll(banFile);
        }

        void order(String endpointName) {
            bans.add(endpointName);
            banFile.add(endpointName);
        }

        @Override
        public List<String> currentOrders() {
            return bans.stream().map(name -> "set-down " + name).toList();
        }

        @Override
        public List<String> heldIds() {
            return List.of();
        }

        @Override
        public void learnId(String id, long milliseconds) {
            throw new AssertionError("no id was taken");
        }
    }

    /** One end of a connection; what it sends is queued at the other end until it is delivered. */
    private final class ConnectionEnd implements Handover.Connection {
        final Process owner;
        ConnectionEnd peer;
        final ArrayDeque<String> incoming = new ArrayDeque<>();
        boolean closed;
        boolean closeDelivered;

        ConnectionEnd(Process owner) {
            this.owner = owner;
        }

        @Override
        public void send(String line) {
            if (!closed) {
                peer.incoming.add(line);
            }
        }

        @Override
        public void close() {
            closed = true;
        }
    }

    /** The process that later processes connect to. */
    private Process socketOwner;
    /** The stored bans that all processes share. */
    private final TreeSet<String> banFile = new TreeSet<>();

    private long now = 1_000_000;
    private final List<ConnectionEnd> ends = new ArrayList<>();

    private ConnectionEnd connect(Process from, Process to) {
        ConnectionEnd a = new ConnectionEnd(from);
        ConnectionEnd b = new ConnectionEnd(to);
        a.peer = b;
        b.peer = a;
        ends.add(a);
        ends.add(b);
        to.handover.successorConnected(now, b);
        from.handover.predecessorConnected(now, a);
        return a;
    }

    /** Delivers one message, or the close of the connection, to this end; false if there is none. */
    private boolean deliver(ConnectionEnd end) {
        if (end.owner.dead || end.owner.hangs || end.closed) {
            return false;
        }
        if (!end.incoming.isEmpty()) {
            end.owner.handover.receive(now, end, end.incoming.poll());
            return true;
        }
        if ((end.peer.closed || end.peer.owner.dead) && !end.closeDelivered) {
            end.closeDelivered = true;
            end.owner.handover.disconnected(now, end);
            return true;
        }
        return false;
    }

    private void deliverAll() {
        boolean more = true;
        while (more) {
            more = false;
            for (ConnectionEnd end : new ArrayList<>(ends)) {
                more |= deliver(end);
            }
        }
    }

    /** Connects the successor, lets it serve, and delivers all messages. */
    private void takeOver(Process successor, Process predecessor) {
        connect(successor, predecessor);
        deliverAll();
        successor.handover.startServing(now);
        deliverAll();
    }

    private void advance(long micros, Process... processes) {
        for (long end = now + micros; now < end; now += 50_000) {
            for (Process process : processes) {
                if (!process.dead && !process.hangs) {
                    process.handover.tick(now);
                }
            }
            deliverAll();
        }
    }

    @Test
    void predecessorStopsOnlyOnceSuccessorServesAndPassesItsOrdersOn() {
        Process predecessor = new Process();
        Process successor = new Process();
        predecessor.handover.startServing(now);
        predecessor.order("s-1");
        connect(successor, predecessor);
        deliverAll();
        assertTrue(predecessor.acceptsClients && !successor.acceptsClients && !successor.handover.isAwaitingOrders());
        assertEquals(predecessor.bans, successor.bans);
        assertFalse(successor.handover.isInPlace(now));
        successor.handover.startServing(now);
        assertTrue(successor.acceptsClients && predecessor.acceptsClients);
        deliverAll();
        assertTrue(successor.handover.isInPlace(now) && predecessor.handover.isSuperseded());
        assertTrue(!predecessor.acceptsClients && predecessor.sendsClientsAway);
        assertEquals(Handover.Role.NEWER, successor.role);
        assertEquals(Handover.Role.OLDER, predecessor.role);
        assertEquals(1, successor.socketClaims);
        assertEquals(successor, socketOwner);
    }

    @Test
    void orderIsConfirmedOnlyOnceBothHaveIt() {
        Process predecessor = new Process();
        Process successor = new Process();
        predecessor.handover.startServing(now);
        ConnectionEnd end = connect(successor, predecessor);
        deliverAll();
        List<Boolean> confirmations = new ArrayList<>();
        predecessor.order("s-2");
        predecessor.handover.broadcastOrder(now, "set-down s-2", confirmations::add);
        assertTrue(confirmations.isEmpty());
        deliverAll();
        assertEquals(List.of(true), confirmations);
        assertTrue(successor.bans.contains("s-2"));
        successor.hangs = true;
        predecessor.handover.broadcastOrder(now, "set-down s-3", confirmations::add);
        advance(800_000, predecessor, successor);
        assertEquals(List.of(true, false), confirmations);
        predecessor.handover.broadcastOrder(now, "set-down s-4", confirmations::add);
        successor.dead = true;
        successor.hangs = false;
        end.close();
        deliverAll();
        assertEquals(List.of(true, false, true), confirmations);
    }

    @Test
    void predecessorTakesClientsAgainWhenSuccessorDiesOrHangs() {
        for (boolean hangs : new boolean[] {true, false}) {
            socketOwner = null;
            Process predecessor = new Process();
            Process successor = new Process();
            predecessor.handover.startServing(now);
            takeOver(successor, predecessor);
            assertFalse(predecessor.acceptsClients);
            successor.hangs = hangs;
            successor.dead = !hangs;
            advance(Handover.SILENCE_TIMEOUT_US + 200_000, predecessor, successor);
            assertTrue(predecessor.acceptsClients
                    && !predecessor.sendsClientsAway
                    && !predecessor.handover.isSuperseded());
            assertEquals(Handover.Role.ALONE, predecessor.role);
            assertEquals(predecessor, socketOwner);
        }
    }

    @Test
    void otherVersionIsDisconnectedAndHangingPredecessorNotWaitedFor() {
        Process predecessor = new Process();
        predecessor.handover.startServing(now);
        ConnectionEnd foreign = new ConnectionEnd(new Process());
        foreign.peer = new ConnectionEnd(predecessor);
        foreign.peer.peer = foreign;
        predecessor.handover.successorConnected(now, foreign.peer);
        predecessor.handover.receive(now, foreign.peer, "laneflow-handover 2");
        assertTrue(foreign.peer.closed && predecessor.acceptsClients);
        assertEquals(List.of(Handover.HELLO), new ArrayList<>(foreign.incoming));

        predecessor.hangs = true;
        Process successor = new Process();
        connect(successor, predecessor);
        successor.handover.startServing(now);
        assertTrue(successor.acceptsClients);
        assertFalse(successor.handover.isInPlace(now));
        advance(600_000, predecessor, successor);
        assertTrue(successor.handover.isInPlace(now));
    }

    @Test
    void thirdProcessTakesOverFromTheSecond() {
        Process[] processes = {new Process(), new Process(), new Process()};
        processes[0].handover.startServing(now);
        connect(processes[1], processes[0]);
        // Only one successor at a time: the second is disconnected, and connects to the one in place later.
        ConnectionEnd late = connect(processes[2], processes[0]);
        assertTrue(late.peer.closed);
        deliverAll();
        processes[1].handover.startServing(now);
        deliverAll();
        connect(processes[2], processes[1]);
        deliverAll();
        processes[2].handover.startServing(now);
        deliverAll();
        assertTrue(processes[2].acceptsClients && !processes[1].acceptsClients && !processes[0].acceptsClients);
        List<Boolean> confirmations = new ArrayList<>();
        processes[0].handover.broadcastOrder(now, "set-down s-9", confirmations::add);
        deliverAll();
        assertEquals(List.of(true), confirmations);
        assertTrue(processes[2].bans.contains("s-9"));
    }

    /** After all messages are delivered, some process accepts clients, and confirmed orders are in force in each. */
    @Test
    void someProcessTakesClientsAndConfirmedOrdersHoldInAnyInterleaving() {
        for (int seed = 0; seed < 3000; seed++) {
            Random random = new Random(seed);
            ends.clear();
            banFile.clear();
            socketOwner = null;
            Process predecessor = new Process();
            Process successor = new Process();
            Process[] both = {predecessor, successor};
            predecessor.handover.startServing(now);
            predecessor.handover.tick(now);
            connect(successor, predecessor);
            TreeSet<String> confirmed = new TreeSet<>();
            int killed = -1;
            for (int step = 0; step < 60; step++) {
                int action = random.nextInt(12);
                Process process = both[random.nextInt(2)];
                if (action < 6) {
                    deliver(ends.get(random.nextInt(ends.size())));
                } else if (action < 8) {
                    now += random.nextInt(200_000);
                    if (!process.dead && !process.hangs) {
                        process.handover.tick(now);
                    }
                } else if (action == 8 && !successor.dead) {
                    successor.handover.startServing(now);
                } else if (action == 9 && !process.dead && !process.hangs) {
                    String name = "s-" + step;
                    process.order(name);
                    process.handover.broadcastOrder(now, "set-down " + name, isConfirmed -> {
                        if (isConfirmed) {
                            confirmed.add(name);
                        }
                    });
                } else if (action == 10 && random.nextInt(20) == 0 && killed < 0) {
                    killed = random.nextInt(2);
                    both[killed].dead = true;
                } else if (action == 11 && random.nextInt(10) == 0 && !successor.dead) {
                    successor.hangs = !successor.hangs;
                }
            }
            successor.hangs = false;
            if (!successor.dead) {
                successor.handover.startServing(now);
            }
            advance(4_000_000, predecessor, successor);
            boolean clientsAccepted = false;
            for (Process each : both) {
                clientsAccepted |= each.acceptsClients && !each.dead;
                if (!each.dead) {
                    assertTrue(
                            each.bans.containsAll(confirmed),
                            "seed " + seed + ": " + confirmed + " not in " + each.bans);
                }
            }
            assertTrue(clientsAccepted, "seed " + seed);
            if (!predecessor.dead && !successor.dead) {
                // The successor has taken over, even if either was disconnected while it hung.
                assertTrue(
                        predecessor.handover.isSuperseded() && !predecessor.acceptsClients && successor.acceptsClients,
                        "seed " + seed);
                assertEquals(predecessor.bans, successor.bans, "seed " + seed);
            }
            if (killed >= 0 && !both[1 - killed].dead) {
                assertEquals(Handover.Role.ALONE, both[1 - killed].role, "seed " + seed);
                assertFalse(both[1 - killed].sendsClientsAway, "seed " + seed);
            }
        }
    }

    /**
     * Three processes: the second loses its predecessor, and looks for another process just when the third takes over.
     * It took the third for a predecessor, so that both handed over to each other and both ended.
     */
    @Test
    void successorIsNeverTakenForPredecessor() {
        for (long gap = 0; gap <= 600_000; gap += 50_000) {
            socketOwner = null;
            Process predecessor = new Process();
            Process successor = new Process();
            Process third = new Process();
            predecessor.handover.startServing(now);
            takeOver(successor, predecessor);
            predecessor.dead = true;
            deliverAll();
            advance(gap, successor);
            takeOver(third, successor);
            advance(1_500_000, successor, third);
            assertTrue(third.acceptsClients && !third.handover.isSuperseded(), "gap " + gap);
            assertTrue(successor.handover.isSuperseded(), "gap " + gap);
        }
    }
}
