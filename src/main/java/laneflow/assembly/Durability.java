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
import laneflow.durable.ZoneNames;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The subsystem of durable jobs: opens their store, recovers them at the start and closes the store at the end. */
final class Durability implements Subsystem {
    private static final Logger LOG = LoggerFactory.getLogger(Durability.class);
    private static final int JOURNAL_QUEUE_CAPACITY = 16_384;

    private final Subsystems.Core core;
    private final DurableJobs jobs;
    private final Journal journal;
    private final List<JobRow> storedRows = new ArrayList<>();
    private final long latestStoredMs;
    private final long openedAtNanos = System.nanoTime();

    /** Opens and reads the store on the calling thread. */
    Durability(DurableConfig config, ZoneNames zones, Subsystems.Core core) throws IOException {
        this.core = core;
        Loop loop = core.loop();
        Store store = Store.open(config.dir, config.maxStoreBytes);
        store.read(false, storedRows::add);
        latestStoredMs = store.latestMs();
        LOG.info("durable jobs: store opened and read in {} ms", (System.nanoTime() - openedAtNanos) / 1_000_000);
        journal = new Journal(store, loop::later, JOURNAL_QUEUE_CAPACITY);
        jobs = new DurableJobs(
                loop,
                loop.deadlines(),
                core.scheduler(),
                config,
                journal,
                System::currentTimeMillis,
                loop.messageMemory().durableJobs(),
                zones,
                new SecureRandom().nextLong());
    }

    /** Recovers stored jobs before clients can connect, so that a repeated key finds the job it belongs to. */
    @Override
    public void start() throws InterruptedException {
        core.loop().call(() -> {
            jobs.recover(storedRows, latestStoredMs);
            core.front().setDurableJobs(jobs);
            if (core.gearman() != null) {
                core.gearman().setDurableJobs(jobs);
            }
        });
        LOG.info(
                "durable jobs: {} taken over in {} ms",
                storedRows.size(),
                (System.nanoTime() - openedAtNanos) / 1_000_000);
        storedRows.clear();
    }

    DurableJobs jobs() {
        return jobs;
    }

    List<String> updateConfig(DurableConfig config) {
        return jobs.updateConfig(config);
    }

    @Override
    public void drain() {
        jobs.drain();
    }

    @Override
    public void abandonRunning() {
        jobs.detachRunning();
    }

    @Override
    public boolean hasPendingAnswers() {
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
