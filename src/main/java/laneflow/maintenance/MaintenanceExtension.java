package laneflow.maintenance;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import laneflow.core.Counters;
import laneflow.core.Deadlines.Deadline;
import laneflow.core.Scheduler;
import laneflow.maintenance.decision.DrainTracker;
import laneflow.maintenance.decision.WindowLedger;
import laneflow.net.Loop;
import laneflow.policy.RenewalExtension;
import laneflow.policy.decision.Ledger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges maintenance data with policy renewals and grants: each scheduler reports whether it still has
 * calls at banned endpoints, and the coordinator sends its operations; the leader replicates these and sends
 * the coordinator a snapshot of its state. Runs also in a process without a [maintenance] table, since every
 * scheduler that decides by the fleet's policy has to report when it has stopped sending. On the control
 * thread.
 */
public final class MaintenanceExtension implements RenewalExtension {
    private static final Logger LOG = LoggerFactory.getLogger(MaintenanceExtension.class);
    private static final int UNREACHABLE_AFTER = 3;
    private static final double DEMAND_HALF_LIFE_MS = 60_000;
    /** Delay until the next sample while banned endpoints still have open calls. */
    private static final long RESAMPLE_MICROS = 20_000;

    private final Loop loop;
    private final Scheduler scheduler;
    private final Counters counters;
    /** Null if the configuration has no [maintenance] table. */
    private final MaintenanceConfig config;

    private final CallSampler sampler;
    private final Deadline resample;
    private Context context;
    /** The last sample of this process; null before the first. */
    private CallSampler.Sample sample;

    private double[][] demand = new double[0][];
    private long demandAt;
    private boolean hasReported;
    /** Null if this process takes no part in coordination. */
    private CoordinatorTask coordinatorTask;
    /** Longest deadline of a class that was ever in force here, in milliseconds. */
    private long longestDeadlineMillis;

    // ---- while this process leads ----

    /** Null if this process does not lead. */
    private DrainTracker drainTracker;

    private int term;
    private WindowLedger.View view;
    private final Map<String, SchedulerState> schedulers = new HashMap<>();

    /** A scheduler as the leader knows it. */
    private static final class SchedulerState {
        private double[][] demand = new double[0][];
        private long lastRenewalAt;
        /** The scheduler's coordinator token, or negative. */
        private long token = -1;

        private String knownView = "";
        private long acceptedId;
        private int pendingOps;
        private long answeredAt;
        private long completedId;
    }

    /**
     * Creates the extension.
     *
     * @param policy reads the version in force; called on the traffic thread
     * @param config null if the configuration has no [maintenance] table
     */
    public MaintenanceExtension(
            Loop loop,
            Loop traffic,
            Scheduler scheduler,
            Counters counters,
            LongSupplier policy,
            MaintenanceConfig config) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.counters = counters;
        this.config = config;
        sampler = new CallSampler(
                loop,
                traffic,
                scheduler,
                policy,
                config == null ? UNREACHABLE_AFTER : config.lostAfter,
                this::onSample);
        resample = loop.deadlines().create(sampler::request);
        // A process that leads before its first sample must not assume shorter calls than there are.
        longestDeadlineMillis = CallSampler.longestDeadlineMillis(scheduler);
    }

    /** Sets the task with which this process takes part in coordination. */
    void setCoordinatorTask(CoordinatorTask task) {
        coordinatorTask = task;
    }

    Context context() {
        return context;
    }

    // ---- at a scheduler ----

    @Override
    public String ledgerPart() {
        return WindowLedger.NAME;
    }

    @Override
    public void start(Context renewalContext) {
        context = renewalContext;
    }

    private void onSample(CallSampler.Sample newSample) {
        boolean isChanged = sample == null
                || sample.policy() != newSample.policy()
                || !sample.busy().equals(newSample.busy())
                || !sample.unreachable().equals(newSample.unreachable());
        sample = newSample;
        updatePeakDemand(newSample.demand());
        longestDeadlineMillis = Math.max(longestDeadlineMillis, newSample.longest());
        if (drainTracker != null) {
            drainTracker.raiseMaxCallDuration(maxCallMicros());
        }
        if (!newSample.busy().isEmpty()) {
            loop.deadlines().set(resample, loop.micros() + RESAMPLE_MICROS);
        }
        if (isChanged) {
            context.renewNow();
        }
    }

    /**
     * Tracks the recent peak of the demand, which decays: in a shortage requests are refused at once, so open
     * requests do not show the unmet demand.
     */
    private void updatePeakDemand(double[][] current) {
        long elapsedMicros = loop.micros() - demandAt;
        demandAt = loop.micros();
        double halfLifeMicros = 1000 * (config == null ? DEMAND_HALF_LIFE_MS : config.demandHalfLifeMillis);
        double retained = Math.pow(0.5, elapsedMicros / halfLifeMicros);
        for (int t = 0; t < current.length; t++) {
            for (int k = 0; k < current[t].length; k++) {
                boolean known = t < demand.length && k < demand[t].length;
                current[t][k] = Math.max(current[t][k], known ? demand[t][k] * retained : 0);
            }
        }
        demand = current;
    }

    @Override
    public JsonElement renewalData() {
        if (config == null && scheduler.banned().isEmpty() && !hasReported) {
            return null;
        }
        // Reports once more after the last ban is gone, so that an old report does not stay in effect.
        hasReported = config != null || !scheduler.banned().isEmpty();
        sampler.request();
        if (sample == null) {
            return null;
        }
        JsonObject json = new JsonObject();
        json.addProperty("policy", sample.policy());
        json.add("busy", CoordinatorSnapshot.texts(sample.busy()));
        json.add("lost", CoordinatorSnapshot.texts(sample.unreachable()));
        json.add("demand", CoordinatorSnapshot.rows(demand));
        if (coordinatorTask != null) {
            coordinatorTask.addRenewalData(json);
        }
        return json;
    }

    @Override
    public void onGrant(JsonElement data, long sentAt, long heardAt) {
        if (coordinatorTask != null) {
            coordinatorTask.onGrant(data.getAsJsonObject());
        }
    }

    // ---- at the leader ----

    @Override
    public void onElected(int newTerm) {
        term = newTerm;
        view = null;
        schedulers.clear();
        drainTracker = new DrainTracker(context.now(), context.leaseMicros(), maxCallMicros());
        sampler.request();
    }

    /** How long a call may be open, in microseconds. */
    private long maxCallMicros() {
        return config == null || config.silenceMicros < 0 ? longestDeadlineMillis * 1000 : config.silenceMicros;
    }

    @Override
    public void onLeadershipLost() {
        drainTracker = null;
        view = null;
        schedulers.clear();
    }

    @Override
    public void onConfirmed(long submittedAt, Object part) {
        if (drainTracker == null) {
            return;
        }
        view = (WindowLedger.View) part;
        for (Map.Entry<String, SchedulerState> entry : schedulers.entrySet()) {
            SchedulerState state = entry.getValue();
            if (state.pendingOps == 0 && state.completedId < state.acceptedId && submittedAt >= state.answeredAt) {
                state.completedId = state.acceptedId;
                context.sendGrant(entry.getKey());
            }
        }
    }

    @Override
    public void onRenewal(String schedulerName, JsonElement data) {
        if (drainTracker == null || !data.isJsonObject()) {
            return;
        }
        JsonObject report = data.getAsJsonObject();
        long now = context.now();
        drainTracker.onReport(
                now,
                schedulerName,
                new DrainTracker.Report(
                        report.get("policy").getAsLong(),
                        CoordinatorSnapshot.texts(report, "busy"),
                        CoordinatorSnapshot.texts(report, "lost")));
        SchedulerState state = schedulers.computeIfAbsent(schedulerName, name -> new SchedulerState());
        state.lastRenewalAt = now;
        state.demand = CoordinatorSnapshot.rows(report.getAsJsonArray("demand"));
        state.token = report.has("token") ? report.get("token").getAsLong() : -1;
        state.knownView = report.has("known") ? report.get("known").getAsString() : "";
        if (report.has("ops") && report.get("id").getAsLong() > state.acceptedId && state.pendingOps == 0) {
            state.acceptedId = report.get("id").getAsLong();
            replicateOps(schedulerName, state, report.getAsJsonArray("ops"));
        }
    }

    private void replicateOps(String schedulerName, SchedulerState state, JsonArray ops) {
        state.pendingOps = ops.size();
        for (JsonElement element : ops) {
            JsonObject op = element.getAsJsonObject();
            boolean own =
                    op.has(Ledger.PART) && op.get(Ledger.PART).getAsString().equals(WindowLedger.NAME);
            boolean bans = op.has("by") && op.get("by").getAsString().equals(WindowLedger.NAME);
            if (!own && !bans) {
                state.pendingOps--;
                LOG.warn("maintenance: ignored an operation of {} that is not a coordinator's: {}", schedulerName, op);
                continue;
            }
            context.replicate(op, answer -> {
                state.pendingOps--;
                state.answeredAt = context.now();
                counters.add(answer == null || answer.has("error") ? "maintenance.turned_down" : "maintenance.logged");
                if (answer != null && answer.has("error")) {
                    LOG.info("maintenance: {}", answer.get("error").getAsString());
                }
            });
        }
    }

    @Override
    public JsonElement grantData(String schedulerName, boolean unasked) {
        if (drainTracker == null) {
            return null;
        }
        drainTracker.onGrant(context.now(), schedulerName);
        SchedulerState state = schedulers.get(schedulerName);
        if (state == null || state.token < 0 || view == null) {
            return null;
        }
        CoordinatorSnapshot snapshot = snapshot(state.completedId);
        return snapshot.toJson(state.knownView.equals(term + "/" + view.version()));
    }

    @Override
    public void onSchedulerLeft(String schedulerName) {
        if (drainTracker != null) {
            drainTracker.onLeft(schedulerName);
            schedulers.remove(schedulerName);
        }
    }

    // ---- state of the fleet, at the leader ----

    /** Null if this process does not lead or no majority has confirmed it yet. */
    CoordinatorSnapshot snapshot(long done) {
        if (drainTracker == null || view == null) {
            return null;
        }
        long now = context.now();
        Set<String> drained = new TreeSet<>();
        view.racks()
                .values()
                .forEach(names -> names.forEach(name -> {
                    if (view.bans().contains(name)
                            && drainTracker
                                    .possibleCallers(now, view.inForce(), name)
                                    .isEmpty()) {
                        drained.add(name);
                    }
                }));
        double[][] demand = new double[0][];
        for (SchedulerState state : schedulers.values()) {
            if (now - state.lastRenewalAt <= context.leaseMicros()) {
                demand = demand.length < state.demand.length ? withShapeOf(state.demand, demand) : demand;
                if (demand != state.demand) {
                    CoordinatorSnapshot.add(demand, state.demand);
                }
            }
        }
        return new CoordinatorSnapshot(
                term,
                view,
                drained,
                drainTracker.haveAllApplied(now, view.inForce()),
                drainTracker.unreachable(now),
                demand,
                done);
    }

    private static double[][] withShapeOf(double[][] shape, double[][] values) {
        double[][] resized = new double[shape.length][];
        for (int i = 0; i < shape.length; i++) {
            resized[i] = new double[shape[i].length];
        }
        CoordinatorSnapshot.add(resized, values);
        return resized;
    }

    /** Schedulers that may have calls open at these racks; called at the leader. */
    List<String> possibleCallers(List<String> racks) {
        Set<String> callers = new TreeSet<>();
        for (String rack : view == null ? List.<String>of() : racks) {
            for (String name : view.racks().getOrDefault(rack, List.of())) {
                callers.addAll(drainTracker.possibleCallers(context.now(), view.inForce(), name));
            }
        }
        return new ArrayList<>(callers);
    }

    /** The process that coordinates, as last reported to the leader, and its token; or null. */
    Map.Entry<String, Long> coordinator() {
        String name = null;
        long token = -1;
        for (Map.Entry<String, SchedulerState> entry : schedulers.entrySet()) {
            if (entry.getValue().token > token
                    && context.now() - entry.getValue().lastRenewalAt <= context.leaseMicros()) {
                name = entry.getKey();
                token = entry.getValue().token;
            }
        }
        return name == null ? null : Map.entry(name, token);
    }
}
