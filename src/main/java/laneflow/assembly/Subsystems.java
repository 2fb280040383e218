package laneflow.assembly;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import laneflow.core.Connector;
import laneflow.core.Scheduler;
import laneflow.durable.ZoneNames;
import laneflow.gearman.GearmanFront;
import laneflow.http.HttpFront;
import laneflow.http.OperatorPort;
import laneflow.net.Loop;

/**
 * The composite of all subsystems that a setup enables. A new subsystem is added here and, with its table, in
 * {@link Setup}. The classes of disabled subsystems are not loaded.
 */
final class Subsystems implements Subsystem {
    private final List<Subsystem> subsystems = new ArrayList<>();
    /** Null where streamed configuration is off. */
    private final Streaming streaming;

    /**
     * The core that every subsystem may use.
     *
     * @param gearman null where the Gearman front is off
     * @param upgrade true if the previous process may still hold addresses and folders
     */
    record Core(
            Loop loop,
            Scheduler scheduler,
            Connector connector,
            HttpFront front,
            GearmanFront gearman,
            boolean upgrade) {}

    Subsystems(Setup setup, Core core) throws IOException, InterruptedException {
        Durability durability = setup.durable() == null
                ? null
                : new Durability(setup.durable(), new ZoneNames(setup.config().zones), core);
        if (durability != null) {
            subsystems.add(durability);
        }
        if (setup.fleet() != null) {
            subsystems.add(new FleetSubsystem(setup, core, durability));
        }
        streaming = setup.control() == null ? null : new Streaming(setup, core, durability);
        if (streaming != null) {
            subsystems.add(streaming);
        }
    }

    /** The operators' port, or null where operators use the clients' port. */
    OperatorPort port() {
        return streaming == null ? null : streaming.port();
    }

    @Override
    public void start() throws IOException, InterruptedException {
        for (Subsystem subsystem : subsystems) {
            subsystem.start();
        }
    }

    @Override
    public void onServing() throws IOException, InterruptedException {
        for (Subsystem subsystem : subsystems) {
            subsystem.onServing();
        }
    }

    @Override
    public boolean isReady() {
        for (Subsystem subsystem : subsystems) {
            if (!subsystem.isReady()) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void drain() {
        subsystems.forEach(Subsystem::drain);
    }

    @Override
    public void abandonRunning() {
        subsystems.forEach(Subsystem::abandonRunning);
    }

    @Override
    public boolean hasPendingAnswers() {
        for (Subsystem subsystem : subsystems) {
            if (subsystem.hasPendingAnswers()) {
                return true;
            }
        }
        return false;
    }

    /** Closes subsystems in the reverse order of their start. */
    @Override
    public void close() throws InterruptedException {
        Collections.reverse(subsystems);
        for (Subsystem subsystem : subsystems) {
            subsystem.close();
        }
    }

    @Override
    public void halt() throws InterruptedException {
        for (Subsystem subsystem : subsystems) {
            subsystem.halt();
        }
    }
}
