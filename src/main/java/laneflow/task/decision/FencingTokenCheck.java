package laneflow.task.decision;

import java.util.HashMap;
import java.util.Map;

/**
 * Where an act on a task has its effect, and its token can be checked: whoever has seen a higher token turns
 * a lower one down. So a holder that was stopped between its check and its act, and woken behind its lease,
 * changes nothing once the next one has been here. Not thread-safe.
 */
public final class FencingTokenCheck {
    private final Map<String, Long> highest = new HashMap<>();

    /** True if the act may have its effect. */
    public boolean admits(String task, long token) {
        long seen = highest.getOrDefault(task, 0L);
        if (token < seen) {
            return false;
        }
        highest.put(task, token);
        return true;
    }
}
