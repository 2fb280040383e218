package laneflow.policy.decision;

/**
 * Where a leader's clock can be, by this process's own: from exchanges with that leader, and the most by
 * which
 * two clocks' rates differ. A stamp that the leader wrote between a word's going out and its answer's coming
 * in bounds its clock from both sides at any later time; one that answers nothing bounds it from below only.
 * No I/O; instants are microseconds.
 */
public final class LeaderClock {
    /** Clocks' rates differ by no more than this share. */
    public static final double MAX_DRIFT = 0.001;

    private static final long UNSET = Long.MIN_VALUE;

    /** The leader's clock is at most the stamp plus what has passed here since, at the faster rate. */
    private long upperStamp;

    private long upperAt = UNSET;
    /** And at least this stamp plus what has passed here since, at the slower rate. */
    private long lowerStamp;

    private long lowerAt = UNSET;

    /** True once an exchange has bounded it from both sides. */
    public boolean isBounded() {
        return upperAt != UNSET;
    }

    /** Another leader, another clock. */
    public void reset() {
        upperAt = UNSET;
        lowerAt = UNSET;
    }

    /** A stamp of the leader's, heard now; it answers what was sent at that instant, or nothing: negative. */
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

    /** An instant here that is not behind the leader's: what ends then has ended in time. */
    public long localNotAfter(long leaderInstant) {
        return upperAt + (long) Math.floor((leaderInstant - upperStamp) / (1 + MAX_DRIFT));
    }

    /** An instant here that is not before the leader's: what begins then does not begin too soon. */
    public long localNotBefore(long leaderInstant) {
        return lowerAt + (long) Math.ceil((leaderInstant - lowerStamp) / (1 - MAX_DRIFT));
    }
}
