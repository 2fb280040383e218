package laneflow.assembly;

import java.io.IOException;

/**
 * A part that a setup may leave out, as {@link Serve} sees it from the start to the last answer. It is made,
 * on the thread that starts, before the scheduler begins; then come these calls in their order. All of them
 * do nothing here, so that a part says only what it takes part in.
 */
interface Subsystem {
    /** Takes over what an earlier life left; clients come behind it. On the thread that starts. */
    default void begin() throws IOException, InterruptedException {}

    /** Clients are let in. On the thread that starts. */
    default void opened() throws IOException, InterruptedException {}

    /** Whether clients may be asked for. On the loop's thread, as all that follow but the last two. */
    default boolean isReady() {
        return true;
    }

    /** The process is to end; what is taken still ends. */
    default void drain() {}

    /** The time for that is over. */
    default void letGo() {}

    /** True while it owes an answer. */
    default boolean isOwed() {
        return false;
    }

    /** All is answered: writes what is still to be written. On any thread but the loop's. */
    default void close() throws InterruptedException {}

    /** The loop has ended amid whatever it was at, as where a machine loses its power. On any thread. */
    default void halt() throws InterruptedException {}
}
