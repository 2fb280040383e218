package laneflow.task.decision;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import laneflow.policy.decision.LeaderClock;

/**
 * A holder's side of leased tasks: which tasks it holds with which tokens, and whether an action may begin
 * now. An action begins only if it ends before the lease does, by this process's clock with its error bound,
 * and whoever carries it out cuts it off by then. A grant that withdraws a task is acknowledged only once no
 * action on that task runs any more: an acknowledgement tells the leader that nothing runs which the grant
 * does not allow.
 *
 * <p>The lease is checked at one instant and an action takes effect at a later one. A process that is
 * suspended in between may act after its lease has ended, and its own clock can't prevent that:
 * {@link LateSafety} says what makes such a late action safe. No I/O; instants are microseconds; not thread-safe.
 */
public final class TaskHolder {
    private static final long NEVER = Long.MIN_VALUE;

    /** What makes an action safe that takes effect after its lease has ended. Every action needs one of these. */
    public enum LateSafety {
        /** The receiver of the action checks the token, as {@link FencingTokenCheck} does. */
        TOKEN_CHECKED,
        /** Two concurrent runs are as good as one, as for a probe; the operator has declared this. */
        IDEMPOTENT
    }

    /**
     * An action that has begun.
     *
     * @param endsBy when it is cut off, by this process's clock
     */
    public record Action(String task, long token, long endsBy, LateSafety lateSafety) {}

    private final LeaderClock clock = new LeaderClock();
    private final List<Action> running = new ArrayList<>();
    /** Tokens that this process has given up, by task, for as long as the leader still grants them. */
    private final Map<String, Long> given = new HashMap<>();

    private SortedMap<String, Long> holds = Collections.emptySortedMap();
    private int term = -1;
    private long seq;
    private int knownTerm = -1;
    private long version = -1;
    private int ackedTerm = -1;
    private long ackedSeq;
    private long leaseEnd = NEVER;
    private boolean candidacyMissing;

    /**
     * Applies a grant. Returns false and changes nothing if the grant is older than one applied before, or
     * lacks information that is needed to apply it.
     *
     * @param sentAt when the renewal that the grant answers was sent; negative if it answers none
     */
    public boolean apply(TaskGrant grant, long sentAt, long heardAt) {
        if (grant.term() < term
                || grant.term() == term && grant.seq() <= seq
                || sentAt < 0 && (grant.term() > term || !clock.isBounded())
                || grant.holds() == null && (grant.term() != knownTerm || grant.version() != version)) {
            return false;
        }
        if (grant.term() > term) {
            term = grant.term();
            clock.reset();
        }
        seq = grant.seq();
        clock.addStamp(grant.leaderNow(), sentAt, heardAt);
        if (grant.holds() != null) {
            holds = Collections.unmodifiableSortedMap(new TreeMap<>(grant.holds()));
            knownTerm = grant.term();
            version = grant.version();
            given.entrySet().removeIf(one -> !one.getValue().equals(holds.get(one.getKey())));
        }
        candidacyMissing = grant.candidacyMissing();
        leaseEnd = grant.expiresAt() == 0 ? NEVER : clock.localNotAfter(grant.expiresAt());
        updateAck();
        return true;
    }

    /** Acknowledges the latest applied grant if no action runs that it does not allow. */
    private void updateAck() {
        boolean allowed = running.stream().allMatch(act -> act.token() == holds.getOrDefault(act.task(), -1L));
        if (allowed) {
            ackedTerm = term;
            ackedSeq = seq;
        }
    }

    /** The token by which it holds a task at this instant, or -1. */
    public long token(String task, long now) {
        Long token = holds.get(task);
        return token == null || now >= leaseEnd || token.equals(given.get(task)) ? -1 : token;
    }

    /**
     * Begins an action on a task; null if it may not begin now.
     *
     * @param timeout microseconds after which the action is cut off
     */
    public Action begin(String task, long now, long timeout, LateSafety lateSafety) {
        long token = token(task, now);
        if (token < 0 || now + timeout > leaseEnd) {
            return null;
        }
        Action act = new Action(task, token, now + timeout, lateSafety);
        running.add(act);
        return act;
    }

    /** True if the action may take its next step: its time is not over and the task is still held. */
    public boolean mayContinue(Action act, long now) {
        return now < act.endsBy() && token(act.task(), now) == act.token();
    }

    /** The action is finished or was cut off: no part of it runs any more. */
    public void end(Action act) {
        running.remove(act);
        updateAck();
    }

    /** Gives up a task's current token. A renewal reports this once no action under the token runs. */
    public void giveUp(String task) {
        Long token = holds.get(task);
        if (token != null) {
            given.put(task, token);
        }
    }

    /** Tokens of the tasks in the latest grant, whether or not its lease has ended. */
    public SortedMap<String, Long> holds() {
        return holds;
    }

    /** When the lease ends, by this process's clock; in the past if there is none. */
    public long leaseEnd() {
        return leaseEnd;
    }

    /** The next renewal to send to the leader. */
    public TaskRenewal renewal(Candidacy candidacy, String digest, boolean draining) {
        Map<String, Long> gives = new TreeMap<>(given);
        running.forEach(act -> gives.remove(act.task(), act.token()));
        return new TaskRenewal(
                ackedTerm, ackedSeq, knownTerm, version, digest, candidacyMissing ? candidacy : null, draining, gives);
    }
}
