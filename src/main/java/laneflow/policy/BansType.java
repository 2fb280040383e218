package laneflow.policy;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import laneflow.config.Findings;
import laneflow.config.Table;
import laneflow.control.ResourceType;

/**
 * The resource type {@code bans}: endpoints to which no scheduler sends anything, one resource each: {@code
 * {"name": "till-3"}}.
 */
final class BansType implements ResourceType {
    private final Consumer<Set<String>> banEndpoints;

    /** @param banEndpoints replaces the set of banned endpoints, on the loop's thread */
    BansType(Consumer<Set<String>> banEndpoints) {
        this.banEndpoints = banEndpoints;
    }

    @Override
    public String name() {
        return "bans";
    }

    private ParsedResources parsed(List<String> findings, Set<String> names) {
        return new ParsedResources(findings, names.size()) {
            @Override
            public List<String> adopt() {
                banEndpoints.accept(names);
                return List.of();
            }
        };
    }

    @Override
    public ParsedResources initial() {
        return parsed(List.of(), Set.of());
    }

    @Override
    public ParsedResources read(JsonArray resources) {
        Findings findings = Findings.paths();
        Set<String> names = new TreeSet<>();
        for (int i = 0; i < resources.size(); i++) {
            String path = "resources[" + i + "]";
            if (!resources.get(i).isJsonObject()) {
                findings.add(path, "", "must be an object with a name");
                continue;
            }
            JsonObject resource = resources.get(i).getAsJsonObject();
            Table table = Table.of(resource, path, findings);
            String name = table.text("name");
            if (!name.isEmpty() && !names.add(name)) {
                findings.add(path, "name", "'" + name + "' occurs twice");
            }
            table.close();
        }
        return parsed(findings.all(), names);
    }
}
