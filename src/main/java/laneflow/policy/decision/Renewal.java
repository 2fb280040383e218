package laneflow.policy.decision;

import java.util.List;
import java.util.Set;

/**
 * A scheduler's word to the leader. It says what is, not what has changed, so that one that is lost, comes
 * twice or late does no harm.
 *
 * @param heardTerm the term of the latest grant that it obeys, -1 before the first
 * @param heardSeq that grant's number: whatever was granted before no longer holds here
 * @param begun the policy that it has begun to decide by, -1 where it has none
 * @param ready the policies that it has read, found sound, and can decide by
 * @param refused the change that it turns down, or 0
 * @param reasons why it does
 * @param roundTrip microseconds that its last exchange with the leader took
 */
public record Renewal(
        int grantTerm,
        long grantSeq,
        long activePolicy,
        Set<Long> ready,
        long refused,
        List<String> reasons,
        long roundTrip) {}
