package laneflow.membership.decision;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.agrona.collections.Long2ObjectHashMap;

/**
 * One member's view of the others: the current instance of each name and what is known of it. It has no clock and
 * sends nothing. Digests cover the instance and incarnation of live members, so that views with equal digests
 * hold the same members with the same records.
 */
final class View {
    /** Number of buckets that are compared separately; the digests of all fit into one datagram. */
    static final int BUCKET_COUNT = 46;

    /** What is known of one name. */
    static final class Entry {
        Update.MemberRecord record;
        State state;
        /** Instances of this name up to this generation have ended. */
        long lastEndedGeneration;
        /** The suspected incarnation; only a higher one refutes the suspicion. */
        int suspectedIncarnation;
        /** Instance ids of the members that accuse it while it is suspected. */
        Set<Long> accusers = Set.of();

        long suspectedAt;
        long deadline;
        /** It is reported to have left, and will end as LEFT instead of DEAD. */
        boolean leaveReported;

        long stateChangedAt;
        /** When it was last notified that it was declared dead. */
        long deathNotifiedAt = Long.MIN_VALUE / 2;

        private int liveIndex = -1;

        /** Adds an accuser. Returns true if it is new. */
        boolean addAccuser(long instanceId) {
            if (accusers.isEmpty()) {
                accusers = new HashSet<>();
            }
            return accusers.add(instanceId);
        }

        MemberInstance instance() {
            return record.instance();
        }

        InetSocketAddress address() {
            return record.instance().address();
        }

        /** The record with the state in this view, as gossiped to others. */
        Update.MemberRecord toRecord() {
            return record.withState(state);
        }
    }

    private final Map<String, Entry> byName = new HashMap<>();
    private final Long2ObjectHashMap<Entry> byInstanceId = new Long2ObjectHashMap<>();
    /** Number of known instances at each address. */
    private final Map<InetSocketAddress, Integer> addressCounts = new HashMap<>();

    private final List<Entry> live = new ArrayList<>();
    private final List<Entry> ended = new ArrayList<>();
    private final int[] bucketDigests = new int[BUCKET_COUNT];
    private int digest;

    Entry findByName(String name) {
        return byName.get(name);
    }

    /** The entry whose current instance has this id, or null. */
    Entry findByInstanceId(long id) {
        return byInstanceId.get(id);
    }

    /** Live members in no particular order. */
    List<Entry> live() {
        return live;
    }

    /** Members that are dead or have left, the oldest first. */
    List<Entry> ended() {
        return ended;
    }

    boolean isKnownAddress(InetSocketAddress address) {
        return addressCounts.containsKey(address);
    }

    int digest() {
        return digest;
    }

    int[] bucketDigests() {
        return bucketDigests.clone();
    }

    static int bucketOf(String name) {
        return Math.floorMod(name.hashCode(), BUCKET_COUNT);
    }

    private static int recordHash(Update.MemberRecord record) {
        return (int) (new SplittableRandom(record.instance().id() + record.incarnation()).nextLong() >>> 32);
    }

    /** Adds a record to the digests, or removes it if it was added before (XOR). */
    void toggleInDigest(Update.MemberRecord record) {
        int hash = recordHash(record);
        digest ^= hash;
        bucketDigests[bucketOf(record.instance().name())] ^= hash;
    }

    /** Adds a new name, or a new instance of a known name, as alive. */
    Entry add(Update.MemberRecord record, long now) {
        Entry entry = byName.computeIfAbsent(record.instance().name(), name -> new Entry());
        if (entry.record != null) {
            if (!entry.state.isLive()) {
                entry.lastEndedGeneration =
                        Math.max(entry.lastEndedGeneration, entry.instance().generation());
            }
            removeInstance(entry);
        }
        entry.record = record.withState(State.ALIVE);
        byInstanceId.put(record.instance().id(), entry);
        addressCounts.merge(entry.address(), 1, Integer::sum);
        addToLive(entry);
        setState(entry, State.ALIVE, now);
        return entry;
    }

    private void removeInstance(Entry entry) {
        byInstanceId.remove(entry.instance().id());
        addressCounts.computeIfPresent(entry.address(), (address, count) -> count == 1 ? null : count - 1);
        removeFromList(entry);
    }

    private void addToLive(Entry entry) {
        entry.liveIndex = live.size();
        live.add(entry);
        toggleInDigest(entry.record);
    }

    private void removeFromList(Entry entry) {
        if (entry.liveIndex < 0) {
            ended.remove(entry);
            return;
        }
        toggleInDigest(entry.record);
        Entry last = live.remove(live.size() - 1);
        if (last != entry) {
            live.set(entry.liveIndex, last);
            last.liveIndex = entry.liveIndex;
        }
        entry.liveIndex = -1;
    }

    /** Replaces the record of a live member by a later one. */
    void updateRecord(Entry entry, Update.MemberRecord record) {
        toggleInDigest(entry.record);
        entry.record = record.withState(State.ALIVE);
        toggleInDigest(entry.record);
    }

    /** Changes the state of the current instance. */
    void setState(Entry entry, State state, long now) {
        entry.state = state;
        entry.stateChangedAt = now;
        if (state != State.SUSPECT) {
            entry.accusers = Set.of();
            entry.leaveReported = false;
        }
        if (!state.isLive() && entry.liveIndex >= 0) {
            removeFromList(entry);
            ended.add(entry);
            entry.lastEndedGeneration =
                    Math.max(entry.lastEndedGeneration, entry.instance().generation());
        }
    }

    /** Removes an ended member completely. */
    void removeEnded(Entry entry) {
        byName.remove(entry.instance().name());
        removeInstance(entry);
    }

    /** A random live member that passes the filter, or null if a limited number of tries finds none. */
    Entry pickRandom(SplittableRandom random, Predicate<Entry> filter) {
        for (int i = 0; i < live.size() + 2 && i < 32 && !live.isEmpty(); i++) {
            Entry candidate = live.get(random.nextInt(live.size()));
            if (filter.test(candidate)) {
                return candidate;
            }
        }
        return null;
    }
}
