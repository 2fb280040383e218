package laneflow.core;

import laneflow.core.Deadlines.Deadline;
import laneflow.decision.Dispatch;
import laneflow.decision.Dispatch.JobClass;

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
    /** Whose it is, by the settings' tenants; -1: nobody's that is known. */
    public int tenant = -1;
    /** What it concerns, as its wire told: kept with a durable job, and nothing is decided by it. */
    public long subject;
    /** Which of several waiting at one endpoint goes first: the higher. */
    public int urgency;
    /** The name by which a wire with functions knows the job, or null: any function of its class will do. */
    public String function;
    /** The name by which such a wire tells the job from others of its function, or null. */
    public String unique;

    /** What held when it came: a version adopted since is for those that come later. */
    JobClass type;

    int mostCalls;
    int epoch;

    long handle;
    long takenAt;
    boolean answered;
    /** It waits, undecided, for a policy that is about to begin. */
    boolean held;

    int calls;
    /** A call of it was taken up by an endpoint's connection, whatever came of it. */
    boolean sentOn;

    Attempt out;
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

    /**
     * Before it is submitted: another scheduler, or this one before a restart, sent it then, and it may
     * have run.
     */
    public void mayHaveRunSince(long instant) {
        mayHaveRun(instant);
    }

    void mayHaveRun(long sentAt) {
        mayHaveRunAt = Math.min(mayHaveRunAt, sentAt);
    }

    /** Which state of the settings it came under; see {@link Scheduler#settingsChanged}. */
    public int epoch() {
        return epoch;
    }

    void fill(Dispatch.Request to) {
        to.id = handle;
        to.jobClass = jobClass;
        to.tenant = tenant;
        to.deadline = Clock.seconds(deadline);
        to.hint = hint;
        to.slots = slots;
        to.memory = memory;
        to.ability = function == null ? 0 : Endpoint.stableId(function);
    }
}
