package laneflow.http;

import java.nio.charset.StandardCharsets;
import laneflow.core.Deadlines.Deadline;
import laneflow.net.Link;
import laneflow.net.LinkHandler;
import laneflow.net.Loop;

/**
 * One long HTTP/1.1 exchange with lines both ways: a POST whose body goes on for as long as the stream
 * lasts, a chunk a line, and an answer that does the same. An empty line is a sign of life. It ends once,
 * whatever ends it, and is not begun anew here. On the loop's thread.
 */
public final class LineStream implements LinkHandler, HttpReader.Sink {
    private static final int IN_RING = 1 << 20;
    private static final int OUT_RING = 1 << 20;

    /** Who reads the lines. */
    public interface Listener {
        /** The other side has answered 200. */
        void onOpen();

        /** A line that is not empty, without its end, in UTF-8. */
        void onLine(byte[] text);

        /** It is over; told once, and nothing after it. */
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
     * Begins one.
     *
     * @param headers further header lines, each with its end
     * @param connect microseconds within which it must be up
     * @param silence microseconds without a byte after which it counts as dead
     * @param mostLine bytes of the longest line taken
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
        timer = loop.deadlines().create(() -> finish("nothing was heard in time"));
        loop.deadlines().set(timer, loop.micros() + connectTimeout);
        link = loop.connect(Loop.address(address), IN_RING, OUT_RING, this);
    }

    /** Sends a line; false if it can't take it, and then it is over. */
    public boolean send(String text) {
        if (closed || !ChunkedLines.put(text, link.out)) {
            loop.later(() -> finish("it does not read what it is sent"));
            return false;
        }
        link.flush();
        return true;
    }

    /** Reads no more until {@link #resumeReading}: what came is not yet worked off. Silence is not counted then. */
    public void pauseReading() {
        loop.deadlines().cancel(timer);
        link.holdReads();
    }

    public void resumeReading() {
        if (!closed) {
            loop.deadlines().set(timer, loop.micros() + silenceTimeout);
            link.resumeReads();
        }
    }

    /** Closes it; nothing more is told. */
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
    public void notOpened(Link failedLink) {
        finish("no connection");
    }

    @Override
    public void received(Link source) {
        loop.deadlines().set(timer, loop.micros() + silenceTimeout);
        try {
            httpReader.read(link.in);
            if (httpReader.isDone()) {
                finish("it was ended by the other side");
            }
        } catch (HttpException e) {
            finish(e.getMessage());
        }
    }

    @Override
    public void broken(Link brokenLink) {
        finish("the connection broke");
    }

    @Override
    public void head(HttpHead received) throws HttpException {
        if (received.status() != 200) {
            throw new HttpException(received.status(), "answered " + received.status());
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
        // Told once the reader has returned.
    }
}
