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
 * Puts each applied change on trial: watches the service quality of the whole fleet after it, with the same
 * trial that single schedulers use for new versions. The counts are summed over all schedulers, including
 * those that have left. A change that makes service worse is rolled back by another change, which is proposed
 * and decided like any other. A new leader has no figures from before its election, so a change on trial at
 * that time is kept.
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

    /** @param trialMicros length of a trial; 0 disables trials */
    FleetTrial(List<String> classes, long trialMicros, double maxWorsening) {
        this.classes = classes;
        this.trialMicros = trialMicros;
        this.maxWorsening = maxWorsening;
    }

    /** True if trials are enabled. */
    boolean isEnabled() {
        return trialMicros > 0;
    }

    /** Called when this process becomes leader: counting starts at this point. */
    void start(long now) {
        counts.clear();
        rollback = null;
        trial = trialMicros == 0
                ? null
                : new Trial(classes.toArray(new String[0]), trialMicros, maxWorsening, now, totals());
    }

    /** Records a scheduler's counts since its start. */
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
        counts.values().forEach(tallies -> {
            for (int i = 0; i < totals.length; i++) {
                for (int k = 0; k < totals[i].length; k++) {
                    totals[i][k] += tallies[i][k];
                }
            }
        });
        return totals;
    }

    /**
     * Starts a trial of the change that was applied between these states. Rollbacks are not on trial
     * themselves.
     */
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
        trial.versionAdopted(now, totals(), null);
    }

    /**
     * The rollback to propose because service has become worse, or null. Its fields: {@code of}, {@code
     * name}, {@code types}, {@code why}.
     */
    JsonObject check(long now) {
        if (trial == null || now < nextCheckAt) {
            return null;
        }
        nextCheckAt = trial.nextEvaluation(now);
        boolean running = trial.isRunning();
        Finding finding = trial.evaluate(now, totals(), null);
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
