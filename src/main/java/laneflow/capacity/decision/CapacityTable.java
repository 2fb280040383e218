package laneflow.capacity.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.agrona.collections.Int2ObjectHashMap;
import org.agrona.collections.Long2ObjectHashMap;

/**
 * The newest news of each endpoint that is listed here, and what of it goes into the next datagram: what has
 * changed most and is asked for most goes first, to those whose zone it is, a few times each. Its state is
 * bounded by the list: what is not on it is not kept.
 */
final class CapacityTable {
    /** Of those to be told on so many are looked at for a datagram, in turn. */
    private static final int LOOKED_AT = 160;

    private static final double ZONE_SAY = 4;
    private static final double MICROS = 1e6;

    private final Long2ObjectHashMap<EndpointLoad> all = new Long2ObjectHashMap<>();
    /** Null where two endpoints have one hash: news of either means nothing then. */
    private final Int2ObjectHashMap<EndpointLoad> byKey = new Int2ObjectHashMap<>();

    private final List<EndpointLoad> fresh = new ArrayList<>();
    private final double[] scores = new double[LOOKED_AT];
    private int cursor;
    private int[] keys = {};
    private boolean sorted;
    private int known;

    EndpointLoad get(long id) {
        return all.get(id);
    }

    EndpointLoad byKey(int key) {
        return byKey.get(key);
    }

    int size() {
        return all.size();
    }

    /** Endpoints that there is news of. */
    int known() {
        return known;
    }

    Iterable<EndpointLoad> each() {
        return all.values();
    }

    void add(EndpointLoad seen) {
        remove(seen.id);
        all.put(seen.id, seen);
        sorted = false;
        if (byKey.get(seen.key) == null) {
            byKey.put(seen.key, seen);
        } else {
            byKey.remove(seen.key);
        }
    }

    void remove(long id) {
        EndpointLoad seen = all.remove(id);
        if (seen != null) {
            known -= seen.news == null ? 0 : 1;
            quiet(seen);
            sorted = false;
            if (byKey.get(seen.key) == seen) {
                byKey.remove(seen.key);
            }
        }
    }

    /** Takes news in; false if what is known is as new. */
    boolean merge(EndpointLoad seen, CapacityReport news) {
        CapacityReport newer = CapacityReport.merge(seen.news, news);
        if (newer == seen.news || newer.equals(seen.news)) {
            return false;
        }
        known += seen.news == null ? 1 : 0;
        seen.changed += seen.news == null
                ? Steps.MOST
                : Math.abs(seen.news.free() - news.free()) + Math.abs(seen.news.queue() - news.queue());
        seen.news = news;
        seen.told = 0;
        if (seen.place < 0) {
            seen.place = fresh.size();
            fresh.add(seen);
        }
        return true;
    }

    private void quiet(EndpointLoad seen) {
        if (seen.place >= 0) {
            EndpointLoad last = fresh.remove(fresh.size() - 1);
            if (last != seen) {
                last.place = seen.place;
                fresh.set(seen.place, last);
            }
            seen.place = -1;
        }
    }

    /** True where something is left to tell. */
    boolean isFresh() {
        return !fresh.isEmpty();
    }

    /**
     * Entries for a datagram to somebody of that zone.
     *
     * @param room bytes for entries and the sources that they name
     * @param repeats how often the same news is told
     */
    List<CapacityMessage.Entry> choose(long now, int zone, int room, int repeats) {
        int looked = Math.min(LOOKED_AT, fresh.size());
        EndpointLoad[] some = new EndpointLoad[looked];
        for (int i = 0; i < looked; i++) {
            some[i] = fresh.get((cursor + i) % fresh.size());
        }
        cursor = fresh.isEmpty() ? 0 : (cursor + looked) % fresh.size();
        Integer[] order = new Integer[looked];
        for (int i = 0; i < looked; i++) {
            order[i] = i;
            scores[i] = score(some[i], now, zone);
        }
        Arrays.sort(order, (a, b) -> Double.compare(scores[b], scores[a]));
        List<CapacityMessage.Entry> entries = new ArrayList<>();
        List<Integer> sources = new ArrayList<>();
        int left = room;
        for (int i : order) {
            EndpointLoad seen = some[i];
            CapacityMessage.Entry entry = entry(seen, now);
            if (entry == null) {
                quiet(seen);
                continue;
            }
            int bytes = CapacityMessage.ENTRY + (sources.contains(entry.source()) ? 0 : CapacityMessage.SOURCE);
            if (bytes > left || sources.size() >= CapacityMessage.MOST_SOURCES) {
                break;
            }
            left -= bytes;
            if (!sources.contains(entry.source())) {
                sources.add(entry.source());
            }
            entries.add(entry);
            seen.changed = 0;
            if (++seen.told >= repeats) {
                quiet(seen);
            }
        }
        return entries;
    }

    private static double score(EndpointLoad seen, long now, int zone) {
        double age = (now - seen.news.observedAt()) / MICROS;
        double asked = 1 + seen.out + Steps.value(seen.news.calls());
        return LoadEstimator.weight(age)
                * (1 + seen.changed)
                * asked
                * (seen.zone == zone ? ZONE_SAY : 1)
                / (1 + seen.told);
    }

    /** Null where it is too old to be told. */
    private static CapacityMessage.Entry entry(EndpointLoad seen, long now) {
        CapacityReport news = seen.news;
        int age = Steps.age(Math.max(0, now - news.observedAt()));
        return age > Steps.OLDEST
                ? null
                : new CapacityMessage.Entry(seen.key, news.free(), news.queue(), news.calls(), age, news.source());
    }

    private void sort() {
        if (!sorted) {
            keys = all.values().stream().mapToInt(seen -> seen.key).sorted().toArray();
            sorted = true;
        }
    }

    /** All that is known from that part of the hashes on, in their order, by datagrams of so much room. */
    List<List<CapacityMessage.Entry>> from(int part, long now, int room, int datagrams) {
        sort();
        List<List<CapacityMessage.Entry>> pieces = new ArrayList<>();
        int first = Arrays.binarySearch(keys, part << CapacityMessage.KEY_BITS - CapacityMessage.PART_BITS);
        first = first < 0 ? -first - 1 : first;
        List<CapacityMessage.Entry> piece = new ArrayList<>();
        List<Integer> sources = new ArrayList<>();
        int left = room;
        for (int i = 0; i < keys.length && pieces.size() < datagrams; i++) {
            EndpointLoad seen = byKey.get(keys[(first + i) % keys.length]);
            CapacityMessage.Entry entry = seen == null || seen.news == null ? null : entry(seen, now);
            if (entry == null) {
                continue;
            }
            int bytes = CapacityMessage.ENTRY + (sources.contains(entry.source()) ? 0 : CapacityMessage.SOURCE);
            if (bytes > left || sources.size() >= CapacityMessage.MOST_SOURCES) {
                pieces.add(piece);
                piece = new ArrayList<>();
                sources.clear();
                left = room;
                bytes = CapacityMessage.ENTRY + CapacityMessage.SOURCE;
            }
            left -= bytes;
            if (!sources.contains(entry.source())) {
                sources.add(entry.source());
            }
            piece.add(entry);
        }
        if (!piece.isEmpty() && pieces.size() < datagrams) {
            pieces.add(piece);
        }
        return pieces;
    }

    /** A part of the hashes, from the cursor on, in which something is not known; -1: all is known. */
    int unknownPart(int from) {
        if (known >= all.size()) {
            return -1;
        }
        sort();
        int first = Arrays.binarySearch(keys, from << CapacityMessage.KEY_BITS - CapacityMessage.PART_BITS);
        first = first < 0 ? -first - 1 : first;
        for (int i = 0; i < keys.length; i++) {
            EndpointLoad seen = byKey.get(keys[(first + i) % keys.length]);
            if (seen != null && seen.news == null) {
                return seen.key >> CapacityMessage.KEY_BITS - CapacityMessage.PART_BITS;
            }
        }
        return -1;
    }
}
