package laneflow.control.decision;

import java.util.Locale;
import laneflow.control.decision.Probation.Counts;
import laneflow.control.decision.Probation.Finding;
import laneflow.control.decision.Probation.Verdict;

/**
 * The trial of adopted versions: compares service since adoption with a baseline from just before, for each
 * class and for all classes together, less the change seen at the control group. A version adopted during a
 * trial joins it and shares its baseline, so that damage done by the first version does not become the
 * baseline of the second. The trial ends one trial length after the last adoption, but no later than four
 * lengths after the first.
 *
 * <p>Counts are cumulative, with one row per class: requests, failures, connect errors, refusals. Rows are
 * copied, so the caller may change them after a call. Instants are microseconds. No I/O, no clock of its own.
 */
public final class Trial {
    private static final int EVALUATIONS_PER_LENGTH = 10;
    private static final int MAX_LENGTHS = 4;

    private final String[] classes;
    private final long length;
    private final double bound;
    /** Start of the rolling baseline: one to two trial lengths ago while no trial runs. */
    private Snapshot rollingBaseline;

    private Snapshot nextRollingBaseline;
    /** Baseline of the trial; the former one stays while the rolling one is too short, as after a rollback. */
    private Snapshot baselineFrom;

    private Snapshot baselineTo;
    private Snapshot trialStart;
    private long endsAt;

    /** This scheduler's counts and the control group's, which may be null, at an instant. */
    private record Snapshot(long at, long[][] own, long[][] group) {}

    /**
     * Creates a tracker with no trial running.
     *
     * @param length of a trial, in microseconds
     * @param bound the largest acceptable increase of the share of failed or refused requests, such as 0.02
     */
    public Trial(String[] classes, long length, double bound, long now, long[][] own) {
        this.classes = classes.clone();
        this.length = length;
        this.bound = bound;
        rollingBaseline = new Snapshot(now, copy(own), null);
        nextRollingBaseline = rollingBaseline;
    }

    public boolean isRunning() {
        return trialStart != null;
    }

    /** Puts a version that replaced another one on trial, or adds it to the running trial. */
    public void versionAdopted(long now, long[][] own, long[][] group) {
        if (trialStart == null) {
            trialStart = new Snapshot(now, copy(own), copy(group));
            if (baselineTo == null || now - rollingBaseline.at >= length) {
                baselineFrom = rollingBaseline;
                baselineTo = trialStart;
            }
        }
        endsAt = Math.min(now + length, trialStart.at + MAX_LENGTHS * length);
    }

    /** Returns when to call {@link #evaluate} next, whether or not a trial runs. */
    public long nextEvaluation(long now) {
        return now + Math.max(1, length / EVALUATIONS_PER_LENGTH);
    }

    /** Evaluates the running trial, which may end it; without one, advances the rolling baseline. */
    public Finding evaluate(long now, long[][] own, long[][] group) {
        if (trialStart == null) {
            advanceBaseline(now, own, group);
            return new Finding(Verdict.KEEP, "");
        }
        boolean last = now >= endsAt;
        Snapshot current = new Snapshot(now, own, group);
        Finding overall = new Finding(Verdict.TOO_EARLY, "");
        for (int i = classes.length - 1; i >= -1; i--) {
            Finding found = Probation.evaluate(
                    counts(baselineFrom, baselineTo, i, false),
                    counts(trialStart, current, i, false),
                    counts(baselineFrom, baselineTo, i, true),
                    counts(trialStart, current, i, true),
                    bound,
                    last ? Probation.Z_THRESHOLD : Probation.EARLY_Z_THRESHOLD);
            if (found.verdict() == Verdict.TAKE_BACK) {
                long startedAt = trialStart.at;
                trialStart = null;
                // The degraded interval is no baseline: the former one stays in use until a new one is long enough.
                rollingBaseline = new Snapshot(now, copy(own), copy(group));
                nextRollingBaseline = rollingBaseline;
                return new Finding(
                        Verdict.TAKE_BACK,
                        (i < 0 ? "" : classes[i] + ": ")
                                + found.figures()
                                + String.format(
                                        Locale.ROOT,
                                        ", %.1f s after the first that is on trial",
                                        (now - startedAt) / 1e6));
            }
            overall = i < 0 ? found : overall;
        }
        if (last) {
            // Without enough requests for a verdict the version is kept.
            rollingBaseline = trialStart;
            nextRollingBaseline = new Snapshot(now, copy(own), copy(group));
            trialStart = null;
            return new Finding(Verdict.KEEP, overall.figures());
        }
        return new Finding(Verdict.TOO_EARLY, overall.figures());
    }

    private void advanceBaseline(long now, long[][] own, long[][] group) {
        if (now - nextRollingBaseline.at >= length) {
            rollingBaseline = nextRollingBaseline;
            nextRollingBaseline = new Snapshot(now, copy(own), copy(group));
        } else if (nextRollingBaseline.group == null && group != null) {
            // The control group's first counts came after the snapshot was taken: they complete it.
            nextRollingBaseline = new Snapshot(nextRollingBaseline.at, nextRollingBaseline.own, copy(group));
            rollingBaseline = rollingBaseline.group == null
                    ? new Snapshot(rollingBaseline.at, rollingBaseline.own, nextRollingBaseline.group)
                    : rollingBaseline;
        }
    }

    /** Counts between two snapshots for a class, or for all if it is -1; null if the group's are unknown. */
    private static Counts counts(Snapshot from, Snapshot to, int jobClass, boolean group) {
        long[][] earlier = group ? from.group : from.own;
        long[][] later = group ? to.group : to.own;
        if (earlier == null || later == null) {
            return null;
        }
        long[] sum = new long[4];
        for (int i = 0; i < later.length; i++) {
            for (int k = 0; k < sum.length && (jobClass < 0 || jobClass == i); k++) {
                sum[k] += Math.max(0, later[i][k] - earlier[i][k]);
            }
        }
        double seconds = Math.max(1e-3, (to.at - from.at) / 1e6);
        return new Counts(sum[0], sum[1], sum[2], sum[3], sum[0] / seconds);
    }

    private static long[][] copy(long[][] rows) {
        if (rows == null) {
            return null;
        }
        long[][] copy = new long[rows.length][];
        for (int i = 0; i < rows.length; i++) {
            copy[i] = rows[i].clone();
        }
        return copy;
    }
}
