package laneflow.policy.decision;

/**
 * A scheduler's leave to decide as it stands: a {@link Lease} at one moment, which never changes and so may
 * be read on any thread. What it says of an instant holds for as long as no later one has been published.
 *
 * @param number the policy that it has begun to decide by, -1 before the first
 * @param stop when the leave for that ends; in the past where there is none
 * @param next the policy that it begins with next, or -1
 * @param nextStart when it begins with that
 * @param nextStop when the leave for that ends
 * @param fence microseconds between the end of the policy before and the beginning of this one
 */
public record LeaseSnapshot(long current, long end, long next, long nextStart, long nextEnd, long fence) {
    /** None at all. */
    public static final LeaseSnapshot NONE = new LeaseSnapshot(-1, Long.MIN_VALUE, -1, 0, 0, 0);

    /** The policy by which it may decide at this instant, or -1: it may not decide. */
    public long policyAt(long now) {
        if (hasNextStarted(now)) {
            return now < nextEnd ? next : -1;
        }
        return now < end ? current : -1;
    }

    /** How long it decided by neither policy when it began with the one of this instant. */
    public long fence(long now) {
        if (!hasNextStarted(now)) {
            return fence;
        }
        return end == Long.MIN_VALUE ? 0 : Math.max(0, nextStart - end);
    }

    private boolean hasNextStarted(long now) {
        return next >= 0 && now >= nextStart;
    }
}
