package laneflow.control.decision;

import java.util.Locale;

/**
 * Whether an adopted version has made service worse. Compared are the shares of requests that ended badly
 * before and after, with a two-proportion z-test to tell a change from chance, and a bound to tell one that
 * matters.
 *
 * <p>Two things are kept apart. Failures and connect errors are blamed on the version whatever the load.
 * Refusals are blamed only while the load has not grown: a burst refuses more under any configuration. Where
 * a control group's figures are known (schedulers that run the version before), its change in the same time
 * is taken off first, so that what happens to all is blamed on nobody. No I/O, no clock.
 */
public final class Probation {
    /** Fewer requests than that on either side tell nothing. */
    public static final int MIN_REQUESTS = 50;
    /** One-sided, a false alarm in about 700 looks. */
    public static final double Z = 3.0;
    /** Looks before the end are many, and each may be wrong by chance. */
    public static final double EARLY_Z = 4.0;
    /** A load so many times the one before explains refusals. */
    private static final double GROWN = 1.2;

    /** Counts of one class over a time. */
    public record Counts(long requests, long failed, long connectErrors, long refused, double perSecond) {
        double bad() {
            return requests == 0 ? 0 : (double) (failed + connectErrors) / requests;
        }

        double refusedShare() {
            return requests == 0 ? 0 : (double) refused / requests;
        }
    }

    /** What is to be done. */
    public enum Verdict {
        TOO_EARLY,
        KEEP,
        TAKE_BACK
    }

    /** A verdict, and its figures for the NACK. */
    public record Finding(Verdict verdict, String figures) {}

    private Probation() {}

    /**
     * Judges one class.
     *
     * @param controlBefore of the control group, or null with {@code controlAfter}
     * @param bound the growth of a share that is too much, such as 0.02
     */
    public static Finding evaluate(
            Counts before, Counts after, Counts controlBefore, Counts controlAfter, double bound) {
        return evaluate(before, after, controlBefore, controlAfter, bound, Z);
    }

    /** The same, with so many standard deviations between chance and blame. */
    public static Finding evaluate(
            Counts before, Counts after, Counts controlBefore, Counts controlAfter, double bound, double z) {
        if (before.requests() < MIN_REQUESTS || after.requests() < MIN_REQUESTS) {
            return new Finding(
                    Verdict.TOO_EARLY, after.requests() + " requests since, " + before.requests() + " before");
        }
        boolean control = controlBefore != null
                && controlAfter != null
                && controlBefore.requests() >= MIN_REQUESTS
                && controlAfter.requests() >= MIN_REQUESTS;
        double common = control ? Math.max(0, controlAfter.bad() - controlBefore.bad()) : 0;
        if (worse(before.bad() + common, before.requests(), after.bad(), after.requests(), bound, z)) {
            return new Finding(
                    Verdict.TAKE_BACK,
                    figures("failures and connect errors", before.bad(), after.bad(), common, control));
        }
        double shed = control ? Math.max(0, controlAfter.refusedShare() - controlBefore.refusedShare()) : 0;
        boolean grown = !control && after.perSecond() > GROWN * before.perSecond();
        if (!grown
                && worse(
                        before.refusedShare() + shed,
                        before.requests(),
                        after.refusedShare(),
                        after.requests(),
                        bound,
                        z)) {
            return new Finding(
                    Verdict.TAKE_BACK, figures("refusals", before.refusedShare(), after.refusedShare(), shed, control));
        }
        return new Finding(
                Verdict.KEEP,
                grown
                        ? "the load grew to "
                                + String.format(Locale.ROOT, "%.1f", after.perSecond() / before.perSecond())
                                + " times: refusals are not blamed on the version"
                        : "");
    }

    private static boolean worse(double was, long wasOf, double is, long isOf, double bound, double z) {
        double grown = is - was;
        if (grown <= bound) {
            return false;
        }
        double pooled = Math.min(1, (was * wasOf + is * isOf) / (wasOf + isOf));
        double deviation = Math.sqrt(pooled * (1 - pooled) * (1.0 / wasOf + 1.0 / isOf));
        return grown > z * deviation;
    }

    private static String figures(String what, double was, double is, double common, boolean control) {
        return String.format(
                Locale.ROOT,
                "%s went from %.2f %% to %.2f %%%s",
                what,
                was * 100,
                is * 100,
                control
                        ? String.format(Locale.ROOT, ", %.2f points of it at the control group too", common * 100)
                        : "");
    }
}
