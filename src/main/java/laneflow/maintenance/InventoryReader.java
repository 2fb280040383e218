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
 * Reads racks and tenants from settings in the platform's form, into which the operators' file is converted
 * too. An endpoint without a rack forms a rack of its own; a tenant that is not named counts as {@link
 * #OTHERS}.
 */
public final class InventoryReader {
    /** Tenant that stands for all tenants the settings do not name. */
    public static final String OTHERS = "others";

    private final Findings findings;
    private final List<String> classes = new ArrayList<>();
    private final List<String> zones = new ArrayList<>();

    private InventoryReader(Findings findings) {
        this.findings = findings;
    }

    /**
     * Reads the inventory; on errors, adds them to the findings and returns null.
     *
     * @param settings with {@code classes}, {@code areas}, {@code customers}
     * @param hosts the list of endpoints: {@code host}, {@code site}, {@code rack} or {@code block}, {@code
     * slots}, {@code classes}
     */
    public static Inventory read(JsonObject settings, JsonArray hosts, Findings findings) {
        InventoryReader reader = new InventoryReader(findings);
        forEachObject(settings, "classes", json -> reader.classes.add(text(json, "name", "")));
        if (settings.has("areas")) {
            settings.getAsJsonArray("areas").forEach(json -> reader.zones.add(json.getAsString()));
        }
        List<Rack> racks = reader.racks(hosts);
        List<Tenant> tenants = reader.tenants(settings);
        if (racks.isEmpty()) {
            findings.add("endpoints", "", "there are none, so nothing can be planned");
        }
        if (!findings.isEmpty()) {
            return null;
        }
        return new Inventory(reader.classes, new double[reader.classes.size()], racks, tenants);
    }

    private static void forEachObject(JsonObject from, String key, java.util.function.Consumer<JsonObject> action) {
        if (from.has(key) && from.get(key).isJsonArray()) {
            from.getAsJsonArray(key).forEach(json -> action.accept(json.getAsJsonObject()));
        }
    }

    private static String text(JsonObject from, String key, String defaultValue) {
        return from.has(key) && !from.get(key).isJsonNull() ? from.get(key).getAsString() : defaultValue;
    }

    private static double number(JsonObject from, String key, double defaultValue) {
        return from.has(key) && !from.get(key).isJsonNull() ? from.get(key).getAsDouble() : defaultValue;
    }

    /** The rack of an endpoint; without one, the endpoint is its own rack. */
    static String rackOf(JsonObject host) {
        return text(host, "rack", text(host, "block", text(host, "host", "")));
    }

    private List<Rack> racks(JsonArray hosts) {
        Map<String, Map<Long, Double>> slots = new LinkedHashMap<>();
        Map<String, String> zoneOf = new LinkedHashMap<>();
        for (JsonElement element : hosts) {
            JsonObject host = element.getAsJsonObject();
            String name = text(host, "host", "");
            String rack = rackOf(host);
            String zone = text(host, "site", "");
            String zoneBefore = zoneOf.putIfAbsent(rack, zone);
            if (zoneBefore != null && !zoneBefore.equals(zone)) {
                findings.add(
                        "endpoints." + name,
                        "rack",
                        "'" + rack + "' is in zone " + zoneBefore + " by another endpoint, but by this one in zone "
                                + zone);
                continue;
            }
            long classMask = host.has("classes") ? classMask(host, "endpoints." + name) : allClasses();
            slots.computeIfAbsent(rack, key -> new LinkedHashMap<>())
                    .merge(classMask, number(host, "slots", 1), Double::sum);
        }
        List<Rack> racks = new ArrayList<>();
        slots.forEach((name, slotsByMask) -> {
            List<EndpointGroup> groups = new ArrayList<>();
            slotsByMask.forEach((classMask, total) -> groups.add(new EndpointGroup(classMask, total, 0)));
            racks.add(new Rack(name, zoneOf.get(name), groups));
        });
        return racks;
    }

    private long allClasses() {
        return classes.size() >= Inventory.MAX_BITS ? -1 : (1L << classes.size()) - 1;
    }

    private long classMask(JsonObject from, String path) {
        long mask = 0;
        for (JsonElement name : from.getAsJsonArray("classes")) {
            int index = classes.indexOf(name.getAsString());
            if (index < 0) {
                findings.add(path, "classes", "'" + name.getAsString() + "' is none of " + classes);
            } else {
                mask |= 1L << index;
            }
        }
        return mask;
    }

    private List<Tenant> tenants(JsonObject settings) {
        List<Tenant> tenants = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        forEachObject(settings, "customers", json -> {
            String name = text(json, "name", "");
            String path = "tenants." + name;
            double share = number(json, "portion", 1);
            if (!seen.add(name)) {
                findings.add(path, "", "is a duplicate");
            }
            if (!(share > 0)) {
                findings.add(path, "share", "has to be over 0");
            }
            Set<String> allowedZones = new HashSet<>();
            if (json.has("zones")) {
                json.getAsJsonArray("zones").forEach(zone -> allowedZones.add(zone.getAsString()));
            }
            for (String zone : allowedZones) {
                if (!zones.contains(zone)) {
                    findings.add(path, "zones", "'" + zone + "' is none of " + zones);
                }
            }
            tenants.add(
                    new Tenant(name, share, allowedZones, json.has("classes") ? classMask(json, path) : allClasses()));
        });
        if (!seen.contains(OTHERS)) {
            // Unnamed tenants together have a share of 1.
            tenants.add(new Tenant(OTHERS, 1, Set.of(), allClasses()));
        }
        return tenants;
    }
}
