package laneflow.core;

import java.util.ArrayList;
import java.util.List;
import laneflow.core.Deadlines.Deadline;
import laneflow.decision.Dispatch;
import laneflow.decision.Dispatch.EarlierRun;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.JobClass;

/** A client's request, from its arrival to its one final answer. */
public final class Request {
    public final Front front;
    /** The front's own identifier, passed back with the answer. */
    public final long tag;

    public final Payload payload;
    public final int jobClass;
    /** The instant at which the client stops waiting. */
    public final long deadline;
    /** Expected running time on a standard core in seconds; NaN if unknown. */
    public double hint = Double.NaN;

    public double slots = 1;
    public double memory;
    /** The index of its tenant in the settings; -1 if unknown. */
    public int tenant = -1;
    /** What the request is about, as sent by the client: stored with a durable job, not used in decisions. */
    public long subject;
    /** Priority among requests that wait at the same endpoint: the higher goes first. */
    public int urgency;
    /** The job's function on a protocol that has functions, or null: any endpoint of its class will do. */
    public String function;
    /** The key that identifies the job among those of its function on such a protocol, or null. */
    public String unique;

    /** The class settings when the request arrived: settings adopted later apply to later requests only. */
    JobClass type;

    int maxAttempts;
    int epoch;

    long handle;
    long acceptedAt;
    /** When its client was last seen to be present, microseconds of the current time. */
    long clientSeenAt;

    boolean answered;
    /** It waits for the admission gate, which is about to open. */
    boolean held;

    /** Bytes of memory counted for it while it is open. */
    long heldBytes;

    /** Its id among those that must not run again, see {@link RequestIds}; null if it is not held. */
    String heldId;
    /** The id may be used again once the client has its answer. */
    boolean isIdReusable;
    /** Its client has left. */
    boolean withdrawn;

    int attemptCount;
    /** An attempt was taken up by an endpoint's connection, whatever its outcome. */
    boolean forwarded;

    Attempt openAttempt;
    Deadline backstop;
    private long firstMayHaveRunAt = Long.MAX_VALUE;
    /** Where attempts may have run, those before its submission included. */
    private List<EarlierRun> possibleRuns = List.of();

    public Request(Front front, long tag, Payload payload, int jobClass, long deadline) {
        this.front = front;
        this.tag = tag;
        this.payload = payload;
        this.jobClass = jobClass;
        this.deadline = deadline;
    }

    boolean mayHaveRun() {
        return firstMayHaveRunAt < Long.MAX_VALUE;
    }

    /** When the first attempt that may have run was sent. */
    long firstMayHaveRunAt() {
        return firstMayHaveRunAt;
    }

    /**
     * Records, before submission, that an earlier attempt may have run: it was sent at that instant by another
     * scheduler, or by this one before. Where is not known, so its group has no endpoint.
     */
    public void mayHaveRunSince(long instant) {
        mayHaveRunSince(instant, EarlierRun.UNKNOWN, EarlierRun.UNKNOWN);
    }

    /** Records the same of an attempt at an endpoint in this zone and cell. Earlier attempts are recorded first. */
    public void mayHaveRunSince(long instant, int zone, int cell) {
        markMayHaveRun(instant, new EarlierRun(Clock.seconds(instant), zone, cell));
    }

    void markMayHaveRun(long sentAt, EarlierRun run) {
        firstMayHaveRunAt = Math.min(firstMayHaveRunAt, sentAt);
        if (possibleRuns.isEmpty()) {
            possibleRuns = new ArrayList<>(1);
        }
        possibleRuns.add(run);
    }

    /** Whether the endpoint would recognise a repeat of every attempt that may have run, by its key. */
    boolean isKnownAt(Endpoint endpoint) {
        return type.effect != Effect.KEYED
                || possibleRuns.stream().allMatch(run -> type.group.includes(run, endpoint.zone, endpoint.cell));
    }

    /** The settings epoch in which it arrived; see {@link Scheduler#settingsChanged}. */
    public int epoch() {
        return epoch;
    }

    void copyTo(Dispatch.Request target) {
        target.id = handle;
        target.jobClass = jobClass;
        target.tenant = tenant;
        target.deadline = Clock.seconds(deadline);
        target.hint = hint;
        target.slots = slots;
        target.memory = memory;
        target.ability = function == null ? 0 : Endpoint.stableId(function);
        target.background = front.usesLeases();
        target.earlierRuns = List.copyOf(possibleRuns);
    }
}
