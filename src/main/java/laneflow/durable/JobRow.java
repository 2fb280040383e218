package laneflow.durable;

import java.util.List;
import laneflow.durable.decision.AttemptRecord;

/**
 * A job as stored: the submission, which never changes, and its current state.
 *
 * @param jobClass the name of the class; its number may differ after a restart
 * @param function the Gearman function, or empty for a job of the HTTP front
 * @param key identifies repeated submissions of the same job, and includes front and class; empty: none
 * @param body the request body; null if it was not read
 * @param notBeforeMs the wall-clock time before which no attempt begins; 0: no delay
 * @param reason human-readable reason for the state; may be empty
 * @param changedMs when the state last changed
 */
public record JobRow(
        long id,
        String jobClass,
        String function,
        String key,
        String target,
        String requestId,
        String repeatKey,
        double hint,
        double slots,
        double memory,
        long subject,
        int urgency,
        long acceptedMs,
        int bodySum,
        int bodyBytes,
        byte[] body,
        State state,
        List<AttemptRecord> attempts,
        String reason,
        long changedMs,
        long notBeforeMs) {
    /** Memory that an open job needs beside its body and texts, in bytes, roughly. */
    private static final long OVERHEAD_BYTES = 512;
    /** Length of the request ids that earlier builds gave to Gearman jobs: 64 bits in hex digits. */
    private static final int SEEDED_ID_LENGTH = 16;

    /**
     * Whether an earlier build drew the idempotency key from the configured seed, and used it as request id too. Such a
     * key does not identify the job: schedulers with one configuration drew the same keys, after a restart again.
     */
    boolean hasSeededKey() {
        return !function.isEmpty() && requestId.length() == SEEDED_ID_LENGTH && requestId.equals(repeatKey);
    }

    /** Memory that the job takes up while it is open, in bytes, its body included even if it was not read. */
    long openBytes() {
        int texts = key.length() + target.length() + requestId.length() + (repeatKey == null ? 0 : repeatKey.length());
        return OVERHEAD_BYTES + texts + bodyBytes;
    }

    /** A copy with another idempotency key, which is its request id too. */
    JobRow withRepeatKey(String newRepeatKey) {
        return with(key, newRepeatKey, newRepeatKey, body, state, attempts, reason, changedMs);
    }

    /** A copy in another state. */
    public JobRow withState(State newState, List<AttemptRecord> record, String newReason, long newChangedMs) {
        return with(key, requestId, repeatKey, body, newState, record, newReason, newChangedMs);
    }

    /** A copy without a key. */
    JobRow withoutKey() {
        return with("", requestId, repeatKey, body, state, attempts, reason, changedMs);
    }

    /** A copy without the body, as ended jobs are held in memory. */
    JobRow withoutBody() {
        return with(key, requestId, repeatKey, null, state, attempts, reason, changedMs);
    }

    /** A copy with other values of the fields that can change. */
    private JobRow with(
            String newKey,
            String newRequestId,
            String newRepeatKey,
            byte[] newBody,
            State newState,
            List<AttemptRecord> newAttempts,
            String newReason,
            long newChangedMs) {
        return new JobRow(
                id,
                jobClass,
                function,
                newKey,
                target,
                newRequestId,
                newRepeatKey,
                hint,
                slots,
                memory,
                subject,
                urgency,
                acceptedMs,
                bodySum,
                bodyBytes,
                newBody,
                newState,
                newAttempts,
                newReason,
                newChangedMs,
                notBeforeMs);
    }
}
