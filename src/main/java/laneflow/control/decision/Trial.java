package laneflow.control.decision;

import java.util.Locale;
import laneflow.control.decision.Probation.Counts;
import laneflow.control.decision.Probation.Finding;
import laneflow.control.decision.Probation.Verdict;

/**
 * The trial of what has been adopted: service since then against service just before, class by class and all
 * together, with the change at the control group taken off. Versions adopted while a trial runs join it, with
 * the same time before it to compare with: a second version must not make the first one's damage the usual
 * state. The trial then ends a whole length behind the last of them, but no later than four lengths behind
 * the first.
 *
 * <p>Counts are cumulative, one row a class: taken, failed, connects failed, refused. The caller's rows may
 * change behind a call: they are copied. Instants are microseconds. No I/O, no clock of its own.
 */
public final class Trial {
    private static final int LOOKS = 10;
    private static final int MOST_LENGTHS = 4;

    private final String[] classes;
    private final long length;
    private final double bound;
    /** The usual state is counted from there: between one and two lengths ago while no trial runs. */
    private Snapshot calmFrom;

    private Snapshot calmNext;
    /** What is compared with where that time is too short yet, as behind a version that was taken back. */
    private Snapshot usualFrom;

    private Snapshot usualTo;
    private Snapshot begun;
    private long ends;

    /** Own counts and the control group's, which may be null, at an instant. */
    private record Snapshot(long at, long[][] own, long[][] group) {}

    /**
     * None runs yet.
     *
     * @param length microseconds
     * @param bound the growth of a share of requests that ends badly which is too much, such as 0.02
     */
    public Trial(String[] classes, long length, double bound, long now, long[][] own) {
        this.classes = classes.clone();
        this.length = length;
        this.bound = bound;
        calmFrom = new Snapshot(now, copy(own), null);
        calmNext = calmFrom;
    }

    public boolean isRunning() {
        return begun != null;
    }

    /** A version was adopted, after another had run: it is on trial from here on. */
    public void versionAdopted(long now, long[][] own, long[][] group) {
        if (begun == null) {
            begun = new Snapshot(now, copy(own), copy(group));
            if (usualTo == null || now - calmFrom.at >= length) {
                usualFrom = calmFrom;
                usualTo = begun;
            }
        }
        ends = Math.min(now + length, begun.at + MOST_LENGTHS * length);
    }

    /** When to look next, running or not. */
    public long nextEvaluation(long now) {
        return now + Math.max(1, length / LOOKS);
    }

    /** Looks: while none runs the time to compare with moves along, else it may end in a verdict. */
    public Finding evaluate(long now, long[][] own, long[][] group) {
        if (begun == null) {
            roll(now, own, group);
            return new Finding(Verdict.KEEP, "");
        }
        boolean last = now >= ends;
        Snapshot is = new Snapshot(now, own, group);
        Finding all = new Finding(Verdict.TOO_EARLY, "");
        for (int i = classes.length - 1; i >= -1; i--) {
            Finding found = Probation.evaluate(
                    counts(usualFrom, usualTo, i, false),
                    counts(begun, is, i, false),
                    counts(usualFrom, usualTo, i, true),
                    counts(begun, is, i, true),
                    bound,
                    last ? Probation.Z : Probation.EARLY_Z);
            if (found.verdict() == Verdict.TAKE_BACK) {
                long began = begun.at;
                begun = null;
                // What broke is nobody's usual state: until there is a new one, the former is.
                calmFrom = new Snapshot(now, copy(own), copy(group));
                calmNext = calmFrom;
                return new Finding(
                        Verdict.TAKE_BACK,
                        (i < 0 ? "" : classes[i] + ": ")
                                + found.figures()
                                + String.format(
                                        Locale.ROOT, ", %.1f s after the first that is on trial", (now - began) / 1e6));
            }
            all = i < 0 ? found : all;
        }
        if (last) {
            // With too few requests to tell it is kept: nothing speaks against it.
            calmFrom = begun;
            calmNext = new Snapshot(now, copy(own), copy(group));
            begun = null;
            return new Finding(Verdict.KEEP, all.figures());
        }
        return new Finding(Verdict.TOO_EARLY, all.figures());
    }

    private void roll(long now, long[][] own, long[][] group) {
        if (now - calmNext.at >= length) {
            calmFrom = calmNext;
            calmNext = new Snapshot(now, copy(own), copy(group));
        } else if (calmNext.group == null && group != null) {
            // The group spoke late: from here on there is something to compare with.
            calmNext = new Snapshot(calmNext.at, calmNext.own, copy(group));
            calmFrom = calmFrom.group == null ? new Snapshot(calmFrom.at, calmFrom.own, calmNext.group) : calmFrom;
        }
    }

    /** What happened between two snapshots in one class, or in all where that is -1; null without a group. */
    private static Counts counts(Snapshot from, Snapshot to, int jobClass, boolean group) {
        long[][] was = group ? from.group : from.own;
        long[][] is = group ? to.group : to.own;
        if (was == null || is == null) {
            return null;
        }
        long[] sum = new long[4];
        for (int i = 0; i < is.length; i++) {
            for (int k = 0; k < sum.length && (jobClass < 0 || jobClass == i); k++) {
                sum[k] += Math.max(0, is[i][k] - was[i][k]);
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
