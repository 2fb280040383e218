package laneflow.capacity.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Reliability of each source, from comparing its reports with own reports of the same endpoints. An honest
 * source errs in both directions, since endpoints fill and empty meanwhile; one that sends false reports, or
 * older ones than it says, errs in one direction or more than the others do. A source gains full reliability
 * only after some comparisons, and no peer report outweighs a newer own report.
 */
final class SourceReliability {
    /** Number of sources tracked; the least recently used are evicted first. */
    private static final int MAX_TRACKED = 1024;

    private static final double GAIN = 0.1;
    private static final double OVERALL_GAIN = 0.01;
    /** Reliability of a source that was never compared. */
    private static final double INITIAL_RELIABILITY = 0.5;

    private static final int FULL_CONFIDENCE_COMPARISONS = 10;
    /**
     * Error beyond the overall mean, as a fraction of the endpoint's slots, at which reliability begins to
     * fall.
     */
    private static final double TOLERATED_ERROR = 0.25;

    private static final double FALLOFF_ERROR = 0.2;
    /** A sender is charged for a wrong report of another source at a lower rate: it may have received it so. */
    private static final double SENDER_GAIN_FACTOR = 0.2;

    private static final class ErrorRecord {
        private double bias;
        private double error;
        private int comparisons;
    }

    private final Map<Integer, ErrorRecord> records = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, ErrorRecord> eldest) {
            return size() > MAX_TRACKED;
        }
    };
    private double bias;
    private double error = 0.3;

    /**
     * Records the deviation of a report as a fraction of the endpoint's slots, positive if it overstated the
     * load.
     */
    void addComparison(int source, int sender, double deviation) {
        double bounded = Math.max(-1, Math.min(1, deviation));
        // Clamped more tightly, so that a few sources with large errors do not shift the mean against the
        // others.
        bias += OVERALL_GAIN * (Math.max(-TOLERATED_ERROR, Math.min(TOLERATED_ERROR, bounded)) - bias);
        error += OVERALL_GAIN * (Math.abs(bounded) - error);
        update(source, bounded, GAIN);
        if (sender != source) {
            update(sender, bounded, GAIN * SENDER_GAIN_FACTOR);
        }
    }

    private void update(int scheduler, double deviation, double gain) {
        ErrorRecord record = records.computeIfAbsent(scheduler, key -> new ErrorRecord());
        if (record.comparisons++ == 0) {
            record.bias = bias;
            record.error = error;
        }
        record.bias += gain * (deviation - record.bias);
        record.error += gain * (Math.abs(deviation) - record.error);
    }

    /** Returns the reliability of a report from that source and sender, 0 to 1. */
    double reliability(int source, int sender) {
        double own = reliability(source);
        return sender == source ? own : Math.min(own, reliability(sender));
    }

    private double reliability(int scheduler) {
        ErrorRecord record = records.get(scheduler);
        if (record == null) {
            return INITIAL_RELIABILITY;
        }
        double excess = Math.max(Math.abs(record.bias - bias), record.error - error);
        double accuracy = Math.max(0, Math.min(1, 1 - (excess - TOLERATED_ERROR) / FALLOFF_ERROR));
        double confidence = Math.min(1, record.comparisons / (double) FULL_CONFIDENCE_COMPARISONS);
        return accuracy * (INITIAL_RELIABILITY + (1 - INITIAL_RELIABILITY) * confidence);
    }
}
