package laneflow.lab.rig;

import java.io.IOException;

/** Waiting for processes on events: until something holds, and not forever. */
public final class Await {
    static final long PATIENCE_NS = 60_000_000_000L;
    private static final int PAUSE_MS = 3;

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
    public static void until(String what, Condition condition, Diagnostics said)
            throws IOException, InterruptedException {
        long end = System.nanoTime() + PATIENCE_NS;
        while (true) {
            try {
                if (condition.holds()) {
                    return;
                }
            } catch (IOException e) {
                // Not listening yet, or stopped.
                Thread.onSpinWait();
            }
            if (System.nanoTime() > end) {
                throw new IOException("waited in vain until " + what + "\n" + said.text());
            }
            Thread.sleep(PAUSE_MS);
        }
    }
}
