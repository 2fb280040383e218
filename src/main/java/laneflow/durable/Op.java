package laneflow.durable;

import java.util.List;
import laneflow.durable.decision.AttemptRecord;

/**
 * One change of the store. Ops of one batch are on disk all together or not at all.
 *
 * @param row for ACCEPT
 * @param result for END, where there is one
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

    /** What an op does. */
    public enum Kind {
        ACCEPT,
        MOVE,
        END,
        DROP
    }

    /** Takes a job on. */
    static Op accept(JobRow row) {
        return new Op(Kind.ACCEPT, row.id(), row, row.state(), row.attempts(), "", null, row.acceptedMs());
    }

    /** Takes a job over as it stood elsewhere, with its attempts and its end in one. */
    static Op adopt(JobRow row, byte[] result) {
        return new Op(Kind.ACCEPT, row.id(), row, row.state(), row.attempts(), row.reason(), result, row.changedMs());
    }

    /** A lease, a heartbeat, or the way back into the queue. */
    static Op move(long id, State state, List<AttemptRecord> attempts, long atMs) {
        return new Op(Kind.MOVE, id, null, state, List.copyOf(attempts), "", null, atMs);
    }

    /** Where a job stands that another store held. */
    static Op stands(JobRow row) {
        return new Op(Kind.MOVE, row.id(), null, row.state(), row.attempts(), row.reason(), null, row.changedMs());
    }

    /** Its end, with the result where it was served. */
    static Op end(long id, State state, List<AttemptRecord> attempts, String reason, byte[] result, long atMs) {
        return new Op(Kind.END, id, null, state, List.copyOf(attempts), reason, result, atMs);
    }

    /** Its retention is over. */
    static Op drop(long id, long atMs) {
        return new Op(Kind.DROP, id, null, null, List.of(), "", null, atMs);
    }
}
