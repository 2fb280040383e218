package laneflow.ops;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * What two processes of one scheduler agree on while one takes the other's place: who takes clients, what
 * operators have ordered, and when limits are shared. The one that served first is the elder, the one that
 * was started beside it the younger; with a third start one process is both. No I/O and no clock: a line or
 * an end that comes in is an event, what is to be done is asked of the {@link Host}.
 *
 * <pre>
 *   younger                                elder
 *   laneflow-handover 1   ------------->   limits are shared from here on
 *                         <-------------   laneflow-handover 1, order ..., known
 *   (can serve, takes clients)
 *   serving               ------------->   takes no more clients, sends its own away
 *                         <-------------   handed
 *   either side: alive; tell N ORDER, answered with held N
 * </pre>
 *
 * <p>Clients wait in a queue that both share, so for both to take them is harmless and for neither is not:
 * whoever is in doubt takes them. An end or a silence of the younger puts the elder back in its place.
 */
final class Handover {
    static final String HELLO = "laneflow-handover 1";
    /** Without a line for so long the other one hangs: it is let go. Signs of life come every half second. */
    static final long SILENCE_TIMEOUT_US = 3_000_000;

    private static final long ALIVE_INTERVAL_US = 500_000;
    /** The elder has so long to confirm before the younger goes on without its word. */
    private static final long CONFIRM_TIMEOUT_US = 500_000;
    /** An order has so long to be confirmed: its caller is owed an answer within a second. */
    private static final long ORDER_TIMEOUT_US = 700_000;
    /** One whose elder is gone looks again so much later: it may be it that was let go, while it hung. */
    private static final long SEARCH_DELAY_US = 300_000;

    /** The way to another process. */
    interface Connection {
        void send(String line);

        void close();
    }

    /** Who carries it out; it calls back into no event from there. */
    interface Callbacks {
        /** Takes clients from the shared queue, or leaves them to the other one. */
        void acceptClients(boolean on);

        /** Sends the clients that are connected away, or keeps them again. */
        void sendClientsAway(boolean on);

        /** What this process is of its scheduler now: its limits follow from that. */
        void roleChanged(Role role);

        /** Further starts are to find this process, whoever they would have found. */
        void claimSocket();

        /** Who is there is met; if nobody is, further starts are to find this process. */
        void findPeer();

        /** Carries out what the other process was ordered. */
        void applyOrder(String order);

        /** Reads again what operators have ordered, from where every process writes it down. */
        void reloadOrders();

        /** What operators have ordered and still holds. */
        List<String> currentOrders();
    }

    /** All of a scheduler, the one that has its clients while another one ends, or the one that ends. */
    enum Role {
        ALONE,
        NEWER,
        OLDER
    }

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

    // ---- the younger's side ----

    /**
     * An elder is there. Whoever has a younger meets nobody: it would be that very one, and each would end in
     * the other's favour.
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

    /** True until the elder has told what it knows, or is gone. */
    boolean isAwaitingOrders() {
        return predecessor != null && predecessor.stage == Stage.CONNECTED;
    }

    /** This process can serve: from here on it takes clients. */
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

    /** True once callers may rely on this process: it takes clients, and the elder has had time to stop. */
    boolean isInPlace(long now) {
        inPlace |= serving
                && (predecessor == null
                        || predecessor.stage == Stage.HANDED_OVER
                        || now - predecessor.stageSince > CONFIRM_TIMEOUT_US);
        return inPlace;
    }

    // ---- the elder's side ----

    /** A process has come that asks for this one's place; one at a time is heard. */
    void successorConnected(long now, Connection connection) {
        if (successor != null || !serving) {
            connection.close();
            return;
        }
        successor = new Peer(connection, now);
    }

    /** True once another process takes the clients. */
    boolean isSuperseded() {
        return successor != null && successor.stage == Stage.HANDED_OVER;
    }

    // ---- both ----

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

    /** Before anything else both say which version they speak; another one is not spoken with. */
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
        } else if (message.equals("known")) {
            peer.stage = Stage.SYNCED;
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
        // One that was let go while it hung is not told what was ordered meanwhile.
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

    /** Time passes. */
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

    // ---- orders ----

    /** An order that holds here already; then hears whether it holds everywhere. */
    void broadcastOrder(long now, String order, Consumer<Boolean> callback) {
        forwardOrder(now, null, order, callback);
    }

    private void forwardOrder(long now, Peer sender, String order, Consumer<Boolean> callback) {
        PendingOrder pendingOrder = new PendingOrder();
        pendingOrder.callback = callback;
        pendingOrder.deadline = now + ORDER_TIMEOUT_US;
        int number = ++lastOrderNumber;
        for (Peer peer : new Peer[] {predecessor, successor}) {
            // Who has not been told what holds yet hears it with the rest.
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
            // No number of an order that waits: nothing is held by it.
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
