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
 * The link between schedulers: lines of JSON over long HTTP exchanges, one a pair that has something to say
 * to each other. Who dials keeps the link up, with waits that grow and are drawn by chance; who is dialled
 * answers on it. Each end first says who it is and which versions of the messages it knows; the highest that
 * both know holds. Messages of a type, and fields, that this build does not know are passed over.
 *
 * <p>Nothing is kept for a link that is down, and what a peer does not read ends its link: whatever rests on
 * messages says things again. On the loop's thread.
 */
public final class Fleet {
    /** Versions of the messages that this build speaks. */
    public static final int OLDEST_VERSION = 1;

    public static final int NEWEST_VERSION = 1;
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
    private static final String PATH = "/fleet/link";
    private static final int MOST_LINE = 1 << 20;
    private static final long FIRST_BACKOFF = 10_000;
    private static final int SIGNS_A_SILENCE = 3;
    private static final int MOST_DOUBLINGS = 16;
    private static final int MOST_EARLY = 32;

    /** What is done with a message. */
    public interface MessageHandler {
        void take(Peer from, JsonObject message);
    }

    /** Answers an ordinary request, once. */
    public interface RequestHandler {
        void asked(String verb, String path, byte[] body, StreamPort.Answer answer);
    }

    /**
     * Who this process is.
     *
     * @param instance unlike that of any other process of this name
     * @param build for reports
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
    private final Map<String, RequestHandler> paths = new LinkedHashMap<>();
    private final Map<String, Dialled> dialled = new LinkedHashMap<>();
    private final List<Link> accepted = new ArrayList<>();
    private final List<Consumer<Peer>> up = new ArrayList<>();
    private final List<Consumer<Peer>> down = new ArrayList<>();
    private UnaryOperator<String> describer = name -> "";
    /** One for all links, so that a process that has nothing to say wakes once for all of them. */
    private final Deadline signs;

    private boolean over;

    /** @param token that all schedulers show each other, or null */
    public Fleet(Loop loop, FleetConfig config, Self self, String token, Counters counters, long seed) {
        this.loop = loop;
        this.config = config;
        this.self = self;
        this.token = token;
        this.counters = counters;
        random = new SplittableRandom(seed);
        signs = loop.deadlines().create(this::signs);
        port = new StreamPort(loop, PATH, token, config.silence, MOST_LINE, new Host());
    }

    public Self self() {
        return self;
    }

    /** Lets others come. */
    public void listen() throws IOException {
        port.listen(Loop.address(config.listen), config.mostLinks);
    }

    public StreamPort port() {
        return port;
    }

    /** Messages whose field {@code t} is that go to the handler. */
    public void handle(String type, MessageHandler handler) {
        handlers.put(type, handler);
    }

    /** Ordinary requests whose path begins so go there. */
    public void serve(String prefix, RequestHandler asked) {
        paths.put(prefix, asked);
    }

    /** Told of every link that has come up or gone down. */
    public void onLinkChange(Consumer<Peer> whenUp, Consumer<Peer> whenDown) {
        up.add(whenUp);
        down.add(whenDown);
    }

    /** Keeps a link to that peer of the file from now on. */
    public void dial(String name) {
        if (!name.equals(self.name()) && !dialled.containsKey(name)) {
            Dialled to = new Dialled(name, config.peers.get(name));
            dialled.put(name, to);
            to.begin();
        }
    }

    /** The peer that is dialled by that name, where its link is up, or null. */
    public Peer peer(String name) {
        Dialled to = dialled.get(name);
        return to == null || !to.isUp() ? null : to;
    }

    /** A link to the scheduler of that name, whoever began it, or null. */
    public Peer anyPeer(String name) {
        Peer to = peer(name);
        for (int i = 0; to == null && i < accepted.size(); i++) {
            to = accepted.get(i).isUp() && accepted.get(i).name().equals(name) ? accepted.get(i) : null;
        }
        return to;
    }

    /** Tells what else is known of a scheduler, in a word, or empty. */
    public void setDescriber(UnaryOperator<String> by) {
        describer = by;
    }

    /** What else is known of that scheduler here, in a word, or empty. */
    public String description(String name) {
        return describer.apply(name);
    }

    /** The process of that name and life that has dialled this one, or null. */
    public Peer acceptedPeer(String who) {
        for (Link link : accepted) {
            if (link.isUp() && link.id().equals(who)) {
                return link;
            }
        }
        return null;
    }

    /** The names of those that a link is kept to. */
    public List<String> dialledNames() {
        return List.copyOf(dialled.keySet());
    }

    /** Where the file says that a peer is, or null. */
    public String address(String name) {
        return name.equals(self.name()) ? config.listen : config.peers.get(name);
    }

    /** Ends all links; nothing more is told. */
    public void close() {
        over = true;
        loop.deadlines().cancel(signs);
        dialled.values().forEach(one -> one.end("this process ends"));
        new ArrayList<>(accepted).forEach(one -> one.end("this process ends"));
    }

    /**
     * Signs of life, so that silence means something. A link that has said nothing for half of the time gets
     * its sign with the others, and so they come to have theirs together.
     */
    private void signs() {
        long now = loop.micros();
        long every = config.silence / SIGNS_A_SILENCE;
        long next = Long.MAX_VALUE;
        List<Link> all = new ArrayList<>(accepted);
        all.addAll(dialled.values());
        for (Link link : all) {
            if (link.open && now - link.saidAt >= every / 2) {
                link.put(link.signOfLife());
            }
            next = link.open ? Math.min(next, link.saidAt + every) : next;
        }
        if (next < Long.MAX_VALUE && !over) {
            loop.deadlines().set(signs, Math.max(now + 1, next - every / 6), Math.max(now + 1, next));
        }
    }

    /** A link has come up: it is to have its signs, too. */
    private void sign() {
        if (!signs.isSet() && !over) {
            loop.deadlines().set(signs, loop.micros() + config.silence / SIGNS_A_SILENCE);
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

    /** One end of a link, whoever began it. */
    private abstract class Link implements Peer, LineStream.Reader {
        private String name = "";
        private String instance = "";
        private int version;
        private boolean said;
        private int early;
        /** When it last sent something, which is a sign of life whatever it is. */
        private long saidAt;

        /** True while lines can go out. */
        private boolean open;

        String signOfLife() {
            return "";
        }

        /** It says again who it is: it has not heard that this end knows. */
        abstract void metAgain();

        abstract boolean write(String line);

        boolean put(String line) {
            saidAt = loop.micros();
            return write(line);
        }

        abstract void shut();

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
            if (!isUp() || over) {
                return false;
            }
            counters.add("fleet.sent");
            return put(message.toString());
        }

        void greet() {
            if (!said) {
                said = true;
                put(hello().toString());
            }
        }

        @Override
        public void line(byte[] text) {
            JsonObject message;
            try {
                message = JsonParser.parseString(new String(text, StandardCharsets.UTF_8))
                        .getAsJsonObject();
            } catch (JsonParseException | IllegalStateException e) {
                counters.add("fleet.garbled");
                end("a line that is no JSON object");
                return;
            }
            try {
                take(message);
            } catch (IllegalStateException
                    | NullPointerException
                    | NumberFormatException
                    | UnsupportedOperationException
                    | ClassCastException
                    | IndexOutOfBoundsException e) {
                // A field is missing or of another form: whoever sent it is of no build that we know.
                counters.add("fleet.garbled");
                LOG.warn("fleet: {} sent what can't be read: {}", name.isEmpty() ? "a peer" : name, e.toString());
            }
        }

        private void take(JsonObject message) {
            JsonElement type = message.get("t");
            String kind = type == null || !type.isJsonPrimitive() ? "" : type.getAsString();
            counters.add("fleet.received");
            if (!isUp()) {
                // Where words are lost or overtake each other, the first one heard need not be the first
                // one said.
                if (kind.equals("hello")) {
                    met(message);
                } else if (++early > MOST_EARLY) {
                    end("it did not say who it is");
                }
                return;
            }
            if (kind.equals("hello")) {
                metAgain();
                return;
            }
            MessageHandler handler = handlers.get(kind);
            if (handler == null) {
                counters.add("fleet.unknown");
            } else {
                handler.take(this, message);
            }
        }

        private void met(JsonObject hello) {
            int highest = Math.min(hello.get("to").getAsInt(), NEWEST_VERSION);
            if (highest < Math.max(hello.get("from").getAsInt(), OLDEST_VERSION)) {
                counters.add("fleet.other_version");
                end("it speaks versions " + hello.get("from") + " to " + hello.get("to") + ", this build "
                        + OLDEST_VERSION + " to " + NEWEST_VERSION);
                return;
            }
            name = hello.get("name").getAsString();
            instance = hello.get("life").getAsString();
            greet();
            version = highest;
            up.forEach(one -> one.accept(this));
        }

        /** It is over, whoever ended it. */
        void end(String why) {
            boolean was = isUp();
            open = false;
            version = 0;
            said = false;
            early = 0;
            shut();
            if (was) {
                counters.add("fleet.links_lost");
                LOG.info("fleet: the link with {} ended: {}", name, why);
                down.forEach(one -> one.accept(this));
            }
        }

        @Override
        public void over(String why) {
            end(why);
        }
    }

    /** A link that this process keeps up. */
    private final class Dialled extends Link {
        private final String wanted;
        private final String address;
        private LineStream stream;
        private int failures;

        private Dialled(String wanted, String address) {
            this.wanted = wanted;
            this.address = address;
        }

        private void begin() {
            if (over || stream != null) {
                return;
            }
            counters.add("fleet.dials");
            stream = new LineStream(
                    loop,
                    address,
                    PATH,
                    token == null ? "" : "Authorization: Bearer " + token + "\r\n",
                    config.silence,
                    config.silence,
                    MOST_LINE,
                    this);
        }

        @Override
        public void up() {
            super.open = true;
            greet();
            sign();
        }

        @Override
        String signOfLife() {
            return isUp() ? "" : hello().toString();
        }

        @Override
        public void line(byte[] text) {
            super.line(text);
            if (isUp() && !name().equals(wanted)) {
                LOG.error("fleet: at {} is {}, the file says {}", address, name(), wanted);
                end("it is another");
            } else if (isUp()) {
                failures = 0;
            }
        }

        @Override
        void metAgain() {
            // An answer to a word that was said twice.
        }

        @Override
        boolean write(String line) {
            return stream != null && stream.send(line);
        }

        @Override
        void shut() {
            if (stream == null) {
                return;
            }
            stream.close();
            stream = null;
            if (!over) {
                long most = Math.min(config.longestBackoff, FIRST_BACKOFF << Math.min(failures++, MOST_DOUBLINGS));
                loop.deadlines().at(loop.micros() + 1 + random.nextLong(most), this::begin);
            }
        }
    }

    /** A link that another keeps up. */
    private final class Accepted extends Link {
        private final StreamPort.Stream stream;

        private Accepted(StreamPort.Stream stream) {
            this.stream = stream;
            super.saidAt = loop.micros();
            super.open = true;
            accepted.add(this);
            sign();
        }

        @Override
        void metAgain() {
            put(hello().toString());
        }

        @Override
        public void up() {
            // Whoever dials speaks first.
        }

        @Override
        boolean write(String line) {
            return stream.send(line);
        }

        @Override
        void shut() {
            accepted.remove(this);
            stream.close();
        }
    }

    private final class Host implements StreamPort.Host {
        @Override
        public LineStream.Reader begun(StreamPort.Stream stream) {
            return new Accepted(stream);
        }

        @Override
        public void asked(String verb, String path, byte[] body, StreamPort.Answer answer) {
            for (Map.Entry<String, RequestHandler> one : paths.entrySet()) {
                if (path.startsWith(one.getKey())) {
                    one.getValue().asked(verb, path, body, answer);
                    return;
                }
            }
            answer.say(404, "text/plain", "", "known are " + String.join(", ", paths.keySet()) + "\n");
        }
    }
}
