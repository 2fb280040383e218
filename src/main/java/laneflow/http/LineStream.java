package laneflow.http;

import java.nio.charset.StandardCharsets;
import laneflow.core.Deadlines.Deadline;
import laneflow.net.Link;
import laneflow.net.LinkHandler;
import laneflow.net.Loop;

/**
 * A bidirectional stream of lines over one HTTP/1.1 exchange: a chunked POST request and its chunked
 * response, both open for as long as the stream lasts, with one chunk per line. Empty lines are heartbeats.
 * A stream that has ended is not reopened. Used on the loop's thread.
 */
public final class LineStream implements LinkHandler, HttpReader.Sink {
    private static final int IN_RING = 1 << 20;
    private static final int OUT_RING = 1 << 20;

    /** Receives the events of a stream. */
    public interface Listener {
        /** The peer has answered 200. */
        void onOpen();

        /** A non-empty line in UTF-8, without its terminator. */
        void onLine(byte[] text);

        /** The stream has ended; called once, after all other events. */
        void onClose(String reason);
    }

    private final Loop loop;
    private final Listener listener;
    private final HttpReader httpReader = new HttpReader(true, this);
    private final ChunkedLines lines;
    private final Deadline timer;
    private final String requestHead;
    private final long silenceTimeout;
    private Link link;
    private boolean closed;

    /**
     * Connects and opens a stream.
     *
     * @param headers further header lines, each with its terminator
     * @param connectTimeout microseconds within which the connection must be established
     * @param silenceTimeout microseconds without input after which the stream is closed
     * @param maxLineBytes length of the longest line accepted
     */
    public LineStream(
            Loop loop,
            String address,
            String path,
            String headers,
            long connectTimeout,
            long silenceTimeout,
            int maxLineBytes,
            Listener listener) {
        this.loop = loop;
        this.listener = listener;
        this.silenceTimeout = silenceTimeout;
        lines = new ChunkedLines(maxLineBytes);
        requestHead = "POST " + path + " HTTP/1.1\r\nHost: " + address + "\r\nContent-Type: application/x-ndjson\r\n"
                + headers + "Transfer-Encoding: chunked\r\n\r\n";
        timer = loop.deadlines().create(() -> finish("no data received in time"));
        loop.deadlines().set(timer, loop.micros() + connectTimeout);
        link = loop.connect(Loop.parseAddress(address), IN_RING, OUT_RING, this);
    }

    /** Sends a line; returns false, and ends the stream, if it is closed or its buffer is full. */
    public boolean send(String text) {
        if (closed || !ChunkedLines.put(text, link.out)) {
            loop.later(() -> finish("send buffer full: the peer does not read"));
            return false;
        }
        link.flush();
        return true;
    }

    /** Stops reading, and the silence time-out, until {@link #resumeReading}: earlier lines are being processed. */
    public void pauseReading() {
        loop.deadlines().cancel(timer);
        link.suspendReads();
    }

    public void resumeReading() {
        if (!closed) {
            loop.deadlines().set(timer, loop.micros() + silenceTimeout);
            link.resumeReads();
        }
    }

    /** Closes the stream without further events. */
    public void close() {
        closed = true;
        loop.deadlines().cancel(timer);
        link.close();
    }

    private void finish(String reason) {
        if (!closed) {
            close();
            listener.onClose(reason);
        }
    }

    @Override
    public void opened(Link openedLink) {
        loop.deadlines().set(timer, loop.micros() + silenceTimeout);
        link.out.put(requestHead.getBytes(StandardCharsets.US_ASCII));
        link.flush();
    }

    @Override
    public void connectFailed(Link failedLink) {
        finish("connection failed");
    }

    @Override
    public void received(Link source) {
        loop.deadlines().set(timer, loop.micros() + silenceTimeout);
        try {
            httpReader.read(link.in, link);
            if (httpReader.isDone()) {
                finish("the peer ended the stream");
            }
        } catch (HttpException e) {
            finish(e.getMessage());
        }
    }

    @Override
    public void disconnected(Link brokenLink) {
        finish("connection lost");
    }

    @Override
    public void head(HttpHead received) throws HttpException {
        if (received.status() != 200) {
            throw new HttpException(received.status(), "unexpected status " + received.status());
        }
        listener.onOpen();
    }

    @Override
    public void body(byte[] bytes) throws HttpException {
        lines.accept(bytes, text -> {
            if (!closed) {
                listener.onLine(text);
            }
        });
    }

    @Override
    public void end() {
        // Reported once the reader has returned.
    }
}
