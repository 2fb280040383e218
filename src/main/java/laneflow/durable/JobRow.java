package laneflow.durable;

import java.util.List;
import laneflow.durable.decision.AttemptRecord;

/**
 * A job as the store holds it: what was taken on, which never changes, and where it stands.
 *
 * @param jobClass the class's name: its number may differ after a restart
 * @param function the Gearman function, or empty for a job of the HTTP front
 * @param key what marks the same job handed in again, its front and class included; empty: nothing does
 * @param body what is to be done; null where it was not asked for
 * @param notBeforeMs it is not begun before that instant of the wall clock; 0: at once
 * @param reason for people: why it stands there; may be empty
 * @param changedMs when it came to where it stands
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

    /** The same where it stands now. */
    public JobRow at(State now, List<AttemptRecord> record, String why, long instantMs) {
        return with(key, body, now, record, why, instantMs);
    }

    /** The same under no key. */
    JobRow withoutKey() {
        return with("", body, state, attempts, reason, changedMs);
    }

    /** The same with its body left out, as it is held in memory once it has ended. */
    JobRow withoutBody() {
        return with(key, null, state, attempts, reason, changedMs);
    }

    /** The same job with all in it that can differ from row to row. */
    private JobRow with(
            String newKey,
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
                requestId,
                repeatKey,
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
