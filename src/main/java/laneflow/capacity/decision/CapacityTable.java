package laneflow.capacity.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.agrona.collections.Int2ObjectHashMap;
import org.agrona.collections.Long2ObjectHashMap;

/**
 * Newest report of each listed endpoint, and the selection of reports for the next message: reports that
 * changed most, of endpoints with most demand, go first, preferably to schedulers in the endpoint's zone, and
 * each is sent a few times. Reports of endpoints that are not listed are not kept, which bounds the memory.
 */
final class CapacityTable {
    /** Pending reports considered per message, in rotation. */
    private static final int MAX_CANDIDATES = 160;

    private static final double SAME_ZONE_FACTOR = 4;
    private static final double MICROS_PER_SECOND = 1e6;

    private final Long2ObjectHashMap<EndpointLoad> endpoints = new Long2ObjectHashMap<>();
    /** Holds no entry where two endpoints share a hash: their reports cannot be told apart and are ignored. */
    private final Int2ObjectHashMap<EndpointLoad> byKey = new Int2ObjectHashMap<>();

    private final List<EndpointLoad> pending = new ArrayList<>();
    private final double[] scores = new double[MAX_CANDIDATES];
    private int cursor;
    private int[] sortedKeys = {};
    private boolean sorted;
    private int reported;

    EndpointLoad get(long id) {
        return endpoints.get(id);
    }

    EndpointLoad byKey(int key) {
        return byKey.get(key);
    }

    int size() {
        return endpoints.size();
    }

    /** Returns the number of endpoints with at least one report. */
    int reported() {
        return reported;
    }

    Iterable<EndpointLoad> endpoints() {
        return endpoints.values();
    }

    void add(EndpointLoad load) {
        remove(load.id);
        endpoints.put(load.id, load);
        sorted = false;
        if (byKey.get(load.key) == null) {
            byKey.put(load.key, load);
        } else {
            byKey.remove(load.key);
        }
    }

    void remove(long id) {
        EndpointLoad load = endpoints.remove(id);
        if (load != null) {
            reported -= load.latest == null ? 0 : 1;
            removePending(load);
            sorted = false;
            if (byKey.get(load.key) == load) {
                byKey.remove(load.key);
            }
        }
    }

    /** Merges a report; returns false if the stored one is as new. */
    boolean merge(EndpointLoad load, CapacityReport report) {
        CapacityReport newer = CapacityReport.merge(load.latest, report);
        if (newer == load.latest || newer.equals(load.latest)) {
            return false;
        }
        reported += load.latest == null ? 1 : 0;
        load.changedSteps += load.latest == null
                ? Quantizer.MAX_STEP
                : Math.abs(load.latest.free() - report.free()) + Math.abs(load.latest.queue() - report.queue());
        load.latest = report;
        load.timesSent = 0;
        if (load.pendingIndex < 0) {
            load.pendingIndex = pending.size();
            pending.add(load);
        }
        return true;
    }

    private void removePending(EndpointLoad load) {
        if (load.pendingIndex >= 0) {
            EndpointLoad last = pending.remove(pending.size() - 1);
            if (last != load) {
                last.pendingIndex = load.pendingIndex;
                pending.set(load.pendingIndex, last);
            }
            load.pendingIndex = -1;
        }
    }

    /** Returns true if reports remain to be sent. */
    boolean hasPending() {
        return !pending.isEmpty();
    }

    /**
     * Selects entries for a message to a scheduler in the zone.
     *
     * @param maxBytes space for entries and their sources
     * @param transmissions how often each report is sent
     */
    List<CapacityMessage.Entry> selectEntries(long now, int zone, int maxBytes, int transmissions) {
        int candidateCount = Math.min(MAX_CANDIDATES, pending.size());
        EndpointLoad[] candidates = new EndpointLoad[candidateCount];
        for (int i = 0; i < candidateCount; i++) {
            candidates[i] = pending.get((cursor + i) % pending.size());
        }
        cursor = pending.isEmpty() ? 0 : (cursor + candidateCount) % pending.size();
        Integer[] order = new Integer[candidateCount];
        for (int i = 0; i < candidateCount; i++) {
            order[i] = i;
            scores[i] = score(candidates[i], now, zone);
        }
        Arrays.sort(order, (a, b) -> Double.compare(scores[b], scores[a]));
        List<CapacityMessage.Entry> entries = new ArrayList<>();
        List<Integer> sources = new ArrayList<>();
        int remaining = maxBytes;
        for (int i : order) {
            EndpointLoad load = candidates[i];
            CapacityMessage.Entry entry = entry(load, now);
            if (entry == null) {
                removePending(load);
                continue;
            }
            int bytes =
                    CapacityMessage.ENTRY_BYTES + (sources.contains(entry.source()) ? 0 : CapacityMessage.SOURCE_BYTES);
            if (bytes > remaining || sources.size() >= CapacityMessage.MAX_SOURCES) {
                break;
            }
            remaining -= bytes;
            if (!sources.contains(entry.source())) {
                sources.add(entry.source());
            }
            entries.add(entry);
            load.changedSteps = 0;
            if (++load.timesSent >= transmissions) {
                removePending(load);
            }
        }
        return entries;
    }

    private static double score(EndpointLoad load, long now, int zone) {
        double age = (now - load.latest.observedAt()) / MICROS_PER_SECOND;
        double demand = 1 + load.outstanding + Quantizer.value(load.latest.attempts());
        return LoadEstimator.weight(age)
                * (1 + load.changedSteps)
                * demand
                * (load.zone == zone ? SAME_ZONE_FACTOR : 1)
                / (1 + load.timesSent);
    }

    /** Returns null if the report is too old to be sent. */
    private static CapacityMessage.Entry entry(EndpointLoad load, long now) {
        CapacityReport report = load.latest;
        int age = Quantizer.ageStep(Math.max(0, now - report.observedAt()));
        return age > Quantizer.MAX_AGE_STEP
                ? null
                : new CapacityMessage.Entry(
                        load.key, report.free(), report.queue(), report.attempts(), age, report.source());
    }

    private void sort() {
        if (!sorted) {
            sortedKeys = endpoints.values().stream()
                    .mapToInt(load -> load.key)
                    .sorted()
                    .toArray();
            sorted = true;
        }
    }

    /**
     * Returns all entries from the given part of the hash space on, in hash order, as up to
     * {@code maxMessages} lists that take at most {@code maxBytes} each.
     */
    List<List<CapacityMessage.Entry>> entriesFrom(int part, long now, int maxBytes, int maxMessages) {
        sort();
        List<List<CapacityMessage.Entry>> messages = new ArrayList<>();
        int first = Arrays.binarySearch(sortedKeys, part << CapacityMessage.KEY_BITS - CapacityMessage.PART_BITS);
        first = first < 0 ? -first - 1 : first;
        List<CapacityMessage.Entry> message = new ArrayList<>();
        List<Integer> sources = new ArrayList<>();
        int remaining = maxBytes;
        for (int i = 0; i < sortedKeys.length && messages.size() < maxMessages; i++) {
            EndpointLoad load = byKey.get(sortedKeys[(first + i) % sortedKeys.length]);
            CapacityMessage.Entry entry = load == null || load.latest == null ? null : entry(load, now);
            if (entry == null) {
                continue;
            }
            int bytes =
                    CapacityMessage.ENTRY_BYTES + (sources.contains(entry.source()) ? 0 : CapacityMessage.SOURCE_BYTES);
            if (bytes > remaining || sources.size() >= CapacityMessage.MAX_SOURCES) {
                messages.add(message);
                message = new ArrayList<>();
                sources.clear();
                remaining = maxBytes;
                bytes = CapacityMessage.ENTRY_BYTES + CapacityMessage.SOURCE_BYTES;
            }
            remaining -= bytes;
            if (!sources.contains(entry.source())) {
                sources.add(entry.source());
            }
            message.add(entry);
        }
        if (!message.isEmpty() && messages.size() < maxMessages) {
            messages.add(message);
        }
        return messages;
    }

    /**
     * Returns the first part of the hash space, from the given one on, with an endpoint that has no report; -1
     * if there is none.
     */
    int unknownPart(int from) {
        if (reported >= endpoints.size()) {
            return -1;
        }
        sort();
        int first = Arrays.binarySearch(sortedKeys, from << CapacityMessage.KEY_BITS - CapacityMessage.PART_BITS);
        first = first < 0 ? -first - 1 : first;
        for (int i = 0; i < sortedKeys.length; i++) {
            EndpointLoad load = byKey.get(sortedKeys[(first + i) % sortedKeys.length]);
            if (load != null && load.latest == null) {
                return load.key >> CapacityMessage.KEY_BITS - CapacityMessage.PART_BITS;
            }
        }
        return -1;
    }
}
