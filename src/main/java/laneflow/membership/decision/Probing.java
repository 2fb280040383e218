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
    private static final int MOST_REMEMBERED = 64;
    /** So many probes more a period for each step that it is slower. */
    private static final int PROBES_MORE = 2;

    private static final long MOST_ROUND_TRIP = 4_000_000;
    private static final int SMOOTHING = 4;

    /** Told of a live member that nobody has reached. */
    interface Silent {
        void silent(Entry entry, long now);
    }

    /** One's own probe under way. */
    private static final class Probe {
        private final Entry target;
        private final long id;
        private final int seq;
        private int nacks;
        private boolean done;

        private Probe(Entry target, int seq) {
            this.target = target;
            this.seq = seq;
            id = target.life().id();
        }
    }

    /** Another's probe that one makes for it. */
    private record Favour(InetSocketAddress to, int seq, long target, long until) {}

    private final View view;
    private final Times times;
    private final SplittableRandom random;
    private final Member self;
    private final Silent silent;
    private final List<Entry> order = new ArrayList<>();
    private final Map<Integer, Favour> favours = new LinkedHashMap<>();
    /** When the last own probes went out, by their numbers: late answers tell how long they take. */
    private final Map<Integer, Long> sentAt = new Recent<>(MOST_REMEMBERED);

    private int turn;
    /** Those of this period; more than one where others have failed. */
    private final List<Probe> probes = new ArrayList<>();

    private long againAt;
    private boolean again;
    private long othersAt;
    private boolean asked;
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

    /** From then on a period may begin, if the member is awake. */
    long early() {
        return isAnswered() && favours.isEmpty() ? nextPeriod - times.wakeTolerance() : next();
    }

    private boolean isAnswered() {
        return probes.stream().allMatch(probe -> probe.done);
    }

    long next() {
        long next = isAnswered() ? nextPeriod + times.wakeTolerance() : nextPeriod;
        if (waits()) {
            next = Math.min(next, again ? othersAt : againAt);
        }
        if (!favours.isEmpty()) {
            next = Math.min(next, favours.values().iterator().next().until);
        }
        return next;
    }

    private boolean waits() {
        return !asked && probes.stream().anyMatch(probe -> !probe.done);
    }

    /** Does what is due; true if a period has begun. */
    boolean tick(long now) {
        favours(now);
        if (waits() && !again && now >= againAt) {
            // One datagram that is lost is no reason to bother others.
            again = true;
            for (Probe probe : probes) {
                if (!probe.done) {
                    self.send(probe.target, Kind.PING, probe.seq, probe.id, List.of());
                }
            }
        }
        if (waits() && now >= othersAt) {
            asked = true;
            for (Probe probe : probes) {
                if (!probe.done) {
                    askOthers(probe);
                }
            }
        }
        if (now < (isAnswered() ? nextPeriod - times.wakeTolerance() : nextPeriod)) {
            return false;
        }
        period(now);
        return true;
    }

    /** What others have answered meanwhile waits to be read: nobody is blamed for that time. */
    void stoodStill(long now) {
        slower(1);
        probes.clear();
        nextPeriod = now + times.period();
    }

    private void period(long now) {
        ended(now);
        nextPeriod = now + times.probeTimeout(score, roundTrip);
        again = false;
        asked = false;
        othersAt = now + times.directProbeTimeout(score, roundTrip);
        againAt = now + times.directProbeTimeout(score, roundTrip) / 2;
        // One that is cut off with few takes longer for each, and would need minutes for all the others.
        for (int i = 0; i < 1 + PROBES_MORE * score; i++) {
            Entry target = nextInTurn();
            if (target == null || probes.stream().anyMatch(probe -> probe.target == target)) {
                return;
            }
            Probe probe = new Probe(target, self.number());
            probes.add(probe);
            sentAt.put(probe.seq, now);
            self.send(target, Kind.PING, probe.seq, probe.id, List.of());
        }
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

    private void askOthers(Probe probe) {
        List<Entry> helpers = new ArrayList<>();
        for (int i = 0; i < Times.HELPERS; i++) {
            Entry one = view.any(
                    random, each -> each != probe.target && each.state == State.ALIVE && !helpers.contains(each));
            if (one != null) {
                helpers.add(one);
                self.send(one, Kind.PING_REQ, probe.seq, probe.id, List.of());
            }
        }
    }

    private void ended(long now) {
        List<Probe> all = new ArrayList<>(probes);
        probes.clear();
        all.removeIf(probe -> probe.done);
        if (all.isEmpty()) {
            return;
        }
        // Whoever hears no word from any helper either is the one that is cut off, or slow. Some helpers may
        // be as dead as whom they were asked to probe.
        slower(all.stream().allMatch(probe -> probe.nacks == 0) ? 1 : 0);
        for (Probe probe : all) {
            if (probe.target.state.isLive() && view.life(probe.id) == probe.target) {
                silent.silent(probe.target, now);
            }
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
        for (Probe probe : probes) {
            if (probe.seq == message.seq() && probe.id == message.target() && !probe.done) {
                probe.done = true;
                slower(-1);
                return true;
            }
        }
        Favour favour = favours.get(message.seq());
        if (favour != null && favour.target == sender.life().id()) {
            favours.remove(message.seq());
            self.reply(favour.to, Kind.ACK, favour.seq, favour.target, List.of());
        }
        return false;
    }

    /** A helper has not reached whom it was asked to. */
    void nacked(int seq) {
        for (Probe probe : probes) {
            probe.nacks += probe.seq == seq ? 1 : 0;
        }
    }

    // ---- for others ----

    /** Probes a member in another's place. */
    void favour(Entry asker, Message message, long now) {
        Entry target = view.life(message.target());
        if (target == null || !target.state.isLive()) {
            self.send(asker, Kind.NACK, message.seq(), message.target(), List.of());
            return;
        }
        int number = self.number();
        favours.put(
                number,
                new Favour(asker.at(), message.seq(), message.target(), now + times.directProbeTimeout(0, roundTrip)));
        self.send(target, Kind.PING, number, message.target(), List.of());
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
            self.reply(favour.to, Kind.NACK, favour.seq, favour.target, List.of());
        }
    }
}
