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
import laneflow.maintenance.decision.Fairness;
import laneflow.maintenance.decision.Inventory;
import laneflow.maintenance.decision.Planner;
import laneflow.policy.PolicyConfig;
import laneflow.task.TaskConfig;

/** Settings of the table {@code [maintenance]}, with racks and tenants. */
public final class MaintenanceConfig {
    private static final long MINUTE_MS = 60_000;
    private static final long DAY_MS = 24 * 60 * MINUTE_MS;
    private static final long MAX_HORIZON_MS = 60 * DAY_MS;
    private static final int MAX_STEPS = 6_000;

    /** Null if endpoints or tenants are invalid; the findings say why. */
    public final Inventory inventory;
    /** Endpoints by rack. */
    public final SortedMap<String, List<String>> racks;

    public final Fairness.Limits fairnessLimits;
    public final Planner.Parameters planningParameters;
    public final Coordinator.Timeouts timeouts;
    /** Fraction of its entitlement that each tenant is expected to request. */
    public final double expectedDemand;
    /** Interval between two polls of the coordinator, in microseconds. */
    public final long pollMicros;
    /** How long after its lease a silent scheduler counts as sending, in microseconds; negative: not set. */
    public final long silenceMicros;
    /** Number of consecutive failed connection attempts after which an endpoint counts as lost. */
    public final int lostAfter;
    /** Fraction of a rack's endpoints that have to be lost for the rack to count as lost. */
    public final double lostShare;
    /** Warm-up time of a rack after its return, in milliseconds. */
    public final long warmUpMillis;
    /** Half-life of the peak demand, in milliseconds. */
    public final double demandHalfLifeMillis;
    /** Interval at which losses are written to the ledger, in milliseconds. */
    public final long accountsMillis;

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
        inventory = InventoryReader.read(settings, hosts, from.findings());
        racks = racks(hosts);
        long step = millis(from, "step_ms", 15 * MINUTE_MS, 10, DAY_MS);
        long horizon = millis(from, "ahead_ms", 14 * DAY_MS, 1000, MAX_HORIZON_MS);
        if (horizon / step > MAX_STEPS || horizon < step) {
            from.addFinding("ahead_ms", "is " + horizon / step + " times step_ms, and has to be 1 to " + MAX_STEPS);
        }
        long drain = millis(from, "drain_ms", 10 * MINUTE_MS, 10, DAY_MS);
        fairnessLimits = new Fairness.Limits(
                from.number("tolerance", 0.02, 0, 1),
                from.number("shortage", 0.05, 0, 1),
                from.number("debt", 0.001, 1e-6, 1),
                millis(from, "half_life_ms", 7 * DAY_MS, 1000, MAX_HORIZON_MS));
        planningParameters = new Planner.Parameters(
                0,
                step,
                (int) Math.min(MAX_STEPS, Math.max(1, horizon / step)),
                drain,
                millis(from, "return_ms", 10 * MINUTE_MS, 10, DAY_MS),
                from.number("reserve", 0, 0, 1),
                (int) from.integer("most_flows", 1500, 1, 100_000));
        timeouts = new Coordinator.Timeouts(
                drain,
                millis(from, "begin_ms", 30 * MINUTE_MS, 10, DAY_MS),
                millis(from, "overrun_ms", 10 * MINUTE_MS, 0, DAY_MS),
                millis(from, "give_back_ms", 30 * MINUTE_MS, 10, DAY_MS),
                millis(from, "late_ms", 60 * MINUTE_MS, 0, DAY_MS),
                millis(from, "early_ms", MINUTE_MS, 0, DAY_MS),
                millis(from, "lost_ms", DAY_MS, 1000, MAX_HORIZON_MS));
        expectedDemand = from.number("demand", 1, 0, 1);
        pollMicros = millis(from, "look_ms", 1000, 10, 60_000) * 1000;
        if (timeouts.early() * 1000 < 2 * pollMicros) {
            // With a shorter lead the coordinator could miss the notice between two polls, plan the window
            // again, and miss that notice too.
            from.addFinding("early_ms", "is less than two looks, of look_ms each");
        }
        silenceMicros = millis(from, "silent_ms", -1, 0, DAY_MS) * 1000;
        lostAfter = (int) from.integer("lost_after", 3, 1, 1000);
        lostShare = from.number("lost_share", 0.25, 0.001, 1);
        warmUpMillis = millis(from, "warm_ms", 0, 0, DAY_MS);
        demandHalfLifeMillis = millis(from, "demand_half_ms", MINUTE_MS, 10, DAY_MS);
        accountsMillis = millis(from, "accounts_ms", MINUTE_MS, 100, DAY_MS);
        from.close();
    }

    private static long millis(Table from, String key, long defaultValue, long min, long max) {
        return from.integer(key, defaultValue, min, max);
    }

    private static SortedMap<String, List<String>> racks(JsonArray hosts) {
        SortedMap<String, List<String>> racks = new TreeMap<>();
        for (JsonElement element : hosts) {
            JsonObject host = element.getAsJsonObject();
            racks.computeIfAbsent(InventoryReader.rackOf(host), name -> new ArrayList<>())
                    .add(host.get("host").getAsString());
        }
        return Collections.unmodifiableSortedMap(racks);
    }

    /** Names of the racks in the settings. */
    public Set<String> rackNames() {
        return racks.keySet();
    }

    /** Endpoints of these racks. */
    public Map<String, List<String>> endpoints(List<String> names) {
        Map<String, List<String>> endpoints = new TreeMap<>(racks);
        endpoints.keySet().retainAll(names);
        return endpoints;
    }

    /**
     * Reads the table; errors become findings of the table.
     *
     * @param settings in the platform's form, with classes, zones and customers
     * @param hosts the endpoints, in that form
     */
    public static MaintenanceConfig read(
            Table from, PolicyConfig policy, TaskConfig tasks, JsonObject settings, JsonArray hosts) {
        return new MaintenanceConfig(from, policy, tasks, settings, hosts);
    }
}
