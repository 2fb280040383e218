package laneflow.lab.rig;

import java.io.IOException;

/** Polls until a condition on other processes holds, with a time limit. */
public final class Await {
    static final long TIMEOUT_NS = 60_000_000_000L;
    private static final int POLL_INTERVAL_MS = 3;

    private Await() {}

    /** A condition to wait for. An IOException counts as "not yet": the process may not be listening. */
    public interface Condition {
        boolean holds() throws IOException, InterruptedException;
    }

    /** Supplies details for the error message when the time limit is exceeded. */
    public interface Diagnostics {
        String text() throws IOException;
    }

    /** Returns once the condition holds; after a minute fails with the description and the diagnostics. */
    public static void until(String description, Condition condition, Diagnostics diagnostics)
            throws IOException, InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT_NS;
        while (true) {
            try {
                if (condition.holds()) {
                    return;
                }
            } catch (IOException e) {
                // The process is not listening yet, or is suspended.
                Thread.onSpinWait();
            }
            if (System.nanoTime() > deadline) {
                throw new IOException("timed out waiting until " + description + "\n" + diagnostics.text());
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }
}
