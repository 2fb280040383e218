package laneflow.http;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import laneflow.Dispatch.LoadReport;
import laneflow.Dispatch.Outcome;
import laneflow.Dispatch.State;
import laneflow.core.Carrier;
import laneflow.core.Deadlines.Deadline;
import laneflow.core.Endpoint;
import laneflow.core.OutboundCall;
import laneflow.core.Payload;
import laneflow.core.Scheduler;
import laneflow.net.Link;
import laneflow.net.LinkHandler;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Outbound calls over HTTP/1.1, one at a time on a connection, and the idle connections to each endpoint.
 * Nothing is ever sent again here: whether a call is repeated is the module's decision.
 */
public final class HttpCarrier implements Carrier {
    private static final Logger LOG = LoggerFactory.getLogger(HttpCarrier.class);
    private static final int IN_RING = 64 * 1024;
    private static final int OUT_RING = 128 * 1024;
    private static final int MOST_LINE = 512 * 1024;
    /** Part of the idle limit after which a connection is closed: later that might cross a request. */
    private static final double IDLE_PART = 0.7;
    /** What may come behind the last line, an empty chunk, comes within this time or not at all. */
    private static final long TAIL = 1_000_000;

    private final Loop loop;
    private final Scheduler scheduler;
    private final long idleLimit;
    private final long connectTimeout;
    /** Idle connections to all endpoints, the longest idle first. */
    private final ArrayDeque<Connection> idle = new ArrayDeque<>();

    /** @param idleSeconds after which endpoints close idle connections themselves */
    public HttpCarrier(Loop loop, Scheduler scheduler, double idleSeconds) {
        this.loop = loop;
        this.scheduler = scheduler;
        idleLimit = (long) (idleSeconds * IDLE_PART * 1e6);
        connectTimeout = (long) (scheduler.settings().connectTimeout * 1e6);
    }

    @Override
    public void open(OutboundCall call) {
        Connection connection = take(call.endpoint);
        connection.call = call;
        call.attachment = connection;
        connection.begin();
    }

    @Override
    public void close(OutboundCall call) {
        if (call.attachment instanceof Connection) {
            Connection connection = (Connection) call.attachment;
            if (connection.call == call) {
                connection.call = null;
                connection.shut();
            }
        }
    }

    @Override
    public void probe(Endpoint endpoint) {
        Connection connection = take(endpoint);
        connection.probeAt = loop.micros();
        connection.begin();
    }

    @Override
    public void closeIdle(Endpoint endpoint) {
        for (Connection connection : idleOf(endpoint)) {
            connection.shut();
        }
    }

    private List<Connection> idleOf(Endpoint endpoint) {
        List<Connection> found = new ArrayList<>();
        for (Connection connection : idle) {
            if (connection.endpoint == endpoint) {
                found.add(connection);
            }
        }
        return found;
    }

    /** The connection to the endpoint that was used last, or a new one. */
    private Connection take(Endpoint endpoint) {
        List<Connection> found = idleOf(endpoint);
        // One that leads to where the endpoint no longer is must not be used.
        for (int i = found.size() - 1; i >= 0; i--) {
            Connection connection = found.get(i);
            if (connection.dial.equals(endpoint.dial)) {
                idle.remove(connection);
                return connection;
            }
            connection.shut();
        }
        if (!loop.hasRoom() && !idle.isEmpty()) {
            idle.peek().shut();
        }
        return new Connection(endpoint);
    }

    /** One connection to an endpoint. */
    private final class Connection implements LinkHandler, HttpReader.Sink {
        private final Endpoint endpoint;
        private final String dial;
        private final HttpReader reader = new HttpReader(true, this);
        private final ByteArrayOutputStream line = new ByteArrayOutputStream();
        private final Deadline timer = loop.deadlines().create(this::timeOut);
        private Link link;
        private boolean up;
        private OutboundCall call;
        private long probeAt;
        private HttpHead head;
        private Outcome outcome;
        private byte[] result;
        private LoadReport report;

        Connection(Endpoint endpoint) {
            this.endpoint = endpoint;
            this.dial = endpoint.dial;
        }

        void begin() {
            if (up) {
                write();
                return;
            }
            scheduler.counters().add("endpoint.connects");
            try {
                if (!loop.hasRoom()) {
                    throw new IllegalArgumentException("no descriptor left");
                }
                link = loop.connect(Loop.address(dial), IN_RING, OUT_RING, this);
                loop.deadlines().set(timer, loop.micros() + connectTimeout);
            } catch (IllegalArgumentException e) {
                LOG.warn("{}: {}", endpoint, e.getMessage());
                loop.later(() -> finish(Outcome.CONNECT_FAILED));
            }
        }

        @Override
        public void opened(Link opened) {
            up = true;
            loop.deadlines().cancel(timer);
            write();
        }

        @Override
        public void notOpened(Link gone) {
            finish(Outcome.CONNECT_FAILED);
        }

        private void timeOut() {
            if (call == null && probeAt == 0) {
                shut();
            } else {
                // Only the coming up is timed here: a call's time is the scheduler's matter.
                finish(Outcome.CONNECT_FAILED);
            }
        }

        private void write() {
            loop.deadlines().cancel(timer);
            reader.next();
            line.reset();
            outcome = null;
            result = null;
            report = null;
            head = null;
            if (call == null) {
                put("GET /stats HTTP/1.1\r\nHost: " + dial + "\r\n\r\n");
            } else if (!scheduler.mayBegin(call)) {
                // It drained while the connection came up: its grace is over, and nothing has been written.
                finish(Outcome.CONNECT_FAILED);
                return;
            } else {
                Payload payload = call.request.payload;
                String key = payload.repeatKey();
                long left = Math.max(1, (call.request.deadline - loop.micros()) / 1000);
                put(payload.verb() + " " + payload.target() + " HTTP/1.1\r\nHost: " + dial + "\r\nReq-Id: "
                        + payload.requestId() + "\r\nReq-Deadline-Ms: " + left + "\r\n"
                        + (key == null ? "" : "Idempotency-Key: " + key + "\r\n")
                        + "Content-Length: " + payload.body().length + "\r\n\r\n");
                link.out.put(payload.body());
            }
            link.flush();
        }

        private void put(String text) {
            link.out.put(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        @Override
        public void received(Link from) {
            if (call == null && probeAt == 0 && reader.isDone()) {
                // Bytes nobody asked for: what would come next could not be told from them.
                shut();
                return;
            }
            try {
                reader.read(link.in);
            } catch (HttpException | JsonParseException | IllegalStateException
                    | UnsupportedOperationException | IllegalArgumentException | ClassCastException e) {
                LOG.warn("{} sent what can't be read: {}", endpoint, e.getMessage());
                scheduler.counters().add("endpoint.malformed");
                finish(Outcome.ERROR);
                return;
            }
            if (outcome != null) {
                finish(outcome);
            } else if (reader.isDone()) {
                rest();
            }
        }

        @Override
        public void head(HttpHead received) {
            head = received;
            if (call != null && head.status() != 200 && head.status() >= 200) {
                report = Loads.read(head.header(Names.LOAD));
                boolean declined = (head.status() == 503 || head.status() == 504)
                        && "1".equals(head.header(Names.DECLINED));
                outcome = declined ? Outcome.FULL : Outcome.ERROR;
            }
        }

        @Override
        public void body(byte[] bytes) throws HttpException {
            for (byte b : bytes) {
                if (b != '\n') {
                    line.write(b);
                } else {
                    endLine();
                }
            }
            if (line.size() > MOST_LINE) {
                throw new HttpException(400, "line too long");
            }
        }

        @Override
        public void end() {
            endLine();
            if (outcome == null && call != null && head.status() == 200) {
                outcome = Outcome.RESET;
            } else if (probeAt > 0) {
                outcome = head.status() == 200 ? Outcome.OK : Outcome.ERROR;
            }
        }

        private void endLine() {
            String text = line.toString(StandardCharsets.UTF_8).strip();
            line.reset();
            if (text.isEmpty() || outcome != null || call == null && probeAt == 0) {
                return;
            }
            if (call == null) {
                report = text.startsWith("{") ? Loads.read(JsonParser.parseString(text)) : Loads.read(text);
            } else {
                word(JsonParser.parseString(text).getAsJsonObject());
            }
        }

        private void word(JsonObject word) {
            String id = string(word, "id");
            if (id != null && !id.equals(call.request.payload.requestId())) {
                throw new IllegalStateException("a word on another request");
            }
            switch (String.valueOf(string(word, "state"))) {
                case "started":
                    scheduler.started(call);
                    break;
                case "running":
                    double share = word.has("share") ? word.get("share").getAsDouble() : 0;
                    scheduler.progress(call, (long) (share * 1000), 1000);
                    break;
                case "done":
                    result = result(word.get("result"));
                    ends(Outcome.OK, word);
                    break;
                case "failed":
                    ends(Outcome.ERROR, word);
                    break;
                case "returned":
                    ends(Outcome.FULL, word);
                    break;
                case "lost":
                    ends(Outcome.RESET, word);
                    break;
                default:
                    LOG.debug("{}: {}", endpoint, word);
                    break;
            }
        }

        private void ends(Outcome how, JsonObject word) {
            outcome = how;
            report = Loads.read(word.get("load"));
        }

        @Override
        public void broken(Link gone) {
            if (call == null && probeAt == 0) {
                shut();
            } else if (reader.ended() && outcome != null) {
                finish(outcome);
            } else {
                // The request's last byte decides: without it no endpoint starts, with it it may have.
                finish(link.out.isEmpty() ? Outcome.RESET : Outcome.CONNECT_FAILED);
            }
        }

        /** Tells how the call ended, with the connection already put away: the next call may want it. */
        private void finish(Outcome how) {
            OutboundCall ended = call;
            long probed = probeAt;
            call = null;
            probeAt = 0;
            rest();
            if (ended != null) {
                scheduler.ended(ended, how, result, report);
            } else if (probed > 0) {
                scheduler.probed(endpoint, (loop.micros() - probed) / 1e6, how, report);
            }
        }

        /** Keeps the connection for the next call if its answer is whole, else closes it. */
        private void rest() {
            if (link == null || link.isClosed() || !up || head == null || !head.keepsAlive()
                    || !link.out.isEmpty() || !link.in.isEmpty() && reader.isDone()) {
                shut();
            } else if (reader.isDone()) {
                if (endpoint.state() != State.READY) {
                    shut();
                    return;
                }
                idle.add(this);
                loop.deadlines().set(timer, loop.micros() + idleLimit);
            } else {
                loop.deadlines().set(timer, loop.micros() + TAIL);
            }
        }

        private void shut() {
            loop.deadlines().cancel(timer);
            idle.remove(this);
            if (link != null) {
                link.close();
            }
        }
    }

    private static String string(JsonObject from, String key) {
        JsonElement value = from.get(key);
        return value != null && value.isJsonPrimitive() ? value.getAsString() : null;
    }

    private static byte[] result(JsonElement result) {
        String text = result == null || result.isJsonNull() ? ""
                : result.isJsonPrimitive() ? result.getAsString() : result.toString();
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
