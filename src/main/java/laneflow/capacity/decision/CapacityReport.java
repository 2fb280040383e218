package laneflow.capacity.decision;

import java.util.Comparator;

/**
 * What somebody has heard of one endpoint, in {@link Steps}.
 *
 * @param endpoint its number, the same at all schedulers
 * @param bornMs its life: when it last started, Unix milliseconds; 0: long ago
 * @param free slots
 * @param queue jobs that wait there
 * @param calls that the source had out there
 * @param observedAt when the source heard it, on the clock of whoever holds this: ages are told, no instants
 * @param source the scheduler whose call came back with it
 * @param teller the scheduler that passed it on to this one
 */
public record CapacityReport(
        long endpoint, long bornMs, int free, int queue, int calls, long observedAt, int source, int teller) {
    /** The newest of the newest life goes first; the rest of the order only makes it total. */
    private static final Comparator<CapacityReport> ORDER = Comparator.comparingLong(CapacityReport::bornMs)
            .thenComparingLong(CapacityReport::observedAt)
            .thenComparingInt(CapacityReport::source)
            .thenComparingInt(CapacityReport::free)
            .thenComparingInt(CapacityReport::queue)
            .thenComparingInt(CapacityReport::calls)
            .thenComparingInt(CapacityReport::teller);

    public int freeSlots() {
        return Steps.value(free);
    }

    public int queued() {
        return Steps.value(queue);
    }

    /**
     * What two pieces of news of one endpoint come to: the greater in a total order, so the order and the
     * number of merges do not matter. Null is no news.
     */
    public static CapacityReport merge(CapacityReport one, CapacityReport other) {
        if (one == null || other == null) {
            return one == null ? other : one;
        }
        return ORDER.compare(one, other) >= 0 ? one : other;
    }
}
