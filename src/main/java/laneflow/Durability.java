package laneflow;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import laneflow.core.Scheduler;
import laneflow.durable.DurableConfig;
import laneflow.durable.DurableJobs;
import laneflow.durable.JobRow;
import laneflow.durable.Journal;
import laneflow.durable.Store;
import laneflow.gearman.GearmanFront;
import laneflow.http.HttpFront;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The durable jobs' part of the assembly, apart so that a scheduler without them loads none of it. */
final class Durability {
    private static final Logger LOG = LoggerFactory.getLogger(Durability.class);
    private static final int QUEUE = 16_384;

    private final Loop loop;
    private final DurableJobs jobs;
    private final Journal journal;
    private final List<JobRow> rows = new ArrayList<>();
    private final long latestMs;
    private final long openedAt = System.nanoTime();

    /** Opens the store and reads it, on the caller's thread. */
    Durability(DurableConfig config, Loop loop, Scheduler scheduler) throws IOException {
        this.loop = loop;
        Store store = Store.open(config.dir, config.storeBytes);
        store.read(false, rows::add);
        latestMs = store.latestMs();
        LOG.info("durable jobs: store opened and read in {} ms", (System.nanoTime() - openedAt) / 1_000_000);
        journal = new Journal(store, loop::later, QUEUE);
        jobs = new DurableJobs(loop, loop.deadlines(), scheduler, config, journal, System::currentTimeMillis,
                new SecureRandom().nextLong());
    }

    /** Takes over what was found, and is there for the fronts from now on. */
    void begin(HttpFront http, GearmanFront gearman) throws InterruptedException {
        loop.call(() -> {
            jobs.recover(rows, latestMs);
            http.keepIn(jobs);
            if (gearman != null) {
                gearman.keepIn(jobs);
            }
        });
        LOG.info("durable jobs: {} taken over in {} ms", rows.size(),
                (System.nanoTime() - openedAt) / 1_000_000);
        rows.clear();
    }

    List<String> adopt(DurableConfig read) {
        return jobs.adopt(read);
    }

    void drain() {
        jobs.drain();
    }

    void letGo() {
        jobs.letGo();
    }

    boolean isOwed() {
        return jobs.owed() > 0;
    }

    /** Writes what is still to be written; on any thread but the loop's. */
    void close() throws InterruptedException {
        journal.close();
    }
}
