package laneflow.control.decision;

import java.util.Locale;

/**
 * Decides whether an adopted version has degraded service. It compares the shares of failed and refused
 * requests before and after adoption: a two-proportion z-test rules out chance, and a bound rules out changes
 * too small to matter.
 *
 * <p>Failures and connect errors are attributed to the version at any load. Refusals are attributed to it
 * only if the load has not grown, because a burst causes more refusals under any configuration. If the counts
 * of a control group are known (schedulers that still run the previous version), the change seen there over
 * the same time is subtracted first, so that a fleet-wide fault is not attributed to the version. No I/O, no
 * clock.
 */
public final class Probation {
    /** Samples with fewer requests are too small for the test. */
    public static final int MIN_REQUESTS = 50;
    /** Standard deviations, one-sided: one false positive in about 700 evaluations. */
    public static final double Z_THRESHOLD = 3.0;
    /** Threshold before the end of a trial; higher, because every repeated evaluation may be a false positive. */
    public static final double EARLY_Z_THRESHOLD = 4.0;
    /** Load growth, as a factor, from which refusals are attributed to the load. */
    private static final double LOAD_GROWTH = 1.2;

    /** Counts of one class over an interval. */
    public record Counts(long requests, long failed, long connectErrors, long refused, double perSecond) {
        double failureShare() {
            return requests == 0 ? 0 : (double) (failed + connectErrors) / requests;
        }

        double refusedShare() {
            return requests == 0 ? 0 : (double) refused / requests;
        }
    }

    /** The decision on a version. */
    public enum Verdict {
        TOO_EARLY,
        KEEP,
        TAKE_BACK
    }

    /** A verdict and the figures behind it, for the NACK. */
    public record Finding(Verdict verdict, String figures) {}

    private Probation() {}

    /**
     * Compares the counts of one class before and after adoption.
     *
     * @param controlBefore the control group's counts; null, like {@code controlAfter}, if they are unknown
     * @param bound the largest acceptable increase of a share, such as 0.02
     */
    public static Finding evaluate(
            Counts before, Counts after, Counts controlBefore, Counts controlAfter, double bound) {
        return evaluate(before, after, controlBefore, controlAfter, bound, Z_THRESHOLD);
    }

    /** As above, with the z-test's threshold in standard deviations. */
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
        double commonFailures = control ? Math.max(0, controlAfter.failureShare() - controlBefore.failureShare()) : 0;
        if (isWorse(
                before.failureShare() + commonFailures,
                before.requests(),
                after.failureShare(),
                after.requests(),
                bound,
                z)) {
            return new Finding(
                    Verdict.TAKE_BACK,
                    describe(
                            "failures and connect errors",
                            before.failureShare(),
                            after.failureShare(),
                            commonFailures,
                            control));
        }
        double commonRefusals = control ? Math.max(0, controlAfter.refusedShare() - controlBefore.refusedShare()) : 0;
        boolean loadGrown = !control && after.perSecond() > LOAD_GROWTH * before.perSecond();
        if (!loadGrown
                && isWorse(
                        before.refusedShare() + commonRefusals,
                        before.requests(),
                        after.refusedShare(),
                        after.requests(),
                        bound,
                        z)) {
            return new Finding(
                    Verdict.TAKE_BACK,
                    describe("refusals", before.refusedShare(), after.refusedShare(), commonRefusals, control));
        }
        return new Finding(
                Verdict.KEEP,
                loadGrown
                        ? "the load grew to "
                                + String.format(Locale.ROOT, "%.1f", after.perSecond() / before.perSecond())
                                + " times: refusals are not blamed on the version"
                        : "");
    }

    private static boolean isWorse(
            double beforeShare, long beforeRequests, double afterShare, long afterRequests, double bound, double z) {
        double increase = afterShare - beforeShare;
        if (increase <= bound) {
            return false;
        }
        double pooled = Math.min(
                1, (beforeShare * beforeRequests + afterShare * afterRequests) / (beforeRequests + afterRequests));
        double deviation = Math.sqrt(pooled * (1 - pooled) * (1.0 / beforeRequests + 1.0 / afterRequests));
        return increase > z * deviation;
    }

    private static String describe(
            String measure, double beforeShare, double afterShare, double common, boolean control) {
        return String.format(
                Locale.ROOT,
                "%s went from %.2f %% to %.2f %%%s",
                measure,
                beforeShare * 100,
                afterShare * 100,
                control
                        ? String.format(Locale.ROOT, ", %.2f points of it at the control group too", common * 100)
                        : "");
    }
}
