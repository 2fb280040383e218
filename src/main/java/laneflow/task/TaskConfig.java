package laneflow.task;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import laneflow.config.Table;
import laneflow.net.Loop;
import laneflow.policy.PolicyConfig;
import laneflow.task.decision.TaskHolder.LateSafety;

/** Operator settings for fleet-wide tasks: the table {@code [tasks]}. */
public final class TaskConfig {
    private static final String NAME = "[A-Za-z0-9_.-]{1,64}";

    /**
     * An address that the fleet calls periodically, from one scheduler at a time.
     *
     * @param period microseconds from one call to the next
     * @param timeout microseconds after which a call is cut off
     * @param lateSafety what makes a call safe that takes effect after its lease has ended
     */
    public record Hook(String name, String address, String path, long period, long timeout, LateSafety lateSafety) {}

    public final List<Hook> hooks = new ArrayList<>();
    /**
     * Directory with the job stores of all schedulers, named after the schedulers; null if stores are only
     * adopted by the operator.
     */
    public final Path stores;
    /** Microseconds for which a store must have had no process before another scheduler adopts it. */
    public final long adoptAfter;

    private TaskConfig(Table from, PolicyConfig policy) {
        if (policy == null) {
            from.addFinding("", "needs the table [policy], whose voters assign tasks");
        }
        long lease = policy == null ? Long.MAX_VALUE : policy.leaseMicros;
        String folder = from.text("stores", null);
        stores = folder == null ? null : Path.of(folder);
        adoptAfter = from.integer("adopt_after_ms", 60_000, 100, 86_400_000) * 1000;
        from.tables("hooks").forEach((name, table) -> {
            if (!name.matches(NAME)) {
                table.addFinding("", "'" + name + "' is not a valid name: up to 64 letters, digits, '_', '.' and '-'");
            }
            String address = table.text("at");
            try {
                Loop.parseAddress(address);
            } catch (IllegalArgumentException e) {
                table.addFinding("at", e.getMessage());
            }
            String path = table.text("path", "/");
            if (!path.matches("/[!-~]*")) {
                table.addFinding(
                        "path", "'" + path + "' is not a valid path: it must begin with '/' and contain no spaces");
            }
            long period = table.integer("every_ms", 1000, 10, 86_400_000) * 1000;
            long timeout = table.integer("most_ms", 250, 1, 600_000) * 1000;
            if (timeout > lease / 2) {
                table.addFinding(
                        "most_ms",
                        "is more than half of [policy] lease_ms: a call must end within its"
                                + " lease, and a renewed lease is certain to have that much time left");
            }
            String late = table.choice("late_calls", "", "checked", "harmless");
            if (late.isEmpty()) {
                table.addFinding(
                        "late_calls",
                        "must say what makes a call safe that arrives after its lease, e.g. from a"
                                + " process that was suspended: 'checked', its receiver rejects a Task-Token"
                                + " below the highest it has seen; or 'harmless', two calls are as good as one");
            }
            table.close();
            hooks.add(new Hook(
                    name,
                    address,
                    path,
                    period,
                    timeout,
                    late.equals("checked") ? LateSafety.TOKEN_CHECKED : LateSafety.IDEMPOTENT));
        });
        from.close();
    }

    /** Reads the table; errors are reported as findings on it. */
    public static TaskConfig read(Table from, PolicyConfig policy) {
        return new TaskConfig(from, policy);
    }
}
