package laneflow.maintenance;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Set;
import java.util.TreeSet;
import laneflow.maintenance.decision.WindowLedger;

/**
 * The leader's state as a coordinator needs it.
 *
 * @param term the leader's term; the view's version counts within it
 * @param view the content of the ledger
 * @param drained endpoints that the policy in force bans and to which no scheduler sends
 * @param policyApplied true if all live schedulers have applied the policy in force
 * @param unreachable endpoints that schedulers cannot reach
 * @param demand requested slots by tenant and class; the last row is for unknown tenants
 * @param done id of the coordinator's last operations that were replicated
 */
record CoordinatorSnapshot(
        int term,
        WindowLedger.View view,
        Set<String> drained,
        boolean policyApplied,
        Set<String> unreachable,
        double[][] demand,
        long done) {

    /** @param viewIsKnown true if the receiver has that view already */
    JsonObject toJson(boolean viewIsKnown) {
        JsonObject json = new JsonObject();
        json.addProperty("term", term);
        if (!viewIsKnown) {
            json.add("view", view.toJson());
        }
        json.add("clear", texts(drained));
        json.addProperty("begun", policyApplied);
        json.add("lost", texts(unreachable));
        json.add("demand", rows(demand));
        json.addProperty("done", done);
        return json;
    }

    /** @param previous the previous snapshot, for its view, or null */
    static CoordinatorSnapshot fromJson(JsonObject from, CoordinatorSnapshot previous) {
        WindowLedger.View view =
                from.has("view") ? WindowLedger.View.fromJson(from.getAsJsonObject("view")) : previous.view();
        return new CoordinatorSnapshot(
                from.get("term").getAsInt(),
                view,
                texts(from, "clear"),
                from.get("begun").getAsBoolean(),
                texts(from, "lost"),
                rows(from.getAsJsonArray("demand")),
                from.get("done").getAsLong());
    }

    static JsonArray texts(Iterable<String> texts) {
        JsonArray array = new JsonArray();
        texts.forEach(array::add);
        return array;
    }

    static Set<String> texts(JsonObject from, String key) {
        Set<String> strings = new TreeSet<>();
        for (JsonElement element : from.getAsJsonArray(key)) {
            strings.add(element.getAsString());
        }
        return strings;
    }

    static JsonArray rows(double[][] table) {
        JsonArray rows = new JsonArray();
        for (double[] row : table) {
            JsonArray list = new JsonArray();
            for (double element : row) {
                list.add(Math.round(element * 1000) / 1000.0);
            }
            rows.add(list);
        }
        return rows;
    }

    static double[][] rows(JsonArray from) {
        double[][] table = new double[from.size()][];
        for (int i = 0; i < table.length; i++) {
            JsonArray row = from.get(i).getAsJsonArray();
            table[i] = new double[row.size()];
            for (int k = 0; k < table[i].length; k++) {
                table[i][k] = row.get(k).getAsDouble();
            }
        }
        return table;
    }

    /** Adds another table as far as the shapes agree: configuration files may differ during an upgrade. */
    static void add(double[][] to, double[][] other) {
        for (int i = 0; i < Math.min(to.length, other.length); i++) {
            for (int k = 0; k < Math.min(to[i].length, other[i].length); k++) {
                to[i][k] += other[i][k];
            }
        }
    }
}
