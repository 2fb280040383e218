package laneflow.policy.decision;

/**
 * A scheduler's leave to decide, by its own clock. The leader says in its clock until when a policy holds;
 * here that becomes an instant of this process's clock, early for an end and late for a beginning, so that
 * whatever the two clocks do within their bound, nobody begins by a policy before all others have ended with
 * the one before it.
 *
 * <p>The bound comes of exchanges: a stamp that the leader wrote between a renewal's going out and its
 * answer's coming in says how far the leader's clock can be at any later time. A word that answers nothing
 * only bounds it from below. No I/O; instants are microseconds.
 */
public final class Lease {
    /** Clocks' rates differ by no more than this share. */
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
     * Takes a leader's word; false if it is older than one obeyed already, and changes nothing.
     *
     * @param sentAt when the renewal that it answers went out, or a negative number: it answers none
     * @param heardAt now
     */
    public boolean accept(Grant grant, long sentAt, long receivedAt) {
        if (grant.term() < term
                || grant.term() == term && grant.seq() <= seq
                || grant.number() < Math.max(current, next)) {
            return false;
        }
        if (sentAt < 0 && (grant.term() > term || !clock.isBounded())) {
            // It tells nothing of when: obeyed, it would end what a former leader granted for no reason.
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
            // No leave at all: what it was about to begin with goes too.
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

    /** The policy by which it may decide at this instant, or -1: it may not decide. */
    public long policyAt(long now) {
        startNextIfDue(now);
        return now < end ? current : -1;
    }

    /** The policy last begun with, whether or not its time is over; -1 before the first. */
    public long current() {
        return current;
    }

    /** The policy that it begins with next, or -1; when is told by {@link #nextStart}. */
    public long next() {
        return next;
    }

    public long nextStart() {
        return nextStart;
    }

    /** How long it decided by neither policy when it last began with one, in microseconds. */
    public long fence() {
        return fence;
    }

    /** When its leave ends unless it is renewed; in the past where it has none. */
    public long end() {
        return end;
    }

    /** The term of the latest word obeyed, and that word's number. */
    public int term() {
        return term;
    }

    public long seq() {
        return seq;
    }

    /** As it stands now, for whoever reads it on another thread. */
    public LeaseSnapshot snapshot() {
        return new LeaseSnapshot(current, end, next, nextStart, nextEnd, fence);
    }
}
