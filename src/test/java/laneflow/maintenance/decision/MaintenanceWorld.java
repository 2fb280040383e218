package laneflow.maintenance.decision;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import laneflow.maintenance.decision.Inventory.EndpointGroup;
import laneflow.maintenance.decision.Inventory.Rack;
import laneflow.maintenance.decision.Inventory.Tenant;
import laneflow.maintenance.decision.Windows.State;
import laneflow.maintenance.decision.Windows.Window;

/**
 * Windows, coordinators that follow one another and don't know it, a policy that schedulers begin with when
 * they hear of it, calls, crews, racks that fail, demand that moves, in virtual time. Operations on the log
 * are held, lost, doubled, and overtake each other. The checker looks at racks and calls, not at what the
 * ledger says of them.
 */
final class MaintenanceWorld {
    static final long MINUTE = 60_000;
    private static final long LEASE = 6 * MINUTE;
    private static final double[] SLOTS = {14, 10, 10, 6};
    private static final long DEADLINE = 3 * MINUTE;
    static final long START = 1_800_000_000_000L / (60 * MINUTE) * 60 * MINUTE;

    /** What is done wrong on purpose, to see that it is found. */
    enum Broken {
        NOTHING,
        JUDGED_APART,
        TOKENS_IGNORED,
        STEPS_IGNORED,
        LEAVE_BEFORE_BANS,
        SILENT_IS_CLEAR,
        BANS_TAKEN_BACK,
        LOST_UNSEEN,
        NEVER_GIVEN_BACK
    }

    /** A promise is broken. */
    static final class Violation extends AssertionError {
        private static final long serialVersionUID = 1L;

        Violation(String what) {
            super(what);
        }
    }

    private static final class Scheduler {
        private Set<String> bans = Set.of();
        private boolean cut;
        private long heardAt;
        /** Calls out there, and when each is over at the latest. */
        private final Map<String, Long> calls = new HashMap<>();
    }

    final Broken broken;
    final Fairness fairness;
    private final Coordinator coordinator;
    private final Set<String> names = new TreeSet<>();
    private Windows windows = new Windows();
    private Set<String> banned = new TreeSet<>();
    private final List<Scheduler> schedulers = List.of(new Scheduler(), new Scheduler());
    private final List<JsonObject> flying = new ArrayList<>();
    private final List<JsonObject> held = new ArrayList<>();
    private final Set<String> working = new HashSet<>();
    private final TreeMap<Long, Double> demand = new TreeMap<>();
    private final TreeMap<Long, Set<String>> lost = new TreeMap<>();
    private final Set<String> taken = new HashSet<>();
    private long highest;
    private long token = 1;
    long now = START;
    int done;
    int turnedBack;
    int overruns;

    MaintenanceWorld(Broken broken) {
        this.broken = broken;
        List<Rack> racks = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            racks.add(new Rack("r" + i, "a", List.of(new EndpointGroup(1, SLOTS[i], 0))));
            names.add("r" + i);
        }
        // Any rack may go while 24 of 40 slots are due, two while 18 are, not the largest while 30 are.
        fairness = new Fairness(
                new Inventory(
                        List.of("quick"),
                        new double[1],
                        racks,
                        List.of(new Tenant("one", 1, Set.of(), 1), new Tenant("other", 1, Set.of(), 1))),
                Fairness.Limits.defaults());
        coordinator = new Coordinator(
                fairness,
                new Planner.Parameters(START, 10 * MINUTE, 60, 5 * MINUTE, 5 * MINUTE, 0, 200),
                new Forecast(START, 60 * MINUTE, List.<double[][]>of(new double[][] {{9}, {9}})),
                new Coordinator.Times(
                        20 * MINUTE, 15 * MINUTE, 10 * MINUTE, 30 * MINUTE, 20 * MINUTE, 10 * MINUTE, 60 * MINUTE));
        demand.put(0L, 24.0);
        lost.put(0L, Set.of());
    }

    // ---- events ----

    void request(String name, String... racks) {
        take(Windows.request(new Request(
                name,
                "ops",
                List.of(racks),
                20 * MINUTE,
                now,
                now + 600 * MINUTE,
                10 * MINUTE,
                10 * MINUTE,
                Set.of(),
                List.of())));
    }

    /** A coordinator looks; what it decides is under way to the log. One that was followed acts late. */
    void look(boolean isFormer) {
        long by = isFormer ? Math.max(1, token - 1) : token;
        Coordinator.Orders orders = coordinator.orders(windows, facts(), by);
        flying.addAll(orders.steps());
        Set<String> bans = new TreeSet<>(orders.banned());
        if (broken == Broken.NEVER_GIVEN_BACK) {
            bans.addAll(banned);
        }
        if (!bans.equals(banned)) {
            JsonObject change = new JsonObject();
            change.addProperty("op", "bans");
            change.addProperty("racks", String.join(" ", bans));
            flying.add(change);
        }
        now++;
    }

    private Coordinator.Facts facts() {
        Set<String> clear = new HashSet<>();
        for (String rack : names) {
            boolean all = true;
            for (Scheduler one : schedulers) {
                boolean silent = one.cut && (now > one.heardAt + LEASE + DEADLINE || broken == Broken.SILENT_IS_CLEAR);
                all &= silent || !one.cut && one.bans.contains(rack) && !one.calls.containsKey(rack);
            }
            if (all || broken == Broken.LEAVE_BEFORE_BANS) {
                clear.add(rack);
            }
        }
        Set<String> down = lost.lastEntry().getValue();
        Set<String> well = new HashSet<>(names);
        well.removeAll(down);
        return new Coordinator.Facts(
                now,
                due(now),
                broken == Broken.LOST_UNSEEN ? Set.of() : down,
                broken == Broken.LEAVE_BEFORE_BANS ? names : Set.copyOf(banned),
                clear,
                well,
                null);
    }

    private double[] due(long at) {
        double each = demand.floorEntry(at).getValue() / 2;
        return fairness.due(new double[][] {{each}, {each}});
    }

    /** The log takes one that is under way: the oldest or the newest. */
    void arrive(boolean newest, boolean again) {
        if (!flying.isEmpty()) {
            JsonObject op = flying.remove(newest ? flying.size() - 1 : 0);
            take(op);
            if (again) {
                take(op);
            }
        }
        look();
    }

    /** One is held back, and comes when others have long been carried out. */
    void hold() {
        if (!flying.isEmpty()) {
            held.add(flying.remove(0));
        }
    }

    void release(int which) {
        if (!held.isEmpty()) {
            take(held.remove(which % held.size()));
        }
        look();
    }

    void lose() {
        if (!flying.isEmpty()) {
            flying.remove(0);
        }
    }

    /** A change of bans that was proposed before any window was away comes to the log only now. */
    void oldBans() {
        JsonObject change = new JsonObject();
        change.addProperty("op", "bans");
        change.addProperty("racks", "");
        take(change);
    }

    private JsonObject take(JsonObject op) {
        if (op.get("op").getAsString().equals("bans")) {
            Set<String> bans =
                    new TreeSet<>(List.of(op.get("racks").getAsString().split(" ")));
            bans.remove("");
            if (windows.missing(bans).isEmpty() || broken == Broken.BANS_TAKEN_BACK) {
                banned = bans;
            }
            return op;
        }
        JsonObject as = op.deepCopy();
        Window window = windows.window(op.get("name").getAsString());
        boolean step = op.get("op").getAsString().equals("step");
        if (step && broken == Broken.JUDGED_APART) {
            as.addProperty("away", windows.away());
        } else if (step && broken == Broken.TOKENS_IGNORED) {
            as.addProperty("token", windows.token());
        } else if (step && broken == Broken.STEPS_IGNORED) {
            as.addProperty("steps", window.steps());
        }
        JsonObject answer = windows.run(as, broken == Broken.LEAVE_BEFORE_BANS ? rack -> true : banned::contains);
        if (step && !answer.has("error")) {
            stepped(op, window);
        }
        return answer;
    }

    private void stepped(JsonObject op, Window before) {
        long by = op.get("token").getAsLong();
        if (by < highest) {
            throw new Violation("token " + by + " was taken behind " + highest);
        }
        highest = by;
        if (!taken.add(op.get("name").getAsString() + "/" + op.get("steps"))) {
            throw new Violation("a step was taken twice: " + op);
        }
        Window window = windows.window(before.name());
        done += window.state() == State.DONE ? 1 : 0;
        turnedBack += window.state() == State.RETURNING && window.outcome() == State.POSTPONED ? 1 : 0;
        overruns += window.state() == State.OVERRUN ? 1 : 0;
        if (window.state() == State.DRAINING) {
            long at = op.get("ms").getAsLong();
            Set<Integer> out = new HashSet<>();
            lost.floorEntry(at)
                    .getValue()
                    .forEach(rack -> out.add(fairness.inventory().rackIndex(rack)));
            for (Window one : windows.all()) {
                if (one.state().isAway()) {
                    one.request()
                            .racks()
                            .forEach(rack -> out.add(fairness.inventory().rackIndex(rack)));
                }
            }
            if (!fairness.isFair(due(at), fairness.inventory().slotsWithout(out), null)) {
                throw new Violation("unfair: " + out + " are away since " + window.name());
            }
        }
    }

    /** Another coordinator; a voter that takes part from here on has its state from a snapshot. */
    void elect() {
        token++;
        Windows next = new Windows();
        next.restore(windows.snapshot());
        windows = next;
    }

    void hear(int scheduler) {
        Scheduler one = schedulers.get(scheduler);
        if (!one.cut) {
            one.bans = Set.copyOf(banned);
            one.heardAt = now;
        }
        look();
    }

    void cut(int scheduler, boolean is) {
        Scheduler one = schedulers.get(scheduler);
        if (is && !one.cut) {
            one.heardAt = now;
        }
        one.cut = is;
        if (!is) {
            // It has no lease before it has heard what is in force.
            hear(scheduler);
        }
    }

    /** A scheduler sends wherever it may. */
    void send(int scheduler) {
        Scheduler one = schedulers.get(scheduler);
        for (String rack : names) {
            boolean may = !one.cut || now < one.heardAt + LEASE;
            if (may && !one.bans.contains(rack) && !lost.lastEntry().getValue().contains(rack)) {
                one.calls.put(rack, now + DEADLINE);
            }
        }
        look();
    }

    void end(int scheduler) {
        schedulers.get(scheduler).calls.clear();
    }

    void crew(String name) {
        Window window = windows.window(name);
        if (window == null) {
            return;
        }
        if (working.contains(name)) {
            working.remove(name);
            take(Windows.finish(name));
        } else if (!take(Windows.begin(name)).has("error")
                && windows.window(name).state().isWorkedOn()) {
            working.add(name);
        }
        look();
    }

    void abort(String name) {
        if (windows.window(name) != null) {
            take(Windows.abort(name, now));
        }
    }

    void fail(String rack, boolean is) {
        Set<String> next = new TreeSet<>(lost.lastEntry().getValue());
        if (is ? next.add(rack) : next.remove(rack)) {
            lost.put(now, next);
        }
    }

    void demand(double slots) {
        demand.put(now, slots);
    }

    void pass(long ms) {
        now += ms;
        for (Scheduler one : schedulers) {
            one.calls.values().removeIf(ends -> ends <= now);
        }
        look();
    }

    // ---- promises ----

    private void look() {
        for (String name : working) {
            for (String rack : windows.window(name).request().racks()) {
                for (int i = 0; i < schedulers.size(); i++) {
                    if (schedulers.get(i).calls.containsKey(rack)) {
                        throw new Violation(
                                "s" + i + " has a call at " + rack + ", where " + name + "'s crew is at work");
                    }
                }
            }
        }
    }

    /** All that is well from here on: looked at, heard, carried out in order. */
    void calm(int rounds) {
        for (int i = 0; i < rounds; i++) {
            look(false);
            while (!flying.isEmpty()) {
                arrive(false, false);
            }
            hear(0);
            hear(1);
            send(0);
            send(1);
            pass(MINUTE + 1);
        }
    }

    Window window(String name) {
        return windows.window(name);
    }

    State state(String name) {
        return windows.window(name).state();
    }

    /** Everything is mended and every crew does its work; nothing may be stuck behind it. */
    void heal() {
        cut(0, false);
        cut(1, false);
        names.forEach(rack -> fail(rack, false));
        demand(24);
        for (int i = 0; i < 900; i++) {
            calm(1);
            if (i % 5 == 0) {
                windows.all().forEach(one -> {
                    if (working.contains(one.name()) || one.state() == State.DOWN) {
                        crew(one.name());
                    }
                });
            }
            if (windows.all().stream().allMatch(one -> one.state().isFinal()) && banned.isEmpty()) {
                return;
            }
        }
        throw new Violation("stuck: " + windows.all());
    }
}
