package laneflow.gearman.decision;

import laneflow.decision.Dispatch.Effect;

/**
 * Whether a worker's intermediate output is passed on at once or held until the job's end. Passed on, it
 * can't be taken back: a second attempt would send it again, and a client that puts the pieces together would
 * have both. So only a job that is never tried again once it may have run has its output passed on; of any
 * other job the client gets the output of the successful attempt, in front of the result.
 */
public final class OutputForwarding {
    private OutputForwarding() {}

    public static boolean forwardsImmediately(Effect effect) {
        return effect == Effect.UNSAFE;
    }
}
