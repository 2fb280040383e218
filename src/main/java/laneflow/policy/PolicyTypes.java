package laneflow.policy;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import laneflow.control.ResourceType;

/** The resource types that this scheduler accepts in a policy, and the reading of a whole policy. */
public final class PolicyTypes {
    private final Map<String, ResourceType> types = new LinkedHashMap<>();
    private final Map<String, String> fixedTypes;

    /** @param fixedTypes types that this scheduler reads from elsewhere, each with a message that says where */
    public PolicyTypes(List<ResourceType> types, Map<String, String> fixedTypes) {
        types.forEach(type -> this.types.put(type.name(), type));
        this.fixedTypes = fixedTypes;
    }

    /**
     * A policy as read by this scheduler. Adopting it sets every type; types that it does not name are set
     * from the operators' file.
     */
    public static final class Prepared {
        /** The problems found; only a policy without any can be adopted. */
        public final List<String> findings;

        private final List<ResourceType.ParsedResources> parsedTypes;

        private Prepared(List<String> findings, List<ResourceType.ParsedResources> parsedTypes) {
            this.findings = findings;
            this.parsedTypes = parsedTypes;
        }

        /**
         * Adopts the policy within one turn of the loop's thread; returns what takes effect only after a
         * restart.
         */
        List<String> adopt() {
            List<String> waitsForRestart = new ArrayList<>();
            parsedTypes.forEach(parsed -> waitsForRestart.addAll(parsed.adopt()));
            return waitsForRestart;
        }
    }

    /** The names of the types accepted here. */
    public List<String> names() {
        return List.copyOf(types.keySet());
    }

    /** Reads and validates a whole policy, without any effect on the running configuration. */
    Prepared read(JsonObject policy) {
        List<String> findings = new ArrayList<>();
        List<ResourceType.ParsedResources> parsedTypes = new ArrayList<>();
        for (String name : policy.keySet()) {
            if (!types.containsKey(name)) {
                findings.add(name + ": "
                        + fixedTypes.getOrDefault(
                                name,
                                "is not a type accepted by this scheduler; accepted types are "
                                        + String.join(", ", types.keySet())));
            }
        }
        for (ResourceType type : types.values()) {
            JsonElement resources = policy.get(type.name());
            ResourceType.ParsedResources parsed = resources == null ? type.initial() : read(type, resources, findings);
            if (parsed != null) {
                parsedTypes.add(parsed);
            }
        }
        return new Prepared(findings, parsedTypes);
    }

    private static ResourceType.ParsedResources read(ResourceType type, JsonElement resources, List<String> findings) {
        try {
            ResourceType.ParsedResources parsed = type.read((JsonArray) resources);
            parsed.findings.forEach(finding -> findings.add(type.name() + ": " + finding));
            return parsed;
        } catch (RuntimeException | StackOverflowError e) {
            // A fault of a reader must become a finding: without an answer from this scheduler the fleet
            // would wait.
            findings.add(type.name() + ": can't be read: " + e);
            return null;
        }
    }
}
