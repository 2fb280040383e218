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
 * What the leader of one term knows of the processes that hold tasks, and what follows from it: until when
 * each may act on which task, which task is withdrawn from its holder, and who gets it next. It assigns no
 * task while a former holder may still act on it: for each process it keeps every grant that may still arrive or
 * be in use, and for processes that may have grants of former leaders, the time for which such a grant can
 * last. A holder keeps its token under a new leader; only tasks that change hands wait. Times and bounds are
 * those of {@link laneflow.policy.decision.LeaderState}. Performs no I/O and reads no clock.
 */
public final class TaskLeader {
    private static final long SLACK_MICROS = 5_000;
    /** Leases without a renewal after which a process is forgotten. */
    private static final int FORGET_AFTER = 10;

    private static final int GIVE_UP_COOLDOWN_LEASES = 5;
    private static final int CHECKS_PER_LEASE = 4;
    private static final int MAX_ASSIGNMENTS_PER_STEP = 256;
    private static final int MAX_UNACKED_GRANTS = 64;
    private static final double UNREACHABLE_AFTER_LEASES = 0.6;
    /** How long a grant lasts at most, counted from the latest grant that its process has acknowledged. */
    private static final double MAX_LEASES_AFTER_ACK = 1.15;

    /**
     * Durations in microseconds.
     *
     * @param lease how long a grant lasts after a majority's confirmation
     * @param silence a process not heard from for this long is assigned nothing new
     * @param turn how long a process may hold a rotating task while other candidates wait for it
     */
    public record Times(long lease, long silence, long turn) {}

    /** Operations to replicate in the voters' log, and processes to send a grant to at once. */
    public record Step(List<JsonObject> ops, Set<String> tell) {}

    /** A grant that may still arrive or be in use. */
    private record OutstandingGrant(long seq, long expiresAt, SortedMap<String, Long> tokens) {}

    private record Sent(long seq, long at) {}

    private static final class Holder {
        private final List<OutstandingGrant> outstanding = new ArrayList<>();
        private SortedMap<String, Long> tokens = Collections.emptySortedMap();
        private TaskRenewal renewal;
        private long heardAt;
        /** When it last acknowledged a later grant than before. Stops advancing if grants don't reach it. */
        private long ackedAt;

        private long ackedSeq;
        /** When the acknowledged grant was sent; grants that are lost on the way don't prolong the lease. */
        private long ackedSentAt;

        private final ArrayDeque<Sent> sent = new ArrayDeque<>();
        private long seq;
        private long version;
        private boolean ackedThisTerm;
    }

    private final int term;
    private final long electedAt;
    private final Times times;
    /** When every grant of a former leader has expired. */
    private final long formerGrantsEnd;

    private final Map<String, Holder> holders = new TreeMap<>();
    /** Tokens that this leader no longer grants; only a new assignment grants the task again. */
    private final Map<String, Long> withdrawn = new HashMap<>();

    private final Map<String, String> reasons = new HashMap<>();
    private final Map<String, Long> since = new HashMap<>();
    private final Map<String, Long> cooldownEnds = new HashMap<>();
    private final Set<String> departed = new HashSet<>();
    private Set<String> liveBefore = Set.of();
    private long liveSince;
    private View view;
    private Map<String, SortedMap<String, Long>> tokensByProcess = Map.of();
    /** Processes whose set of tasks has changed since they were last notified. */
    private final Set<String> changedProcesses = new TreeSet<>();

    private long confirmedAt;
    private boolean opsPending;
    private long opsAnsweredAt = Long.MAX_VALUE;

    /** @param electedAt an instant after the election */
    public TaskLeader(int term, long electedAt, Times times) {
        this.term = term;
        this.electedAt = electedAt;
        this.times = times;
        formerGrantsEnd = electedAt + (long) (times.lease() * (1 + 2 * LeaderClock.MAX_DRIFT)) + SLACK_MICROS;
    }

    /** A majority has confirmed this leader, at an instant not before the submission, with that table. */
    public void confirmed(long submittedAt, View now) {
        confirmedAt = Math.max(confirmedAt, submittedAt);
        if (submittedAt >= opsAnsweredAt) {
            opsPending = false;
            opsAnsweredAt = Long.MAX_VALUE;
        }
        if (view != null && now.version() <= view.version()) {
            return;
        }
        view = now;
        withdrawn
                .entrySet()
                .removeIf(one -> now.tasks().containsKey(one.getKey())
                        && now.tasks().get(one.getKey()).token() > one.getValue());
        reasons.keySet().retainAll(withdrawn.keySet());
        since.keySet().retainAll(now.tasks().keySet());
        updateTokens();
    }

    private void updateTokens() {
        Map<String, SortedMap<String, Long>> all = new HashMap<>();
        for (Task task : view.tasks().values()) {
            if (isGranted(task)) {
                all.computeIfAbsent(task.holder(), name -> new TreeMap<>()).put(task.name(), task.token());
            }
        }
        Set<String> either = new TreeSet<>(all.keySet());
        either.addAll(tokensByProcess.keySet());
        either.removeIf(process -> Objects.equals(all.get(process), tokensByProcess.get(process)));
        changedProcesses.addAll(either);
        tokensByProcess = all;
    }

    private boolean isGranted(Task task) {
        return task.token() > 0
                && !departed.contains(task.holder())
                && withdrawn.getOrDefault(task.name(), 0L) < task.token();
    }

    /** The submitted operations are in the log, or are not known to be. */
    public void opsAnswered(long now) {
        opsAnsweredAt = now;
    }

    /** Takes a process's renewal; {@link #grant} answers it. */
    public void receive(long now, String process, TaskRenewal renewal) {
        if (departed.contains(process)) {
            return;
        }
        Holder holder = holders.computeIfAbsent(process, name -> new Holder());
        if (holder.renewal == null) {
            holder.ackedAt = now;
            holder.ackedSentAt = now;
        }
        holder.heardAt = now;
        holder.renewal = renewal;
        if (renewal.heardTerm() == term) {
            holder.ackedThisTerm = true;
            if (renewal.heardSeq() > holder.ackedSeq) {
                holder.ackedSeq = renewal.heardSeq();
                holder.ackedAt = now;
            }
            holder.outstanding.removeIf(grant -> grant.seq() < renewal.heardSeq());
            while (!holder.sent.isEmpty() && holder.sent.peek().seq() <= renewal.heardSeq()) {
                holder.ackedSentAt = holder.sent.poll().at();
            }
        }
    }

    /** A process shuts down and has said that it no longer acts on any task. */
    public void leave(String process) {
        holders.remove(process);
        departed.add(process);
        if (view != null) {
            updateTokens();
        }
    }

    /**
     * The next grant to a process; null before its first renewal or the first confirmation.
     *
     * @param full true to include the process's tokens even if it knows them
     */
    public TaskGrant grant(long now, String process, boolean full) {
        Holder holder = holders.get(process);
        if (view == null || holder == null) {
            return null;
        }
        SortedMap<String, Long> tokens = tokensByProcess.getOrDefault(process, Collections.emptySortedMap());
        if (!tokens.equals(holder.tokens) || holder.version == 0) {
            holder.tokens = tokens;
            holder.version++;
        }
        long expiresAt = Math.min(
                confirmedAt + times.lease(), holder.ackedSentAt + (long) (times.lease() * MAX_LEASES_AFTER_ACK));
        expiresAt = expiresAt > now && !tokens.isEmpty() ? expiresAt : 0;
        holder.seq++;
        holder.sent.add(new Sent(holder.seq, now));
        if (holder.sent.size() > MAX_UNACKED_GRANTS) {
            holder.sent.poll();
        }
        holder.outstanding.add(new OutstandingGrant(holder.seq, expiresAt, tokens));
        OutstandingGrant last = holder.outstanding.get(holder.outstanding.size() - 1);
        holder.outstanding.removeIf(grant -> grant != last && grant.expiresAt() <= now);
        boolean known = !full && holder.renewal.knownTerm() == term && holder.renewal.knownVersion() == holder.version;
        return new TaskGrant(
                term,
                holder.seq,
                now,
                expiresAt,
                holder.version,
                known ? null : holder.tokens,
                !holder.renewal.candidacyDigest().equals(view.candidacyDigests().get(process))
                        && holder.renewal.candidacy() == null
                        && !holder.renewal.candidacyDigest().equals(Candidacy.NONE.digest()));
    }

    // ---- decisions ----

    /** When this leader's last outstanding grant of a task expires; 0 if there is none. */
    private long lastExpiry(String task) {
        long latest = 0;
        for (Holder holder : holders.values()) {
            for (OutstandingGrant grant : holder.outstanding) {
                if (grant.expiresAt() > latest && grant.tokens().containsKey(task)) {
                    latest = grant.expiresAt();
                }
            }
        }
        return latest;
    }

    /** True if no process may act on the task any more, under a grant of this or any former leader. */
    private boolean isFree(long now, Task task) {
        Holder holder = holders.get(task.holder());
        boolean givenUp =
                holder != null && task.token() == holder.renewal.givenUp().getOrDefault(task.name(), -1L);
        boolean ended = departed.contains(task.holder()) || givenUp;
        boolean known = now >= formerGrantsEnd || ended || task.token() > 0 && holder != null && holder.ackedThisTerm;
        return known && (ended || lastExpiry(task.name()) <= now);
    }

    private boolean isLive(long now, Holder holder) {
        return !isUnreachable(now, holder) && !holder.renewal.draining();
    }

    /** True if no renewals arrive from the process, or no grants arrive there. */
    private boolean isUnreachable(long now, Holder holder) {
        return now - holder.heardAt >= times.silence() || !receivesGrants(now, holder);
    }

    /**
     * An action that is no longer allowed delays the acknowledgement until it ends. A delay beyond that means
     * that grants don't arrive.
     */
    private boolean receivesGrants(long now, Holder holder) {
        return now - holder.ackedAt < times.lease() * UNREACHABLE_AFTER_LEASES;
    }

    /** What to do now; to be called after every event and at {@link #nextCheck}. */
    public Step step(long now) {
        Step nothing = new Step(List.of(), Set.of());
        if (view == null || now >= confirmedAt + times.lease()) {
            return nothing;
        }
        // A process that leaves has no outstanding grant of this leader; grants of former leaders are
        // waited out.
        Set<String> live = new TreeSet<>();
        holders.forEach((process, holder) -> {
            if (isLive(now, holder)) {
                live.add(process);
            }
        });
        if (!live.equals(liveBefore)) {
            liveBefore = live;
            liveSince = now;
        }
        withdraw(now, live);
        Set<String> tell = new TreeSet<>(changedProcesses);
        tell.retainAll(holders.keySet());
        changedProcesses.clear();
        if (opsPending) {
            return new Step(List.of(), tell);
        }
        List<JsonObject> ops = new ArrayList<>(candidacyOps(now));
        List<Assignment> assignments = assignments(now, live);
        if (!assignments.isEmpty()) {
            ops.add(TaskTable.assign(assignments));
        }
        opsPending = !ops.isEmpty();
        return new Step(ops, tell);
    }

    private List<JsonObject> candidacyOps(long now) {
        List<JsonObject> ops = new ArrayList<>();
        holders.forEach((process, holder) -> {
            Candidacy candidacy = holder.renewal.candidacy();
            if (candidacy != null
                    && !candidacy.digest().equals(view.candidacyDigests().get(process))
                    && isLive(now, holder)) {
                ops.add(TaskTable.setCandidacy(process, candidacy));
            }
        });
        for (String process : view.candidacyDigests().keySet()) {
            Holder holder = holders.get(process);
            long heardAt = holder == null ? electedAt : holder.heardAt;
            if (departed.contains(process) || now - heardAt > FORGET_AFTER * times.lease()) {
                ops.add(TaskTable.removeProcess(process));
            }
        }
        holders.values()
                .removeIf(holder -> now - holder.heardAt > FORGET_AFTER * times.lease()
                        && holder.outstanding.stream().allMatch(grant -> grant.expiresAt() <= now));
        return ops;
    }

    /** Stops granting the tasks that are to change hands. */
    private void withdraw(long now, Set<String> live) {
        boolean changed = false;
        TaskPlacement placement = placement(live);
        boolean settled = now - liveSince >= times.lease() && now >= formerGrantsEnd;
        for (Task task : view.tasks().values()) {
            if (!isGranted(task)) {
                continue;
            }
            String reason = reason(now, task, live);
            if (reason == null
                    && task.placed()
                    && settled
                    && placement.isOverloaded(task.holder())
                    && placement.hasRoom(eligible(now, task, live))) {
                placement.removeTask(task.holder());
                reason = "was over its share of tasks";
            }
            if (reason != null) {
                withdrawn.put(task.name(), task.token());
                reasons.put(task.name(), reason);
                changed = true;
            }
        }
        if (changed) {
            updateTokens();
        }
    }

    private String reason(long now, Task task, Set<String> live) {
        Holder holder = holders.get(task.holder());
        long from = since.computeIfAbsent(task.name() + "\n" + task.token(), name -> now);
        if (holder == null || isUnreachable(now, holder)) {
            // Its grants stay valid until they expire; the task is not reassigned before.
            return isFree(now, task) ? "was not heard from for a lease" : null;
        }
        if (task.token() == holder.renewal.givenUp().getOrDefault(task.name(), -1L)) {
            cooldownEnds.put(task.name() + "\n" + task.holder(), now + GIVE_UP_COOLDOWN_LEASES * times.lease());
            return "gave it up";
        }
        if (holder.renewal.draining()) {
            return "is draining";
        }
        if (!task.candidates().contains(task.holder())) {
            return "is no longer a candidate";
        }
        boolean awaited = task.candidates().stream()
                .anyMatch(process -> live.contains(process) && !process.equals(task.holder()));
        return !task.placed() && awaited && now - from >= times.turn() ? "finished its turn" : null;
    }

    private TaskPlacement placement(Set<String> live) {
        int all = 0;
        for (Task task : view.tasks().values()) {
            all += task.placed() && !task.candidates().isEmpty() ? 1 : 0;
        }
        TaskPlacement placement = new TaskPlacement(live, all);
        for (Task task : view.tasks().values()) {
            if (task.placed() && isGranted(task)) {
                placement.addTask(task.holder());
            }
        }
        return placement;
    }

    /** Live candidates of a task in order; one that has just given it up is left out unless it is the only one. */
    private List<String> eligible(long now, Task task, Set<String> live) {
        List<String> all = new ArrayList<>(task.candidates());
        all.retainAll(live);
        List<String> preferred = new ArrayList<>(all);
        preferred.removeIf(process -> cooldownEnds.getOrDefault(task.name() + "\n" + process, 0L) > now);
        return preferred.isEmpty() ? all : preferred;
    }

    private List<Assignment> assignments(long now, Set<String> live) {
        TaskPlacement placement = placement(live);
        cooldownEnds.values().removeIf(end -> end <= now);
        List<Assignment> assignments = new ArrayList<>();
        for (Task task : view.tasks().values()) {
            if (assignments.size() >= MAX_ASSIGNMENTS_PER_STEP || isGranted(task) || !isFree(now, task)) {
                continue;
            }
            List<String> eligible = eligible(now, task, live);
            String process = task.placed()
                    ? placement.place(task.name(), eligible)
                    : eligible.isEmpty() ? null : eligible.get(0);
            if (process != null) {
                assignments.add(new Assignment(task.name(), task.token(), process));
            }
        }
        return assignments;
    }

    /** When to call {@link #step} again if no event occurs before. */
    public long nextCheck(long now) {
        long next = now + times.lease() / CHECKS_PER_LEASE;
        next = formerGrantsEnd > now ? Math.min(next, formerGrantsEnd) : next;
        for (Holder holder : holders.values()) {
            for (OutstandingGrant grant : holder.outstanding) {
                next = grant.expiresAt() > now ? Math.min(next, grant.expiresAt()) : next;
            }
        }
        return Math.max(next, now + 1000);
    }

    public int term() {
        return term;
    }

    // ---- reports ----

    /**
     * The state of a task as the leader sees it.
     *
     * @param leaseLeft microseconds for which its holder may still act; 0 if it may not
     * @param reason why it was withdrawn from its last holder or has none; empty while it is held
     */
    public record TaskStatus(Task task, boolean granted, long leaseLeft, String reason) {}

    /** The state of all tasks, by name. */
    public List<TaskStatus> statuses(long now) {
        List<TaskStatus> all = new ArrayList<>();
        if (view != null) {
            for (Task task : view.tasks().values()) {
                boolean granted = isGranted(task);
                String reason = granted
                        ? ""
                        : task.token() == 0
                                ? "not assigned yet"
                                : task.holder() + " " + reasons.getOrDefault(task.name(), "has left");
                if (!granted && eligible(now, task, liveBefore).isEmpty()) {
                    reason += "; no live candidate";
                } else if (!granted && !isFree(now, task)) {
                    reason += "; its lease has not ended yet";
                }
                all.add(new TaskStatus(
                        task, granted, granted ? Math.max(0, lastExpiry(task.name()) - now) : 0, reason));
            }
        }
        return all;
    }
}
