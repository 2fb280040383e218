package laneflow.maintenance;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import laneflow.maintenance.decision.Coordinator;
import laneflow.maintenance.decision.Fairness;
import laneflow.maintenance.decision.Forecast;
import laneflow.maintenance.decision.Inventory;
import laneflow.maintenance.decision.LossAccounts;
import laneflow.maintenance.decision.Plan;
import laneflow.maintenance.decision.Request;
import laneflow.maintenance.decision.WindowLedger;
import laneflow.maintenance.decision.Windows;
import laneflow.maintenance.decision.Windows.State;
import laneflow.maintenance.decision.Windows.Window;
import laneflow.policy.decision.Ledger;

/**
 * Computes the coordinator's operations from a snapshot (steps for the ledger, a change of the policy's bans) and
 * the result of a dry run. A plan can take seconds, so it runs on its own thread; not thread-safe.
 */
final class PlanningSession {
    private static final long FOREVER_MS = 1L << 40;

    private final MaintenanceConfig config;
    private final Inventory inventory;
    private final Fairness fairness;
    private final Coordinator coordinator;
    /** When the racks of returning windows became available again, as far as this process knows. */
    private final Map<String, Long> backSince = new HashMap<>();

    private LossAccounts accounts;
    private long accountedAtMs;
    private long writtenAtMs;
    private long token = -1;
    private int proposals;

    PlanningSession(MaintenanceConfig config) {
        this.config = config;
        inventory = config.inventory;
        fairness = new Fairness(inventory, config.fairnessLimits);
        coordinator = new Coordinator(fairness, config.planningParameters, forecast(), config.timeouts);
    }

    /** A constant fraction of every entitlement, spread evenly over the classes that the tenant may run. */
    private Forecast forecast() {
        double[][] demand =
                new double[inventory.tenants().size()][inventory.classes().size()];
        for (int t = 0; t < demand.length; t++) {
            int runnableClasses = 0;
            for (int k = 0; k < demand[t].length; k++) {
                runnableClasses += inventory.eligibleCells(t, k) != 0 ? 1 : 0;
            }
            for (int k = 0; k < demand[t].length; k++) {
                demand[t][k] = inventory.eligibleCells(t, k) == 0
                        ? 0
                        : inventory.entitlement(t) * config.expectedDemand / runnableClasses;
            }
        }
        return new Forecast(0, FOREVER_MS, List.<double[][]>of(demand));
    }

    // ---- observation ----

    private Coordinator.Observation observe(CoordinatorSnapshot snapshot, long nowMs, double[] excess) {
        WindowLedger.View view = snapshot.view();
        Set<String> lost = new HashSet<>();
        Set<String> banned = new HashSet<>();
        Set<String> drained = new HashSet<>();
        Set<String> recovered = new HashSet<>();
        config.racks.forEach((rack, endpoints) -> {
            long missing =
                    endpoints.stream().filter(snapshot.unreachable()::contains).count();
            if (missing >= Math.max(1, config.lostShare * endpoints.size())) {
                lost.add(rack);
            }
        });
        Set<String> returning = new HashSet<>();
        for (Window window : view.windows().all()) {
            if (window.state() == State.RETURNING) {
                returning.addAll(window.request().racks());
            }
        }
        for (String rack : view.racks().keySet()) {
            List<String> endpoints = view.racks().get(rack);
            boolean isBanned = view.isBanned(rack);
            // Bans by operators are not removed when the window returns.
            boolean isStillBanned = endpoints.stream()
                    .anyMatch(name ->
                            view.windowBans().contains(name) && view.bans().contains(name));
            if (returning.contains(rack) ? isStillBanned : isBanned) {
                banned.add(rack);
            }
            if (isBanned && snapshot.drained().containsAll(endpoints)) {
                drained.add(rack);
            }
            boolean isBack = returning.contains(rack) && !isStillBanned && snapshot.policyApplied();
            if (!isBack) {
                backSince.remove(rack);
            } else if (nowMs >= backSince.computeIfAbsent(rack, name -> nowMs) + config.warmUpMillis
                    && !lost.contains(rack)) {
                recovered.add(rack);
            }
        }
        backSince.keySet().retainAll(view.racks().keySet());
        return new Coordinator.Observation(
                nowMs, fairness.due(demand(snapshot)), lost, banned, drained, recovered, excess);
    }

    private double[][] demand(CoordinatorSnapshot snapshot) {
        double[][] demand =
                new double[inventory.tenants().size()][inventory.classes().size()];
        CoordinatorSnapshot.add(demand, snapshot.demand());
        return demand;
    }

    // ---- the coordinator ----

    /** The operations that the coordinator with that token has to replicate, in order. */
    List<JsonObject> orders(CoordinatorSnapshot snapshot, long currentToken, long nowMs) {
        WindowLedger.View view = snapshot.view();
        if (currentToken != token) {
            token = currentToken;
            accounts = new LossAccounts(config.fairnessLimits.halfLifeMs());
            accounts.restore(view.accounts());
            accountedAtMs = nowMs;
            writtenAtMs = nowMs;
        }
        List<JsonObject> ops = new ArrayList<>();
        Coordinator.Observation observed = observe(snapshot, nowMs, accounts.excessLossRates(inventory, nowMs));
        updateAccounts(view, observed, ops);
        Coordinator.Orders orders = coordinator.orders(view.windows().copy(this::isKnown), observed, token);
        boolean changesBans = false;
        for (JsonObject step : orders.steps()) {
            String to = step.get("to").getAsString();
            changesBans |= to.equals(State.RETURNING.label()) || to.equals(State.DRAINING.label());
            if (to.equals(State.DRAINING.label())) {
                Window window = view.windows().window(step.get("name").getAsString());
                ops.add(WindowLedger.drainStep(
                        step, config.endpoints(window.request().racks())));
            } else {
                ops.add(WindowLedger.partOp(step));
            }
        }
        Set<String> away = new TreeSet<>(orders.banned());
        view.windows().all().stream()
                .filter(window -> !isKnown(window))
                .forEach(window -> handleUnknownRacks(view, window, nowMs, away, ops));
        Set<String> bans = view.bansFor(away);
        // A drain or return among these steps changes the required bans, so the bans wait for the next poll.
        if (!changesBans && !bans.equals(view.bans()) && !view.undecided()) {
            ops.add(bans(bans, view.inForce(), nowMs));
        }
        return ops;
    }

    private boolean isKnown(Window window) {
        return config.racks.keySet().containsAll(window.request().racks());
    }

    /**
     * Handles a window whose racks are no longer in the configuration: it is not planned, and racks that are
     * away stay away.
     */
    private void handleUnknownRacks(
            WindowLedger.View view, Window window, long nowMs, Set<String> away, List<JsonObject> ops) {
        State to = switch (window.state()) {
            case REQUESTED, POSTPONED -> State.REFUSED;
            case PLANNED, ANNOUNCED -> State.POSTPONED;
            default -> null;
        };
        if (to != null) {
            List<String> missing = new ArrayList<>(window.request().racks());
            missing.removeAll(config.racks.keySet());
            ops.add(WindowLedger.partOp(Windows.step(
                    token,
                    window,
                    to,
                    view.windows().awayChanges(),
                    window.startMs(),
                    State.DONE,
                    List.of("the coordinator's file knows no rack " + String.join(", ", missing)),
                    nowMs)));
        } else if (window.state().isAway()) {
            away.addAll(window.request().racks());
        }
    }

    private JsonObject bans(Set<String> names, long inForce, long nowMs) {
        JsonArray resources = new JsonArray();
        for (String name : names) {
            JsonObject json = new JsonObject();
            json.addProperty("name", name);
            resources.add(json);
        }
        JsonObject types = new JsonObject();
        types.add("bans", resources);
        return Ledger.propose(
                WindowLedger.NAME + "-" + token + "-" + ++proposals, types, WindowLedger.NAME, nowMs, inForce);
    }

    /** Adds current losses to the accounts and writes these to the ledger from time to time. */
    private void updateAccounts(WindowLedger.View view, Coordinator.Observation observed, List<JsonObject> ops) {
        Set<Integer> racksOut = new HashSet<>();
        Set<String> names = new TreeSet<>(observed.lost());
        view.windows().all().stream()
                .filter(window -> window.state().isAway())
                .forEach(window -> names.addAll(window.request().racks()));
        names.forEach(rack -> racksOut.add(inventory.rackIndex(rack)));
        racksOut.remove(-1);
        double[] loss = racksOut.isEmpty()
                ? new double[inventory.tenants().size()]
                : fairness.evaluate(observed.due(), inventory.slotsWithout(racksOut), observed.accounts())
                        .loss();
        long elapsedMs = observed.nowMs() - accountedAtMs;
        for (int t = 0; t < loss.length; t++) {
            accounts.addLoss(
                    inventory.tenants().get(t).name(), loss[t], inventory.entitlement(t), elapsedMs, observed.nowMs());
        }
        accountedAtMs = observed.nowMs();
        if (observed.nowMs() - writtenAtMs >= config.accountsMillis && !racksOut.isEmpty()) {
            writtenAtMs = observed.nowMs();
            ops.add(WindowLedger.accountsOp(token, accounts.state()));
        }
    }

    // ---- dry run ----

    /** Which times these requests would get now, or why they would be refused; nothing is decided. */
    JsonArray dryRun(CoordinatorSnapshot snapshot, List<Request> requests, long nowMs) {
        Windows windows = snapshot.view().windows().copy(this::isKnown);
        requests.forEach(request -> windows.apply(Windows.request(request), rack -> false));
        LossAccounts storedAccounts = new LossAccounts(config.fairnessLimits.halfLifeMs());
        storedAccounts.restore(snapshot.view().accounts());
        Plan plan =
                coordinator.plan(windows, observe(snapshot, nowMs, storedAccounts.excessLossRates(inventory, nowMs)));
        JsonArray described = new JsonArray();
        for (Request request : requests) {
            Window window = windows.window(request.name());
            Plan.Window planned = plan == null ? null : plan.window(request.name());
            boolean isWaiting = window.state() == State.REQUESTED || window.state() == State.POSTPONED;
            State state = !isWaiting ? window.state() : planned == null ? State.REFUSED : State.PLANNED;
            described.add(describe(
                    request.name(),
                    state,
                    planned == null ? window.startMs() : planned.startMs(),
                    isWaiting && planned == null ? plan.refused().get(request.name()) : window.reasons()));
        }
        return described;
    }

    /** A window in the answer to a request. */
    static JsonObject describe(String name, State state, long startMs, List<String> reasons) {
        JsonObject json = new JsonObject();
        json.addProperty("name", name);
        json.addProperty("state", state.label());
        json.addProperty("start_ms", startMs);
        json.add("reasons", CoordinatorSnapshot.texts(reasons));
        return json;
    }
}
