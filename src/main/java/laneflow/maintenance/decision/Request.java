package laneflow.maintenance.decision;

import java.util.List;
import java.util.Set;

/**
 * A request to take racks down once. Times are Unix milliseconds.
 *
 * @param name identifies the request: the same name is the same request
 * @param owner who asked and is responsible for the work
 * @param racks all of them are down for the whole of the window
 * @param workMs duration of the work
 * @param earliestMs earliest start
 * @param latestMs the racks are back by then
 * @param noticeMs how long before its start it has to be announced
 * @param abortMs how far into the work it can still be called off; 0: once begun it has to be finished
 * @param apart labels: two requests that share one are never down at the same time
 * @param after requests that have to be done before this one begins
 * @param freezes periods in which its racks are not down
 */
public record Request(
        String name,
        String owner,
        List<String> racks,
        long workMs,
        long earliestMs,
        long latestMs,
        long noticeMs,
        long abortMs,
        Set<String> apart,
        List<String> after,
        List<Plan.Freeze> freezes) {
    public Request {
        racks = List.copyOf(racks);
        apart = Set.copyOf(apart);
        after = List.copyOf(after);
        freezes = List.copyOf(freezes);
    }

    /** A request without freezes. */
    public Request(
            String name,
            String owner,
            List<String> racks,
            long workMs,
            long earliestMs,
            long latestMs,
            long noticeMs,
            long abortMs,
            Set<String> apart,
            List<String> after) {
        this(name, owner, racks, workMs, earliestMs, latestMs, noticeMs, abortMs, apart, after, List.of());
    }

    /** A copy with the freezes of a calendar that overlap its time. */
    public Request withFreezes(List<Plan.Freeze> calendar) {
        return new Request(
                name,
                owner,
                racks,
                workMs,
                earliestMs,
                latestMs,
                noticeMs,
                abortMs,
                apart,
                after,
                calendar.stream()
                        .filter(freeze -> freeze.overlaps(earliestMs, latestMs))
                        .toList());
    }

    /** The first of its freezes that overlaps this period, or null. */
    Plan.Freeze freezeDuring(long fromMs, long toMs) {
        return freezes.stream()
                .filter(freeze -> freeze.overlaps(fromMs, toMs))
                .findFirst()
                .orElse(null);
    }
}
