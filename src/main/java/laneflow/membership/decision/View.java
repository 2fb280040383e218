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
 * All members as one of them sees them, itself aside. Holds which life of a name counts and what is known of
 * it; knows no time and sends nothing. Digests are over the live ones, life and incarnation: two views with
 * the same digest hold the same members with the same words of theirs.
 */
final class View {
    /** Parts that are compared one by one; their digests fit into one datagram. */
    static final int BUCKETS = 46;

    /** One name. */
    static final class Entry {
        Update.MemberRecord record;
        State state;
        /** Lives of this name up to this generation have been buried here. */
        long buried;
        /** The incarnation that is suspected; only a higher one clears it. */
        int suspected;
        /** Who found it silent, while it is suspected. */
        Set<Long> by = Set.of();

        long suspectedAt;
        long deadline;
        /** It is said to have left: it ends as that. */
        boolean leaving;

        long changedAt;
        /** When it was last told that it is buried. */
        long toldAt = Long.MIN_VALUE / 2;

        private int place = -1;

        /** That one found it silent as well; true if that is news. */
        boolean accused(long life) {
            if (by.isEmpty()) {
                by = new HashSet<>();
            }
            return by.add(life);
        }

        MemberInstance life() {
            return record.instance();
        }

        InetSocketAddress at() {
            return record.instance().address();
        }

        /** As others may be told. */
        Update.MemberRecord full() {
            return record.withState(state);
        }
    }

    private final Map<String, Entry> names = new HashMap<>();
    private final Long2ObjectHashMap<Entry> lives = new Long2ObjectHashMap<>();
    /** How many known lives there are at each address. */
    private final Map<InetSocketAddress, Integer> places = new HashMap<>();

    private final List<Entry> live = new ArrayList<>();
    private final List<Entry> buried = new ArrayList<>();
    private final int[] buckets = new int[BUCKETS];
    private int digest;

    Entry name(String name) {
        return names.get(name);
    }

    /** The name whose present life that is, or null. */
    Entry life(long id) {
        return lives.get(id);
    }

    /** Live ones, in no order. */
    List<Entry> live() {
        return live;
    }

    /** Dead ones and those that left, the oldest first. */
    List<Entry> buried() {
        return buried;
    }

    boolean isKnown(InetSocketAddress at) {
        return places.containsKey(at);
    }

    int digest() {
        return digest;
    }

    int[] buckets() {
        return buckets.clone();
    }

    static int bucket(String name) {
        return Math.floorMod(name.hashCode(), BUCKETS);
    }

    private static int mark(Update.MemberRecord record) {
        return (int) (new SplittableRandom(record.instance().id() + record.incarnation()).nextLong() >>> 32);
    }

    /** Counts a record in or out: once in, it is in; twice, it is out again. */
    void count(Update.MemberRecord record) {
        int mark = mark(record);
        digest ^= mark;
        buckets[bucket(record.instance().name())] ^= mark;
    }

    /** A name that was not there, or another life of one that was; alive. */
    Entry add(Update.MemberRecord record, long now) {
        Entry entry = names.computeIfAbsent(record.instance().name(), name -> new Entry());
        if (entry.record != null) {
            if (!entry.state.isLive()) {
                entry.buried = Math.max(entry.buried, entry.life().generation());
            }
            forgetLife(entry);
        }
        entry.record = record.withState(State.ALIVE);
        lives.put(record.instance().id(), entry);
        places.merge(entry.at(), 1, Integer::sum);
        enter(entry);
        turn(entry, State.ALIVE, now);
        return entry;
    }

    private void forgetLife(Entry entry) {
        lives.remove(entry.life().id());
        places.computeIfPresent(entry.at(), (at, count) -> count == 1 ? null : count - 1);
        leave(entry);
    }

    private void enter(Entry entry) {
        entry.place = live.size();
        live.add(entry);
        count(entry.record);
    }

    private void leave(Entry entry) {
        if (entry.place < 0) {
            buried.remove(entry);
            return;
        }
        count(entry.record);
        Entry last = live.remove(live.size() - 1);
        if (last != entry) {
            live.set(entry.place, last);
            last.place = entry.place;
        }
        entry.place = -1;
    }

    /** A newer word of a live one. */
    void heard(Entry entry, Update.MemberRecord record) {
        count(entry.record);
        entry.record = record.withState(State.ALIVE);
        count(entry.record);
    }

    /** Another state of the same life. */
    void turn(Entry entry, State state, long now) {
        entry.state = state;
        entry.changedAt = now;
        if (state != State.SUSPECT) {
            entry.by = Set.of();
            entry.leaving = false;
        }
        if (!state.isLive() && entry.place >= 0) {
            leave(entry);
            buried.add(entry);
            entry.buried = Math.max(entry.buried, entry.life().generation());
        }
    }

    /** Forgets a buried one for good. */
    void forget(Entry entry) {
        names.remove(entry.life().name());
        forgetLife(entry);
    }

    /** One of the live ones by chance, or null if none of some tries is fit. */
    Entry any(SplittableRandom random, Predicate<Entry> fit) {
        for (int i = 0; i < live.size() + 2 && i < 32 && !live.isEmpty(); i++) {
            Entry one = live.get(random.nextInt(live.size()));
            if (fit.test(one)) {
                return one;
            }
        }
        return null;
    }
}
