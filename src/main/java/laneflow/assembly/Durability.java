package laneflow.assembly;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import laneflow.durable.DurableConfig;
import laneflow.durable.DurableJobs;
import laneflow.durable.JobRow;
import laneflow.durable.Journal;
import laneflow.durable.Store;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Durable jobs, as part of the assembly. */
final class Durability implements Subsystem {
    private static final Logger LOG = LoggerFactory.getLogger(Durability.class);
    private static final int QUEUE = 16_384;

    private final Subsystems.Core core;
    private final DurableJobs jobs;
    private final Journal journal;
    private final List<JobRow> rows = new ArrayList<>();
    private final long latestMs;
    private final long openedAt = System.nanoTime();

    /** Opens the store and reads it, on the caller's thread. */
    Durability(DurableConfig config, Subsystems.Core core) throws IOException {
        this.core = core;
        Loop loop = core.loop();
        Store store = Store.open(config.dir, config.maxStoreBytes);
        store.read(false, rows::add);
        latestMs = store.latestMs();
        LOG.info("durable jobs: store opened and read in {} ms", (System.nanoTime() - openedAt) / 1_000_000);
        journal = new Journal(store, loop::later, QUEUE);
        jobs = new DurableJobs(
                loop,
                loop.deadlines(),
                core.scheduler(),
                config,
                journal,
                System::currentTimeMillis,
                new SecureRandom().nextLong());
    }

    /** What was found is taken over before anybody is let in: the same key must find the job that it had. */
    @Override
    public void begin() throws InterruptedException {
        core.loop().call(() -> {
            jobs.recover(rows, latestMs);
            core.front().setDurableJobs(jobs);
            if (core.gearman() != null) {
                core.gearman().setDurableJobs(jobs);
            }
        });
        LOG.info("durable jobs: {} taken over in {} ms", rows.size(), (System.nanoTime() - openedAt) / 1_000_000);
        rows.clear();
    }

    DurableJobs jobs() {
        return jobs;
    }

    List<String> adopt(DurableConfig read) {
        return jobs.updateConfig(read);
    }

    @Override
    public void drain() {
        jobs.drain();
    }

    @Override
    public void letGo() {
        jobs.detachRunning();
    }

    @Override
    public boolean isOwed() {
        return jobs.pendingAcknowledgements() > 0;
    }

    @Override
    public void close() throws InterruptedException {
        journal.close();
    }

    @Override
    public void halt() throws InterruptedException {
        journal.close();
    }
}
