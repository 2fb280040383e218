package laneflow.core;

import laneflow.decision.Dispatch;
import laneflow.core.Deadlines.Deadline;

/** A client's request, from its arrival to its one final answer. */
public final class Request {
    public final Front front;
    /** The front's own mark for it, handed back with the answer. */
    public final long tag;
    public final Payload payload;
    public final int jobClass;
    /** The instant at which its client gives up. */
    public final long deadline;
    /** Expected running time on a standard core in seconds; NaN where it is not known. */
    public double hint = Double.NaN;
    public double slots = 1;
    public double memory;
    public long key;
    public boolean retry;
    /** Which of several waiting at one endpoint goes first: the higher. */
    public int urgency;

    long handle;
    long takenAt;
    boolean answered;
    int calls;
    OutboundCall out;
    Deadline backstop;
    private long mayHaveRunAt = Long.MAX_VALUE;

    public Request(Front front, long tag, Payload payload, int jobClass, long deadline) {
        this.front = front;
        this.tag = tag;
        this.payload = payload;
        this.jobClass = jobClass;
        this.deadline = deadline;
    }

    boolean mayHaveRun() {
        return mayHaveRunAt < Long.MAX_VALUE;
    }

    /** When the first call was sent that may have run. */
    long firstMayHaveRun() {
        return mayHaveRunAt;
    }

    void mayHaveRun(long sentAt) {
        mayHaveRunAt = Math.min(mayHaveRunAt, sentAt);
    }

    void fill(Dispatch.Request to) {
        to.id = handle;
        to.jobClass = jobClass;
        to.tenant = 0;
        to.key = key;
        to.deadline = Clock.seconds(deadline);
        to.hint = hint;
        to.slots = slots;
        to.memory = memory;
        to.retry = retry;
    }
}
