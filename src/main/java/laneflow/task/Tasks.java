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
 * Tasks that the fleet does once, at one scheduler: what this process holds, by {@link TaskHolder}, and while it
 * leads the voters, who holds what, by {@link TaskLeader}. Both ride on policy's renewals and grants. On the
 * loop's thread.
 *
 * <p>Whoever does a task asks for an {@link Action} for each thing that it does outside, tells how long that
 * takes at most, and cuts it off by then; and says what makes an act harmless that comes behind its lease.
 * There is no way to ask whether a task is held and then to act on the answer.
 */
public final class Tasks implements RenewalExtension {
    private static final Logger LOG = LoggerFactory.getLogger(Tasks.class);
    private static final int TURN_LEASES = 30;
    private static final int QUIET_PARTS = 2;

    private final Loop loop;
    private final Fleet fleet;
    private final Counters counters;
    private final TaskHolder hold = new TaskHolder();
    private final Set<String> line = new TreeSet<>();
    private final Set<String> spread = new TreeSet<>();
    private final List<Runnable> watchers = new ArrayList<>();
    private final Deadline look;
    private Carriage by;
    private Candidacy wants = Candidacy.NONE;
    private String digest = Candidacy.NONE.digest();
    private boolean everWanted;
    private boolean draining;
    /** Null where this process does not lead. */
    private TaskLeader lead;

    public Tasks(Loop loop, Fleet fleet, Counters counters) {
        this.loop = loop;
        this.fleet = fleet;
        this.counters = counters;
        look = loop.deadlines().create(this::step);
        fleet.serve("/tasks", (verb, path, body, answer) -> answer.say(200, "application/json", "", report() + "\n"));
    }

    /** The clock that acts are timed by, read now; on any thread. */
    public long now() {
        return by.now();
    }

    /** Microseconds of a lease. */
    public long lease() {
        return by.lease();
    }

    // ---- for those who do tasks ----

    /** This process wants to do that task: in its turn, or where it is placed. */
    public void addCandidacy(String task, boolean placed) {
        if ((placed ? spread : line).add(task)) {
            wanted();
        }
    }

    /** It wants to do that task no more. */
    public void removeCandidacy(String task) {
        if (line.remove(task) | spread.remove(task)) {
            wanted();
        }
    }

    private void wanted() {
        wants = new Candidacy(new LinkedHashSet<>(line), new LinkedHashSet<>(spread));
        digest = wants.digest();
        everWanted = true;
        by.renewNow();
    }

    /** Told whenever the leader has said anything on what is held here. */
    public void onGrant(Runnable whenTold) {
        watchers.add(whenTold);
    }

    public boolean holds(String task) {
        return hold.token(task, now()) >= 0;
    }

    /** Begins an act, or null: not now. What begins is ended by {@link #end}, whatever comes of it. */
    public Action begin(String task, long most, LateSafety need) {
        Action act = hold.begin(task, now(), most, need);
        counters.add(act == null ? "task.not_now" : "task.acts");
        return act;
    }

    /** Nothing of it goes on. */
    public void end(Action act) {
        if (now() > act.endsBy()) {
            counters.add("task.acts_late");
        }
        hold.end(act);
    }

    /** Another is to have it. */
    public void giveUp(String task) {
        counters.add("task.given_up");
        hold.giveUp(task);
        by.renewNow();
    }

    /** This process ends: others take over. */
    public void drain() {
        draining = true;
        by.renewNow();
    }

    // ---- as a rider: at a scheduler ----

    @Override
    public String part() {
        return TaskTable.NAME;
    }

    @Override
    public void ride(Carriage carriage) {
        by = carriage;
    }

    @Override
    public JsonElement says() {
        return everWanted ? TaskWords.said(hold.says(wants, digest, draining)) : null;
    }

    @Override
    public void told(JsonElement word, long sentAt, long heardAt) {
        Set<String> before = hold.holds().keySet();
        if (!hold.take(TaskWords.word(word.getAsJsonObject()), sentAt, heardAt)) {
            counters.add("task.old_words");
            return;
        }
        if (!before.equals(hold.holds().keySet())) {
            LOG.info("tasks: holds {}", hold.holds());
            by.renewNow();
        }
        watchers.forEach(Runnable::run);
    }

    // ---- as a rider: at the leader ----

    @Override
    public void leads(int term) {
        lead = new TaskLeader(term, now(), new TaskLeader.Times(lease(), lease() / QUIET_PARTS, TURN_LEASES * lease()));
    }

    @Override
    public void leadsNoMore() {
        lead = null;
        loop.deadlines().cancel(look);
    }

    @Override
    public void confirmed(long submittedAt, Object part) {
        if (lead != null) {
            lead.confirmed(submittedAt, (TaskTable.View) part);
            step();
        }
    }

    @Override
    public void heard(String who, JsonElement said) {
        if (lead != null && said.isJsonObject()) {
            lead.heard(now(), who, TaskWords.said(said.getAsJsonObject()));
            step();
        }
    }

    @Override
    public JsonElement word(String who, boolean unasked) {
        laneflow.task.decision.TaskGrant word = lead == null ? null : lead.word(now(), who, unasked);
        return word == null ? null : TaskWords.word(word);
    }

    @Override
    public void left(String who) {
        if (lead != null) {
            lead.left(who);
            step();
        }
    }

    private void step() {
        if (lead == null) {
            return;
        }
        TaskLeader of = lead;
        TaskLeader.Step step = of.step(now());
        for (JsonObject op : step.ops()) {
            counters.add("task.logged");
            long asked = now();
            by.replicate(op, answer -> {
                if (answer != null && answer.has("error")) {
                    LOG.warn("tasks: {}", answer.get("error").getAsString());
                }
                of.answered(now());
                LOG.info(
                        "tasks: {} is {} after {} ms",
                        op,
                        answer == null ? "not known to be in the log" : "in the log",
                        (now() - asked) / 1000);
            });
        }
        loop.deadlines().set(look, loop.micros() + Math.max(1, of.nextLook(now()) - now()));
        step.tell().forEach(by::tell);
    }

    // ---- reports ----

    private JsonObject report() {
        JsonObject all = new JsonObject();
        all.addProperty("scheduler", fleet.self().name());
        all.addProperty("leader", by.leader());
        JsonObject own = new JsonObject();
        long left = hold.stop() - now();
        hold.holds().forEach((task, token) -> own.addProperty(task, token));
        all.add("holds", own);
        all.addProperty("lease_ms", hold.holds().isEmpty() || left < 0 ? 0 : left / 1000);
        all.add("wants", TaskWords.array(line));
        all.add("placed", TaskWords.array(spread));
        if (lead != null) {
            JsonArray tasks = new JsonArray();
            lead.standings(now()).forEach(one -> {
                JsonObject task = new JsonObject();
                task.addProperty("task", one.task().name());
                task.addProperty("kind", one.task().spread() ? "placed" : "in turns");
                task.addProperty("holder", one.granted() ? one.task().holder() : "");
                task.addProperty("token", one.task().token());
                task.addProperty("acts_ms", one.acts() / 1000);
                task.add("line", TaskWords.array(one.task().line()));
                if (!one.why().isEmpty()) {
                    task.addProperty("why", one.why());
                }
                tasks.add(task);
            });
            all.add("tasks", tasks);
        }
        return all;
    }
}
