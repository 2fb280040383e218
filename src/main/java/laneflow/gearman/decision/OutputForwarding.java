package laneflow.gearman.decision;

import laneflow.decision.Dispatch.Effect;

/**
 * Decides whether a worker's intermediate output is forwarded to the clients at once or held until the job
 * ends. Forwarded output can't be withdrawn: a retry would send it again, and a client that concatenates the
 * pieces would get both. It is therefore forwarded only for jobs that are never retried once they may have run;
 * for all others the clients get the output of the successful attempt, before the result.
 */
public final class OutputForwarding {
    private OutputForwarding() {}

    public static boolean forwardsImmediately(Effect effect) {
        return effect == Effect.UNSAFE;
    }
}
