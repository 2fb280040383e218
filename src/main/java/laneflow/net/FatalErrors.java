package laneflow.net;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ends the process on errors after which it can't serve, so that its supervisor starts it anew: a process that stays
 * up without serving keeps its address, and its clients wait in vain.
 */
public final class FatalErrors {
    private static final Logger LOG = LoggerFactory.getLogger(FatalErrors.class);
    /** As the JVM's own exit code under {@code -XX:+ExitOnOutOfMemoryError}. */
    private static final int EXIT_CODE = 3;

    private FatalErrors() {}

    /** From now on an uncaught fatal error on any thread ends the process; other errors are logged. */
    public static void endProcessIfUncaught() {
        Thread.setDefaultUncaughtExceptionHandler((thread, error) -> {
            if (isFatal(error)) {
                endProcess(error);
            }
            LOG.error("thread {} has ended", thread.getName(), error);
        });
    }

    /**
     * Whether the JVM may be unable to go on: it has run out of memory, or has failed internally. A stack overflow is
     * not fatal, because it ends with the event that caused it.
     */
    static boolean isFatal(Throwable error) {
        return error instanceof VirtualMachineError && !(error instanceof StackOverflowError);
    }

    /** Ends the process at once, without shutdown hooks, which might need what is exhausted. */
    static void endProcess(Throwable error) {
        try {
            LOG.error("the process can't go on and ends", error);
        } finally {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
    }
}
