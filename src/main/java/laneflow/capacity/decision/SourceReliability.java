package laneflow.capacity.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What the news of each source has been worth beside this scheduler's own reports of the same endpoints. An
 * honest source errs both ways, since endpoints fill and empty meanwhile; one that lies, or whose news is
 * older than it says, errs one way or more than all others do. Nobody is believed before some comparisons
 * as much as behind them, and nobody's word beside one's own report.
 */
final class SourceReliability {
    /** So many sources are remembered, the least recently heard of go first. */
    private static final int MOST = 1024;

    private static final double GAIN = 0.1;
    private static final double COMMON_GAIN = 0.01;
    /** The credit of a source that was never compared. */
    private static final double FIRST = 0.5;

    private static final int ENOUGH = 10;
    /** Mean error beyond that of all, in parts of an endpoint's slots, at which credit begins to fall. */
    private static final double BORNE = 0.25;

    private static final double UNTIL_NONE = 0.2;
    /** Whoever passes on what is wrong is blamed too, but less: it may have been told. */
    private static final double TELLER_PART = 0.2;

    private static final class Record {
        private double bias;
        private double error;
        private int compared;
    }

    private final Map<Integer, Record> records = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Record> eldest) {
            return size() > MOST;
        }
    };
    private double bias;
    private double error = 0.3;

    /** News of that source was off by so much, in parts of the endpoint's slots, above nought if too full. */
    void compared(int source, int teller, double off) {
        double bounded = Math.max(-1, Math.min(1, off));
        // Bounded the more, so that some who lie much do not make liars of the others.
        bias += COMMON_GAIN * (Math.max(-BORNE, Math.min(BORNE, bounded)) - bias);
        error += COMMON_GAIN * (Math.abs(bounded) - error);
        note(source, bounded, GAIN);
        if (teller != source) {
            note(teller, bounded, GAIN * TELLER_PART);
        }
    }

    private void note(int who, double off, double gain) {
        Record record = records.computeIfAbsent(who, key -> new Record());
        if (record.compared++ == 0) {
            record.bias = bias;
            record.error = error;
        }
        record.bias += gain * (off - record.bias);
        record.error += gain * (Math.abs(off) - record.error);
    }

    /** 0 to 1. */
    double credit(int source, int teller) {
        double own = credit(source);
        return teller == source ? own : Math.min(own, credit(teller));
    }

    private double credit(int who) {
        Record record = records.get(who);
        if (record == null) {
            return FIRST;
        }
        double worse = Math.max(Math.abs(record.bias - bias), record.error - error);
        double kept = Math.max(0, Math.min(1, 1 - (worse - BORNE) / UNTIL_NONE));
        double known = Math.min(1, record.compared / (double) ENOUGH);
        return kept * (FIRST + (1 - FIRST) * known);
    }
}
