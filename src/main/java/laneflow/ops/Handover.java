package laneflow.ops;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The protocol between two processes of one scheduler while one replaces the other: which of them accepts clients, what
 * operators have ordered, and when limits are shared. The process that served first is the predecessor, the one started
 * beside it the successor; if a third one is started, one process is both. This class does no I/O and has no clock:
 * received lines and closed connections are events, and actions go to the {@link Callbacks}.
 *
 * <pre>
 *   successor                              predecessor
 *   laneflow-handover 1   ------------->   limits are shared from now on
 *                         <-------------   laneflow-handover 1, order ..., known
 *   (can serve, accepts clients)
 *   serving               ------------->   stops accepting clients, sends its own away
 *                         <-------------   handed
 *   either side: alive; tell N ORDER, confirmed with held N; taken ID MILLISECONDS
 * </pre>
 *
 * <p>Both processes accept clients from the same listening socket, so it is harmless if both accept but not if neither
 * does: a process in doubt accepts. If the successor disconnects or goes silent, the predecessor accepts clients again.
 */
final class Handover {
    private static final Logger LOG = LoggerFactory.getLogger(Handover.class);
    static final String HELLO = "laneflow-handover 1";
    /** A peer that has sent nothing for this long is assumed to hang and is disconnected. */
    static final long SILENCE_TIMEOUT_US = 3_000_000;

    private static final long ALIVE_INTERVAL_US = 500_000;
    /** How long the successor waits for the predecessor to confirm that it has stopped accepting clients. */
    private static final long CONFIRM_TIMEOUT_US = 500_000;
    /** How long an order may take to be confirmed; its caller expects a reply within a second. */
    private static final long ORDER_TIMEOUT_US = 700_000;
    /**
     * How long after the loss of its predecessor a process looks for another one: it may have been this process that
     * hung and was disconnected.
     */
    private static final long SEARCH_DELAY_US = 300_000;

    /** A connection to another process. */
    interface Connection {
        void send(String line);

        void close();
    }

    /** Carries out what the protocol decides. Implementations must not call event methods from a callback. */
    interface Callbacks {
        /** Starts or stops accepting clients from the shared listening socket. */
        void acceptClients(boolean on);

        /** Starts or stops sending connected clients away. */
        void sendClientsAway(boolean on);

        /** This process has a new role, on which its share of the limits depends. */
        void roleChanged(Role role);

        /** Makes this process the one that later processes connect to, in place of any other. */
        void claimSocket();

        /** Connects to the process that owns the handover socket; if there is none, claims the socket. */
        void findPeer();

        /** Applies an order that the other process has received. */
        void applyOrder(String order);

        /** Reads again the orders that the processes have stored. */
        void reloadOrders();

        /** Returns the orders of operators that are in force. */
        List<String> currentOrders();

        /** Returns the ids that must not run again, each with the milliseconds for which its request may run. */
        List<String> heldIds();

        /** Holds an id that the other process has taken: its request may run for so many milliseconds. */
        void learnId(String id, long milliseconds);
    }

    /** The only process of a scheduler, the one that accepts its clients while another ends, or the one that ends. */
    enum Role {
        ALONE,
        NEWER,
        OLDER
    }

    /** Progress of the handover with a peer: connected, orders exchanged, successor serving, clients handed over. */
    private enum Stage {
        CONNECTED,
        SYNCED,
        SERVING,
        HANDED_OVER
    }

    private static final class Peer {
        final Connection connection;
        Stage stage = Stage.CONNECTED;
        long lastReceivedAt;
        long stageSince;

        Peer(Connection connection, long now) {
            this.connection = connection;
            lastReceivedAt = now;
            stageSince = now;
        }
    }

    /** An order that has been sent to peers which have not all confirmed it. */
    private static final class PendingOrder {
        final Set<Peer> unconfirmed = new HashSet<>();
        Consumer<Boolean> callback;
        long deadline;
    }

    private final Callbacks callbacks;
    private Peer predecessor;
    private Peer successor;
    private boolean serving;
    private boolean inPlace;
    private long searchAt = Long.MAX_VALUE;
    private long lastAliveAt;
    private int lastOrderNumber;
    private final Map<Integer, PendingOrder> pendingOrders = new LinkedHashMap<>();

    Handover(Callbacks callbacks) {
        this.callbacks = callbacks;
    }

    // ---- the successor's side ----

    /**
     * Handles a new connection to a predecessor. A process that has a successor connects to nobody: it would find that
     * very successor, and each of the two would end in favour of the other.
     */
    void predecessorConnected(long now, Connection connection) {
        if (predecessor != null || successor != null) {
            connection.close();
            return;
        }
        predecessor = new Peer(connection, now);
        connection.send(HELLO);
        reportRole();
    }

    /** True until the predecessor has sent its orders or has disconnected. */
    boolean isAwaitingOrders() {
        return predecessor != null && predecessor.stage == Stage.CONNECTED;
    }

    /** This process can serve and accepts clients from now on. */
    void startServing(long now) {
        if (serving) {
            return;
        }
        serving = true;
        callbacks.acceptClients(true);
        reportRole();
        if (predecessor == null) {
            searchAt = Math.min(searchAt, now);
        } else {
            offerToServe(now);
        }
    }

    private void offerToServe(long now) {
        if (serving && predecessor.stage == Stage.SYNCED) {
            predecessor.stage = Stage.SERVING;
            predecessor.stageSince = now;
            predecessor.connection.send("serving");
        }
    }

    /** True once this process accepts clients and its predecessor has stopped or has had time to. */
    boolean isInPlace(long now) {
        inPlace |= serving
                && (predecessor == null
                        || predecessor.stage == Stage.HANDED_OVER
                        || now - predecessor.stageSince > CONFIRM_TIMEOUT_US);
        return inPlace;
    }

    // ---- the predecessor's side ----

    /** Handles a connection of a process that is to replace this one; only one at a time is accepted. */
    void successorConnected(long now, Connection connection) {
        if (successor != null || !serving) {
            connection.close();
            return;
        }
        successor = new Peer(connection, now);
    }

    /** True once another process accepts the clients. */
    boolean isSuperseded() {
        return successor != null && successor.stage == Stage.HANDED_OVER;
    }

    // ---- both sides ----

    boolean isAlone() {
        return predecessor == null && successor == null;
    }

    void receive(long now, Connection connection, String message) {
        Peer peer = findPeer(connection);
        if (peer == null) {
            return;
        }
        peer.lastReceivedAt = now;
        String[] fields = message.split(" ", 3);
        if (peer.stage == Stage.CONNECTED) {
            handleHandshake(now, peer, message);
        } else if (fields[0].equals("tell") && fields.length == 3) {
            handleOrder(now, peer, fields[1], fields[2]);
        } else if (fields[0].equals("held") && fields.length == 2) {
            handleConfirmation(peer, fields[1]);
        } else if (fields[0].equals("taken") && fields.length == 3) {
            handleTaken(fields[1], fields[2]);
        } else if (peer == successor && message.equals("serving") && peer.stage == Stage.SYNCED) {
            peer.stage = Stage.HANDED_OVER;
            callbacks.acceptClients(false);
            callbacks.sendClientsAway(true);
            reportRole();
            peer.connection.send("handed");
        } else if (peer == predecessor && message.equals("handed") && peer.stage == Stage.SERVING) {
            peer.stage = Stage.HANDED_OVER;
            callbacks.claimSocket();
        }
    }

    /** Both sides first send their protocol version; a peer with another version is disconnected. */
    private void handleHandshake(long now, Peer peer, String message) {
        if (peer == successor) {
            if (!message.equals(HELLO)) {
                peer.connection.send(HELLO);
                disconnect(now, peer);
                return;
            }
            peer.stage = Stage.SYNCED;
            callbacks.reloadOrders();
            peer.connection.send(HELLO);
            callbacks.currentOrders().forEach(order -> peer.connection.send("order " + order));
            peer.connection.send("known");
            sendHeldIds(peer);
        } else if (message.equals("known")) {
            peer.stage = Stage.SYNCED;
            sendHeldIds(peer);
            offerToServe(now);
        } else if (message.startsWith("order ")) {
            callbacks.applyOrder(message.substring(6));
        } else if (!message.equals(HELLO) && !message.equals("alive")) {
            disconnect(now, peer);
        }
    }

    void disconnected(long now, Connection connection) {
        Peer peer = findPeer(connection);
        if (peer != null) {
            disconnect(now, peer);
        }
    }

    private void disconnect(long now, Peer peer) {
        peer.connection.close();
        // A process that was disconnected while it hung has missed the orders given since.
        callbacks.reloadOrders();
        for (Integer number : new ArrayList<>(pendingOrders.keySet())) {
            confirm(number, peer);
        }
        if (peer == successor) {
            boolean superseded = isSuperseded();
            successor = null;
            if (superseded) {
                callbacks.acceptClients(true);
                callbacks.sendClientsAway(false);
                callbacks.claimSocket();
            }
        } else {
            predecessor = null;
            searchAt = now + SEARCH_DELAY_US;
        }
        reportRole();
    }

    private void reportRole() {
        callbacks.roleChanged(isSuperseded() ? Role.OLDER : predecessor != null && serving ? Role.NEWER : Role.ALONE);
    }

    /** Handles timeouts; called at regular intervals. */
    void tick(long now) {
        for (Peer peer : new Peer[] {predecessor, successor}) {
            if (peer != null && now - peer.lastReceivedAt > SILENCE_TIMEOUT_US) {
                disconnect(now, peer);
            } else if (peer != null && now - lastAliveAt >= ALIVE_INTERVAL_US) {
                peer.connection.send("alive");
            }
        }
        if (serving && predecessor == null && successor == null && now >= searchAt) {
            searchAt = Long.MAX_VALUE;
            callbacks.findPeer();
        }
        lastAliveAt = now - lastAliveAt >= ALIVE_INTERVAL_US ? now : lastAliveAt;
        for (Map.Entry<Integer, PendingOrder> entry : new ArrayList<>(pendingOrders.entrySet())) {
            if (now > entry.getValue().deadline) {
                pendingOrders.remove(entry.getKey());
                entry.getValue().callback.accept(false);
            }
        }
    }

    private Peer findPeer(Connection connection) {
        return predecessor != null && predecessor.connection == connection
                ? predecessor
                : successor != null && successor.connection == connection ? successor : null;
    }

    // ---- request ids ----

    private void sendHeldIds(Peer peer) {
        callbacks.heldIds().forEach(held -> peer.connection.send("taken " + held));
    }

    /** Tells the peers that a request with this id may run here, so that it does not run there too. */
    void announceTaken(String id, long milliseconds) {
        for (Peer peer : new Peer[] {predecessor, successor}) {
            if (peer != null && peer.stage != Stage.CONNECTED) {
                peer.connection.send("taken " + id + " " + milliseconds);
            }
        }
    }

    private void handleTaken(String id, String milliseconds) {
        try {
            callbacks.learnId(id, Long.parseLong(milliseconds));
        } catch (NumberFormatException e) {
            LOG.warn("the other process has named an id without a time");
        }
    }

    // ---- orders ----

    /**
     * Sends an order that is in force here to the peers. The callback receives whether all of them have confirmed it; a
     * peer that disconnects is no longer waited for.
     */
    void broadcastOrder(long now, String order, Consumer<Boolean> callback) {
        forwardOrder(now, null, order, callback);
    }

    private void forwardOrder(long now, Peer sender, String order, Consumer<Boolean> callback) {
        PendingOrder pendingOrder = new PendingOrder();
        pendingOrder.callback = callback;
        pendingOrder.deadline = now + ORDER_TIMEOUT_US;
        int number = ++lastOrderNumber;
        for (Peer peer : new Peer[] {predecessor, successor}) {
            // A successor still in the handshake receives this order with the others.
            if (peer != null && peer != sender && (peer == predecessor || peer.stage != Stage.CONNECTED)) {
                pendingOrder.unconfirmed.add(peer);
            }
        }
        if (pendingOrder.unconfirmed.isEmpty()) {
            callback.accept(true);
            return;
        }
        pendingOrders.put(number, pendingOrder);
        pendingOrder.unconfirmed.forEach(peer -> peer.connection.send("tell " + number + " " + order));
    }

    private void handleOrder(long now, Peer sender, String number, String order) {
        callbacks.applyOrder(order);
        forwardOrder(now, sender, order, isConfirmed -> {
            if (isConfirmed) {
                sender.connection.send("held " + number);
            }
        });
    }

    private void handleConfirmation(Peer sender, String number) {
        try {
            confirm(Integer.valueOf(number), sender);
        } catch (NumberFormatException e) {
            // Not the number of a pending order: confirms nothing.
            return;
        }
    }

    private void confirm(Integer number, Peer sender) {
        PendingOrder pendingOrder = pendingOrders.get(number);
        if (pendingOrder != null && pendingOrder.unconfirmed.remove(sender) && pendingOrder.unconfirmed.isEmpty()) {
            pendingOrders.remove(number);
            pendingOrder.callback.accept(true);
        }
    }
}
