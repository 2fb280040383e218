package laneflow.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import laneflow.core.Deadlines.Deadline;
import laneflow.net.Link;
import laneflow.net.LinkHandler;
import laneflow.net.Listener;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The server side of {@link LineStream}: a port on which other schedulers open streams, and operators send
 * ordinary requests. All must present the token, if there is one. Used on the loop's thread.
 */
public final class StreamPort {
    private static final Logger LOG = LoggerFactory.getLogger(StreamPort.class);
    private static final int IN_RING_BYTES = 1 << 20;
    private static final int OUT_RING_BYTES = 1 << 20;
    private static final int MAX_BODY_BYTES = 1 << 20;
    /** Time within which an ordinary request must be answered and its connection closed. */
    private static final long REQUEST_TIMEOUT_US = 60_000_000;

    /** Handles the streams and requests of a port. */
    public interface Handler {
        /** A peer has opened a stream; returns the listener for its events. */
        LineStream.Listener streamOpened(Stream stream);

        /** Handles an ordinary request; answers it once, now or later. */
        void handleRequest(String verb, String path, byte[] body, Responder answer);
    }

    /** Sends the response to a request; does nothing if the peer has left meanwhile. */
    public interface Responder {
        /** @param type media type, such as {@code application/json} */
        void respond(int status, String type, String headers, String text);
    }

    private final Loop loop;
    private final String path;
    private final String token;
    private final long silenceTimeout;
    private final int maxLineBytes;
    private final Handler handler;
    private Listener listener;

    /**
     * Creates a port; {@link #listen} opens it.
     *
     * @param path path of the POST requests that open streams
     * @param token bearer token that every request must carry, or null for none
     * @param silenceTimeout microseconds without input after which a stream is closed
     * @param maxLineBytes length of the longest line accepted
     */
    public StreamPort(Loop loop, String path, String token, long silenceTimeout, int maxLineBytes, Handler handler) {
        this.loop = loop;
        this.path = path;
        this.token = token;
        this.silenceTimeout = silenceTimeout;
        this.maxLineBytes = maxLineBytes;
        this.handler = handler;
    }

    /** @param maxConnections limit of simultaneous connections; these do not use the clients' share of descriptors */
    public void listen(InetSocketAddress address, int maxConnections) throws IOException {
        listener = loop.listenWithOwnLimit(
                address, IN_RING_BYTES, OUT_RING_BYTES, maxConnections, () -> false, Connection::new);
        listener.begin();
        LOG.info("other schedulers at {}", listener.address());
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /** A stream opened by a peer. */
    public interface Stream {
        /** Sends a line; returns false, and ends the stream, if it is closed or its buffer is full. */
        boolean send(String text);

        /** Closes the stream without further events. */
        void close();
    }

    /** A connection that carries a stream or one ordinary request. */
    private final class Connection implements LinkHandler, HttpReader.Sink, Stream {
        private final HttpReader reader = new HttpReader(false, this);
        private final Deadline timer = loop.deadlines().create(() -> finish("no data received in time"));
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private ChunkedLines lines;
        private LineStream.Listener lineListener;
        private Link link;
        private HttpHead head;
        private boolean answered;
        private boolean closed;

        @Override
        public void opened(Link openedLink) {
            link = openedLink;
            loop.deadlines().set(timer, loop.micros() + silenceTimeout);
        }

        private void finish(String reason) {
            if (!closed) {
                close();
                if (lineListener != null) {
                    lineListener.onClose(reason);
                }
            }
        }

        @Override
        public void received(Link source) {
            if (lineListener != null) {
                loop.deadlines().set(timer, loop.micros() + silenceTimeout);
            }
            try {
                if (!answered) {
                    reader.read(link.in, link);
                }
                if (reader.isDone() && lineListener != null) {
                    finish("the peer ended the stream");
                } else if (reader.isDone() && !answered) {
                    answered = true;
                    loop.deadlines().set(timer, loop.micros() + REQUEST_TIMEOUT_US);
                    handler.handleRequest(head.methodOrVersion, head.targetOrStatus, body.toByteArray(), this::respond);
                }
            } catch (HttpException e) {
                if (lineListener != null) {
                    finish(e.getMessage());
                } else {
                    respond(e.status, "text/plain", "", e.getMessage() + "\n");
                }
            }
        }

        private void respond(int status, String type, String headers, String text) {
            if (closed || lineListener != null) {
                return;
            }
            answered = true;
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            boolean fits = link.out.put(("HTTP/1.1 " + status + " -\r\nContent-Type: " + type + "\r\nContent-Length: "
                                    + bytes.length + "\r\n" + headers + "Connection: close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII))
                    && link.out.put(bytes);
            if (fits) {
                link.endOutputWhenFlushed();
            } else {
                finish("response of " + bytes.length + " bytes exceeds the send buffer");
            }
        }

        @Override
        public void head(HttpHead received) throws HttpException {
            head = received;
            if (token != null && !("Bearer " + token).equals(received.header("authorization"))) {
                throw new HttpException(401, "the token is missing or is another");
            }
            if (received.methodOrVersion.equals("POST") && received.targetOrStatus.equals(path)) {
                link.out.put("HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
                link.out.put("Transfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                lines = new ChunkedLines(maxLineBytes);
                lineListener = handler.streamOpened(this);
            }
        }

        @Override
        public void body(byte[] bytes) throws HttpException {
            if (lineListener != null) {
                lines.accept(bytes, text -> {
                    if (!closed) {
                        lineListener.onLine(text);
                    }
                });
                return;
            }
            body.writeBytes(bytes);
            if (body.size() > MAX_BODY_BYTES) {
                throw new HttpException(413, "more than " + MAX_BODY_BYTES + " bytes");
            }
        }

        @Override
        public void end() {
            // Answered once the reader has returned.
        }

        @Override
        public void disconnected(Link brokenLink) {
            finish("connection lost");
        }

        @Override
        public boolean send(String text) {
            if (closed || !ChunkedLines.put(text, link.out)) {
                loop.later(() -> finish("send buffer full: the peer does not read"));
                return false;
            }
            link.flush();
            return true;
        }

        @Override
        public void close() {
            closed = true;
            loop.deadlines().cancel(timer);
            link.close();
        }
    }
}
