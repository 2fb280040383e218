package laneflow.durable.decision;

import java.util.List;
import laneflow.decision.Dispatch.Effect;

/**
 * What becomes of a durable job that is at work nowhere, because its lease ran out, its scheduler came back,
 * or the core gave it up. Decided from recorded facts and the wall clock alone, so that the same record read
 * by another process leads to the same end. No I/O; not even a clock.
 */
public final class Settlement {
    /** What is to be done. */
    public enum Kind {
        /** It goes back into the queue. */
        AGAIN,
        /** It may have had its effect and must not be sent again; a late word of its endpoint settles it. */
        UNKNOWN,
        /** It ends as failed. */
        FAILED
    }

    /**
     * A decision.
     *
     * @param untilMs for AGAIN: no attempt may begin at this instant or later; {@link Long#MAX_VALUE}: no
     * limit
     * @param reason for people
     */
    public record Verdict(Kind kind, long untilMs, String reason) {}

    private Settlement() {}

    /**
     * Decides.
     *
     * @param attempts all there were; one still OUT counts as one that may have run
     * @param windowMs how long endpoints drop a repeat of the job's key
     * @param nowMs the wall clock
     * @param latestMs the latest instant on record: a clock that shows less has gone back
     * @param most attempts that may have run, over the job's whole life
     */
    public static Verdict decide(
            Effect effect, List<AttemptRecord> attempts, long windowMs, long nowMs, long latestMs, int most) {
        int ran = 0;
        long first = Long.MAX_VALUE;
        boolean failureSaid = true;
        for (AttemptRecord attempt : attempts) {
            if (attempt.mayHaveRun()) {
                ran++;
                first = Math.min(first, attempt.leasedMs());
                failureSaid &= attempt.known() == AttemptRecord.Known.SAID_FAILED;
            }
        }
        if (ran == 0) {
            return new Verdict(Kind.AGAIN, Long.MAX_VALUE, "it never ran");
        }
        if (effect == Effect.SAFE) {
            return ran < most
                    ? new Verdict(Kind.AGAIN, Long.MAX_VALUE, "it may run twice")
                    : new Verdict(Kind.FAILED, 0, ran + " attempts, and none was served");
        }
        Kind end = failureSaid ? Kind.FAILED : Kind.UNKNOWN;
        if (effect == Effect.UNSAFE) {
            return new Verdict(
                    end,
                    0,
                    failureSaid ? "its endpoint said that it failed" : "it may have run, and must not run twice");
        }
        if (nowMs < latestMs) {
            // How long ago the first attempt was can't be told any more, so the window counts as over.
            return new Verdict(end, 0, "the clock went back by " + (latestMs - nowMs) + " ms");
        }
        if (ran >= most) {
            return new Verdict(end, 0, ran + " attempts, and none was served");
        }
        if (nowMs - first >= windowMs) {
            return new Verdict(end, 0, "its key's window was over " + (nowMs - first - windowMs) + " ms ago");
        }
        return new Verdict(Kind.AGAIN, first + windowMs, "its key's window is open");
    }
}
