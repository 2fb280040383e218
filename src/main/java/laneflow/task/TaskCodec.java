package laneflow.task;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import laneflow.task.decision.Candidacy;
import laneflow.task.decision.TaskGrant;
import laneflow.task.decision.TaskRenewal;

/** JSON form of task renewals and task grants, which are carried in the renewals and grants of policy. */
final class TaskCodec {
    private TaskCodec() {}

    static JsonObject renewal(TaskRenewal renewal) {
        JsonObject all = new JsonObject();
        all.addProperty("term", renewal.heardTerm());
        all.addProperty("seq", renewal.heardSeq());
        all.addProperty("known", renewal.knownTerm());
        all.addProperty("v", renewal.knownVersion());
        all.addProperty("wants", renewal.candidacyDigest());
        if (renewal.candidacy() != null) {
            all.add("line", array(renewal.candidacy().rotating()));
            all.add("spread", array(renewal.candidacy().placed()));
        }
        if (renewal.draining()) {
            all.addProperty("drains", true);
        }
        if (!renewal.givenUp().isEmpty()) {
            all.add("gives", tokens(renewal.givenUp()));
        }
        return all;
    }

    static TaskRenewal renewal(JsonObject from) {
        Candidacy candidacy =
                from.has("line") ? new Candidacy(strings(from.get("line")), strings(from.get("spread"))) : null;
        return new TaskRenewal(
                from.get("term").getAsInt(),
                from.get("seq").getAsLong(),
                from.get("known").getAsInt(),
                from.get("v").getAsLong(),
                from.get("wants").getAsString(),
                candidacy,
                from.has("drains"),
                from.has("gives") ? tokens(from.getAsJsonObject("gives")) : Map.of());
    }

    static JsonObject grant(TaskGrant grant) {
        JsonObject all = new JsonObject();
        all.addProperty("term", grant.term());
        all.addProperty("seq", grant.seq());
        all.addProperty("now", grant.leaderNow());
        all.addProperty("until", grant.expiresAt());
        all.addProperty("v", grant.version());
        if (grant.holds() != null) {
            all.add("holds", tokens(grant.holds()));
        }
        if (grant.candidacyMissing()) {
            all.addProperty("missing", true);
        }
        return all;
    }

    static TaskGrant grant(JsonObject from) {
        return new TaskGrant(
                from.get("term").getAsInt(),
                from.get("seq").getAsLong(),
                from.get("now").getAsLong(),
                from.get("until").getAsLong(),
                from.get("v").getAsLong(),
                from.has("holds") ? tokens(from.getAsJsonObject("holds")) : null,
                from.has("missing"));
    }

    private static JsonObject tokens(Map<String, Long> from) {
        JsonObject all = new JsonObject();
        from.forEach(all::addProperty);
        return all;
    }

    private static SortedMap<String, Long> tokens(JsonObject from) {
        SortedMap<String, Long> all = new TreeMap<>();
        from.entrySet()
                .forEach(entry -> all.put(entry.getKey(), entry.getValue().getAsLong()));
        return all;
    }

    static JsonArray array(Iterable<String> strings) {
        JsonArray all = new JsonArray();
        strings.forEach(all::add);
        return all;
    }

    private static Set<String> strings(JsonElement from) {
        Set<String> all = new LinkedHashSet<>();
        from.getAsJsonArray().forEach(element -> all.add(element.getAsString()));
        return all;
    }
}
