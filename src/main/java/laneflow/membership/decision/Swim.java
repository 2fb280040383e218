package laneflow.membership.decision;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.ToIntFunction;
import laneflow.membership.decision.Message.Kind;
import laneflow.membership.decision.Update.Claim;
import laneflow.membership.decision.Update.Extra;
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

        /** Bytes for others than the view that are to go along to that member, or null. */
        default byte[] extra(Full to, int room) {
            return null;
        }

        /** Such bytes from a member. */
        default void extra(Full from, byte[] bytes) {}

        /** Counts an event of that name. */
        void count(String what);
    }

    /** Room for news in a datagram of each kind, and the bytes that a piece of news takes there. */
    public interface Sizes extends ToIntFunction<Update> {
        int room(Kind kind);
    }

    private static final int MOST_ASKED = 64;
    private static final int MOST_INCARNATION = 1 << 30;
    private static final int QUIET = 16;
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
    private final Probing probing;
    private final Judgement judgement;
    private final Comparison comparison;
    private Full self;
    private boolean outcast;
    private boolean left;
    private int seq;

    private long nextGossip = Long.MAX_VALUE;
    private long nextSeek;
    private long lateUntil = Long.MIN_VALUE;
    private long changedAt;
    private long factsAt = Long.MIN_VALUE / 2;
    private long bornAt;
    private Facts wanted;
    /** The message that is being heard holds a suspicion of this member that it has cleared before. */
    private boolean remind;

    /** Those that were asked who they are: address by number of the ping. */
    private final Map<Integer, InetSocketAddress> strangers = new Recent<>(MOST_ASKED);

    private final Map<InetSocketAddress, Long> askedAt = new HashMap<>();

    /**
     * One that knows nobody yet.
     *
     * @param seeds where others may be; its own address among them is passed over
     */
    public Swim(
            Life life,
            Facts facts,
            List<InetSocketAddress> seeds,
            Times times,
            Sizes sizes,
            long seed,
            long now,
            Out out) {
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
        nextSeek = now;
        changedAt = now;
        bornAt = now;
        news.add(life.name(), self);
        Member own = new Own();
        probing = new Probing(view, times, random, own, this::silent, now);
        judgement = new Judgement(view, times, random, own, probing, out);
        comparison = new Comparison(view, times, sizes, own, out, now);
    }

    /** As its parts know it. */
    private final class Own implements Member {
        @Override
        public Full self() {
            return self;
        }

        @Override
        public int size() {
            return Swim.this.size();
        }

        @Override
        public int number() {
            return ++seq;
        }

        @Override
        public void send(Entry to, Kind kind, int number, long target, List<Update> before) {
            Swim.this.send(to, kind, number, target, before);
        }

        @Override
        public void reply(InetSocketAddress to, Kind kind, int number, long target, List<Update> updates) {
            Swim.this.reply(to, kind, number, target, updates);
        }

        @Override
        public void spread(String name, Update update, long now) {
            Swim.this.spread(name, update, now);
        }
    }

    private void silent(Entry entry, long now) {
        judgement.silent(entry, now);
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

    /** When the other of that name got its present state, by the clock of the calls; -1: nobody's name. */
    public long changedAt(String name) {
        Entry entry = view.name(name);
        return entry == null ? -1 : entry.changedAt;
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
        return probing.score();
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
        return comparison.agreeing() >= Math.min(QUIET, 2 * view.live().size());
    }

    // ---- time ----

    /** The instant by which {@link #tick} is to be called. */
    public long next() {
        return left ? nextGossip : Math.min(Math.min(probing.next(), judgement.next()), Math.min(nextGossip, nextSeek));
    }

    /** From then on {@link #tick} may be called if the member is awake: that spares it a wake. */
    public long early() {
        return left
                ? nextGossip
                : Math.min(Math.min(probing.early(), judgement.next()), Math.min(nextGossip, nextSeek));
    }

    /** Does what is due. */
    public void tick(long now) {
        long behind = now - next();
        if (behind > times.late() && !left) {
            stoodStill(now, behind);
        }
        if (!left) {
            judgement.tick(now);
            if (probing.tick(now)) {
                facts(now);
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
        lateUntil = now + LATE_TOLD_PERIODS * times.period();
        probing.stoodStill(now);
        judgement.stoodStill(behind);
        facts(now);
    }

    /** Looks for one of those that are missing. */
    private void seek(long now) {
        boolean alone = view.live().isEmpty();
        nextSeek = now + (alone ? times.period() : times.seek());
        askedAt.values().removeIf(at -> now - at > times.seek());
        List<InetSocketAddress> missing = new ArrayList<>(seeds);
        for (Entry one : view.live()) {
            missing.remove(one.at());
        }
        List<Entry> dead = new ArrayList<>(view.buried());
        dead.removeIf(one -> one.state == State.LEFT);
        if (missing.isEmpty() && dead.isEmpty()) {
            // Until something changes.
            nextSeek = Long.MAX_VALUE;
            return;
        }
        int pick = random.nextInt(missing.size() + dead.size());
        if (pick < missing.size()) {
            ask(missing.get(pick), now);
        } else {
            tellBuried(dead.get(pick - missing.size()), now, true);
        }
    }

    /** Asks whoever is there who it is. */
    private void ask(InetSocketAddress at, long now) {
        Long before = askedAt.get(at);
        if (before != null && now - before < times.period() / 2
                || at.equals(self.life().at())) {
            return;
        }
        askedAt.put(at, now);
        if (nextSeek == Long.MAX_VALUE) {
            // Where whom it asked is forgotten again.
            nextSeek = now + times.seek();
        }
        strangers.put(++seq, at);
        reply(at, Kind.WHO, seq, 0, List.of(self));
    }

    private void tellBuried(Entry entry, long now, boolean asks) {
        if (now - entry.toldAt < times.period()) {
            return;
        }
        entry.toldAt = now;
        Claim claim = new Claim(
                entry.life().id(),
                entry.record.incarnation(),
                State.DEAD,
                self.life().id());
        if (asks) {
            strangers.put(++seq, entry.at());
            reply(entry.at(), Kind.WHO, seq, 0, List.of(self, claim));
        } else {
            reply(entry.at(), Kind.NEWS, seq, 0, List.of(claim));
        }
    }

    private void gossip(long now) {
        nextGossip = news.isEmpty() ? Long.MAX_VALUE : now + times.gossip();
        List<Entry> to = new ArrayList<>();
        for (int i = Times.fanout(news.size()); i > 0 && !news.isEmpty(); i--) {
            Entry one = view.any(random, each -> !to.contains(each));
            if (one == null) {
                break;
            }
            to.add(one);
            send(one, Kind.NEWS, 0, 0, List.of());
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
        boolean urgent = facts.condition() != before.condition()
                || facts.policy() != before.policy()
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
        spread(
                self.life().name(),
                new Claim(
                        self.life().id(),
                        self.incarnation(),
                        State.LEFT,
                        self.life().id()),
                now);
        gossip(now);
    }

    private void spread(String name, Update update, long now) {
        news.add(name, update);
        changedAt = now;
        comparison.disturbed();
        if (nextSeek == Long.MAX_VALUE) {
            nextSeek = now + times.seek();
        }
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
        comparison.heard(message);
        answer(now, sender, message);
        comparison.compare(now, sender, message.digest());
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
        if (answered
                && !message.updates().isEmpty()
                && message.updates().get(0) instanceof Full own
                && own.life().id() == message.from()
                && own.life().at().equals(from)) {
            strangers.remove(message.seq());
            accept(own, null, now);
            Entry known = view.life(message.from());
            Full holder = own.life().name().equals(self.life().name())
                    ? self
                    : other(own.life().name());
            if (known == null && holder != null) {
                // Another holds the name: it is told who.
                reply(from, Kind.NEWS, 0, 0, List.of(holder));
            }
            return known;
        }
        if (outcast && message.kind() == Kind.NEWS) {
            return null;
        }
        if (message.kind() == Kind.NEWS
                && message.updates().size() == 1
                && message.updates().get(0) instanceof Full holder
                && holder.life().name().equals(self.life().name())) {
            sameName(holder, now);
            return null;
        }
        out.count("strangers");
        if (message.kind() == Kind.WHO || message.kind() == Kind.PING) {
            reply(from, Kind.ACK, message.seq(), self.life().id(), List.of(self));
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
                send(sender, Kind.ACK, message.seq(), self.life().id(), meant && !remind ? List.of() : List.of(self));
            }
            case WHO -> send(sender, Kind.ACK, message.seq(), self.life().id(), List.of(self));
            case ACK -> {
                strangers.remove(message.seq());
                if (!probing.acked(message, sender, now)) {
                    judgement.acked(message, now);
                }
            }
            case NACK -> probing.nacked(message.seq());
            case PING_REQ -> probing.favour(sender, message, now);
            case SYNC -> comparison.records(sender, message);
            default -> {
                if (remind) {
                    send(sender, Kind.NEWS, 0, 0, List.of(self));
                }
            }
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

    /** Sends a live member those bytes, or null: what {@link Out#extra} has for it. */
    public void carry(String name, byte[] bytes) {
        Entry entry = view.name(name);
        if (entry != null && entry.state.isLive() && !left) {
            if (bytes == null) {
                send(entry, Kind.NEWS, 0, 0, List.of());
            } else {
                reply(entry.at(), Kind.NEWS, 0, 0, List.of(new Extra(bytes)));
            }
        }
    }

    // ---- what news does ----

    private void accept(Update update, Entry sender, long now) {
        if (update instanceof Extra extra) {
            if (sender != null) {
                out.extra(sender.full(), extra.bytes());
            }
            return;
        }
        if (update instanceof Full full) {
            if (full.life().generation() < 0
                    || full.life().generation() > Life.MOST_GENERATION
                    || full.incarnation() < 0) {
                out.count("spoilt");
            } else if (full.life().name().equals(self.life().name())) {
                if (full.life().id() == self.life().id()) {
                    aboutSelf(full.state(), full.incarnation(), now);
                } else if (full.state().isLive()) {
                    sameName(full, now);
                }
            } else {
                judgement.told(full, sender, now);
            }
            return;
        }
        Claim claim = (Claim) update;
        if (claim.id() == self.life().id()) {
            aboutSelf(claim.state(), claim.incarnation(), now);
        } else {
            judgement.claimed(claim, sender, now);
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
            probing.slower(1);
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
        List<Update> updates = new ArrayList<>(before);
        if (to.state == State.SUSPECT) {
            updates.add(new Claim(
                    to.life().id(),
                    to.suspected,
                    State.SUSPECT,
                    to.by.isEmpty() ? 0 : to.by.iterator().next()));
        }
        int room = sizes.room(kind);
        for (Update one : updates) {
            room -= sizes.applyAsInt(one);
        }
        int known = updates.size();
        news.fill(updates, room, Times.repeats(size()), sizes);
        for (Update one : updates.subList(known, updates.size())) {
            room -= sizes.applyAsInt(one);
        }
        byte[] extra = out.extra(to.full(), room - Wire.EXTRA_HEAD);
        if (extra != null) {
            updates.add(new Extra(extra));
        }
        reply(to.at(), kind, number, target, updates);
    }

    private void reply(InetSocketAddress to, Kind kind, int number, long target, List<Update> updates) {
        out.send(to, new Message(kind, self.life().id(), view.digest(), number, target, null, updates));
    }
}
