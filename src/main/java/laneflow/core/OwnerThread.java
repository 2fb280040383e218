package laneflow.core;

/**
 * The thread that owns what is not locked: the first one that touches it. Asked in assertions, which are on
 * in tests: there a call from another thread shows, and in service it costs nothing.
 */
final class OwnerThread {
    private Thread thread;

    boolean isCurrent() {
        thread = thread == null ? Thread.currentThread() : thread;
        return thread == Thread.currentThread();
    }
}
