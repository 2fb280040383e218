package laneflow.maintenance.decision;

import java.util.List;
import java.util.Set;

/**
 * That racks are to go down once, as its owner asked for it. Instants are Unix milliseconds.
 *
 * @param name the same name is the same request
 * @param owner who asked, and answers for the work
 * @param racks all of them are down at once, for the whole of the window
 * @param workMs how long the work takes
 * @param earliestMs not before
 * @param latestMs the racks are back by then
 * @param noticeMs how long before its beginning it has to be announced
 * @param abortMs how far into the work it can still be called off; 0: once begun it has to be finished
 * @param apart labels: two requests that share one are never down at once
 * @param after requests that have to be done before this one begins
 * @param freezes in which nothing of it is down
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

    /** One that nothing freezes. */
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

    /** The same with those of a calendar's freezes that touch its time. */
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
                calendar.stream().filter(one -> one.meets(earliestMs, latestMs)).toList());
    }

    /** The first of its freezes that touches these instants, or null. */
    Plan.Freeze freeze(long fromMs, long toMs) {
        return freezes.stream()
                .filter(one -> one.meets(fromMs, toMs))
                .findFirst()
                .orElse(null);
    }
}
