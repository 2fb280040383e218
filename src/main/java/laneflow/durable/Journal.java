package laneflow.durable;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes to the store asynchronously: one thread owns the store and reads from a bounded queue. It commits all
 * queued ops, up to a batch, in one transaction with one sync (group commit), and runs the callbacks on the
 * loop. The loop never blocks: the caller is told at once when the queue is full.
 *
 * <p>If a batch does not fit on disk, its acceptances fail, and the remaining ops, which drop jobs or record
 * what has happened, are retried without them. After any other failure the store is not used again: after one
 * failed sync, the next one may report success with nothing written (Rebello et al., 2020).
 */
public final class Journal implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Journal.class);
    private static final int MAX_BATCH = 2048;
    /** Acceptances use only capacity / 2 of the queue; the rest is kept for records of running jobs. */
    private static final int ACCEPT_QUEUE_DIVISOR = 2;

    private static final long POLL_TIMEOUT_MS = 200;
    private static final long MAX_COMMIT_US = 60_000_000;

    /** Ops between two checks of the store's size; they hold far less than the space kept free. */
    private static final int SIZE_CHECK_OPS = 16;

    private final Storage store;
    private final Consumer<Runnable> loop;
    private final int capacity;
    private final ArrayBlockingQueue<Entry> queue;
    private final Thread thread;
    private volatile StoreException broken;
    private volatile long usedBytes;
    private volatile long batches;
    private volatile boolean closing;
    private final Recorder commitTimes = new Recorder(MAX_COMMIT_US, 2);
    private int opsSinceSizeCheck;

    /** The operations that the journal needs from a store. */
    public interface Storage extends AutoCloseable {
        void write(List<Op> ops) throws StoreException;

        byte[] result(long id) throws StoreException;

        long usedBytes() throws StoreException;

        void vacuumIncrementally() throws StoreException;

        @Override
        void close();
    }

    /** An entry of the queue: an op to write, or a result to read. */
    private record Entry(Op op, Consumer<StoreException> done, long id, Consumer<byte[]> read) {
        boolean accepts() {
            return op != null && op.kind() == Op.Kind.ACCEPT;
        }
    }

    /** Starts a journal on this store; {@code loop} runs the callbacks on the loop's thread. */
    public Journal(Storage store, Consumer<Runnable> loop, int capacity) {
        this.store = store;
        this.loop = loop;
        this.capacity = capacity;
        queue = new ArrayBlockingQueue<>(capacity);
        try {
            usedBytes = store.usedBytes();
        } catch (StoreException e) {
            fail(e);
        }
        thread = new Thread(this::run, "journal");
        thread.setDaemon(true);
        thread.start();
    }

    // ---- called on the loop's thread ----

    /**
     * Queues an op; {@code done} gets null once it is on disk, or else the failure. Returns false if the queue
     * has no room.
     */
    boolean write(Op op, Consumer<StoreException> done) {
        Entry entry = new Entry(op, done, 0, null);
        if (entry.accepts() && queue.size() >= capacity / ACCEPT_QUEUE_DIVISOR) {
            return false;
        }
        return queue.offer(entry);
    }

    /** Reads a job's result, after all entries queued before; {@code read} gets null if there is none. */
    boolean result(long id, Consumer<byte[]> read) {
        return queue.offer(new Entry(null, null, id, read));
    }

    /** The failure after which nothing is written any more, or null. */
    public StoreException broken() {
        return broken;
    }

    public long usedBytes() {
        return usedBytes;
    }

    /** Committed transactions since the start, with one sync each. */
    public long batches() {
        return batches;
    }

    /** Commit durations in microseconds since the previous call; empty if there were none. */
    Histogram commitTimesSinceLast() {
        return commitTimes.getIntervalHistogram();
    }

    // ---- called on the journal's thread ----

    private void run() {
        List<Entry> batch = new ArrayList<>();
        boolean vacuumed = false;
        while (!closing || !queue.isEmpty()) {
            try {
                Entry first = queue.poll(POLL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
                if (first == null) {
                    // Idle: return free pages to the disk in small steps.
                    if (!vacuumed && broken == null) {
                        store.vacuumIncrementally();
                        usedBytes = store.usedBytes();
                        vacuumed = true;
                    }
                    continue;
                }
                vacuumed = false;
                batch.add(first);
                queue.drainTo(batch, MAX_BATCH - 1);
                process(batch);
            } catch (InterruptedException e) {
                closing = true;
            } catch (StoreException e) {
                fail(e);
            } catch (RuntimeException e) {
                // This thread must survive a bug here, as it owns the store, and later callers must get a failure.
                fail(new StoreException(StoreException.Kind.BROKEN, "the journal failed: " + e, e));
            } finally {
                batch.clear();
            }
        }
        store.close();
    }

    private void process(List<Entry> batch) {
        List<Entry> writes = batch.stream().filter(entry -> entry.op() != null).toList();
        List<Runnable> callbacks = new ArrayList<>();
        if (!writes.isEmpty()) {
            StoreException failed = commit(writes);
            if (failed != null && failed.kind == StoreException.Kind.FULL && broken == null) {
                List<Entry> accepts = writes.stream().filter(Entry::accepts).toList();
                List<Entry> others =
                        writes.stream().filter(entry -> !entry.accepts()).toList();
                accepts.forEach(entry -> callbacks.add(() -> entry.done().accept(failed)));
                if (!others.isEmpty()) {
                    StoreException retryFailure = commit(others);
                    others.forEach(entry -> callbacks.add(() -> entry.done().accept(retryFailure)));
                }
            } else {
                writes.forEach(entry -> callbacks.add(() -> entry.done().accept(failed)));
            }
        }
        for (Entry entry : batch) {
            if (entry.read() != null) {
                byte[] result = read(entry.id());
                callbacks.add(() -> entry.read().accept(result));
            }
        }
        try {
            loop.accept(() -> callbacks.forEach(Runnable::run));
        } catch (RejectedExecutionException e) {
            // The loop has stopped, so no caller is left; what was written stays written.
            LOG.debug("the loop has stopped: {} callbacks of the journal discarded", callbacks.size());
        }
    }

    private StoreException commit(List<Entry> writes) {
        if (broken != null) {
            return broken;
        }
        try {
            long start = System.nanoTime();
            store.write(writes.stream().map(Entry::op).toList());
            commitTimes.recordValue(Math.min(MAX_COMMIT_US, (System.nanoTime() - start) / 1000));
            batches++;
            opsSinceSizeCheck += writes.size();
            if (opsSinceSizeCheck >= SIZE_CHECK_OPS) {
                // This takes two queries, too costly after each commit.
                opsSinceSizeCheck = 0;
                usedBytes = store.usedBytes();
            }
            return null;
        } catch (StoreException e) {
            if (e.kind != StoreException.Kind.FULL) {
                fail(e);
            }
            return e;
        }
    }

    private byte[] read(long id) {
        try {
            return store.result(id);
        } catch (StoreException e) {
            LOG.error("{}", e.getMessage());
            return null;
        }
    }

    private void fail(StoreException e) {
        if (broken == null) {
            broken = e;
            LOG.error(
                    "durable jobs: the store failed and is not used again; no jobs are"
                            + " acknowledged until a restart: {}",
                    e.getMessage());
        }
    }

    /** Processes the queued entries, then closes the store; waits 10 s at most. */
    @Override
    public void close() throws InterruptedException {
        closing = true;
        thread.join(10_000);
    }
}
