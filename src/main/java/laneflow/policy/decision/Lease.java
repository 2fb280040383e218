package laneflow.policy.decision;

/**
 * A scheduler's lease: the policy by which it may decide and until when, by its own clock. The leader states
 * the limits by its own clock; they are converted to this process's clock, rounded early for an end and late
 * for a start. While the two clocks keep within their bounds, no scheduler starts to use a policy before all
 * others have stopped using the previous one.
 *
 * <p>The bounds come from message exchanges, see {@link LeaderClock}: an answer bounds the leader's clock
 * from both sides, an unsolicited message only from below. No I/O; instants are microseconds.
 */
public final class Lease {
    /** Largest relative difference between the rates of two clocks. */
    public static final double MAX_DRIFT = LeaderClock.MAX_DRIFT;

    private static final long NEVER = Long.MIN_VALUE;

    private int term = -1;
    private long seq;
    private final LeaderClock clock = new LeaderClock();
    private long current = -1;
    private long end = NEVER;
    private long next = -1;
    private long nextStart;
    private long nextEnd;
    private long fence;

    /**
     * Applies a grant. Returns false, with no effect, if it is older than one applied before or if its
     * instants can't be converted.
     *
     * @param sentAt when the renewal that it answers was sent; negative if the grant was unsolicited
     * @param receivedAt now
     */
    public boolean accept(Grant grant, long sentAt, long receivedAt) {
        if (grant.term() < term
                || grant.term() == term && grant.seq() <= seq
                || grant.number() < Math.max(current, next)) {
            return false;
        }
        if (sentAt < 0 && (grant.term() > term || !clock.isBounded())) {
            // Without bounds of this leader's clock the grant can't be converted; applying it would
            // needlessly end a former leader's grant.
            return false;
        }
        if (grant.term() > term) {
            term = grant.term();
            clock.reset();
        }
        seq = grant.seq();
        clock.addStamp(grant.leaderNow(), sentAt, receivedAt);
        startNextIfDue(receivedAt);
        long grantEnd = grant.until() == 0 ? NEVER : clock.localNotAfter(grant.until());
        if (grant.number() == current) {
            end = grantEnd;
        } else if (grantEnd != NEVER) {
            next = grant.number();
            nextEnd = grantEnd;
            nextStart = grant.from() == 0 ? receivedAt : clock.localNotBefore(grant.from());
        } else {
            // The leader grants nothing: the pending switch is cancelled, too.
            end = NEVER;
            next = -1;
        }
        return true;
    }

    private void startNextIfDue(long now) {
        if (next >= 0 && now >= nextStart) {
            fence = end == NEVER ? 0 : Math.max(0, nextStart - end);
            current = next;
            end = nextEnd;
            next = -1;
        }
    }

    /** The policy by which it may decide at that instant, or -1 if it may not decide. */
    public long policyAt(long now) {
        startNextIfDue(now);
        return now < end ? current : -1;
    }

    /** The policy started last, even if its lease has run out; -1 before the first. */
    public long current() {
        return current;
    }

    /** The policy to switch to at {@link #nextStart}, or -1. */
    public long next() {
        return next;
    }

    public long nextStart() {
        return nextStart;
    }

    /** Microseconds without any policy at the last switch. */
    public long fence() {
        return fence;
    }

    /** When the lease ends unless renewed; in the past if there is none. */
    public long end() {
        return end;
    }

    /** Term of the latest grant applied; {@link #seq} is that grant's number. */
    public int term() {
        return term;
    }

    public long seq() {
        return seq;
    }

    /** An immutable copy for other threads. */
    public LeaseSnapshot snapshot() {
        return new LeaseSnapshot(current, end, next, nextStart, nextEnd, fence);
    }
}
