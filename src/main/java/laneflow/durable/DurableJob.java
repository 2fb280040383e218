package laneflow.durable;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import laneflow.core.Attempt;
import laneflow.core.Deadlines.Deadline;
import laneflow.core.DurableJobService.SubmissionResult;
import laneflow.core.Request;
import laneflow.durable.decision.AttemptRecord;

/**
 * A job in memory: its row, and while it is at work its request, its lease and what its endpoint has said.
 */
final class DurableJob {
    /** What was taken on; its body is left out once the job has ended. */
    JobRow row;
    /** By number, or -1 where the settings no longer name its class. */
    final int jobClass;
    /** What held for its class when it came, or when it was taken over; null where it has no class. */
    final DurableConfig.OfClass terms;

    State state;
    String reason;
    long changedMs;
    final List<AttemptRecord> attempts;
    /** Those who wait for the word that it is on disk; null once it is. */
    List<Consumer<SubmissionResult>> waiters;
    /** The end that is on its way to disk, or null. */
    State ending;
    /** Instants are microseconds on the loop. */
    long notBefore;
    /** No attempt may begin later than that: a key's window. */
    long untilMs = Long.MAX_VALUE;

    int refusals;
    /** It waits in its lane's queue. */
    boolean inQueue;
    /** It waits for the end of its retention. */
    boolean retired;

    Request request;
    Attempt call;
    Deadline lease;
    long leasedAt;
    long openedAt;
    long recordedAt;
    boolean opened;
    boolean heard;
    long done;
    long of;
    /** A result of an older lease that came while a newer one was out: it counts if the newer one fails. */
    int lateLease;

    byte[] lateResult;

    DurableJob(JobRow row, int jobClass, DurableConfig.OfClass terms) {
        this.terms = terms;
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

    boolean isAtWork() {
        return request != null;
    }

    /** An attempt by its lease's number, or null. */
    AttemptRecord attempt(int number) {
        return number >= 1 && number <= attempts.size() ? attempts.get(number - 1) : null;
    }

    void know(int number, AttemptRecord.Known known) {
        attempts.set(number - 1, attempts.get(number - 1).with(known));
    }

    /** True if some attempt may have run. */
    boolean mayHaveRun() {
        return attempts.stream().anyMatch(AttemptRecord::mayHaveRun);
    }

    @Override
    public String toString() {
        return Store.hex(id());
    }
}
