package laneflow.task.decision;

import java.util.SortedMap;

/**
 * The leader's grant to one process: the tasks that it holds, with their tokens, and the end of its lease.
 * Instants are microseconds of the clock of that term's leader.
 *
 * @param term the leader's term
 * @param seq counts this leader's grants to this process
 * @param leaderNow the leader's clock when it wrote this
 * @param expiresAt from then on it may act on no task; 0: it has no lease
 * @param version of what it holds, in that term
 * @param holds the tasks that it holds, with their tokens; null: as last sent for that version
 * @param candidacyMissing the leader does not know its candidacy
 */
public record TaskGrant(
        int term,
        long seq,
        long leaderNow,
        long expiresAt,
        long version,
        SortedMap<String, Long> holds,
        boolean candidacyMissing) {}
