package laneflow.durable;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import laneflow.core.Attempt;
import laneflow.core.Deadlines.Deadline;
import laneflow.core.DurableJobService.SubmissionResult;
import laneflow.core.Request;
import laneflow.durable.decision.AttemptRecord;

/** The in-memory state of a job: its row and, while it runs, its request, its lease and its reported progress. */
final class DurableJob {
    /** The job as submitted; the body is dropped once the job has ended. */
    JobRow row;
    /** The class number, or -1 if the settings no longer contain the class. */
    final int jobClass;
    /** The settings of its class when it was submitted or restored; null if it has no class. */
    final DurableConfig.ClassConfig classConfig;

    State state;
    String reason;
    long changedMs;
    final List<AttemptRecord> attempts;
    /** Callbacks waiting until the job is on disk; null once it is. */
    List<Consumer<SubmissionResult>> waiters;
    /** The final state that is being written to disk, or null. */
    State pendingEnd;
    /** No attempt begins before this time; loop time in microseconds, as the times of the lease below. */
    long notBefore;
    /** No attempt may begin from this time on: the end of the key's deduplication window; Unix time in ms. */
    long untilMs = Long.MAX_VALUE;

    int backoffs;
    /** Whether the job is in its class's queue. */
    boolean inQueue;
    /** Whether the job has ended and is in the retention list. */
    boolean inRetention;

    Request request;
    /** The attempt that has a lease, or whose lease is being written; null while none is to be sent. */
    Attempt call;
    /** Limits the lease of the call, or the wait for one. */
    Deadline timer;

    long leaseAskedAt;
    long leaseWriteMicros;
    long leasedAt;
    long leaseRecordedAt;
    /** Whether the call's lease is on disk, so that it may be sent. */
    boolean sent;

    boolean heartbeatSeen;
    long progressDone;
    long progressTotal;
    /** The lease of a late success, reported while a newer attempt was running; used unless that attempt succeeds. */
    int lateLease;

    byte[] lateResult;

    DurableJob(JobRow row, int jobClass, DurableConfig.ClassConfig classConfig) {
        this.classConfig = classConfig;
        this.row = row;
        this.jobClass = jobClass;
        state = row.state();
        changedMs = row.changedMs();
        reason = row.reason();
        attempts = new ArrayList<>(row.attempts());
    }

    long id() {
        return row.id();
    }

    boolean hasRequest() {
        return request != null;
    }

    /** Bytes counted for it in the memory of durable jobs. */
    long heldBytes;

    /** Whether it has been handed to the core, and no call of it has been sent or is about to be. */
    boolean isWaiting() {
        return request != null && call == null;
    }

    /** The attempt with this lease number, or null. */
    AttemptRecord attempt(int number) {
        return number >= 1 && number <= attempts.size() ? attempts.get(number - 1) : null;
    }

    void setKnown(int number, AttemptRecord.Known known) {
        attempts.set(number - 1, attempts.get(number - 1).withKnown(known));
    }

    /** Whether any attempt may have run. */
    boolean mayHaveRun() {
        return attempts.stream().anyMatch(AttemptRecord::mayHaveRun);
    }

    @Override
    public String toString() {
        return Store.hex(id());
    }
}
