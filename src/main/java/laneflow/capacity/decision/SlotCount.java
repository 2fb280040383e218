package laneflow.capacity.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Number of slots of endpoints of one kind: the largest free count in own reports. Before the first own
 * report, the largest count that three sources have reached: a single source cannot make an endpoint look
 * large.
 */
final class SlotCount {
    private static final int REQUIRED_SOURCES = 3;
    private static final int MAX_REPORTED_SOURCES = 32;

    /** The endpoint kind. */
    final int kind;

    private final Map<Integer, Double> reported = new LinkedHashMap<>();
    /** Largest free count in own reports, 0 before the first. */
    private double maxOwn;
    /** Largest free count delivered to the decision module, which takes it for the size. */
    double maxDelivered;
    /** True if own reports include the queue length. */
    boolean reportsQueue;

    SlotCount(int kind) {
        this.kind = kind;
    }

    void addOwnReport(double free, boolean queue) {
        maxOwn = Math.max(maxOwn, free);
        maxDelivered = Math.max(maxDelivered, free);
        reportsQueue |= queue;
    }

    void addPeerReport(int source, double free) {
        if (maxOwn == 0 && (reported.size() < MAX_REPORTED_SOURCES || reported.containsKey(source))) {
            reported.merge(source, free, Math::max);
        }
    }

    /** Returns 0 if the size is not known. */
    double slots() {
        if (maxOwn > 0) {
            return maxOwn;
        }
        return reported.size() < REQUIRED_SOURCES
                ? 0
                : reported.values().stream()
                        .sorted((a, b) -> Double.compare(b, a))
                        .skip(REQUIRED_SOURCES - 1)
                        .findFirst()
                        .orElse(0.0);
    }
}
