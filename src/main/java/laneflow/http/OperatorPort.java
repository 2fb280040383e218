package laneflow.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import laneflow.core.Deadlines.Deadline;
import laneflow.net.Link;
import laneflow.net.LinkHandler;
import laneflow.net.Listener;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A read-only port for operators, separate from the clients' port: GET on a few paths, one response per
 * connection. It limits the number and the duration of its connections, so that clients keep their share of
 * descriptors. Used on the loop's thread.
 */
public final class OperatorPort {
    private static final Logger LOG = LoggerFactory.getLogger(OperatorPort.class);
    private static final int MAX_CONNECTIONS = 8;
    private static final long CONNECTION_TIMEOUT_US = 2_000_000;
    private static final int IN_RING_BYTES = 32 * 1024;
    private static final int OUT_RING_BYTES = 1 << 20;

    private final Loop loop;
    private final Map<String, Supplier<String>> reports = new TreeMap<>();
    private Listener listener;
    private int openConnections;

    public OperatorPort(Loop loop) {
        this.loop = loop;
    }

    /** Answers GET on the path with the supplier's JSON text. */
    public void addReport(String path, Supplier<String> text) {
        reports.put(path, text);
    }

    public void listen(InetSocketAddress address) throws IOException {
        listener = loop.listen(address, IN_RING_BYTES, OUT_RING_BYTES, () -> false, Connection::new);
        listener.begin();
        LOG.info("operators at {}", listener.address());
    }

    public InetSocketAddress address() {
        return listener.address();
    }

    /** An operator's connection. */
    private final class Connection implements LinkHandler, HttpReader.Sink {
        private final HttpReader reader = new HttpReader(false, this);
        private final Deadline timer = loop.deadlines().create(this::onTimeout);
        private Link link;
        private HttpHead head;
        private boolean answered;

        @Override
        public void opened(Link openedLink) {
            link = openedLink;
            openConnections++;
            loop.deadlines().set(timer, loop.micros() + CONNECTION_TIMEOUT_US);
            if (openConnections > MAX_CONNECTIONS) {
                respond(503, "Service Unavailable", "too many ask at once\n");
            }
        }

        private void onTimeout() {
            link.close();
            release();
        }

        private void release() {
            loop.deadlines().cancel(timer);
            openConnections--;
        }

        @Override
        public void received(Link source) {
            if (answered) {
                return;
            }
            try {
                reader.read(link.in, link);
                if (reader.isDone()) {
                    handleRequest();
                }
            } catch (HttpException e) {
                respond(e.status, e.reason(), e.getMessage() + "\n");
            }
        }

        private void handleRequest() {
            int query = head.targetOrStatus.indexOf('?');
            Supplier<String> report =
                    reports.get(query < 0 ? head.targetOrStatus : head.targetOrStatus.substring(0, query));
            if (!head.methodOrVersion.equals("GET")) {
                respond(405, "Method Not Allowed", "only GET\n");
            } else if (report == null) {
                respond(404, "Not Found", "known are " + String.join(", ", reports.keySet()) + "\n");
            } else {
                respond(200, "OK", report.get());
            }
        }

        private void respond(int status, String reason, String text) {
            answered = true;
            byte[] body = text.getBytes(StandardCharsets.UTF_8);
            link.out.put(("HTTP/1.1 " + status + " " + reason + "\r\nContent-Type: "
                            + (status == 200 ? "application/json" : "text/plain") + "\r\nContent-Length: "
                            + body.length + "\r\nConnection: close\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            link.out.put(body);
            link.endOutputWhenFlushed();
        }

        @Override
        public void head(HttpHead received) {
            head = received;
        }

        @Override
        public void body(byte[] bytes) throws HttpException {
            throw new HttpException(413, "no body is wanted here");
        }

        @Override
        public void end() {
            // Answered once the reader has returned.
        }

        @Override
        public void disconnected(Link brokenLink) {
            release();
        }
    }
}
