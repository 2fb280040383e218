package laneflow.policy.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import laneflow.policy.decision.Ledger.View;

/**
 * The schedulers as the leader of one term knows them, and what it decides from that: which policy each
 * scheduler is granted and until when, when an open change is applied or abandoned, and when schedulers start
 * to use an applied one. The leader acts only while a majority's last confirmation is less than a lease old,
 * and no grant lasts longer than one lease after that confirmation, so that no other leader can have been
 * elected within it.
 *
 * <p>A policy is never granted while any scheduler may still hold a grant for the previous one. For each
 * scheduler this class keeps all grants that may still arrive; for grants of former leaders it assumes the
 * longest time that they can last. No I/O and no clock of its own; instants are microseconds of this
 * process's clock.
 */
public final class LeaderState {
    private static final long FORMER_GRANT_MARGIN_MICROS = 5_000;
    private static final long MIN_ANNOUNCE_MICROS = 3_000;
    private static final int ANNOUNCE_ROUND_TRIPS = 2;
    private static final int FORGET_AFTER_LEASES = 10;

    /**
     * Durations in microseconds.
     *
     * @param lease how long a grant lasts after a majority's confirmation
     * @param silence a scheduler whose last renewal is older than this counts as unreachable
     * @param prepare how long a reachable scheduler may take to make a change ready
     */
    public record Times(long lease, long silence, long prepare) {}

    /** The operation to replicate to the voters. */
    public enum Operation {
        NONE,
        APPLY,
        ABANDON
    }

    /**
     * What the leader has to do now.
     *
     * @param operation the operation to replicate
     * @param name the change that it concerns
     * @param reasons why that change is abandoned
     * @param broadcast true if all schedulers are to be sent a grant now
     */
    public record Step(Operation operation, String name, List<String> reasons, boolean broadcast) {}

    /** A grant that may still arrive, or the last one that the scheduler acknowledged. */
    private record IssuedGrant(long seq, long number, long until) {}

    private static final class SchedulerState {
        private final List<IssuedGrant> grants = new ArrayList<>();
        private long seq;
        private long lastRenewalAt;
        private long activePolicy = -1;
        private Set<Long> ready = Set.of();
        private long refused;
        private List<String> reasons = List.of();
        private long roundTrip;

        /** Latest end of a grant for a policy with a lower number. */
        private long latestGrantEnd(long belowPolicy) {
            long latest = 0;
            for (IssuedGrant grant : grants) {
                latest = grant.number() < belowPolicy ? Math.max(latest, grant.until()) : latest;
            }
            return latest;
        }
    }

    private final int term;
    private final Times times;
    /** Grants of former leaders may be in effect until then. */
    private final long formerGrantsEnd;

    private final Map<String, SchedulerState> schedulers = new TreeMap<>();
    private View view;
    private long confirmedAt;
    /** True once the policy in force has started: no scheduler decides by an earlier one any more. */
    private boolean inForceStarted;

    private long startAt;
    /** The policy that schedulers use until the one in force starts; -1 if unknown. */
    private long previousPolicy = -1;

    private long switchAt;
    private long openedAt;
    private long openNumber;
    private boolean decisionRequested;

    /** @param electedAt an instant after the election */
    public LeaderState(int term, long electedAt, Times times) {
        this.term = term;
        this.times = times;
        formerGrantsEnd = electedAt + (long) (times.lease() * (1 + 2 * Lease.MAX_DRIFT)) + FORMER_GRANT_MARGIN_MICROS;
    }

    /**
     * Records that a majority confirmed this leader, at or after {@code submittedAt}, with the given state.
     */
    public void onConfirmed(long submittedAt, View confirmedView) {
        if (view == null) {
            inForceStarted = confirmedView.inForce() == 0;
        } else if (confirmedView.inForce() > view.inForce()) {
            previousPolicy = inForceStarted ? view.inForce() : -1;
            inForceStarted = false;
            switchAt = 0;
        }
        confirmedAt = Math.max(confirmedAt, submittedAt);
        view = confirmedView;
        long opened = confirmedView.open() == null ? 0 : confirmedView.open().number();
        if (opened != openNumber) {
            openNumber = opened;
            openedAt = submittedAt;
            decisionRequested = false;
        }
    }

    /** Records that the requested operation was not replicated: it is requested again. */
    public void onDecisionFailed() {
        decisionRequested = false;
    }

    /** Records a scheduler's renewal; {@link #grant} makes the answer to it. */
    public void onRenewal(long now, String processId, Renewal renewal) {
        SchedulerState scheduler = schedulers.computeIfAbsent(processId, name -> new SchedulerState());
        scheduler.lastRenewalAt = now;
        scheduler.roundTrip = (renewal.roundTrip() + scheduler.roundTrip) / 2;
        scheduler.ready = renewal.ready();
        scheduler.refused = renewal.refused();
        scheduler.reasons = renewal.reasons();
        scheduler.activePolicy = Math.max(scheduler.activePolicy, renewal.activePolicy());
        if (renewal.grantTerm() == term) {
            scheduler.grants.removeIf(grant -> grant.seq() < renewal.grantSeq());
        }
    }

    /** Forgets a scheduler that stopped gracefully: it has announced that it makes no more decisions. */
    public void removeScheduler(String processId) {
        schedulers.remove(processId);
    }

    /**
     * Issues a grant to a scheduler. Null while no majority has confirmed this leader, or while it is unknown
     * which policy has started.
     */
    public Grant grant(long now, String processId) {
        SchedulerState scheduler = schedulers.get(processId);
        if (view == null || scheduler == null || !inForceStarted && previousPolicy < 0) {
            // A grant of a former leader may still be in effect: revoking it would interrupt service for
            // nothing.
            return null;
        }
        long number = view.inForce();
        long until = confirmedAt + times.lease();
        long from = inForceStarted ? startAt : 0;
        if (!inForceStarted) {
            // Whoever uses the previous policy keeps it until the instant at which it ends for all
            // schedulers.
            boolean continuesPrevious = previousPolicy >= 0 && scheduler.activePolicy == previousPolicy;
            number = continuesPrevious ? previousPolicy : number;
            until = continuesPrevious && switchAt > 0 ? Math.min(until, switchAt) : 0;
        } else if (!scheduler.ready.contains(number) || isOverdue(now, scheduler)) {
            until = 0;
        }
        until = until > now ? until : 0;
        scheduler.seq++;
        // The message may be lost: earlier grants stay recorded until the scheduler acknowledges this one.
        scheduler.grants.add(new IssuedGrant(scheduler.seq, number, until));
        dropExpiredGrants(scheduler, now);
        return new Grant(term, scheduler.seq, now, number, from, until, openNumber);
    }

    /** Drops expired grants, which can have no effect any more. */
    private static void dropExpiredGrants(SchedulerState scheduler, long now) {
        IssuedGrant last = scheduler.grants.get(scheduler.grants.size() - 1);
        scheduler.grants.removeIf(grant -> grant != last && grant.until() <= now);
    }

    /**
     * True if a scheduler is not ready for the open change in time. It gets no lease then, so that the others
     * need not wait for it.
     */
    private boolean isOverdue(long now, SchedulerState scheduler) {
        return openNumber > 0 && !scheduler.ready.contains(openNumber) && now > openedAt + times.prepare();
    }

    private boolean isReachable(long now, SchedulerState scheduler) {
        return now - scheduler.lastRenewalAt < times.silence();
    }

    /** Decides what to do now. Call it after every event and at {@link #nextCheckAt}. */
    public Step step(long now) {
        if (view == null || now >= confirmedAt + times.lease()) {
            return new Step(Operation.NONE, null, List.of(), false);
        }
        schedulers
                .values()
                .removeIf(scheduler -> now - scheduler.lastRenewalAt > FORGET_AFTER_LEASES * times.lease()
                        && scheduler.latestGrantEnd(Long.MAX_VALUE) <= now);
        return inForceStarted ? decideOpenChange(now) : startInForce(now);
    }

    private Step decideOpenChange(long now) {
        if (openNumber == 0 || decisionRequested) {
            return new Step(Operation.NONE, null, List.of(), false);
        }
        String name = view.open().name();
        List<String> objections = new ArrayList<>();
        boolean mustWait = now < formerGrantsEnd;
        for (Map.Entry<String, SchedulerState> entry : schedulers.entrySet()) {
            SchedulerState scheduler = entry.getValue();
            if (scheduler.refused == openNumber) {
                scheduler.reasons.forEach(reason -> objections.add(entry.getKey() + ": " + reason));
            } else if (!scheduler.ready.contains(openNumber) && scheduler.latestGrantEnd(Long.MAX_VALUE) > now) {
                mustWait = true;
                if (isReachable(now, scheduler) && now > openedAt + times.prepare()) {
                    objections.add(entry.getKey() + ": not ready within " + times.prepare() / 1000 + " ms");
                }
            }
        }
        if (!objections.isEmpty()) {
            decisionRequested = true;
            return new Step(Operation.ABANDON, name, objections, false);
        }
        if (mustWait) {
            return new Step(Operation.NONE, null, List.of(), false);
        }
        decisionRequested = true;
        return new Step(Operation.APPLY, name, List.of(), false);
    }

    /** Starts the policy in force once no scheduler can still decide by the previous one. */
    private Step startInForce(long now) {
        long number = view.inForce();
        if (previousPolicy < 0) {
            // It was applied under a former leader. A scheduler that already uses it shows that it has
            // started.
            boolean alreadyActive =
                    schedulers.values().stream().anyMatch(scheduler -> scheduler.activePolicy >= number);
            if (!alreadyActive && now < formerGrantsEnd) {
                return new Step(Operation.NONE, null, List.of(), false);
            }
            return started(0);
        }
        long latestEnd = schedulers.values().stream()
                .mapToLong(scheduler -> scheduler.latestGrantEnd(number))
                .max()
                .orElse(0);
        if (switchAt > 0 && latestEnd <= switchAt || latestEnd <= now) {
            return started(Math.max(switchAt, now));
        }
        if (switchAt == 0 || now >= switchAt - announceMicros(now) / 2) {
            // An unreachable scheduler can't be told to stop early: the others may use the previous policy as
            // long as it can.
            long unreachableEnd = schedulers.values().stream()
                    .filter(scheduler -> !isReachable(now, scheduler))
                    .mapToLong(scheduler -> scheduler.latestGrantEnd(number))
                    .max()
                    .orElse(0);
            switchAt = Math.max(now + announceMicros(now), unreachableEnd);
            return new Step(Operation.NONE, null, List.of(), true);
        }
        return new Step(Operation.NONE, null, List.of(), false);
    }

    private Step started(long at) {
        inForceStarted = true;
        startAt = at;
        return new Step(Operation.NONE, null, List.of(), true);
    }

    /** Time that suffices for a message to each reachable scheduler and its answer. */
    private long announceMicros(long now) {
        return Math.max(
                MIN_ANNOUNCE_MICROS,
                ANNOUNCE_ROUND_TRIPS
                        * schedulers.values().stream()
                                .filter(scheduler -> isReachable(now, scheduler))
                                .mapToLong(scheduler -> scheduler.roundTrip)
                                .max()
                                .orElse(0));
    }

    /** When to call {@link #step} next if no event comes before. */
    public long nextCheckAt(long now) {
        if (view == null) {
            return Long.MAX_VALUE;
        }
        if (!inForceStarted) {
            return previousPolicy < 0
                    ? Math.max(now + 1000, Math.min(formerGrantsEnd, now + times.silence()))
                    : now + MIN_ANNOUNCE_MICROS / 2;
        }
        if (openNumber == 0 || decisionRequested) {
            return Long.MAX_VALUE;
        }
        long next = Math.max(formerGrantsEnd, openedAt + times.prepare() + 1);
        next = formerGrantsEnd > now ? Math.min(next, formerGrantsEnd) : next;
        for (SchedulerState scheduler : schedulers.values()) {
            long grantEnd = scheduler.latestGrantEnd(Long.MAX_VALUE);
            if (grantEnd > now && !scheduler.ready.contains(openNumber)) {
                next = Math.min(next, grantEnd);
            }
        }
        return Math.max(next, now + 1000);
    }

    public int term() {
        return term;
    }

    /**
     * Schedulers that hold up the current change: those not ready for it, or that may still use the previous
     * policy.
     */
    public List<String> awaitedSchedulers(long now) {
        List<String> names = new ArrayList<>();
        schedulers.forEach((name, scheduler) -> {
            boolean mayUsePrevious = !inForceStarted && view != null && scheduler.latestGrantEnd(view.inForce()) > now;
            boolean notReady = inForceStarted
                    && openNumber > 0
                    && !scheduler.ready.contains(openNumber)
                    && scheduler.latestGrantEnd(Long.MAX_VALUE) > now;
            if (mayUsePrevious || notReady) {
                names.add(name);
            }
        });
        return names;
    }

    /**
     * All known schedulers with the policy that each uses, the age of its last renewal and its remaining
     * lease.
     */
    public List<SchedulerStatus> schedulerStatuses(long now) {
        List<SchedulerStatus> statuses = new ArrayList<>();
        schedulers.forEach((name, scheduler) -> statuses.add(new SchedulerStatus(
                name,
                scheduler.activePolicy,
                (now - scheduler.lastRenewalAt) / 1000,
                Math.max(0, scheduler.latestGrantEnd(Long.MAX_VALUE) - now) / 1000)));
        statuses.sort(Comparator.comparing(SchedulerStatus::processId));
        return statuses;
    }

    /**
     * A scheduler as the leader knows it.
     *
     * @param lastRenewalMs milliseconds since its last renewal
     * @param leaseMs milliseconds for which it may still decide, by the leader's clock
     */
    public record SchedulerStatus(String processId, long activePolicy, long lastRenewalMs, long leaseMs) {}
}
