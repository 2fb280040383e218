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
public final class Lead {
    private static final long SLACK = 5_000;
    private static final long LEAST_HOP = 3_000;
    private static final int ROUND_TRIPS = 2;
    private static final int FORGET_AFTER = 10;

    /**
     * The times it works by, in microseconds.
     *
     * @param lease how long a grant lasts behind a majority's confirmation
     * @param quiet a scheduler not heard of for so long is held to be away
     * @param prepare how long a scheduler that is heard may take to make a change ready
     */
    public record Times(long lease, long quiet, long prepare) {}

    /** What is to be asked of the voters. */
    public enum Ask {
        NOTHING,
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
    public record Step(Ask ask, String name, List<String> reasons, boolean tell) {}

    /** A grant that may still arrive, or that was obeyed last. */
    private record Given(long seq, long number, long until) {}

    private static final class Holder {
        private final List<Given> given = new ArrayList<>();
        private long seq;
        private long heardAt;
        private long begun = -1;
        private Set<Long> ready = Set.of();
        private long refused;
        private List<String> reasons = List.of();
        private long roundTrip;

        /** Until when it may decide by a policy before that one. */
        private long mayDecide(long below) {
            long latest = 0;
            for (Given one : given) {
                latest = one.number() < below ? Math.max(latest, one.until()) : latest;
            }
            return latest;
        }
    }

    private final int term;
    private final Times times;
    /** Until then a scheduler may decide by a grant of a former leader. */
    private final long formerUntil;

    private final Map<String, Holder> holders = new TreeMap<>();
    private View view;
    private long confirmedAt;
    /** The policy in force has begun: nobody decides by one before it any more. */
    private boolean begun;

    private long beginAt;
    /** What schedulers still decide by while the policy in force has not begun; -1: not known. */
    private long before = -1;

    private long switchAt;
    private long openedAt;
    private long open;
    private boolean asked;

    /** @param electedAt an instant behind the election */
    public Lead(int term, long electedAt, Times times) {
        this.term = term;
        this.times = times;
        formerUntil = electedAt + (long) (times.lease() * (1 + 2 * Lease.MAX_DRIFT)) + SLACK;
    }

    /** A majority has confirmed this leader, at an instant not before the submission, with that state. */
    public void confirmed(long submittedAt, View now) {
        if (view == null) {
            begun = now.inForce() == 0;
        } else if (now.inForce() > view.inForce()) {
            before = begun ? view.inForce() : -1;
            begun = false;
            switchAt = 0;
        }
        confirmedAt = Math.max(confirmedAt, submittedAt);
        view = now;
        long opened = now.open() == null ? 0 : now.open().number();
        if (opened != open) {
            open = opened;
            openedAt = submittedAt;
            asked = false;
        }
    }

    /** What was asked of the voters was not taken: it is asked again. */
    public void notTaken() {
        asked = false;
    }

    /** A scheduler's word. Its answer is {@link #grant}. */
    public void heard(long now, String who, Renewal said) {
        Holder holder = holders.computeIfAbsent(who, name -> new Holder());
        holder.heardAt = now;
        holder.roundTrip = (said.roundTrip() + holder.roundTrip) / 2;
        holder.ready = said.ready();
        holder.refused = said.refused();
        holder.reasons = said.reasons();
        holder.begun = Math.max(holder.begun, said.begun());
        if (said.heardTerm() == term) {
            holder.given.removeIf(one -> one.seq() < said.heardSeq());
        }
    }

    /** A scheduler ends in order: it has said that it decides no more. */
    public void left(String who) {
        holders.remove(who);
    }

    /**
     * What a scheduler is told now; null while no majority has confirmed this leader, or while it can't
     * tell yet which policy has begun.
     */
    public Grant grant(long now, String who) {
        Holder holder = holders.get(who);
        if (view == null || holder == null || !begun && before < 0) {
            // What a former leader granted still holds: to end it would cost service and gain nothing.
            return null;
        }
        long number = view.inForce();
        long until = confirmedAt + times.lease();
        long from = begun ? beginAt : 0;
        if (!begun) {
            // It goes on by what it decides by, up to the instant at which that ends for all.
            boolean goesOn = before >= 0 && holder.begun == before;
            number = goesOn ? before : number;
            until = goesOn && switchAt > 0 ? Math.min(until, switchAt) : 0;
        } else if (!holder.ready.contains(number) || isLate(now, holder)) {
            until = 0;
        }
        until = until > now ? until : 0;
        holder.seq++;
        // It may be lost: what was granted before stays noted until this one is known to be obeyed.
        holder.given.add(new Given(holder.seq, number, until));
        compact(holder, now);
        return new Grant(term, holder.seq, now, number, from, until, open);
    }

    /** Grants that have run out can't be obeyed any more. */
    private static void compact(Holder holder, long now) {
        Given last = holder.given.get(holder.given.size() - 1);
        holder.given.removeIf(one -> one != last && one.until() <= now);
    }

    /** Heard of, and not ready for an open change in time: it is not waited for at the others' cost. */
    private boolean isLate(long now, Holder holder) {
        return open > 0 && !holder.ready.contains(open) && now > openedAt + times.prepare();
    }

    private boolean isHeard(long now, Holder holder) {
        return now - holder.heardAt < times.quiet();
    }

    /** What is to be done now; to be asked after every event, and at {@link #nextLook}. */
    public Step step(long now) {
        if (view == null || now >= confirmedAt + times.lease()) {
            return new Step(Ask.NOTHING, null, List.of(), false);
        }
        holders.values()
                .removeIf(holder ->
                        now - holder.heardAt > FORGET_AFTER * times.lease() && holder.mayDecide(Long.MAX_VALUE) <= now);
        return begun ? open(now) : begin(now);
    }

    private Step open(long now) {
        if (open == 0 || asked) {
            return new Step(Ask.NOTHING, null, List.of(), false);
        }
        String name = view.open().name();
        List<String> against = new ArrayList<>();
        boolean waits = now < formerUntil;
        for (Map.Entry<String, Holder> entry : holders.entrySet()) {
            Holder holder = entry.getValue();
            if (holder.refused == open) {
                holder.reasons.forEach(reason -> against.add(entry.getKey() + ": " + reason));
            } else if (!holder.ready.contains(open) && holder.mayDecide(Long.MAX_VALUE) > now) {
                waits = true;
                if (isHeard(now, holder) && now > openedAt + times.prepare()) {
                    against.add(entry.getKey() + ": was not ready for it within " + times.prepare() / 1000 + " ms");
                }
            }
        }
        if (!against.isEmpty()) {
            asked = true;
            return new Step(Ask.ABANDON, name, against, false);
        }
        if (waits) {
            return new Step(Ask.NOTHING, null, List.of(), false);
        }
        asked = true;
        return new Step(Ask.APPLY, name, List.of(), false);
    }

    /** The policy in force was decided; nobody begins with it before all others have ended with the last. */
    private Step begin(long now) {
        long number = view.inForce();
        if (before < 0) {
            // A former leader saw it applied. Whoever decides by it already shows that it has begun.
            boolean shown = holders.values().stream().anyMatch(holder -> holder.begun >= number);
            if (!shown && now < formerUntil) {
                return new Step(Ask.NOTHING, null, List.of(), false);
            }
            return begun(0);
        }
        long latest = holders.values().stream()
                .mapToLong(holder -> holder.mayDecide(number))
                .max()
                .orElse(0);
        if (switchAt > 0 && latest <= switchAt || latest <= now) {
            return begun(Math.max(switchAt, now));
        }
        if (switchAt == 0 || now >= switchAt - hop(now) / 2) {
            // Whoever is away can't be told to end sooner than it would by itself: the others go on as long.
            long away = holders.values().stream()
                    .filter(holder -> !isHeard(now, holder))
                    .mapToLong(holder -> holder.mayDecide(number))
                    .max()
                    .orElse(0);
            switchAt = Math.max(now + hop(now), away);
            return new Step(Ask.NOTHING, null, List.of(), true);
        }
        return new Step(Ask.NOTHING, null, List.of(), false);
    }

    private Step begun(long at) {
        begun = true;
        beginAt = at;
        return new Step(Ask.NOTHING, null, List.of(), true);
    }

    /** Long enough for a word and its answer to everybody who is heard. */
    private long hop(long now) {
        return Math.max(
                LEAST_HOP,
                ROUND_TRIPS
                        * holders.values().stream()
                                .filter(holder -> isHeard(now, holder))
                                .mapToLong(holder -> holder.roundTrip)
                                .max()
                                .orElse(0));
    }

    /** When to look again though nothing happens. */
    public long nextLook(long now) {
        if (view == null) {
            return Long.MAX_VALUE;
        }
        if (!begun) {
            return before < 0 ? Math.max(now + 1000, Math.min(formerUntil, now + times.quiet())) : now + LEAST_HOP / 2;
        }
        if (open == 0 || asked) {
            return Long.MAX_VALUE;
        }
        long next = Math.max(formerUntil, openedAt + times.prepare() + 1);
        next = formerUntil > now ? Math.min(next, formerUntil) : next;
        for (Holder holder : holders.values()) {
            long ends = holder.mayDecide(Long.MAX_VALUE);
            if (ends > now && !holder.ready.contains(open)) {
                next = Math.min(next, ends);
            }
        }
        return Math.max(next, now + 1000);
    }

    public int term() {
        return term;
    }

    /** Schedulers that it has heard of and that an open change waits for, or all that it knows of. */
    public List<String> waitsFor(long now) {
        List<String> names = new ArrayList<>();
        holders.forEach((name, holder) -> {
            boolean holdsOld = !begun && view != null && holder.mayDecide(view.inForce()) > now;
            boolean unready =
                    begun && open > 0 && !holder.ready.contains(open) && holder.mayDecide(Long.MAX_VALUE) > now;
            if (holdsOld || unready) {
                names.add(name);
            }
        });
        return names;
    }

    /** All that it has heard of, with the policy each has begun and how long ago it was heard, in ms. */
    public List<Known> known(long now) {
        List<Known> all = new ArrayList<>();
        holders.forEach((name, holder) -> all.add(new Known(
                name,
                holder.begun,
                (now - holder.heardAt) / 1000,
                Math.max(0, holder.mayDecide(Long.MAX_VALUE) - now) / 1000)));
        all.sort(Comparator.comparing(Known::who));
        return all;
    }

    /**
     * A scheduler as its leader knows it.
     *
     * @param heardMs milliseconds since its last word
     * @param leaseMs milliseconds for which it may still decide, by the leader's reckoning
     */
    public record Known(String who, long begun, long heardMs, long leaseMs) {}
}
