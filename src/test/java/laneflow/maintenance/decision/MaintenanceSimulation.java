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
 * Simulation in virtual time of windows, successive coordinators that may not know of each other, a policy
 * that schedulers apply when they receive it, calls, crews, rack failures and changing demand. Operations on
 * the log are delayed, lost, duplicated and reordered. The invariants are checked on the simulated racks and
 * calls, not on the ledger's records of them.
 */
final class MaintenanceSimulation {
    static final long MINUTE = 60_000;
    private static final long LEASE = 6 * MINUTE;
    private static final double[] SLOTS = {14, 10, 10, 6};
    private static final long DEADLINE = 3 * MINUTE;
    static final long START = 1_800_000_000_000L / (60 * MINUTE) * 60 * MINUTE;

    /** Deliberate faults that the checker has to find. */
    enum Fault {
        NONE,
        DRAINS_JUDGED_SEPARATELY,
        TOKENS_IGNORED,
        STEPS_IGNORED,
        LEAVE_BEFORE_BANS,
        SILENT_COUNTS_AS_DRAINED,
        BANS_REVOKED,
        LOST_RACKS_IGNORED,
        BANS_NEVER_REMOVED
    }

    /** An invariant is violated. */
    static final class Violation extends AssertionError {
        private static final long serialVersionUID = 1L;

        Violation(String message) {
            super(message);
        }
    }

    private static final class Scheduler {
        private Set<String> bans = Set.of();
        private boolean isCutOff;
        private long lastPolicyAt;
        /** Open calls by rack, with the latest time at which each ends. */
        private final Map<String, Long> calls = new HashMap<>();
    }

    final Fault fault;
    final Fairness fairness;
    private final Coordinator coordinator;
    private final Set<String> rackNames = new TreeSet<>();
    private Windows windows = new Windows();
    private Set<String> banned = new TreeSet<>();
    private final List<Scheduler> schedulers = List.of(new Scheduler(), new Scheduler());
    private final List<JsonObject> inFlight = new ArrayList<>();
    private final List<JsonObject> delayed = new ArrayList<>();
    private final Set<String> working = new HashSet<>();
    private final TreeMap<Long, Double> demand = new TreeMap<>();
    private final TreeMap<Long, Set<String>> lostRacks = new TreeMap<>();
    private final Set<String> appliedSteps = new HashSet<>();
    private long highestToken;
    private long token = 1;
    long now = START;
    int done;
    int turnedBack;
    int overruns;

    MaintenanceSimulation(Fault fault) {
        this.fault = fault;
        List<Rack> racks = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            racks.add(new Rack("r" + i, "a", List.of(new EndpointGroup(1, SLOTS[i], 0))));
            rackNames.add("r" + i);
        }
        // Of 40 slots: any one rack may be away while 24 slots are due, any two while 18 are, but not the
        // largest one while 30 are.
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
                new Coordinator.Timeouts(
                        20 * MINUTE, 15 * MINUTE, 10 * MINUTE, 30 * MINUTE, 20 * MINUTE, 10 * MINUTE, 60 * MINUTE));
        demand.put(0L, 24.0);
        lostRacks.put(0L, Set.of());
    }

    // ---- events ----

    void request(String name, String... racks) {
        apply(Windows.request(new Request(
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

    /** A coordinator decides, and its operations are sent to the log. A superseded coordinator acts late. */
    void decide(boolean isFormer) {
        long actingToken = isFormer ? Math.max(1, token - 1) : token;
        Coordinator.Orders orders = coordinator.orders(windows, observe(), actingToken);
        inFlight.addAll(orders.steps());
        Set<String> bans = new TreeSet<>(orders.banned());
        if (fault == Fault.BANS_NEVER_REMOVED) {
            bans.addAll(banned);
        }
        if (!bans.equals(banned)) {
            JsonObject change = new JsonObject();
            change.addProperty("op", "bans");
            change.addProperty("racks", String.join(" ", bans));
            inFlight.add(change);
        }
        now++;
    }

    private Coordinator.Observation observe() {
        Set<String> drained = new HashSet<>();
        for (String rack : rackNames) {
            boolean allDrained = true;
            for (Scheduler scheduler : schedulers) {
                boolean silent = scheduler.isCutOff
                        && (now > scheduler.lastPolicyAt + LEASE + DEADLINE || fault == Fault.SILENT_COUNTS_AS_DRAINED);
                allDrained &= silent
                        || !scheduler.isCutOff && scheduler.bans.contains(rack) && !scheduler.calls.containsKey(rack);
            }
            if (allDrained || fault == Fault.LEAVE_BEFORE_BANS) {
                drained.add(rack);
            }
        }
        Set<String> down = lostRacks.lastEntry().getValue();
        Set<String> recovered = new HashSet<>(rackNames);
        recovered.removeAll(down);
        return new Coordinator.Observation(
                now,
                due(now),
                fault == Fault.LOST_RACKS_IGNORED ? Set.of() : down,
                fault == Fault.LEAVE_BEFORE_BANS ? rackNames : Set.copyOf(banned),
                drained,
                recovered,
                null);
    }

    private double[] due(long at) {
        double perTenant = demand.floorEntry(at).getValue() / 2;
        return fairness.due(new double[][] {{perTenant}, {perTenant}});
    }

    /** The log applies an operation in flight: the oldest or the newest. */
    void arrive(boolean newest, boolean twice) {
        if (!inFlight.isEmpty()) {
            JsonObject op = inFlight.remove(newest ? inFlight.size() - 1 : 0);
            apply(op);
            if (twice) {
                apply(op);
            }
        }
        checkCalls();
    }

    /** Delays an operation until after others have been applied. */
    void delay() {
        if (!inFlight.isEmpty()) {
            delayed.add(inFlight.remove(0));
        }
    }

    void releaseDelayed(int which) {
        if (!delayed.isEmpty()) {
            apply(delayed.remove(which % delayed.size()));
        }
        checkCalls();
    }

    void drop() {
        if (!inFlight.isEmpty()) {
            inFlight.remove(0);
        }
    }

    /** A change of bans that was proposed before any window was away reaches the log only now. */
    void applyStaleBans() {
        JsonObject change = new JsonObject();
        change.addProperty("op", "bans");
        change.addProperty("racks", "");
        apply(change);
    }

    private JsonObject apply(JsonObject op) {
        if (op.get("op").getAsString().equals("bans")) {
            Set<String> bans =
                    new TreeSet<>(List.of(op.get("racks").getAsString().split(" ")));
            bans.remove("");
            if (windows.missingBans(bans).isEmpty() || fault == Fault.BANS_REVOKED) {
                banned = bans;
            }
            return op;
        }
        JsonObject altered = op.deepCopy();
        Window window = windows.window(op.get("name").getAsString());
        boolean step = op.get("op").getAsString().equals("step");
        if (step && fault == Fault.DRAINS_JUDGED_SEPARATELY) {
            altered.addProperty("away", windows.awayChanges());
        } else if (step && fault == Fault.TOKENS_IGNORED) {
            altered.addProperty("token", windows.token());
        } else if (step && fault == Fault.STEPS_IGNORED) {
            altered.addProperty("steps", window.steps());
        }
        JsonObject answer = windows.apply(altered, fault == Fault.LEAVE_BEFORE_BANS ? rack -> true : banned::contains);
        if (step && !answer.has("error")) {
            checkStep(op, window);
        }
        return answer;
    }

    private void checkStep(JsonObject op, Window before) {
        long stepToken = op.get("token").getAsLong();
        if (stepToken < highestToken) {
            throw new Violation("token " + stepToken + " was accepted after " + highestToken);
        }
        highestToken = stepToken;
        if (!appliedSteps.add(op.get("name").getAsString() + "/" + op.get("steps"))) {
            throw new Violation("a step was applied twice: " + op);
        }
        Window window = windows.window(before.name());
        done += window.state() == State.DONE ? 1 : 0;
        turnedBack += window.state() == State.RETURNING && window.outcome() == State.POSTPONED ? 1 : 0;
        overruns += window.state() == State.OVERRUN ? 1 : 0;
        if (window.state() == State.DRAINING) {
            long at = op.get("ms").getAsLong();
            Set<Integer> racksAway = new HashSet<>();
            lostRacks
                    .floorEntry(at)
                    .getValue()
                    .forEach(rack -> racksAway.add(fairness.inventory().rackIndex(rack)));
            for (Window other : windows.all()) {
                if (other.state().isAway()) {
                    other.request()
                            .racks()
                            .forEach(rack -> racksAway.add(fairness.inventory().rackIndex(rack)));
                }
            }
            if (!fairness.isFair(due(at), fairness.inventory().slotsWithout(racksAway), null)) {
                throw new Violation("unfair: " + racksAway + " are away since " + window.name());
            }
        }
    }

    /** Another coordinator takes over; a new voter starts from a snapshot. */
    void replaceCoordinator() {
        token++;
        Windows next = new Windows();
        next.restore(windows.snapshot());
        windows = next;
    }

    void applyPolicy(int index) {
        Scheduler scheduler = schedulers.get(index);
        if (!scheduler.isCutOff) {
            scheduler.bans = Set.copyOf(banned);
            scheduler.lastPolicyAt = now;
        }
        checkCalls();
    }

    void setCutOff(int index, boolean cutOff) {
        Scheduler scheduler = schedulers.get(index);
        if (cutOff && !scheduler.isCutOff) {
            scheduler.lastPolicyAt = now;
        }
        scheduler.isCutOff = cutOff;
        if (!cutOff) {
            // A scheduler gets no lease before it has received the policy in force.
            applyPolicy(index);
        }
    }

    /** A scheduler sends a call to every rack to which it may. */
    void sendCalls(int index) {
        Scheduler scheduler = schedulers.get(index);
        for (String rack : rackNames) {
            boolean maySend = !scheduler.isCutOff || now < scheduler.lastPolicyAt + LEASE;
            if (maySend
                    && !scheduler.bans.contains(rack)
                    && !lostRacks.lastEntry().getValue().contains(rack)) {
                scheduler.calls.put(rack, now + DEADLINE);
            }
        }
        checkCalls();
    }

    void endCalls(int scheduler) {
        schedulers.get(scheduler).calls.clear();
    }

    void crewActs(String name) {
        Window window = windows.window(name);
        if (window == null) {
            return;
        }
        if (working.contains(name)) {
            working.remove(name);
            apply(Windows.finish(name));
        } else if (!apply(Windows.begin(name)).has("error")
                && windows.window(name).state().isWorkedOn()) {
            working.add(name);
        }
        checkCalls();
    }

    void abort(String name) {
        if (windows.window(name) != null) {
            apply(Windows.abort(name, now));
        }
    }

    void fail(String rack, boolean failed) {
        Set<String> next = new TreeSet<>(lostRacks.lastEntry().getValue());
        if (failed ? next.add(rack) : next.remove(rack)) {
            lostRacks.put(now, next);
        }
    }

    void demand(double slots) {
        demand.put(now, slots);
    }

    void advance(long ms) {
        now += ms;
        for (Scheduler scheduler : schedulers) {
            scheduler.calls.values().removeIf(latestEnd -> latestEnd <= now);
        }
        checkCalls();
    }

    // ---- invariants ----

    private void checkCalls() {
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

    /** Runs rounds without faults: decisions are made, received and applied in order. */
    void runCalmly(int rounds) {
        for (int i = 0; i < rounds; i++) {
            decide(false);
            while (!inFlight.isEmpty()) {
                arrive(false, false);
            }
            applyPolicy(0);
            applyPolicy(1);
            sendCalls(0);
            sendCalls(1);
            advance(MINUTE + 1);
        }
    }

    Window window(String name) {
        return windows.window(name);
    }

    State state(String name) {
        return windows.window(name).state();
    }

    /** Repairs all faults and lets every crew do its work; every window has to reach a final state. */
    void heal() {
        setCutOff(0, false);
        setCutOff(1, false);
        rackNames.forEach(rack -> fail(rack, false));
        demand(24);
        for (int i = 0; i < 900; i++) {
            runCalmly(1);
            if (i % 5 == 0) {
                windows.all().forEach(window -> {
                    if (working.contains(window.name()) || window.state() == State.DOWN) {
                        crewActs(window.name());
                    }
                });
            }
            if (windows.all().stream().allMatch(window -> window.state().isFinal()) && banned.isEmpty()) {
                return;
            }
        }
        throw new Violation("stuck: " + windows.all());
    }
}
