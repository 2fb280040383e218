package laneflow.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import laneflow.core.Clock;
import laneflow.core.Deadlines;
import laneflow.core.SlotTable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.nio.AcceptingThread;
import org.xnio.nio.PassedServer;

/**
 * The one I/O thread: its turns, its clock, its table of connections, its deadlines. Everything the program
 * owns is touched on this thread only, so nothing is locked.
 */
public final class Loop implements Clock {
    private static final Logger LOG = LoggerFactory.getLogger(Loop.class);
    /** Descriptors the virtual machine holds for itself: the jar, selectors, standard streams. */
    private static final int RESERVED_DESCRIPTORS = 64;

    private static final int BACKLOG = 512;
    private static final long MICROS_PER_MS = 1000;
    private static final Pattern NUMERIC_ADDRESS = Pattern.compile("[0-9.]+|[0-9a-fA-F:.]+");
    private static final int SCRATCH_BYTES = 16 * 1024;
    /** Connections taken in a row: a flood of them must not hold up those that are open. */
    private static final int MAX_ACCEPTS_PER_TURN = 32;

    private final Deadlines deadlines = new Deadlines();
    private final SlotTable<Link> links = new SlotTable<>();
    private final XnioWorker worker;
    private final XnioIoThread thread;
    /** Most connections of either direction: clients must not leave calls without a descriptor. */
    private final int maxPerDirection;

    private final ConnectionLimit acceptedLimit;
    private final ConnectionLimit outboundLimit;
    private final List<Listener> listeners = new ArrayList<>();
    private final ByteBuffer scratch = ByteBuffer.allocate(SCRATCH_BYTES);
    private final long clockOrigin;
    private final boolean mostlyIdle;
    private boolean inTurn;
    private long now;
    private long timerDueAt = Long.MAX_VALUE;
    private XnioExecutor.Key timerKey;

    /** A loop that holds no more descriptors than that, its own included. */
    public Loop(int maxDescriptors) throws IOException {
        this("loop", (maxDescriptors - RESERVED_DESCRIPTORS) / 2, false);
    }

    /**
     * A loop of that name with room for so many connections each way.
     *
     * @param rests true where it mostly has nothing to do: then a timer that was moved to later is set anew,
     *     where a loop with traffic lets it wake it for nothing, and runs up to a millisecond late, where one
     *     with traffic turns without a pause for the rest of a millisecond
     */
    public Loop(String name, int connectionsPerDirection, boolean mostlyIdle) throws IOException {
        this.mostlyIdle = mostlyIdle;
        maxPerDirection = Math.max(8, connectionsPerDirection);
        acceptedLimit = new ConnectionLimit(maxPerDirection);
        outboundLimit = new ConnectionLimit(maxPerDirection);
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_NAME, name)
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .getMap());
        thread = worker.getIoThread();
        clockOrigin = System.currentTimeMillis() * 1000 - System.nanoTime() / 1000;
    }

    @Override
    public long micros() {
        return now;
    }

    /**
     * The same clock, read now: for what must hold at this very instant, however long the turn has lasted, as
     * one does amid which the process was stopped.
     */
    public long currentMicros() {
        return clockOrigin + System.nanoTime() / 1000;
    }

    /** Room for bytes that are read to be dropped. */
    ByteBuffer scratch() {
        return scratch.clear();
    }

    public Deadlines deadlines() {
        return deadlines;
    }

    // ---- turns ----

    /** Runs on the loop's thread as part of its present turn: the first one of a turn reads the clock. */
    void turn(Runnable event) {
        if (!inTurn) {
            inTurn = true;
            now = Math.max(now, clockOrigin + System.nanoTime() / 1000);
            // Tasks run before the next wait for I/O: that is where this turn ends.
            thread.execute(this::endTurn);
        }
        try {
            event.run();
        } catch (RuntimeException e) {
            // A fault in the handling of one event must not take all other requests along.
            LOG.error("event failed", e);
        }
    }

    private void endTurn() {
        try {
            deadlines.runEarly(now);
        } catch (RuntimeException e) {
            LOG.error("event failed", e);
        }
        inTurn = false;
        long next = deadlines.next();
        if ((next < timerDueAt || mostlyIdle && next > timerDueAt) && !worker.isShutdown()) {
            if (timerKey != null) {
                timerKey.remove();
            }
            timerDueAt = next;
            timerKey = null;
            if (next == Long.MAX_VALUE) {
                return;
            }
            long delay = Math.max(0, next - (clockOrigin + System.nanoTime() / 1000));
            if (mostlyIdle) {
                // XNIO counts in whole milliseconds and drops the rest: woken early, the loop would turn
                // without a pause until the instant has come.
                delay = (delay + MICROS_PER_MS - 1) / MICROS_PER_MS * MICROS_PER_MS;
            }
            timerKey = thread.executeAfter(this::timerExpired, delay, TimeUnit.MICROSECONDS);
        }
    }

    private void timerExpired() {
        timerDueAt = Long.MAX_VALUE;
        timerKey = null;
        turn(() -> deadlines.runDue(now));
    }

    /** Runs a call soon, in a turn, when what is at work now has come to its end; from any thread. */
    public void later(Runnable action) {
        thread.execute(() -> turn(action));
    }

    /** Runs a call on the loop's thread and waits for its end; what it throws is thrown here. */
    public void call(Runnable action) throws InterruptedException {
        FutureTask<Void> task = new FutureTask<>(action, null);
        thread.execute(() -> turn(task));
        try {
            task.get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof Error error) {
                throw error;
            }
            // A call throws no checked exceptions.
            throw (RuntimeException) e.getCause();
        }
    }

    // ---- connections ----

    /** An address in figures: there are no names to look up. */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        if (host.startsWith("[") && host.endsWith("]")) {
            host = host.substring(1, host.length() - 1);
        }
        if (!NUMERIC_ADDRESS.matcher(host).matches()) {
            throw new IllegalArgumentException("'" + text + "' is not an address and port in figures");
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(InetAddress.getByName(host), port);
        } catch (UnknownHostException | NumberFormatException e) {
            throw new IllegalArgumentException("'" + text + "' is not an address and port in figures");
        }
    }

    /** A part of the descriptors: connections that are open in it, and how many may be. */
    private static final class ConnectionLimit {
        private int max;
        private int open;

        private ConnectionLimit(int max) {
            this.max = max;
        }

        private boolean hasRoom() {
            return open < max;
        }
    }

    /** A listening socket. */
    public final class Listener {
        private final AcceptingChannel<StreamConnection> channel;
        private final Supplier<LinkHandler> handlers;
        private final int inLimit;
        private final int outLimit;
        private final BooleanSupplier makeRoom;
        private final ConnectionLimit limit;
        private final boolean isPassed;
        private boolean paused;
        private boolean full;
        /** Accepted, and not let in yet: in the next task, or once there is room. */
        private final Deque<PendingConnection> pending = new ArrayDeque<>();

        /** A connection, and since when it is known here, microseconds. */
        private record PendingConnection(StreamConnection connection, long acceptedAt) {}

        /** On the passed socket, unless it is null. */
        private Listener(
                ServerSocketChannel passed,
                InetSocketAddress address,
                int inLimit,
                int outLimit,
                ConnectionLimit limit,
                BooleanSupplier makeRoom,
                Supplier<LinkHandler> handlers)
                throws IOException {
            this.handlers = handlers;
            this.makeRoom = makeRoom;
            this.limit = limit;
            this.inLimit = inLimit;
            this.outLimit = outLimit;
            isPassed = passed != null;
            ChannelListener<AcceptingChannel<StreamConnection>> acceptListener = accepting -> turn(this::acceptPending);
            OptionMap options = OptionMap.builder()
                    .set(Options.TCP_NODELAY, true)
                    .set(Options.REUSE_ADDRESSES, true)
                    .set(Options.KEEP_ALIVE, true)
                    .set(Options.BACKLOG, BACKLOG)
                    .getMap();
            channel = isPassed
                    ? PassedServer.wrap(worker, passed, acceptListener, options)
                    : worker.createStreamConnectionServer(address, acceptListener, options);
        }

        /** Lets clients in from now on. */
        public void begin() {
            later(() -> {
                if (!listeners.contains(this)) {
                    listeners.add(this);
                }
                paused = false;
                if (!full) {
                    channel.resumeAccepts();
                }
            });
        }

        /** Leaves those that come from now on to whoever else listens there; who is in already is let in. */
        public void pause() {
            paused = true;
            channel.suspendAccepts();
        }

        private void acceptPending() {
            if (acceptBatch()) {
                later(this::acceptPending);
            }
        }

        /** Lets in some of those that wait; true if more of them can be. */
        private boolean acceptBatch() {
            try {
                drainAcceptQueue();
                for (int i = 0; i < MAX_ACCEPTS_PER_TURN && !pending.isEmpty(); i++) {
                    // Room is made for a client that is there: asked for one that may come, it would close
                    // one more than need be each time that the backlog runs empty.
                    if (!limit.hasRoom() && !makeRoom.getAsBoolean()) {
                        waitForRoom();
                        return false;
                    }
                    admit(pending.remove());
                }
            } catch (IOException e) {
                LOG.warn("accept: {}", e.getMessage());
                return false;
            }
            return !pending.isEmpty();
        }

        /**
         * Takes over all that XNIO has accepted on its own thread, also if the socket is closed by now: left
         * in its queue, they would have it call again and again, without a pause.
         */
        private void drainAcceptQueue() throws IOException {
            try {
                for (StreamConnection next = channel.accept(); next != null; next = channel.accept()) {
                    pending.add(new PendingConnection(next, micros()));
                }
            } catch (ClosedChannelException e) {
                LOG.trace("closed, and nothing left", e);
            }
        }

        /** They, and those behind them in the backlog, wait until a connection closes. */
        private void waitForRoom() {
            if (channel.isOpen()) {
                full = true;
                channel.suspendAccepts();
            } else {
                rejectPending();
            }
        }

        private void admit(PendingConnection next) {
            limit.open++;
            LinkHandler handler = handlers.get();
            Link link = new Link(Loop.this, handler, inLimit, outLimit, this);
            link.assignHandle(links.add(link));
            link.attach(next.connection);
            handler.opened(link);
            // Mostly it has asked already: unread it would look like one that says nothing.
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

        private void connectionClosed() {
            limit.open--;
            resumeFullListeners();
        }

        /** One of its connections may be displaced from now on. */
        void resumeFullListeners() {
            listeners.forEach(Listener::resumeIfFull);
        }

        private void resumeIfFull() {
            if (full && channel.isOpen()) {
                full = false;
                if (!paused) {
                    channel.resumeAccepts();
                }
                // Nothing need come in behind the one that waits here already.
                later(this::acceptPending);
            }
        }

        /** True while clients wait because there is no room for them. */
        public boolean isFull() {
            return full;
        }

        public InetSocketAddress address() {
            return channel.getLocalAddress(InetSocketAddress.class);
        }

        /** Lets in who has connected already, and closes. */
        public void close() {
            close(() -> {});
        }

        /**
         * The same; told of each one that has connected and found no room. A passed one stays open, unread:
         * closing it would detach the process's log.
         */
        public void close(Runnable onRejected) {
            if (isPassed) {
                pause();
            } else if (full) {
                closeNow(onRejected);
            } else {
                // The thread that accepts may not have come yet to those that wait in the system's queue.
                AcceptingThread.afterNextSelect(worker, () -> {
                    if (!worker.isShutdown()) {
                        later(() -> closeNow(onRejected));
                    }
                });
            }
        }

        private void closeNow(Runnable onRejected) {
            boolean more = !full;
            while (more) {
                more = acceptBatch();
            }
            full = false;
            for (int count = rejectPending(); count > 0; count--) {
                onRejected.run();
            }
            IoUtils.safeClose(channel);
        }
    }

    /**
     * Listens there once it is begun; each connection gets a handler of its own. Where there are too many,
     * makeRoom may close one, and tells whether it did.
     */
    public Listener listen(
            InetSocketAddress address,
            int inLimit,
            int outLimit,
            BooleanSupplier makeRoom,
            Supplier<LinkHandler> handlers)
            throws IOException {
        return new Listener(null, address, inLimit, outLimit, acceptedLimit, makeRoom, handlers);
    }

    /**
     * The same with a part of its own, so that nobody else's connections shut it, nor its own anybody's. Such
     * parts come out of what the virtual machine leaves of its descriptors, and are small.
     */
    public Listener listenWithOwnLimit(
            InetSocketAddress address,
            int inLimit,
            int outLimit,
            int maxConnections,
            BooleanSupplier makeRoom,
            Supplier<LinkHandler> handlers)
            throws IOException {
        return new Listener(null, address, inLimit, outLimit, new ConnectionLimit(maxConnections), makeRoom, handlers);
    }

    /** Takes datagrams there of up to so many bytes. */
    public Datagrams datagrams(InetSocketAddress address, int maxBytes, Datagrams.Receiver receiver)
            throws IOException {
        return new Datagrams(this, worker, address, maxBytes, receiver);
    }

    /** Clients come from the listening socket that is this process's descriptor 0; not before it is begun. */
    public Listener listenPassed(int inLimit, int outLimit, BooleanSupplier makeRoom, Supplier<LinkHandler> handlers)
            throws IOException {
        if (!(System.inheritedChannel() instanceof ServerSocketChannel passed)) {
            throw new IOException("descriptor 0 is no listening socket, though one was said to be passed");
        }
        return listenOn(passed, inLimit, outLimit, makeRoom, handlers);
    }

    /** The same on a listening socket that somebody else has opened. */
    Listener listenOn(
            ServerSocketChannel passed,
            int inLimit,
            int outLimit,
            BooleanSupplier makeRoom,
            Supplier<LinkHandler> handlers)
            throws IOException {
        return new Listener(passed, null, inLimit, outLimit, acceptedLimit, makeRoom, handlers);
    }

    /** Connections come up only within that part of the descriptors: the rest is another process's. */
    public void limitShare(double fraction) {
        acceptedLimit.max = (int) (fraction * maxPerDirection);
        outboundLimit.max = acceptedLimit.max;
        listeners.forEach(Listener::resumeIfFull);
    }

    /** True if another connection may be opened. */
    public boolean hasRoom() {
        return outboundLimit.hasRoom();
    }

    /** Opens a connection; the handler hears when it is up, or that it did not come up. */
    public Link connect(InetSocketAddress to, int inLimit, int outLimit, LinkHandler handler) {
        Link link = new Link(this, handler, inLimit, outLimit, null);
        link.assignHandle(links.add(link));
        outboundLimit.open++;
        IoFuture<StreamConnection> future =
                thread.openStreamConnection(to, null, OptionMap.create(Options.TCP_NODELAY, true));
        link.setPendingConnect(future);
        future.addNotifier((done, none) -> later(() -> connected(link, handler, future)), null);
        return link;
    }

    private void connected(Link link, LinkHandler handler, IoFuture<StreamConnection> future) {
        boolean isUp = future.getStatus() == IoFuture.Status.DONE;
        if (link.isClosed()) {
            // Given up while it came up: nobody else would close it.
            if (isUp) {
                IoUtils.safeClose(result(future));
            }
        } else if (isUp) {
            link.attach(result(future));
            handler.opened(link);
        } else {
            link.close();
            handler.connectFailed(link);
        }
    }

    private static StreamConnection result(IoFuture<StreamConnection> future) {
        try {
            return future.get();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    void linkClosed(Link link) {
        links.remove(link.handle());
        if (link.listener() != null) {
            link.listener().connectionClosed();
        } else {
            outboundLimit.open--;
        }
    }

    /** Ends the thread and all connections. */
    public void stop() throws InterruptedException {
        if (worker.isShutdown()) {
            return;
        }
        call(() -> links.forEach(Link::close));
        worker.shutdownNow();
        worker.awaitTermination(5, TimeUnit.SECONDS);
    }
}
