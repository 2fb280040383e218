package laneflow.ops;

import java.nio.file.Path;
import java.util.ArrayList;
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

/** The part of one process in an upgrade: carries out on the loop's thread what {@link Handover} decides. */
final class Upgrade implements Handover.Callbacks {
    private static final Logger LOG = LoggerFactory.getLogger(Upgrade.class);
    private static final long POLL_INTERVAL_US = 50_000;
    private static final long MICROS_PER_MS = 1000;
    /** A predecessor that has not sent its orders by then is assumed to hang. */
    private static final long ORDERS_TIMEOUT_MS = 1_000;
    /** The newer process's share of the requests that may be sent to cold endpoints. */
    private static final double NEWER_SEND_SHARE = 0.9;
    /** The newer process's share of the connections. */
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
        scheduler.requestIds().onTaken(this::announceTaken);
    }

    private void announceTaken(String id, long mayRunUntil) {
        // Only HTTP clients go over to another process.
        if (id.indexOf('\0') >= 0) {
            return;
        }
        handover.announceTaken(id, millisUntil(mayRunUntil));
    }

    private long millisUntil(long instant) {
        return Math.max(0, (instant - loop.micros()) / MICROS_PER_MS + 1);
    }

    /** Connects to the process that serves already, if there is one, and waits briefly for its orders. */
    void connectToPredecessor() throws InterruptedException {
        HandoverSocket.SocketConnection connection = socket.connect();
        if (connection == null) {
            return;
        }
        LOG.info("another process serves already, this one takes over once it can serve");
        loop.call(() -> {
            handover.predecessorConnected(loop.micros(), connection);
            connection.read(this::receive, this::disconnected);
        });
        if (!ordersReceived.await(ORDERS_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            LOG.warn("the other process has not sent its orders in time, starting without them");
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

    /** Starts polling whether this process can serve and whether the other one is alive. */
    void begin() {
        if (handover.isAlone()) {
            // No other process would answer readiness checks.
            front.setAccepting(true);
        }
        loop.later(this::poll);
    }

    private void poll() {
        long now = loop.micros();
        if (canServe.getAsBoolean()) {
            handover.startServing(now);
        }
        handover.tick(now);
        if (handover.isSuperseded() && front.hasNoClients() && scheduler.openRequests() == 0 && drain.isOver(now)) {
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

    /** Sends an order to the other processes, if any; the callback receives whether all have confirmed it. */
    void broadcastOrder(String order, Consumer<Boolean> callback) {
        handover.broadcastOrder(loop.micros(), order, callback);
    }

    // ---- what the handover asks for ----

    @Override
    public void acceptClients(boolean on) {
        front.setAccepting(on);
    }

    @Override
    public void sendClientsAway(boolean on) {
        LOG.info(on ? "the other process accepts clients from now on" : "this process accepts clients again");
        drain.setHandedOver(on);
    }

    /**
     * Both processes share one budget. What each has sent counts for a while, so the shares change in two steps: first
     * half for each, then nearly all for the newer process. The older one needs the rest for its clients' last retries.
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
                LOG.info("another process serves too, connected to it again");
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

    @Override
    public List<String> heldIds() {
        List<String> held = new ArrayList<>();
        scheduler.requestIds().forEach((id, mayRunUntil) -> {
            if (id.indexOf('\0') < 0) {
                held.add(id + " " + millisUntil(mayRunUntil));
            }
        });
        return held;
    }

    @Override
    public void learnId(String id, long milliseconds) {
        long now = loop.micros();
        scheduler.requestIds().learn(id, now, now + milliseconds * MICROS_PER_MS);
    }
}
