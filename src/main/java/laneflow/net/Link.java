package laneflow.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import laneflow.core.Deadlines.Deadline;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.StreamSinkConduit;
import org.xnio.conduits.StreamSourceConduit;

/** One connection in the loop's table, with a ring a direction. */
public final class Link {
    private static final Logger LOG = LoggerFactory.getLogger(Link.class);
    /** Reads in a row before others have their turn. */
    private static final int MAX_READS_PER_TURN = 8;
    /** What an ended connection still sends is passed over for so long, and up to so much. */
    private static final long LINGER_US = 1_000_000;

    private static final int MAX_LINGER_BYTES = 256 * 1024;
    /** Bytes behind a full ring are dropped up to so much; those behind them stay unread. */
    private static final int MAX_DROPPED_BYTES = 4 * 1024 * 1024;

    public final Ring in;
    public final Ring out;
    private final Loop loop;
    private final LinkHandler handler;
    /** Who accepted it; null where it was opened here. */
    private final Loop.Listener listener;

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
    private final ArrivalTimes arrivals = new ArrivalTimes();
    /** What its first read takes in has been there since then, microseconds; negative: it has just come. */
    private long inputPendingSince = -1;

    private int droppedBytes;
    private boolean peerEnded;

    Link(Loop loop, LinkHandler handler, int inLimit, int outLimit, Loop.Listener listener) {
        this.loop = loop;
        this.handler = handler;
        this.listener = listener;
        in = new Ring(inLimit);
        out = new Ring(outLimit);
    }

    /** What it runs on; null until it is up. */
    StreamConnection connection() {
        return connection;
    }

    void assignHandle(long assigned) {
        handle = assigned;
    }

    /** Its number in the loop's table, void once it has closed. */
    public long handle() {
        return handle;
    }

    /** The other side's address in figures; "-" where it is not known. */
    public String peerHost() {
        InetSocketAddress address = connection == null ? null : connection.getPeerAddress(InetSocketAddress.class);
        return address == null ? "-" : address.getAddress().getHostAddress();
    }

    public boolean isClosed() {
        return closed;
    }

    Loop.Listener listener() {
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
        source.resumeReads();
    }

    /** Reads what is there already: before it closes a connection, its owner looks once more. */
    public void readNow() {
        if (!closed && connection != null) {
            readable();
        }
    }

    void readable() {
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
            }
        } catch (IOException e) {
            LOG.debug("read: {}", e.getMessage());
            peerDisconnected();
            return;
        }
        // A peer that sends on and on is not read further than the ring holds.
        if (!closed && !readsSuspended && lingerTimer == null && in.isFull() && !handler.dropsInputBeyondRing()) {
            suspendReads();
        }
    }

    /** Reads once, as the conduit does; 0 also where there is no room. */
    private int readOnce() throws IOException {
        if (lingerTimer == null && (droppedBytes > 0 || in.isFull() && handler.dropsInputBeyondRing())) {
            return dropInput();
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
        if (droppedBytes > MAX_DROPPED_BYTES) {
            suspendReads();
        }
        return bytesRead;
    }

    /** True if bytes behind a full ring have been dropped: what is in the ring has no sound continuation. */
    public boolean hasDroppedInput() {
        return droppedBytes > 0;
    }

    /** Bytes that are there at its first read have been there since then, microseconds. */
    void setInputPendingSince(long instant) {
        inputPendingSince = instant;
    }

    /** When the last byte that was taken out of the incoming ring arrived, microseconds. */
    public long lastConsumedArrival() {
        return arrivals.arrivalBefore(in.consumedBytes(), loop.micros());
    }

    /**
     * Takes what has come into the ring without a word to its owner, and tells whether the other side has
     * ended or broken the connection behind it. Where it has, the owner is told later.
     */
    public boolean hasPeerEnded() {
        if (closed || peerEnded) {
            return true;
        }
        try {
            int bytesRead;
            do {
                bytesRead = readOnce();
            } while (bytesRead > 0 && droppedBytes <= MAX_DROPPED_BYTES);
            peerEnded = bytesRead < 0;
        } catch (IOException e) {
            LOG.debug("read: {}", e.getMessage());
            peerEnded = true;
        }
        if (peerEnded) {
            loop.later(this::peerDisconnected);
        }
        return peerEnded;
    }

    /** Stops reading until {@link #resumeReads}. */
    public void suspendReads() {
        if (!closed && !readsSuspended) {
            readsSuspended = true;
            source.suspendReads();
        }
    }

    /** Goes on reading. */
    public void resumeReads() {
        if (!closed && readsSuspended) {
            readsSuspended = false;
            source.resumeReads();
        }
    }

    private void writable() {
        flush();
    }

    /** Writes what it can now and the rest when the other side takes more. */
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
            // The owner is at work now and may have more to do with it: it is told later.
            loop.later(this::peerDisconnected);
            return;
        }
        if (endingOutput && lingerTimer == null) {
            endOutput();
        }
        handler.flushed(this);
    }

    /** Bytes that the other side still sends are not kept; past a measure they are not read either. */
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
            listener.resumeFullListeners();
        }
    }

    /**
     * Ends the sending once all is written, and closes when the other side has ended too or some time has
     * passed. Closed at once, with input unread, the connection would be reset and the answer might be lost.
     */
    public void endOutputWhenFlushed() {
        endingOutput = true;
        flush();
    }

    /** All has been sent, and nothing more is read from it. */
    public boolean isOutputEnded() {
        return lingerTimer != null;
    }

    private void peerDisconnected() {
        if (!closed) {
            close();
            handler.disconnected(this);
        }
    }

    /** Closed over unread bytes, it would be reset, and what is on its way to its client might be lost. */
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

    /** Closes at once; nothing more is told of it. */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
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
