package laneflow.policy;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import laneflow.control.ResourceType;

/** The types that a policy may hold at this scheduler, and its reading of a whole policy. */
public final class PolicyTypes {
    private final Map<String, ResourceType> types = new LinkedHashMap<>();
    private final Map<String, String> fixedTypes;

    /** @param fixed types that something else decides here, and what does */
    public PolicyTypes(List<ResourceType> types, Map<String, String> fixedTypes) {
        types.forEach(type -> this.types.put(type.name(), type));
        this.fixedTypes = fixedTypes;
    }

    /**
     * A policy as this scheduler reads it. Adopted it puts every type to work, those that it does not name as
     * the operators' file says.
     */
    public static final class Prepared {
        /** All that is wrong with it here; adopted is only what has none. */
        public final List<String> findings;

        private final List<ResourceType.Reading> readings;

        private Prepared(List<String> findings, List<ResourceType.Reading> readings) {
            this.findings = findings;
            this.readings = readings;
        }

        /** On the loop's thread, within a turn; returns what of it waits for a restart. */
        List<String> adopt() {
            List<String> waitsForRestart = new ArrayList<>();
            readings.forEach(reading -> waitsForRestart.addAll(reading.adopt()));
            return waitsForRestart;
        }
    }

    /** The names of the types taken here. */
    public List<String> names() {
        return List.copyOf(types.keySet());
    }

    /** Reads a whole policy, in form and in sense; touches nothing that runs. */
    Prepared read(JsonObject policy) {
        List<String> findings = new ArrayList<>();
        List<ResourceType.Reading> readings = new ArrayList<>();
        for (String name : policy.keySet()) {
            if (!types.containsKey(name)) {
                findings.add(name + ": "
                        + fixedTypes.getOrDefault(
                                name, "is no type that is taken here; taken are " + String.join(", ", types.keySet())));
            }
        }
        for (ResourceType type : types.values()) {
            JsonElement resources = policy.get(type.name());
            ResourceType.Reading reading = resources == null ? type.base() : read(type, resources, findings);
            if (reading != null) {
                readings.add(reading);
            }
        }
        return new Prepared(findings, readings);
    }

    private static ResourceType.Reading read(ResourceType type, JsonElement resources, List<String> findings) {
        try {
            ResourceType.Reading reading = type.read((JsonArray) resources);
            reading.findings.forEach(finding -> findings.add(type.name() + ": " + finding));
            return reading;
        } catch (RuntimeException | StackOverflowError e) {
            // A reader's fault must end in an answer: without one, the fleet would wait.
            findings.add(type.name() + ": can't be read: " + e);
            return null;
        }
    }
}
