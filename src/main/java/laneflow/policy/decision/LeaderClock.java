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

    private static final long NEVER = Long.MIN_VALUE;

    /** The leader's clock is at most the stamp plus what has passed here since, at the faster rate. */
    private long mostStamp;

    private long mostAt = NEVER;
    /** And at least this stamp plus what has passed here since, at the slower rate. */
    private long leastStamp;

    private long leastAt = NEVER;

    /** True once an exchange has bounded it from both sides. */
    public boolean isKnown() {
        return mostAt != NEVER;
    }

    /** Another leader, another clock. */
    public void forget() {
        mostAt = NEVER;
        leastAt = NEVER;
    }

    /** A stamp of the leader's, heard now; it answers what was sent at that instant, or nothing: negative. */
    public void addStamp(long stamp, long sentAt, long heardAt) {
        if (leastAt == NEVER || stamp - leastStamp > (heardAt - leastAt) * (1 - MAX_DRIFT)) {
            leastStamp = stamp;
            leastAt = heardAt;
        }
        if (sentAt >= 0
                && (mostAt == NEVER
                        || stamp + (heardAt - sentAt) * (1 + MAX_DRIFT)
                                < mostStamp + (heardAt - mostAt) * (1 + MAX_DRIFT))) {
            mostStamp = stamp;
            mostAt = sentAt;
        }
    }

    /** An instant here that is not behind the leader's: what ends then has ended in time. */
    public long localNotAfter(long leaders) {
        return mostAt + (long) Math.floor((leaders - mostStamp) / (1 + MAX_DRIFT));
    }

    /** An instant here that is not before the leader's: what begins then does not begin too soon. */
    public long localNotBefore(long leaders) {
        return leastAt + (long) Math.ceil((leaders - leastStamp) / (1 - MAX_DRIFT));
    }
}
