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
 * The client of a control service that streams versioned configuration of several resource types. Each version
 * is acknowledged, or rejected with all reasons. Lines are parsed and checked one after the other on a reading
 * thread; a version is adopted as a whole within one turn of the event loop. If no service is reachable, the
 * last good versions stay in use indefinitely. Runs on the loop's thread, except for reading and file I/O.
 */
public final class ControlClient implements LineStream.Listener {
    /** The type of messages that carry the control group's counts; they are not acknowledged. */
    public static final String GROUP = ResourceType.PREFIX + "group";
    /** The type of messages that report this scheduler's counts to the service at intervals. */
    public static final String FIGURES = ResourceType.PREFIX + "figures";

    private static final Logger LOG = LoggerFactory.getLogger(ControlClient.class);
    /** CPU time, since wall time includes waiting for cores that other processes use. */
    private static final ThreadMXBean CPU = ManagementFactory.getThreadMXBean();

    private static final String PATH = "/v3/discovery:stream";
    private static final long CONNECT_TIMEOUT_US = 1_000_000;
    private static final long FIRST_BACKOFF_US = 100_000;
    private static final int INVALID_ARGUMENT = 3;
    private static final int FAILED_PRECONDITION = 9;
    /** Characters; longer reasons are truncated, as they are sent on the wire and logged for people to read. */
    private static final int MAX_REASON_LENGTH = 4000;
    /** Lines queued for reading; the stream is paused above this, or above the bytes of two maximum lines. */
    private static final int MAX_WAITING_LINES = 256;
    /** Pause between two steps, so that other work gets its turns. */
    private static final long STEP_INTERVAL_US = 100;
    /** Version headers kept for the settings epochs of requests that may still be open. */
    private static final int MAX_VERSION_HEADERS = 4096;

    private static final String[] COUNT_KEYS = {"requests", "failed", "connect_errors", "refused"};

    private final Loop loop;
    private final Scheduler scheduler;
    private final ControlConfig config;
    private final Map<String, TypeState> types = new LinkedHashMap<>();
    /** Types that this scheduler does not accept, by their names on the stream, with the reason. */
    private final Map<String, String> rejectedTypes = new LinkedHashMap<>();

    private final String[] classNames;
    private final String name;
    private final String token;
    private final Executor reading;
    private final LongSupplier wall;
    private final SplittableRandom random;
    private final Counters counters;
    private final History history;
    private final Trial trial;
    private final Deadline reconnectTimer;
    private final Deadline trialTimer;
    private final Deadline figuresTimer;
    private final ArrayDeque<byte[]> waitingLines = new ArrayDeque<>();
    private final Map<Integer, String> versionHeaders = new LinkedHashMap<>();
    private final Histogram adoptions = new Histogram(3);
    private long waitingLineBytes;
    private boolean lineInProgress;
    private boolean paused;
    /** Number of the current stream; results from an earlier one are dropped. */
    private int generation;

    private LineStream stream;
    private boolean isUp;
    private int nextAddress;
    private int failures;
    private String streamAddress = "";
    private long[][] group;

    /** What the client depends on besides its configuration. */
    public record Context(
            String name,
            String token,
            List<String> classNames,
            Executor reading,
            Executor disk,
            LongSupplier wall,
            long seed) {}

    /**
     * Creates a client; {@link #begin} starts it. The executors run blocking work, one task after the other.
     *
     * @param types the accepted types, in the order of subscription, each with its last-good file or null
     */
    public ControlClient(
            Loop loop, Scheduler scheduler, ControlConfig config, Context context, Map<ResourceType, LastGood> types) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.config = config;
        name = context.name();
        token = context.token();
        reading = context.reading();
        wall = context.wall();
        classNames = context.classNames().toArray(new String[0]);
        random = new SplittableRandom(context.seed());
        counters = scheduler.counters();
        history = new History(config.folder, context.disk(), wall);
        types.forEach((type, file) -> this.types.put(type.url(), new TypeState(type, file, context.disk())));
        trial = new Trial(
                classNames,
                Math.max(1, config.trialMicros),
                config.maxWorsening,
                loop.micros(),
                scheduler.countsByClass());
        reconnectTimer = loop.deadlines().create(this::connect);
        trialTimer = loop.deadlines().create(this::evaluateTrial);
        figuresTimer = loop.deadlines().create(this::sendFigures);
    }

    /** Makes the client reject a type for that reason, because its values are set elsewhere. */
    public void rejectType(String type, String reason) {
        rejectedTypes.put(ResourceType.PREFIX + type, reason);
    }

    /** Applies a type's saved version until the service sends one; called before {@link #begin}. */
    public void startFrom(String type, LastGood.SavedVersion saved) {
        TypeState state = types.get(ResourceType.PREFIX + type);
        JsonArray resources = saved.resources().getAsJsonArray("resources");
        ResourceType.ParsedResources parsed = state.type.read(resources);
        if (!parsed.findings.isEmpty()) {
            history.add(
                    state.type.url(), saved.version().toString(), "passed_over", "last-good", parsed.findings.get(0));
            return;
        }
        state.startAt(saved, parsed);
        history.add(
                state.type.url(),
                saved.version().toString(),
                "running",
                "last-good",
                "age_s=" + (wall.getAsLong() - saved.adoptedMs()) / 1000);
        startEpoch();
    }

    public void begin() {
        if (config.trialMicros > 0) {
            evaluateTrial();
        }
        if (config.figuresMicros > 0) {
            sendFigures();
        }
        connect();
        reading.execute(() -> runWarmup(new Warmup()));
    }

    /** Runs one part of the warm-up and queues the next part behind the lines received meanwhile. */
    private void runWarmup(Warmup warmup) {
        if (warmup.runPart()) {
            reading.execute(() -> runWarmup(warmup));
        }
    }

    // ---- the stream ----

    private void connect() {
        String address = config.addresses.get(nextAddress++ % config.addresses.size());
        counters.add("config.streams");
        String headers = token == null ? "" : "Authorization: Bearer " + token + "\r\n";
        generation++;
        waitingLines.clear();
        waitingLineBytes = 0;
        paused = false;
        streamAddress = address;
        types.values().forEach(state -> state.nonce = "");
        stream = new LineStream(
                loop, address, PATH, headers, CONNECT_TIMEOUT_US, config.silenceMicros, config.maxLineBytes, this);
    }

    @Override
    public void onOpen() {
        isUp = true;
        for (TypeState state : types.values()) {
            JsonObject first = request(state);
            first.addProperty("incremental", true);
            stream.send(first.toString());
        }
    }

    @Override
    public void onClose(String why) {
        isUp = false;
        // Full jitter, so that schedulers that lost a service together do not reconnect together.
        long cap = Math.min(config.maxBackoffMicros, FIRST_BACKOFF_US << Math.min(20, failures++));
        long wait = (long) (random.nextDouble() * cap);
        loop.deadlines().set(reconnectTimer, loop.micros() + wait);
        LOG.debug("control service {}: {}; connecting to the next one in {} us", streamAddress, why, wait);
        counters.add("config.streams_ended");
    }

    @Override
    public void onLine(byte[] text) {
        waitingLines.add(text);
        waitingLineBytes += text.length;
        if (waitingLines.size() > MAX_WAITING_LINES || waitingLineBytes > 2L * config.maxLineBytes) {
            paused = true;
            stream.pauseReading();
        }
        readNext();
    }

    /** Reads one line at a time: its effects are in place before the next line is checked. */
    private void readNext() {
        if (lineInProgress || waitingLines.isEmpty()) {
            return;
        }
        lineInProgress = true;
        byte[] text = waitingLines.poll();
        waitingLineBytes -= text.length;
        if (paused && waitingLines.size() < MAX_WAITING_LINES / 2 && waitingLineBytes <= config.maxLineBytes) {
            paused = false;
            stream.resumeReading();
        }
        int streamGeneration = generation;
        reading.execute(() -> {
            Message message;
            try {
                message = Message.read(text);
            } catch (JsonParseException | IllegalStateException | StackOverflowError e) {
                message = null;
            }
            Message read = message;
            runOnLoop(() -> handle(streamGeneration, read));
        });
    }

    private void runOnLoop(Runnable call) {
        try {
            loop.later(call);
        } catch (RejectedExecutionException e) {
            LOG.debug("the event loop has stopped: a read message is dropped");
        }
    }

    private void finishLine() {
        lineInProgress = false;
        readNext();
    }

    private void handle(int streamGeneration, Message message) {
        if (streamGeneration != generation || !isUp) {
            finishLine();
            return;
        }
        if (message == null) {
            // A garbled line has no nonce to reply to, so the stream is restarted.
            counters.add("config.garbled");
            stream.close();
            onClose("a line that is no JSON object");
            finishLine();
            return;
        }
        if (message.type.equals(GROUP)) {
            readGroup(message.json);
            finishLine();
            return;
        }
        TypeState state = types.get(message.type);
        if (state == null) {
            String refusal = rejectedTypes.get(message.type);
            nack(
                    null,
                    message.type,
                    message.nonce,
                    refusal != null ? FAILED_PRECONDITION : INVALID_ARGUMENT,
                    refusal != null
                            ? refusal
                            : "this type is not taken here; taken are " + String.join(", ", types.keySet()));
            finishLine();
            return;
        }
        // Only a message of a known type shows that the service works: it resets the backoff.
        failures = 0;
        state.nonce = message.nonce;
        Version offered;
        Version from;
        try {
            offered = Version.parse(message.version);
            from = message.from == null ? null : Version.parse(message.from);
        } catch (IllegalArgumentException e) {
            nack(state, INVALID_ARGUMENT, "version_info: " + e.getMessage());
            finishLine();
            return;
        }
        Reply reply = from == null ? state.tracker.classifyFull(offered) : state.tracker.classifyDelta(from, offered);
        String heldBack = reply.kind() == Kind.CHECK ? heldBack(message.json) : null;
        if (reply.isAck()) {
            ack(state, offered);
        } else if (reply.kind() == Kind.FULL_STATE_NEEDED) {
            requestFullState(state, reply.reason());
        } else if (reply.kind() != Kind.CHECK || heldBack != null) {
            nack(state, FAILED_PRECONDITION, heldBack != null ? heldBack : reply.reason());
        } else {
            check(streamGeneration, state, offered, message);
            return;
        }
        finishLine();
    }

    /** Returns why the rollout does not include this scheduler yet, or null if it does. */
    private String heldBack(JsonObject message) {
        JsonElement element = message.get("rollout");
        if (element == null || !element.isJsonObject()) {
            return null;
        }
        JsonObject rollout = element.getAsJsonObject();
        double share = Message.number(rollout, "share", 1);
        double position = Rollout.position(name, (long) Message.number(rollout, "seed", 0));
        return position < share ? null : "held back: " + name + " stands at " + position + ", the share is " + share;
    }

    private void check(int streamGeneration, TypeState state, Version offered, Message message) {
        JsonArray running = state.running;
        reading.execute(() -> {
            List<String> findings = new ArrayList<>();
            JsonArray resources = null;
            ResourceType.ParsedResources read = null;
            try {
                resources = message.resources(running, findings);
                String digest = findings.isEmpty() ? Message.digestFinding(offered.digest(), resources) : null;
                if (digest != null) {
                    findings.add(digest);
                }
                read = findings.isEmpty() ? state.type.read(resources) : null;
                findings.addAll(read == null ? List.of() : read.findings);
            } catch (RuntimeException | StackOverflowError e) {
                // A fault of a reader must still produce a reply: without one, all later lines would wait.
                LOG.error("a {} resource could not be read", state.type.name(), e);
                findings.add("resources: can't be read: " + e);
            }
            JsonArray fullState = resources;
            ResourceType.ParsedResources parsed = read;
            runOnLoop(() -> onChecked(streamGeneration, state, offered, fullState, parsed, findings));
        });
    }

    private void onChecked(
            int streamGeneration,
            TypeState state,
            Version offered,
            JsonArray resources,
            ResourceType.ParsedResources read,
            List<String> findings) {
        if (findings.isEmpty()) {
            runSteps(read::prepare, () -> conclude(streamGeneration, state, offered, resources, read, findings));
        } else {
            conclude(streamGeneration, state, offered, resources, read, findings);
        }
    }

    /** Runs one step per turn, with I/O in between, until one returns false: a large set must not block the loop. */
    private void runSteps(BooleanSupplier step, Runnable then) {
        long startNs = System.nanoTime();
        long startCpuNs = CPU.getCurrentThreadCpuTime();
        boolean hasMore = step.getAsBoolean();
        recordMax("config.step_most_us", (System.nanoTime() - startNs) / 1000);
        recordMax("config.step_cpu_most_us", (CPU.getCurrentThreadCpuTime() - startCpuNs) / 1000);
        loop.deadlines().at(loop.micros() + STEP_INTERVAL_US, hasMore ? () -> runSteps(step, then) : then);
    }

    private void recordMax(String name, long value) {
        counters.set(name, Math.max(value, counters.get(name)));
    }

    private void conclude(
            int streamGeneration,
            TypeState state,
            Version offered,
            JsonArray resources,
            ResourceType.ParsedResources read,
            List<String> findings) {
        // The stream may have ended, or the running version been rolled back, in the meantime.
        if (streamGeneration == generation
                && isUp
                && state.tracker.classifyFull(offered).kind() == Kind.CHECK) {
            if (findings.isEmpty()) {
                adopt(state, offered, resources, read);
                ack(state, offered);
                // Clean-up finishes before the next line is read, since it belongs to this version alone.
                runSteps(read::cleanUp, this::finishLine);
                return;
            } else {
                String reason = String.join("\n", findings);
                state.tracker.refuse(offered, reason);
                history.add(state.type.url(), offered.toString(), "refused", streamAddress, reason);
                nack(state, INVALID_ARGUMENT, reason);
            }
        } else if (streamGeneration == generation && isUp) {
            nack(state, FAILED_PRECONDITION, state.tracker.classifyFull(offered).reason());
        }
        finishLine();
    }

    // ---- adoption and rollback ----

    /** Adopts the version within this turn: later requests see the new state, open ones continue. */
    private void adopt(TypeState state, Version offered, JsonArray resources, ResourceType.ParsedResources read) {
        long startNs = System.nanoTime();
        long startCpuNs = CPU.getCurrentThreadCpuTime();
        boolean first = !state.hasGood();
        state.adopt(offered, resources, read, streamAddress, wall.getAsLong());
        long tookMicros = (System.nanoTime() - startNs) / 1000;
        adoptions.recordValue(tookMicros);
        counters.set("config.adopt_p99_us", adoptions.getValueAtPercentile(99));
        counters.set("config.adopt_most_us", adoptions.getMaxValue());
        recordMax("config.adopt_cpu_most_us", (CPU.getCurrentThreadCpuTime() - startCpuNs) / 1000);
        counters.add("config.adopted");
        history.add(
                state.type.url(), offered.toString(), "adopted", streamAddress, String.join(";", state.needRestart));
        startEpoch();
        if (config.trialMicros > 0 && !first) {
            trial.versionAdopted(loop.micros(), scheduler.countsByClass(), group);
        } else {
            state.settle();
        }
    }

    private void evaluateTrial() {
        long now = loop.micros();
        boolean running = trial.isRunning();
        Probation.Finding finding = trial.evaluate(now, scheduler.countsByClass(), group);
        if (running && finding.verdict() == Verdict.TAKE_BACK) {
            takeBack(finding.figures());
        } else if (running && finding.verdict() == Verdict.KEEP) {
            types.values().stream().filter(state -> state.tracker.isOnTrial()).forEach(state -> {
                state.settle();
                history.add(
                        state.type.url(),
                        state.tracker.running().toString(),
                        "settled",
                        state.source,
                        finding.figures());
            });
        }
        loop.deadlines().set(trialTimer, trial.nextEvaluation(now));
    }

    /** Rolls back every version on trial, since it is unknown which of them degraded service. */
    private void takeBack(String figures) {
        for (TypeState state : types.values()) {
            if (!state.tracker.isOnTrial()) {
                continue;
            }
            Version broken = state.tracker.running();
            state.takeBack(figures);
            counters.add("config.taken_back");
            history.add(state.type.url(), broken.toString(), "taken_back", state.source, figures);
            nack(state, FAILED_PRECONDITION, "version " + broken + " was taken back: " + figures);
        }
        startEpoch();
    }

    // ---- counts ----

    private void readGroup(JsonObject message) {
        JsonElement classes = message.get("classes");
        if (classes == null || !classes.isJsonObject()) {
            counters.add("config.bad_group");
            return;
        }
        long[][] counts = new long[classNames.length][COUNT_KEYS.length];
        for (int i = 0; i < classNames.length; i++) {
            JsonElement row = classes.getAsJsonObject().get(classNames[i]);
            for (int k = 0; k < COUNT_KEYS.length && row != null && row.isJsonObject(); k++) {
                counts[i][k] = (long) Message.number(row.getAsJsonObject(), COUNT_KEYS[k], 0);
            }
        }
        group = counts;
    }

    private void sendFigures() {
        if (isUp) {
            JsonObject classes = new JsonObject();
            for (int i = 0; i < classNames.length; i++) {
                JsonObject row = new JsonObject();
                for (int k = 0; k < COUNT_KEYS.length; k++) {
                    row.addProperty(COUNT_KEYS[k], scheduler.countsByClass()[i][k]);
                }
                classes.add(classNames[i], row);
            }
            JsonObject message = node();
            message.addProperty("type_url", FIGURES);
            message.add("classes", classes);
            stream.send(message.toString());
        }
        loop.deadlines().set(figuresTimer, loop.micros() + config.figuresMicros);
    }

    // ---- messages ----

    private JsonObject node() {
        JsonObject request = new JsonObject();
        JsonObject node = new JsonObject();
        node.addProperty("id", name);
        request.add("node", node);
        return request;
    }

    private JsonObject request(TypeState state) {
        JsonObject request = node();
        Version runs = state.tracker.running();
        request.addProperty("type_url", state.type.url());
        request.addProperty("version_info", runs.equals(Version.NONE) ? "" : runs.toString());
        request.addProperty("response_nonce", state.nonce);
        return request;
    }

    private void ack(TypeState state, Version offered) {
        counters.add("config.acked");
        JsonObject request = request(state);
        if (!state.needRestart.isEmpty()) {
            // An extension to xDS: without it the service would assume that the whole version is in effect.
            request.add("restart_needed", TypeState.toJson(state.needRestart));
        }
        stream.send(request.toString());
    }

    private void requestFullState(TypeState state, String reason) {
        counters.add("config.nacked");
        JsonObject request = request(state);
        JsonArray names = new JsonArray();
        names.add("*");
        request.add("resource_names_subscribe", names);
        request.add("error_detail", detail(FAILED_PRECONDITION, reason));
        stream.send(request.toString());
    }

    private void nack(TypeState state, int code, String reason) {
        nack(state, state.type.url(), state.nonce, code, reason);
    }

    private void nack(TypeState state, String url, String nonce, int code, String reason) {
        if (!isUp) {
            // The next stream starts with the running versions.
            return;
        }
        counters.add("config.nacked");
        JsonObject request = state == null ? node() : request(state);
        request.addProperty("type_url", url);
        if (state == null) {
            request.addProperty("version_info", "");
        }
        request.addProperty("response_nonce", nonce);
        request.add("error_detail", detail(code, reason));
        stream.send(request.toString());
    }

    private static JsonObject detail(int code, String reason) {
        JsonObject detail = new JsonObject();
        detail.addProperty("code", code);
        detail.addProperty(
                "message", reason.length() > MAX_REASON_LENGTH ? reason.substring(0, MAX_REASON_LENGTH) : reason);
        return detail;
    }

    // ---- reports ----

    /** Starts a new settings epoch and records the versions that apply to its requests. */
    private void startEpoch() {
        int epoch = scheduler.settingsChanged();
        if (!config.tellVersions) {
            return;
        }
        StringBuilder header = new StringBuilder();
        types.values().forEach(state -> {
            if (!state.tracker.running().equals(Version.NONE)) {
                header.append(header.isEmpty() ? "" : " ")
                        .append(state.type.name())
                        .append('=')
                        .append(state.tracker.running());
            }
        });
        versionHeaders.put(epoch, header.toString());
        if (versionHeaders.size() > MAX_VERSION_HEADERS) {
            versionHeaders.remove(versionHeaders.keySet().iterator().next());
        }
    }

    /** Returns the versions that applied to requests of an epoch; empty if there were none. */
    public String versions(int epoch) {
        return versionHeaders.getOrDefault(epoch, "");
    }

    /** Returns the running versions as JSON. */
    public String report() {
        JsonObject report = new JsonObject();
        report.addProperty("scheduler", name);
        report.addProperty("stream", isUp ? streamAddress : "");
        JsonObject typeReports = new JsonObject();
        types.forEach((url, state) -> typeReports.add(url, state.report()));
        report.add("types", typeReports);
        return report + "\n";
    }

    /** Returns the latest version changes as JSON. */
    public String history() {
        return history.report();
    }
}
