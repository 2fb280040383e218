package laneflow.lab.rig;

import java.util.SplittableRandom;

/** What befalls one direction of a path; all may be changed at any time. */
public class Faults {
    /** Nothing gets through, and nothing says so. */
    volatile boolean isCut;

    volatile int delayMs;
    /** Up to so much more, drawn for each message; they may overtake each other then. */
    volatile int jitterMs;
    /** Shares of messages. */
    volatile double lossShare;

    volatile double duplicateShare;

    void clear() {
        delayMs = 0;
        jitterMs = 0;
        lossShare = 0;
        duplicateShare = 0;
        isCut = false;
    }

    /** Milliseconds that the next message takes. */
    long nextDelayMs(SplittableRandom random) {
        return delayMs + (jitterMs == 0 ? 0 : random.nextInt(jitterMs + 1));
    }
}
