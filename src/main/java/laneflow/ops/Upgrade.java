package laneflow.ops;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import laneflow.core.Deadlines.Deadline;
import laneflow.core.Scheduler;
import laneflow.http.HttpFront;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A process's part in an upgrade: carries out on the loop what {@link Handover} decides. */
final class Upgrade implements Handover.Callbacks {
    private static final Logger LOG = LoggerFactory.getLogger(Upgrade.class);
    private static final long POLL_INTERVAL_US = 50_000;
    /** An elder that has told nothing by then hangs: it is not waited for. */
    private static final long ORDERS_TIMEOUT_MS = 1_000;
    /** The newer process's part of what may be sent to cold endpoints ... */
    private static final double NEWER_SEND_SHARE = 0.9;
    /** ... and of the connections. */
    private static final double NEWER_CONNECTION_SHARE = 0.75;

    private final Loop loop;
    private final Scheduler scheduler;
    private final HttpFront front;
    private final Drain drain;
    private final Operations operations;
    private final HandoverSocket socket;
    private final BooleanSupplier canServe;
    private final Runnable onReplaced;
    private final Deadline pollTimer;
    private final Deadline shareTimer;
    private Handover.Role role = Handover.Role.ALONE;
    private final Handover handover = new Handover(this);
    private final CountDownLatch ordersReceived = new CountDownLatch(1);

    Upgrade(
            Loop loop,
            Scheduler scheduler,
            HttpFront front,
            Drain drain,
            Operations operations,
            Path folder,
            BooleanSupplier canServe,
            Runnable onReplaced) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.front = front;
        this.drain = drain;
        this.operations = operations;
        this.canServe = canServe;
        this.onReplaced = onReplaced;
        socket = new HandoverSocket(folder, loop::later);
        pollTimer = loop.deadlines().create(this::poll);
        shareTimer = loop.deadlines().create(this::applySendShare);
    }

    /** Meets the process that serves already, if there is one, and learns what it knows; blocks shortly. */
    void connectToPredecessor() throws InterruptedException {
        HandoverSocket.SocketConnection connection = socket.connect();
        if (connection == null) {
            return;
        }
        LOG.info("another process serves already: its place is taken once this one can serve");
        loop.call(() -> {
            handover.predecessorConnected(loop.micros(), connection);
            connection.read(this::receive, this::disconnected);
        });
        if (!ordersReceived.await(ORDERS_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            LOG.warn("it tells nothing: this one goes on by itself");
        }
    }

    private void receive(HandoverSocket.SocketConnection connection, String message) {
        handover.receive(loop.micros(), connection, message);
        if (!handover.isAwaitingOrders()) {
            ordersReceived.countDown();
        }
    }

    private void disconnected(HandoverSocket.SocketConnection connection) {
        LOG.info("the other process of the upgrade is gone");
        handover.disconnected(loop.micros(), connection);
        ordersReceived.countDown();
    }

    /** Begins to look whether this process can serve, and whether the other one still lives. */
    void begin() {
        if (handover.isAlone()) {
            // Nobody else would answer those who ask whether it is ready.
            front.accept(true);
        }
        loop.later(this::poll);
    }

    private void poll() {
        long now = loop.micros();
        if (canServe.getAsBoolean()) {
            handover.startServing(now);
        }
        handover.tick(now);
        if (handover.isSuperseded() && front.isAlone() && scheduler.openRequests() == 0 && drain.isOver(now)) {
            LOG.info("all clients have gone over to the other process");
            onReplaced.run();
            return;
        }
        loop.deadlines().set(pollTimer, now + POLL_INTERVAL_US);
    }

    boolean isInPlace() {
        return handover.isInPlace(loop.micros());
    }

    boolean isSuperseded() {
        return handover.isSuperseded();
    }

    /** True while there is another process; an order holds only once that one has it too. */
    void broadcastOrder(String order, Consumer<Boolean> callback) {
        handover.broadcastOrder(loop.micros(), order, callback);
    }

    // ---- what the handover asks for ----

    @Override
    public void acceptClients(boolean on) {
        front.accept(on);
    }

    @Override
    public void sendClientsAway(boolean on) {
        LOG.info(on ? "the other process takes the clients from here on" : "clients are taken here again");
        drain.setHandedOver(on);
    }

    /**
     * Both draw on one budget. What either has sent counts for a while, so parts change in two steps: halves
     * at first, then nearly all for the one that has the clients. The other has their last retries.
     */
    @Override
    public void roleChanged(Handover.Role newRole) {
        if (newRole != role) {
            role = newRole;
            if (newRole != Handover.Role.ALONE) {
                scheduler.setShare(0.5);
            }
            loop.limitShare(share(NEWER_CONNECTION_SHARE));
            loop.deadlines().set(shareTimer, loop.micros() + (long) (scheduler.settings().fallWithin * 1e6));
        }
    }

    private void applySendShare() {
        scheduler.setShare(share(NEWER_SEND_SHARE));
    }

    private double share(double newerShare) {
        return role == Handover.Role.ALONE ? 1 : role == Handover.Role.NEWER ? newerShare : 1 - newerShare;
    }

    @Override
    public void findPeer() {
        socket.findOther(connection -> {
            if (connection != null) {
                LOG.info("another process serves too: this one is met with it again");
                handover.predecessorConnected(loop.micros(), connection);
                connection.read(this::receive, this::disconnected);
            } else if (!socket.isBound()) {
                claimSocket();
            }
        });
    }

    @Override
    public void claimSocket() {
        socket.bind(connection -> {
            handover.successorConnected(loop.micros(), connection);
            connection.read(this::receive, this::disconnected);
        });
    }

    @Override
    public void applyOrder(String order) {
        operations.applyOrder(order);
    }

    @Override
    public void reloadOrders() {
        operations.reloadBans();
    }

    @Override
    public List<String> currentOrders() {
        return operations.currentOrders();
    }
}
