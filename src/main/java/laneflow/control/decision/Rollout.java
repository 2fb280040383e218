package laneflow.control.decision;

import java.util.SplittableRandom;
import laneflow.core.Endpoint;

/**
 * Selects the schedulers of a staged rollout. The selection depends only on the scheduler's name and the
 * rollout's seed, so the control service, the scheduler and the command line agree on it. A scheduler that is
 * selected at a share of 0.2 is selected at 0.5 as well.
 */
public final class Rollout {
    private Rollout() {}

    /** Returns the scheduler's position for this seed, from 0 to 1; positions below the share are selected. */
    public static double position(String scheduler, long seed) {
        // FNV hashes of short names differ little in their high bits; the generator's mixing spreads them.
        return new SplittableRandom(Endpoint.stableId(scheduler) ^ seed * 0x9e3779b97f4a7c15L).nextDouble();
    }

    public static boolean includes(String scheduler, long seed, double share) {
        return position(scheduler, seed) < share;
    }
}
