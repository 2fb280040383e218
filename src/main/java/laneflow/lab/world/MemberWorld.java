package laneflow.lab.world;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.IntPredicate;
import laneflow.membership.decision.MemberInstance;
import laneflow.membership.decision.MemberMetadata;
import laneflow.membership.decision.Message;
import laneflow.membership.decision.MessageCodec;
import laneflow.membership.decision.Seal;
import laneflow.membership.decision.State;
import laneflow.membership.decision.Swim;
import laneflow.membership.decision.SwimTimings;
import laneflow.membership.decision.Update;

/**
 * Simulates a fleet of members in virtual time. The members run the production membership classes; an in-memory
 * network loses, delays, duplicates and blocks their datagrams. Nothing sleeps, so a simulated minute of a thousand
 * members takes seconds. The same seed gives the same run. Times are in microseconds.
 */
public final class MemberWorld {
    private static final long START_MICROS = 1_000_000;
    private static final int RECEIVE_BUFFER_DATAGRAMS = 512;
    private static final int PORT = 7000;
    private static final long FIRST_GENERATION = 1_700_000_000_000L;

    /** A datagram's arrival at a member, or a member's timer if there is no message. */
    private record Event(long at, long sequence, int to, int startNumber, InetSocketAddress from, Message message) {}

    private final class Node implements Swim.Environment {
        private final int number;
        private final int startNumber;
        private final Swim swim;
        private final ArrayDeque<Event> buffer = new ArrayDeque<>();
        private boolean stalled;
        private long wakeAt = Long.MAX_VALUE;
        private final Map<String, Integer> counts = new HashMap<>();

        private Node(int number, int startNumber, String name, List<InetSocketAddress> seeds) {
            this.number = number;
            this.startNumber = startNumber;
            swim = new Swim(
                    MemberInstance.of(
                            name, FIRST_GENERATION + clockOffsetMs + now / 1000 + startNumber, address(number)),
                    metadata(number),
                    seeds,
                    times,
                    codec,
                    random.nextLong(),
                    now,
                    this);
        }

        @Override
        public void send(InetSocketAddress to, Message message) {
            transmit(number, to, message);
        }

        @Override
        public boolean sendRecords(String name, List<Update.MemberRecord> records) {
            return false;
        }

        @Override
        public void memberChanged(Update.MemberRecord before, Update.MemberRecord after) {
            changeListener.changed(number, before, after);
        }

        @Override
        public void count(String counter) {
            counts.merge(counter, 1, Integer::sum);
        }
    }

    /** Is called for each change of a member's view. */
    public interface ChangeListener {
        void changed(int observer, Update.MemberRecord before, Update.MemberRecord now);
    }

    private final SwimTimings times;
    private final MessageCodec codec = new MessageCodec(Seal.MAX_DATAGRAM_BYTES - Seal.OVERHEAD_BYTES);
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.sequence, b.sequence));
    private final Node[] nodes;
    private final int[] startCounts;
    private final Map<InetSocketAddress, Integer> indexByAddress = new HashMap<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private long now = START_MICROS;
    private long sequence;
    private long clockOffsetMs;
    private long sent;
    private long bytes;
    private int largestDatagram;
    private double lossRate;
    private double duplicationRate;
    private long delayMicros = 200;
    private long jitterMicros = 300;
    private Partition partition = (from, to) -> false;
    private ChangeListener changeListener = (observer, before, after) -> {};

    /** Decides whether datagrams from one member to another are blocked. */
    public interface Partition {
        boolean blocks(int from, int to);
    }

    /** Creates a fleet with this many member slots, none of which runs a member yet. */
    public MemberWorld(int slots, SwimTimings times, long seed) {
        this.times = times;
        random = new SplittableRandom(seed);
        nodes = new Node[slots];
        startCounts = new int[slots];
        for (int i = 0; i < slots; i++) {
            try {
                addresses.add(new InetSocketAddress(
                        InetAddress.getByAddress(new byte[] {10, (byte) (i >> 16), (byte) (i >> 8), (byte) i}), PORT));
            } catch (UnknownHostException e) {
                throw new IllegalStateException("a four-byte array is a valid IPv4 address", e);
            }
            indexByAddress.put(addresses.get(i), i);
        }
    }

    private static MemberMetadata metadata(int number) {
        return new MemberMetadata("zone-" + number % 3, "1.0", null, 7, MemberMetadata.Condition.READY, 3, 5, false);
    }

    public InetSocketAddress address(int i) {
        return addresses.get(i);
    }

    public long now() {
        return now;
    }

    public int size() {
        return nodes.length;
    }

    // ---- members: start, stop and stall ----

    /** Starts a member in that slot with the members of these slots as its seeds. A slot's default name is fixed. */
    public void start(int i, int... seeds) {
        startAs(i, "n" + i, seeds);
    }

    /** Starts a member whose wall clock is off by this many milliseconds. */
    public void startWithClock(int i, long offsetMs, int... seeds) {
        clockOffsetMs = offsetMs;
        start(i, seeds);
        clockOffsetMs = 0;
    }

    /** Starts a member under another name than its slot's default. */
    public void startAs(int i, String name, int... seeds) {
        List<InetSocketAddress> known = new ArrayList<>();
        for (int seed : seeds) {
            known.add(addresses.get(seed));
        }
        nodes[i] = new Node(i, ++startCounts[i], name, known);
        wake(nodes[i]);
    }

    /** Stops the member at once, without a leave message. */
    public void crash(int i) {
        nodes[i] = null;
    }

    /** Lets the member announce that it leaves, and stops it four gossip intervals later. */
    public void leave(int i) {
        Node node = nodes[i];
        node.swim.leave(now);
        wake(node);
        run(now + 4 * times.gossipInterval());
        nodes[i] = null;
    }

    /** Suspends the member. Datagrams for it are buffered, up to the size of its receive buffer. */
    public void stall(int i) {
        nodes[i].stalled = true;
    }

    public void resume(int i) {
        Node node = nodes[i];
        if (node == null || !node.stalled) {
            return;
        }
        node.stalled = false;
        // Timers are overdue and the receive buffer holds datagrams: a real process may handle either first.
        if (random.nextBoolean()) {
            node.swim.tick(now);
        }
        while (!node.buffer.isEmpty()) {
            Event event = node.buffer.poll();
            node.swim.receive(now, event.from, event.message);
        }
        node.swim.tick(now);
        wake(node);
    }

    public void updateMetadata(int i, MemberMetadata metadata) {
        nodes[i].swim.updateMetadata(now, metadata);
        wake(nodes[i]);
    }

    public boolean isUp(int i) {
        return nodes[i] != null;
    }

    public boolean isRunning(int i) {
        return nodes[i] != null && !nodes[i].stalled;
    }

    public Swim swim(int i) {
        return nodes[i].swim;
    }

    public int count(int i, String counter) {
        return nodes[i] == null ? 0 : nodes[i].counts.getOrDefault(counter, 0);
    }

    // ---- the network ----

    /** Sets the shares of datagrams that are lost and duplicated, and the latency's fixed and random parts. */
    public void network(double lossShare, double duplicateShare, long delayUs, long jitterUs) {
        lossRate = lossShare;
        duplicationRate = duplicateShare;
        delayMicros = delayUs;
        jitterMicros = jitterUs;
    }

    public void cut(Partition blocked) {
        partition = blocked;
    }

    public void onChange(ChangeListener listener) {
        changeListener = listener;
    }

    /** Returns the slot of the member with this instance's address. */
    public int indexOf(MemberInstance instance) {
        return indexByAddress.get(instance.address());
    }

    /** Delivers a message to a member at once, as if it came from that address. */
    public void inject(int to, InetSocketAddress from, Message message) {
        nodes[to].swim.receive(now, from, message);
        wake(nodes[to]);
    }

    private void transmit(int from, InetSocketAddress to, Message message) {
        sent++;
        int size = codec.maxSize(message) + Seal.OVERHEAD_BYTES;
        bytes += size;
        largestDatagram = Math.max(largestDatagram, size);
        Integer target = indexByAddress.get(to);
        if (target == null || random.nextDouble() < lossRate || partition.blocks(from, target)) {
            return;
        }
        int copies = random.nextDouble() < duplicationRate ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long latency = delayMicros + (jitterMicros == 0 ? 0 : random.nextLong(jitterMicros));
            events.add(new Event(now + latency, sequence++, target, -1, addresses.get(from), message));
        }
    }

    // ---- running ----

    private void wake(Node node) {
        long next = Math.max(now, node.swim.nextTick());
        if (next < node.wakeAt || node.wakeAt <= now) {
            node.wakeAt = next;
            events.add(new Event(next, sequence++, node.number, node.startNumber, null, null));
        }
    }

    /** Runs the simulation until that instant. */
    public void run(long until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            step(events.poll());
        }
        now = Math.max(now, until);
    }

    /** Runs the simulation for this many microseconds. */
    public void runFor(long micros) {
        run(now + micros);
    }

    /**
     * Runs until the condition holds, which is checked once per interval.
     *
     * @return the microseconds that took, or -1 after the timeout
     */
    public long runUntil(BooleanSupplier condition, long timeoutMicros, long intervalMicros) {
        long from = now;
        while (now - from <= timeoutMicros) {
            if (condition.getAsBoolean()) {
                return now - from;
            }
            run(now + intervalMicros);
        }
        return -1;
    }

    private void step(Event event) {
        now = Math.max(now, event.at);
        Node node = nodes[event.to];
        if (node == null || event.startNumber >= 0 && node.startNumber != event.startNumber) {
            return;
        }
        if (event.message == null) {
            if (event.at != node.wakeAt) {
                return;
            }
            node.wakeAt = Long.MAX_VALUE;
            if (node.stalled) {
                return;
            }
            if (node.swim.nextTick() <= now) {
                node.swim.tick(now);
            }
        } else if (node.stalled) {
            if (node.buffer.size() < RECEIVE_BUFFER_DATAGRAMS) {
                node.buffer.add(event);
            }
            return;
        } else {
            node.swim.receive(now, event.from, event.message);
            if (node.swim.earliestTick() <= now) {
                // A real process is awake at this point too and runs the timers that may run early.
                node.swim.tick(now);
            }
        }
        wake(node);
    }

    // ---- state of the fleet ----

    /** Returns whether all running members that the predicate selects hold the same view: exactly these members. */
    public boolean agree(IntPredicate included) {
        int members = 0;
        for (int i = 0; i < nodes.length; i++) {
            members += included.test(i) && isRunning(i) ? 1 : 0;
        }
        int digest = 0;
        boolean first = true;
        for (int i = 0; i < nodes.length; i++) {
            if (!included.test(i) || !isRunning(i)) {
                continue;
            }
            Swim swim = nodes[i].swim;
            if (swim.size() != members || !first && swim.digest() != digest) {
                return false;
            }
            digest = swim.digest();
            first = false;
        }
        return true;
    }

    /** Returns whether all running members agree and none suspects another. */
    public boolean isSettled() {
        if (!agree(i -> true)) {
            return false;
        }
        for (Node node : nodes) {
            if (node != null && !node.stalled) {
                for (Update.MemberRecord other : node.swim.others()) {
                    if (other.state() == State.SUSPECT) {
                        return false;
                    }
                }
            }
        }
        return true;
    }

    /** Returns the number of datagrams sent so far. */
    public long datagramsSent() {
        return sent;
    }

    /** Returns the bytes sent so far, without IP and UDP headers. */
    public long bytesSent() {
        return bytes;
    }

    /** Returns the size of the largest datagram so far, without IP and UDP headers. */
    public int largestDatagramBytes() {
        return largestDatagram;
    }
}
