package laneflow.core;

/**
 * The thread that owns an unsynchronized object: the first one to use it. It is checked in assertions only,
 * which are enabled in tests and cost nothing in production.
 */
final class OwnerThread {
    private Thread thread;

    boolean isCurrent() {
        thread = thread == null ? Thread.currentThread() : thread;
        return thread == Thread.currentThread();
    }
}
