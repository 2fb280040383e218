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
 * The way to the disk: one thread that owns the store, behind a bounded queue. It takes all that waits
 * there, up to a batch, as one transaction with one sync (group commit), and hands the news back to the
 * loop. The loop never waits: a queue without room for another job is told to the one who asked.
 *
 * <p>Where a batch finds no room on disk, its acceptances are turned down and the rest, which frees jobs or
 * records what has happened, is tried alone. After any other failure the store is left alone for good: a
 * sync that has failed once may report success the next time with nothing written (Rebello et al., 2020).
 */
public final class Journal implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Journal.class);
    private static final int MOST_BATCH = 2048;
    /** Acceptances leave this part of the queue to what must be recorded of jobs at work. */
    private static final int ACCEPT_PART = 2;

    private static final long IDLE_MS = 200;
    /** Ops between two looks at the store's size: what they hold is far from the part kept free. */
    private static final long LONGEST_US = 60_000_000;

    private static final int LOOK_EVERY = 16;

    private final Disk store;
    private final Consumer<Runnable> loop;
    private final int capacity;
    private final ArrayBlockingQueue<Entry> queue;
    private final Thread thread;
    private volatile StoreException broken;
    private volatile long usedBytes;
    private volatile long batches;
    private volatile boolean closing;
    private final Recorder took = new Recorder(LONGEST_US, 2);
    private int sinceLooked;

    /** What the journal asks of a store; tests have it fail. */
    public interface Disk extends AutoCloseable {
        void write(List<Op> ops) throws StoreException;

        byte[] result(long id) throws StoreException;

        long usedBytes() throws StoreException;

        void tidy() throws StoreException;

        @Override
        void close();
    }

    /** One thing to do: an op, or a result to be read. */
    private record Entry(Op op, Consumer<StoreException> done, long id, Consumer<byte[]> read) {
        boolean accepts() {
            return op != null && op.kind() == Op.Kind.ACCEPT;
        }
    }

    /** A journal on that store; the loop runs what it is handed on its own thread. */
    public Journal(Disk store, Consumer<Runnable> loop, int capacity) {
        this.store = store;
        this.loop = loop;
        this.capacity = capacity;
        queue = new ArrayBlockingQueue<>(capacity);
        try {
            usedBytes = store.usedBytes();
        } catch (StoreException e) {
            fails(e);
        }
        thread = new Thread(this::run, "journal");
        thread.setDaemon(true);
        thread.start();
    }

    // ---- from the loop ----

    /** Has an op written; null is told once it is on disk, else why not. False: no room in the queue. */
    boolean write(Op op, Consumer<StoreException> done) {
        Entry entry = new Entry(op, done, 0, null);
        if (entry.accepts() && queue.size() >= capacity / ACCEPT_PART) {
            return false;
        }
        return queue.offer(entry);
    }

    /** Reads a job's result, behind all that was asked before; null where there is none. */
    boolean result(long id, Consumer<byte[]> read) {
        return queue.offer(new Entry(null, null, id, read));
    }

    /** Why nothing is written any more, or null. */
    public StoreException broken() {
        return broken;
    }

    public long usedBytes() {
        return usedBytes;
    }

    /** Transactions, a sync each, since the start. */
    public long batches() {
        return batches;
    }

    /** How long commits took since this was last asked, microseconds; empty if there were none. */
    Histogram tookSince() {
        return took.getIntervalHistogram();
    }

    // ---- on its own thread ----

    private void run() {
        List<Entry> batch = new ArrayList<>();
        boolean tidied = false;
        while (!closing || !queue.isEmpty()) {
            try {
                Entry first = queue.poll(IDLE_MS, TimeUnit.MILLISECONDS);
                if (first == null) {
                    // Nothing to do: a good time to give room back, in small pieces.
                    if (!tidied && broken == null) {
                        store.tidy();
                        usedBytes = store.usedBytes();
                        tidied = true;
                    }
                    continue;
                }
                tidied = false;
                batch.add(first);
                queue.drainTo(batch, MOST_BATCH - 1);
                take(batch);
            } catch (InterruptedException e) {
                closing = true;
            } catch (StoreException e) {
                fails(e);
            } catch (RuntimeException e) {
                // A fault here must not leave the store without its owner, and callers without a word.
                fails(new StoreException(StoreException.Kind.BROKEN, "the journal failed: " + e, e));
            } finally {
                batch.clear();
            }
        }
        store.close();
    }

    private void take(List<Entry> batch) {
        List<Entry> writes = batch.stream().filter(entry -> entry.op() != null).toList();
        List<Runnable> news = new ArrayList<>();
        if (!writes.isEmpty()) {
            StoreException failed = commit(writes);
            if (failed != null && failed.kind == StoreException.Kind.FULL && broken == null) {
                List<Entry> accepts = writes.stream().filter(Entry::accepts).toList();
                List<Entry> others =
                        writes.stream().filter(entry -> !entry.accepts()).toList();
                accepts.forEach(entry -> news.add(() -> entry.done().accept(failed)));
                if (!others.isEmpty()) {
                    StoreException again = commit(others);
                    others.forEach(entry -> news.add(() -> entry.done().accept(again)));
                }
            } else {
                writes.forEach(entry -> news.add(() -> entry.done().accept(failed)));
            }
        }
        for (Entry entry : batch) {
            if (entry.read() != null) {
                byte[] found = read(entry.id());
                news.add(() -> entry.read().accept(found));
            }
        }
        try {
            loop.accept(() -> news.forEach(Runnable::run));
        } catch (RejectedExecutionException e) {
            // The loop has ended: nobody is left to hear, and what was written stays written.
            LOG.debug("{} words of the store came too late", news.size());
        }
    }

    private StoreException commit(List<Entry> writes) {
        if (broken != null) {
            return broken;
        }
        try {
            long from = System.nanoTime();
            store.write(writes.stream().map(Entry::op).toList());
            took.recordValue(Math.min(LONGEST_US, (System.nanoTime() - from) / 1000));
            batches++;
            sinceLooked += writes.size();
            if (sinceLooked >= LOOK_EVERY) {
                // Two queries: not worth asking behind each commit.
                sinceLooked = 0;
                usedBytes = store.usedBytes();
            }
            return null;
        } catch (StoreException e) {
            if (e.kind != StoreException.Kind.FULL) {
                fails(e);
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

    private void fails(StoreException e) {
        if (broken == null) {
            broken = e;
            LOG.error(
                    "durable jobs: the store failed and is left alone from now on, nothing more is"
                            + " acknowledged until a restart: {}",
                    e.getMessage());
        }
    }

    /** Writes what is queued, then closes the store. */
    @Override
    public void close() throws InterruptedException {
        closing = true;
        thread.join(10_000);
    }
}
