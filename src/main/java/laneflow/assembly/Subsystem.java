package laneflow.assembly;

import java.io.IOException;

/**
 * The lifecycle of an optional subsystem, driven by {@link Serve}. A subsystem is constructed on the starting
 * thread before the scheduler starts; then these methods are called in the order in which they are declared.
 * By default each does nothing, so that a subsystem overrides only the phases it takes part in.
 */
interface Subsystem {
    /** Recovers the state that an earlier process left, before clients can connect. On the starting thread. */
    default void start() throws IOException, InterruptedException {}

    /** Called once the scheduler listens for clients. On the starting thread. */
    default void onServing() throws IOException, InterruptedException {}

    /** Whether the scheduler may report itself ready. On the loop, as every method below except the last two. */
    default boolean isReady() {
        return true;
    }

    /** Called when the process begins to stop; accepted work is still completed. */
    default void drain() {}

    /** Called when the time for completing accepted work is over. */
    default void abandonRunning() {}

    /** True while a client waits for an answer from this subsystem. */
    default boolean hasPendingAnswers() {
        return false;
    }

    /** Writes outstanding data, once all clients are answered. On any thread except the loop. */
    default void close() throws InterruptedException {}

    /** Called in place of {@link #close} where the loop was stopped abruptly, as in a power failure. On any thread. */
    default void halt() throws InterruptedException {}
}
