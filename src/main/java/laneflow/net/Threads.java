package laneflow.net;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Daemon threads for blocking work beside the loop's thread. */
public final class Threads {
    private static final int IDLE_S = 10;

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
}
