package laneflow.core;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ObjLongConsumer;

/**
 * The ids of requests that may still run or have run lately: a request whose id is among them is not run. An id is held
 * from its request's acceptance until its last attempt has ended and its deadline has passed, and for a while after
 * that. What is held for longer than needed is dropped first when there is no room; if nothing is, no id is taken.
 *
 * <p>Not thread-safe: the loop's thread owns it.
 */
public final class RequestIds {
    /** How long an id is held after its request, if there is room, microseconds. */
    static final long RETENTION_MICROS = 60_000_000;
    /** Memory that an id takes up at most, roughly: the text, and its entries in the tables. */
    private static final int BYTES_PER_ID = 256;

    private static final double HEAP_SHARE = 1.0 / 16;

    /** Whether a request may be taken, by its id. */
    public enum Admission {
        TAKEN,
        /** Its request is open. */
        OPEN,
        /** Its request has ended, and may have run. */
        RAN,
        /** As many ids are held as fit, and each of them may still run. */
        FULL
    }

    private static final class Entry {
        private final String id;
        /** The deadline of its request, microseconds. */
        private final long deadline;
        /** Until then its request may run, microseconds; {@link Long#MAX_VALUE} while it is open. */
        private long mayRunUntil = Long.MAX_VALUE;
        /** Until then it is held if there is room, microseconds. */
        private long holdUntil;

        private Entry(String id, long deadline) {
            this.id = id;
            this.deadline = deadline;
        }
    }

    private final int maxIds;
    private final Map<String, Entry> entries = new HashMap<>();
    /** Entries whose request has ended, in the order of that. */
    private final ArrayDeque<Entry> ended = new ArrayDeque<>();
    /** Is told of each id that is taken, and until when it may run. */
    private ObjLongConsumer<String> listener = (id, mayRunUntil) -> {};

    public RequestIds(int maxIds) {
        this.maxIds = maxIds;
    }

    /** Creates a table of the size that fits the JVM's heap. */
    public static RequestIds ofHeap() {
        return new RequestIds((int) (HEAP_SHARE * Runtime.getRuntime().maxMemory() / BYTES_PER_ID));
    }

    /** Sets what is told of each id that is taken here, with the instant until which it may run. */
    public void onTaken(ObjLongConsumer<String> action) {
        listener = action;
    }

    /** Takes the id of a request with this deadline, unless it is held. */
    public Admission take(String id, long now, long deadline) {
        dropOutdated(now);
        Entry known = entries.get(id);
        if (known != null) {
            return known.mayRunUntil == Long.MAX_VALUE ? Admission.OPEN : Admission.RAN;
        }
        if (!makeRoom(now)) {
            return Admission.FULL;
        }
        entries.put(id, new Entry(id, deadline));
        listener.accept(id, deadline);
        return Admission.TAKEN;
    }

    /** Holds an id that another process of this scheduler has taken. */
    public void learn(String id, long now, long mayRunUntil) {
        dropOutdated(now);
        if (!entries.containsKey(id) && makeRoom(now)) {
            Entry entry = new Entry(id, mayRunUntil);
            entries.put(id, entry);
            end(entry, mayRunUntil, 0);
        }
    }

    /** Forgets the id of a request that has ended and never ran. */
    public void forget(String id) {
        Entry entry = entries.get(id);
        if (entry != null && entry.mayRunUntil == Long.MAX_VALUE) {
            entries.remove(id);
        }
    }

    /**
     * The request has ended, and may have run.
     *
     * @param mayRunUntil until when an endpoint may be at it, microseconds
     * @param holdUntil until when its id is held in any case if there is room, microseconds
     */
    public void end(String id, long mayRunUntil, long holdUntil) {
        Entry entry = entries.get(id);
        if (entry != null && entry.mayRunUntil == Long.MAX_VALUE) {
            end(entry, mayRunUntil, holdUntil);
        }
    }

    private void end(Entry entry, long mayRunUntil, long holdUntil) {
        entry.mayRunUntil = mayRunUntil;
        entry.holdUntil = Math.max(holdUntil, mayRunUntil + RETENTION_MICROS);
        ended.add(entry);
    }

    /** Passes each id with the instant until which its request may run, microseconds. */
    public void forEach(ObjLongConsumer<String> action) {
        entries.forEach((id, entry) -> action.accept(id, Math.min(entry.deadline, entry.mayRunUntil)));
    }

    /** The number of ids that are held. */
    public int size() {
        return entries.size();
    }

    private void dropOutdated(long now) {
        while (!ended.isEmpty() && ended.peek().holdUntil <= now) {
            dropFirst();
        }
    }

    private boolean makeRoom(long now) {
        while (entries.size() >= maxIds && !ended.isEmpty() && ended.peek().mayRunUntil <= now) {
            dropFirst();
        }
        return entries.size() < maxIds;
    }

    private void dropFirst() {
        entries.remove(ended.remove().id);
    }
}
