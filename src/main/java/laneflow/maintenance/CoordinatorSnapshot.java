package laneflow.maintenance;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.Set;
import java.util.TreeSet;
import laneflow.maintenance.decision.WindowLedger;

/**
 * All that a coordinator goes by, as the leader knew it at one moment.
 *
 * @param term the leader's; a view's version counts within it
 * @param view what the ledger holds
 * @param clear endpoints that the policy in force bans and to which nobody sends
 * @param begun true if all live schedulers have begun the policy in force
 * @param lost endpoints that schedulers can't reach
 * @param demand slots asked for, by tenant and class; the last row is that of tenants that are not known
 * @param done the number of the coordinator's last word that was carried out
 */
record CoordinatorSnapshot(
        int term,
        WindowLedger.View view,
        Set<String> clear,
        boolean begun,
        Set<String> lost,
        double[][] demand,
        long done) {

    /** @param known true if its reader has that view already */
    JsonObject json(boolean known) {
        JsonObject all = new JsonObject();
        all.addProperty("term", term);
        if (!known) {
            all.add("view", view.json());
        }
        all.add("clear", texts(clear));
        all.addProperty("begun", begun);
        all.add("lost", texts(lost));
        all.add("demand", rows(demand));
        all.addProperty("done", done);
        return all;
    }

    /** @param before the one had before, for its view, or null */
    static CoordinatorSnapshot of(JsonObject from, CoordinatorSnapshot before) {
        WindowLedger.View view = from.has("view") ? WindowLedger.View.of(from.getAsJsonObject("view")) : before.view();
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
        JsonArray all = new JsonArray();
        texts.forEach(all::add);
        return all;
    }

    static Set<String> texts(JsonObject from, String key) {
        Set<String> all = new TreeSet<>();
        for (JsonElement one : from.getAsJsonArray(key)) {
            all.add(one.getAsString());
        }
        return all;
    }

    static JsonArray rows(double[][] table) {
        JsonArray rows = new JsonArray();
        for (double[] row : table) {
            JsonArray list = new JsonArray();
            for (double one : row) {
                list.add(Math.round(one * 1000) / 1000.0);
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

    /** Adds another table, as far as it has the same form: files may differ amid an upgrade. */
    static void add(double[][] to, double[][] more) {
        for (int i = 0; i < Math.min(to.length, more.length); i++) {
            for (int k = 0; k < Math.min(to[i].length, more[i].length); k++) {
                to[i][k] += more[i][k];
            }
        }
    }
}
