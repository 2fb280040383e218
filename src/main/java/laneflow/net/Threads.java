package laneflow.net;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Daemon threads for blocking work beside the loop's thread. */
public final class Threads {
    private static final int IDLE_S = 10;
    /** How long the end of an executor waits for a task that hangs, for example on a disk; seconds. */
    private static final int END_S = 2;

    private Threads() {}

    /** Creates a daemon thread without starting it. */
    public static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Creates a pool without a queue: each task runs at once on its own thread, or is rejected if all are busy. */
    public static ExecutorService boundedPool(int maxThreads, String name) {
        return new ThreadPoolExecutor(
                0, maxThreads, IDLE_S, TimeUnit.SECONDS, new SynchronousQueue<>(), task -> daemon(task, name));
    }

    /** Creates an executor that runs its tasks one after the other on a single thread. */
    public static ExecutorService serialExecutor(String name) {
        return Executors.newSingleThreadExecutor(task -> daemon(task, name));
    }

    /**
     * Ends an executor once its queued tasks have run. Returns when none of them runs any more, or after {@value
     * #END_S} s if one hangs.
     */
    public static void finish(ExecutorService executor) throws InterruptedException {
        executor.shutdown();
        executor.awaitTermination(END_S, TimeUnit.SECONDS);
    }

    /**
     * Ends an executor without running its queued tasks. Returns when the current task has ended, or after {@value
     * #END_S} s if it hangs.
     */
    public static void abort(ExecutorService executor) throws InterruptedException {
        executor.shutdownNow();
        executor.awaitTermination(END_S, TimeUnit.SECONDS);
    }
}
