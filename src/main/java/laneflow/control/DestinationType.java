package laneflow.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import laneflow.core.DestinationSet.Entry;
import laneflow.decision.Dispatch.State;
import laneflow.net.Loop;

/**
 * Destination sets as a type of the stream: what a whole one must be, in form and in sense. All findings
 * come at once, each with the path to its value. No I/O.
 */
public final class DestinationType {
    /** The type's name on the stream. */
    public static final String URL = "type.laneflow/destinations";
    private static final Set<String> KEYS = Set.of("name", "dial", "zone", "state", "weight", "born_ms");
    private static final double MOST_WEIGHT = 1e6;
    private static final int MOST_FINDINGS = 50;
    /** Compiled once: a large set has thousands of names, read within one turn of the loop. */
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9_.:-]{1,128}");

    private final List<String> zones;
    private final List<AddressRange> allowed;

    /** A set that was read, and what is wrong with it; it may be used only if that is nothing. */
    public record Read(List<Entry> entries, List<String> findings) {
    }

    public DestinationType(List<String> zones, List<AddressRange> allowed) {
        this.zones = zones;
        this.allowed = allowed;
    }

    /** Reads a set. */
    public Read read(JsonArray resources) {
        List<String> findings = new ArrayList<>();
        List<Entry> entries = new ArrayList<>();
        Map<String, Integer> names = new HashMap<>();
        for (int i = 0; i < resources.size() && findings.size() < MOST_FINDINGS; i++) {
            String path = "resources[" + i + "]";
            if (!resources.get(i).isJsonObject()) {
                findings.add(path + ": must be an object");
                continue;
            }
            Entry entry = entry(resources.get(i).getAsJsonObject(), path, findings);
            Integer before = names.putIfAbsent(entry.name, i);
            if (before != null && entry.name != null) {
                findings.add(path + ".name: '" + entry.name + "' is resources[" + before + "]'s too");
            }
            entries.add(entry);
        }
        if (findings.isEmpty()) {
            sense(entries, findings);
        }
        return new Read(entries, findings);
    }

    private Entry entry(JsonObject from, String path, List<String> findings) {
        for (String key : from.keySet()) {
            if (!KEYS.contains(key)) {
                findings.add(path + "." + key + ": is unknown");
            }
        }
        Entry entry = new Entry();
        entry.name = text(from, "name", null, path, findings);
        if (entry.name != null && !NAME.matcher(entry.name).matches()) {
            findings.add(path + ".name: is no name: letters, digits, '_', '.', ':' and '-'");
        }
        entry.dial = text(from, "dial", null, path, findings);
        dial(entry.dial, path, findings);
        String zone = text(from, "zone", zones.isEmpty() ? "" : zones.get(0), path, findings);
        entry.zone = Math.max(0, zones.indexOf(zone));
        if (zone != null && !zones.isEmpty() && !zones.contains(zone)) {
            findings.add(path + ".zone: '" + zone + "' is none of " + zones);
        }
        String state = text(from, "state", "ready", path, findings);
        if (state != null && !state.equals("ready") && !state.equals("draining")) {
            findings.add(path + ".state: '" + state + "' is neither ready nor draining");
        }
        entry.state = "ready".equals(state) ? State.READY : State.DRAINING;
        entry.weight = number(from, "weight", 1, MOST_WEIGHT, path, findings);
        entry.startedAt = (long) (number(from, "born_ms", 0, 1e14, path, findings) * 1000);
        return entry;
    }

    private void dial(String dial, String path, List<String> findings) {
        if (dial == null) {
            return;
        }
        try {
            var address = Loop.address(dial);
            if (address.getPort() == 0) {
                findings.add(path + ".dial: port 0 is none");
            } else if (allowed.stream().noneMatch(range -> range.holds(address.getAddress()))) {
                findings.add(path + ".dial: " + dial + " is in none of the allowed ranges");
            }
        } catch (IllegalArgumentException e) {
            findings.add(path + ".dial: " + e.getMessage());
        }
    }

    private static String text(JsonObject from, String key, String absent, String path,
            List<String> findings) {
        JsonElement value = from.get(key);
        if (value == null && absent != null) {
            return absent;
        }
        if (value == null || !value.isJsonPrimitive() || !value.getAsJsonPrimitive().isString()) {
            findings.add(path + "." + key + (value == null ? ": is missing" : ": must be a text"));
            return null;
        }
        return value.getAsString();
    }

    private static double number(JsonObject from, String key, double absent, double most, String path,
            List<String> findings) {
        JsonElement value = from.get(key);
        if (value == null) {
            return absent;
        }
        boolean number = value.isJsonPrimitive() && value.getAsJsonPrimitive().isNumber();
        double is = number ? value.getAsDouble() : Double.NaN;
        if (!(is >= 0 && is <= most)) {
            findings.add(path + "." + key + ": must be a number from 0 to " + (long) most);
            return absent;
        }
        return is;
    }

    /** Well formed and no sense: such a set would stop a zone, or everything. */
    private void sense(List<Entry> entries, List<String> findings) {
        for (int zone = 0; zone < Math.max(1, zones.size()); zone++) {
            int at = zone;
            List<Entry> here = entries.stream().filter(entry -> entry.zone == at).toList();
            String name = zones.isEmpty() ? "any zone" : "zone " + zones.get(zone);
            if (here.stream().noneMatch(entry -> entry.state == State.READY)) {
                findings.add("resources: no live endpoint in " + name);
            } else if (here.stream().noneMatch(entry -> entry.state == State.READY && entry.weight > 0)) {
                findings.add("resources: all weights of live endpoints in " + name + " are 0");
            }
        }
    }
}
