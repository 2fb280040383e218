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
    private static final int OWN_DESCRIPTORS = 64;

    private static final int BACKLOG = 512;
    private static final long MS = 1000;
    private static final Pattern FIGURES = Pattern.compile("[0-9.]+|[0-9a-fA-F:.]+");
    private static final int SCRATCH = 16 * 1024;
    /** Connections taken in a row: a flood of them must not hold up those that are open. */
    private static final int ACCEPTS = 32;

    private final Deadlines deadlines = new Deadlines();
    private final SlotTable<Link> links = new SlotTable<>();
    private final XnioWorker worker;
    private final XnioIoThread thread;
    /** Most connections of either direction: clients must not leave calls without a descriptor. */
    private final int mostEachWay;

    private final Part accepted;
    private final Part outbound;
    private final List<Listener> listeners = new ArrayList<>();
    private final ByteBuffer scratch = ByteBuffer.allocate(SCRATCH);
    private final long origin;
    private final boolean rests;
    private boolean inTurn;
    private long now;
    private long armedFor = Long.MAX_VALUE;
    private XnioExecutor.Key armed;

    /** A loop that holds no more descriptors than that, its own included. */
    public Loop(int descriptors) throws IOException {
        this("loop", (descriptors - OWN_DESCRIPTORS) / 2, false);
    }

    /**
     * A loop of that name with room for so many connections each way.
     *
     * @param rests true where it mostly has nothing to do: then a timer that was moved to later is set anew,
     *     where a loop with traffic lets it wake it for nothing, and runs up to a millisecond late, where one
     *     with traffic turns without a pause for the rest of a millisecond
     */
    public Loop(String name, int eachWay, boolean rests) throws IOException {
        this.rests = rests;
        mostEachWay = Math.max(8, eachWay);
        accepted = new Part(mostEachWay);
        outbound = new Part(mostEachWay);
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_NAME, name)
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .getMap());
        thread = worker.getIoThread();
        origin = System.currentTimeMillis() * 1000 - System.nanoTime() / 1000;
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
        return origin + System.nanoTime() / 1000;
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
            now = Math.max(now, origin + System.nanoTime() / 1000);
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
        if ((next < armedFor || rests && next > armedFor) && !worker.isShutdown()) {
            if (armed != null) {
                armed.remove();
            }
            armedFor = next;
            armed = null;
            if (next == Long.MAX_VALUE) {
                return;
            }
            long delay = Math.max(0, next - (origin + System.nanoTime() / 1000));
            if (rests) {
                // XNIO counts in whole milliseconds and drops the rest: woken early, the loop would turn
                // without a pause until the instant has come.
                delay = (delay + MS - 1) / MS * MS;
            }
            armed = thread.executeAfter(this::due, delay, TimeUnit.MICROSECONDS);
        }
    }

    private void due() {
        armedFor = Long.MAX_VALUE;
        armed = null;
        turn(() -> deadlines.runDue(now));
    }

    /** Runs a call soon, in a turn, when what is at work now has come to its end; from any thread. */
    public void later(Runnable call) {
        thread.execute(() -> turn(call));
    }

    /** Runs a call on the loop's thread and waits for its end; what it throws is thrown here. */
    public void call(Runnable call) throws InterruptedException {
        FutureTask<Void> task = new FutureTask<>(call, null);
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
        if (!FIGURES.matcher(host).matches()) {
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
    private static final class Part {
        private int most;
        private int open;

        private Part(int most) {
            this.most = most;
        }

        private boolean hasRoom() {
            return open < most;
        }
    }

    /** A listening socket. */
    public final class Listener {
        private final AcceptingChannel<StreamConnection> channel;
        private final Supplier<LinkHandler> handlers;
        private final int inLimit;
        private final int outLimit;
        private final BooleanSupplier makeRoom;
        private final Part part;
        private final boolean isPassed;
        private boolean paused;
        private boolean full;
        /** Accepted, and not let in yet: in the next task, or once there is room. */
        private final Deque<Waiting> waiting = new ArrayDeque<>();

        /** A connection, and since when it is known here, microseconds. */
        private record Waiting(StreamConnection connection, long since) {}

        /** On the passed socket, unless it is null. */
        private Listener(
                ServerSocketChannel passed,
                InetSocketAddress at,
                int inLimit,
                int outLimit,
                Part part,
                BooleanSupplier makeRoom,
                Supplier<LinkHandler> handlers)
                throws IOException {
            this.handlers = handlers;
            this.makeRoom = makeRoom;
            this.part = part;
            this.inLimit = inLimit;
            this.outLimit = outLimit;
            isPassed = passed != null;
            ChannelListener<AcceptingChannel<StreamConnection>> heard = accepting -> turn(this::accept);
            OptionMap options = OptionMap.builder()
                    .set(Options.TCP_NODELAY, true)
                    .set(Options.REUSE_ADDRESSES, true)
                    .set(Options.KEEP_ALIVE, true)
                    .set(Options.BACKLOG, BACKLOG)
                    .getMap();
            channel = isPassed
                    ? PassedServer.wrap(worker, passed, heard, options)
                    : worker.createStreamConnectionServer(at, heard, options);
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

        private void accept() {
            if (acceptSome()) {
                later(this::accept);
            }
        }

        /** Lets in some of those that wait; true if more of them can be. */
        private boolean acceptSome() {
            try {
                takeAccepted();
                for (int i = 0; i < ACCEPTS && !waiting.isEmpty(); i++) {
                    // Room is made for a client that is there: asked for one that may come, it would close
                    // one more than need be each time that the backlog runs empty.
                    if (!part.hasRoom() && !makeRoom.getAsBoolean()) {
                        waitForRoom();
                        return false;
                    }
                    letIn(waiting.remove());
                }
            } catch (IOException e) {
                LOG.warn("accept: {}", e.getMessage());
                return false;
            }
            return !waiting.isEmpty();
        }

        /**
         * Takes over all that XNIO has accepted on its own thread, also if the socket is closed by now: left
         * in its queue, they would have it call again and again, without a pause.
         */
        private void takeAccepted() throws IOException {
            try {
                for (StreamConnection next = channel.accept(); next != null; next = channel.accept()) {
                    waiting.add(new Waiting(next, micros()));
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
                turnAway();
            }
        }

        private void letIn(Waiting next) {
            part.open++;
            LinkHandler handler = handlers.get();
            Link link = new Link(Loop.this, handler, inLimit, outLimit, this);
            link.handle(links.add(link));
            link.attach(next.connection);
            handler.opened(link);
            // Mostly it has asked already: unread it would look like one that says nothing.
            link.waitedSince(next.since);
            link.readable();
            link.waitedSince(-1);
        }

        private int turnAway() {
            int count = waiting.size();
            waiting.forEach(each -> IoUtils.safeClose(each.connection));
            waiting.clear();
            return count;
        }

        private void left() {
            part.open--;
            mayHaveRoom();
        }

        /** One of its connections may be displaced from now on. */
        void mayHaveRoom() {
            listeners.forEach(Listener::room);
        }

        private void room() {
            if (full && channel.isOpen()) {
                full = false;
                if (!paused) {
                    channel.resumeAccepts();
                }
                // Nothing need come in behind the one that waits here already.
                later(this::accept);
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
        public void close(Runnable turnedAway) {
            if (isPassed) {
                pause();
            } else if (full) {
                closeNow(turnedAway);
            } else {
                // The thread that accepts may not have come yet to those that wait in the system's queue.
                AcceptingThread.afterNextSelect(worker, () -> {
                    if (!worker.isShutdown()) {
                        later(() -> closeNow(turnedAway));
                    }
                });
            }
        }

        private void closeNow(Runnable turnedAway) {
            boolean more = !full;
            while (more) {
                more = acceptSome();
            }
            full = false;
            for (int count = turnAway(); count > 0; count--) {
                turnedAway.run();
            }
            IoUtils.safeClose(channel);
        }
    }

    /**
     * Listens there once it is begun; each connection gets a handler of its own. Where there are too many,
     * makeRoom may close one, and tells whether it did.
     */
    public Listener listen(
            InetSocketAddress at, int inLimit, int outLimit, BooleanSupplier makeRoom, Supplier<LinkHandler> handlers)
            throws IOException {
        return new Listener(null, at, inLimit, outLimit, accepted, makeRoom, handlers);
    }

    /**
     * The same with a part of its own, so that nobody else's connections shut it, nor its own anybody's. Such
     * parts come out of what the virtual machine leaves of its descriptors, and are small.
     */
    public Listener listenWithOwnLimit(
            InetSocketAddress at,
            int inLimit,
            int outLimit,
            int most,
            BooleanSupplier makeRoom,
            Supplier<LinkHandler> handlers)
            throws IOException {
        return new Listener(null, at, inLimit, outLimit, new Part(most), makeRoom, handlers);
    }

    /** Takes datagrams there of up to so many bytes. */
    public Datagrams datagrams(InetSocketAddress at, int most, Datagrams.Receiver taker) throws IOException {
        return new Datagrams(this, worker, at, most, taker);
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
        return new Listener(passed, null, inLimit, outLimit, accepted, makeRoom, handlers);
    }

    /** Connections come up only within that part of the descriptors: the rest is another process's. */
    public void limitShare(double part) {
        accepted.most = (int) (part * mostEachWay);
        outbound.most = accepted.most;
        listeners.forEach(Listener::room);
    }

    /** True if another connection may be opened. */
    public boolean hasRoom() {
        return outbound.hasRoom();
    }

    /** Opens a connection; the handler hears when it is up, or that it did not come up. */
    public Link connect(InetSocketAddress to, int inLimit, int outLimit, LinkHandler handler) {
        Link link = new Link(this, handler, inLimit, outLimit, null);
        link.handle(links.add(link));
        outbound.open++;
        IoFuture<StreamConnection> future =
                thread.openStreamConnection(to, null, OptionMap.create(Options.TCP_NODELAY, true));
        link.opening(future);
        future.addNotifier((done, none) -> later(() -> connected(link, handler, future)), null);
        return link;
    }

    private void connected(Link link, LinkHandler handler, IoFuture<StreamConnection> future) {
        boolean up = future.getStatus() == IoFuture.Status.DONE;
        if (link.isClosed()) {
            // Given up while it came up: nobody else would close it.
            if (up) {
                IoUtils.safeClose(result(future));
            }
        } else if (up) {
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

    void closed(Link link) {
        links.remove(link.handle());
        if (link.listener() != null) {
            link.listener().left();
        } else {
            outbound.open--;
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
