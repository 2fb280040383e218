package laneflow.net;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Threads for what blocks, beside the loop's one: they keep no process alive. */
public final class Threads {
    private Threads() {
    }

    /** One that is not started yet. */
    public static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /** One that does what it is given in that order. */
    public static ExecutorService inOrder(String name) {
        return Executors.newSingleThreadExecutor(task -> daemon(task, name));
    }
}
