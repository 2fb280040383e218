package laneflow.lab.rig;

import java.io.IOException;

/** Waiting for processes on events: until something holds, and not forever. */
public final class Await {
    static final long TIMEOUT_NS = 60_000_000_000L;
    private static final int POLL_INTERVAL_MS = 3;

    private Await() {}

    /** Holds, or not yet; a process that does not answer is no reason to give up. */
    public interface Condition {
        boolean holds() throws IOException, InterruptedException;
    }

    /** What is known of it where one has waited in vain. */
    public interface Diagnostics {
        String text() throws IOException;
    }

    /** Returns once it holds; fails with what is known after a minute. */
    public static void until(String description, Condition condition, Diagnostics diagnostics)
            throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT_NS;
        while (true) {
            try {
                if (condition.holds()) {
                    return;
                }
            } catch (IOException e) {
                // Not listening yet, or stopped.
                Thread.onSpinWait();
            }
            if (System.nanoTime() > deadline) {
                throw new IOException("waited in vain until " + description + "\n" + diagnostics.text());
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }
}
