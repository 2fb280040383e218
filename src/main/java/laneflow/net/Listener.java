package laneflow.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;
import java.util.function.Supplier;
import laneflow.core.Deadlines.Deadline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.nio.AcceptingThread;
import org.xnio.nio.PassedServer;

/** A listening socket and the connections that it accepts. */
public final class Listener {
    private static final Logger LOG = LoggerFactory.getLogger(Listener.class);
    private static final int BACKLOG = 512;
    /** Connections accepted per turn, so that a flood of them does not starve open ones. */
    private static final int MAX_ACCEPTS_PER_TURN = 32;
    /** Time after which no further connection is accepted in a turn, microseconds. */
    private static final long MAX_ACCEPT_MICROS = 2_000;
    /** Time between two batches of accepted connections, milliseconds. */
    private static final long ACCEPT_INTERVAL_MS = 1;
    /** Connections that are accepted and not admitted yet; more are left to the kernel's backlog. */
    private static final int MAX_PENDING_CONNECTIONS = 64;
    /**
     * Connections accepted beyond the limit on open ones: they wait for room, and make it by taking the place of idle
     * ones. These descriptors come out of those that the loop reserves.
     */
    private static final int MAX_WAITING_FOR_ROOM = 8;

    private final Loop loop;
    private final XnioWorker worker;
    private final AcceptingChannel<StreamConnection> channel;
    private final Supplier<LinkHandler> handlers;
    private final int inLimit;
    private final int outLimit;
    private final BooleanSupplier makeRoom;
    private final ConnectionLimit limit;
    private final boolean isPassed;
    private boolean paused;
    private boolean full;
    /** As many connections are pending as may. */
    private boolean held;
    /** The turn of the last batch of accepted connections. */
    private long batchTurn;
    /** A further batch of pending connections is due. */
    private boolean continuing;
    /** Connections taken over from XNIO so far. */
    private long arrivals;
    /** {@link #close} has been called. */
    private boolean closing;
    /** Connections that are still admitted before the socket closes even if more are in the backlog. */
    private int admissionsBeforeClose;

    /** {@link #closeOnceBacklogIsEmpty} is due. */
    private boolean awaitingBacklog;

    private Deadline closeDeadline;
    private IntConsumer closeCallback;
    /** Accepted connections that are admitted in the next task, or once there is room. */
    private final Deque<PendingConnection> pending = new ArrayDeque<>();

    /** @param acceptedAt when the connection was taken from XNIO's queue, microseconds */
    private record PendingConnection(StreamConnection connection, long acceptedAt) {}

    /** Listens on the passed socket, or opens one at the address if {@code passed} is null. */
    Listener(
            Loop loop,
            XnioWorker worker,
            ServerSocketChannel passed,
            InetSocketAddress address,
            int inLimit,
            int outLimit,
            ConnectionLimit limit,
            BooleanSupplier makeRoom,
            Supplier<LinkHandler> handlers)
            throws IOException {
        this.loop = loop;
        this.worker = worker;
        this.handlers = handlers;
        this.makeRoom = makeRoom;
        this.limit = limit;
        this.inLimit = inLimit;
        this.outLimit = outLimit;
        isPassed = passed != null;
        ChannelListener<AcceptingChannel<StreamConnection>> acceptListener =
                accepting -> loop.turn(this::acceptPending);
        OptionMap options = OptionMap.builder()
                .set(Options.TCP_NODELAY, true)
                .set(Options.REUSE_ADDRESSES, true)
                .set(Options.KEEP_ALIVE, true)
                .set(Options.BACKLOG, BACKLOG)
                .set(Options.CONNECTION_HIGH_WATER, maxAccepted())
                .set(Options.CONNECTION_LOW_WATER, maxAccepted())
                .getMap();
        channel = isPassed
                ? PassedServer.wrap(worker, passed, acceptListener, options)
                : worker.createStreamConnectionServer(address, acceptListener, options);
    }

    /** Connections that XNIO's accept thread may hold open, whatever the loop is doing meanwhile. */
    private int maxAccepted() {
        return limit.max() + MAX_WAITING_FOR_ROOM;
    }

    /** Applies a changed limit to the connections that are accepted from now on. */
    void updateLimit() {
        if (!channel.isOpen()) {
            return;
        }
        try {
            // XNIO requires that the low mark never exceeds the high one.
            channel.setOption(Options.CONNECTION_LOW_WATER, 0);
            channel.setOption(Options.CONNECTION_HIGH_WATER, maxAccepted());
            channel.setOption(Options.CONNECTION_LOW_WATER, maxAccepted());
        } catch (IOException e) {
            LOG.warn("the limit on accepted connections can't be changed: {}", e.getMessage());
        }
    }

    /** Starts or resumes accepting connections. */
    public void begin() {
        loop.later(() -> {
            loop.addListener(this);
            // The limit may have changed before: only listeners that have begun are told of changes.
            updateLimit();
            paused = false;
            if (!full && !held) {
                channel.resumeAccepts();
            }
        });
    }

    /**
     * Leaves new connections to other processes that listen on the same socket; connections accepted already are
     * still admitted.
     */
    public void pause() {
        paused = true;
        channel.suspendAccepts();
    }

    private void acceptPending() {
        drainAcceptQueue();
        // XNIO notifies of each connection: one batch a turn, so that those that have ended are closed in between.
        boolean isFirstOfTurn = batchTurn != loop.turnNumber();
        batchTurn = loop.turnNumber();
        if ((!isFirstOfTurn || acceptBatch()) && !continuing) {
            continuing = true;
            loop.afterMillis(ACCEPT_INTERVAL_MS, this::continueAccepting);
        }
    }

    private void continueAccepting() {
        continuing = false;
        acceptPending();
    }

    /** Admits some of the pending connections; true if more of them can be admitted. */
    private boolean acceptBatch() {
        long end = loop.currentMicros() + MAX_ACCEPT_MICROS;
        for (int i = 0; !pending.isEmpty() && (i == 0 || i < MAX_ACCEPTS_PER_TURN && mayAcceptMore(end)); i++) {
            // Room is made only for a connection that is already pending: made in advance, it would close one
            // connection too many each time that the backlog runs empty.
            if (!limit.hasRoom() && !makeRoom.getAsBoolean()) {
                waitForRoom();
                return false;
            }
            admit(pending.remove());
            admissionsBeforeClose--;
        }
        return !pending.isEmpty();
    }

    /** No more are accepted than are served: else they would take up all connections while they wait for that. */
    private boolean mayAcceptMore(long end) {
        return loop.currentMicros() < end && !loop.deferredInput().isBehind();
    }

    /**
     * Takes over all connections that XNIO has accepted on its own thread, even if the socket is closed by now: for
     * connections left in its queue XNIO would call the accept listener again and again, without a pause.
     */
    private void drainAcceptQueue() {
        try {
            for (StreamConnection next = channel.accept(); next != null; next = channel.accept()) {
                pending.add(new PendingConnection(next, loop.micros()));
                arrivals++;
            }
            holdAccepts(pending.size() >= MAX_PENDING_CONNECTIONS);
        } catch (ClosedChannelException e) {
            LOG.trace("listener closed, accept queue empty", e);
        } catch (IOException e) {
            LOG.warn("accept: {}", e.getMessage());
        }
    }

    /** Leaves further connections in the kernel's backlog, or lets XNIO accept them again. */
    private void holdAccepts(boolean hold) {
        if (hold != held && channel.isOpen()) {
            held = hold;
            if (hold) {
                channel.suspendAccepts();
            } else if (!paused && !full) {
                channel.resumeAccepts();
            }
        }
    }

    /** Leaves pending connections, and those in the backlog, waiting until another connection closes. */
    private void waitForRoom() {
        if (channel.isOpen()) {
            full = true;
            channel.suspendAccepts();
        } else {
            rejectPending();
        }
    }

    private void admit(PendingConnection next) {
        limit.opened();
        LinkHandler handler = handlers.get();
        Link link = loop.newLink(handler, inLimit, outLimit, this);
        link.attach(next.connection);
        handler.opened(link);
        // The client has mostly sent its request already: left unread, the connection would count as silent.
        link.setInputPendingSince(next.acceptedAt);
        link.readable();
        link.setInputPendingSince(-1);
    }

    private int rejectPending() {
        int count = pending.size();
        pending.forEach(each -> IoUtils.safeClose(each.connection));
        pending.clear();
        return count;
    }

    void connectionClosed() {
        limit.closed();
        loop.resumeFullListeners();
    }

    /** Tries again to admit pending connections, if there was no room for them. */
    void resumeIfFull() {
        if (full && channel.isOpen()) {
            full = false;
            if (!paused && !held) {
                channel.resumeAccepts();
            }
            // No new connection may follow the pending ones to trigger this.
            loop.later(this::acceptPending);
            if (closing) {
                awaitBacklog();
            }
        }
    }

    /** True while connections wait because the limit is reached. */
    public boolean isFull() {
        return full;
    }

    public InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    /**
     * Admits the connections that clients have established already, in the same bounded batches as before, and closes
     * the socket once none is left in the kernel's backlog. A passed socket is only paused: closing it would detach the
     * process's log.
     *
     * @param deadline when the socket is closed at the latest, although connections wait for room; microseconds
     * @param onClosed is told how many established connections were closed unread
     */
    public void close(long deadline, IntConsumer onClosed) {
        if (isPassed) {
            pause();
            return;
        }
        if (closing || !channel.isOpen()) {
            return;
        }
        closing = true;
        closeCallback = onClosed;
        // The backlog is served in order: whoever comes behind so many came later than this call.
        admissionsBeforeClose = BACKLOG + pending.size();
        closeDeadline = loop.deadlines().at(deadline, this::closeNow);
        awaitBacklog();
    }

    /** True from the call of {@link #close} until the socket is closed. */
    public boolean isClosing() {
        return closing && channel.isOpen();
    }

    /** Looks at the backlog again once XNIO's accept thread has had the opportunity to empty it. */
    private void awaitBacklog() {
        if (awaitingBacklog) {
            return;
        }
        awaitingBacklog = true;
        long arrivalsBefore = arrivals;
        boolean isAccepting = !held && !full;
        AcceptingThread.afterNextSelect(worker, () -> {
            if (!worker.isShutdown()) {
                loop.later(() -> closeOnceBacklogIsEmpty(isAccepting, arrivalsBefore));
            }
        });
    }

    /**
     * Closes the socket if the backlog was found empty.
     *
     * @param wasAccepting whether XNIO's accept thread was to accept connections
     * @param arrivalsBefore number of arrivals before it had the opportunity
     */
    private void closeOnceBacklogIsEmpty(boolean wasAccepting, long arrivalsBefore) {
        awaitingBacklog = false;
        if (!channel.isOpen()) {
            return;
        }
        drainAcceptQueue();
        acceptBatch();
        boolean isBacklogEmpty = wasAccepting && arrivals == arrivalsBefore && pending.isEmpty();
        if (isBacklogEmpty || admissionsBeforeClose <= 0) {
            closeNow();
        } else if (!full) {
            awaitBacklog();
        }
    }

    private void closeNow() {
        loop.deadlines().cancel(closeDeadline);
        drainAcceptQueue();
        while (!full && acceptBatch()) {
            drainAcceptQueue();
        }
        full = false;
        IoUtils.safeClose(channel);
        closeCallback.accept(rejectPending());
    }
}
