package laneflow.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import laneflow.core.Deadlines.Deadline;
import laneflow.core.MessageMemory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/** A TCP connection in the loop's table, with one ring buffer per direction. */
public final class Link implements Pace {
    private static final Logger LOG = LoggerFactory.getLogger(Link.class);
    /** Reads in a row before other connections are served. */
    private static final int MAX_READS_PER_TURN = 8;
    /** How long input is still read and discarded after the output has ended. */
    private static final long LINGER_US = 1_000_000;

    /** Input discarded after the output has ended; anything beyond it stays unread. */
    private static final int MAX_LINGER_BYTES = 256 * 1024;
    /** How long a connection that has sent too fast is served behind all others, microseconds. */
    private static final long EXCESSIVE_US = 1_000_000;

    public final Ring in;
    public final Ring out;
    private final Loop loop;
    private final LinkHandler handler;
    /** The listener that accepted the connection; null for an outgoing one. */
    private final Listener listener;
    /** The memory of the rings beyond their initial capacity, and of {@link #handlerBytes}. */
    private final MessageMemory.Account memory;

    private long handlerBytes;
    private long handle;
    private StreamConnection connection;
    private StreamSourceConduit source;
    private StreamSinkConduit sink;
    private IoFuture<StreamConnection> pendingConnect;
    private boolean closed;
    private boolean endingOutput;
    private Deadline lingerTimer;
    private int lingerBytes;
    private boolean readsSuspended;
    private final TurnAllowance allowance = new TurnAllowance();
    /** Its input waits in {@link Loop#deferredInput}, and its socket is not read until then. */
    private boolean inputDeferred;
    /** The handler has left messages in the ring for a later turn. */
    private boolean messagesWaiting;
    /** Until then it is served behind all others. */
    private long excessiveUntil = Long.MIN_VALUE;

    private final ArrivalTimes arrivals = new ArrivalTimes();
    /** Arrival time to record for the first read of an accepted connection, microseconds; negative: use the clock. */
    private long inputPendingSince = -1;

    private long droppedBytes;
    private boolean peerEnded;

    Link(Loop loop, LinkHandler handler, int inLimit, int outLimit, Listener listener) {
        this.loop = loop;
        this.handler = handler;
        this.listener = listener;
        memory = loop.messageMemory().open(() -> handler.giveWay(this));
        in = new Ring(inLimit, memory::add);
        out = new Ring(outLimit, memory::add);
    }

    /** Returns the XNIO connection; null until it is established. */
    StreamConnection connection() {
        return connection;
    }

    void assignHandle(long assigned) {
        handle = assigned;
    }

    /** Returns the connection's handle in the loop's table, invalid once the connection is closed. */
    public long handle() {
        return handle;
    }

    /** Returns the peer's IP address, or "-" if it is unknown. */
    public String peerHost() {
        InetSocketAddress address = connection == null ? null : connection.getPeerAddress(InetSocketAddress.class);
        return address == null ? "-" : address.getAddress().getHostAddress();
    }

    public boolean isClosed() {
        return closed;
    }

    Listener listener() {
        return listener;
    }

    void setPendingConnect(IoFuture<StreamConnection> future) {
        pendingConnect = future;
    }

    void attach(StreamConnection established) {
        connection = established;
        pendingConnect = null;
        source = established.getSourceChannel().getConduit();
        sink = established.getSinkChannel().getConduit();
        established.getSourceChannel().getReadSetter().set(channel -> loop.turn(this::readable));
        established.getSinkChannel().getWriteSetter().set(channel -> loop.turn(this::writable));
        updateReadInterest();
    }

    /** Reads input that is already available; the owner calls it before it closes a connection on a timeout. */
    public void readNow() {
        if (!closed && connection != null) {
            readInput();
        }
    }

    /** Handles the event that input is available. */
    void readable() {
        if (inputDeferred) {
            return;
        }
        if (isExcessive() || loop.isTurnLong()) {
            deferInput();
        } else {
            readInput();
        }
    }

    /** Handles input that has waited for this turn, first what has been read before. */
    void readDeferred() {
        if (closed || !inputDeferred) {
            return;
        }
        inputDeferred = false;
        updateReadInterest();
        if (messagesWaiting && lingerTimer == null) {
            messagesWaiting = false;
            handler.received(this);
        }
        if (!closed && !inputDeferred) {
            readInput();
        }
    }

    private void readInput() {
        allowance.enter(loop.turnNumber(), loop.currentMicros());
        try {
            for (int i = 0; i < MAX_READS_PER_TURN && !closed && !readsSuspended; i++) {
                int bytesRead = readOnce();
                if (bytesRead > 0 && lingerTimer != null) {
                    discardInput(bytesRead);
                } else if (bytesRead > 0) {
                    handler.received(this);
                } else if (bytesRead < 0) {
                    peerDisconnected();
                    return;
                } else {
                    break;
                }
                if (inputDeferred || allowance.isSpent(loop.currentMicros())) {
                    break;
                }
            }
        } catch (IOException e) {
            LOG.debug("read: {}", e.getMessage());
            peerDisconnected();
            return;
        }
        // Backpressure: no more is read than the ring can hold.
        boolean isHandlerBehind = in.isFull() && !messagesWaiting && !handler.dropsInputBeyondRing();
        if (!closed && !readsSuspended && lingerTimer == null && isHandlerBehind) {
            suspendReads();
        }
    }

    /**
     * Whether the handler may handle another message of this connection in this turn. If not, it returns, and {@link
     * LinkHandler#received} is called again in a later turn, behind the input of all other connections.
     */
    public boolean mayHandleNext() {
        long now = loop.currentMicros();
        allowance.enter(loop.turnNumber(), now);
        if (!allowance.takeMessage(now)) {
            deferRest();
            return false;
        }
        return true;
    }

    /**
     * Whether the handler may take another step in parsing a message of this connection in this turn. If not, it
     * returns, as for {@link #mayHandleNext}.
     */
    @Override
    public boolean mayContinue() {
        long now = loop.currentMicros();
        allowance.enter(loop.turnNumber(), now);
        if (!allowance.takeStep(now)) {
            deferRest();
            return false;
        }
        return true;
    }

    /** Leaves the rest of the ring to a later turn. */
    private void deferRest() {
        if (allowance.isExcessive()) {
            markExcessive();
        }
        messagesWaiting = true;
        deferInput();
    }

    /**
     * True if messages may wait for a later turn: the handler has left them in the ring, or nothing is read at present.
     * A connection is then not closed for having sent nothing.
     */
    public boolean isInputWaiting() {
        return !closed && (messagesWaiting || loop.messageMemory().isExceeded());
    }

    /** True if messages that the handler has left in the ring wait for a later turn. */
    public boolean hasMessagesWaiting() {
        return messagesWaiting && !closed;
    }

    /**
     * True if the peer sends faster than one connection is served, so that it is served behind all others. Never true
     * of outgoing connections: floods of clients must not delay what discovery and endpoints say.
     */
    public boolean isExcessive() {
        return loop.micros() < excessiveUntil;
    }

    private void markExcessive() {
        if (listener != null) {
            excessiveUntil = loop.micros() + EXCESSIVE_US;
        }
    }

    private void deferInput() {
        if (!inputDeferred) {
            inputDeferred = true;
            updateReadInterest();
            loop.deferredInput().add(this, isExcessive());
        }
    }

    private void updateReadInterest() {
        if (readsSuspended || inputDeferred) {
            source.suspendReads();
        } else {
            source.resumeReads();
        }
    }

    /** Reads once; returns what the conduit returned, or 0 if there is no room for more. */
    private int readOnce() throws IOException {
        if (lingerTimer == null && (droppedBytes > 0 || in.isFull() && handler.dropsInputBeyondRing())) {
            return dropInput();
        }
        if (loop.messageMemory().isExceeded()) {
            // It stays unread until the connections that hold most have given way, at the end of this turn.
            return 0;
        }
        int bytesRead = in.readFrom(source);
        if (bytesRead > 0) {
            arrivals.add(
                    in.consumedBytes() + in.size(),
                    inputPendingSince < 0 ? loop.micros() : inputPendingSince,
                    in.consumedBytes());
        }
        return bytesRead;
    }

    private int dropInput() throws IOException {
        int bytesRead = source.read(loop.scratch());
        droppedBytes += Math.max(0, bytesRead);
        markExcessive();
        return bytesRead;
    }

    /** True if input behind a full ring has been dropped, so that the ring's content is followed by a gap. */
    public boolean hasDroppedInput() {
        return droppedBytes > 0;
    }

    /** Discards the input ring. Further input is dropped too, since it does not follow what was read before. */
    public void dropRing() {
        droppedBytes += in.size();
        in.skip(in.size());
    }

    /** Sets how many bytes of messages the handler holds for this connection, beside the rings. */
    public void setHandlerBytes(long bytes) {
        memory.add(bytes - handlerBytes);
        handlerBytes = bytes;
    }

    /** Sets the arrival time of bytes that the first read finds, microseconds. */
    void setInputPendingSince(long instant) {
        inputPendingSince = instant;
    }

    /** Returns when the last byte consumed from the input ring arrived, microseconds. */
    public long lastConsumedArrival() {
        return arrivals.arrivalBefore(in.consumedBytes(), loop.micros());
    }

    /**
     * Reads available input into the ring without notifying the handler, within the bounds of a turn, and returns
     * whether the peer has ended or reset the connection behind it. If so, the handler is notified later.
     */
    public PeerState peerState() {
        if (closed || peerEnded) {
            return PeerState.ENDED;
        }
        int bytesRead = 0;
        try {
            for (int i = 0; i < MAX_READS_PER_TURN; i++) {
                bytesRead = readOnce();
                if (bytesRead <= 0) {
                    break;
                }
            }
            peerEnded = bytesRead < 0;
        } catch (IOException e) {
            LOG.debug("read: {}", e.getMessage());
            peerEnded = true;
        }
        if (peerEnded) {
            loop.later(this::peerDisconnected);
            return PeerState.ENDED;
        }
        return bytesRead > 0 ? PeerState.UNSEEN : PeerState.CONNECTED;
    }

    /** Stops reading until {@link #resumeReads} is called. */
    public void suspendReads() {
        if (!closed && !readsSuspended) {
            readsSuspended = true;
            updateReadInterest();
        }
    }

    /** Resumes reading after {@link #suspendReads}. */
    public void resumeReads() {
        if (!closed && readsSuspended) {
            readsSuspended = false;
            updateReadInterest();
        }
    }

    private void writable() {
        flush();
    }

    /** Writes what the socket accepts now, and the rest once it is writable again. */
    public void flush() {
        if (closed || connection == null) {
            return;
        }
        try {
            while (!out.isEmpty()) {
                if (out.writeTo(sink) == 0) {
                    sink.resumeWrites();
                    return;
                }
            }
            sink.suspendWrites();
        } catch (IOException e) {
            LOG.debug("write: {}", e.getMessage());
            // The handler may be the caller and still be using this connection, so it is notified later.
            loop.later(this::peerDisconnected);
            return;
        }
        if (endingOutput && lingerTimer == null) {
            endOutput();
        }
        handler.flushed(this);
    }

    /** Discards input after the output has ended, and stops reading beyond {@link #MAX_LINGER_BYTES}. */
    private void discardInput(int bytesRead) {
        in.skip(in.size());
        lingerBytes += bytesRead;
        if (lingerBytes > MAX_LINGER_BYTES) {
            suspendReads();
        }
    }

    private void endOutput() {
        try {
            sink.terminateWrites();
            sink.flush();
        } catch (IOException e) {
            LOG.debug("end: {}", e.getMessage());
            loop.later(this::peerDisconnected);
            return;
        }
        in.skip(in.size());
        lingerTimer = loop.deadlines().at(loop.micros() + LINGER_US, this::peerDisconnected);
        resumeReads();
        if (listener != null) {
            loop.resumeFullListeners();
        }
    }

    /**
     * Ends the output once everything is written, and closes the connection when the peer has ended its side too or
     * {@link #LINGER_US} has passed. Closing at once, with input unread, would reset the connection, and the peer might
     * lose the response.
     */
    public void endOutputWhenFlushed() {
        endingOutput = true;
        flush();
    }

    /** True once all output has been sent and ended; input is discarded from then on. */
    public boolean isOutputEnded() {
        return lingerTimer != null;
    }

    private void peerDisconnected() {
        if (!closed) {
            close();
            handler.disconnected(this);
        }
    }

    /** Reads unread input before a close: otherwise the close would reset the connection and lose data in flight. */
    private void drainUnread() {
        try {
            int remaining = MAX_LINGER_BYTES;
            int bytesRead = 1;
            while (bytesRead > 0 && remaining > 0) {
                bytesRead = source.read(loop.scratch());
                remaining -= bytesRead;
            }
        } catch (IOException e) {
            LOG.debug("last read: {}", e.getMessage());
        }
    }

    /** Closes at once, without notifying the handler. */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        memory.close();
        if (lingerTimer != null) {
            loop.deadlines().cancel(lingerTimer);
        }
        if (pendingConnect != null) {
            pendingConnect.cancel();
        }
        if (listener != null) {
            drainUnread();
        }
        IoUtils.safeClose(connection);
        loop.linkClosed(this);
    }
}
