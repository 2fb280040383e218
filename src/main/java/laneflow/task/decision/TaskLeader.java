package laneflow.task.decision;

import com.google.gson.JsonObject;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import laneflow.policy.decision.LeaderClock;
import laneflow.task.decision.TaskTable.Assignment;
import laneflow.task.decision.TaskTable.Task;
import laneflow.task.decision.TaskTable.View;

/**
 * What the leader of one term knows of those who hold tasks, and what follows: until when each may act on
 * what, whom a task is taken from, and who gets it next. It lets nobody have a task while a former holder may
 * still act on it: for each process it keeps every word that may still arrive or be obeyed, and for those
 * that former leaders may have spoken to, the time that such a word can last. A holder goes on under a new
 * leader by the token that it has; only what changes hands waits. Times and bounds are those of
 * {@link laneflow.policy.decision.Lead}. No I/O, no clock of its own.
 */
public final class TaskLeader {
    private static final long SLACK = 5_000;
    private static final int FORGET_AFTER = 10;
    private static final int PASSED_BY = 5;
    private static final int LOOKS_A_LEASE = 4;
    private static final int MOST_MOVES = 256;
    private static final int MOST_SENT = 64;
    private static final double DEAF_AFTER = 0.6;
    /** No word lasts longer, in leases, behind the latest one that its process is known to have heard. */
    private static final double LASTS_HEARD = 1.15;

    /**
     * The times it works by, in microseconds.
     *
     * @param lease how long a word lasts behind a majority's confirmation
     * @param quiet a process not heard of for so long gets nothing new
     * @param turn how long one may hold a task of the line while others wait for it
     */
    public record Times(long lease, long quiet, long turn) {}

    /** What is to be put into the voters' log, and who is to be told at once. */
    public record Step(List<JsonObject> ops, Set<String> tell) {}

    private record Given(long seq, long until, SortedMap<String, Long> holds) {}

    private record Sent(long seq, long at) {}

    private static final class Holder {
        private final List<Given> given = new ArrayList<>();
        private SortedMap<String, Long> holds = Collections.emptySortedMap();
        private TaskRenewal said;
        private long heardAt;
        /**
         * When it last said that it obeys a later word than before: one that hears nothing says so no more.
         */
        private long obeyedAt;

        private long obeyedSeq;
        /** When the word was given that it obeys; what was lost on the way to it prolongs nothing. */
        private long obeyedGivenAt;

        private final ArrayDeque<Sent> sent = new ArrayDeque<>();
        private long seq;
        private long version;
        private boolean obeys;
    }

    private final int term;
    private final long electedAt;
    private final Times times;
    private final long formerUntil;
    private final Map<String, Holder> holders = new TreeMap<>();
    /** Tokens that this leader grants no more; only a new assignment gives the task again. */
    private final Map<String, Long> withdrawn = new HashMap<>();

    private final Map<String, String> why = new HashMap<>();
    private final Map<String, Long> since = new HashMap<>();
    private final Map<String, Long> passedBy = new HashMap<>();
    private final Set<String> departed = new HashSet<>();
    private Set<String> liveBefore = Set.of();
    private long liveSince;
    private View view;
    private Map<String, SortedMap<String, Long>> held = Map.of();
    /** Those that hold other tasks than they were told last. */
    private final Set<String> news = new TreeSet<>();

    private long confirmedAt;
    private boolean asked;
    private long answeredAt = Long.MAX_VALUE;

    /** @param electedAt an instant behind the election */
    public TaskLeader(int term, long electedAt, Times times) {
        this.term = term;
        this.electedAt = electedAt;
        this.times = times;
        formerUntil = electedAt + (long) (times.lease() * (1 + 2 * LeaderClock.DRIFT)) + SLACK;
    }

    /** A majority has confirmed this leader, at an instant not before the submission, with that table. */
    public void confirmed(long submittedAt, View now) {
        confirmedAt = Math.max(confirmedAt, submittedAt);
        if (submittedAt >= answeredAt) {
            asked = false;
            answeredAt = Long.MAX_VALUE;
        }
        if (view != null && now.version() <= view.version()) {
            return;
        }
        view = now;
        withdrawn
                .entrySet()
                .removeIf(one -> now.tasks().containsKey(one.getKey())
                        && now.tasks().get(one.getKey()).token() > one.getValue());
        why.keySet().retainAll(withdrawn.keySet());
        since.keySet().retainAll(now.tasks().keySet());
        index();
    }

    private void index() {
        Map<String, SortedMap<String, Long>> all = new HashMap<>();
        for (Task task : view.tasks().values()) {
            if (isGranted(task)) {
                all.computeIfAbsent(task.holder(), name -> new TreeMap<>()).put(task.name(), task.token());
            }
        }
        Set<String> either = new TreeSet<>(all.keySet());
        either.addAll(held.keySet());
        either.removeIf(who -> Objects.equals(all.get(who), held.get(who)));
        news.addAll(either);
        held = all;
    }

    private boolean isGranted(Task task) {
        return task.token() > 0
                && !departed.contains(task.holder())
                && withdrawn.getOrDefault(task.name(), 0L) < task.token();
    }

    /** What was asked of the voters is in the log, or is not known to be. */
    public void answered(long now) {
        answeredAt = now;
    }

    /** A process's word; its answer is {@link #word}. */
    public void heard(long now, String who, TaskRenewal said) {
        if (departed.contains(who)) {
            return;
        }
        Holder holder = holders.computeIfAbsent(who, name -> new Holder());
        if (holder.said == null) {
            holder.obeyedAt = now;
            holder.obeyedGivenAt = now;
        }
        holder.heardAt = now;
        holder.said = said;
        if (said.heardTerm() == term) {
            holder.obeys = true;
            if (said.heardSeq() > holder.obeyedSeq) {
                holder.obeyedSeq = said.heardSeq();
                holder.obeyedAt = now;
            }
            holder.given.removeIf(one -> one.seq() < said.heardSeq());
            while (!holder.sent.isEmpty() && holder.sent.peek().seq() <= said.heardSeq()) {
                holder.obeyedGivenAt = holder.sent.poll().at();
            }
        }
    }

    /** A process ends in order: it has said that it acts no more. */
    public void left(String who) {
        holders.remove(who);
        departed.add(who);
        if (view != null) {
            index();
        }
    }

    /** What a process is told now, or null: nothing is known yet. The whole of what it holds where asked. */
    public TaskGrant word(long now, String who, boolean whole) {
        Holder holder = holders.get(who);
        if (view == null || holder == null) {
            return null;
        }
        SortedMap<String, Long> holds = held.getOrDefault(who, Collections.emptySortedMap());
        if (!holds.equals(holder.holds) || holder.version == 0) {
            holder.holds = holds;
            holder.version++;
        }
        long until = Math.min(confirmedAt + times.lease(), holder.obeyedGivenAt + (long) (times.lease() * LASTS_HEARD));
        until = until > now && !holds.isEmpty() ? until : 0;
        holder.seq++;
        holder.sent.add(new Sent(holder.seq, now));
        if (holder.sent.size() > MOST_SENT) {
            holder.sent.poll();
        }
        holder.given.add(new Given(holder.seq, until, holds));
        Given last = holder.given.get(holder.given.size() - 1);
        holder.given.removeIf(one -> one != last && one.until() <= now);
        boolean known = !whole && holder.said.knownTerm() == term && holder.said.knownVersion() == holder.version;
        return new TaskGrant(
                term,
                holder.seq,
                now,
                until,
                holder.version,
                known ? null : holder.holds,
                !holder.said.wants().equals(view.wants().get(who))
                        && holder.said.all() == null
                        && !holder.said.wants().equals(Candidacy.NONE.digest()));
    }

    // ---- what follows ----

    /** Until when anybody may act on a task by this leader's words; 0: nobody may. */
    private long mayAct(String task) {
        long latest = 0;
        for (Holder holder : holders.values()) {
            for (Given one : holder.given) {
                if (one.until() > latest && one.holds().containsKey(task)) {
                    latest = one.until();
                }
            }
        }
        return latest;
    }

    /** True if nobody may act on it any more, by the words of any leader. */
    private boolean isOver(long now, Task task) {
        Holder holder = holders.get(task.holder());
        boolean given = holder != null && task.token() == holder.said.gives().getOrDefault(task.name(), -1L);
        boolean ended = departed.contains(task.holder()) || given;
        boolean known = now >= formerUntil || ended || task.token() > 0 && holder != null && holder.obeys;
        return known && (ended || mayAct(task.name()) <= now);
    }

    private boolean isLive(long now, Holder holder) {
        return !isAway(now, holder) && !holder.said.draining();
    }

    /** It is not heard of, or it hears nothing. */
    private boolean isAway(long now, Holder holder) {
        return now - holder.heardAt >= times.quiet() || !hears(now, holder);
    }

    /**
     * An act that it may not begin any more holds its word back for a while; longer than that, it is deaf.
     */
    private boolean hears(long now, Holder holder) {
        return now - holder.obeyedAt < times.lease() * DEAF_AFTER;
    }

    /** What is to be done now; to be asked after every event, and at {@link #nextLook}. */
    public Step step(long now) {
        Step nothing = new Step(List.of(), Set.of());
        if (view == null || now >= confirmedAt + times.lease()) {
            return nothing;
        }
        // Whoever leaves holds nothing that this leader has granted; what former ones have is waited out.
        Set<String> live = new TreeSet<>();
        holders.forEach((who, holder) -> {
            if (isLive(now, holder)) {
                live.add(who);
            }
        });
        if (!live.equals(liveBefore)) {
            liveBefore = live;
            liveSince = now;
        }
        withdraw(now, live);
        Set<String> tell = new TreeSet<>(news);
        tell.retainAll(holders.keySet());
        news.clear();
        if (asked) {
            return new Step(List.of(), tell);
        }
        List<JsonObject> ops = new ArrayList<>(wants(now));
        List<Assignment> moves = moves(now, live);
        if (!moves.isEmpty()) {
            ops.add(TaskTable.assign(moves));
        }
        asked = !ops.isEmpty();
        return new Step(ops, tell);
    }

    private List<JsonObject> wants(long now) {
        List<JsonObject> ops = new ArrayList<>();
        holders.forEach((who, holder) -> {
            Candidacy all = holder.said.all();
            if (all != null && !all.digest().equals(view.wants().get(who)) && isLive(now, holder)) {
                ops.add(TaskTable.want(who, all));
            }
        });
        for (String who : view.wants().keySet()) {
            Holder holder = holders.get(who);
            long heardAt = holder == null ? electedAt : holder.heardAt;
            if (departed.contains(who) || now - heardAt > FORGET_AFTER * times.lease()) {
                ops.add(TaskTable.gone(who));
            }
        }
        holders.values()
                .removeIf(holder -> now - holder.heardAt > FORGET_AFTER * times.lease()
                        && holder.given.stream().allMatch(one -> one.until() <= now));
        return ops;
    }

    /** Stops granting what is to change hands. */
    private void withdraw(long now, Set<String> live) {
        boolean changed = false;
        TaskPlacement spread = spread(live);
        boolean settled = now - liveSince >= times.lease() && now >= formerUntil;
        for (Task task : view.tasks().values()) {
            if (!isGranted(task)) {
                continue;
            }
            String reason = reason(now, task, live);
            if (reason == null
                    && task.spread()
                    && settled
                    && spread.isOver(task.holder())
                    && spread.hasRoom(candidates(now, task, live))) {
                spread.sheds(task.holder());
                reason = "carried more than its share";
            }
            if (reason != null) {
                withdrawn.put(task.name(), task.token());
                why.put(task.name(), reason);
                changed = true;
            }
        }
        if (changed) {
            index();
        }
    }

    private String reason(long now, Task task, Set<String> live) {
        Holder holder = holders.get(task.holder());
        long from = since.computeIfAbsent(task.name() + "\n" + task.token(), name -> now);
        if (holder == null || isAway(now, holder)) {
            // Its words last until they are over; nobody else gets the task sooner.
            return isOver(now, task) ? "was not heard of for a lease" : null;
        }
        if (task.token() == holder.said.gives().getOrDefault(task.name(), -1L)) {
            passedBy.put(task.name() + "\n" + task.holder(), now + PASSED_BY * times.lease());
            return "gave it up";
        }
        if (holder.said.draining()) {
            return "drains";
        }
        if (!task.line().contains(task.holder())) {
            return "wants it no more";
        }
        boolean waited = task.line().stream().anyMatch(who -> live.contains(who) && !who.equals(task.holder()));
        return !task.spread() && waited && now - from >= times.turn() ? "its turn was over" : null;
    }

    private TaskPlacement spread(Set<String> live) {
        int all = 0;
        for (Task task : view.tasks().values()) {
            all += task.spread() && !task.line().isEmpty() ? 1 : 0;
        }
        TaskPlacement spread = new TaskPlacement(live, all);
        for (Task task : view.tasks().values()) {
            if (task.spread() && isGranted(task)) {
                spread.holds(task.holder());
            }
        }
        return spread;
    }

    /** Those that may get a task, in order of want; who has just given it up only where there is no other. */
    private List<String> candidates(long now, Task task, Set<String> live) {
        List<String> all = new ArrayList<>(task.line());
        all.retainAll(live);
        List<String> fresh = new ArrayList<>(all);
        fresh.removeIf(who -> passedBy.getOrDefault(task.name() + "\n" + who, 0L) > now);
        return fresh.isEmpty() ? all : fresh;
    }

    private List<Assignment> moves(long now, Set<String> live) {
        TaskPlacement spread = spread(live);
        passedBy.values().removeIf(until -> until <= now);
        List<Assignment> moves = new ArrayList<>();
        for (Task task : view.tasks().values()) {
            if (moves.size() >= MOST_MOVES || isGranted(task) || !isOver(now, task)) {
                continue;
            }
            List<String> among = candidates(now, task, live);
            String to = task.spread() ? spread.place(task.name(), among) : among.isEmpty() ? null : among.get(0);
            if (to != null) {
                moves.add(new Assignment(task.name(), task.token(), to));
            }
        }
        return moves;
    }

    /** When to look again though nothing happens. */
    public long nextLook(long now) {
        long next = now + times.lease() / LOOKS_A_LEASE;
        next = formerUntil > now ? Math.min(next, formerUntil) : next;
        for (Holder holder : holders.values()) {
            for (Given one : holder.given) {
                next = one.until() > now ? Math.min(next, one.until()) : next;
            }
        }
        return Math.max(next, now + 1000);
    }

    public int term() {
        return term;
    }

    // ---- reports ----

    /**
     * A task as its leader sees it.
     *
     * @param acts until when its holder may act, microseconds from now; 0: it may not
     * @param why it was taken from its last holder, or is held by nobody; empty where it is held
     */
    public record Standing(Task task, boolean granted, long acts, String why) {}

    /** All tasks, by name. */
    public List<Standing> standings(long now) {
        List<Standing> all = new ArrayList<>();
        if (view != null) {
            for (Task task : view.tasks().values()) {
                boolean granted = isGranted(task);
                String reason = granted
                        ? ""
                        : task.token() == 0
                                ? "nobody has held it yet"
                                : task.holder() + " " + why.getOrDefault(task.name(), "has left");
                if (!granted && candidates(now, task, liveBefore).isEmpty()) {
                    reason += "; nobody that is live wants it";
                } else if (!granted && !isOver(now, task)) {
                    reason += "; it may act on it still";
                }
                all.add(new Standing(task, granted, granted ? Math.max(0, mayAct(task.name()) - now) : 0, reason));
            }
        }
        return all;
    }
}
