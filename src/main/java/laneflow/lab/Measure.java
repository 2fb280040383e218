package laneflow.lab;

import java.util.concurrent.Callable;
import laneflow.lab.measure.CapacityMeasure;
import laneflow.lab.measure.ConfigMeasure;
import laneflow.lab.measure.ControlMeasure;
import laneflow.lab.measure.DurableMeasure;
import laneflow.lab.measure.FleetMeasure;
import laneflow.lab.measure.FloodMeasure;
import laneflow.lab.measure.GearmanMeasure;
import laneflow.lab.measure.IdleMeasure;
import laneflow.lab.measure.MaintenanceMeasure;
import laneflow.lab.measure.PolicyMeasure;
import laneflow.lab.measure.TaskMeasure;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code lab measure WHAT}: runs a measurement with real processes; exit code 1 if a guarantee is violated. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        description = "Measures a subsystem with real processes on loopback.")
public final class Measure implements Callable<Integer> {
    @Parameters(paramLabel = "WHAT", description = "What to measure: ${COMPLETION-CANDIDATES}.")
    private What what;

    @Option(names = "--seed", paramLabel = "N", description = "The same seed draws the same moments.")
    private long seed = 7;

    @Option(names = "--large", description = "Longer and larger; not for CI.")
    private boolean large;

    /** The measurements; the constants are the words of the command line. */
    enum What {
        durable,
        config,
        gearman,
        policy,
        fleet,
        task,
        control,
        capacity,
        idle,
        maintenance,
        flood
    }

    @Override
    public Integer call() throws Exception {
        switch (what) {
            case capacity:
                return CapacityMeasure.run(seed, large, System.out);
            case flood:
                return FloodMeasure.run(seed, large, System.out);
            case maintenance:
                return MaintenanceMeasure.run(seed, large, System.out);
            case idle:
                return IdleMeasure.run(seed, large, System.out);
            case durable:
                return DurableMeasure.run(seed, large, System.out);
            case fleet:
                return FleetMeasure.run(seed, large, System.out);
            case task:
                return TaskMeasure.run(seed, large, System.out);
            case policy:
                return PolicyMeasure.run(seed, large, System.out);
            case control:
                return ControlMeasure.run(seed, large, System.out);
            case config:
                return ConfigMeasure.run(seed, large, System.out);
            default:
                return GearmanMeasure.run(seed, large, System.out);
        }
    }
}
