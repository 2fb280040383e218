package laneflow.membership.decision;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import laneflow.membership.decision.Message.Kind;
import laneflow.membership.decision.View.Entry;

/**
 * One member's probes: each of the others in turn, once more and by others where no answer comes, and those
 * that it makes for others. From how they go it learns how slow itself and the network are.
 */
final class Probing {
    private static final int MOST_FAVOURS = 64;
    private static final int MOST_REMEMBERED = 16;
    private static final long MOST_ROUND_TRIP = 4_000_000;
    private static final int SMOOTHING = 4;

    /** Told of a live member that nobody has reached. */
    interface Silent {
        void silent(Entry entry, long now);
    }

    /** One's own probe under way. */
    private static final class Probe {
        private Entry target;
        private long id;
        private int seq;
        private long againAt;
        private boolean again;
        private long othersAt;
        private boolean asked;
        private int nacks;
        private boolean done;
    }

    /** Another's probe that one makes for it. */
    private record Favour(InetSocketAddress to, int seq, long target, long until) {
    }

    private final View view;
    private final Times times;
    private final SplittableRandom random;
    private final Member self;
    private final Silent silent;
    private final List<Entry> order = new ArrayList<>();
    private final Map<Integer, Favour> favours = new LinkedHashMap<>();
    /** When the last own probes went out, by their numbers: late answers tell how long they take. */
    private final Map<Integer, Long> sentAt = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Long> eldest) {
            return size() > MOST_REMEMBERED;
        }
    };
    private int turn;
    private Probe probe;
    private long nextPeriod;
    private long roundTrip;
    private int score;

    Probing(View view, Times times, SplittableRandom random, Member self, Silent silent, long now) {
        this.view = view;
        this.times = times;
        this.random = random;
        this.self = self;
        this.silent = silent;
        // All are started at one moment where a fleet is: they must not stay in step.
        nextPeriod = now + 1 + random.nextLong(times.period());
    }

    /** How slow this member has found itself to be, 0 to 8. */
    int score() {
        return score;
    }

    void slower(int by) {
        score = Math.max(0, Math.min(Times.MOST_SCORE, score + by));
    }

    /** Microseconds that answers have taken of late. */
    long roundTrip() {
        return roundTrip;
    }

    long next() {
        long next = nextPeriod;
        if (waits()) {
            next = Math.min(next, probe.again ? probe.othersAt : probe.againAt);
        }
        if (!favours.isEmpty()) {
            next = Math.min(next, favours.values().iterator().next().until);
        }
        return next;
    }

    private boolean waits() {
        return probe != null && !probe.done && !probe.asked;
    }

    /** Does what is due; true if a period has begun. */
    boolean tick(long now) {
        favours(now);
        if (waits() && !probe.again && now >= probe.againAt) {
            // One datagram that is lost is no reason to bother others.
            probe.again = true;
            self.send(probe.target, Kind.PING, probe.seq, probe.id, null);
        }
        if (waits() && now >= probe.othersAt) {
            askOthers();
        }
        if (now < nextPeriod) {
            return false;
        }
        period(now);
        return true;
    }

    /** What others have answered meanwhile waits to be read: nobody is blamed for that time. */
    void stoodStill(long now) {
        slower(1);
        probe = null;
        nextPeriod = now + times.period();
    }

    private void period(long now) {
        if (probe != null && !probe.done) {
            failed(now);
        }
        nextPeriod = now + times.probe(score, roundTrip);
        probe = null;
        Entry target = nextInTurn();
        if (target == null) {
            return;
        }
        probe = new Probe();
        probe.target = target;
        probe.id = target.life().id();
        probe.seq = self.number();
        probe.othersAt = now + times.direct(score, roundTrip);
        probe.againAt = now + times.direct(score, roundTrip) / 2;
        sentAt.put(probe.seq, now);
        self.send(target, Kind.PING, probe.seq, probe.id, null);
    }

    /** Each once in a round, in another order each time: nobody is passed over for long. */
    private Entry nextInTurn() {
        for (int tries = 0; tries < 2; tries++) {
            while (turn < order.size()) {
                Entry one = order.get(turn++);
                if (one.state.isLive() && view.life(one.life().id()) == one) {
                    return one;
                }
            }
            order.clear();
            order.addAll(view.live());
            for (int i = order.size() - 1; i > 0; i--) {
                int k = random.nextInt(i + 1);
                Entry swap = order.set(i, order.get(k));
                order.set(k, swap);
            }
            turn = 0;
        }
        return null;
    }

    private void askOthers() {
        probe.asked = true;
        List<Entry> helpers = new ArrayList<>();
        for (int i = 0; i < Times.HELPERS; i++) {
            Entry one = view.any(random, each -> each != probe.target && each.state == State.ALIVE
                    && !helpers.contains(each));
            if (one != null) {
                helpers.add(one);
                self.send(one, Kind.PING_REQ, probe.seq, probe.id, null);
            }
        }
    }

    private void failed(long now) {
        // Whoever hears no word from any helper either is the one that is cut off, or slow. Some helpers may
        // be as dead as whom they were asked to probe.
        slower(probe.nacks == 0 ? 1 : 0);
        Entry target = probe.target;
        if (target.state.isLive() && view.life(probe.id) == target) {
            silent.silent(target, now);
        }
    }

    // ---- answers ----

    /** An answer; true if it was to this member's own probe. */
    boolean acked(Message message, Entry sender, long now) {
        Long sent = sentAt.remove(message.seq());
        if (sent != null) {
            // What is longer counts at once, what is shorter by and by.
            long took = Math.min(now - sent, MOST_ROUND_TRIP);
            roundTrip = took > roundTrip ? took : roundTrip + (took - roundTrip) / SMOOTHING;
        }
        if (probe != null && probe.seq == message.seq() && probe.id == message.target() && !probe.done) {
            probe.done = true;
            slower(-1);
            return true;
        }
        Favour favour = favours.get(message.seq());
        if (favour != null && favour.target == sender.life().id()) {
            favours.remove(message.seq());
            self.reply(favour.to, Kind.ACK, favour.seq, favour.target);
        }
        return false;
    }

    /** A helper has not reached whom it was asked to. */
    void nacked(int seq) {
        if (probe != null && probe.seq == seq) {
            probe.nacks++;
        }
    }

    // ---- for others ----

    /** Probes a member in another's place. */
    void favour(Entry asker, Message message, long now) {
        Entry target = view.life(message.target());
        if (target == null || !target.state.isLive()) {
            self.send(asker, Kind.NACK, message.seq(), message.target(), null);
            return;
        }
        int number = self.number();
        favours.put(number, new Favour(asker.at(), message.seq(), message.target(),
                now + times.direct(0, roundTrip)));
        self.send(target, Kind.PING, number, message.target(), null);
        favours(now);
    }

    private void favours(long now) {
        while (!favours.isEmpty()) {
            Map.Entry<Integer, Favour> first = favours.entrySet().iterator().next();
            Favour favour = first.getValue();
            if (favour.until > now && favours.size() <= MOST_FAVOURS) {
                return;
            }
            favours.remove(first.getKey());
            self.reply(favour.to, Kind.NACK, favour.seq, favour.target);
        }
    }
}
