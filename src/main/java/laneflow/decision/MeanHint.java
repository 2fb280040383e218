package laneflow.decision;

/** The mean cost hint of the requests seen here, seconds of a standard core: a guess for the siblings' jobs. */
final class MeanHint {
    /** Say of a new request in the mean. */
    private static final double GAIN = 0.02;
    /** A mean of so many hints may be twice the true one. */
    private static final double UNSURE = 1;

    private double mean;
    private long count;

    /** 0 before the first. */
    double mean() {
        return mean;
    }

    /** The least that the mean may be, while few hints were seen. */
    double cautious() {
        return mean * count / (count + UNSURE);
    }

    /** It begins with the first one: any guess in its place keeps cold workers idle. */
    void add(double hint) {
        mean += Math.max(1.0 / ++count, GAIN) * (hint - mean);
    }
}
