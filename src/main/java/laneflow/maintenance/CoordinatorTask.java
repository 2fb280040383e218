package laneflow.maintenance;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import laneflow.core.Counters;
import laneflow.core.Deadlines.Deadline;
import laneflow.net.Loop;
import laneflow.task.Tasks;
import laneflow.task.decision.TaskHolder.Action;
import laneflow.task.decision.TaskHolder.LateSafety;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the coordinator of maintenance windows while this process holds the fleet task. At each poll it
 * computes operations from the leader's snapshot on a separate thread, and sends them with its renewals until
 * the leader confirms that they were replicated. The operations carry the task's fencing token; a result
 * computed under another token is discarded. It keeps no state that its successor would need. On the control
 * thread.
 */
final class CoordinatorTask {
    static final String TASK = "maintenance";
    private static final Logger LOG = LoggerFactory.getLogger(CoordinatorTask.class);
    private static final int MIN_LEASE_DIVISOR = 8;
    private static final int OPS_TIMEOUT_LEASES = 4;

    private final Loop loop;
    private final Tasks tasks;
    private final Counters counters;
    private final MaintenanceConfig config;
    private final ExecutorService executor;
    private final PlanningSession planning;
    private final Deadline pollDeadline;
    private Renewals renewals;
    private CoordinatorSnapshot snapshot;
    private long snapshotReceivedAt;
    private long token = -1;
    private boolean isPlanning;
    /** Operations for the leader to replicate; null if there are none. */
    private JsonArray ops;

    private long opsSince;
    private long opsId;

    /** Access to policy renewals. */
    interface Renewals {
        void renewNow();

        long lease();
    }

    /** @param planning used by this task only, as it keeps state between polls */
    CoordinatorTask(
            Loop loop,
            Tasks tasks,
            Counters counters,
            MaintenanceConfig config,
            ExecutorService executor,
            PlanningSession planning) {
        this.loop = loop;
        this.tasks = tasks;
        this.counters = counters;
        this.config = config;
        this.executor = executor;
        this.planning = planning;
        pollDeadline = loop.deadlines().create(this::poll);
    }

    /** Starts taking part in coordination. */
    void start(Renewals policyRenewals) {
        renewals = policyRenewals;
        tasks.addCandidacy(TASK, true);
        poll();
    }

    void close() {
        loop.deadlines().cancel(pollDeadline);
        executor.shutdown();
    }

    /** Adds the coordinator's data to a renewal. */
    void addRenewalData(JsonObject json) {
        if (token < 0) {
            return;
        }
        json.addProperty("token", token);
        json.addProperty(
                "known",
                snapshot == null ? "" : snapshot.term() + "/" + snapshot.view().version());
        if (ops != null) {
            json.addProperty("id", opsId);
            json.add("ops", ops);
        }
    }

    /** Takes the leader's snapshot from a grant. */
    void onGrant(JsonObject data) {
        if (snapshot == null && !data.has("view")) {
            return;
        }
        boolean pollNow = snapshot == null;
        snapshot = CoordinatorSnapshot.fromJson(data, snapshot);
        snapshotReceivedAt = loop.micros();
        if (ops != null && snapshot.done() >= opsId) {
            ops = null;
            pollNow = true;
        }
        if (pollNow) {
            loop.deadlines().set(pollDeadline, loop.micros());
        }
    }

    private void poll() {
        loop.deadlines().set(pollDeadline, loop.micros() + config.pollMicros);
        if (isPlanning) {
            return;
        }
        long currentToken = token();
        if (currentToken != token) {
            LOG.info(
                    "maintenance: {}",
                    currentToken < 0 ? "no longer coordinator" : "coordinator with token " + currentToken);
            token = currentToken;
            ops = null;
            snapshot = null;
            if (currentToken >= 0) {
                renewals.renewNow();
            }
        }
        if (ops != null && loop.micros() - opsSince > OPS_TIMEOUT_LEASES * renewals.lease()) {
            // No leader has confirmed the operations in time: they are computed again.
            ops = null;
        }
        if (token < 0 || snapshot == null || ops != null || loop.micros() - snapshotReceivedAt > renewals.lease()) {
            return;
        }
        startPlanning();
    }

    /**
     * The token with which this process holds the task; negative if it does not hold it, or not for long
     * enough.
     */
    private long token() {
        Action action = tasks.begin(TASK, tasks.lease() / MIN_LEASE_DIVISOR, LateSafety.TOKEN_CHECKED);
        if (action == null) {
            return tasks.holds(TASK) ? token : -1;
        }
        tasks.end(action);
        return action.token();
    }

    private void startPlanning() {
        CoordinatorSnapshot basis = snapshot;
        long planToken = token;
        isPlanning = true;
        try {
            executor.execute(() -> {
                List<JsonObject> result = List.of();
                try {
                    result = planning.orders(basis, planToken, System.currentTimeMillis());
                } catch (RuntimeException e) {
                    LOG.error("maintenance: planning failed, no steps are taken", e);
                }
                List<JsonObject> planned = result;
                loop.later(() -> onPlanned(planned, planToken));
            });
        } catch (RejectedExecutionException e) {
            LOG.debug("maintenance: planner is shut down");
        }
    }

    private void onPlanned(List<JsonObject> planned, long planToken) {
        isPlanning = false;
        if (planned.isEmpty()) {
            return;
        }
        // Sending the result under a newer token would defeat the fencing.
        if (token() != planToken || planToken != token) {
            counters.add("maintenance.thrown_away");
            return;
        }
        ops = new JsonArray();
        planned.forEach(ops::add);
        opsSince = loop.micros();
        opsId++;
        renewals.renewNow();
    }
}
