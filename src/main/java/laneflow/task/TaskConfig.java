package laneflow.task;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import laneflow.config.Table;
import laneflow.net.Loop;
import laneflow.policy.PolicyConfig;
import laneflow.task.decision.TaskHolder.LateSafety;

/** What the operators set for tasks that the fleet does once: the table {@code [tasks]}. */
public final class TaskConfig {
    private static final String NAME = "[A-Za-z0-9_.-]{1,64}";

    /**
     * An address that the fleet calls from time to time, once and not once a scheduler.
     *
     * @param every microseconds from one call to the next
     * @param most microseconds after which a call is cut off
     * @param need what makes a call harmless that comes behind its lease
     */
    public record Hook(String name, String at, String path, long every, long most, LateSafety need) {}

    public final List<Hook> hooks = new ArrayList<>();
    /** Where the stores of all schedulers' durable jobs lie, by their names; null: adopted by hand. */
    public final Path stores;
    /** Microseconds for which a store must have had no process before another takes its jobs over. */
    public final long after;

    private TaskConfig(Table from, PolicyConfig policy) {
        if (policy == null) {
            from.addFinding("", "needs the table [policy], whose voters give tasks out");
        }
        long lease = policy == null ? Long.MAX_VALUE : policy.leaseMicros;
        String folder = from.text("stores", null);
        stores = folder == null ? null : Path.of(folder);
        after = from.integer("adopt_after_ms", 60_000, 100, 86_400_000) * 1000;
        from.tables("hooks").forEach((name, one) -> {
            if (!name.matches(NAME)) {
                one.addFinding("", "'" + name + "' is no name: up to 64 letters, digits, '_', '.' and '-'");
            }
            String at = one.text("at");
            try {
                Loop.address(at);
            } catch (IllegalArgumentException e) {
                one.addFinding("at", e.getMessage());
            }
            String path = one.text("path", "/");
            if (!path.matches("/[!-~]*")) {
                one.addFinding("path", "'" + path + "' is no path: it begins with '/' and has no blanks");
            }
            long every = one.integer("every_ms", 1000, 10, 86_400_000) * 1000;
            long most = one.integer("most_ms", 250, 1, 600_000) * 1000;
            if (most > lease / 2) {
                one.addFinding(
                        "most_ms",
                        "is more than half of [policy] lease_ms: a call must be over within its"
                                + " lease, and a renewed one has that much left for sure");
            }
            String late = one.choice("late_calls", "", "checked", "harmless");
            if (late.isEmpty()) {
                one.addFinding(
                        "late_calls",
                        "must say what becomes of a call that comes behind its lease, as of a"
                                + " process that stood still: 'checked', its receiver turns down a Task-Token"
                                + " below the highest it has seen; or 'harmless', twice is as good as once");
            }
            one.close();
            hooks.add(new Hook(
                    name,
                    at,
                    path,
                    every,
                    most,
                    late.equals("checked") ? LateSafety.TOKEN_CHECKED : LateSafety.IDEMPOTENT));
        });
        from.close();
    }

    /** Reads the table; what is wrong becomes findings of the table's. */
    public static TaskConfig read(Table from, PolicyConfig policy) {
        return new TaskConfig(from, policy);
    }
}
