package laneflow.fleet;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import laneflow.core.Counters;
import laneflow.core.Deadlines.Deadline;
import laneflow.http.LineStream;
import laneflow.http.StreamPort;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Links between schedulers: lines of JSON over long-lived HTTP exchanges, one per pair of schedulers that
 * exchange messages. The dialling end keeps the link up, with exponential backoff and jitter; the dialled end
 * answers on it. Each end first sends a hello with its identity and the versions of the messages that it
 * supports; the highest version common to both is used. Messages of unknown types, and unknown fields, are
 * ignored.
 *
 * <p>Messages for a link that is down are not queued, and a peer that doesn't read loses its link: users of
 * messages must send again. On the loop's thread.
 */
public final class Fleet {
    /** The versions of the messages that this build supports. */
    public static final int OLDEST_VERSION = 1;

    public static final int NEWEST_VERSION = 1;
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
    private static final String PATH = "/fleet/link";
    private static final int MAX_LINE_BYTES = 1 << 20;
    private static final long FIRST_BACKOFF_MICROS = 10_000;
    private static final int HEARTBEATS_PER_SILENCE_TIMEOUT = 3;
    private static final int MAX_BACKOFF_DOUBLINGS = 16;
    private static final int MAX_MESSAGES_BEFORE_HELLO = 32;

    /** Handles a message from a peer. */
    public interface MessageHandler {
        void receive(Peer from, JsonObject message);
    }

    /** Handles an ordinary HTTP request; answers it exactly once. */
    public interface RequestHandler {
        void answer(String verb, String path, byte[] body, StreamPort.Responder answer);
    }

    /**
     * The identity of this process.
     *
     * @param instance distinguishes the process from all others that run or have run under the name
     * @param build version of the software, for reports
     */
    public record Self(String name, String instance, String build) {
        public String id() {
            return name + "#" + instance;
        }
    }

    private final Loop loop;
    private final FleetConfig config;
    private final Self self;
    private final Counters counters;
    private final String token;
    private final SplittableRandom random;
    private final StreamPort port;
    private final Map<String, MessageHandler> handlers = new HashMap<>();
    private final Map<String, RequestHandler> requestHandlers = new LinkedHashMap<>();
    private final Map<String, Dialled> dialled = new LinkedHashMap<>();
    private final List<Link> accepted = new ArrayList<>();
    private final List<Consumer<Peer>> upListeners = new ArrayList<>();
    private final List<Consumer<Peer>> downListeners = new ArrayList<>();
    private UnaryOperator<String> describer = name -> "";
    /** Shared by all links, so that an idle process wakes up once for all of them. */
    private final Deadline heartbeat;

    private boolean closed;

    /** @param token shared by all schedulers for authentication, or null */
    public Fleet(Loop loop, FleetConfig config, Self self, String token, Counters counters, long seed) {
        this.loop = loop;
        this.config = config;
        this.self = self;
        this.token = token;
        this.counters = counters;
        random = new SplittableRandom(seed);
        heartbeat = loop.deadlines().create(this::sendHeartbeats);
        port = new StreamPort(loop, PATH, token, config.silenceTimeout, MAX_LINE_BYTES, new PortHandler());
    }

    public Self self() {
        return self;
    }

    /** Opens the port for links and requests. */
    public void listen() throws IOException {
        port.listen(Loop.parseAddress(config.listen), config.maxLinks);
    }

    public StreamPort port() {
        return port;
    }

    /** Registers the handler of messages whose field {@code t} has this value. */
    public void handle(String type, MessageHandler handler) {
        handlers.put(type, handler);
    }

    /** Registers the handler of requests whose path begins with the prefix. */
    public void serve(String prefix, RequestHandler requestHandler) {
        requestHandlers.put(prefix, requestHandler);
    }

    /** Adds listeners that are called when a link has come up or gone down. */
    public void onLinkChange(Consumer<Peer> whenUp, Consumer<Peer> whenDown) {
        upListeners.add(whenUp);
        downListeners.add(whenDown);
    }

    /** Dials a configured peer and keeps a link to it from now on. */
    public void dial(String name) {
        if (!name.equals(self.name()) && !dialled.containsKey(name)) {
            Dialled to = new Dialled(name, config.peers.get(name));
            dialled.put(name, to);
            to.begin();
        }
    }

    /** The dialled peer of that name if its link is up, else null. */
    public Peer peer(String name) {
        Dialled to = dialled.get(name);
        return to == null || !to.isUp() ? null : to;
    }

    /** A link to the scheduler of that name, whichever end dialled, or null. */
    public Peer anyPeer(String name) {
        Peer to = peer(name);
        for (int i = 0; to == null && i < accepted.size(); i++) {
            to = accepted.get(i).isUp() && accepted.get(i).name().equals(name) ? accepted.get(i) : null;
        }
        return to;
    }

    /** Sets the source of short descriptions of schedulers; it returns empty for one that it doesn't know. */
    public void setDescriber(UnaryOperator<String> source) {
        describer = source;
    }

    /** A short description of the scheduler of that name, or empty. */
    public String description(String name) {
        return describer.apply(name);
    }

    /** The process with that id that has dialled this one, or null. */
    public Peer acceptedPeer(String id) {
        for (Link link : accepted) {
            if (link.isUp() && link.id().equals(id)) {
                return link;
            }
        }
        return null;
    }

    /** Names of the peers that this process dials. */
    public List<String> dialledNames() {
        return List.copyOf(dialled.keySet());
    }

    /** The configured address of a scheduler, or null. */
    public String address(String name) {
        return name.equals(self.name()) ? config.listen : config.peers.get(name);
    }

    /** Ends all links and sends nothing more. */
    public void close() {
        closed = true;
        loop.deadlines().cancel(heartbeat);
        dialled.values().forEach(link -> link.end("this process is shutting down"));
        new ArrayList<>(accepted).forEach(link -> link.end("this process is shutting down"));
    }

    /**
     * Sends heartbeats, so that the other end can tell an idle link from a dead one. A link that has been idle
     * for half of the interval gets its heartbeat early, together with the others: in time the heartbeats of
     * all links coincide.
     */
    private void sendHeartbeats() {
        long now = loop.micros();
        long interval = config.silenceTimeout / HEARTBEATS_PER_SILENCE_TIMEOUT;
        long next = Long.MAX_VALUE;
        List<Link> all = new ArrayList<>(accepted);
        all.addAll(dialled.values());
        for (Link link : all) {
            if (link.open && now - link.sentAt >= interval / 2) {
                link.writeLine(link.heartbeatLine());
            }
            next = link.open ? Math.min(next, link.sentAt + interval) : next;
        }
        if (next < Long.MAX_VALUE && !closed) {
            loop.deadlines().set(heartbeat, Math.max(now + 1, next - interval / 6), Math.max(now + 1, next));
        }
    }

    /** Starts the heartbeat timer, for a link that has come up. */
    private void scheduleHeartbeat() {
        if (!heartbeat.isSet() && !closed) {
            loop.deadlines().set(heartbeat, loop.micros() + config.silenceTimeout / HEARTBEATS_PER_SILENCE_TIMEOUT);
        }
    }

    private JsonObject hello() {
        JsonObject hello = new JsonObject();
        hello.addProperty("t", "hello");
        hello.addProperty("name", self.name());
        hello.addProperty("life", self.instance());
        hello.addProperty("build", self.build());
        hello.addProperty("from", OLDEST_VERSION);
        hello.addProperty("to", NEWEST_VERSION);
        return hello;
    }

    /** This end of a link, whichever end dialled. */
    private abstract class Link implements Peer, LineStream.Listener {
        private String name = "";
        private String instance = "";
        private int version;
        private boolean helloSent;
        private int messagesBeforeHello;
        /** When this end last sent a line; any line serves as a heartbeat. */
        private long sentAt;

        /** True while lines can be sent. */
        private boolean open;

        String heartbeatLine() {
            return "";
        }

        /** The peer has repeated its hello: it has not received this end's hello yet. */
        abstract void onRepeatedHello();

        abstract boolean write(String line);

        boolean writeLine(String line) {
            sentAt = loop.micros();
            return write(line);
        }

        abstract void closeStream();

        boolean isUp() {
            return version > 0;
        }

        @Override
        public String name() {
            return name;
        }

        @Override
        public String instance() {
            return instance;
        }

        @Override
        public int version() {
            return version;
        }

        @Override
        public boolean send(JsonObject message) {
            if (!isUp() || closed) {
                return false;
            }
            counters.add("fleet.sent");
            return writeLine(message.toString());
        }

        void sendHello() {
            if (!helloSent) {
                helloSent = true;
                writeLine(hello().toString());
            }
        }

        @Override
        public void onLine(byte[] text) {
            JsonObject message;
            try {
                message = JsonParser.parseString(new String(text, StandardCharsets.UTF_8))
                        .getAsJsonObject();
            } catch (JsonParseException | IllegalStateException e) {
                counters.add("fleet.garbled");
                end("a line is not a JSON object");
                return;
            }
            try {
                receive(message);
            } catch (IllegalStateException
                    | NullPointerException
                    | NumberFormatException
                    | UnsupportedOperationException
                    | ClassCastException
                    | IndexOutOfBoundsException e) {
                // A field is missing or malformed: the sender is not a known build.
                counters.add("fleet.garbled");
                LOG.warn("fleet: malformed message from {}: {}", name.isEmpty() ? "unknown peer" : name, e.toString());
            }
        }

        private void receive(JsonObject message) {
            JsonElement type = message.get("t");
            String kind = type == null || !type.isJsonPrimitive() ? "" : type.getAsString();
            counters.add("fleet.received");
            if (!isUp()) {
                // Messages may be lost or reordered, so the first one received need not be the hello.
                if (kind.equals("hello")) {
                    onHello(message);
                } else if (++messagesBeforeHello > MAX_MESSAGES_BEFORE_HELLO) {
                    end("no hello received");
                }
                return;
            }
            if (kind.equals("hello")) {
                onRepeatedHello();
                return;
            }
            MessageHandler handler = handlers.get(kind);
            if (handler == null) {
                counters.add("fleet.unknown");
            } else {
                handler.receive(this, message);
            }
        }

        private void onHello(JsonObject hello) {
            int highest = Math.min(hello.get("to").getAsInt(), NEWEST_VERSION);
            if (highest < Math.max(hello.get("from").getAsInt(), OLDEST_VERSION)) {
                counters.add("fleet.other_version");
                end("it supports versions " + hello.get("from") + " to " + hello.get("to") + ", this build "
                        + OLDEST_VERSION + " to " + NEWEST_VERSION);
                return;
            }
            name = hello.get("name").getAsString();
            instance = hello.get("life").getAsString();
            sendHello();
            version = highest;
            upListeners.forEach(listener -> listener.accept(this));
        }

        /** Ends the link, whichever end caused it. */
        void end(String why) {
            boolean wasUp = isUp();
            open = false;
            version = 0;
            helloSent = false;
            messagesBeforeHello = 0;
            closeStream();
            if (wasUp) {
                counters.add("fleet.links_lost");
                LOG.info("fleet: link to {} ended: {}", name, why);
                downListeners.forEach(listener -> listener.accept(this));
            }
        }

        @Override
        public void onClose(String why) {
            end(why);
        }
    }

    /** A link that this process dials. */
    private final class Dialled extends Link {
        private final String expectedName;
        private final String address;
        private LineStream stream;
        private int failures;

        private Dialled(String expectedName, String address) {
            this.expectedName = expectedName;
            this.address = address;
        }

        private void begin() {
            if (closed || stream != null) {
                return;
            }
            counters.add("fleet.dials");
            stream = new LineStream(
                    loop,
                    address,
                    PATH,
                    token == null ? "" : "Authorization: Bearer " + token + "\r\n",
                    config.silenceTimeout,
                    config.silenceTimeout,
                    MAX_LINE_BYTES,
                    this);
        }

        @Override
        public void onOpen() {
            super.open = true;
            sendHello();
            scheduleHeartbeat();
        }

        @Override
        String heartbeatLine() {
            return isUp() ? "" : hello().toString();
        }

        @Override
        public void onLine(byte[] text) {
            super.onLine(text);
            if (isUp() && !name().equals(expectedName)) {
                LOG.error("fleet: the scheduler at {} is {}, configured as {}", address, name(), expectedName);
                end("unexpected name");
            } else if (isUp()) {
                failures = 0;
            }
        }

        @Override
        void onRepeatedHello() {
            // The answer to a hello that was sent twice.
        }

        @Override
        boolean write(String line) {
            return stream != null && stream.send(line);
        }

        @Override
        void closeStream() {
            if (stream == null) {
                return;
            }
            stream.close();
            stream = null;
            if (!closed) {
                long backoff = Math.min(
                        config.maxBackoff, FIRST_BACKOFF_MICROS << Math.min(failures++, MAX_BACKOFF_DOUBLINGS));
                loop.deadlines().at(loop.micros() + 1 + random.nextLong(backoff), this::begin);
            }
        }
    }

    /** A link that the other end has dialled. */
    private final class Accepted extends Link {
        private final StreamPort.Stream stream;

        private Accepted(StreamPort.Stream stream) {
            this.stream = stream;
            super.sentAt = loop.micros();
            super.open = true;
            accepted.add(this);
            scheduleHeartbeat();
        }

        @Override
        void onRepeatedHello() {
            writeLine(hello().toString());
        }

        @Override
        public void onOpen() {
            // The dialling end sends its hello first.
        }

        @Override
        boolean write(String line) {
            return stream.send(line);
        }

        @Override
        void closeStream() {
            accepted.remove(this);
            stream.close();
        }
    }

    private final class PortHandler implements StreamPort.Handler {
        @Override
        public LineStream.Listener streamOpened(StreamPort.Stream stream) {
            return new Accepted(stream);
        }

        @Override
        public void handleRequest(String verb, String path, byte[] body, StreamPort.Responder answer) {
            for (Map.Entry<String, RequestHandler> entry : requestHandlers.entrySet()) {
                if (path.startsWith(entry.getKey())) {
                    entry.getValue().answer(verb, path, body, answer);
                    return;
                }
            }
            answer.respond(
                    404,
                    "text/plain",
                    "",
                    "unknown path; known paths: " + String.join(", ", requestHandlers.keySet()) + "\n");
        }
    }
}
