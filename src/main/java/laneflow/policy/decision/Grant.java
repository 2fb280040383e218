package laneflow.policy.decision;

/**
 * The leader's word to one scheduler: by which policy it may decide, and within which time. Instants are
 * microseconds of the clock of that term's leader, and mean nothing beside another term's.
 *
 * @param term the leader's term
 * @param seq counts this leader's grants to this scheduler; a lower one that comes late is passed over
 * @param leaderNow the leader's clock when it wrote this
 * @param number the policy that it may decide by
 * @param from not before then; 0: at once
 * @param until and not from then on; 0: not at all
 * @param open the number of the change that is to be made ready, or 0
 */
public record Grant(int term, long seq, long leaderNow, long number, long from, long until, long open) {}
