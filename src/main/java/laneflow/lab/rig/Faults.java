package laneflow.lab.rig;

import java.util.SplittableRandom;

/** The faults injected into one direction of a path. They may be changed while messages pass. */
public class Faults {
    /** Drops every message without an error to the sender. */
    volatile boolean isCut;

    volatile int delayMs;
    /** Maximum random delay added to each message; messages may be reordered by it. */
    volatile int jitterMs;
    /** Share of messages that are dropped, 0 to 1. */
    volatile double lossShare;

    /** Share of messages that are sent twice, 0 to 1. */
    volatile double duplicateShare;

    void clear() {
        delayMs = 0;
        jitterMs = 0;
        lossShare = 0;
        duplicateShare = 0;
        isCut = false;
    }

    /** Returns the delay of the next message in milliseconds. */
    long nextDelayMs(SplittableRandom random) {
        return delayMs + (jitterMs == 0 ? 0 : random.nextInt(jitterMs + 1));
    }
}
