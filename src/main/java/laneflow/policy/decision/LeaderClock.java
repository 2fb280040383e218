package laneflow.policy.decision;

/**
 * Bounds of the leader's clock in terms of this process's clock, derived from message exchanges with that
 * leader and the largest possible difference between the rates of two clocks. A stamp that the leader wrote
 * between the sending of a renewal and the arrival of its answer bounds the leader's clock from both sides at
 * any later time; the stamp of an unsolicited message bounds it only from below. No I/O; instants are
 * microseconds.
 */
public final class LeaderClock {
    /** Largest relative difference between the rates of two clocks. */
    public static final double MAX_DRIFT = 0.001;

    private static final long UNSET = Long.MIN_VALUE;

    /** Upper bound: this stamp plus the time since {@link #upperAt}, at the faster rate. */
    private long upperStamp;

    private long upperAt = UNSET;
    /** Lower bound: this stamp plus the time since {@link #lowerAt}, at the slower rate. */
    private long lowerStamp;

    private long lowerAt = UNSET;

    /** True once an exchange has bounded the clock from both sides. */
    public boolean isBounded() {
        return upperAt != UNSET;
    }

    /** Drops all bounds; called when another leader, with another clock, takes over. */
    public void reset() {
        upperAt = UNSET;
        lowerAt = UNSET;
    }

    /**
     * Adds a stamp of the leader's.
     *
     * @param sentAt when the renewal that it answers was sent; negative if the message was unsolicited
     * @param receivedAt now
     */
    public void addStamp(long stamp, long sentAt, long receivedAt) {
        if (lowerAt == UNSET || stamp - lowerStamp > (receivedAt - lowerAt) * (1 - MAX_DRIFT)) {
            lowerStamp = stamp;
            lowerAt = receivedAt;
        }
        if (sentAt >= 0
                && (upperAt == UNSET
                        || stamp + (receivedAt - sentAt) * (1 + MAX_DRIFT)
                                < upperStamp + (receivedAt - upperAt) * (1 + MAX_DRIFT))) {
            upperStamp = stamp;
            upperAt = sentAt;
        }
    }

    /** A local instant not after the leader's: the end of a lease, converted to it, is never too late. */
    public long localNotAfter(long leaderInstant) {
        return upperAt + (long) Math.floor((leaderInstant - upperStamp) / (1 + MAX_DRIFT));
    }

    /** A local instant not before the leader's: the start of a policy, converted to it, is never too early. */
    public long localNotBefore(long leaderInstant) {
        return lowerAt + (long) Math.ceil((leaderInstant - lowerStamp) / (1 - MAX_DRIFT));
    }
}
