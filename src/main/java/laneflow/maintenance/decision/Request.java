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
 */
public record Request(String name, String owner, List<String> racks, long workMs, long earliestMs,
        long latestMs, long noticeMs, long abortMs, Set<String> apart, List<String> after) {
    public Request {
        racks = List.copyOf(racks);
        apart = Set.copyOf(apart);
        after = List.copyOf(after);
    }
}
