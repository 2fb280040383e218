package laneflow.maintenance;

import java.util.concurrent.ExecutorService;
import laneflow.core.Counters;
import laneflow.fleet.Fleet;
import laneflow.net.Loop;
import laneflow.net.Threads;
import laneflow.policy.RenewalExtension.Context;
import laneflow.task.Tasks;

/** Wires maintenance windows into a scheduler: the coordinator task and the HTTP API. On the control thread. */
public final class MaintenanceSubsystem {
    /** Null if the configuration has no [maintenance] table. */
    private final CoordinatorTask coordinatorTask;

    private final ExecutorService thread;
    private final MaintenanceExtension extension;

    /** @param config null if the configuration has no [maintenance] table; the API is served all the same */
    public MaintenanceSubsystem(
            Loop loop,
            Fleet fleet,
            Tasks tasks,
            Counters counters,
            MaintenanceExtension extension,
            MaintenanceConfig config) {
        this.extension = extension;
        thread = config == null ? null : Threads.serialExecutor("maintenance-planner");
        coordinatorTask = config == null
                ? null
                : new CoordinatorTask(loop, tasks, counters, config, thread, new PlanningSession(config));
        new MaintenanceApi(loop, fleet, extension, config, thread, config == null ? null : new PlanningSession(config));
    }

    /** Starts taking part in coordination. */
    public void begin() {
        if (coordinatorTask == null) {
            return;
        }
        extension.setCoordinatorTask(coordinatorTask);
        Context context = extension.context();
        coordinatorTask.start(new CoordinatorTask.Renewals() {
            @Override
            public void renewNow() {
                context.renewNow();
            }

            @Override
            public long lease() {
                return context.leaseMicros();
            }
        });
    }

    /** Stops taking part in coordination. */
    public void close() {
        if (coordinatorTask != null) {
            coordinatorTask.close();
        }
    }
}
