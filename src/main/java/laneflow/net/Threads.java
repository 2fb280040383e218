package laneflow.net;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Threads for what blocks, beside the loop's one: they keep no process alive. */
public final class Threads {
    private static final int IDLE_S = 10;

    private Threads() {}

    /** One that is not started yet. */
    public static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /** As many as there is work for, none waiting for another; beyond the most it is turned down. */
    public static ExecutorService boundedPool(int maxThreads, String name) {
        return new ThreadPoolExecutor(
                0, maxThreads, IDLE_S, TimeUnit.SECONDS, new SynchronousQueue<>(), task -> daemon(task, name));
    }

    /** One that does what it is given in that order. */
    public static ExecutorService serialExecutor(String name) {
        return Executors.newSingleThreadExecutor(task -> daemon(task, name));
    }
}
