package laneflow.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import laneflow.core.Clock;
import laneflow.core.Deadlines;
import laneflow.core.MessageMemory;
import laneflow.core.SlotTable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * An event loop with one I/O thread, its clock, its connections and its deadlines. The state that belongs to the loop
 * is accessed on this thread only, so it needs no locks. A turn is one iteration: all events of a turn see the same
 * time.
 */
public final class Loop implements Clock {
    private static final Logger LOG = LoggerFactory.getLogger(Loop.class);
    /** File descriptors that the JVM holds for itself: the jar, selectors, standard streams. */
    private static final int RESERVED_DESCRIPTORS = 64;

    private static final long MICROS_PER_MS = 1000;
    private static final Pattern NUMERIC_ADDRESS = Pattern.compile("[0-9.]+|[0-9a-fA-F:.]+");
    private static final int SCRATCH_BYTES = 64 * 1024;
    /** Length of a turn from which on input of further connections waits for the next one, microseconds. */
    private static final long LONG_TURN_MICROS = 10_000;

    private final Deadlines deadlines = new Deadlines();
    private final MessageMemory messageMemory = MessageMemory.ofHeap();
    private final SlotTable<Link> links = new SlotTable<>();
    private final XnioWorker worker;
    private final XnioIoThread thread;
    /** Maximum of accepted and of outgoing connections, each: clients can't use up the descriptors for calls. */
    private final int maxPerDirection;

    private final ConnectionLimit acceptedLimit;
    private final ConnectionLimit outboundLimit;
    private final List<Listener> listeners = new ArrayList<>();
    private final ByteBuffer scratch = ByteBuffer.allocateDirect(SCRATCH_BYTES);
    private final DeferredInput deferredInput = new DeferredInput(this);
    private final long clockOrigin;
    private final boolean mostlyIdle;
    private boolean inTurn;
    /** Number of the current turn, or of the last one. */
    private long turnNumber;

    private long now;
    /** Time spent in turns that have ended, microseconds. */
    private long endedTurnsMicros;

    private long timerDueAt = Long.MAX_VALUE;
    private XnioExecutor.Key timerKey;

    /** @param maxDescriptors file descriptors that the process may use, including those of the JVM */
    public Loop(int maxDescriptors) throws IOException {
        this("loop", (maxDescriptors - RESERVED_DESCRIPTORS) / 2, false);
    }

    /**
     * Creates a loop.
     *
     * @param connectionsPerDirection maximum of accepted and of outgoing connections, each; at least 8 are allowed
     * @param mostlyIdle true for a loop with little traffic: it re-arms its timer when the next deadline moves to
     *     later, and runs deadlines up to a millisecond late. A loop with traffic lets the old timer wake it in vain,
     *     and spins through the last fraction of a millisecond before a deadline.
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
        thread.setUncaughtExceptionHandler((ended, error) -> FatalErrors.endProcess(error));
        messageMemory.onExceeded(() -> later(messageMemory::relieve));
        clockOrigin = System.currentTimeMillis() * 1000 - System.nanoTime() / 1000;
    }

    @Override
    public long micros() {
        return now;
    }

    /**
     * Reads the clock now instead of returning the time at the start of the turn. Needed for decisions that must hold
     * at this instant however long the turn has lasted, for example because the process was suspended during it.
     */
    public long currentMicros() {
        return clockOrigin + System.nanoTime() / 1000;
    }

    /** Number of the current turn. */
    long turnNumber() {
        return turnNumber;
    }

    /** Time that the loop has spent handling events, microseconds. */
    long busyMicros() {
        return endedTurnsMicros + (inTurn ? currentMicros() - now : 0);
    }

    /** Whether the current turn has lasted so long that input which has not been read yet must wait for the next. */
    boolean isTurnLong() {
        return currentMicros() - now >= LONG_TURN_MICROS;
    }

    DeferredInput deferredInput() {
        return deferredInput;
    }

    /** Runs an action on the loop's thread after a delay, in which the loop handles its other events. */
    void afterMillis(long millis, Runnable action) {
        if (!worker.isShutdown()) {
            thread.executeAfter(() -> turn(action), millis, TimeUnit.MILLISECONDS);
        }
    }

    /** Returns a cleared buffer for reading input that is discarded. */
    ByteBuffer scratch() {
        return scratch.clear();
    }

    public Deadlines deadlines() {
        return deadlines;
    }

    /** The memory of the messages on this loop's connections. */
    public MessageMemory messageMemory() {
        return messageMemory;
    }

    // ---- turns ----

    /** Handles an event on the loop's thread; the first event of a turn reads the clock. */
    void turn(Runnable event) {
        if (!inTurn) {
            inTurn = true;
            turnNumber++;
            now = Math.max(now, clockOrigin + System.nanoTime() / 1000);
            // XNIO runs this task before its next select, which ends the turn.
            thread.execute(this::endTurn);
        }
        handle(event);
    }

    /**
     * Runs an event. If it fails, that must not fail all other requests, nor keep the turn from ending; but if the
     * process can't go on, it ends.
     */
    private static void handle(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException | Error e) {
            if (FatalErrors.isFatal(e)) {
                FatalErrors.endProcess(e);
            }
            LOG.error("event failed", e);
        }
    }

    private void endTurn() {
        handle(() -> deadlines.runEarly(now));
        endedTurnsMicros += currentMicros() - now;
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
                // XNIO truncates delays to whole milliseconds: woken early, the loop would spin until the deadline.
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

    /** Runs an action on the loop's thread after the event that is being handled now; callable from any thread. */
    public void later(Runnable action) {
        thread.execute(() -> turn(action));
    }

    /** Runs an action on the loop's thread and waits for it; rethrows what it throws. */
    public void call(Runnable action) throws InterruptedException {
        FutureTask<Void> task = new FutureTask<>(action, null);
        thread.execute(() -> turn(task));
        try {
            task.get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof Error error) {
                throw error;
            }
            // A Runnable throws no checked exceptions.
            throw (RuntimeException) e.getCause();
        }
    }

    // ---- connections ----

    /** Parses a numeric IP address and port, such as 127.0.0.1:80 or [::1]:80; host names are not resolved. */
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

    /**
     * Creates a listener, which accepts connections once {@link Listener#begin} is called.
     *
     * @param makeRoom called at the connection limit; may close a connection, and returns whether it did
     * @param handlers creates the handler of each connection
     */
    public Listener listen(
            InetSocketAddress address,
            int inLimit,
            int outLimit,
            BooleanSupplier makeRoom,
            Supplier<LinkHandler> handlers)
            throws IOException {
        return new Listener(this, worker, null, address, inLimit, outLimit, acceptedLimit, makeRoom, handlers);
    }

    /**
     * Creates a listener with a connection limit of its own, so that it and the other listeners can't crowd each other
     * out. These descriptors come out of {@link #RESERVED_DESCRIPTORS}, so the limit must be small.
     */
    public Listener listenWithOwnLimit(
            InetSocketAddress address,
            int inLimit,
            int outLimit,
            int maxConnections,
            BooleanSupplier makeRoom,
            Supplier<LinkHandler> handlers)
            throws IOException {
        return new Listener(
                this,
                worker,
                null,
                address,
                inLimit,
                outLimit,
                new ConnectionLimit(maxConnections),
                makeRoom,
                handlers);
    }

    /** Opens a UDP socket for datagrams of up to {@code maxBytes}. */
    public Datagrams datagrams(InetSocketAddress address, int maxBytes, Datagrams.Receiver receiver)
            throws IOException {
        return new Datagrams(this, worker, address, maxBytes, receiver);
    }

    /** Creates a listener on the listening socket that this process inherited as descriptor 0. */
    public Listener listenPassed(int inLimit, int outLimit, BooleanSupplier makeRoom, Supplier<LinkHandler> handlers)
            throws IOException {
        if (!(System.inheritedChannel() instanceof ServerSocketChannel passed)) {
            throw new IOException("descriptor 0 is not a listening socket, although a passed socket is configured");
        }
        return listenOn(passed, inLimit, outLimit, makeRoom, handlers);
    }

    /** Creates a listener on a socket that is already listening. */
    Listener listenOn(
            ServerSocketChannel passed,
            int inLimit,
            int outLimit,
            BooleanSupplier makeRoom,
            Supplier<LinkHandler> handlers)
            throws IOException {
        return new Listener(this, worker, passed, null, inLimit, outLimit, acceptedLimit, makeRoom, handlers);
    }

    void addListener(Listener listener) {
        if (!listeners.contains(listener)) {
            listeners.add(listener);
        }
    }

    /** Lets listeners that are full try again: a connection has closed, or may be displaced from now on. */
    void resumeFullListeners() {
        listeners.forEach(Listener::resumeIfFull);
    }

    /** Limits connections and messages to a fraction of the maximum; the rest belongs to another process. */
    public void limitShare(double fraction) {
        messageMemory.limitShare(fraction);
        int share = (int) (fraction * maxPerDirection);
        acceptedLimit.setMax(share);
        outboundLimit.setMax(share);
        listeners.forEach(Listener::updateLimit);
        resumeFullListeners();
    }

    /** True if another outgoing connection may be opened. */
    public boolean hasRoom() {
        return outboundLimit.hasRoom();
    }

    /** Opens a connection; the handler is notified when it is established or has failed. */
    public Link connect(InetSocketAddress to, int inLimit, int outLimit, LinkHandler handler) {
        Link link = newLink(handler, inLimit, outLimit, null);
        outboundLimit.opened();
        IoFuture<StreamConnection> future =
                thread.openStreamConnection(to, null, OptionMap.create(Options.TCP_NODELAY, true));
        link.setPendingConnect(future);
        future.addNotifier((done, none) -> later(() -> connected(link, handler, future)), null);
        return link;
    }

    /** Creates a connection in the table; the listener is null for an outgoing one. */
    Link newLink(LinkHandler handler, int inLimit, int outLimit, Listener listener) {
        Link link = new Link(this, handler, inLimit, outLimit, listener);
        link.assignHandle(links.add(link));
        return link;
    }

    private void connected(Link link, LinkHandler handler, IoFuture<StreamConnection> future) {
        boolean isUp = future.getStatus() == IoFuture.Status.DONE;
        if (link.isClosed()) {
            // Closed while it was being established: nothing else would close the socket.
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
            outboundLimit.closed();
        }
    }

    /** Closes all connections and ends the thread. */
    public void stop() throws InterruptedException {
        if (worker.isShutdown()) {
            return;
        }
        call(() -> links.forEach(Link::close));
        worker.shutdownNow();
        worker.awaitTermination(5, TimeUnit.SECONDS);
    }
}
