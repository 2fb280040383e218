package laneflow.membership.decision;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.ToIntFunction;
import laneflow.membership.decision.Message.Kind;
import laneflow.membership.decision.Update.Claim;
import laneflow.membership.decision.Update.Full;
import laneflow.membership.decision.View.Entry;

/**
 * One member's part in SWIM: it probes the others in turn, has some probe in its place where one does not
 * answer, suspects whom nobody reaches, buries whom nobody clears in time, says of itself that it lives where
 * it hears of a suspicion, and tells on what it hears. Lifeguard's three parts are here too: one that is slow
 * itself waits longer, suspicions end sooner the more have found the same, and the suspected is told at once.
 *
 * <p>Beyond the papers: each buries by its own suspicion only, whatever others claim; one that was buried
 * comes back as another life; those that were buried, and those of the file, are looked for as long as they
 * are missing; views are compared by digests and their parts exchanged. No I/O, no clock: microseconds of any
 * origin come with each call. Not thread-safe.
 */
public final class Swim {
    /** What it may do; called amid its methods, which must not be called from there. */
    public interface Out {
        void send(InetSocketAddress to, Message message);

        /** Sends records over a connection to that member, all at once; false where there is none. */
        boolean sendAll(String name, List<Full> records);

        /** A member is known, or has another state or other words; null: of no life before. */
        void changed(Full before, Full now);

        /** Counts an event of that name. */
        void count(String what);
    }

    /** Room for news in a datagram of each kind, and the bytes that a piece of news takes there. */
    public interface Sizes extends ToIntFunction<Update> {
        int room(Kind kind);
    }

    private static final int MOST_MEMBERS = 10_000;
    private static final int MOST_BURIED = 1024;
    private static final int MOST_ASKED = 64;
    private static final int MOST_INCARNATION = 1 << 30;
    private static final int PIECES_A_SYNC = 8;
    private static final int PIECES_AT_FIRST = 64;
    private static final int QUIET = 16;
    private static final long YOUNG_PERIODS = 60;
    /** Before a burial it asks so often, three quarters of a probe apart. */
    private static final int LAST_CALLS = 2;
    private static final int LAST_CALL_PART = 3;
    private static final int LAST_CALL_OF = 4;
    private static final int MOST_SUSPICIONS = 8;
    private static final int MOST_REMEMBERED = 16;
    private static final long MOST_ROUND_TRIP = 4_000_000;
    private static final int SMOOTHING = 4;
    private static final long LATE_TOLD_PERIODS = 40;
    private static final long FACTS_PERIODS = 8;
    private static final long SETTLED_PERIODS = 4;

    private final Out out;
    private final Sizes sizes;
    private final Times times;
    private final List<InetSocketAddress> seeds;
    private final SplittableRandom random;
    private final View view = new View();
    private final News news = new News();
    private Full self;
    private boolean outcast;
    private boolean left;
    private int score;
    private int seq;

    /** Something at an instant, void once the entry has another deadline; a last call goes before an end. */
    private record Alarm(long at, Entry entry, long deadline, boolean lastCall) {
    }

    private final PriorityQueue<Alarm> alarms = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private final List<Entry> order = new ArrayList<>();
    private int turn;
    private Probe probe;
    private long nextPeriod;
    private long nextGossip = Long.MAX_VALUE;
    private long nextSeek;
    private long syncedAt;
    private long lateUntil = Long.MIN_VALUE;
    private long changedAt;
    private long factsAt = Long.MIN_VALUE / 2;
    private long bornAt;
    private final long begunAt;
    private Facts wanted;
    /** The part of the view that the next comparison begins with. */
    private int cursor;
    private int agreeing;
    /** The message that is being heard holds a suspicion of this member that it has cleared before. */
    private boolean remind;

    /** One's own probe under way. */
    private static final class Probe {
        private Entry target;
        private long id;
        private int seq;
        private long againAt;
        private boolean again;
        private long othersAt;
        private int asked;
        private int nacks;
        private boolean done;
    }

    /** Another's probe that one makes for it. */
    private record Favour(InetSocketAddress to, int seq, long target, long until) {
    }

    /** When the last own probes went out, by their numbers: late answers tell how long they take. */
    private final Map<Integer, Long> sentAt = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Long> eldest) {
            return size() > MOST_REMEMBERED;
        }
    };
    private long roundTrip;
    /** Whom others were asked to reach for the last time before a burial, by the number of the asking. */
    private final Map<Integer, Entry> lastCalls = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Entry> eldest) {
            return size() > MOST_ASKED;
        }
    };
    private final Map<Integer, Favour> favours = new LinkedHashMap<>();
    /** Those that were asked who they are: address by number of the ping. */
    private final Map<Integer, InetSocketAddress> strangers = new LinkedHashMap<>();
    private final Map<InetSocketAddress, Long> askedAt = new HashMap<>();

    /**
     * One that knows nobody yet.
     *
     * @param seeds where others may be; its own address among them is passed over
     */
    public Swim(Life life, Facts facts, List<InetSocketAddress> seeds, Times times, Sizes sizes, long seed,
            long now, Out out) {
        this.out = out;
        this.sizes = sizes;
        this.times = times;
        this.seeds = new ArrayList<>(seeds);
        this.seeds.remove(life.at());
        random = new SplittableRandom(seed);
        seq = random.nextInt();
        self = new Full(life, 0, State.ALIVE, facts);
        wanted = facts;
        view.count(self);
        // All are started at one moment where a fleet is: they must not stay in step.
        nextPeriod = now + 1 + random.nextLong(times.period());
        nextSeek = now;
        syncedAt = now - times.sync();
        changedAt = now;
        bornAt = now;
        begunAt = now;
        news.add(life.name(), self);
    }

    // ---- reading ----

    /** This member, as it tells itself. */
    public Full self() {
        return self;
    }

    /** All others that are known, those included that are gone, each with its state. */
    public List<Full> others() {
        List<Full> all = new ArrayList<>();
        view.live().forEach(one -> all.add(one.full()));
        view.buried().forEach(one -> all.add(one.full()));
        return all;
    }

    /** How many members are live, this one among them. */
    public int size() {
        return view.live().size() + 1;
    }

    /** The other of that name, or null. */
    public Full other(String name) {
        Entry entry = view.name(name);
        return entry == null ? null : entry.full();
    }

    /** True if that is the present life of a live member. */
    public boolean knows(long life) {
        Entry entry = view.life(life);
        return entry != null && entry.state.isLive();
    }

    /** True where datagrams from that address can be a member's. */
    public boolean isKnown(InetSocketAddress at) {
        return view.isKnown(at) || seeds.contains(at);
    }

    /** Of all live members, each with its newest word: the same in two views that agree. */
    public int digest() {
        return view.digest();
    }

    /** True while another holds this member's name at another address: nobody takes this one in. */
    public boolean isOutcast() {
        return outcast;
    }

    /** How much slower than its period it goes, 0 to 8: as slow as it has found itself to be. */
    public int score() {
        return score;
    }

    /** True where nothing has changed for a while, nobody is suspected, and others show the same digest. */
    public boolean isSettled(long now) {
        boolean quiet = news.isEmpty() && now - changedAt > SETTLED_PERIODS * times.period();
        if (!quiet || left || outcast) {
            return false;
        }
        for (Entry one : view.live()) {
            if (one.state != State.ALIVE) {
                return false;
            }
        }
        return agreeing >= Math.min(QUIET, 2 * view.live().size());
    }

    // ---- time ----

    /** The instant by which {@link #tick} is to be called. */
    public long next() {
        if (left) {
            return nextGossip;
        }
        long next = Math.min(Math.min(nextPeriod, nextGossip), nextSeek);
        if (probe != null && !probe.done && probe.asked < 0) {
            next = Math.min(next, probe.again ? probe.othersAt : probe.againAt);
        }
        if (!alarms.isEmpty()) {
            next = Math.min(next, alarms.peek().at);
        }
        if (!favours.isEmpty()) {
            next = Math.min(next, favours.values().iterator().next().until);
        }
        return next;
    }

    /** Does what is due. */
    public void tick(long now) {
        long behind = now - next();
        if (behind > times.late() && !left) {
            stoodStill(now, behind);
        }
        if (!left) {
            while (!alarms.isEmpty() && alarms.peek().at <= now) {
                ring(alarms.poll(), now);
            }
            favours(now);
            if (probe != null && !probe.done && probe.asked < 0) {
                if (!probe.again && now >= probe.againAt) {
                    // One datagram that is lost is no reason to bother others.
                    probe.again = true;
                    send(probe.target, Kind.PING, probe.seq, probe.id, null);
                }
                if (now >= probe.othersAt) {
                    askOthers();
                }
            }
            if (now >= nextPeriod) {
                period(now);
            }
            if (now >= nextSeek) {
                seek(now);
            }
        }
        if (now >= nextGossip) {
            gossip(now);
        }
    }

    /** What others have said meanwhile waits to be read: nobody is blamed for that time. */
    private void stoodStill(long now, long behind) {
        out.count("late");
        slower(1);
        lateUntil = now + LATE_TOLD_PERIODS * times.period();
        probe = null;
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
        nextPeriod = now + times.period();
        facts(now);
    }

    private void period(long now) {
        if (probe != null && !probe.done) {
            failed(now);
        }
        nextPeriod = now + times.probe(score, roundTrip);
        facts(now);
        probe = null;
        Entry target = nextInTurn();
        if (target == null) {
            return;
        }
        probe = new Probe();
        probe.target = target;
        probe.id = target.life().id();
        probe.seq = ++seq;
        probe.asked = -1;
        probe.othersAt = now + times.direct(score, roundTrip);
        probe.againAt = now + times.direct(score, roundTrip) / 2;
        sentAt.put(probe.seq, now);
        send(target, Kind.PING, probe.seq, probe.id, null);
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
        probe.asked = 0;
        List<Entry> helpers = new ArrayList<>();
        for (int i = 0; i < Times.HELPERS; i++) {
            Entry one = view.any(random, each -> each != probe.target && each.state == State.ALIVE
                    && !helpers.contains(each));
            if (one != null) {
                helpers.add(one);
                probe.asked++;
                send(one, Kind.PING_REQ, probe.seq, probe.id, null);
            }
        }
    }

    private void failed(long now) {
        // Whoever hears no word from any helper either is the one that is cut off, or slow. Some helpers may
        // be as dead as whom they were asked to probe.
        slower(probe.nacks == 0 ? 1 : 0);
        Entry target = probe.target;
        if (target.state.isLive() && view.life(probe.id) == target) {
            suspect(target, target.record.incarnation(), self.life().id(), now);
        }
    }

    private void slower(int by) {
        score = Math.max(0, Math.min(Times.MOST_SCORE, score + by));
    }

    private void favours(long now) {
        while (!favours.isEmpty()) {
            Map.Entry<Integer, Favour> first = favours.entrySet().iterator().next();
            if (first.getValue().until > now && favours.size() <= MOST_ASKED) {
                return;
            }
            favours.remove(first.getKey());
            reply(first.getValue().to, Kind.NACK, first.getValue().seq, first.getValue().target);
        }
    }

    /** Looks for one of those that are missing. */
    private void seek(long now) {
        boolean alone = view.live().isEmpty();
        nextSeek = now + (alone ? times.period() : times.seek());
        askedAt.values().removeIf(at -> now - at > times.seek());
        while (strangers.size() > MOST_ASKED) {
            strangers.remove(strangers.keySet().iterator().next());
        }
        List<InetSocketAddress> missing = new ArrayList<>(seeds);
        for (Entry one : view.live()) {
            missing.remove(one.at());
        }
        List<Entry> dead = new ArrayList<>(view.buried());
        dead.removeIf(one -> one.state == State.LEFT);
        int pick = missing.size() + dead.size() == 0 ? -1 : random.nextInt(missing.size() + dead.size());
        if (pick >= 0 && pick < missing.size()) {
            ask(missing.get(pick), now);
        } else if (pick >= 0) {
            tellBuried(dead.get(pick - missing.size()), now, true);
        }
    }

    /** Asks whoever is there who it is. */
    private void ask(InetSocketAddress at, long now) {
        Long before = askedAt.get(at);
        if (before != null && now - before < times.period() / 2 || at.equals(self.life().at())) {
            return;
        }
        askedAt.put(at, now);
        strangers.put(++seq, at);
        List<Update> own = new ArrayList<>();
        own.add(self);
        out.send(at, new Message(Kind.WHO, self.life().id(), view.digest(), seq, 0, null, own));
    }

    private void tellBuried(Entry entry, long now, boolean asks) {
        if (now - entry.toldAt < times.period()) {
            return;
        }
        entry.toldAt = now;
        List<Update> claim = new ArrayList<>();
        claim.add(new Claim(entry.life().id(), entry.record.incarnation(), State.DEAD, self.life().id()));
        if (asks) {
            strangers.put(++seq, entry.at());
            claim.add(0, self);
        }
        out.send(entry.at(), new Message(asks ? Kind.WHO : Kind.NEWS, self.life().id(), view.digest(), seq, 0,
                null, claim));
    }

    private void gossip(long now) {
        nextGossip = news.isEmpty() ? Long.MAX_VALUE : now + times.gossip();
        List<Entry> to = new ArrayList<>();
        for (int i = 0; i < Times.FANOUT && !news.isEmpty(); i++) {
            Entry one = view.any(random, each -> !to.contains(each));
            if (one == null) {
                break;
            }
            to.add(one);
            send(one, Kind.NEWS, 0, 0, null);
        }
        if (view.live().isEmpty()) {
            // Nobody to tell: whoever comes asks for all of it.
            nextGossip = Long.MAX_VALUE;
        }
    }

    // ---- this member's own word ----

    /** What it is to tell of itself from now on; small changes wait a little, so that they stay few. */
    public void tell(long now, Facts facts) {
        wanted = facts;
        facts(now);
    }

    private void facts(long now) {
        Facts facts = wanted.late(now < lateUntil);
        Facts before = self.facts();
        if (facts.equals(before) || left) {
            return;
        }
        boolean urgent = facts.condition() != before.condition() || facts.policy() != before.policy()
                || facts.late() != before.late();
        if (urgent || now - factsAt >= FACTS_PERIODS * times.period()) {
            factsAt = now;
            say(self.life(), self.incarnation() + 1, facts, now);
        }
    }

    private void say(Life life, int incarnation, Facts facts, long now) {
        view.count(self);
        boolean over = incarnation >= MOST_INCARNATION;
        self = new Full(over ? life.next(0) : life, over ? 0 : incarnation, State.ALIVE, facts);
        view.count(self);
        spread(self.life().name(), self, now);
    }

    /** Goes: says so to some, who tell it on. To be followed by a few more calls of {@link #tick}. */
    public void leave(long now) {
        left = true;
        view.count(self);
        self = self.with(State.LEFT);
        view.count(self);
        spread(self.life().name(), new Claim(self.life().id(), self.incarnation(), State.LEFT,
                self.life().id()), now);
        gossip(now);
    }

    private void spread(String name, Update update, long now) {
        news.add(name, update);
        changedAt = now;
        agreeing = 0;
        if (nextGossip == Long.MAX_VALUE) {
            nextGossip = now + times.gossip();
        }
    }

    // ---- hearing ----

    /** A datagram's content, from that address. */
    public void heard(long now, InetSocketAddress from, Message message) {
        if (left || message.from() == self.life().id()) {
            return;
        }
        Entry sender = view.life(message.from());
        if (sender == null || !sender.state.isLive()) {
            sender = stranger(now, from, message, sender);
            if (sender == null) {
                return;
            }
        } else if (!from.equals(sender.at())) {
            out.count("other_address");
            return;
        }
        remind = false;
        for (Update update : message.updates()) {
            accept(update, sender, now);
        }
        if (message.kind() == Kind.NEWS && message.updates().size() > 1
                && message.updates().get(message.updates().size() - 1) instanceof Full last) {
            // The next comparison goes on from there.
            cursor = View.bucket(last.life().name());
        }
        answer(now, sender, message);
        compare(now, sender, message.digest());
    }

    /**
     * One that is not known, or was buried. What it claims of others counts for nothing, until it has
     * answered what it was asked: a datagram that was recorded can't.
     */
    private Entry stranger(long now, InetSocketAddress from, Message message, Entry buried) {
        for (Update update : message.updates()) {
            if (update instanceof Claim claim && claim.id() == self.life().id()) {
                aboutSelf(claim.state(), claim.incarnation(), now);
            }
        }
        if (buried != null) {
            tellBuried(buried, now, false);
            return null;
        }
        boolean answered = message.kind() == Kind.ACK && from.equals(strangers.get(message.seq()));
        if (answered && !message.updates().isEmpty() && message.updates().get(0) instanceof Full own
                && own.life().id() == message.from() && own.life().at().equals(from)) {
            strangers.remove(message.seq());
            accept(own, null, now);
            Entry known = view.life(message.from());
            if (known == null && view.name(own.life().name()) != null) {
                // Another holds the name: it is told who.
                List<Update> holder = new ArrayList<>();
                holder.add(view.name(own.life().name()).full());
                out.send(from, new Message(Kind.NEWS, self.life().id(), view.digest(), 0, 0, null, holder));
            } else if (known == null && own.life().name().equals(self.life().name())) {
                List<Update> holder = new ArrayList<>();
                holder.add(self);
                out.send(from, new Message(Kind.NEWS, self.life().id(), view.digest(), 0, 0, null, holder));
            }
            return known;
        }
        if (outcast && message.kind() == Kind.NEWS) {
            return null;
        }
        if (message.kind() == Kind.NEWS && message.updates().size() == 1
                && message.updates().get(0) instanceof Full holder
                && holder.life().name().equals(self.life().name())) {
            sameName(holder, now);
            return null;
        }
        out.count("strangers");
        if (message.kind() == Kind.WHO || message.kind() == Kind.PING) {
            List<Update> own = new ArrayList<>();
            own.add(self);
            out.send(from, new Message(Kind.ACK, self.life().id(), view.digest(), message.seq(),
                    self.life().id(), null, own));
        }
        ask(from, now);
        return null;
    }

    private void answer(long now, Entry sender, Message message) {
        switch (message.kind()) {
            case PING -> {
                // Whoever pings this very life takes it for a member.
                outcast &= message.target() != self.life().id();
                boolean meant = message.target() == self.life().id() || message.target() == 0;
                List<Update> own = new ArrayList<>();
                if (!meant || remind) {
                    own.add(self);
                }
                send(sender, Kind.ACK, message.seq(), self.life().id(), own);
            }
            case WHO -> {
                List<Update> own = new ArrayList<>();
                own.add(self);
                send(sender, Kind.ACK, message.seq(), self.life().id(), own);
            }
            case ACK -> acked(message, sender, now);
            case NACK -> {
                if (probe != null && probe.seq == message.seq()) {
                    probe.nacks++;
                }
            }
            case PING_REQ -> {
                Entry target = view.life(message.target());
                if (target == null || !target.state.isLive()) {
                    send(sender, Kind.NACK, message.seq(), message.target(), null);
                } else {
                    favours.put(++seq, new Favour(sender.at(), message.seq(), message.target(),
                            now + times.direct(0, roundTrip)));
                    send(target, Kind.PING, seq, message.target(), null);
                    favours(now);
                }
            }
            case SYNC -> records(sender, message);
            default -> {
                if (remind) {
                    List<Update> own = new ArrayList<>();
                    own.add(self);
                    send(sender, Kind.NEWS, 0, 0, own);
                }
            }
        }
    }

    private void acked(Message message, Entry sender, long now) {
        strangers.remove(message.seq());
        Long sent = sentAt.remove(message.seq());
        if (sent != null) {
            // What is longer counts at once, what is shorter by and by.
            long took = Math.min(now - sent, MOST_ROUND_TRIP);
            roundTrip = took > roundTrip ? took : roundTrip + (took - roundTrip) / SMOOTHING;
        }
        if (probe != null && probe.seq == message.seq() && probe.id == message.target() && !probe.done) {
            probe.done = true;
            slower(-1);
            return;
        }
        Entry called = lastCalls.remove(message.seq());
        if (called != null && called.life().id() == message.target() && called.state == State.SUSPECT
                && called.deadline - called.suspectedAt < MOST_SUSPICIONS * times.least(size(), roundTrip)) {
            // Another has reached it: it gets as long again to say so itself.
            called.deadline += times.least(size(), roundTrip) / 2;
            alarms.add(new Alarm(called.deadline, called, called.deadline, false));
            lastCalls(called, now);
        }
        Favour favour = favours.get(message.seq());
        if (favour != null && favour.target == sender.life().id()) {
            favours.remove(message.seq());
            reply(favour.to, Kind.ACK, favour.seq, favour.target);
        }
    }

    /** All of it from a member, over a connection. */
    public void heardAll(long now, String name, List<Full> records) {
        Entry sender = view.name(name);
        if (left || sender == null || !sender.state.isLive()) {
            out.count("strangers");
            return;
        }
        for (Full record : records) {
            accept(record, sender, now);
        }
    }

    /** Digests that differ while there is no news are of views that do. */
    private void compare(long now, Entry sender, int digest) {
        if (digest == view.digest()) {
            agreeing++;
            return;
        }
        agreeing = 0;
        if (now - syncedAt >= times.sync()) {
            syncedAt = now;
            out.count("syncs");
            out.send(sender.at(), new Message(Kind.SYNC, self.life().id(), view.digest(), cursor,
                    now - begunAt < YOUNG_PERIODS * times.period() ? 0 : size(),
                    view.buckets(), new ArrayList<>()));
        }
    }

    /**
     * What is in the parts that differ, beginning with the part that the other asks for. Somebody who knows
     * few gets much at once, others a little: while much changes all parts differ all the time.
     */
    private void records(Entry to, Message asked) {
        int[] theirs = asked.buckets();
        int[] own = view.buckets();
        List<Full> all = new ArrayList<>();
        if (own[View.bucket(self.life().name())] != theirs[View.bucket(self.life().name())]) {
            all.add(self);
        }
        for (Entry one : view.live()) {
            int bucket = View.bucket(one.life().name());
            if (own[bucket] != theirs[bucket] && one != to) {
                all.add(one.full());
            }
        }
        if (all.isEmpty() || out.sendAll(to.life().name(), all)) {
            return;
        }
        int first = Math.floorMod(asked.seq(), View.BUCKETS);
        all.sort(Comparator.comparingInt(one -> Math.floorMod(View.bucket(one.life().name()) - first,
                View.BUCKETS)));
        long missing = Math.max(0, size() - asked.target());
        int pieces = (int) Math.min(PIECES_AT_FIRST, PIECES_A_SYNC + missing);
        int taken = 0;
        for (int piece = 0; piece < pieces && taken < all.size(); piece++) {
            List<Update> some = new ArrayList<>();
            int room = sizes.room(Kind.NEWS);
            while (taken < all.size() && sizes.applyAsInt(all.get(taken)) <= room) {
                room -= sizes.applyAsInt(all.get(taken));
                some.add(all.get(taken++));
            }
            out.send(to.at(), new Message(Kind.NEWS, self.life().id(), view.digest(), 0, 0, null, some));
        }
    }

    // ---- what news does ----

    private void accept(Update update, Entry sender, long now) {
        if (update instanceof Full full) {
            if (full.life().generation() < 0 || full.life().generation() > Life.MOST_GENERATION
                    || full.incarnation() < 0) {
                out.count("spoilt");
            } else if (full.life().name().equals(self.life().name())) {
                if (full.life().id() == self.life().id()) {
                    aboutSelf(full.state(), full.incarnation(), now);
                } else if (full.state().isLive()) {
                    sameName(full, now);
                }
            } else {
                full(full, sender, now);
            }
            return;
        }
        Claim claim = (Claim) update;
        if (claim.id() == self.life().id()) {
            aboutSelf(claim.state(), claim.incarnation(), now);
            return;
        }
        Entry entry = view.life(claim.id());
        if (entry == null || !entry.state.isLive() || claim.incarnation() < entry.record.incarnation()) {
            return;
        }
        if (claim.state() == State.LEFT && sender == entry) {
            end(entry, State.LEFT, now);
        } else {
            entry.leaving |= claim.state() == State.LEFT && claim.by() == claim.id();
            suspect(entry, claim.incarnation(), claim.by(), now);
        }
    }

    private void full(Full news, Entry sender, long now) {
        Entry entry = view.name(news.life().name());
        if (entry != null && entry.life().id() == news.life().id()) {
            sameLife(entry, news, sender, now);
        } else if (news.state().isLive() && (entry == null ? view.live().size() < MOST_MEMBERS
                : supersedes(news, entry))) {
            Full before = entry == null ? null : entry.full();
            Entry added = view.add(news, now);
            out.changed(before, added.full());
            spread(news.life().name(), added.record, now);
            if (news.state() == State.SUSPECT) {
                suspect(added, news.incarnation(), sender == null ? 0 : sender.life().id(), now);
            }
        }
    }

    /** Which of two lives of one name counts. */
    private boolean supersedes(Full news, Entry known) {
        long generation = news.life().generation();
        long former = known.life().generation();
        if (generation <= known.buried) {
            return false;
        }
        if (!known.state.isLive() || news.life().at().equals(known.at())) {
            return generation > former;
        }
        // Two that live: the elder keeps the name, whoever hears of them, in whatever order.
        out.count("name_taken_twice");
        return generation < former;
    }

    private void sameLife(Entry entry, Full news, Entry sender, long now) {
        if (!entry.state.isLive()) {
            if (news.state().isLive() && entry.state == State.DEAD) {
                // Somebody holds it live: it is to hear that it was buried, and to begin anew.
                if (now - entry.toldAt >= times.period()) {
                    entry.toldAt = now;
                    spread(news.life().name(), new Claim(news.life().id(), news.incarnation(), State.DEAD,
                            self.life().id()), now);
                }
            }
            return;
        }
        if (news.incarnation() < entry.record.incarnation()) {
            return;
        }
        boolean newer = news.incarnation() > entry.record.incarnation();
        if (newer) {
            Full before = entry.full();
            view.heard(entry, news);
            boolean cleared = entry.state == State.SUSPECT && news.state() == State.ALIVE
                    && news.incarnation() > entry.suspected;
            if (cleared) {
                view.turn(entry, State.ALIVE, now);
                out.count("cleared");
            }
            spread(news.life().name(), entry.record, now);
            out.changed(before, entry.full());
        }
        if (news.state() != State.ALIVE) {
            entry.leaving |= news.state() == State.LEFT;
            suspect(entry, news.incarnation(), sender == null ? 0 : sender.life().id(), now);
        }
    }

    /** That one found it silent; by enough of those, or in time, it is buried here. */
    private void suspect(Entry entry, int incarnation, long by, long now) {
        boolean first = entry.state == State.ALIVE;
        if (first) {
            Full before = entry.full();
            view.turn(entry, State.SUSPECT, now);
            entry.suspected = incarnation;
            entry.suspectedAt = now;
            out.changed(before, entry.full());
            out.count("suspected");
        } else if (entry.by.size() > Times.CONFIRMATIONS || entry.by.contains(by)) {
            if (!entry.leaving) {
                return;
            }
        }
        entry.suspected = Math.max(entry.suspected, incarnation);
        boolean added = entry.by.add(by);
        int slowed = 1 + score;
        long span = entry.leaving ? 2 * times.period()
                : times.suspicion(size(), entry.by.size() - 1, roundTrip);
        // One that is slow itself blames late, unless others have found the same.
        boolean alone = entry.by.size() == 1 && entry.by.contains(self.life().id());
        // Never behind the present: that would look as if this member had stood still.
        long deadline = Math.max(now, entry.suspectedAt + span * (alone ? slowed : 1));
        if (first || deadline < entry.deadline) {
            entry.deadline = deadline;
            alarms.add(new Alarm(deadline, entry, deadline, false));
            if (!entry.leaving) {
                lastCalls(entry, now);
            }
        }
        if (added) {
            spread(entry.life().name(), new Claim(entry.life().id(), entry.suspected,
                    entry.leaving ? State.LEFT : State.SUSPECT, by), now);
        }
    }

    private void lastCalls(Entry entry, long now) {
        for (int i = 1; i <= LAST_CALLS; i++) {
            long at = entry.deadline - i * times.probe(0, roundTrip) * LAST_CALL_PART / LAST_CALL_OF;
            alarms.add(new Alarm(Math.max(now, at), entry, entry.deadline, true));
        }
    }

    private void ring(Alarm alarm, long now) {
        Entry entry = alarm.entry;
        if (entry.state != State.SUSPECT || entry.deadline != alarm.deadline) {
            return;
        }
        if (alarm.lastCall) {
            // News of it may have passed this member by: it asks itself, before it buries on others' word.
            send(entry, Kind.PING, ++seq, entry.life().id(), null);
            for (int i = 0; i < Times.HELPERS; i++) {
                Entry helper = view.any(random, each -> each != entry && each.state == State.ALIVE);
                if (helper != null) {
                    send(helper, Kind.PING_REQ, ++seq, entry.life().id(), null);
                    lastCalls.put(seq, entry);
                }
            }
        } else {
            end(entry, entry.leaving ? State.LEFT : State.DEAD, now);
        }
    }

    private void end(Entry entry, State how, long now) {
        Full before = entry.full();
        view.turn(entry, how, now);
        out.changed(before, entry.full());
        out.count(how == State.DEAD ? "buried" : "left");
        spread(entry.life().name(), new Claim(entry.life().id(), entry.record.incarnation(), how,
                how == State.LEFT ? entry.life().id() : self.life().id()), now);
        while (view.buried().size() > MOST_BURIED) {
            view.forget(view.buried().get(0));
        }
    }

    // ---- what others say of this one ----

    private void aboutSelf(State claimed, int incarnation, long now) {
        if (claimed == State.ALIVE || left) {
            return;
        }
        if (incarnation < self.incarnation() && claimed != State.DEAD) {
            // Cleared long ago: whoever claims it has not heard of that.
            remind = true;
            return;
        }
        if (claimed == State.SUSPECT) {
            slower(1);
            out.count("refuted");
            say(self.life(), Math.min(incarnation, MOST_INCARNATION - 1) + 1, self.facts(), now);
        } else {
            // Somebody has buried this life: it is over for good, and another begins.
            rebirth(0, now);
        }
    }

    private void rebirth(long atLeast, long now) {
        if (now - bornAt < times.period()) {
            return;
        }
        bornAt = now;
        out.count("reborn");
        say(self.life().next(atLeast), 0, self.facts(), now);
        nextSeek = now;
    }

    /** Another life goes by this member's name. */
    private void sameName(Full other, long now) {
        long generation = other.life().generation();
        if (other.life().at().equals(self.life().at())) {
            // An earlier life of this very place, whatever its clock said.
            if (generation >= self.life().generation()) {
                rebirth(generation + 1, now);
            }
        } else if (other.state().isLive()) {
            if (!outcast) {
                out.count("name_taken_twice");
            }
            outcast = generation < self.life().generation();
        }
    }

    // ---- sending ----

    /** To a member, with as much news as fits; the suspected hears of it first. */
    private void send(Entry to, Kind kind, int number, long target, List<Update> before) {
        List<Update> updates = before == null ? new ArrayList<>() : before;
        if (to.state == State.SUSPECT) {
            updates.add(new Claim(to.life().id(), to.suspected, State.SUSPECT, to.by.isEmpty() ? 0
                    : to.by.iterator().next()));
        }
        int room = sizes.room(kind);
        for (Update one : updates) {
            room -= sizes.applyAsInt(one);
        }
        news.fill(updates, room, Times.repeats(size()), sizes);
        out.send(to.at(), new Message(kind, self.life().id(), view.digest(), number, target, null, updates));
    }

    private void reply(InetSocketAddress to, Kind kind, int number, long target) {
        out.send(to, new Message(kind, self.life().id(), view.digest(), number, target, null,
                new ArrayList<>()));
    }
}
