package laneflow.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import laneflow.config.AddressRange;
import laneflow.core.EndpointSet.Entry;
import laneflow.core.StagedUpdate;
import laneflow.decision.Dispatch.State;
import laneflow.net.Loop;

/**
 * Destination sets as a resource type. After the schema check, a set is validated as a whole: every zone must
 * keep a live endpoint, and every class a live endpoint that runs it. No I/O.
 */
public final class DestinationType implements ResourceType {
    /** The type's name on the stream. */
    public static final String URL = PREFIX + "destinations";

    /** Applies destination sets. */
    public interface Adopter {
        /** Creates the staged update to a complete set of endpoints; {@code named} holds their names. */
        StagedUpdate replacement(List<Entry> entries, Set<String> named);
    }

    private final ResourceSchema schema = new ResourceSchema("destinations");
    private final List<String> zones;
    private final List<String> classes;
    private final List<AddressRange> allowed;
    private final boolean runsElsewhere;
    private final Adopter adopter;

    /**
     * Creates the type for these zones and classes.
     *
     * @param allowed address ranges allowed for endpoints
     * @param runsElsewhere whether classes may also run outside the sets, as on Gearman workers
     * @param adopter applies a valid set, on the loop's thread
     */
    public DestinationType(
            List<String> zones,
            List<String> classes,
            List<AddressRange> allowed,
            boolean runsElsewhere,
            Adopter adopter) {
        this.zones = zones;
        this.classes = classes;
        this.allowed = allowed;
        this.runsElsewhere = runsElsewhere;
        this.adopter = adopter;
    }

    @Override
    public String name() {
        return "destinations";
    }

    @Override
    public boolean isAppliedAtStart() {
        return false;
    }

    @Override
    public ParsedResources read(JsonArray resources) {
        List<String> findings = schema.findings(resources);
        List<Entry> entries = new ArrayList<>();
        if (findings.isEmpty()) {
            for (int i = 0; i < resources.size() && findings.size() < ResourceSchema.MAX_FINDINGS; i++) {
                entries.add(entry(resources.get(i).getAsJsonObject(), "resources[" + i + "]", findings));
            }
        }
        if (findings.isEmpty()) {
            checkCoverage(entries, findings);
        }
        Set<String> named = new HashSet<>();
        entries.forEach(entry -> named.add(entry.name));
        return new ParsedResources(findings, entries.size()) {
            private StagedUpdate next;
            private StagedUpdate last;

            @Override
            public boolean prepare() {
                next = next == null ? adopter.replacement(entries, named) : next;
                return next.step();
            }

            @Override
            public List<String> adopt() {
                next = next == null ? adopter.replacement(entries, named) : next;
                next.adopt();
                last = next;
                next = null;
                return List.of();
            }

            @Override
            public boolean cleanUp() {
                return last != null && last.removeDrained();
            }
        };
    }

    private Entry entry(JsonObject from, String path, List<String> findings) {
        Entry entry = new Entry();
        entry.name = from.get("name").getAsString();
        entry.dial = from.get("dial").getAsString();
        checkDial(entry.dial, path, findings);
        if (from.has("zone") && !zones.isEmpty()) {
            entry.zone = zones.indexOf(from.get("zone").getAsString());
            if (entry.zone < 0) {
                findings.add(path + ".zone: " + from.get("zone") + " is none of " + zones);
            }
        }
        boolean draining = from.has("state") && from.get("state").getAsString().equals("draining");
        entry.state = draining ? State.DRAINING : State.READY;
        entry.weight = from.has("weight") ? from.get("weight").getAsDouble() : 1;
        entry.startedAt = from.has("born_ms") ? (long) (from.get("born_ms").getAsDouble() * 1000) : 0;
        entry.slots = from.has("slots") ? from.get("slots").getAsDouble() : 1;
        entry.rack = from.has("rack") ? from.get("rack").getAsString() : "";
        if (from.has("classes")) {
            entry.classes = 0;
            for (JsonElement name : from.getAsJsonArray("classes")) {
                int index = classes.indexOf(name.getAsString());
                if (index < 0) {
                    findings.add(path + ".classes: " + name + " is none of " + classes);
                } else {
                    entry.classes |= 1L << index;
                }
            }
        }
        return entry;
    }

    private void checkDial(String dial, String path, List<String> findings) {
        try {
            var address = Loop.parseAddress(dial);
            if (address.getPort() == 0) {
                findings.add(path + ".dial: port 0 is none");
            } else if (allowed.stream().noneMatch(range -> range.contains(address.getAddress()))) {
                findings.add(path + ".dial: " + dial + " is in none of the allowed ranges");
            }
        } catch (IllegalArgumentException e) {
            findings.add(path + ".dial: " + e.getMessage());
        }
    }

    /** Rejects sets that match the schema but would leave a zone or a class without a live endpoint. */
    private void checkCoverage(List<Entry> entries, List<String> findings) {
        for (int zone = 0; zone < Math.max(1, zones.size()); zone++) {
            int zoneIndex = zone;
            List<Entry> zoneEntries =
                    entries.stream().filter(entry -> entry.zone == zoneIndex).toList();
            String name = zones.isEmpty() ? "any zone" : "zone " + zones.get(zone);
            if (zoneEntries.stream().noneMatch(entry -> entry.state == State.READY)) {
                findings.add("resources: no live endpoint in " + name);
            } else if (zoneEntries.stream().noneMatch(entry -> entry.state == State.READY && entry.weight > 0)) {
                findings.add("resources: all weights of live endpoints in " + name + " are 0");
            }
        }
        for (int i = 0; i < classes.size() && !runsElsewhere && findings.isEmpty(); i++) {
            long bit = 1L << i;
            if (entries.stream().noneMatch(entry -> entry.state == State.READY && (entry.classes & bit) != 0)) {
                findings.add("resources: no live endpoint runs class " + classes.get(i));
            }
        }
    }
}
