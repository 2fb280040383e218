package laneflow.policy.decision;

/**
 * An immutable copy of a {@link Lease}, which any thread may read. It is valid for all instants until a later
 * one is published.
 *
 * @param current the policy started last, -1 before the first
 * @param end when the lease for it ends; in the past if there is none
 * @param next the policy to switch to, or -1
 * @param nextStart when that policy starts
 * @param nextEnd when the lease for it ends
 * @param fence microseconds between the end of the previous policy and the start of the current one
 */
public record LeaseSnapshot(long current, long end, long next, long nextStart, long nextEnd, long fence) {
    /** No lease. */
    public static final LeaseSnapshot NONE = new LeaseSnapshot(-1, Long.MIN_VALUE, -1, 0, 0, 0);

    /** The policy by which it may decide at that instant, or -1 if it may not decide. */
    public long policyAt(long now) {
        if (hasNextStarted(now)) {
            return now < nextEnd ? next : -1;
        }
        return now < end ? current : -1;
    }

    /** Microseconds without any policy before the one in use at that instant started. */
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
