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
import laneflow.maintenance.decision.Accounts;
import laneflow.maintenance.decision.Coordinator;
import laneflow.maintenance.decision.Fairness;
import laneflow.maintenance.decision.Forecast;
import laneflow.maintenance.decision.Inventory;
import laneflow.maintenance.decision.Plan;
import laneflow.maintenance.decision.Request;
import laneflow.maintenance.decision.WindowLedger;
import laneflow.maintenance.decision.Windows;
import laneflow.maintenance.decision.Windows.State;
import laneflow.maintenance.decision.Windows.Window;
import laneflow.policy.decision.Ledger;

/**
 * What follows from a picture of the fleet: steps for the ledger, a change of policy's bans, and what a
 * request would get. On a thread of its own, since a plan takes up to seconds; never on two at a time.
 */
final class Planning {
    private static final long FOREVER = 1L << 40;

    private final MaintenanceConfig config;
    private final Inventory inventory;
    private final Fairness fairness;
    private final Coordinator coordinator;
    /** Since when racks of windows that return are given back, as far as this process knows. */
    private final Map<String, Long> backSince = new HashMap<>();

    private Accounts accounts;
    private long lostAtMs;
    private long writtenAtMs;
    private long token = -1;
    private int proposals;

    Planning(MaintenanceConfig config) {
        this.config = config;
        inventory = config.inventory;
        fairness = new Fairness(inventory, config.terms);
        coordinator = new Coordinator(fairness, config.planning, forecast(), config.times);
    }

    /** The same part of every entitlement, at all times, spread evenly over the classes that it may run. */
    private Forecast forecast() {
        double[][] demand =
                new double[inventory.tenants().size()][inventory.classes().size()];
        for (int t = 0; t < demand.length; t++) {
            int runs = 0;
            for (int k = 0; k < demand[t].length; k++) {
                runs += inventory.places(t, k) != 0 ? 1 : 0;
            }
            for (int k = 0; k < demand[t].length; k++) {
                demand[t][k] = inventory.places(t, k) == 0 ? 0 : inventory.entitlement(t) * config.demand / runs;
            }
        }
        return new Forecast(0, FOREVER, List.<double[][]>of(demand));
    }

    // ---- facts ----

    private Coordinator.Facts facts(CoordinatorSnapshot picture, long nowMs, double[] over) {
        WindowLedger.View view = picture.view();
        Set<String> lost = new HashSet<>();
        Set<String> banned = new HashSet<>();
        Set<String> clear = new HashSet<>();
        Set<String> well = new HashSet<>();
        config.racks.forEach((rack, endpoints) -> {
            long gone = endpoints.stream().filter(picture.lost()::contains).count();
            if (gone >= Math.max(1, config.lostShare * endpoints.size())) {
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
            // What operators ban besides is not the window's to give back.
            boolean keeps = endpoints.stream()
                    .anyMatch(name -> view.own().contains(name) && view.bans().contains(name));
            if (returning.contains(rack) ? keeps : isBanned) {
                banned.add(rack);
            }
            if (isBanned && picture.clear().containsAll(endpoints)) {
                clear.add(rack);
            }
            boolean back = returning.contains(rack) && !keeps && picture.begun();
            if (!back) {
                backSince.remove(rack);
            } else if (nowMs >= backSince.computeIfAbsent(rack, name -> nowMs) + config.warm && !lost.contains(rack)) {
                well.add(rack);
            }
        }
        backSince.keySet().retainAll(view.racks().keySet());
        return new Coordinator.Facts(nowMs, fairness.due(demand(picture)), lost, banned, clear, well, over);
    }

    private double[][] demand(CoordinatorSnapshot picture) {
        double[][] demand =
                new double[inventory.tenants().size()][inventory.classes().size()];
        CoordinatorSnapshot.add(demand, picture.demand());
        return demand;
    }

    // ---- the coordinator ----

    /** What whoever holds that token has to have put into the log, in this order. */
    List<JsonObject> orders(CoordinatorSnapshot picture, long byToken, long nowMs) {
        WindowLedger.View view = picture.view();
        if (byToken != token) {
            token = byToken;
            accounts = new Accounts(config.terms.halfLifeMs());
            accounts.restore(view.accounts());
            lostAtMs = nowMs;
            writtenAtMs = nowMs;
        }
        List<JsonObject> all = new ArrayList<>();
        Coordinator.Facts facts = facts(picture, nowMs, accounts.over(inventory, nowMs));
        account(view, facts, all);
        Coordinator.Orders orders = coordinator.orders(view.windows().copy(this::isKnown), facts, token);
        boolean moves = false;
        for (JsonObject step : orders.steps()) {
            String to = step.get("to").getAsString();
            moves |= to.equals(State.RETURNING.word()) || to.equals(State.DRAINING.word());
            if (to.equals(State.DRAINING.word())) {
                Window window = view.windows().window(step.get("name").getAsString());
                all.add(WindowLedger.drains(
                        step, config.endpoints(window.request().racks())));
            } else {
                all.add(WindowLedger.op(step));
            }
        }
        Set<String> away = new TreeSet<>(orders.banned());
        view.windows().all().stream().filter(one -> !isKnown(one)).forEach(one -> unknown(view, one, nowMs, away, all));
        Set<String> bans = view.bansFor(away);
        // Bans that a step of the same orders makes wrong are left to the next look.
        if (!moves && !bans.equals(view.bans()) && !view.undecided()) {
            all.add(bans(bans, view.inForce(), nowMs));
        }
        return all;
    }

    private boolean isKnown(Window window) {
        return config.racks.keySet().containsAll(window.request().racks());
    }

    /** Its racks were taken out of the file: it gets no time, and what is away stays away. */
    private void unknown(WindowLedger.View view, Window window, long nowMs, Set<String> away, List<JsonObject> all) {
        State to = switch (window.state()) {
            case REQUESTED, POSTPONED -> State.REFUSED;
            case PLANNED, ANNOUNCED -> State.POSTPONED;
            default -> null;
        };
        if (to != null) {
            List<String> gone = new ArrayList<>(window.request().racks());
            gone.removeAll(config.racks.keySet());
            all.add(WindowLedger.op(Windows.step(
                    token,
                    window,
                    to,
                    view.windows().away(),
                    window.startMs(),
                    State.DONE,
                    List.of("the coordinator's file knows no rack " + String.join(", ", gone)),
                    nowMs)));
        } else if (window.state().isAway()) {
            away.addAll(window.request().racks());
        }
    }

    private JsonObject bans(Set<String> names, long inForce, long nowMs) {
        JsonArray resources = new JsonArray();
        for (String name : names) {
            JsonObject one = new JsonObject();
            one.addProperty("name", name);
            resources.add(one);
        }
        JsonObject types = new JsonObject();
        types.add("bans", resources);
        return Ledger.propose(
                WindowLedger.NAME + "-" + token + "-" + ++proposals, types, WindowLedger.NAME, nowMs, inForce);
    }

    /** What tenants lose now goes onto their accounts; these go into the ledger from time to time. */
    private void account(WindowLedger.View view, Coordinator.Facts facts, List<JsonObject> all) {
        Set<Integer> out = new HashSet<>();
        Set<String> names = new TreeSet<>(facts.lost());
        view.windows().all().stream()
                .filter(one -> one.state().isAway())
                .forEach(one -> names.addAll(one.request().racks()));
        names.forEach(rack -> out.add(inventory.rackIndex(rack)));
        out.remove(-1);
        double[] loss = out.isEmpty()
                ? new double[inventory.tenants().size()]
                : fairness.evaluate(facts.due(), inventory.slotsWithout(out), facts.accounts())
                        .loss();
        long passed = facts.nowMs() - lostAtMs;
        for (int t = 0; t < loss.length; t++) {
            accounts.add(inventory.tenants().get(t).name(), loss[t], inventory.entitlement(t), passed, facts.nowMs());
        }
        lostAtMs = facts.nowMs();
        if (facts.nowMs() - writtenAtMs >= config.accounts && !out.isEmpty()) {
            writtenAtMs = facts.nowMs();
            all.add(WindowLedger.accounts(token, accounts.state()));
        }
    }

    // ---- without deciding ----

    /** Which times these would get now, or who stands against them; nothing is decided. */
    JsonArray dryRun(CoordinatorSnapshot picture, List<Request> requests, long nowMs) {
        Windows copy = picture.view().windows().copy(this::isKnown);
        requests.forEach(one -> copy.run(Windows.request(one), rack -> false));
        Accounts known = new Accounts(config.terms.halfLifeMs());
        known.restore(picture.view().accounts());
        Plan plan = coordinator.plan(copy, facts(picture, nowMs, known.over(inventory, nowMs)));
        JsonArray all = new JsonArray();
        for (Request request : requests) {
            Window window = copy.window(request.name());
            Plan.Window found = plan == null ? null : plan.window(request.name());
            boolean waits = window.state() == State.REQUESTED || window.state() == State.POSTPONED;
            State state = !waits ? window.state() : found == null ? State.REFUSED : State.PLANNED;
            all.add(told(
                    request.name(),
                    state,
                    found == null ? window.startMs() : found.startMs(),
                    waits && found == null ? plan.refused().get(request.name()) : window.reasons()));
        }
        return all;
    }

    /** A window in the answer to a request. */
    static JsonObject told(String name, State state, long startMs, List<String> reasons) {
        JsonObject one = new JsonObject();
        one.addProperty("name", name);
        one.addProperty("state", state.word());
        one.addProperty("start_ms", startMs);
        one.add("reasons", CoordinatorSnapshot.texts(reasons));
        return one;
    }
}
