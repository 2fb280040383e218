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
 * What one member makes of news of others: which life of a name counts, who is suspected and for how long,
 * and when it buries somebody, which it does by its own suspicion only.
 */
final class Judgement {
    private static final int MOST_MEMBERS = 10_000;
    private static final int MOST_BURIED = 1024;
    private static final int MOST_CALLED = 64;
    /** Before a burial it asks so often, three quarters of a probe apart. */
    private static final int LAST_CALLS = 2;

    private static final int LAST_CALL_PART = 3;
    private static final int LAST_CALL_OF = 4;
    /** So many shortest suspicions one can last whom others go on reaching. */
    private static final int MOST_SUSPICIONS = 8;

    private static final long LEAVING_PERIODS = 2;
    /** A slow member's own suspicions last longer by so many times at most: it may be cut off, and right. */
    private static final int MOST_SLOWED = 3;

    /** Something at an instant, void once the entry has another deadline; a last call goes before an end. */
    private record Alarm(long at, Entry entry, long deadline, boolean lastCall) {}

    private final View view;
    private final Times times;
    private final SplittableRandom random;
    private final Member self;
    private final Probing probing;
    private final Environment out;
    private final PriorityQueue<Alarm> alarms = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    /** Whom others were asked to reach for the last time before a burial, by the number of the asking. */
    private final Map<Integer, Entry> lastCalls = new Recent<>(MOST_CALLED);

    Judgement(View view, Times times, SplittableRandom random, Member self, Probing probing, Environment out) {
        this.view = view;
        this.times = times;
        this.random = random;
        this.self = self;
        this.probing = probing;
        this.out = out;
    }

    long next() {
        return alarms.isEmpty() ? Long.MAX_VALUE : alarms.peek().at;
    }

    void tick(long now) {
        while (!alarms.isEmpty() && alarms.peek().at <= now) {
            ring(alarms.poll(), now);
        }
    }

    /** So long nothing could be heard: suspicions last so much longer. */
    void stoodStill(long behind) {
        List<Alarm> all = new ArrayList<>(alarms);
        List<Alarm> moved = new ArrayList<>();
        alarms.clear();
        for (Alarm alarm : all) {
            if (alarm.entry.deadline == alarm.deadline) {
                moved.add(new Alarm(alarm.at + behind, alarm.entry, alarm.deadline + behind, alarm.lastCall));
            }
        }
        moved.forEach(alarm -> alarm.entry.deadline = alarm.deadline);
        alarms.addAll(moved);
    }

    // ---- news ----

    /** A claim about another, from a member. */
    void claimed(Claim claim, Entry sender, long now) {
        Entry entry = view.life(claim.instanceId());
        if (entry == null || !entry.state.isLive() || claim.incarnation() < entry.record.incarnation()) {
            return;
        }
        if (claim.state() == State.LEFT && sender == entry) {
            end(entry, State.LEFT, now);
        } else {
            entry.leaving |= claim.state() == State.LEFT && claim.accuserId() == claim.instanceId();
            suspect(entry, claim.incarnation(), claim.accuserId(), now);
        }
    }

    /** All that is known of another, from a member, or from itself where the sender is null. */
    void told(MemberRecord news, Entry sender, long now) {
        Entry entry = view.name(news.instance().name());
        if (entry != null && entry.life().id() == news.instance().id()) {
            sameLife(entry, news, sender, now);
        } else if (news.state().isLive()
                && (entry == null ? view.live().size() < MOST_MEMBERS : supersedes(news, entry))) {
            MemberRecord before = entry == null ? null : entry.full();
            Entry added = view.add(news, now);
            out.memberChanged(before, added.full());
            self.spread(news.instance().name(), added.record, now);
            if (news.state() == State.SUSPECT) {
                suspect(
                        added,
                        news.incarnation(),
                        sender == null ? 0 : sender.life().id(),
                        now);
            }
        }
    }

    /** Which of two lives of one name counts. */
    private boolean supersedes(MemberRecord news, Entry known) {
        long generation = news.instance().generation();
        long former = known.life().generation();
        if (generation <= known.buried) {
            return false;
        }
        if (!known.state.isLive() || news.instance().address().equals(known.at())) {
            return generation > former;
        }
        // Two that live: the elder keeps the name, whoever hears of them, in whatever order.
        out.count("name_taken_twice");
        return generation < former;
    }

    private void sameLife(Entry entry, MemberRecord news, Entry sender, long now) {
        if (!entry.state.isLive()) {
            if (news.state().isLive() && entry.state == State.DEAD && now - entry.toldAt >= times.period()) {
                // Somebody holds it live: it is to hear that it was buried, and to begin anew.
                entry.toldAt = now;
                Claim claim = new Claim(
                        news.instance().id(),
                        news.incarnation(),
                        State.DEAD,
                        self.self().instance().id());
                self.spread(news.instance().name(), claim, now);
                // From others it is a suspicion only, which it would refute and stay buried here: behind a
                // cut one that was alone found its 31 others one by one, for up to 12 s.
                self.reply(entry.at(), Kind.GOSSIP, 0, 0, List.of(claim));
            }
            return;
        }
        if (news.incarnation() < entry.record.incarnation()) {
            return;
        }
        if (news.incarnation() > entry.record.incarnation()) {
            MemberRecord before = entry.full();
            view.heard(entry, news);
            boolean cleared =
                    entry.state == State.SUSPECT && news.state() == State.ALIVE && news.incarnation() > entry.suspected;
            if (cleared) {
                view.turn(entry, State.ALIVE, now);
                out.count("cleared");
            }
            self.spread(news.instance().name(), entry.record, now);
            out.memberChanged(before, entry.full());
        }
        if (news.state() != State.ALIVE) {
            entry.leaving |= news.state() == State.LEFT;
            suspect(
                    entry,
                    news.incarnation(),
                    sender == null ? 0 : sender.life().id(),
                    now);
        }
    }

    // ---- suspicions ----

    /** This member has found it silent. */
    void silent(Entry entry, long now) {
        suspect(entry, entry.record.incarnation(), self.self().instance().id(), now);
    }

    /** That one found it silent; by enough of those, or in time, it is buried here. */
    private void suspect(Entry entry, int incarnation, long by, long now) {
        boolean first = entry.state == State.ALIVE;
        if (first) {
            MemberRecord before = entry.full();
            view.turn(entry, State.SUSPECT, now);
            entry.suspected = incarnation;
            entry.suspectedAt = now;
            out.memberChanged(before, entry.full());
            out.count("suspected");
        } else if (!entry.leaving && (entry.by.size() > Times.CONFIRMATIONS || entry.by.contains(by))) {
            return;
        }
        entry.suspected = Math.max(entry.suspected, incarnation);
        boolean added = entry.by.size() <= Times.CONFIRMATIONS && entry.accused(by);
        long span = entry.leaving
                ? LEAVING_PERIODS * times.probeTimeout(0, probing.roundTrip())
                : times.suspicionTimeout(self.size(), entry.by.size() - 1, probing.roundTrip());
        // One that is slow itself blames late, unless others have found the same.
        boolean alone =
                entry.by.size() == 1 && entry.by.contains(self.self().instance().id());
        // Never behind the present: that would look as if this member had stood still.
        int slowed = alone ? Math.min(MOST_SLOWED, probing.score()) : 0;
        long deadline = Math.max(now, entry.suspectedAt + span * (1 + slowed));
        if (first || deadline < entry.deadline) {
            alarm(entry, deadline, now);
        }
        if (added) {
            self.spread(
                    entry.life().name(),
                    new Claim(entry.life().id(), entry.suspected, entry.leaving ? State.LEFT : State.SUSPECT, by),
                    now);
        }
    }

    private void alarm(Entry entry, long deadline, long now) {
        entry.deadline = deadline;
        alarms.add(new Alarm(deadline, entry, deadline, false));
        for (int i = 1; i <= LAST_CALLS; i++) {
            long at = deadline - i * times.probeTimeout(0, probing.roundTrip()) * LAST_CALL_PART / LAST_CALL_OF;
            alarms.add(new Alarm(Math.max(now, at), entry, deadline, true));
        }
    }

    private void ring(Alarm alarm, long now) {
        Entry entry = alarm.entry;
        if (entry.state != State.SUSPECT || entry.deadline != alarm.deadline) {
            return;
        }
        if (!alarm.lastCall) {
            end(entry, entry.leaving ? State.LEFT : State.DEAD, now);
            return;
        }
        // News of it may have passed this member by: it asks itself, before it buries on others' word.
        self.send(entry, Kind.PING, self.number(), entry.life().id(), List.of());
        for (int i = 0; i < Times.HELPERS; i++) {
            Entry helper = view.any(random, each -> each != entry && each.state == State.ALIVE);
            if (helper != null) {
                int number = self.number();
                lastCalls.put(number, entry);
                self.send(helper, Kind.PING_REQ, number, entry.life().id(), List.of());
            }
        }
    }

    /** Another may have reached one that was called for the last time: it gets longer to say so itself. */
    void acked(Message message, long now) {
        Entry called = lastCalls.remove(message.seq());
        long least = times.minSuspicionTimeout(self.size(), probing.roundTrip());
        if (called != null
                && called.life().id() == message.target()
                && called.state == State.SUSPECT
                && called.deadline - called.suspectedAt < MOST_SUSPICIONS * least) {
            alarm(called, called.deadline + least / 2, now);
        }
    }

    private void end(Entry entry, State how, long now) {
        MemberRecord before = entry.full();
        view.turn(entry, how, now);
        out.memberChanged(before, entry.full());
        out.count(how == State.DEAD ? "buried" : "left");
        self.spread(
                entry.life().name(),
                new Claim(
                        entry.life().id(),
                        entry.record.incarnation(),
                        how,
                        how == State.LEFT
                                ? entry.life().id()
                                : self.self().instance().id()),
                now);
        while (view.buried().size() > MOST_BURIED) {
            view.forget(view.buried().get(0));
        }
    }
}
