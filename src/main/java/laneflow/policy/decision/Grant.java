package laneflow.policy.decision;

/**
 * The leader's grant to one scheduler: by which policy it may decide, and when. Instants are microseconds of
 * the clock of that term's leader and can't be compared with those of another term.
 *
 * @param term the leader's term
 * @param seq counts this leader's grants to this scheduler; a late one with a lower number is ignored
 * @param leaderNow the leader's clock when it issued the grant
 * @param number the policy granted
 * @param from start of validity; 0 means at once
 * @param until end of validity, exclusive; 0 means that no decisions are allowed
 * @param open the number of the change to make ready, or 0
 */
public record Grant(int term, long seq, long leaderNow, long number, long from, long until, long open) {}
