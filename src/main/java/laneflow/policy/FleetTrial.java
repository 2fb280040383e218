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
    private static final String ROLLBACK_SUFFIX = ".taken-back";
    private static final int MAX_NAME_PREFIX = 64 - ROLLBACK_SUFFIX.length();

    private final List<String> classes;
    private final long trialMicros;
    private final double maxWorsening;
    private final Map<String, long[][]> counts = new HashMap<>();
    private Trial trial;
    private long nextCheckAt;
    private String changeName = "";
    private JsonObject rollback;

    /** @param length microseconds; 0: there are no trials */
    FleetTrial(List<String> classes, long trialMicros, double maxWorsening) {
        this.classes = classes;
        this.trialMicros = trialMicros;
        this.maxWorsening = maxWorsening;
    }

    /** True where changes are on trial at all. */
    boolean isEnabled() {
        return trialMicros > 0;
    }

    /** A leader begins: figures are counted from here. */
    void start(long now) {
        counts.clear();
        rollback = null;
        trial = trialMicros == 0
                ? null
                : new Trial(classes.toArray(new String[0]), trialMicros, maxWorsening, now, totals());
    }

    /** A scheduler's counts since its start. */
    void onTallies(String processId, JsonArray rows) {
        if (trial == null || rows.size() != classes.size()) {
            return;
        }
        long[][] tallies = new long[rows.size()][4];
        for (int i = 0; i < tallies.length; i++) {
            for (int k = 0; k < tallies[i].length; k++) {
                tallies[i][k] = rows.get(i).getAsJsonArray().get(k).getAsLong();
            }
        }
        counts.put(processId, tallies);
    }

    private long[][] totals() {
        long[][] totals = new long[classes.size()][4];
        counts.values().forEach(one -> {
            for (int i = 0; i < totals.length; i++) {
                for (int k = 0; k < totals[i].length; k++) {
                    totals[i][k] += one[i][k];
                }
            }
        });
        return totals;
    }

    /** A change has been applied, after these; one that takes back is not on trial itself. */
    void onApplied(long now, View before, View after) {
        String appliedName = before.open() == null ? "" : before.open().name();
        if (trial == null || appliedName.isEmpty() || appliedName.endsWith(ROLLBACK_SUFFIX)) {
            rollback = null;
            return;
        }
        changeName = appliedName;
        rollback = new JsonObject();
        for (String type : before.open().types().keySet()) {
            rollback.add(type, before.merged().has(type) ? before.merged().get(type) : new JsonArray());
        }
        trial.adopted(now, totals(), null);
    }

    /** What is to be proposed because service is worse: {@code name}, {@code types}, {@code why}; or null. */
    JsonObject check(long now) {
        if (trial == null || now < nextCheckAt) {
            return null;
        }
        nextCheckAt = trial.nextLook(now);
        boolean running = trial.isRunning();
        Finding finding = trial.look(now, totals(), null);
        if (!running || finding.verdict() != Verdict.TAKE_BACK || rollback == null) {
            return null;
        }
        JsonObject proposal = new JsonObject();
        proposal.addProperty("of", changeName);
        proposal.addProperty(
                "name", changeName.substring(0, Math.min(changeName.length(), MAX_NAME_PREFIX)) + ROLLBACK_SUFFIX);
        proposal.add("types", rollback);
        proposal.addProperty("why", finding.figures());
        rollback = null;
        return proposal;
    }
}
