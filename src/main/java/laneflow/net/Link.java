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
    private static final int READS = 8;
    /** What an ended connection still sends is passed over for so long, and up to so much. */
    private static final long LINGER = 1_000_000;

    private static final int MOST_PASSED_OVER = 256 * 1024;
    /** Bytes behind a full ring are dropped up to so much; those behind them stay unread. */
    private static final int MOST_DROPPED = 4 * 1024 * 1024;

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
    private IoFuture<StreamConnection> opening;
    private boolean closed;
    private boolean endWhenFlushed;
    private Deadline linger;
    private int passedOver;
    private boolean readsHeld;
    private final ArrivalTimes arrivals = new ArrivalTimes();
    /** What its first read takes in has been there since then, microseconds; negative: it has just come. */
    private long waitedSince = -1;

    private int dropped;
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

    void handle(long given) {
        handle = given;
    }

    /** Its number in the loop's table, void once it has closed. */
    public long handle() {
        return handle;
    }

    /** The other side's address in figures; "-" where it is not known. */
    public String peerHost() {
        InetSocketAddress at = connection == null ? null : connection.getPeerAddress(InetSocketAddress.class);
        return at == null ? "-" : at.getAddress().getHostAddress();
    }

    public boolean isClosed() {
        return closed;
    }

    Loop.Listener listener() {
        return listener;
    }

    void opening(IoFuture<StreamConnection> future) {
        opening = future;
    }

    void attach(StreamConnection up) {
        connection = up;
        opening = null;
        source = up.getSourceChannel().getConduit();
        sink = up.getSinkChannel().getConduit();
        up.getSourceChannel().getReadSetter().set(channel -> loop.turn(this::readable));
        up.getSinkChannel().getWriteSetter().set(channel -> loop.turn(this::writable));
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
            for (int i = 0; i < READS && !closed && !readsHeld; i++) {
                int got = take();
                if (got > 0 && linger != null) {
                    passOver(got);
                } else if (got > 0) {
                    handler.received(this);
                } else if (got < 0) {
                    broken();
                    return;
                } else {
                    break;
                }
            }
        } catch (IOException e) {
            LOG.debug("read: {}", e.getMessage());
            broken();
            return;
        }
        // A peer that sends on and on is not read further than the ring holds.
        if (!closed && !readsHeld && linger == null && in.isFull() && !handler.dropsInputBeyondRing()) {
            suspendReads();
        }
    }

    /** Reads once, as the conduit does; 0 also where there is no room. */
    private int take() throws IOException {
        if (linger == null && (dropped > 0 || in.isFull() && handler.dropsInputBeyondRing())) {
            return drop();
        }
        int got = in.readFrom(source);
        if (got > 0) {
            arrivals.add(
                    in.consumedBytes() + in.size(), waitedSince < 0 ? loop.micros() : waitedSince, in.consumedBytes());
        }
        return got;
    }

    private int drop() throws IOException {
        int got = source.read(loop.scratch());
        dropped += Math.max(0, got);
        if (dropped > MOST_DROPPED) {
            suspendReads();
        }
        return got;
    }

    /** True if bytes behind a full ring have been dropped: what is in the ring has no sound continuation. */
    public boolean hasDroppedInput() {
        return dropped > 0;
    }

    /** Bytes that are there at its first read have been there since then, microseconds. */
    void waitedSince(long instant) {
        waitedSince = instant;
    }

    /** When the last byte that was taken out of the incoming ring arrived, microseconds. */
    public long lastConsumedArrival() {
        return arrivals.before(in.consumedBytes(), loop.micros());
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
            int got;
            do {
                got = take();
            } while (got > 0 && dropped <= MOST_DROPPED);
            peerEnded = got < 0;
        } catch (IOException e) {
            LOG.debug("read: {}", e.getMessage());
            peerEnded = true;
        }
        if (peerEnded) {
            loop.later(this::broken);
        }
        return peerEnded;
    }

    /** Stops reading until {@link #resumeReads}. */
    public void suspendReads() {
        if (!closed && !readsHeld) {
            readsHeld = true;
            source.suspendReads();
        }
    }

    /** Goes on reading. */
    public void resumeReads() {
        if (!closed && readsHeld) {
            readsHeld = false;
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
            loop.later(this::broken);
            return;
        }
        if (endWhenFlushed && linger == null) {
            end();
        }
        handler.flushed(this);
    }

    /** Bytes that the other side still sends are not kept; past a measure they are not read either. */
    private void passOver(int got) {
        in.skip(in.size());
        passedOver += got;
        if (passedOver > MOST_PASSED_OVER) {
            suspendReads();
        }
    }

    private void end() {
        try {
            sink.terminateWrites();
            sink.flush();
        } catch (IOException e) {
            LOG.debug("end: {}", e.getMessage());
            loop.later(this::broken);
            return;
        }
        in.skip(in.size());
        linger = loop.deadlines().at(loop.micros() + LINGER, this::broken);
        resumeReads();
        if (listener != null) {
            listener.mayHaveRoom();
        }
    }

    /**
     * Ends the sending once all is written, and closes when the other side has ended too or some time has
     * passed. Closed at once, with input unread, the connection would be reset and the answer might be lost.
     */
    public void endOutputWhenFlushed() {
        endWhenFlushed = true;
        flush();
    }

    /** All has been sent, and nothing more is read from it. */
    public boolean isOutputEnded() {
        return linger != null;
    }

    private void broken() {
        if (!closed) {
            close();
            handler.disconnected(this);
        }
    }

    /** Closed over unread bytes, it would be reset, and what is on its way to its client might be lost. */
    private void dropUnread() {
        try {
            int more = MOST_PASSED_OVER;
            int got = 1;
            while (got > 0 && more > 0) {
                got = source.read(loop.scratch());
                more -= got;
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
        if (linger != null) {
            loop.deadlines().cancel(linger);
        }
        if (opening != null) {
            opening.cancel();
        }
        if (listener != null) {
            dropUnread();
        }
        IoUtils.safeClose(connection);
        loop.closed(this);
    }
}
