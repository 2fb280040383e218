package laneflow.assembly;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import laneflow.core.Connector;
import laneflow.core.Scheduler;
import laneflow.gearman.GearmanFront;
import laneflow.http.HttpFront;
import laneflow.http.OperatorPort;
import laneflow.net.Loop;

/**
 * The parts that a setup switches on, as one: here, and by its table in {@link Setup}, a subsystem is added.
 * None of those that are off is loaded.
 */
final class Subsystems implements Subsystem {
    private final List<Subsystem> all = new ArrayList<>();
    /** Null where no configuration is streamed. */
    private final Streaming streaming;

    /**
     * What every part may use.
     *
     * @param gearman null where that front is off
     * @param upgrade true if the process before this one may still hold addresses and folders
     */
    record Core(
            Loop loop,
            Scheduler scheduler,
            Connector connector,
            HttpFront front,
            GearmanFront gearman,
            boolean upgrade) {}

    Subsystems(Setup setup, Core core) throws IOException, InterruptedException {
        Durability durability = setup.durable() == null ? null : new Durability(setup.durable(), core);
        if (durability != null) {
            all.add(durability);
        }
        if (setup.fleet() != null) {
            all.add(new FleetSubsystem(setup, core, durability));
        }
        streaming = setup.control() == null ? null : new Streaming(setup, core, durability);
        if (streaming != null) {
            all.add(streaming);
        }
    }

    /** Where operators ask, or null where that is the clients' port. */
    OperatorPort port() {
        return streaming == null ? null : streaming.port();
    }

    @Override
    public void begin() throws IOException, InterruptedException {
        for (Subsystem one : all) {
            one.begin();
        }
    }

    @Override
    public void opened() throws IOException, InterruptedException {
        for (Subsystem one : all) {
            one.opened();
        }
    }

    @Override
    public boolean isReady() {
        for (Subsystem one : all) {
            if (!one.isReady()) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void drain() {
        all.forEach(Subsystem::drain);
    }

    @Override
    public void letGo() {
        all.forEach(Subsystem::letGo);
    }

    @Override
    public boolean isOwed() {
        for (Subsystem one : all) {
            if (one.isOwed()) {
                return true;
            }
        }
        return false;
    }

    /** The last one begun ends first. */
    @Override
    public void close() throws InterruptedException {
        Collections.reverse(all);
        for (Subsystem one : all) {
            one.close();
        }
    }

    @Override
    public void halt() throws InterruptedException {
        for (Subsystem one : all) {
            one.halt();
        }
    }
}
