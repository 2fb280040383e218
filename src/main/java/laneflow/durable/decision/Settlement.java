package laneflow.durable.decision;

import java.util.List;
import laneflow.decision.Dispatch.Effect;

/**
 * Decides what happens to a durable job that is not running anywhere, because its lease expired, its scheduler
 * restarted, or the core gave it up. The decision depends only on the recorded attempts and the wall clock, so
 * another process that reads the same record decides the same. No I/O, no clock of its own.
 */
public final class Settlement {
    /** The next step for a job. */
    public enum Kind {
        /** The job goes back into the queue. */
        REQUEUE,
        /** The job may have had its effect and must not be sent again; a late outcome can still settle it. */
        UNKNOWN,
        /** The job ends as failed. */
        FAILED
    }

    /**
     * A decision.
     *
     * @param untilMs for REQUEUE: attempts must begin before this instant; {@link Long#MAX_VALUE}: no limit
     * @param reason human-readable explanation
     */
    public record Verdict(Kind kind, long untilMs, String reason) {}

    private Settlement() {}

    /**
     * Decides what happens to a job next.
     *
     * @param attempts all attempts so far; one that is still OUT counts as one that may have run
     * @param windowMs how long endpoints deduplicate requests by the job's key
     * @param nowMs the current wall-clock time
     * @param latestMs the latest recorded wall-clock time; if {@code nowMs} is less, the clock was set back
     * @param maxAttempts limit on the attempts that may have run, over the job's lifetime
     */
    public static Verdict decide(
            Effect effect, List<AttemptRecord> attempts, long windowMs, long nowMs, long latestMs, int maxAttempts) {
        int possibleRuns = 0;
        long firstMs = Long.MAX_VALUE;
        boolean onlyFailures = true;
        for (AttemptRecord attempt : attempts) {
            if (attempt.mayHaveRun()) {
                possibleRuns++;
                firstMs = Math.min(firstMs, attempt.leasedMs());
                onlyFailures &= attempt.known() == AttemptRecord.Known.SAID_FAILED;
            }
        }
        if (possibleRuns == 0) {
            return new Verdict(Kind.REQUEUE, Long.MAX_VALUE, "it never ran");
        }
        if (effect == Effect.SAFE) {
            return possibleRuns < maxAttempts
                    ? new Verdict(Kind.REQUEUE, Long.MAX_VALUE, "it may run twice")
                    : new Verdict(Kind.FAILED, 0, possibleRuns + " attempts, and none was served");
        }
        Kind finalKind = onlyFailures ? Kind.FAILED : Kind.UNKNOWN;
        if (effect == Effect.UNSAFE) {
            return new Verdict(
                    finalKind,
                    0,
                    onlyFailures ? "its endpoint said that it failed" : "it may have run, and must not run twice");
        }
        if (nowMs < latestMs) {
            // The age of the first attempt is unknown, so its deduplication window is treated as expired.
            return new Verdict(finalKind, 0, "the clock went back by " + (latestMs - nowMs) + " ms");
        }
        if (possibleRuns >= maxAttempts) {
            return new Verdict(finalKind, 0, possibleRuns + " attempts, and none was served");
        }
        if (nowMs - firstMs >= windowMs) {
            return new Verdict(finalKind, 0, "its key's window was over " + (nowMs - firstMs - windowMs) + " ms ago");
        }
        return new Verdict(Kind.REQUEUE, firstMs + windowMs, "its key's window is open");
    }
}
