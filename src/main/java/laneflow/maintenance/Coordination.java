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
 * The coordinator of windows, at whoever holds the task: from time to time it has what follows from the
 * leader's picture worked out, on a thread of its own, and its orders go with the renewals until the leader
 * says that they were carried out. Each bears the task's token; what was worked out under another is thrown
 * away. It keeps nothing that the next one would need. On the control thread.
 */
final class Coordination {
    static final String TASK = "maintenance";
    private static final Logger LOG = LoggerFactory.getLogger(Coordination.class);
    private static final int ACT_PART = 8;
    private static final int PATIENCE_LEASES = 4;

    private final Loop loop;
    private final Tasks tasks;
    private final Counters counters;
    private final MaintenanceConfig config;
    private final ExecutorService thread;
    private final Planning planning;
    private final Deadline due;
    private Rider rides;
    private CoordinatorSnapshot picture;
    private long heardAt;
    private long token = -1;
    private boolean busy;
    /** What the leader is to put into the log; null: nothing. */
    private JsonArray ops;

    private long opsSince;
    private long id;

    /** What it needs of policy. */
    interface Rider {
        void renewNow();

        long lease();
    }

    /** @param planning of its own: that keeps what it needs between two looks */
    Coordination(
            Loop loop,
            Tasks tasks,
            Counters counters,
            MaintenanceConfig config,
            ExecutorService thread,
            Planning planning) {
        this.loop = loop;
        this.tasks = tasks;
        this.counters = counters;
        this.config = config;
        this.thread = thread;
        this.planning = planning;
        due = loop.deadlines().create(this::look);
    }

    /** From now on this process takes part. */
    void begin(Rider by) {
        rides = by;
        tasks.addCandidacy(TASK, true);
        look();
    }

    void close() {
        loop.deadlines().cancel(due);
        thread.shutdown();
    }

    /** What goes to the leader with a renewal. */
    void say(JsonObject all) {
        if (token < 0) {
            return;
        }
        all.addProperty("token", token);
        all.addProperty(
                "known",
                picture == null ? "" : picture.term() + "/" + picture.view().version());
        if (ops != null) {
            all.addProperty("id", id);
            all.add("ops", ops);
        }
    }

    /** The leader's picture. */
    void told(JsonObject word) {
        if (picture == null && !word.has("view")) {
            return;
        }
        boolean first = picture == null;
        picture = CoordinatorSnapshot.of(word, picture);
        heardAt = loop.micros();
        if (ops != null && picture.done() >= id) {
            ops = null;
            first = true;
        }
        if (first) {
            loop.deadlines().set(due, loop.micros());
        }
    }

    private void look() {
        loop.deadlines().set(due, loop.micros() + config.look);
        if (busy) {
            return;
        }
        long by = token();
        if (by != token) {
            LOG.info("maintenance: {}", by < 0 ? "coordinates no more" : "coordinates by token " + by);
            token = by;
            ops = null;
            picture = null;
            if (by >= 0) {
                rides.renewNow();
            }
        }
        if (ops != null && loop.micros() - opsSince > PATIENCE_LEASES * rides.lease()) {
            // No leader has said that they were carried out: what is to be done is worked out anew.
            ops = null;
        }
        if (token < 0 || picture == null || ops != null || loop.micros() - heardAt > rides.lease()) {
            return;
        }
        work();
    }

    /** The token by which this process holds the task; negative: it does not, or not for long enough. */
    private long token() {
        Action act = tasks.begin(TASK, tasks.lease() / ACT_PART, LateSafety.TOKEN_CHECKED);
        if (act == null) {
            return tasks.holds(TASK) ? token : -1;
        }
        tasks.end(act);
        return act.token();
    }

    private void work() {
        CoordinatorSnapshot of = picture;
        long by = token;
        busy = true;
        try {
            thread.execute(() -> {
                List<JsonObject> found = List.of();
                try {
                    found = planning.orders(of, by, System.currentTimeMillis());
                } catch (RuntimeException e) {
                    LOG.error("maintenance: nothing is decided in this look", e);
                }
                List<JsonObject> all = found;
                loop.later(() -> found(all, by));
            });
        } catch (RejectedExecutionException e) {
            LOG.debug("ends");
        }
    }

    private void found(List<JsonObject> all, long by) {
        busy = false;
        if (all.isEmpty()) {
            return;
        }
        // Worked out under one token and sent under another it would be the former's word.
        if (token() != by || by != token) {
            counters.add("maintenance.thrown_away");
            return;
        }
        ops = new JsonArray();
        all.forEach(ops::add);
        opsSince = loop.micros();
        id++;
        rides.renewNow();
    }
}
