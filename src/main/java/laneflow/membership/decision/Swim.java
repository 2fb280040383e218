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
import laneflow.membership.decision.Update.MemberRecord;
import laneflow.membership.decision.Update.Payload;
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
    public interface Environment {
        void send(InetSocketAddress to, Message message);

        /** Sends records over a connection to that member, all at once; false where there is none. */
        boolean sendRecords(String name, List<MemberRecord> records);

        /** A member is known, or has another state or other words; null: of no life before. */
        void memberChanged(MemberRecord before, MemberRecord now);

        /** Bytes for others than the view that are to go along to that member, or null. */
        default byte[] nextPayload(MemberRecord to, int room) {
            return null;
        }

        /** Such bytes from a member. */
        default void payloadReceived(MemberRecord from, byte[] bytes) {}

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

    private final Environment out;
    private final Sizes sizes;
    private final Times times;
    private final List<InetSocketAddress> seeds;
    private final SplittableRandom random;
    private final View view = new View();
    private final News news = new News();
    private final Probing probing;
    private final Judgement judgement;
    private final Comparison comparison;
    private MemberRecord self;
    private boolean outcast;
    private boolean left;
    private int seq;

    private long nextGossip = Long.MAX_VALUE;
    private long nextSeek;
    private long lateUntil = Long.MIN_VALUE;
    private long changedAt;
    private long factsAt = Long.MIN_VALUE / 2;
    private long bornAt;
    private MemberMetadata wanted;
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
            MemberInstance life,
            MemberMetadata facts,
            List<InetSocketAddress> seeds,
            Times times,
            Sizes sizes,
            long seed,
            long now,
            Environment out) {
        this.out = out;
        this.sizes = sizes;
        this.times = times;
        this.seeds = new ArrayList<>(seeds);
        this.seeds.remove(life.address());
        random = new SplittableRandom(seed);
        seq = random.nextInt();
        self = new MemberRecord(life, 0, State.ALIVE, facts);
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
        public MemberRecord self() {
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
    public MemberRecord self() {
        return self;
    }

    /** All others that are known, those included that are gone, each with its state. */
    public List<MemberRecord> others() {
        List<MemberRecord> all = new ArrayList<>();
        view.live().forEach(one -> all.add(one.full()));
        view.buried().forEach(one -> all.add(one.full()));
        return all;
    }

    /** How many members are live, this one among them. */
    public int size() {
        return view.live().size() + 1;
    }

    /** The other of that name, or null. */
    public MemberRecord other(String name) {
        Entry entry = view.name(name);
        return entry == null ? null : entry.full();
    }

    /** When the other of that name got its present state, by the clock of the calls; -1: nobody's name. */
    public long stateChangedAt(String name) {
        Entry entry = view.name(name);
        return entry == null ? -1 : entry.changedAt;
    }

    /** True if that is the present life of a live member. */
    public boolean isLiveInstance(long life) {
        Entry entry = view.life(life);
        return entry != null && entry.state.isLive();
    }

    /** True where datagrams from that address can be a member's. */
    public boolean isKnownAddress(InetSocketAddress at) {
        return view.isKnown(at) || seeds.contains(at);
    }

    /** Of all live members, each with its newest word: the same in two views that agree. */
    public int digest() {
        return view.digest();
    }

    /** True while another holds this member's name at another address: nobody takes this one in. */
    public boolean isNameTaken() {
        return outcast;
    }

    /** How much slower than its period it goes, 0 to 8: as slow as it has found itself to be. */
    public int healthScore() {
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
    public long nextTick() {
        return left ? nextGossip : Math.min(Math.min(probing.next(), judgement.next()), Math.min(nextGossip, nextSeek));
    }

    /** From then on {@link #tick} may be called if the member is awake: that spares it a wake. */
    public long earliestTick() {
        return left
                ? nextGossip
                : Math.min(Math.min(probing.early(), judgement.next()), Math.min(nextGossip, nextSeek));
    }

    /** Does what is due. */
    public void tick(long now) {
        long behind = now - nextTick();
        if (behind > times.stallThreshold() && !left) {
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
        nextSeek = now + (alone ? times.period() : times.reconnectInterval());
        askedAt.values().removeIf(at -> now - at > times.reconnectInterval());
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
                || at.equals(self.instance().address())) {
            return;
        }
        askedAt.put(at, now);
        if (nextSeek == Long.MAX_VALUE) {
            // Where whom it asked is forgotten again.
            nextSeek = now + times.reconnectInterval();
        }
        strangers.put(++seq, at);
        reply(at, Kind.IDENTIFY, seq, 0, List.of(self));
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
                self.instance().id());
        if (asks) {
            strangers.put(++seq, entry.at());
            reply(entry.at(), Kind.IDENTIFY, seq, 0, List.of(self, claim));
        } else {
            reply(entry.at(), Kind.GOSSIP, seq, 0, List.of(claim));
        }
    }

    private void gossip(long now) {
        nextGossip = news.isEmpty() ? Long.MAX_VALUE : now + times.gossipInterval();
        List<Entry> to = new ArrayList<>();
        for (int i = Times.fanout(news.size()); i > 0 && !news.isEmpty(); i--) {
            Entry one = view.any(random, each -> !to.contains(each));
            if (one == null) {
                break;
            }
            to.add(one);
            send(one, Kind.GOSSIP, 0, 0, List.of());
        }
        if (view.live().isEmpty()) {
            // Nobody to tell: whoever comes asks for all of it.
            nextGossip = Long.MAX_VALUE;
        }
    }

    // ---- this member's own word ----

    /** What it is to tell of itself from now on; small changes wait a little, so that they stay few. */
    public void updateMetadata(long now, MemberMetadata facts) {
        wanted = facts;
        facts(now);
    }

    private void facts(long now) {
        MemberMetadata facts = wanted.withLate(now < lateUntil);
        MemberMetadata before = self.metadata();
        if (facts.equals(before) || left) {
            return;
        }
        boolean urgent = facts.condition() != before.condition()
                || facts.policy() != before.policy()
                || facts.late() != before.late();
        if (urgent || now - factsAt >= FACTS_PERIODS * times.period()) {
            factsAt = now;
            say(self.instance(), self.incarnation() + 1, facts, now);
        }
    }

    private void say(MemberInstance life, int incarnation, MemberMetadata facts, long now) {
        view.count(self);
        boolean over = incarnation >= MOST_INCARNATION;
        self = new MemberRecord(over ? life.next(0) : life, over ? 0 : incarnation, State.ALIVE, facts);
        view.count(self);
        spread(self.instance().name(), self, now);
    }

    /** Goes: says so to some, who tell it on. To be followed by a few more calls of {@link #tick}. */
    public void leave(long now) {
        left = true;
        view.count(self);
        self = self.withState(State.LEFT);
        view.count(self);
        spread(
                self.instance().name(),
                new Claim(
                        self.instance().id(),
                        self.incarnation(),
                        State.LEFT,
                        self.instance().id()),
                now);
        gossip(now);
    }

    private void spread(String name, Update update, long now) {
        news.add(name, update);
        changedAt = now;
        comparison.disturbed();
        if (nextSeek == Long.MAX_VALUE) {
            nextSeek = now + times.reconnectInterval();
        }
        if (nextGossip == Long.MAX_VALUE) {
            nextGossip = now + times.gossipInterval();
        }
    }

    // ---- hearing ----

    /** A datagram's content, from that address. */
    public void receive(long now, InetSocketAddress from, Message message) {
        if (left || message.senderId() == self.instance().id()) {
            return;
        }
        Entry sender = view.life(message.senderId());
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
            if (update instanceof Claim claim
                    && claim.instanceId() == self.instance().id()) {
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
                && message.updates().get(0) instanceof MemberRecord own
                && own.instance().id() == message.senderId()
                && own.instance().address().equals(from)) {
            strangers.remove(message.seq());
            accept(own, null, now);
            Entry known = view.life(message.senderId());
            MemberRecord holder = own.instance().name().equals(self.instance().name())
                    ? self
                    : other(own.instance().name());
            if (known == null && holder != null) {
                // Another holds the name: it is told who.
                reply(from, Kind.GOSSIP, 0, 0, List.of(holder));
            }
            return known;
        }
        if (outcast && message.kind() == Kind.GOSSIP) {
            return null;
        }
        if (message.kind() == Kind.GOSSIP
                && message.updates().size() == 1
                && message.updates().get(0) instanceof MemberRecord holder
                && holder.instance().name().equals(self.instance().name())) {
            sameName(holder, now);
            return null;
        }
        out.count("strangers");
        if (message.kind() == Kind.IDENTIFY || message.kind() == Kind.PING) {
            reply(from, Kind.ACK, message.seq(), self.instance().id(), List.of(self));
        }
        ask(from, now);
        return null;
    }

    private void answer(long now, Entry sender, Message message) {
        switch (message.kind()) {
            case PING -> {
                // Whoever pings this very life takes it for a member.
                outcast &= message.target() != self.instance().id();
                boolean meant = message.target() == self.instance().id() || message.target() == 0;
                send(
                        sender,
                        Kind.ACK,
                        message.seq(),
                        self.instance().id(),
                        meant && !remind ? List.of() : List.of(self));
            }
            case IDENTIFY ->
                send(sender, Kind.ACK, message.seq(), self.instance().id(), List.of(self));
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
                    send(sender, Kind.GOSSIP, 0, 0, List.of(self));
                }
            }
        }
    }

    /** All of it from a member, over a connection. */
    public void receiveRecords(long now, String name, List<MemberRecord> records) {
        Entry sender = view.name(name);
        if (left || sender == null || !sender.state.isLive()) {
            out.count("strangers");
            return;
        }
        for (MemberRecord record : records) {
            accept(record, sender, now);
        }
    }

    /** Sends a live member those bytes, or null: what {@link Environment#nextPayload} has for it. */
    public void sendPayload(String name, byte[] bytes) {
        Entry entry = view.name(name);
        if (entry != null && entry.state.isLive() && !left) {
            if (bytes == null) {
                send(entry, Kind.GOSSIP, 0, 0, List.of());
            } else {
                reply(entry.at(), Kind.GOSSIP, 0, 0, List.of(new Payload(bytes)));
            }
        }
    }

    // ---- what news does ----

    private void accept(Update update, Entry sender, long now) {
        if (update instanceof Payload extra) {
            if (sender != null) {
                out.payloadReceived(sender.full(), extra.bytes());
            }
            return;
        }
        if (update instanceof MemberRecord full) {
            if (full.instance().generation() < 0
                    || full.instance().generation() > MemberInstance.MAX_GENERATION
                    || full.incarnation() < 0) {
                out.count("spoilt");
            } else if (full.instance().name().equals(self.instance().name())) {
                if (full.instance().id() == self.instance().id()) {
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
        if (claim.instanceId() == self.instance().id()) {
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
            say(self.instance(), Math.min(incarnation, MOST_INCARNATION - 1) + 1, self.metadata(), now);
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
        say(self.instance().next(atLeast), 0, self.metadata(), now);
        nextSeek = now;
    }

    /** Another life goes by this member's name. */
    private void sameName(MemberRecord other, long now) {
        long generation = other.instance().generation();
        if (other.instance().address().equals(self.instance().address())) {
            // An earlier life of this very place, whatever its clock said.
            if (generation >= self.instance().generation()) {
                rebirth(generation + 1, now);
            }
        } else if (other.state().isLive()) {
            if (!outcast) {
                out.count("name_taken_twice");
            }
            outcast = generation < self.instance().generation();
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
        news.fill(updates, room, Times.gossipRepeats(size()), sizes);
        for (Update one : updates.subList(known, updates.size())) {
            room -= sizes.applyAsInt(one);
        }
        byte[] extra = out.nextPayload(to.full(), room - MessageCodec.EXTRA_HEAD);
        if (extra != null) {
            updates.add(new Payload(extra));
        }
        reply(to.at(), kind, number, target, updates);
    }

    private void reply(InetSocketAddress to, Kind kind, int number, long target, List<Update> updates) {
        out.send(to, new Message(kind, self.instance().id(), view.digest(), number, target, null, updates));
    }
}
