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
 * One member's side of SWIM. It probes the others in turn, asks helpers for an indirect probe of a member that
 * does not answer, suspects members that nobody reaches, declares them dead unless they refute the suspicion in
 * time, refutes suspicions of itself, and gossips updates. It includes the three extensions of Lifeguard: a slow
 * member waits longer, a suspicion with more accusers ends sooner, and a suspected member is told at once.
 *
 * <p>It differs from the papers as follows. A member declares others dead only after its own suspicion timeout,
 * whatever others claim. A member that was declared dead comes back as a new instance. Dead members and missing
 * seeds are contacted until they are back. Views are compared by digest, and the buckets that differ are
 * exchanged. No I/O and no clock: the caller passes the time in microseconds of any origin. Not thread-safe.
 */
public final class Swim {
    /** Sends messages and reports changes for a member. Implementations must not call back into {@link Swim}. */
    public interface Environment {
        void send(InetSocketAddress to, Message message);

        /** Sends all records over a connection to the member. Returns false if there is no connection. */
        boolean sendRecords(String name, List<MemberRecord> records);

        /** Called if a member is new, with null as its former record, or its state or record has changed. */
        void memberChanged(MemberRecord before, MemberRecord now);

        /** Application data to piggyback on a datagram to the member, at most that many bytes, or null. */
        default byte[] nextPayload(MemberRecord to, int room) {
            return null;
        }

        /** Called with application data from a member. */
        default void payloadReceived(MemberRecord from, byte[] bytes) {}

        /** Counts an event by its name. */
        void count(String event);
    }

    /** The size of an update, and the bytes left for updates in a datagram of each kind. */
    public interface MessageSizes extends ToIntFunction<Update> {
        int maxUpdateBytes(Kind kind);
    }

    private static final int MAX_PENDING_IDENTIFY = 64;
    private static final int MAX_INCARNATION = 1 << 30;
    private static final int SETTLED_MATCHING_DIGESTS = 16;
    private static final long LATE_REPORT_PERIODS = 40;
    private static final long METADATA_INTERVAL_PERIODS = 8;
    private static final long SETTLED_QUIET_PERIODS = 4;

    private final Environment environment;
    private final MessageSizes sizes;
    private final SwimTimings timings;
    private final List<InetSocketAddress> seeds;
    private final SplittableRandom random;
    private final View view = new View();
    private final GossipQueue gossipQueue = new GossipQueue();
    private final FailureDetector failureDetector;
    private final SuspicionTracker suspicionTracker;
    private final AntiEntropy antiEntropy;
    private MemberRecord self;
    private boolean nameTaken;
    private boolean left;
    private int seq;

    private long nextGossip = Long.MAX_VALUE;
    private long nextReconnect;
    private long reportLateUntil = Long.MIN_VALUE;
    private long lastChangeAt;
    private long metadataPublishedAt = Long.MIN_VALUE / 2;
    private long instanceStartedAt;
    private MemberMetadata latestMetadata;
    /** Whether the current message holds a suspicion of this member that it has already refuted. */
    private boolean resendSelfRecord;

    /** Addresses that were sent an IDENTIFY, by sequence number. */
    private final Map<Integer, InetSocketAddress> pendingIdentify = new RecentPings<>(MAX_PENDING_IDENTIFY);

    private final Map<InetSocketAddress, Long> identifySentAt = new HashMap<>();

    /**
     * Creates a member that knows no others yet.
     *
     * @param seeds addresses of possible members; its own address is ignored
     */
    public Swim(
            MemberInstance instance,
            MemberMetadata metadata,
            List<InetSocketAddress> seeds,
            SwimTimings timings,
            MessageSizes sizes,
            long seed,
            long now,
            Environment environment) {
        this.environment = environment;
        this.sizes = sizes;
        this.timings = timings;
        this.seeds = new ArrayList<>(seeds);
        this.seeds.remove(instance.address());
        random = new SplittableRandom(seed);
        seq = random.nextInt();
        self = new MemberRecord(instance, 0, State.ALIVE, metadata);
        latestMetadata = metadata;
        view.toggleInDigest(self);
        nextReconnect = now;
        lastChangeAt = now;
        instanceStartedAt = now;
        gossipQueue.add(instance.name(), self);
        LocalMember local = new LocalMemberAdapter();
        failureDetector = new FailureDetector(view, timings, random, local, this::unresponsive, now);
        suspicionTracker = new SuspicionTracker(view, timings, random, local, failureDetector, environment);
        antiEntropy = new AntiEntropy(view, timings, sizes, local, environment, now);
    }

    /** Gives the parts access to this member. */
    private final class LocalMemberAdapter implements LocalMember {
        @Override
        public MemberRecord self() {
            return self;
        }

        @Override
        public int size() {
            return Swim.this.size();
        }

        @Override
        public int nextSequence() {
            return ++seq;
        }

        @Override
        public void sendWithGossip(Entry to, Kind kind, int sequence, long target, List<Update> firstUpdates) {
            Swim.this.sendWithGossip(to, kind, sequence, target, firstUpdates);
        }

        @Override
        public void sendTo(InetSocketAddress to, Kind kind, int sequence, long target, List<Update> updates) {
            Swim.this.sendTo(to, kind, sequence, target, updates);
        }

        @Override
        public void enqueueGossip(String name, Update update, long now) {
            Swim.this.enqueueGossip(name, update, now);
        }
    }

    private void unresponsive(Entry entry, long now) {
        suspicionTracker.unresponsive(entry, now);
    }

    // ---- queries ----

    /** This member's own record. */
    public MemberRecord self() {
        return self;
    }

    /** Records of all other known members, including those that are dead or have left. */
    public List<MemberRecord> others() {
        List<MemberRecord> records = new ArrayList<>();
        view.live().forEach(entry -> records.add(entry.toRecord()));
        view.ended().forEach(entry -> records.add(entry.toRecord()));
        return records;
    }

    /** Number of live members, including this one. */
    public int size() {
        return view.live().size() + 1;
    }

    /** Record of the other member of that name, or null. */
    public MemberRecord other(String name) {
        Entry entry = view.findByName(name);
        return entry == null ? null : entry.toRecord();
    }

    /** When the other member of that name entered its state, by the caller's clock; -1 if it is unknown. */
    public long stateChangedAt(String name) {
        Entry entry = view.findByName(name);
        return entry == null ? -1 : entry.stateChangedAt;
    }

    /** Whether this is the current instance of a live member. */
    public boolean isLiveInstance(long instanceId) {
        Entry entry = view.findByInstanceId(instanceId);
        return entry != null && entry.state.isLive();
    }

    /** Whether the address belongs to a known member or a seed. */
    public boolean isKnownAddress(InetSocketAddress address) {
        return view.isKnownAddress(address) || seeds.contains(address);
    }

    /** Digest of the records of all live members, equal in views that agree. */
    public int digest() {
        return view.digest();
    }

    /** Whether another address holds this member's name, so that no member accepts this one. */
    public boolean isNameTaken() {
        return nameTaken;
    }

    /** Lifeguard's local health score: 0 is healthy, 8 the slowest. */
    public int healthScore() {
        return failureDetector.score();
    }

    /** Whether nothing changed for a while, no member is suspected, and the others have the same digest. */
    public boolean isSettled(long now) {
        boolean quiet = gossipQueue.isEmpty() && now - lastChangeAt > SETTLED_QUIET_PERIODS * timings.period();
        if (!quiet || left || nameTaken) {
            return false;
        }
        for (Entry entry : view.live()) {
            if (entry.state != State.ALIVE) {
                return false;
            }
        }
        return antiEntropy.matchingDigests()
                >= Math.min(SETTLED_MATCHING_DIGESTS, 2 * view.live().size());
    }

    // ---- time ----

    /** The time by which {@link #tick} must be called. */
    public long nextTick() {
        return left
                ? nextGossip
                : Math.min(
                        Math.min(failureDetector.nextTick(), suspicionTracker.nextTick()),
                        Math.min(nextGossip, nextReconnect));
    }

    /** The time from which {@link #tick} may be called if the thread is awake anyway, to save a wake-up. */
    public long earliestTick() {
        return left
                ? nextGossip
                : Math.min(
                        Math.min(failureDetector.earliestTick(), suspicionTracker.nextTick()),
                        Math.min(nextGossip, nextReconnect));
    }

    /** Runs the timers that are due. */
    public void tick(long now) {
        long overdue = now - nextTick();
        if (overdue > timings.stallThreshold() && !left) {
            handleStall(now, overdue);
        }
        if (!left) {
            suspicionTracker.tick(now);
            if (failureDetector.tick(now)) {
                publishMetadata(now);
            }
            if (now >= nextReconnect) {
                reconnect(now);
            }
        }
        if (now >= nextGossip) {
            sendGossip(now);
        }
    }

    /** Handles a stall. Acks may be waiting unread, so no member is accused for that time. */
    private void handleStall(long now, long stalledFor) {
        environment.count("late");
        reportLateUntil = now + LATE_REPORT_PERIODS * timings.period();
        failureDetector.handleStall(now);
        suspicionTracker.handleStall(stalledFor);
        publishMetadata(now);
    }

    /** Contacts a random missing seed or dead member. */
    private void reconnect(long now) {
        boolean alone = view.live().isEmpty();
        nextReconnect = now + (alone ? timings.period() : timings.reconnectInterval());
        identifySentAt.values().removeIf(at -> now - at > timings.reconnectInterval());
        List<InetSocketAddress> missingSeeds = new ArrayList<>(seeds);
        for (Entry entry : view.live()) {
            missingSeeds.remove(entry.address());
        }
        List<Entry> deadMembers = new ArrayList<>(view.ended());
        deadMembers.removeIf(entry -> entry.state == State.LEFT);
        if (missingSeeds.isEmpty() && deadMembers.isEmpty()) {
            // No more attempts until something changes.
            nextReconnect = Long.MAX_VALUE;
            return;
        }
        int pick = random.nextInt(missingSeeds.size() + deadMembers.size());
        if (pick < missingSeeds.size()) {
            identify(missingSeeds.get(pick), now);
        } else {
            notifyDead(deadMembers.get(pick - missingSeeds.size()), now, true);
        }
    }

    /** Asks the process at an address for its record. */
    private void identify(InetSocketAddress address, long now) {
        Long previouslySentAt = identifySentAt.get(address);
        if (previouslySentAt != null && now - previouslySentAt < timings.period() / 2
                || address.equals(self.instance().address())) {
            return;
        }
        identifySentAt.put(address, now);
        if (nextReconnect == Long.MAX_VALUE) {
            // reconnect() also removes old entries of identifySentAt.
            nextReconnect = now + timings.reconnectInterval();
        }
        pendingIdentify.put(++seq, address);
        sendTo(address, Kind.IDENTIFY, seq, 0, List.of(self));
    }

    private void notifyDead(Entry entry, long now, boolean identify) {
        if (now - entry.deathNotifiedAt < timings.period()) {
            return;
        }
        entry.deathNotifiedAt = now;
        Claim claim = new Claim(
                entry.instance().id(),
                entry.record.incarnation(),
                State.DEAD,
                self.instance().id());
        if (identify) {
            pendingIdentify.put(++seq, entry.address());
            sendTo(entry.address(), Kind.IDENTIFY, seq, 0, List.of(self, claim));
        } else {
            sendTo(entry.address(), Kind.GOSSIP, seq, 0, List.of(claim));
        }
    }

    private void sendGossip(long now) {
        nextGossip = gossipQueue.isEmpty() ? Long.MAX_VALUE : now + timings.gossipInterval();
        List<Entry> targets = new ArrayList<>();
        for (int i = SwimTimings.fanout(gossipQueue.size()); i > 0 && !gossipQueue.isEmpty(); i--) {
            Entry target = view.pickRandom(random, each -> !targets.contains(each));
            if (target == null) {
                break;
            }
            targets.add(target);
            sendWithGossip(target, Kind.GOSSIP, 0, 0, List.of());
        }
        if (view.live().isEmpty()) {
            // No receivers; a new member asks for the whole view.
            nextGossip = Long.MAX_VALUE;
        }
    }

    // ---- this member's own record ----

    /** Sets the metadata to publish. Minor changes are delayed to limit the number of updates. */
    public void updateMetadata(long now, MemberMetadata metadata) {
        latestMetadata = metadata;
        publishMetadata(now);
    }

    private void publishMetadata(long now) {
        MemberMetadata metadata = latestMetadata.withLate(now < reportLateUntil);
        MemberMetadata published = self.metadata();
        if (metadata.equals(published) || left) {
            return;
        }
        boolean urgent = metadata.condition() != published.condition()
                || metadata.policy() != published.policy()
                || metadata.late() != published.late();
        if (urgent || now - metadataPublishedAt >= METADATA_INTERVAL_PERIODS * timings.period()) {
            metadataPublishedAt = now;
            publishSelf(self.instance(), self.incarnation() + 1, metadata, now);
        }
    }

    private void publishSelf(MemberInstance instance, int incarnation, MemberMetadata metadata, long now) {
        view.toggleInDigest(self);
        boolean exhausted = incarnation >= MAX_INCARNATION;
        self = new MemberRecord(
                exhausted ? instance.nextInstance(0) : instance, exhausted ? 0 : incarnation, State.ALIVE, metadata);
        view.toggleInDigest(self);
        enqueueGossip(self.instance().name(), self, now);
    }

    /** Announces that it leaves. A few more calls of {@link #tick} must follow to spread that. */
    public void leave(long now) {
        left = true;
        view.toggleInDigest(self);
        self = self.withState(State.LEFT);
        view.toggleInDigest(self);
        enqueueGossip(
                self.instance().name(),
                new Claim(
                        self.instance().id(),
                        self.incarnation(),
                        State.LEFT,
                        self.instance().id()),
                now);
        sendGossip(now);
    }

    private void enqueueGossip(String name, Update update, long now) {
        gossipQueue.add(name, update);
        lastChangeAt = now;
        antiEntropy.viewChanged();
        if (nextReconnect == Long.MAX_VALUE) {
            nextReconnect = now + timings.reconnectInterval();
        }
        if (nextGossip == Long.MAX_VALUE) {
            nextGossip = now + timings.gossipInterval();
        }
    }

    // ---- receiving ----

    /** Handles a message received from an address. */
    public void receive(long now, InetSocketAddress from, Message message) {
        if (left || message.senderId() == self.instance().id()) {
            return;
        }
        Entry sender = view.findByInstanceId(message.senderId());
        if (sender == null || !sender.state.isLive()) {
            sender = receiveFromUnknown(now, from, message, sender);
            if (sender == null) {
                return;
            }
        } else if (!from.equals(sender.address())) {
            environment.count("other_address");
            return;
        }
        resendSelfRecord = false;
        for (Update update : message.updates()) {
            applyUpdate(update, sender, now);
        }
        antiEntropy.advanceNextBucket(message);
        respond(now, sender, message);
        antiEntropy.compareDigest(now, sender, message.digest());
    }

    /**
     * Handles a message from a sender that is unknown or has ended. Its updates about others are ignored until it
     * has acked an IDENTIFY, which a replayed datagram cannot do.
     */
    private Entry receiveFromUnknown(long now, InetSocketAddress from, Message message, Entry ended) {
        for (Update update : message.updates()) {
            if (update instanceof Claim claim
                    && claim.instanceId() == self.instance().id()) {
                handleClaimAboutSelf(claim.state(), claim.incarnation(), now);
            }
        }
        if (ended != null) {
            notifyDead(ended, now, false);
            return null;
        }
        boolean answered = message.kind() == Kind.ACK && from.equals(pendingIdentify.get(message.seq()));
        if (answered
                && !message.updates().isEmpty()
                && message.updates().get(0) instanceof MemberRecord senderRecord
                && senderRecord.instance().id() == message.senderId()
                && senderRecord.instance().address().equals(from)) {
            pendingIdentify.remove(message.seq());
            applyUpdate(senderRecord, null, now);
            Entry known = view.findByInstanceId(message.senderId());
            MemberRecord holder =
                    senderRecord.instance().name().equals(self.instance().name())
                            ? self
                            : other(senderRecord.instance().name());
            if (known == null && holder != null) {
                // Another instance holds the name: tell the sender which.
                sendTo(from, Kind.GOSSIP, 0, 0, List.of(holder));
            }
            return known;
        }
        if (nameTaken && message.kind() == Kind.GOSSIP) {
            return null;
        }
        if (message.kind() == Kind.GOSSIP
                && message.updates().size() == 1
                && message.updates().get(0) instanceof MemberRecord holder
                && holder.instance().name().equals(self.instance().name())) {
            handleNameConflict(holder, now);
            return null;
        }
        environment.count("strangers");
        if (message.kind() == Kind.IDENTIFY || message.kind() == Kind.PING) {
            sendTo(from, Kind.ACK, message.seq(), self.instance().id(), List.of(self));
        }
        identify(from, now);
        return null;
    }

    private void respond(long now, Entry sender, Message message) {
        switch (message.kind()) {
            case PING -> {
                // A ping to this very instance shows that the sender accepts it as a member.
                nameTaken &= message.target() != self.instance().id();
                boolean addressed = message.target() == self.instance().id() || message.target() == 0;
                sendWithGossip(
                        sender,
                        Kind.ACK,
                        message.seq(),
                        self.instance().id(),
                        addressed && !resendSelfRecord ? List.of() : List.of(self));
            }
            case IDENTIFY ->
                sendWithGossip(sender, Kind.ACK, message.seq(), self.instance().id(), List.of(self));
            case ACK -> {
                pendingIdentify.remove(message.seq());
                if (!failureDetector.ackReceived(message, sender, now)) {
                    suspicionTracker.ackReceived(message, now);
                }
            }
            case NACK -> failureDetector.nackReceived(message.seq());
            case PING_REQ -> failureDetector.startIndirectProbe(sender, message, now);
            case SYNC -> antiEntropy.sendDifferences(sender, message);
            default -> {
                if (resendSelfRecord) {
                    sendWithGossip(sender, Kind.GOSSIP, 0, 0, List.of(self));
                }
            }
        }
    }

    /** Handles records that a member sent over a connection. */
    public void receiveRecords(long now, String name, List<MemberRecord> records) {
        Entry sender = view.findByName(name);
        if (left || sender == null || !sender.state.isLive()) {
            environment.count("strangers");
            return;
        }
        for (MemberRecord record : records) {
            applyUpdate(record, sender, now);
        }
    }

    /** Sends application data to a live member; if null, whatever {@link Environment#nextPayload} returns. */
    public void sendPayload(String name, byte[] bytes) {
        Entry entry = view.findByName(name);
        if (entry != null && entry.state.isLive() && !left) {
            if (bytes == null) {
                sendWithGossip(entry, Kind.GOSSIP, 0, 0, List.of());
            } else {
                sendTo(entry.address(), Kind.GOSSIP, 0, 0, List.of(new Payload(bytes)));
            }
        }
    }

    // ---- applying updates ----

    private void applyUpdate(Update update, Entry sender, long now) {
        if (update instanceof Payload payload) {
            if (sender != null) {
                environment.payloadReceived(sender.toRecord(), payload.bytes());
            }
            return;
        }
        if (update instanceof MemberRecord memberRecord) {
            if (memberRecord.instance().generation() < 0
                    || memberRecord.instance().generation() > MemberInstance.MAX_GENERATION
                    || memberRecord.incarnation() < 0) {
                environment.count("spoilt");
            } else if (memberRecord.instance().name().equals(self.instance().name())) {
                if (memberRecord.instance().id() == self.instance().id()) {
                    handleClaimAboutSelf(memberRecord.state(), memberRecord.incarnation(), now);
                } else if (memberRecord.state().isLive()) {
                    handleNameConflict(memberRecord, now);
                }
            } else {
                suspicionTracker.applyRecord(memberRecord, sender, now);
            }
            return;
        }
        Claim claim = (Claim) update;
        if (claim.instanceId() == self.instance().id()) {
            handleClaimAboutSelf(claim.state(), claim.incarnation(), now);
        } else {
            suspicionTracker.applyClaim(claim, sender, now);
        }
    }

    // ---- claims about this member ----

    private void handleClaimAboutSelf(State claimed, int incarnation, long now) {
        if (claimed == State.ALIVE || left) {
            return;
        }
        if (incarnation < self.incarnation() && claimed != State.DEAD) {
            // Already refuted; the sender does not know that yet.
            resendSelfRecord = true;
            return;
        }
        if (claimed == State.SUSPECT) {
            failureDetector.adjustHealthScore(1);
            environment.count("refuted");
            publishSelf(self.instance(), Math.min(incarnation, MAX_INCARNATION - 1) + 1, self.metadata(), now);
        } else {
            // A member has declared this instance dead, which is final: start a new one.
            startNewInstance(0, now);
        }
    }

    private void startNewInstance(long minGeneration, long now) {
        if (now - instanceStartedAt < timings.period()) {
            return;
        }
        instanceStartedAt = now;
        environment.count("reborn");
        publishSelf(self.instance().nextInstance(minGeneration), 0, self.metadata(), now);
        nextReconnect = now;
    }

    /** Handles another instance that uses this member's name. */
    private void handleNameConflict(MemberRecord rival, long now) {
        long generation = rival.instance().generation();
        if (rival.instance().address().equals(self.instance().address())) {
            // An earlier instance at this address, even if its clock was ahead.
            if (generation >= self.instance().generation()) {
                startNewInstance(generation + 1, now);
            }
        } else if (rival.state().isLive()) {
            if (!nameTaken) {
                environment.count("name_taken_twice");
            }
            nameTaken = generation < self.instance().generation();
        }
    }

    // ---- sending ----

    /** Sends a message with as much gossip as fits. A suspected member is told of its suspicion first. */
    private void sendWithGossip(Entry to, Kind kind, int sequence, long target, List<Update> firstUpdates) {
        List<Update> updates = new ArrayList<>(firstUpdates);
        if (to.state == State.SUSPECT) {
            updates.add(new Claim(
                    to.instance().id(),
                    to.suspectedIncarnation,
                    State.SUSPECT,
                    to.accusers.isEmpty() ? 0 : to.accusers.iterator().next()));
        }
        int room = sizes.maxUpdateBytes(kind);
        for (Update update : updates) {
            room -= sizes.applyAsInt(update);
        }
        int fixedCount = updates.size();
        gossipQueue.fill(updates, room, SwimTimings.gossipRepeats(size()), sizes);
        for (Update update : updates.subList(fixedCount, updates.size())) {
            room -= sizes.applyAsInt(update);
        }
        byte[] payload = environment.nextPayload(to.toRecord(), room - MessageCodec.PAYLOAD_HEADER_BYTES);
        if (payload != null) {
            updates.add(new Payload(payload));
        }
        sendTo(to.address(), kind, sequence, target, updates);
    }

    private void sendTo(InetSocketAddress to, Kind kind, int sequence, long target, List<Update> updates) {
        environment.send(to, new Message(kind, self.instance().id(), view.digest(), sequence, target, null, updates));
    }
}
