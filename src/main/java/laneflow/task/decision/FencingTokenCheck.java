package laneflow.task.decision;

import java.util.HashMap;
import java.util.Map;

/**
 * The check that a receiver of actions applies to their fencing tokens: it rejects a token lower than the
 * highest one seen for the task. A holder that was suspended between its lease check and its action, and
 * resumed after the lease ended, thus changes nothing once its successor has acted. Not thread-safe.
 */
public final class FencingTokenCheck {
    private final Map<String, Long> highest = new HashMap<>();

    /** True if the action may take effect. */
    public boolean admits(String task, long token) {
        long seen = highest.getOrDefault(task, 0L);
        if (token < seen) {
            return false;
        }
        highest.put(task, token);
        return true;
    }
}
