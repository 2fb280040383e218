package laneflow.maintenance;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import laneflow.config.Findings;
import laneflow.maintenance.decision.Inventory;
import laneflow.maintenance.decision.Inventory.EndpointGroup;
import laneflow.maintenance.decision.Inventory.Rack;
import laneflow.maintenance.decision.Inventory.Tenant;

/**
 * Reads racks and tenants out of settings in the platform's form, into which the operators' file is written
 * too: one reader for both. An endpoint without a rack is a rack of its own; a tenant that is not named
 * counts to {@link #OTHERS}.
 */
public final class InventoryReader {
    /** Who counts for all tenants that the settings do not name. */
    public static final String OTHERS = "others";

    private final Findings findings;
    private final List<String> classes = new ArrayList<>();
    private final List<String> zones = new ArrayList<>();

    private InventoryReader(Findings findings) {
        this.findings = findings;
    }

    /**
     * The inventory; what is wrong waits in the findings, and then the answer is null.
     *
     * @param settings with {@code classes}, {@code areas}, {@code customers}
     * @param hosts the list of endpoints: {@code host}, {@code site}, {@code rack} or {@code block},
     * {@code slots}, {@code classes}
     */
    public static Inventory read(JsonObject settings, JsonArray hosts, Findings findings) {
        InventoryReader reader = new InventoryReader(findings);
        each(settings, "classes", one -> reader.classes.add(text(one, "name", "")));
        if (settings.has("areas")) {
            settings.getAsJsonArray("areas").forEach(one -> reader.zones.add(one.getAsString()));
        }
        List<Rack> racks = reader.racks(hosts);
        List<Tenant> tenants = reader.tenants(settings);
        if (racks.isEmpty()) {
            findings.add("endpoints", "", "there are none: nothing can be planned for");
        }
        if (!findings.isEmpty()) {
            return null;
        }
        return new Inventory(reader.classes, new double[reader.classes.size()], racks, tenants);
    }

    private static void each(JsonObject from, String key, java.util.function.Consumer<JsonObject> take) {
        if (from.has(key) && from.get(key).isJsonArray()) {
            from.getAsJsonArray(key).forEach(one -> take.accept(one.getAsJsonObject()));
        }
    }

    private static String text(JsonObject from, String key, String absent) {
        return from.has(key) && !from.get(key).isJsonNull() ? from.get(key).getAsString() : absent;
    }

    private static double number(JsonObject from, String key, double absent) {
        return from.has(key) && !from.get(key).isJsonNull() ? from.get(key).getAsDouble() : absent;
    }

    /** The rack in which an endpoint of the list stands; left out, it is one by itself. */
    static String rack(JsonObject host) {
        return text(host, "rack", text(host, "block", text(host, "host", "")));
    }

    private List<Rack> racks(JsonArray hosts) {
        Map<String, Map<Long, Double>> slots = new LinkedHashMap<>();
        Map<String, String> zoneOf = new LinkedHashMap<>();
        for (JsonElement each : hosts) {
            JsonObject host = each.getAsJsonObject();
            String name = text(host, "host", "");
            String rack = rack(host);
            String zone = text(host, "site", "");
            String there = zoneOf.putIfAbsent(rack, zone);
            if (there != null && !there.equals(zone)) {
                findings.add(
                        "endpoints." + name,
                        "rack",
                        "'" + rack + "' stands in zone " + there + " by another endpoint, and this one in zone "
                                + zone);
                continue;
            }
            long runs = host.has("classes") ? mask(host, "endpoints." + name) : all();
            slots.computeIfAbsent(rack, key -> new LinkedHashMap<>())
                    .merge(runs, number(host, "slots", 1), Double::sum);
        }
        List<Rack> racks = new ArrayList<>();
        slots.forEach((name, by) -> {
            List<EndpointGroup> parts = new ArrayList<>();
            by.forEach((runs, sum) -> parts.add(new EndpointGroup(runs, sum, 0)));
            racks.add(new Rack(name, zoneOf.get(name), parts));
        });
        return racks;
    }

    private long all() {
        return classes.size() >= Inventory.MOST ? -1 : (1L << classes.size()) - 1;
    }

    private long mask(JsonObject from, String where) {
        long mask = 0;
        for (JsonElement name : from.getAsJsonArray("classes")) {
            int at = classes.indexOf(name.getAsString());
            if (at < 0) {
                findings.add(where, "classes", "'" + name.getAsString() + "' is none of " + classes);
            } else {
                mask |= 1L << at;
            }
        }
        return mask;
    }

    private List<Tenant> tenants(JsonObject settings) {
        List<Tenant> tenants = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        each(settings, "customers", one -> {
            String name = text(one, "name", "");
            String where = "tenants." + name;
            double share = number(one, "portion", 1);
            if (!seen.add(name)) {
                findings.add(where, "", "is there twice");
            }
            if (!(share > 0)) {
                findings.add(where, "share", "has to be over 0");
            }
            Set<String> may = new HashSet<>();
            if (one.has("zones")) {
                one.getAsJsonArray("zones").forEach(zone -> may.add(zone.getAsString()));
            }
            for (String zone : may) {
                if (!zones.contains(zone)) {
                    findings.add(where, "zones", "'" + zone + "' is none of " + zones);
                }
            }
            tenants.add(new Tenant(name, share, may, one.has("classes") ? mask(one, where) : all()));
        });
        if (!seen.contains(OTHERS)) {
            // Nobody who is not named is without a part: it weighs as one.
            tenants.add(new Tenant(OTHERS, 1, Set.of(), all()));
        }
        return tenants;
    }
}
