package laneflow.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import laneflow.core.Deadlines.Deadline;
import laneflow.net.Link;
import laneflow.net.LinkHandler;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The other side of {@link LineStream}: a listener at which schedulers hold long exchanges with lines both
 * ways, and at which operators ask and order by ordinary requests. Everybody shows the token, where there is
 * one. On the loop's thread.
 */
public final class StreamPort {
    private static final Logger LOG = LoggerFactory.getLogger(StreamPort.class);
    private static final int IN_RING = 1 << 20;
    private static final int OUT_RING = 1 << 20;
    private static final int MOST_BODY = 1 << 20;
    /** An ordinary request is there, and has its answer, within this time. */
    private static final long WITHIN = 60_000_000;

    /** What is done with those that come. */
    public interface Handler {
        /** A stream has begun; its lines go to the reader that is returned. */
        LineStream.Listener streamOpened(Stream stream);

        /** A request that is no stream; answered once, now or later. */
        void handleRequest(String verb, String path, byte[] body, Responder answer);
    }

    /** Answers a request; of a peer that has left meanwhile nothing is heard. */
    public interface Responder {
        /** @param type the content's, such as {@code application/json} */
        void respond(int status, String type, String headers, String text);
    }

    private final Loop loop;
    private final String path;
    private final String token;
    private final long silence;
    private final int mostLine;
    private final Handler host;
    private Loop.Listener listener;

    /**
     * One that does not listen yet.
     *
     * @param path of streams
     * @param token that everybody must show, or null
     * @param silence microseconds without a byte after which a stream counts as dead
     * @param mostLine bytes of the longest line taken
     */
    public StreamPort(Loop loop, String path, String token, long silence, int mostLine, Handler host) {
        this.loop = loop;
        this.path = path;
        this.token = token;
        this.silence = silence;
        this.mostLine = mostLine;
        this.host = host;
    }

    /** @param most connections at a time; they come out of no client's part of the descriptors */
    public void listen(InetSocketAddress at, int most) throws IOException {
        listener = loop.listenApart(at, IN_RING, OUT_RING, most, () -> false, Peer::new);
        listener.begin();
        LOG.info("other schedulers at {}", listener.address());
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /** A stream that another has begun. */
    public interface Stream {
        /** Sends a line; false if it can't take it, and then it is over. */
        boolean send(String text);

        /** Closes it; nothing more is told. */
        void close();
    }

    /** One connection. */
    private final class Peer implements LinkHandler, HttpReader.Sink, Stream {
        private final HttpReader reader = new HttpReader(false, this);
        private final Deadline timer = loop.deadlines().create(() -> over("nothing was heard in time"));
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private Lines lines;
        private LineStream.Listener to;
        private Link link;
        private HttpHead head;
        private boolean answered;
        private boolean over;

        @Override
        public void opened(Link up) {
            link = up;
            loop.deadlines().set(timer, loop.micros() + silence);
        }

        private void over(String why) {
            if (!over) {
                close();
                if (to != null) {
                    to.onClose(why);
                }
            }
        }

        @Override
        public void received(Link from) {
            if (to != null) {
                loop.deadlines().set(timer, loop.micros() + silence);
            }
            try {
                if (!answered) {
                    reader.read(link.in);
                }
                if (reader.isDone() && to != null) {
                    over("it was ended by the other side");
                } else if (reader.isDone() && !answered) {
                    answered = true;
                    loop.deadlines().set(timer, loop.micros() + WITHIN);
                    host.handleRequest(head.first, head.second, body.toByteArray(), this::say);
                }
            } catch (HttpException e) {
                if (to != null) {
                    over(e.getMessage());
                } else {
                    say(e.status, "text/plain", "", e.getMessage() + "\n");
                }
            }
        }

        private void say(int status, String type, String headers, String text) {
            if (over || to != null) {
                return;
            }
            answered = true;
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            boolean fits = link.out.put(("HTTP/1.1 " + status + " -\r\nContent-Type: " + type + "\r\nContent-Length: "
                                    + bytes.length + "\r\n" + headers + "Connection: close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII))
                    && link.out.put(bytes);
            if (fits) {
                link.endWhenFlushed();
            } else {
                over("an answer of " + bytes.length + " bytes");
            }
        }

        @Override
        public void head(HttpHead received) throws HttpException {
            head = received;
            if (token != null && !("Bearer " + token).equals(received.header("authorization"))) {
                throw new HttpException(401, "the token is missing or is another");
            }
            if (received.first.equals("POST") && received.second.equals(path)) {
                link.out.put("HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
                link.out.put("Transfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                lines = new Lines(mostLine);
                to = host.streamOpened(this);
            }
        }

        @Override
        public void body(byte[] bytes) throws HttpException {
            if (to != null) {
                lines.take(bytes, text -> {
                    if (!over) {
                        to.onLine(text);
                    }
                });
                return;
            }
            body.writeBytes(bytes);
            if (body.size() > MOST_BODY) {
                throw new HttpException(413, "more than " + MOST_BODY + " bytes");
            }
        }

        @Override
        public void end() {
            // Answered once the reader has returned.
        }

        @Override
        public void broken(Link gone) {
            over("the connection broke");
        }

        @Override
        public boolean send(String text) {
            if (over || !Lines.put(text, link.out)) {
                loop.later(() -> over("it does not read what it is sent"));
                return false;
            }
            link.flush();
            return true;
        }

        @Override
        public void close() {
            over = true;
            loop.deadlines().cancel(timer);
            link.close();
        }
    }
}
