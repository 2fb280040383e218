package laneflow.capacity.decision;

import java.util.Comparator;

/**
 * Load of one endpoint as reported to a scheduler; counts are steps of {@link Quantizer}.
 *
 * @param endpoint its number, the same at all schedulers
 * @param bornMs start time of the endpoint in Unix milliseconds; 0: long ago
 * @param free free slots
 * @param queue requests queued at the endpoint
 * @param attempts other attempts that the source had outstanding there
 * @param observedAt when the source received it, on the local clock: messages carry ages, not times
 * @param source the scheduler whose attempt returned the report
 * @param sender the scheduler that passed it on to this one
 */
public record CapacityReport(
        long endpoint, long bornMs, int free, int queue, int attempts, long observedAt, int source, int sender) {
    /** Orders by restart, then by time; the other fields only make the order total. */
    private static final Comparator<CapacityReport> ORDER = Comparator.comparingLong(CapacityReport::bornMs)
            .thenComparingLong(CapacityReport::observedAt)
            .thenComparingInt(CapacityReport::source)
            .thenComparingInt(CapacityReport::free)
            .thenComparingInt(CapacityReport::queue)
            .thenComparingInt(CapacityReport::attempts)
            .thenComparingInt(CapacityReport::sender);

    public int freeSlots() {
        return Quantizer.value(free);
    }

    public int queued() {
        return Quantizer.value(queue);
    }

    /**
     * Returns the greater of two reports of one endpoint. The order is total, so merging is commutative,
     * associative and idempotent. Null stands for no report.
     */
    public static CapacityReport merge(CapacityReport one, CapacityReport other) {
        if (one == null || other == null) {
            return one == null ? other : one;
        }
        return ORDER.compare(one, other) >= 0 ? one : other;
    }
}
