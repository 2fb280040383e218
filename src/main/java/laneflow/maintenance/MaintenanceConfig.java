package laneflow.maintenance;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import laneflow.config.Table;
import laneflow.maintenance.decision.Coordinator;
import laneflow.maintenance.decision.Estate;
import laneflow.maintenance.decision.Fairness;
import laneflow.maintenance.decision.Planner;
import laneflow.policy.PolicyConfig;
import laneflow.task.TaskConfig;

/** What the operators set for maintenance windows: the table {@code [maintenance]}, racks and tenants. */
public final class MaintenanceConfig {
    private static final long MINUTE = 60_000;
    private static final long DAY = 24 * 60 * MINUTE;
    private static final long MOST_AHEAD = 60 * DAY;
    private static final int MOST_STEPS = 6_000;

    /** Null where endpoints or tenants are not sound: findings say why. */
    public final Estate estate;
    /** The endpoints of each rack. */
    public final SortedMap<String, List<String>> racks;

    public final Fairness.Terms terms;
    public final Planner.Times planning;
    public final Coordinator.Times times;
    /** The part of its entitlement that a tenant is expected to ask for. */
    public final double demand;
    /** Microseconds between two looks of the coordinator. */
    public final long look;
    /** Microseconds behind its lease for which one that is silent counts as sending; negative: not said. */
    public final long silent;
    /** How many calls in a row come to no connection until an endpoint counts as lost. */
    public final int lostAfter;
    /** The part of a rack's endpoints that are lost from which it counts as lost. */
    public final double lostShare;
    /** Milliseconds for which a rack is left to warm up behind its return. */
    public final long warm;
    /** Milliseconds in which what was asked for at its most counts half. */
    public final double demandHalf;
    /** Milliseconds after which losses go into the ledger. */
    public final long accounts;

    private MaintenanceConfig(Table from, PolicyConfig policy, TaskConfig tasks, JsonObject settings, JsonArray hosts) {
        if (policy == null) {
            from.addFinding("", "needs the table [policy], whose voters keep windows");
        } else if (policy.servesWithoutLease) {
            from.addFinding(
                    "",
                    "needs [policy] cut_off = \"stop\": one that serves on while it is cut off would"
                            + " send to racks that are down");
        }
        if (tasks == null) {
            from.addFinding("", "needs the table [tasks]: coordinating is a task that the fleet does once");
        }
        estate = EstateReader.read(settings, hosts, from.findings());
        racks = racks(hosts);
        long step = millis(from, "step_ms", 15 * MINUTE, 10, DAY);
        long ahead = millis(from, "ahead_ms", 14 * DAY, 1000, MOST_AHEAD);
        if (ahead / step > MOST_STEPS || ahead < step) {
            from.addFinding("ahead_ms", "is " + ahead / step + " times step_ms, and has to be 1 to " + MOST_STEPS);
        }
        long drain = millis(from, "drain_ms", 10 * MINUTE, 10, DAY);
        terms = new Fairness.Terms(
                from.number("tolerance", 0.02, 0, 1),
                from.number("shortage", 0.05, 0, 1),
                from.number("debt", 0.001, 1e-6, 1),
                millis(from, "half_life_ms", 7 * DAY, 1000, MOST_AHEAD));
        planning = new Planner.Times(
                0,
                step,
                (int) Math.min(MOST_STEPS, Math.max(1, ahead / step)),
                drain,
                millis(from, "return_ms", 10 * MINUTE, 10, DAY),
                from.number("reserve", 0, 0, 1),
                (int) from.integer("most_flows", 1500, 1, 100_000));
        times = new Coordinator.Times(
                drain,
                millis(from, "begin_ms", 30 * MINUTE, 10, DAY),
                millis(from, "overrun_ms", 10 * MINUTE, 0, DAY),
                millis(from, "give_back_ms", 30 * MINUTE, 10, DAY),
                millis(from, "late_ms", 60 * MINUTE, 0, DAY),
                millis(from, "early_ms", MINUTE, 0, DAY),
                millis(from, "lost_ms", DAY, 1000, MOST_AHEAD));
        demand = from.number("demand", 1, 0, 1);
        look = millis(from, "look_ms", 1000, 10, 60_000) * 1000;
        if (times.early() * 1000 < 2 * look) {
            // It would miss its notice by a look, be planned anew, and miss that one too.
            from.addFinding("early_ms", "is less than two looks, of look_ms each");
        }
        silent = millis(from, "silent_ms", -1, 0, DAY) * 1000;
        lostAfter = (int) from.integer("lost_after", 3, 1, 1000);
        lostShare = from.number("lost_share", 0.25, 0.001, 1);
        warm = millis(from, "warm_ms", 0, 0, DAY);
        demandHalf = millis(from, "demand_half_ms", MINUTE, 10, DAY);
        accounts = millis(from, "accounts_ms", MINUTE, 100, DAY);
        from.close();
    }

    private static long millis(Table from, String key, long absent, long least, long most) {
        return from.integer(key, absent, least, most);
    }

    private static SortedMap<String, List<String>> racks(JsonArray hosts) {
        SortedMap<String, List<String>> racks = new TreeMap<>();
        for (JsonElement each : hosts) {
            JsonObject host = each.getAsJsonObject();
            racks.computeIfAbsent(EstateReader.rack(host), name -> new ArrayList<>())
                    .add(host.get("host").getAsString());
        }
        return Collections.unmodifiableSortedMap(racks);
    }

    /** The racks that stand in the settings. */
    public Set<String> names() {
        return racks.keySet();
    }

    /** These racks' endpoints. */
    public Map<String, List<String>> endpoints(List<String> these) {
        Map<String, List<String>> all = new TreeMap<>(racks);
        all.keySet().retainAll(these);
        return all;
    }

    /**
     * Reads the table; what is wrong becomes findings of the table's.
     *
     * @param settings in the platform's form, with classes, zones and customers
     * @param hosts the endpoints, in that form
     */
    public static MaintenanceConfig read(
            Table from, PolicyConfig policy, TaskConfig tasks, JsonObject settings, JsonArray hosts) {
        return new MaintenanceConfig(from, policy, tasks, settings, hosts);
    }
}
