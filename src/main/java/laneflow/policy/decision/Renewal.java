package laneflow.policy.decision;

import java.util.List;
import java.util.Set;

/**
 * A scheduler's renewal request to the leader. It states the scheduler's whole state rather than what has
 * changed, so that lost, duplicate and late messages do no harm.
 *
 * @param grantTerm the term of the latest grant applied, -1 before the first
 * @param grantSeq the number of that grant; no earlier grant is in effect any more
 * @param activePolicy the policy started last, -1 before the first
 * @param ready the policies that were read and validated and can be used
 * @param refused the change that this scheduler rejects, or 0
 * @param reasons why it rejects it
 * @param roundTrip duration of the last exchange with the leader, in microseconds
 */
public record Renewal(
        int grantTerm,
        long grantSeq,
        long activePolicy,
        Set<Long> ready,
        long refused,
        List<String> reasons,
        long roundTrip) {}
