package laneflow.maintenance.decision;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** JSON form of requests and windows, for the ledger's log and snapshots and for the HTTP API. */
public final class MaintenanceJson {
    private MaintenanceJson() {}

    /** Writes a request; times and durations in milliseconds. */
    public static JsonObject write(Request request) {
        JsonObject to = new JsonObject();
        to.addProperty("name", request.name());
        to.addProperty("owner", request.owner());
        to.add("racks", texts(request.racks()));
        to.addProperty("work_ms", request.workMs());
        to.addProperty("earliest_ms", request.earliestMs());
        to.addProperty("latest_ms", request.latestMs());
        to.addProperty("notice_ms", request.noticeMs());
        to.addProperty("abort_ms", request.abortMs());
        to.add("apart", texts(request.apart().stream().sorted().toList()));
        to.add("after", texts(request.after()));
        if (!request.freezes().isEmpty()) {
            JsonArray freezes = new JsonArray();
            for (Plan.Freeze freeze : request.freezes()) {
                JsonObject freezeJson = new JsonObject();
                freezeJson.addProperty("name", freeze.name());
                freezeJson.addProperty("from_ms", freeze.fromMs());
                freezeJson.addProperty("to_ms", freeze.toMs());
                freezes.add(freezeJson);
            }
            to.add("freezes", freezes);
        }
        return to;
    }

    private static List<Plan.Freeze> freezes(JsonObject from) {
        List<Plan.Freeze> freezes = new ArrayList<>();
        if (from.has("freezes")) {
            from.getAsJsonArray("freezes").forEach(element -> {
                JsonObject json = element.getAsJsonObject();
                freezes.add(new Plan.Freeze(
                        json.get("name").getAsString(),
                        json.get("from_ms").getAsLong(),
                        json.get("to_ms").getAsLong()));
            });
        }
        return freezes;
    }

    /**
     * Reads a request that is known to be valid.
     *
     * @throws RuntimeException of any kind if it is not; input from outside is validated by {@code
     * RequestReader}
     */
    public static Request request(JsonObject from) {
        return new Request(
                from.get("name").getAsString(),
                from.get("owner").getAsString(),
                texts(from, "racks"),
                from.get("work_ms").getAsLong(),
                from.get("earliest_ms").getAsLong(),
                from.get("latest_ms").getAsLong(),
                from.get("notice_ms").getAsLong(),
                from.get("abort_ms").getAsLong(),
                Set.copyOf(texts(from, "apart")),
                texts(from, "after"),
                freezes(from));
    }

    /** Writes a window with its request. */
    public static JsonObject write(Windows.Window window) {
        JsonObject to = new JsonObject();
        to.add("request", write(window.request()));
        to.addProperty("state", window.state().label());
        to.addProperty("steps", window.steps());
        to.addProperty("start_ms", window.startMs());
        to.addProperty("leave_ms", window.leaveMs());
        to.addProperty("begun", window.begun());
        to.addProperty("call_off", window.calledOff());
        to.addProperty("outcome", window.outcome().label());
        to.add("reasons", texts(window.reasons()));
        return to;
    }

    /** Reads what {@link #write} has written. */
    public static Windows.Window window(JsonObject from) {
        return new Windows.Window(
                request(from.getAsJsonObject("request")),
                state(from, "state"),
                from.get("steps").getAsLong(),
                from.get("start_ms").getAsLong(),
                from.get("leave_ms").getAsLong(),
                from.get("begun").getAsBoolean(),
                from.get("call_off").getAsBoolean(),
                state(from, "outcome"),
                texts(from, "reasons"));
    }

    private static Windows.State state(JsonObject from, String key) {
        return Windows.State.valueOf(from.get(key).getAsString().toUpperCase(Locale.ROOT));
    }

    private static JsonArray texts(Collection<String> values) {
        JsonArray list = new JsonArray();
        values.forEach(list::add);
        return list;
    }

    private static List<String> texts(JsonObject from, String key) {
        List<String> values = new ArrayList<>();
        for (JsonElement element : from.getAsJsonArray(key)) {
            values.add(element.getAsString());
        }
        return List.copyOf(values);
    }
}
