package laneflow.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import laneflow.control.decision.Probation;
import laneflow.control.decision.Probation.Verdict;
import laneflow.control.decision.Rollout;
import laneflow.control.decision.Trial;
import laneflow.control.decision.Version;
import laneflow.control.decision.VersionTracker.Kind;
import laneflow.control.decision.VersionTracker.Reply;
import laneflow.core.Counters;
import laneflow.core.Deadlines.Deadline;
import laneflow.core.Scheduler;
import laneflow.http.LineStream;
import laneflow.net.Loop;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Configuration streamed from a control service in versions of several types, each acknowledged, or turned
 * down with every reason. A line is read and checked on a thread of its own, one line after the other, and
 * adopted whole within one turn of the loop. While no service speaks, the last good versions run on for as
 * long as it takes. On the loop's thread, but for the reading and the files.
 */
public final class ControlClient implements LineStream.Reader {
    /** A type of messages that carries the control group's counts; it is not acknowledged. */
    public static final String GROUP = ResourceType.PREFIX + "group";
    /** The type of this scheduler's own counts, told to the service now and then. */
    public static final String FIGURES = ResourceType.PREFIX + "figures";

    private static final Logger LOG = LoggerFactory.getLogger(ControlClient.class);
    /** Where others need the cores, wall time tells more of them than of the work done here. */
    private static final ThreadMXBean CPU = ManagementFactory.getThreadMXBean();

    private static final String PATH = "/v3/discovery:stream";
    private static final long CONNECT = 1_000_000;
    private static final long FIRST_BACKOFF = 100_000;
    private static final int INVALID_ARGUMENT = 3;
    private static final int FAILED_PRECONDITION = 9;
    /** Longer reasons are cut: they are for people, and go over the wire and into the log. */
    private static final int MOST_REASON = 4000;
    /** Lines that wait to be read; with more, or more bytes than two longest lines, no more is taken in. */
    private static final int MOST_WAITING = 256;
    /** Microseconds: others have their turns there. */
    private static final long BETWEEN_STEPS = 100;
    /** Header texts of states of the settings that requests still open may have come under. */
    private static final int MOST_STAMPS = 4096;

    private static final String[] COUNTS = {"requests", "failed", "connect_errors", "refused"};

    private final Loop loop;
    private final Scheduler scheduler;
    private final ControlConfig config;
    private final Map<String, TypeRun> types = new LinkedHashMap<>();
    /** Types that the platform's file decides here, by their names on the stream. */
    private final Map<String, String> fixed = new LinkedHashMap<>();

    private final String[] classNames;
    private final String name;
    private final String token;
    private final Executor reading;
    private final LongSupplier wall;
    private final SplittableRandom random;
    private final Counters counters;
    private final History history;
    private final Trial trial;
    private final Deadline again;
    private final Deadline look;
    private final Deadline tell;
    private final ArrayDeque<byte[]> waiting = new ArrayDeque<>();
    private final Map<Integer, String> stamps = new LinkedHashMap<>();
    private final Histogram adoptions = new Histogram(3);
    private long waitingBytes;
    private boolean busy;
    private boolean held;
    /** Which stream it is: what was read of an earlier one is passed over. */
    private int generation;

    private LineStream stream;
    private boolean isUp;
    private int next;
    private int failures;
    private String streamAt = "";
    private long[][] group;

    /** What the client is given besides its settings. */
    public record Context(
            String name,
            String token,
            List<String> classNames,
            Executor reading,
            Executor disk,
            LongSupplier wall,
            long seed) {}

    /**
     * A client that has not begun. Executors run one task after the other; what blocks is run there.
     *
     * @param types what is taken, in the order in which it is asked for, with their files or nulls
     */
    public ControlClient(
            Loop loop, Scheduler scheduler, ControlConfig config, Context around, Map<ResourceType, LastGood> types) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.config = config;
        name = around.name();
        token = around.token();
        reading = around.reading();
        wall = around.wall();
        classNames = around.classNames().toArray(new String[0]);
        random = new SplittableRandom(around.seed());
        counters = scheduler.counters();
        history = new History(config.folder, around.disk(), wall);
        types.forEach((type, file) -> this.types.put(type.url(), new TypeRun(type, file, around.disk())));
        trial = new Trial(
                classNames, Math.max(1, config.probation), config.bound, loop.micros(), scheduler.countsByClass());
        again = loop.deadlines().create(this::connect);
        look = loop.deadlines().create(this::look);
        tell = loop.deadlines().create(this::tellFigures);
    }

    /** A type that something else decides here: it is turned down with that reason. */
    public void rejectType(String type, String reason) {
        fixed.put(ResourceType.PREFIX + type, reason);
    }

    /** Runs what a type's file holds until the service speaks; before {@link #begin}. */
    public void startFrom(String type, LastGood.SavedVersion kept) {
        TypeRun run = types.get(ResourceType.PREFIX + type);
        JsonArray resources = kept.resources().getAsJsonArray("resources");
        ResourceType.ParsedResources read = run.type.read(resources);
        if (!read.findings.isEmpty()) {
            history.add(run.type.url(), kept.version().toString(), "passed_over", "last-good", read.findings.get(0));
            return;
        }
        run.startAt(kept, read);
        history.add(
                run.type.url(),
                kept.version().toString(),
                "running",
                "last-good",
                "age_s=" + (wall.getAsLong() - kept.adoptedMs()) / 1000);
        stamp();
    }

    public void begin() {
        if (config.probation > 0) {
            look();
        }
        if (config.figures > 0) {
            tellFigures();
        }
        connect();
        reading.execute(() -> warm(new Warmup()));
    }

    /** A part, and the next behind the lines that wait by then. */
    private void warm(Warmup warmup) {
        if (warmup.part()) {
            reading.execute(() -> warm(warmup));
        }
    }

    // ---- the stream ----

    private void connect() {
        String address = config.addresses.get(next++ % config.addresses.size());
        counters.add("config.streams");
        String headers = token == null ? "" : "Authorization: Bearer " + token + "\r\n";
        generation++;
        waiting.clear();
        waitingBytes = 0;
        held = false;
        streamAt = address;
        types.values().forEach(run -> run.nonce = "");
        stream = new LineStream(loop, address, PATH, headers, CONNECT, config.silence, config.mostLine, this);
    }

    @Override
    public void up() {
        isUp = true;
        for (TypeRun run : types.values()) {
            JsonObject first = request(run);
            first.addProperty("incremental", true);
            stream.send(first.toString());
        }
    }

    @Override
    public void over(String why) {
        isUp = false;
        // Full jitter: schedulers that lost one service together must not come back to it together.
        long cap = Math.min(config.longestBackoff, FIRST_BACKOFF << Math.min(20, failures++));
        long wait = (long) (random.nextDouble() * cap);
        loop.deadlines().set(again, loop.micros() + wait);
        LOG.debug("control service {}: {}; the next is asked in {} us", streamAt, why, wait);
        counters.add("config.streams_ended");
    }

    @Override
    public void line(byte[] text) {
        waiting.add(text);
        waitingBytes += text.length;
        if (waiting.size() > MOST_WAITING || waitingBytes > 2L * config.mostLine) {
            held = true;
            stream.hold();
        }
        readNext();
    }

    /** One line is read at a time: what it leads to holds before the next one is looked at. */
    private void readNext() {
        if (busy || waiting.isEmpty()) {
            return;
        }
        busy = true;
        byte[] text = waiting.poll();
        waitingBytes -= text.length;
        if (held && waiting.size() < MOST_WAITING / 2 && waitingBytes <= config.mostLine) {
            held = false;
            stream.resume();
        }
        int of = generation;
        reading.execute(() -> {
            Message message;
            try {
                message = Message.read(text);
            } catch (JsonParseException | IllegalStateException | StackOverflowError e) {
                message = null;
            }
            Message read = message;
            back(() -> take(of, read));
        });
    }

    private void back(Runnable call) {
        try {
            loop.later(call);
        } catch (RejectedExecutionException e) {
            LOG.debug("the loop has ended: what was read is nobody's any more");
        }
    }

    private void done() {
        busy = false;
        readNext();
    }

    private void take(int of, Message message) {
        if (of != generation || !isUp) {
            done();
            return;
        }
        if (message == null) {
            // Where a line is cut nothing says which answer it would want: the stream begins anew.
            counters.add("config.garbled");
            stream.close();
            over("a line that is no JSON object");
            done();
            return;
        }
        if (message.type.equals(GROUP)) {
            takeGroup(message.all);
            done();
            return;
        }
        TypeRun run = types.get(message.type);
        if (run == null) {
            String why = fixed.get(message.type);
            nack(
                    null,
                    message.type,
                    message.nonce,
                    why != null ? FAILED_PRECONDITION : INVALID_ARGUMENT,
                    why != null ? why : "this type is not taken here; taken are " + String.join(", ", types.keySet()));
            done();
            return;
        }
        // Only what makes sense shows that the service is well.
        failures = 0;
        run.nonce = message.nonce;
        Version offered;
        Version from;
        try {
            offered = Version.parse(message.version);
            from = message.from == null ? null : Version.parse(message.from);
        } catch (IllegalArgumentException e) {
            nack(run, INVALID_ARGUMENT, "version_info: " + e.getMessage());
            done();
            return;
        }
        Reply reply = from == null ? run.track.classifyFull(offered) : run.track.classifyDelta(from, offered);
        String heldBack = reply.kind() == Kind.CHECK ? heldBack(message.all) : null;
        if (reply.isAck()) {
            ack(run, offered);
        } else if (reply.kind() == Kind.FULL_STATE_NEEDED) {
            wantWhole(run, reply.reason());
        } else if (reply.kind() != Kind.CHECK || heldBack != null) {
            nack(run, FAILED_PRECONDITION, heldBack != null ? heldBack : reply.reason());
        } else {
            check(of, run, offered, message);
            return;
        }
        done();
    }

    /** Why this scheduler does not take part in it yet, or null. */
    private String heldBack(JsonObject message) {
        JsonElement given = message.get("rollout");
        if (given == null || !given.isJsonObject()) {
            return null;
        }
        JsonObject rollout = given.getAsJsonObject();
        double share = Message.number(rollout, "share", 1);
        double place = Rollout.position(name, (long) Message.number(rollout, "seed", 0));
        return place < share ? null : "held back: " + name + " stands at " + place + ", the share is " + share;
    }

    private void check(int of, TypeRun run, Version offered, Message message) {
        JsonArray runs = run.running;
        reading.execute(() -> {
            List<String> findings = new ArrayList<>();
            JsonArray resources = null;
            ResourceType.ParsedResources read = null;
            try {
                resources = message.resources(runs, findings);
                String digest = findings.isEmpty() ? Message.digestFinding(offered.digest(), resources) : null;
                if (digest != null) {
                    findings.add(digest);
                }
                read = findings.isEmpty() ? run.type.read(resources) : null;
                findings.addAll(read == null ? List.of() : read.findings);
            } catch (RuntimeException | StackOverflowError e) {
                // A reader's fault must end in an answer: without one, every later line would wait.
                LOG.error("a {} could not be read", run.type.name(), e);
                findings.add("resources: can't be read: " + e);
            }
            JsonArray whole = resources;
            ResourceType.ParsedResources sound = read;
            back(() -> checked(of, run, offered, whole, sound, findings));
        });
    }

    private void checked(
            int of,
            TypeRun run,
            Version offered,
            JsonArray resources,
            ResourceType.ParsedResources read,
            List<String> findings) {
        if (findings.isEmpty()) {
            steps(read::prepare, () -> decided(of, run, offered, resources, read, findings));
        } else {
            decided(of, run, offered, resources, read, findings);
        }
    }

    /** A step a turn, and I/O between them, until one says false: a large set must not hold the loop. */
    private void steps(BooleanSupplier step, Runnable then) {
        long began = System.nanoTime();
        long ran = CPU.getCurrentThreadCpuTime();
        boolean more = step.getAsBoolean();
        most("config.step_most_us", (System.nanoTime() - began) / 1000);
        most("config.step_cpu_most_us", (CPU.getCurrentThreadCpuTime() - ran) / 1000);
        loop.deadlines().at(loop.micros() + BETWEEN_STEPS, more ? () -> steps(step, then) : then);
    }

    private void most(String name, long value) {
        counters.set(name, Math.max(value, counters.get(name)));
    }

    private void decided(
            int of,
            TypeRun run,
            Version offered,
            JsonArray resources,
            ResourceType.ParsedResources read,
            List<String> findings) {
        // Meanwhile the stream may have ended, or what ran been taken back.
        if (of == generation && isUp && run.track.classifyFull(offered).kind() == Kind.CHECK) {
            if (findings.isEmpty()) {
                adopt(run, offered, resources, read);
                ack(run, offered);
                // Before the next line: what is left over is nobody's to speak for but this one's.
                steps(read::cleanUp, this::done);
                return;
            } else {
                String reason = String.join("\n", findings);
                run.track.refuse(offered, reason);
                history.add(run.type.url(), offered.toString(), "refused", streamAt, reason);
                nack(run, INVALID_ARGUMENT, reason);
            }
        } else if (of == generation && isUp) {
            nack(run, FAILED_PRECONDITION, run.track.classifyFull(offered).reason());
        }
        done();
    }

    // ---- adopting and taking back ----

    /** All of it in this turn: what comes in later sees the new state, what is open goes on. */
    private void adopt(TypeRun run, Version offered, JsonArray resources, ResourceType.ParsedResources read) {
        long began = System.nanoTime();
        long ran = CPU.getCurrentThreadCpuTime();
        boolean first = !run.hasGood();
        run.adopt(offered, resources, read, streamAt, wall.getAsLong());
        long took = (System.nanoTime() - began) / 1000;
        adoptions.recordValue(took);
        counters.set("config.adopt_p99_us", adoptions.getValueAtPercentile(99));
        counters.set("config.adopt_most_us", adoptions.getMaxValue());
        most("config.adopt_cpu_most_us", (CPU.getCurrentThreadCpuTime() - ran) / 1000);
        counters.add("config.adopted");
        history.add(run.type.url(), offered.toString(), "adopted", streamAt, String.join(";", run.later));
        stamp();
        if (config.probation > 0 && !first) {
            trial.versionAdopted(loop.micros(), scheduler.countsByClass(), group);
        } else {
            run.settle();
        }
    }

    private void look() {
        long now = loop.micros();
        boolean running = trial.isRunning();
        Probation.Finding finding = trial.evaluate(now, scheduler.countsByClass(), group);
        if (running && finding.verdict() == Verdict.TAKE_BACK) {
            takeBack(finding.figures());
        } else if (running && finding.verdict() == Verdict.KEEP) {
            types.values().stream().filter(run -> run.track.isOnTrial()).forEach(run -> {
                run.settle();
                history.add(run.type.url(), run.track.running().toString(), "settled", run.from, finding.figures());
            });
        }
        loop.deadlines().set(look, trial.nextEvaluation(now));
    }

    /** All that is on trial goes: which of several broke service can't be told. */
    private void takeBack(String figures) {
        for (TypeRun run : types.values()) {
            if (!run.track.isOnTrial()) {
                continue;
            }
            Version broken = run.track.running();
            run.takeBack(figures);
            counters.add("config.taken_back");
            history.add(run.type.url(), broken.toString(), "taken_back", run.from, figures);
            nack(run, FAILED_PRECONDITION, "version " + broken + " was taken back: " + figures);
        }
        stamp();
    }

    // ---- counts ----

    private void takeGroup(JsonObject message) {
        JsonElement classes = message.get("classes");
        if (classes == null || !classes.isJsonObject()) {
            counters.add("config.bad_group");
            return;
        }
        long[][] given = new long[classNames.length][COUNTS.length];
        for (int i = 0; i < classNames.length; i++) {
            JsonElement one = classes.getAsJsonObject().get(classNames[i]);
            for (int k = 0; k < COUNTS.length && one != null && one.isJsonObject(); k++) {
                given[i][k] = (long) Message.number(one.getAsJsonObject(), COUNTS[k], 0);
            }
        }
        group = given;
    }

    private void tellFigures() {
        if (isUp) {
            JsonObject classes = new JsonObject();
            for (int i = 0; i < classNames.length; i++) {
                JsonObject one = new JsonObject();
                for (int k = 0; k < COUNTS.length; k++) {
                    one.addProperty(COUNTS[k], scheduler.countsByClass()[i][k]);
                }
                classes.add(classNames[i], one);
            }
            JsonObject message = node();
            message.addProperty("type_url", FIGURES);
            message.add("classes", classes);
            stream.send(message.toString());
        }
        loop.deadlines().set(tell, loop.micros() + config.figures);
    }

    // ---- words ----

    private JsonObject node() {
        JsonObject request = new JsonObject();
        JsonObject node = new JsonObject();
        node.addProperty("id", name);
        request.add("node", node);
        return request;
    }

    private JsonObject request(TypeRun run) {
        JsonObject request = node();
        Version runs = run.track.running();
        request.addProperty("type_url", run.type.url());
        request.addProperty("version_info", runs.equals(Version.NONE) ? "" : runs.toString());
        request.addProperty("response_nonce", run.nonce);
        return request;
    }

    private void ack(TypeRun run, Version offered) {
        counters.add("config.acked");
        JsonObject request = request(run);
        if (!run.later.isEmpty()) {
            // No word of xDS says so; silence would have the service believe that all of it runs.
            request.add("restart_needed", TypeRun.words(run.later));
        }
        stream.send(request.toString());
    }

    private void wantWhole(TypeRun run, String reason) {
        counters.add("config.nacked");
        JsonObject request = request(run);
        JsonArray all = new JsonArray();
        all.add("*");
        request.add("resource_names_subscribe", all);
        request.add("error_detail", detail(FAILED_PRECONDITION, reason));
        stream.send(request.toString());
    }

    private void nack(TypeRun run, int code, String reason) {
        nack(run, run.type.url(), run.nonce, code, reason);
    }

    private void nack(TypeRun run, String url, String nonce, int code, String reason) {
        if (!isUp) {
            // The next stream begins with what runs.
            return;
        }
        counters.add("config.nacked");
        JsonObject request = run == null ? node() : request(run);
        request.addProperty("type_url", url);
        if (run == null) {
            request.addProperty("version_info", "");
        }
        request.addProperty("response_nonce", nonce);
        request.add("error_detail", detail(code, reason));
        stream.send(request.toString());
    }

    private static JsonObject detail(int code, String reason) {
        JsonObject detail = new JsonObject();
        detail.addProperty("code", code);
        detail.addProperty("message", reason.length() > MOST_REASON ? reason.substring(0, MOST_REASON) : reason);
        return detail;
    }

    // ---- reports ----

    /** From now on requests come under another state of the settings. */
    private void stamp() {
        int epoch = scheduler.settingsChanged();
        if (!config.tellVersions) {
            return;
        }
        StringBuilder all = new StringBuilder();
        types.values().forEach(run -> {
            if (!run.track.running().equals(Version.NONE)) {
                all.append(all.isEmpty() ? "" : " ")
                        .append(run.type.name())
                        .append('=')
                        .append(run.track.running());
            }
        });
        stamps.put(epoch, all.toString());
        if (stamps.size() > MOST_STAMPS) {
            stamps.remove(stamps.keySet().iterator().next());
        }
    }

    /** The versions that a request of that epoch came under; empty where there were none. */
    public String versions(int epoch) {
        return stamps.getOrDefault(epoch, "");
    }

    /** What runs here, for whoever asks. */
    public String report() {
        JsonObject all = new JsonObject();
        all.addProperty("scheduler", name);
        all.addProperty("stream", isUp ? streamAt : "");
        JsonObject each = new JsonObject();
        types.forEach((url, run) -> each.add(url, run.report()));
        all.add("types", each);
        return all + "\n";
    }

    /** The last changes of what runs, for whoever asks. */
    public String history() {
        return history.report();
    }
}
