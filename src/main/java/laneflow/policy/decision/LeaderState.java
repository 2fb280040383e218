package laneflow.policy.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import laneflow.policy.decision.Ledger.View;

/**
 * What the leader of one term knows of the schedulers, and what follows: whom it grants which policy until
 * when, when an open change is applied or abandoned, and when the schedulers may begin with one that was
 * applied. It speaks only for as long as a majority has confirmed it, and grants no longer than a lease
 * behind that confirmation: then no other leader can have been there before it.
 *
 * <p>It never grants a policy while any scheduler may still hold leave to decide by the one before: for
 * each scheduler it keeps every grant that may still arrive, and for those that former leaders may have
 * granted to, the time that such a grant can last. No I/O, no clock of its own; instants are this process's
 * microseconds.
 */
public final class LeaderState {
    private static final long FORMER_GRANT_MARGIN_MICROS = 5_000;
    private static final long MIN_ANNOUNCE_MICROS = 3_000;
    private static final int ANNOUNCE_ROUND_TRIPS = 2;
    private static final int FORGET_AFTER_LEASES = 10;

    /**
     * The times it works by, in microseconds.
     *
     * @param lease how long a grant lasts behind a majority's confirmation
     * @param quiet a scheduler not heard of for so long is held to be away
     * @param prepare how long a scheduler that is heard may take to make a change ready
     */
    public record Times(long lease, long silence, long prepare) {}

    /** What is to be asked of the voters. */
    public enum Operation {
        NONE,
        APPLY,
        ABANDON
    }

    /**
     * What is to be done now.
     *
     * @param ask what is to be put to the voters
     * @param name of the change
     * @param reasons why it is abandoned
     * @param tell true if all schedulers are to be told how things stand
     */
    public record Step(Operation operation, String name, List<String> reasons, boolean broadcast) {}

    /** A grant that may still arrive, or that was obeyed last. */
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

        /** Until when it may decide by a policy before that one. */
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
    /** Until then a scheduler may decide by a grant of a former leader. */
    private final long formerGrantsEnd;

    private final Map<String, SchedulerState> schedulers = new TreeMap<>();
    private View view;
    private long confirmedAt;
    /** The policy in force has begun: nobody decides by one before it any more. */
    private boolean inForceStarted;

    private long startAt;
    /** What schedulers still decide by while the policy in force has not begun; -1: not known. */
    private long previousPolicy = -1;

    private long switchAt;
    private long openedAt;
    private long openNumber;
    private boolean decisionRequested;

    /** @param electedAt an instant behind the election */
    public LeaderState(int term, long electedAt, Times times) {
        this.term = term;
        this.times = times;
        formerGrantsEnd = electedAt + (long) (times.lease() * (1 + 2 * Lease.MAX_DRIFT)) + FORMER_GRANT_MARGIN_MICROS;
    }

    /** A majority has confirmed this leader, at an instant not before the submission, with that state. */
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

    /** What was asked of the voters was not taken: it is asked again. */
    public void onDecisionFailed() {
        decisionRequested = false;
    }

    /** A scheduler's word. Its answer is {@link #grant}. */
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

    /** A scheduler ends in order: it has said that it decides no more. */
    public void removeScheduler(String processId) {
        schedulers.remove(processId);
    }

    /**
     * What a scheduler is told now; null while no majority has confirmed this leader, or while it can't
     * tell yet which policy has begun.
     */
    public Grant grant(long now, String processId) {
        SchedulerState scheduler = schedulers.get(processId);
        if (view == null || scheduler == null || !inForceStarted && previousPolicy < 0) {
            // What a former leader granted still holds: to end it would cost service and gain nothing.
            return null;
        }
        long number = view.inForce();
        long until = confirmedAt + times.lease();
        long from = inForceStarted ? startAt : 0;
        if (!inForceStarted) {
            // It goes on by what it decides by, up to the instant at which that ends for all.
            boolean continuesPrevious = previousPolicy >= 0 && scheduler.activePolicy == previousPolicy;
            number = continuesPrevious ? previousPolicy : number;
            until = continuesPrevious && switchAt > 0 ? Math.min(until, switchAt) : 0;
        } else if (!scheduler.ready.contains(number) || isOverdue(now, scheduler)) {
            until = 0;
        }
        until = until > now ? until : 0;
        scheduler.seq++;
        // It may be lost: what was granted before stays noted until this one is known to be obeyed.
        scheduler.grants.add(new IssuedGrant(scheduler.seq, number, until));
        dropExpiredGrants(scheduler, now);
        return new Grant(term, scheduler.seq, now, number, from, until, openNumber);
    }

    /** Grants that have run out can't be obeyed any more. */
    private static void dropExpiredGrants(SchedulerState scheduler, long now) {
        IssuedGrant last = scheduler.grants.get(scheduler.grants.size() - 1);
        scheduler.grants.removeIf(grant -> grant != last && grant.until() <= now);
    }

    /** Heard of, and not ready for an open change in time: it is not waited for at the others' cost. */
    private boolean isOverdue(long now, SchedulerState scheduler) {
        return openNumber > 0 && !scheduler.ready.contains(openNumber) && now > openedAt + times.prepare();
    }

    private boolean isReachable(long now, SchedulerState scheduler) {
        return now - scheduler.lastRenewalAt < times.silence();
    }

    /** What is to be done now; to be asked after every event, and at {@link #nextLook}. */
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
                    objections.add(entry.getKey() + ": was not ready for it within " + times.prepare() / 1000 + " ms");
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

    /** The policy in force was decided; nobody begins with it before all others have ended with the last. */
    private Step startInForce(long now) {
        long number = view.inForce();
        if (previousPolicy < 0) {
            // A former leader saw it applied. Whoever decides by it already shows that it has begun.
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
            // Whoever is away can't be told to end sooner than it would by itself: the others go on as long.
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

    /** Long enough for a word and its answer to everybody who is heard. */
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

    /** When to look again though nothing happens. */
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

    /** Schedulers that it has heard of and that an open change waits for, or all that it knows of. */
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

    /** All that it has heard of, with the policy each has begun and how long ago it was heard, in ms. */
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
     * A scheduler as its leader knows it.
     *
     * @param heardMs milliseconds since its last word
     * @param leaseMs milliseconds for which it may still decide, by the leader's reckoning
     */
    public record SchedulerStatus(String processId, long activePolicy, long lastRenewalMs, long leaseMs) {}
}
