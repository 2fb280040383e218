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
 * A holder's side of leased tasks: what it holds by which token, and whether an act may begin now. An act
 * begins only if it is over, by this process's clock with its bound, before the lease ends, and whoever
 * carries it out cuts it off by then. A word that takes a task away is acknowledged only once no act on that
 * task runs any more: what the leader hears is that nothing goes on which it has not allowed.
 *
 * <p>A lease is read in one instant and an act has its effect in a later one. A process that is stopped
 * between the two acts behind its lease, and no clock of its own can prevent that: {@link LateSafety} says what an
 * act must bring so that it does no harm. No I/O; instants are microseconds; not thread-safe.
 */
public final class TaskHolder {
    private static final long NEVER = Long.MIN_VALUE;

    /** What keeps an act that comes behind its lease from doing harm; there is no other kind. */
    public enum LateSafety {
        /** Whoever it has its effect at checks the token, as {@link FencingTokenCheck} does. */
        TOKEN_CHECKED,
        /** Twice at once is as good as once, as of a probe: the operator has said so. */
        IDEMPOTENT
    }

    /**
     * An act that has begun.
     *
     * @param endsBy it is cut off by then, by this process's clock
     */
    public record Action(String task, long token, long endsBy, LateSafety need) {}

    private final LeaderClock clock = new LeaderClock();
    private final List<Action> running = new ArrayList<>();
    /** The latest token of each task that it has given up, for as long as it is told to hold it. */
    private final Map<String, Long> given = new HashMap<>();

    private SortedMap<String, Long> holds = Collections.emptySortedMap();
    private int term = -1;
    private long seq;
    private int knownTerm = -1;
    private long version = -1;
    private int obeyedTerm = -1;
    private long obeyedSeq;
    private long stop = NEVER;
    private boolean wantsMissing;

    /**
     * Takes a leader's word; false if it is older than one taken already or says too little, and changes
     * nothing.
     *
     * @param sentAt when the word that it answers went out, or a negative number: it answers none
     */
    public boolean take(TaskGrant word, long sentAt, long heardAt) {
        if (word.term() < term
                || word.term() == term && word.seq() <= seq
                || sentAt < 0 && (word.term() > term || !clock.isKnown())
                || word.holds() == null && (word.term() != knownTerm || word.version() != version)) {
            return false;
        }
        if (word.term() > term) {
            term = word.term();
            clock.forget();
        }
        seq = word.seq();
        clock.stamp(word.leaderNow(), sentAt, heardAt);
        if (word.holds() != null) {
            holds = Collections.unmodifiableSortedMap(new TreeMap<>(word.holds()));
            knownTerm = word.term();
            version = word.version();
            given.entrySet().removeIf(one -> !one.getValue().equals(holds.get(one.getKey())));
        }
        wantsMissing = word.wantsMissing();
        stop = word.until() == 0 ? NEVER : clock.noLaterThan(word.until());
        obey();
        return true;
    }

    /** What it has taken counts as obeyed once no act runs that it would not allow. */
    private void obey() {
        boolean allowed = running.stream().allMatch(act -> act.token() == holds.getOrDefault(act.task(), -1L));
        if (allowed) {
            obeyedTerm = term;
            obeyedSeq = seq;
        }
    }

    /** The token by which it holds a task at this instant, or -1. */
    public long token(String task, long now) {
        Long token = holds.get(task);
        return token == null || now >= stop || token.equals(given.get(task)) ? -1 : token;
    }

    /**
     * Begins an act on a task, or null: it may not begin now.
     *
     * @param most microseconds after which it is cut off
     */
    public Action begin(String task, long now, long most, LateSafety need) {
        long token = token(task, now);
        if (token < 0 || now + most > stop) {
            return null;
        }
        Action act = new Action(task, token, now + most, need);
        running.add(act);
        return act;
    }

    /** May its next step be taken at this instant: it holds the task still, and its time is not over. */
    public boolean mayGoOn(Action act, long now) {
        return now < act.endsBy() && token(act.task(), now) == act.token();
    }

    /** It is over, or was cut off: nothing of it goes on. */
    public void end(Action act) {
        running.remove(act);
        obey();
    }

    /** This one acts by that token no more, and says so once no act by it runs. */
    public void giveUp(String task) {
        Long token = holds.get(task);
        if (token != null) {
            given.put(task, token);
        }
    }

    /** The tasks that it holds by the leader's last word, whether or not its time is over. */
    public SortedMap<String, Long> holds() {
        return holds;
    }

    /** From then on it may act on nothing, by its clock; in the past where it has no lease. */
    public long stop() {
        return stop;
    }

    /** What goes to the leader next. */
    public TaskRenewal says(Candidacy wants, String digest, boolean draining) {
        Map<String, Long> gives = new TreeMap<>(given);
        running.forEach(act -> gives.remove(act.task(), act.token()));
        return new TaskRenewal(
                obeyedTerm, obeyedSeq, knownTerm, version, digest, wantsMissing ? wants : null, draining, gives);
    }
}
