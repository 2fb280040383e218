package laneflow.gearman.decision;

import laneflow.decision.Dispatch.Effect;

/**
 * Whether what a worker says while it works is passed on at once or held until the job's end. Passed on, it
 * can't be taken back: a second attempt would say it again, and a client that puts the pieces together would
 * have both. So only a job that is never tried again once it may have run has its words passed on; of any
 * other the client hears the words of the attempt that served it, in front of the result.
 */
public final class Passing {
    private Passing() {}

    public static boolean passesOn(Effect effect) {
        return effect == Effect.UNSAFE;
    }
}
