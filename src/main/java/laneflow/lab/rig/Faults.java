package laneflow.lab.rig;

import java.util.SplittableRandom;

/** What befalls one direction of a path; all may be changed at any time. */
public class Faults {
    /** Nothing gets through, and nothing says so. */
    volatile boolean cut;

    volatile int delayMs;
    /** Up to so much more, drawn for each message; they may overtake each other then. */
    volatile int jitterMs;
    /** Shares of messages. */
    volatile double lost;

    volatile double doubled;

    void clear() {
        delayMs = 0;
        jitterMs = 0;
        lost = 0;
        doubled = 0;
        cut = false;
    }

    /** Milliseconds that the next message takes. */
    long takes(SplittableRandom random) {
        return delayMs + (jitterMs == 0 ? 0 : random.nextInt(jitterMs + 1));
    }
}
