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
        NOTHING,
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

    /** A scheduler that may hold grants: its last renewal and the grants that may still be in effect. */
    private static final class Holder {
        private final List<IssuedGrant> issuedGrants = new ArrayList<>();
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
            for (IssuedGrant grant : issuedGrants) {
                latest = grant.number() < belowPolicy ? Math.max(latest, grant.until()) : latest;
            }
            return latest;
        }
    }

    private final int term;
    private final Times times;
    /** Grants of former leaders may be in effect until then. */
    private final long formerGrantsEnd;

    private final Map<String, Holder> holders = new TreeMap<>();
    private View view;
    private long confirmedAt;
    /** True once the policy in force has started: no scheduler decides by an earlier one any more. */
    private boolean policyStarted;

    private long policyStartAt;
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
    public void onConfirmed(long submittedAt, View now) {
        if (view == null) {
            policyStarted = now.inForce() == 0;
        } else if (now.inForce() > view.inForce()) {
            previousPolicy = policyStarted ? view.inForce() : -1;
            policyStarted = false;
            switchAt = 0;
        }
        confirmedAt = Math.max(confirmedAt, submittedAt);
        view = now;
        long opened = now.open() == null ? 0 : now.open().number();
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
        Holder holder = holders.computeIfAbsent(processId, name -> new Holder());
        holder.lastRenewalAt = now;
        holder.roundTrip = (renewal.roundTrip() + holder.roundTrip) / 2;
        holder.ready = renewal.ready();
        holder.refused = renewal.refused();
        holder.reasons = renewal.reasons();
        holder.activePolicy = Math.max(holder.activePolicy, renewal.activePolicy());
        if (renewal.grantTerm() == term) {
            holder.issuedGrants.removeIf(grant -> grant.seq() < renewal.grantSeq());
        }
    }

    /** Forgets a scheduler that stopped gracefully: it has announced that it makes no more decisions. */
    public void removeScheduler(String processId) {
        holders.remove(processId);
    }

    /**
     * Issues a grant to a scheduler. Null while no majority has confirmed this leader, or while it is unknown
     * which policy has started.
     */
    public Grant grant(long now, String processId) {
        Holder holder = holders.get(processId);
        if (view == null || holder == null || !policyStarted && previousPolicy < 0) {
            // A grant of a former leader may still be in effect: revoking it would interrupt service for
            // nothing.
            return null;
        }
        long number = view.inForce();
        long until = confirmedAt + times.lease();
        long from = policyStarted ? policyStartAt : 0;
        if (!policyStarted) {
            // Whoever uses the previous policy keeps it until the instant at which it ends for all
            // schedulers.
            boolean continuesPrevious = previousPolicy >= 0 && holder.activePolicy == previousPolicy;
            number = continuesPrevious ? previousPolicy : number;
            until = continuesPrevious && switchAt > 0 ? Math.min(until, switchAt) : 0;
        } else if (!holder.ready.contains(number) || isLate(now, holder)) {
            until = 0;
        }
        until = until > now ? until : 0;
        holder.seq++;
        // The message may be lost: earlier grants stay recorded until the scheduler acknowledges this one.
        holder.issuedGrants.add(new IssuedGrant(holder.seq, number, until));
        compact(holder, now);
        return new Grant(term, holder.seq, now, number, from, until, openNumber);
    }

    /** Drops expired grants, which can have no effect any more. */
    private static void compact(Holder holder, long now) {
        IssuedGrant last = holder.issuedGrants.get(holder.issuedGrants.size() - 1);
        holder.issuedGrants.removeIf(grant -> grant != last && grant.until() <= now);
    }

    /**
     * True if a scheduler is not ready for the open change in time. It gets no lease then, so that the others
     * need not wait for it.
     */
    private boolean isLate(long now, Holder holder) {
        return openNumber > 0 && !holder.ready.contains(openNumber) && now > openedAt + times.prepare();
    }

    private boolean isReachable(long now, Holder holder) {
        return now - holder.lastRenewalAt < times.silence();
    }

    /** Decides what to do now. Call it after every event and at {@link #nextCheckAt}. */
    public Step step(long now) {
        if (view == null || now >= confirmedAt + times.lease()) {
            return new Step(Operation.NOTHING, null, List.of(), false);
        }
        holders.values()
                .removeIf(holder -> now - holder.lastRenewalAt > FORGET_AFTER_LEASES * times.lease()
                        && holder.latestGrantEnd(Long.MAX_VALUE) <= now);
        return policyStarted ? decideOpenChange(now) : startPolicyInForce(now);
    }

    private Step decideOpenChange(long now) {
        if (openNumber == 0 || decisionRequested) {
            return new Step(Operation.NOTHING, null, List.of(), false);
        }
        String name = view.open().name();
        List<String> objections = new ArrayList<>();
        boolean waits = now < formerGrantsEnd;
        for (Map.Entry<String, Holder> entry : holders.entrySet()) {
            Holder holder = entry.getValue();
            if (holder.refused == openNumber) {
                holder.reasons.forEach(reason -> objections.add(entry.getKey() + ": " + reason));
            } else if (!holder.ready.contains(openNumber) && holder.latestGrantEnd(Long.MAX_VALUE) > now) {
                waits = true;
                if (isReachable(now, holder) && now > openedAt + times.prepare()) {
                    objections.add(entry.getKey() + ": not ready within " + times.prepare() / 1000 + " ms");
                }
            }
        }
        if (!objections.isEmpty()) {
            decisionRequested = true;
            return new Step(Operation.ABANDON, name, objections, false);
        }
        if (waits) {
            return new Step(Operation.NOTHING, null, List.of(), false);
        }
        decisionRequested = true;
        return new Step(Operation.APPLY, name, List.of(), false);
    }

    /** Starts the policy in force once no scheduler can still decide by the previous one. */
    private Step startPolicyInForce(long now) {
        long number = view.inForce();
        if (previousPolicy < 0) {
            // The policy was applied under a former leader. A scheduler that already uses it shows that it has
            // started.
            boolean alreadyActive = holders.values().stream().anyMatch(holder -> holder.activePolicy >= number);
            if (!alreadyActive && now < formerGrantsEnd) {
                return new Step(Operation.NOTHING, null, List.of(), false);
            }
            return started(0);
        }
        long latest = holders.values().stream()
                .mapToLong(holder -> holder.latestGrantEnd(number))
                .max()
                .orElse(0);
        if (switchAt > 0 && latest <= switchAt || latest <= now) {
            return started(Math.max(switchAt, now));
        }
        if (switchAt == 0 || now >= switchAt - announceMicros(now) / 2) {
            // An unreachable scheduler can't be told to stop early: the others may use the previous policy as
            // long as it can.
            long unreachableEnd = holders.values().stream()
                    .filter(holder -> !isReachable(now, holder))
                    .mapToLong(holder -> holder.latestGrantEnd(number))
                    .max()
                    .orElse(0);
            switchAt = Math.max(now + announceMicros(now), unreachableEnd);
            return new Step(Operation.NOTHING, null, List.of(), true);
        }
        return new Step(Operation.NOTHING, null, List.of(), false);
    }

    private Step started(long startAt) {
        policyStarted = true;
        policyStartAt = startAt;
        return new Step(Operation.NOTHING, null, List.of(), true);
    }

    /** Time that suffices for a message to each reachable scheduler and its answer. */
    private long announceMicros(long now) {
        return Math.max(
                MIN_ANNOUNCE_MICROS,
                ANNOUNCE_ROUND_TRIPS
                        * holders.values().stream()
                                .filter(holder -> isReachable(now, holder))
                                .mapToLong(holder -> holder.roundTrip)
                                .max()
                                .orElse(0));
    }

    /** When to call {@link #step} next if no event comes before. */
    public long nextCheckAt(long now) {
        if (view == null) {
            return Long.MAX_VALUE;
        }
        if (!policyStarted) {
            return previousPolicy < 0
                    ? Math.max(now + 1000, Math.min(formerGrantsEnd, now + times.silence()))
                    : now + MIN_ANNOUNCE_MICROS / 2;
        }
        if (openNumber == 0 || decisionRequested) {
            return Long.MAX_VALUE;
        }
        long next = Math.max(formerGrantsEnd, openedAt + times.prepare() + 1);
        next = formerGrantsEnd > now ? Math.min(next, formerGrantsEnd) : next;
        for (Holder holder : holders.values()) {
            long ends = holder.latestGrantEnd(Long.MAX_VALUE);
            if (ends > now && !holder.ready.contains(openNumber)) {
                next = Math.min(next, ends);
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
        holders.forEach((name, holder) -> {
            boolean mayUsePrevious = !policyStarted && view != null && holder.latestGrantEnd(view.inForce()) > now;
            boolean notReady = policyStarted
                    && openNumber > 0
                    && !holder.ready.contains(openNumber)
                    && holder.latestGrantEnd(Long.MAX_VALUE) > now;
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
        holders.forEach((name, holder) -> statuses.add(new SchedulerStatus(
                name,
                holder.activePolicy,
                (now - holder.lastRenewalAt) / 1000,
                Math.max(0, holder.latestGrantEnd(Long.MAX_VALUE) - now) / 1000)));
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
