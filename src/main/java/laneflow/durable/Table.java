package laneflow.durable;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.agrona.collections.Long2ObjectHashMap;

/** All jobs held, by id and by key, and the ended ones in the order in which their retention is over. */
final class Table {
    /** Ids begin with the milliseconds since then, so they are in order of acceptance. 2020-01-01 UTC. */
    private static final long EPOCH_MS = 1_577_836_800_000L;

    private static final int RANDOM_BITS = 20;

    private final Long2ObjectHashMap<DurableJob> byId = new Long2ObjectHashMap<>();
    private final Map<String, DurableJob> byKey = new HashMap<>();
    private final ArrayDeque<DurableJob> ended = new ArrayDeque<>();
    private final SplittableRandom random;
    private long last;

    Table(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * A number of its own: milliseconds, then random bits, so that the stores of two schedulers may be put
     * together. It grows also where the clock goes back.
     */
    long newId(long wallMs) {
        long id = (wallMs - EPOCH_MS << RANDOM_BITS) + random.nextInt(1 << RANDOM_BITS);
        last = Math.max(last + 1, id);
        return last;
    }

    void add(DurableJob job) {
        byId.put(job.id(), job);
        last = Math.max(last, job.id());
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

    /** The job of that key; the empty one belongs to none. */
    DurableJob get(String key) {
        return key.isEmpty() ? null : byKey.get(key);
    }

    /** It has ended; one that ends again by a late word keeps its place. */
    void end(DurableJob job) {
        if (!job.retired) {
            job.retired = true;
            ended.add(job);
        }
    }

    /** The next one that ended before then, taken out, or null. */
    DurableJob endedBefore(long wallMs) {
        return !ended.isEmpty() && ended.peek().changedMs < wallMs ? ended.poll() : null;
    }

    /** It could not be dropped yet: it is the next one again. */
    void keep(DurableJob job) {
        ended.addFirst(job);
    }

    void forEach(Consumer<DurableJob> call) {
        byId.values().forEach(call);
    }

    int size() {
        return byId.size();
    }
}
