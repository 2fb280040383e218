package laneflow.task.decision;

import java.util.SortedMap;

/**
 * The leader's word to one process: which tasks it holds by which tokens, and until when it may act on them.
 * Instants are microseconds of the clock of that term's leader.
 *
 * @param term the leader's term
 * @param seq counts this leader's words to this process
 * @param leaderNow the leader's clock when it wrote this
 * @param until it acts on nothing from then on; 0: on nothing at all
 * @param version of what it holds, in that term
 * @param holds the tasks that it holds, with their tokens; null: as that version was told before
 * @param wantsMissing the leader has not heard what it wants
 */
public record TaskGrant(
        int term,
        long seq,
        long leaderNow,
        long until,
        long version,
        SortedMap<String, Long> holds,
        boolean wantsMissing) {}
