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

/** What holders and their leader say to each other, as it rides on renewals and grants. */
final class TaskWords {
    private TaskWords() {}

    static JsonObject said(TaskRenewal said) {
        JsonObject all = new JsonObject();
        all.addProperty("term", said.heardTerm());
        all.addProperty("seq", said.heardSeq());
        all.addProperty("known", said.knownTerm());
        all.addProperty("v", said.knownVersion());
        all.addProperty("wants", said.wants());
        if (said.all() != null) {
            all.add("line", array(said.all().line()));
            all.add("spread", array(said.all().spread()));
        }
        if (said.draining()) {
            all.addProperty("drains", true);
        }
        if (!said.gives().isEmpty()) {
            all.add("gives", tokens(said.gives()));
        }
        return all;
    }

    static TaskRenewal said(JsonObject from) {
        Candidacy all = from.has("line") ? new Candidacy(texts(from.get("line")), texts(from.get("spread"))) : null;
        return new TaskRenewal(
                from.get("term").getAsInt(),
                from.get("seq").getAsLong(),
                from.get("known").getAsInt(),
                from.get("v").getAsLong(),
                from.get("wants").getAsString(),
                all,
                from.has("drains"),
                from.has("gives") ? tokens(from.getAsJsonObject("gives")) : Map.of());
    }

    static JsonObject word(TaskGrant word) {
        JsonObject all = new JsonObject();
        all.addProperty("term", word.term());
        all.addProperty("seq", word.seq());
        all.addProperty("now", word.leaderNow());
        all.addProperty("until", word.until());
        all.addProperty("v", word.version());
        if (word.holds() != null) {
            all.add("holds", tokens(word.holds()));
        }
        if (word.wantsMissing()) {
            all.addProperty("missing", true);
        }
        return all;
    }

    static TaskGrant word(JsonObject from) {
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
        from.entrySet().forEach(one -> all.put(one.getKey(), one.getValue().getAsLong()));
        return all;
    }

    static JsonArray array(Iterable<String> texts) {
        JsonArray all = new JsonArray();
        texts.forEach(all::add);
        return all;
    }

    private static Set<String> texts(JsonElement from) {
        Set<String> all = new LinkedHashSet<>();
        from.getAsJsonArray().forEach(one -> all.add(one.getAsString()));
        return all;
    }
}
