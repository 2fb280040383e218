package laneflow.durable;

import java.util.List;
import laneflow.durable.decision.AttemptRecord;

/**
 * One change of the store. The ops of a batch are written atomically.
 *
 * @param row the job, for ACCEPT; else null
 * @param result the result of a served job, else null
 */
public record Op(
        Kind kind,
        long id,
        JobRow row,
        State state,
        List<AttemptRecord> attempts,
        String reason,
        byte[] result,
        long atMs) {

    /** The kind of change. */
    public enum Kind {
        ACCEPT,
        UPDATE,
        END,
        DROP
    }

    /** Stores a new job. */
    static Op accept(JobRow row) {
        return new Op(Kind.ACCEPT, row.id(), row, row.state(), row.attempts(), "", null, row.acceptedMs());
    }

    /** Stores a job of another store together with its state, attempts and result. */
    static Op adopt(JobRow row, byte[] result) {
        return new Op(Kind.ACCEPT, row.id(), row, row.state(), row.attempts(), row.reason(), result, row.changedMs());
    }

    /** Records a lease, a heartbeat, or a return to the queue. */
    static Op update(long id, State state, List<AttemptRecord> attempts, long atMs) {
        return new Op(Kind.UPDATE, id, null, state, List.copyOf(attempts), "", null, atMs);
    }

    /** Restores the state of a job taken from another store. */
    static Op restore(JobRow row) {
        return new Op(Kind.UPDATE, row.id(), null, row.state(), row.attempts(), row.reason(), null, row.changedMs());
    }

    /** Records the final state, with the result if the job was served. */
    static Op end(long id, State state, List<AttemptRecord> attempts, String reason, byte[] result, long atMs) {
        return new Op(Kind.END, id, null, state, List.copyOf(attempts), reason, result, atMs);
    }

    /** Deletes a job. */
    static Op drop(long id, long atMs) {
        return new Op(Kind.DROP, id, null, null, List.of(), "", null, atMs);
    }
}
