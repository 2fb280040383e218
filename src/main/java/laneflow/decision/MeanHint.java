package laneflow.decision;

/** Mean hint of this dispatcher's requests, in seconds on a standard core; also used for other dispatchers' jobs. */
final class MeanHint {
    /** Weight of a new request in the mean. */
    private static final double GAIN = 0.02;
    /** A mean over this many hints may be twice the true mean. */
    private static final double PRIOR_COUNT = 1;

    private double mean;
    private long count;

    /** The mean, or 0 before the first hint. */
    double mean() {
        return mean;
    }

    /** A conservative low estimate of the mean while few hints were seen. */
    double lowerEstimate() {
        return mean * count / (count + PRIOR_COUNT);
    }

    /** The mean starts at the first hint: an assumed initial value would keep cold workers idle. */
    void add(double hint) {
        mean += Math.max(1.0 / ++count, GAIN) * (hint - mean);
    }
}
