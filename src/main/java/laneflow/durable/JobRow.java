package laneflow.durable;

import java.util.List;
import laneflow.durable.decision.Attempt;

/**
 * A job as the store holds it: what was taken on, which never changes, and where it stands.
 *
 * @param jobClass the class's name: its number may differ after a restart
 * @param function the Gearman function, or empty for a job of the HTTP front
 * @param key what marks the same job handed in again, its front and class included; empty: nothing does
 * @param body what is to be done; null where it was not asked for
 * @param reason for people: why it stands there; may be empty
 * @param changedMs when it came to where it stands
 */
public record JobRow(long id, String jobClass, String function, String key, String target, String requestId,
        String repeatKey, double hint, double slots, double memory, long subject, int urgency,
        long acceptedMs, int bodySum, int bodyBytes, byte[] body, State state, List<Attempt> attempts,
        String reason, long changedMs) {

    /** The same where it stands now. */
    public JobRow at(State now, List<Attempt> record, String why, long instantMs) {
        return new JobRow(id, jobClass, function, key, target, requestId, repeatKey, hint, slots, memory,
                subject, urgency, acceptedMs, bodySum, bodyBytes, body, now, record, why, instantMs);
    }

    /** The same under no key. */
    JobRow withoutKey() {
        return new JobRow(id, jobClass, function, "", target, requestId, repeatKey, hint, slots, memory,
                subject, urgency, acceptedMs, bodySum, bodyBytes, body, state, attempts, reason, changedMs);
    }

    /** The same with its body left out, as it is held in memory once it has ended. */
    JobRow withoutBody() {
        return new JobRow(id, jobClass, function, key, target, requestId, repeatKey, hint, slots, memory,
                subject, urgency, acceptedMs, bodySum, bodyBytes, null, state, attempts, reason, changedMs);
    }
}
