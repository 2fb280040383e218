package laneflow.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import laneflow.control.decision.Probation;
import laneflow.control.decision.Probation.Counts;
import laneflow.control.decision.Rollout;
import laneflow.control.decision.Track;
import laneflow.control.decision.Track.Kind;
import laneflow.control.decision.Track.Word;
import laneflow.control.decision.Version;
import laneflow.core.Carrier;
import laneflow.core.Counters;
import laneflow.core.Deadlines.Deadline;
import laneflow.core.Scheduler;
import laneflow.http.LineStream;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Configuration streamed from a control service in versions: destination sets, each acknowledged, or turned
 * down with every reason. A version is adopted whole within one turn of the loop. While no service speaks,
 * the last good version runs on for as long as it takes. On the loop's thread, but for the file of the last
 * good version.
 */
public final class ControlClient implements LineStream.Reader {
    private static final Logger LOG = LoggerFactory.getLogger(ControlClient.class);
    private static final String PATH = "/v3/discovery:stream";
    private static final long CONNECT = 1_000_000;
    private static final long FIRST_BACKOFF = 100_000;
    private static final int INVALID_ARGUMENT = 3;
    private static final int FAILED_PRECONDITION = 9;
    /** Longer reasons are cut: they are for people, and go over the wire and into the log. */
    private static final int MOST_REASON = 4000;

    private final Loop loop;
    private final Scheduler scheduler;
    private final Carrier carrier;
    private final ControlConfig config;
    private final DestinationType type;
    private final String name;
    private final String token;
    private final LastGood lastGood;
    private final Executor disk;
    private final LongSupplier wall;
    private final SplittableRandom random;
    private final Counters counters;
    private final Track track = new Track();
    private final Deadline again;
    private final Deadline judge;
    private LineStream stream;
    private int next;
    private int failures;
    private String streamAt = "";
    private String from = "";
    private String nonce = "";
    private long since;
    /** What runs, and what ran before it; null where there was none. */
    private JsonArray running;
    private JsonArray before;
    private Counts calm;
    private Counts start;
    private long startAt;

    /**
     * A client that has not begun.
     *
     * @param lastGood null where none is kept
     * @param disk runs what blocks
     * @param wall Unix time in milliseconds
     */
    public ControlClient(Loop loop, Scheduler scheduler, Carrier carrier, ControlConfig config,
            List<String> zones,
            String name, String token, LastGood lastGood, Executor disk, LongSupplier wall, long seed) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.carrier = carrier;
        this.config = config;
        this.name = name;
        this.token = token;
        this.lastGood = lastGood;
        this.disk = disk;
        this.wall = wall;
        type = new DestinationType(zones, config.allowed);
        random = new SplittableRandom(seed);
        counters = scheduler.counters();
        again = loop.deadlines().create(this::connect);
        judge = loop.deadlines().create(this::judge);
    }

    /** Runs what the file holds until the service speaks; before {@link #begin}. */
    public void startFrom(LastGood.Kept kept) {
        DestinationType.Read read = type.read(kept.resources().getAsJsonArray("resources"));
        if (!read.findings().isEmpty()) {
            LOG.warn("config type={} version={} verdict=passed_over from=last-good reason={}",
                    DestinationType.URL,
                    kept.version(), read.findings().get(0));
            return;
        }
        track.startAt(kept.version());
        running = kept.resources().getAsJsonArray("resources");
        from = "last-good";
        since = kept.adoptedMs();
        scheduler.list(carrier, true, read.entries());
        LOG.info("config type={} version={} verdict=running from=last-good age_s={}", DestinationType.URL,
                kept.version(), (wall.getAsLong() - kept.adoptedMs()) / 1000);
    }

    public void begin() {
        connect();
    }

    // ---- the stream ----

    private void connect() {
        String address = config.addresses.get(next++ % config.addresses.size());
        counters.add("config.streams");
        String headers = token == null ? "" : "Authorization: Bearer " + token + "\r\n";
        stream = new LineStream(loop, address, PATH, headers, CONNECT, config.silence, config.mostLine, this);
        streamAt = address;
    }

    @Override
    public void up() {
        JsonObject first = request(track.running());
        stream.send(first.toString());
    }

    @Override
    public void over(String why) {
        // Full jitter: schedulers that lost one service together must not come back to it together.
        long cap = Math.min(config.longestBackoff, FIRST_BACKOFF << Math.min(20, failures++));
        long wait = (long) (random.nextDouble() * cap);
        loop.deadlines().set(again, loop.micros() + wait);
        LOG.debug("control service {}: {}; the next is asked in {} us", streamAt, why, wait);
        counters.add("config.streams_ended");
    }

    @Override
    public void line(String text) {
        JsonObject message;
        long began = System.nanoTime();
        try {
            message = JsonParser.parseString(text).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            // Where a line is cut nothing says which answer it would want: the stream begins anew.
            counters.add("config.garbled");
            stream.close();
            over("a line that is no JSON object");
            return;
        }
        long before = since;
        take(message);
        if (since != before) {
            // From the line's first look to the set's last change: what the loop was held for.
            long took = (System.nanoTime() - began) / 1000;
            counters.set("config.adopt_us", took);
            counters.set("config.adopt_most_us", Math.max(took, counters.get("config.adopt_most_us")));
        }
    }

    private void take(JsonObject message) {
        nonce = text(message, "nonce");
        if (!text(message, "type_url").equals(DestinationType.URL)) {
            nack(text(message, "type_url"), INVALID_ARGUMENT, "this type is not taken here; taken is "
                    + DestinationType.URL);
            return;
        }
        Version offered;
        try {
            offered = Version.parse(text(message, "version_info"));
        } catch (IllegalArgumentException e) {
            nack(DestinationType.URL, INVALID_ARGUMENT, "version_info: " + e.getMessage());
            return;
        }
        Word word = track.whole(offered);
        if (word.isAck()) {
            ack(offered);
        } else if (word.kind() != Kind.LOOK) {
            nack(DestinationType.URL, FAILED_PRECONDITION, word.reason());
        } else {
            look(offered, message);
        }
        // Only what makes sense shows that the service is well.
        failures = 0;
    }

    private void look(Version offered, JsonObject message) {
        JsonElement held = message.get("rollout");
        if (held != null && held.isJsonObject()) {
            JsonObject rollout = held.getAsJsonObject();
            double share = number(rollout, "share", 1);
            double place = Rollout.place(name, (long) number(rollout, "seed", 0));
            if (place >= share) {
                nack(DestinationType.URL, FAILED_PRECONDITION, "held back: " + name + " stands at " + place
                        + ", the share is " + share);
                return;
            }
        }
        JsonElement resources = message.get("resources");
        if (resources == null || !resources.isJsonArray()) {
            refuse(offered, "resources: must be a list");
            return;
        }
        DestinationType.Read read = type.read(resources.getAsJsonArray());
        if (!read.findings().isEmpty()) {
            refuse(offered, String.join("\n", read.findings()));
            return;
        }
        adopt(offered, resources.getAsJsonArray(), read);
        ack(offered);
    }

    // ---- adopting and taking back ----

    /** All of it in this turn: what comes in later sees the new set, what is open goes on. */
    private void adopt(Version offered, JsonArray resources, DestinationType.Read read) {
        calm = start == null ? null : sinceStart();
        track.accept(offered);
        before = running;
        running = resources;
        from = streamAt;
        since = wall.getAsLong();
        scheduler.list(carrier, true, read.entries());
        counters.add("config.adopted");
        LOG.info("config type={} version={} verdict=adopted from={} endpoints={}", DestinationType.URL,
                offered, from,
                read.entries().size());
        start = now();
        startAt = loop.micros();
        if (config.probation > 0 && calm != null && before != null) {
            loop.deadlines().set(judge, loop.micros() + config.probation);
        } else {
            keep();
        }
    }

    private void refuse(Version offered, String reason) {
        track.refuse(offered, reason);
        nack(DestinationType.URL, INVALID_ARGUMENT, reason);
        LOG.warn("config type={} version={} verdict=refused from={} reason={}", DestinationType.URL, offered,
                streamAt,
                reason.replace('\n', ';'));
    }

    private void judge() {
        Probation.Finding finding = Probation.judge(calm, sinceStart(), null, null, config.bound);
        if (finding.verdict() != Probation.Verdict.TAKE_BACK) {
            keep();
            return;
        }
        Version broken = track.running();
        Version back = track.takeBack(finding.figures());
        running = before;
        since = wall.getAsLong();
        scheduler.list(carrier, true, type.read(running).entries());
        counters.add("config.taken_back");
        start = now();
        startAt = loop.micros();
        LOG.warn("config type={} version={} verdict=taken_back to={} reason={}", DestinationType.URL, broken,
                back,
                finding.figures());
        nack(DestinationType.URL, FAILED_PRECONDITION, "version " + broken + " was taken back: "
                + finding.figures());
    }

    /** What runs is good: the next start may begin with it. */
    private void keep() {
        if (lastGood == null) {
            return;
        }
        JsonObject all = new JsonObject();
        all.add("resources", running);
        LastGood.Kept kept = new LastGood.Kept(DestinationType.URL, track.running(), since, all);
        disk.execute(() -> {
            try {
                lastGood.write(kept);
            } catch (IOException e) {
                LOG.error("the last good configuration could not be kept: {}", e.getMessage());
            }
        });
    }

    private Counts now() {
        long taken = counters.get("http.taken") + counters.get("gearman.taken");
        long failed = counters.get("http.failed") + counters.get("gearman.failed");
        long refused = counters.get("http.refused") + counters.get("gearman.refused");
        return new Counts(taken, failed, counters.get("call.connect_failed"), refused, 0);
    }

    private Counts sinceStart() {
        Counts now = now();
        double seconds = Math.max(1e-3, (loop.micros() - startAt) / 1e6);
        long requests = now.requests() - start.requests();
        return new Counts(requests, now.failed() - start.failed(),
                now.connectErrors() - start.connectErrors(),
                now.refused() - start.refused(), requests / seconds);
    }

    // ---- words ----

    private JsonObject request(Version version) {
        JsonObject request = new JsonObject();
        JsonObject node = new JsonObject();
        node.addProperty("id", name);
        request.add("node", node);
        request.addProperty("type_url", DestinationType.URL);
        request.addProperty("version_info", version.equals(Version.NONE) ? "" : version.toString());
        request.addProperty("response_nonce", nonce);
        return request;
    }

    private void ack(Version offered) {
        counters.add("config.acked");
        stream.send(request(offered).toString());
    }

    private void nack(String url, int code, String reason) {
        counters.add("config.nacked");
        JsonObject request = request(track.running());
        request.addProperty("type_url", url);
        JsonObject detail = new JsonObject();
        detail.addProperty("code", code);
        detail.addProperty("message", reason.length() > MOST_REASON ? reason.substring(0, MOST_REASON)
                : reason);
        request.add("error_detail", detail);
        stream.send(request.toString());
    }

    /** What runs here, for whoever asks. */
    public String report() {
        JsonObject all = new JsonObject();
        all.addProperty("scheduler", name);
        JsonObject one = new JsonObject();
        one.addProperty("version", track.running().toString());
        one.addProperty("since_ms", since);
        one.addProperty("from", from);
        Map.Entry<Version, String> last = track.lastRefused();
        if (last != null) {
            JsonObject refused = new JsonObject();
            refused.addProperty("version", last.getKey().toString());
            refused.addProperty("reason", last.getValue());
            one.add("last_refused", refused);
        }
        JsonObject types = new JsonObject();
        types.add(DestinationType.URL, one);
        all.add("types", types);
        return all + "\n";
    }

    private static String text(JsonObject from, String key) {
        JsonElement value = from.get(key);
        return value != null && value.isJsonPrimitive() ? value.getAsString() : "";
    }

    private static double number(JsonObject from, String key, double absent) {
        JsonElement value = from.get(key);
        boolean is = value != null && value.isJsonPrimitive() && value.getAsJsonPrimitive().isNumber();
        return is ? value.getAsDouble() : absent;
    }
}
