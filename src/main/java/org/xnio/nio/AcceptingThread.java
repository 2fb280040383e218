package org.xnio.nio;

import java.util.concurrent.TimeUnit;
import org.xnio.XnioWorker;

/**
 * The thread on which XNIO accepts connections. Only this package knows it, hence the place of this file.
 */
public final class AcceptingThread {
    private static final long DELAY_MS = 1;

    private AcceptingThread() {}

    /** Runs a call on the worker's accepting thread, behind its next look at its listening sockets. */
    public static void afterNextSelect(XnioWorker worker, Runnable action) {
        WorkerThread thread = ((NioXnioWorker) worker).getAcceptThread();
        // A task that is set for later by a task runs behind the thread's next selection, never before it.
        thread.execute(() -> thread.executeAfter(action, DELAY_MS, TimeUnit.MILLISECONDS));
    }
}
