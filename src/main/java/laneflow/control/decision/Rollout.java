package laneflow.control.decision;

import java.util.SplittableRandom;
import laneflow.core.Endpoint;

/**
 * Which schedulers take part in a version that is held back to a share of them. The choice follows from the
 * scheduler's name and the version's seed alone: the control service, the scheduler and an operator's
 * command come to the same answer, and who takes part in a fifth takes part in a half too.
 */
public final class Rollout {
    private Rollout() {}

    /** The scheduler's place in the order of this seed, 0 to 1; those below the share take part. */
    public static double position(String scheduler, long seed) {
        // FNV leaves the high bits of short names alike: the generator's own mixing spreads them.
        return new SplittableRandom(Endpoint.stableId(scheduler) ^ seed * 0x9e3779b97f4a7c15L).nextDouble();
    }

    public static boolean includes(String scheduler, long seed, double share) {
        return position(scheduler, seed) < share;
    }
}
