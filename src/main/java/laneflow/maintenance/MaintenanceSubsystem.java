package laneflow.maintenance;

import java.util.concurrent.ExecutorService;
import laneflow.core.Counters;
import laneflow.fleet.Fleet;
import laneflow.net.Loop;
import laneflow.net.Threads;
import laneflow.policy.RenewalExtension.Context;
import laneflow.task.Tasks;

/** Windows put together at one scheduler: its part in coordinating, and its port. On the control thread. */
public final class MaintenanceSubsystem {
    /** Null where this file has no table for windows. */
    private final Coordination coordination;

    private final ExecutorService thread;
    private final MaintenanceExtension rider;

    /** @param config null where this file has no table for windows: the port is there all the same */
    public MaintenanceSubsystem(
            Loop loop,
            Fleet fleet,
            Tasks tasks,
            Counters counters,
            MaintenanceExtension rider,
            MaintenanceConfig config) {
        this.rider = rider;
        thread = config == null ? null : Threads.inOrder("maintenance-planner");
        coordination =
                config == null ? null : new Coordination(loop, tasks, counters, config, thread, new Planning(config));
        new MaintenancePort(loop, fleet, rider, config, thread, config == null ? null : new Planning(config));
    }

    /** From now on this process takes part in coordinating. */
    public void begin() {
        if (coordination == null) {
            return;
        }
        rider.coordinate(coordination);
        Context by = rider.carriage();
        coordination.begin(new Coordination.Rider() {
            @Override
            public void renewNow() {
                by.renewNow();
            }

            @Override
            public long lease() {
                return by.leaseMicros();
            }
        });
    }

    /** Coordinates no more. */
    public void close() {
        if (coordination != null) {
            coordination.close();
        }
    }
}
