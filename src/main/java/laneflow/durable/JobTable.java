package laneflow.durable;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.agrona.collections.Long2ObjectHashMap;

/** Indexes all jobs by id and by key, and keeps the ended ones in the order in which their retention expires. */
final class JobTable {
    /** 2020-01-01 UTC. The high bits of an id are the milliseconds since then, so ids sort by acceptance. */
    private static final long EPOCH_MS = 1_577_836_800_000L;

    private static final int RANDOM_BITS = 20;

    private final Long2ObjectHashMap<DurableJob> byId = new Long2ObjectHashMap<>();
    private final Map<String, DurableJob> byKey = new HashMap<>();
    private final ArrayDeque<DurableJob> ended = new ArrayDeque<>();
    private final SplittableRandom random;
    private long lastId;

    JobTable(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * Returns a new id: milliseconds followed by random bits, so that the stores of two schedulers can be
     * merged. Ids increase even when the clock is set back.
     */
    long newId(long wallMs) {
        long id = (wallMs - EPOCH_MS << RANDOM_BITS) + random.nextInt(1 << RANDOM_BITS);
        lastId = Math.max(lastId + 1, id);
        return lastId;
    }

    void add(DurableJob job) {
        byId.put(job.id(), job);
        lastId = Math.max(lastId, job.id());
        if (!job.row.key().isEmpty()) {
            byKey.put(job.row.key(), job);
        }
    }

    void remove(DurableJob job) {
        byId.remove(job.id());
        if (!job.row.key().isEmpty()) {
            byKey.remove(job.row.key(), job);
        }
    }

    DurableJob get(long id) {
        return byId.get(id);
    }

    /** The job with this key, or null; no job has the empty key. */
    DurableJob get(String key) {
        return key.isEmpty() ? null : byKey.get(key);
    }

    /** Adds an ended job; one whose final state changes by a late outcome keeps its position. */
    void addEnded(DurableJob job) {
        if (!job.inRetention) {
            job.inRetention = true;
            ended.add(job);
        }
    }

    /** Removes and returns the next job that ended before this time, or null. */
    DurableJob pollEndedBefore(long wallMs) {
        return !ended.isEmpty() && ended.peek().changedMs < wallMs ? ended.poll() : null;
    }

    /** Puts back a job that could not be dropped; it is the next one again. */
    void putBack(DurableJob job) {
        ended.addFirst(job);
    }

    void forEach(Consumer<DurableJob> action) {
        byId.values().forEach(action);
    }

    int size() {
        return byId.size();
    }
}
