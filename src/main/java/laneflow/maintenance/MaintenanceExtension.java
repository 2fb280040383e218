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
        private long heardAt;
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

    private void onSample(CallSampler.Sample now) {
        boolean isChanged = sample == null
                || sample.policy() != now.policy()
                || !sample.busy().equals(now.busy())
                || !sample.unreachable().equals(now.unreachable());
        sample = now;
        updatePeakDemand(now.demand());
        longestDeadlineMillis = Math.max(longestDeadlineMillis, now.longest());
        if (drainTracker != null) {
            drainTracker.raiseMaxCallDuration(maxCallMicros());
        }
        if (!now.busy().isEmpty()) {
            loop.deadlines().set(resample, loop.micros() + RESAMPLE_MICROS);
        }
        if (isChanged) {
            context.renewNow();
        }
    }

    /**
     * Tracks the recent peak of the demand, which decays: in a shortage requests are refused at once, so the
     * open ones do not show what is missing.
     */
    private void updatePeakDemand(double[][] current) {
        long passed = loop.micros() - demandAt;
        demandAt = loop.micros();
        double half = 1000 * (config == null ? DEMAND_HALF_LIFE_MS : config.demandHalfLifeMillis);
        double left = Math.pow(0.5, passed / half);
        for (int t = 0; t < current.length; t++) {
            for (int k = 0; k < current[t].length; k++) {
                boolean known = t < demand.length && k < demand[t].length;
                current[t][k] = Math.max(current[t][k], known ? demand[t][k] * left : 0);
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
        JsonObject all = new JsonObject();
        all.addProperty("policy", sample.policy());
        all.add("busy", CoordinatorSnapshot.texts(sample.busy()));
        all.add("lost", CoordinatorSnapshot.texts(sample.unreachable()));
        all.add("demand", CoordinatorSnapshot.rows(demand));
        if (coordinatorTask != null) {
            coordinatorTask.addRenewalData(all);
        }
        return all;
    }

    @Override
    public void onGrant(JsonElement word, long sentAt, long heardAt) {
        if (coordinatorTask != null) {
            coordinatorTask.onGrant(word.getAsJsonObject());
        }
    }

    // ---- at the leader ----

    @Override
    public void onElected(int now) {
        term = now;
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
        for (Map.Entry<String, SchedulerState> one : schedulers.entrySet()) {
            SchedulerState state = one.getValue();
            if (state.pendingOps == 0 && state.completedId < state.acceptedId && submittedAt >= state.answeredAt) {
                state.completedId = state.acceptedId;
                context.sendGrant(one.getKey());
            }
        }
    }

    @Override
    public void onRenewal(String who, JsonElement word) {
        if (drainTracker == null || !word.isJsonObject()) {
            return;
        }
        JsonObject said = word.getAsJsonObject();
        long now = context.now();
        drainTracker.onReport(
                now,
                who,
                new DrainTracker.Report(
                        said.get("policy").getAsLong(),
                        CoordinatorSnapshot.texts(said, "busy"),
                        CoordinatorSnapshot.texts(said, "lost")));
        SchedulerState state = schedulers.computeIfAbsent(who, name -> new SchedulerState());
        state.heardAt = now;
        state.demand = CoordinatorSnapshot.rows(said.getAsJsonArray("demand"));
        state.token = said.has("token") ? said.get("token").getAsLong() : -1;
        state.knownView = said.has("known") ? said.get("known").getAsString() : "";
        if (said.has("ops") && said.get("id").getAsLong() > state.acceptedId && state.pendingOps == 0) {
            state.acceptedId = said.get("id").getAsLong();
            replicateOps(who, state, said.getAsJsonArray("ops"));
        }
    }

    private void replicateOps(String who, SchedulerState state, JsonArray ops) {
        state.pendingOps = ops.size();
        for (JsonElement each : ops) {
            JsonObject op = each.getAsJsonObject();
            boolean own =
                    op.has(Ledger.PART) && op.get(Ledger.PART).getAsString().equals(WindowLedger.NAME);
            boolean bans = op.has("by") && op.get("by").getAsString().equals(WindowLedger.NAME);
            if (!own && !bans) {
                state.pendingOps--;
                LOG.warn("maintenance: ignored an operation of {} that is not a coordinator's: {}", who, op);
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
    public JsonElement grantData(String who, boolean unasked) {
        if (drainTracker == null) {
            return null;
        }
        drainTracker.onGrant(context.now(), who);
        SchedulerState state = schedulers.get(who);
        if (state == null || state.token < 0 || view == null) {
            return null;
        }
        CoordinatorSnapshot snapshot = snapshot(state.completedId);
        return snapshot.toJson(state.knownView.equals(term + "/" + view.version()));
    }

    @Override
    public void onSchedulerLeft(String who) {
        if (drainTracker != null) {
            drainTracker.onLeft(who);
            schedulers.remove(who);
        }
    }

    // ---- what the leader knows ----

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
        for (SchedulerState one : schedulers.values()) {
            if (now - one.heardAt <= context.leaseMicros()) {
                demand = demand.length < one.demand.length ? withShapeOf(one.demand, demand) : demand;
                if (demand != one.demand) {
                    CoordinatorSnapshot.add(demand, one.demand);
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

    private static double[][] withShapeOf(double[][] form, double[][] with) {
        double[][] all = new double[form.length][];
        for (int i = 0; i < form.length; i++) {
            all[i] = new double[form[i].length];
        }
        CoordinatorSnapshot.add(all, with);
        return all;
    }

    /** Schedulers that send, or may send, to these racks; at the leader. */
    List<String> possibleCallers(List<String> racks) {
        Set<String> all = new TreeSet<>();
        for (String rack : view == null ? List.<String>of() : racks) {
            for (String name : view.racks().getOrDefault(rack, List.of())) {
                all.addAll(drainTracker.possibleCallers(context.now(), view.inForce(), name));
            }
        }
        return new ArrayList<>(all);
    }

    /** The process that coordinates, as last reported to the leader, and its token; or null. */
    Map.Entry<String, Long> coordinator() {
        String who = null;
        long token = -1;
        for (Map.Entry<String, SchedulerState> one : schedulers.entrySet()) {
            if (one.getValue().token > token && context.now() - one.getValue().heardAt <= context.leaseMicros()) {
                who = one.getKey();
                token = one.getValue().token;
            }
        }
        return who == null ? null : Map.entry(who, token);
    }
}
