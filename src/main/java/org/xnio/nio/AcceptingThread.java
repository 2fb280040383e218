package org.xnio.nio;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioWorker;

/** Access to the thread on which XNIO accepts connections. It is package-private to XNIO, hence this package. */
public final class AcceptingThread {
    private static final long DELAY_MS = 1;

    private AcceptingThread() {}

    /** Runs an action on the worker's accept thread after its next select on the listening sockets. */
    public static void afterNextSelect(XnioWorker worker, Runnable action) {
        WorkerThread thread = ((NioXnioWorker) worker).getAcceptThread();
        // A delayed task that is scheduled from a task runs after the thread's next select, never before it.
        thread.execute(() -> thread.executeAfter(action, DELAY_MS, TimeUnit.MILLISECONDS));
    }
}
