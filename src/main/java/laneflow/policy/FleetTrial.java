package laneflow.policy;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import laneflow.control.decision.Probation.Finding;
import laneflow.control.decision.Probation.Verdict;
import laneflow.control.decision.Trial;
import laneflow.policy.decision.Ledger.View;

/**
 * Watches the whole fleet's service behind a change, by the trial that single schedulers' versions stand too:
 * the counts are the sums of all schedulers', of those that have gone as well. What made service worse is
 * taken back by a change of its own, which goes the way of every other. A new leader has no figures of the
 * time before, so what was on trial then is kept.
 */
final class FleetTrial {
    private static final String SUFFIX = ".taken-back";
    private static final int MOST_NAME = 64 - SUFFIX.length();

    private final List<String> classes;
    private final long length;
    private final double bound;
    private final Map<String, long[][]> counts = new HashMap<>();
    private Trial trial;
    private long nextLook;
    private String name = "";
    private JsonObject undo;

    /** @param length microseconds; 0: there are no trials */
    FleetTrial(List<String> classes, long length, double bound) {
        this.classes = classes;
        this.length = length;
        this.bound = bound;
    }

    /** True where changes are on trial at all. */
    boolean isOn() {
        return length > 0;
    }

    /** A leader begins: figures are counted from here. */
    void begin(long now) {
        counts.clear();
        undo = null;
        trial = length == 0 ? null : new Trial(classes.toArray(new String[0]), length, bound, now, sum());
    }

    /** A scheduler's counts since its start. */
    void heard(String who, JsonArray rows) {
        if (trial == null || rows.size() != classes.size()) {
            return;
        }
        long[][] said = new long[rows.size()][4];
        for (int i = 0; i < said.length; i++) {
            for (int k = 0; k < said[i].length; k++) {
                said[i][k] = rows.get(i).getAsJsonArray().get(k).getAsLong();
            }
        }
        counts.put(who, said);
    }

    private long[][] sum() {
        long[][] all = new long[classes.size()][4];
        counts.values().forEach(one -> {
            for (int i = 0; i < all.length; i++) {
                for (int k = 0; k < all[i].length; k++) {
                    all[i][k] += one[i][k];
                }
            }
        });
        return all;
    }

    /** A change has been applied, after these; one that takes back is not on trial itself. */
    void applied(long now, View before, View after) {
        String applied = before.open() == null ? "" : before.open().name();
        if (trial == null || applied.isEmpty() || applied.endsWith(SUFFIX)) {
            undo = null;
            return;
        }
        name = applied;
        undo = new JsonObject();
        for (String type : before.open().types().keySet()) {
            undo.add(type, before.merged().has(type) ? before.merged().get(type) : new JsonArray());
        }
        trial.adopted(now, sum(), null);
    }

    /** What is to be proposed because service is worse: {@code name}, {@code types}, {@code why}; or null. */
    JsonObject look(long now) {
        if (trial == null || now < nextLook) {
            return null;
        }
        nextLook = trial.nextLook(now);
        boolean running = trial.isRunning();
        Finding finding = trial.look(now, sum(), null);
        if (!running || finding.verdict() != Verdict.TAKE_BACK || undo == null) {
            return null;
        }
        JsonObject all = new JsonObject();
        all.addProperty("of", name);
        all.addProperty("name", name.substring(0, Math.min(name.length(), MOST_NAME)) + SUFFIX);
        all.add("types", undo);
        all.addProperty("why", finding.figures());
        undo = null;
        return all;
    }
}
