package laneflow.task;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import laneflow.core.Counters;
import laneflow.core.Deadlines.Deadline;
import laneflow.fleet.Fleet;
import laneflow.net.Loop;
import laneflow.policy.RenewalExtension;
import laneflow.task.decision.Candidacy;
import laneflow.task.decision.TaskHolder;
import laneflow.task.decision.TaskHolder.Action;
import laneflow.task.decision.TaskHolder.LateSafety;
import laneflow.task.decision.TaskLeader;
import laneflow.task.decision.TaskTable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Fleet-wide tasks, each performed by one scheduler at a time: the tasks that this process holds, in
 * {@link TaskHolder}, and while it leads the voters, the assignment of all tasks, in {@link TaskLeader}. Both
 * exchange their messages inside policy's renewals and grants. On the loop's thread.
 *
 * <p>Whoever performs a task begins an {@link Action} for each external effect, with the longest time that it
 * takes, cuts it off by then, and states what makes it safe should it take effect after its lease. There is
 * no way to check whether a task is held and then to act on the result.
 */
public final class Tasks implements RenewalExtension {
    private static final Logger LOG = LoggerFactory.getLogger(Tasks.class);
    private static final int TURN_LEASES = 30;
    private static final int SILENCES_PER_LEASE = 2;

    private final Loop loop;
    private final Fleet fleet;
    private final Counters counters;
    private final TaskHolder taskHolder = new TaskHolder();
    private final Set<String> rotatingTasks = new TreeSet<>();
    private final Set<String> placedTasks = new TreeSet<>();
    private final List<Runnable> listeners = new ArrayList<>();
    private final Deadline nextCheck;
    private Context context;
    private Candidacy candidacy = Candidacy.NONE;
    private String digest = Candidacy.NONE.digest();
    private boolean everCandidate;
    private boolean draining;
    /** Null while this process does not lead the voters. */
    private TaskLeader taskLeader;

    public Tasks(Loop loop, Fleet fleet, Counters counters) {
        this.loop = loop;
        this.fleet = fleet;
        this.counters = counters;
        nextCheck = loop.deadlines().create(this::step);
        fleet.serve(
                "/tasks",
                (verb, path, body, response) -> response.respond(200, "application/json", "", report() + "\n"));
    }

    /** Current time of the clock that times actions. On any thread. */
    public long now() {
        return context.now();
    }

    /** Length of a lease in microseconds. */
    public long lease() {
        return context.leaseMicros();
    }

    // ---- for code that performs tasks ----

    /**
     * Makes this process a candidate for a task.
     *
     * @param placed true if the task is placed by hashing, false if it rotates among its candidates
     */
    public void addCandidacy(String task, boolean placed) {
        if ((placed ? placedTasks : rotatingTasks).add(task)) {
            candidacyChanged();
        }
    }

    /** This process is no longer a candidate for the task. */
    public void removeCandidacy(String task) {
        if (rotatingTasks.remove(task) | placedTasks.remove(task)) {
            candidacyChanged();
        }
    }

    private void candidacyChanged() {
        candidacy = new Candidacy(new LinkedHashSet<>(rotatingTasks), new LinkedHashSet<>(placedTasks));
        digest = candidacy.digest();
        everCandidate = true;
        context.renewNow();
    }

    /** Adds a listener that is called after each grant from the leader. */
    public void onGrant(Runnable listener) {
        listeners.add(listener);
    }

    public boolean holds(String task) {
        return taskHolder.token(task, now()) >= 0;
    }

    /**
     * Begins an action; null if it may not begin now. Every action that begins must be passed to {@link #end},
     * whatever its outcome.
     *
     * @param timeout microseconds after which the action is cut off
     */
    public Action begin(String task, long timeout, LateSafety lateSafety) {
        Action action = taskHolder.begin(task, now(), timeout, lateSafety);
        counters.add(action == null ? "task.not_now" : "task.acts");
        return action;
    }

    /** The action is finished or was cut off: no part of it runs any more. */
    public void end(Action action) {
        if (now() > action.endsBy()) {
            counters.add("task.acts_late");
        }
        taskHolder.end(action);
    }

    /** Gives up a task so that it is assigned to another process. */
    public void giveUp(String task) {
        counters.add("task.given_up");
        taskHolder.giveUp(task);
        context.renewNow();
    }

    /** This process shuts down: other processes take its tasks over. */
    public void drain() {
        draining = true;
        context.renewNow();
    }

    // ---- renewal extension: at a scheduler ----

    @Override
    public String ledgerPart() {
        return TaskTable.NAME;
    }

    @Override
    public void start(Context provided) {
        context = provided;
    }

    @Override
    public JsonElement renewalData() {
        return everCandidate ? TaskCodec.renewal(taskHolder.renewal(candidacy, digest, draining)) : null;
    }

    @Override
    public void onGrant(JsonElement grant, long sentAt, long heardAt) {
        Set<String> before = taskHolder.holds().keySet();
        if (!taskHolder.apply(TaskCodec.grant(grant.getAsJsonObject()), sentAt, heardAt)) {
            counters.add("task.old_words");
            return;
        }
        if (!before.equals(taskHolder.holds().keySet())) {
            LOG.info("tasks: now holds {}", taskHolder.holds());
            context.renewNow();
        }
        listeners.forEach(Runnable::run);
    }

    // ---- renewal extension: at the leader ----

    @Override
    public void onElected(int term) {
        taskLeader = new TaskLeader(
                term, now(), new TaskLeader.Times(lease(), lease() / SILENCES_PER_LEASE, TURN_LEASES * lease()));
    }

    @Override
    public void onLeadershipLost() {
        taskLeader = null;
        loop.deadlines().cancel(nextCheck);
    }

    @Override
    public void onConfirmed(long submittedAt, Object part) {
        if (taskLeader != null) {
            taskLeader.confirmed(submittedAt, (TaskTable.View) part);
            step();
        }
    }

    @Override
    public void onRenewal(String process, JsonElement renewal) {
        if (taskLeader != null && renewal.isJsonObject()) {
            taskLeader.receive(now(), process, TaskCodec.renewal(renewal.getAsJsonObject()));
            step();
        }
    }

    @Override
    public JsonElement grantData(String process, boolean unasked) {
        laneflow.task.decision.TaskGrant grant = taskLeader == null ? null : taskLeader.grant(now(), process, unasked);
        return grant == null ? null : TaskCodec.grant(grant);
    }

    @Override
    public void onSchedulerLeft(String process) {
        if (taskLeader != null) {
            taskLeader.leave(process);
            step();
        }
    }

    private void step() {
        if (taskLeader == null) {
            return;
        }
        TaskLeader current = taskLeader;
        TaskLeader.Step step = current.step(now());
        for (JsonObject op : step.ops()) {
            counters.add("task.logged");
            long startedAt = now();
            context.replicate(op, answer -> {
                if (answer != null && answer.has("error")) {
                    LOG.warn(
                            "tasks: operation rejected: {}", answer.get("error").getAsString());
                }
                current.opsAnswered(now());
                LOG.info(
                        "tasks: {} {} after {} ms",
                        op,
                        answer == null ? "may not have been logged" : "was logged",
                        (now() - startedAt) / 1000);
            });
        }
        loop.deadlines().set(nextCheck, loop.micros() + Math.max(1, current.nextCheck(now()) - now()));
        step.tell().forEach(context::sendGrant);
    }

    // ---- reports ----

    private JsonObject report() {
        JsonObject all = new JsonObject();
        all.addProperty("scheduler", fleet.self().name());
        all.addProperty("leader", context.leader());
        JsonObject held = new JsonObject();
        long left = taskHolder.leaseEnd() - now();
        taskHolder.holds().forEach((task, token) -> held.addProperty(task, token));
        all.add("holds", held);
        all.addProperty("lease_ms", taskHolder.holds().isEmpty() || left < 0 ? 0 : left / 1000);
        all.add("wants", TaskCodec.array(rotatingTasks));
        all.add("placed", TaskCodec.array(placedTasks));
        if (taskLeader != null) {
            JsonArray tasks = new JsonArray();
            taskLeader.statuses(now()).forEach(status -> {
                JsonObject task = new JsonObject();
                task.addProperty("task", status.task().name());
                task.addProperty("kind", status.task().placed() ? "placed" : "in turns");
                task.addProperty("holder", status.granted() ? status.task().holder() : "");
                task.addProperty("token", status.task().token());
                task.addProperty("acts_ms", status.leaseLeft() / 1000);
                task.add("line", TaskCodec.array(status.task().candidates()));
                if (!status.reason().isEmpty()) {
                    task.addProperty("why", status.reason());
                }
                tasks.add(task);
            });
            all.add("tasks", tasks);
        }
        return all;
    }
}
