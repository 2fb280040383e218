package laneflow.membership.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import laneflow.membership.decision.Message.Kind;
import laneflow.membership.decision.Swim.Environment;
import laneflow.membership.decision.Update.Claim;
import laneflow.membership.decision.Update.MemberRecord;
import laneflow.membership.decision.View.Entry;

/**
 * Applies gossip about other members to the view: which instance holds a name, which members are suspected and
 * for how long, and when one is declared dead. Only this member's own suspicion timer declares a member dead.
 */
final class SuspicionTracker {
    private static final int MAX_MEMBERS = 10_000;
    private static final int MAX_ENDED = 1024;
    private static final int MAX_PENDING_FINAL_PROBES = 64;
    /** Last probes before a member is declared dead, three quarters of a probe timeout apart. */
    private static final int FINAL_PROBES = 2;

    private static final int FINAL_PROBE_SPACING_NUMERATOR = 3;
    private static final int FINAL_PROBE_SPACING_DENOMINATOR = 4;
    /** Limit on a suspicion that acks through helpers prolong, as a multiple of the minimum timeout. */
    private static final int MAX_SUSPICION_FACTOR = 8;

    private static final long LEAVE_PROBE_TIMEOUTS = 2;
    /** Limit on how far a bad health score prolongs suspicions: a member cut off has one too, and suspects rightly. */
    private static final int MAX_HEALTH_EXTENSION = 3;

    /** Fires for a final probe or at the end of a suspicion. Void once the entry has another deadline. */
    private record SuspicionTimer(long fireAt, Entry entry, long deadline, boolean finalProbe) {}

    private final View view;
    private final SwimTimings timings;
    private final SplittableRandom random;
    private final LocalMember self;
    private final FailureDetector failureDetector;
    private final Environment environment;
    private final PriorityQueue<SuspicionTimer> timers =
            new PriorityQueue<>((a, b) -> Long.compare(a.fireAt, b.fireAt));
    /** Targets of the final probes made through helpers, by sequence number. */
    private final Map<Integer, Entry> pendingFinalProbes = new RecentPings<>(MAX_PENDING_FINAL_PROBES);

    SuspicionTracker(
            View view,
            SwimTimings timings,
            SplittableRandom random,
            LocalMember self,
            FailureDetector failureDetector,
            Environment environment) {
        this.view = view;
        this.timings = timings;
        this.random = random;
        this.self = self;
        this.failureDetector = failureDetector;
        this.environment = environment;
    }

    long nextTick() {
        return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().fireAt;
    }

    void tick(long now) {
        while (!timers.isEmpty() && timers.peek().fireAt <= now) {
            fire(timers.poll(), now);
        }
    }

    /** Prolongs all suspicions by the time in which this member could not receive. */
    void handleStall(long stalledFor) {
        List<SuspicionTimer> all = new ArrayList<>(timers);
        List<SuspicionTimer> moved = new ArrayList<>();
        timers.clear();
        for (SuspicionTimer timer : all) {
            if (timer.entry.deadline == timer.deadline) {
                moved.add(new SuspicionTimer(
                        timer.fireAt + stalledFor, timer.entry, timer.deadline + stalledFor, timer.finalProbe));
            }
        }
        moved.forEach(timer -> timer.entry.deadline = timer.deadline);
        timers.addAll(moved);
    }

    // ---- gossip ----

    /** Applies a member's claim about another. */
    void applyClaim(Claim claim, Entry sender, long now) {
        Entry entry = view.findByInstanceId(claim.instanceId());
        if (entry == null || !entry.state.isLive() || claim.incarnation() < entry.record.incarnation()) {
            return;
        }
        if (claim.state() == State.LEFT && sender == entry) {
            endInstance(entry, State.LEFT, now);
        } else {
            entry.leaveReported |= claim.state() == State.LEFT && claim.accuserId() == claim.instanceId();
            suspect(entry, claim.incarnation(), claim.accuserId(), now);
        }
    }

    /** Applies a record of another member, received from the sender, or from that member if that is null. */
    void applyRecord(MemberRecord update, Entry sender, long now) {
        Entry entry = view.findByName(update.instance().name());
        if (entry != null && entry.instance().id() == update.instance().id()) {
            applySameInstance(entry, update, sender, now);
        } else if (update.state().isLive()
                && (entry == null ? view.live().size() < MAX_MEMBERS : supersedes(update, entry))) {
            MemberRecord before = entry == null ? null : entry.toRecord();
            Entry added = view.add(update, now);
            environment.memberChanged(before, added.toRecord());
            self.enqueueGossip(update.instance().name(), added.record, now);
            if (update.state() == State.SUSPECT) {
                suspect(
                        added,
                        update.incarnation(),
                        sender == null ? 0 : sender.instance().id(),
                        now);
            }
        }
    }

    /** Whether a record's instance replaces the known instance of the same name. */
    private boolean supersedes(MemberRecord update, Entry known) {
        long generation = update.instance().generation();
        long knownGeneration = known.instance().generation();
        if (generation <= known.lastEndedGeneration) {
            return false;
        }
        if (!known.state.isLive() || update.instance().address().equals(known.address())) {
            return generation > knownGeneration;
        }
        // Of two live instances the older keeps the name, in whatever order they become known.
        environment.count("name_taken_twice");
        return generation < knownGeneration;
    }

    private void applySameInstance(Entry entry, MemberRecord update, Entry sender, long now) {
        if (!entry.state.isLive()) {
            if (update.state().isLive()
                    && entry.state == State.DEAD
                    && now - entry.deathNotifiedAt >= timings.period()) {
                // The sender takes it for live: tell it that it was declared dead, so that it restarts.
                entry.deathNotifiedAt = now;
                Claim claim = new Claim(
                        update.instance().id(),
                        update.incarnation(),
                        State.DEAD,
                        self.self().instance().id());
                self.enqueueGossip(update.instance().name(), claim, now);
                // Relayed by others this claim is only a suspicion, which it would refute while it stays dead
                // here. After a partition a lone member then found its 31 peers one by one, for up to 12 s.
                self.sendTo(entry.address(), Kind.GOSSIP, 0, 0, List.of(claim));
            }
            return;
        }
        if (update.incarnation() < entry.record.incarnation()) {
            return;
        }
        if (update.incarnation() > entry.record.incarnation()) {
            MemberRecord before = entry.toRecord();
            view.updateRecord(entry, update);
            boolean cleared = entry.state == State.SUSPECT
                    && update.state() == State.ALIVE
                    && update.incarnation() > entry.suspectedIncarnation;
            if (cleared) {
                view.setState(entry, State.ALIVE, now);
                environment.count("cleared");
            }
            self.enqueueGossip(update.instance().name(), entry.record, now);
            environment.memberChanged(before, entry.toRecord());
        }
        if (update.state() != State.ALIVE) {
            entry.leaveReported |= update.state() == State.LEFT;
            suspect(
                    entry,
                    update.incarnation(),
                    sender == null ? 0 : sender.instance().id(),
                    now);
        }
    }

    // ---- suspicions ----

    /** Suspects a member that has not answered this one's probes. */
    void unresponsive(Entry entry, long now) {
        suspect(entry, entry.record.incarnation(), self.self().instance().id(), now);
    }

    /** Records an accusation. The more members accuse, the sooner the suspicion times out. */
    private void suspect(Entry entry, int incarnation, long accuserId, long now) {
        boolean newlySuspected = entry.state == State.ALIVE;
        if (newlySuspected) {
            MemberRecord before = entry.toRecord();
            view.setState(entry, State.SUSPECT, now);
            entry.suspectedIncarnation = incarnation;
            entry.suspectedAt = now;
            environment.memberChanged(before, entry.toRecord());
            environment.count("suspected");
        } else if (!entry.leaveReported
                && (entry.accusers.size() > SwimTimings.CONFIRMATIONS || entry.accusers.contains(accuserId))) {
            return;
        }
        entry.suspectedIncarnation = Math.max(entry.suspectedIncarnation, incarnation);
        boolean added = entry.accusers.size() <= SwimTimings.CONFIRMATIONS && entry.addAccuser(accuserId);
        long timeout = entry.leaveReported
                ? LEAVE_PROBE_TIMEOUTS * timings.probeTimeout(0, failureDetector.roundTrip())
                : timings.suspicionTimeout(self.size(), entry.accusers.size() - 1, failureDetector.roundTrip());
        // While this member is slow its own accusation alone takes longer to end (Lifeguard).
        boolean onlyOwnAccusation = entry.accusers.size() == 1
                && entry.accusers.contains(self.self().instance().id());
        int extension = onlyOwnAccusation ? Math.min(MAX_HEALTH_EXTENSION, failureDetector.score()) : 0;
        // A deadline in the past would be taken for a stall of this member.
        long deadline = Math.max(now, entry.suspectedAt + timeout * (1 + extension));
        if (newlySuspected || deadline < entry.deadline) {
            scheduleTimers(entry, deadline, now);
        }
        if (added) {
            self.enqueueGossip(
                    entry.instance().name(),
                    new Claim(
                            entry.instance().id(),
                            entry.suspectedIncarnation,
                            entry.leaveReported ? State.LEFT : State.SUSPECT,
                            accuserId),
                    now);
        }
    }

    private void scheduleTimers(Entry entry, long deadline, long now) {
        entry.deadline = deadline;
        timers.add(new SuspicionTimer(deadline, entry, deadline, false));
        for (int i = 1; i <= FINAL_PROBES; i++) {
            long at = deadline
                    - i
                            * timings.probeTimeout(0, failureDetector.roundTrip())
                            * FINAL_PROBE_SPACING_NUMERATOR
                            / FINAL_PROBE_SPACING_DENOMINATOR;
            timers.add(new SuspicionTimer(Math.max(now, at), entry, deadline, true));
        }
    }

    private void fire(SuspicionTimer timer, long now) {
        Entry entry = timer.entry;
        if (entry.state != State.SUSPECT || entry.deadline != timer.deadline) {
            return;
        }
        if (!timer.finalProbe) {
            endInstance(entry, entry.leaveReported ? State.LEFT : State.DEAD, now);
            return;
        }
        // Probe directly too: this member may have missed a refutation of the others' accusations.
        self.sendWithGossip(
                entry, Kind.PING, self.nextSequence(), entry.instance().id(), List.of());
        for (int i = 0; i < SwimTimings.INDIRECT_PROBE_HELPERS; i++) {
            Entry helper = view.pickRandom(random, each -> each != entry && each.state == State.ALIVE);
            if (helper != null) {
                int sequence = self.nextSequence();
                pendingFinalProbes.put(sequence, entry);
                self.sendWithGossip(
                        helper, Kind.PING_REQ, sequence, entry.instance().id(), List.of());
            }
        }
    }

    /** Prolongs the suspicion of a member that a helper has reached, so that it can refute it. */
    void ackReceived(Message message, long now) {
        Entry probed = pendingFinalProbes.remove(message.seq());
        long minTimeout = timings.minSuspicionTimeout(self.size(), failureDetector.roundTrip());
        if (probed != null
                && probed.instance().id() == message.target()
                && probed.state == State.SUSPECT
                && probed.deadline - probed.suspectedAt < MAX_SUSPICION_FACTOR * minTimeout) {
            scheduleTimers(probed, probed.deadline + minTimeout / 2, now);
        }
    }

    private void endInstance(Entry entry, State finalState, long now) {
        MemberRecord before = entry.toRecord();
        view.setState(entry, finalState, now);
        environment.memberChanged(before, entry.toRecord());
        environment.count(finalState == State.DEAD ? "buried" : "left");
        self.enqueueGossip(
                entry.instance().name(),
                new Claim(
                        entry.instance().id(),
                        entry.record.incarnation(),
                        finalState,
                        finalState == State.LEFT
                                ? entry.instance().id()
                                : self.self().instance().id()),
                now);
        while (view.ended().size() > MAX_ENDED) {
            view.removeEnded(view.ended().get(0));
        }
    }
}
