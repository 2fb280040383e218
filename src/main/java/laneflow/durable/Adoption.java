package laneflow.durable;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import laneflow.core.MessageMemory;

/**
 * Takes over jobs from the store of a scheduler that is gone, while this one serves. Everything that a batch holds
 * until it is on disk here, the bodies and results of ended jobs included, is reserved in the memory of durable jobs
 * before it is read. What has no room stays in the other store until there is.
 *
 * <p>Runs on the loop's thread.
 */
public final class Adoption {
    /** Bytes of bodies and results after which a batch ends; it has at least one job. */
    private static final long BATCH_BYTES = 1 << 20;

    private final DurableJobs jobs;
    private final Journal journal;
    private final MessageMemory.Admission memory;

    /**
     * A job that is still to be read.
     *
     * @param row the job, whose body is not read
     * @param resultBytes the length of its result; 0 if it has none
     */
    public record Head(JobRow row, long resultBytes) {
        long bytes() {
            return row.openBytes() + resultBytes;
        }
    }

    /** The memory reserved for the first jobs of a store. */
    public static final class Reservation {
        private final int jobs;
        private long bytes;

        private Reservation(int jobs, long bytes) {
            this.jobs = jobs;
            this.bytes = bytes;
        }

        /** How many jobs it is for; 0 if there is no room for the first. */
        public int jobs() {
            return jobs;
        }
    }

    Adoption(DurableJobs jobs, Journal journal, MessageMemory.Admission memory) {
        this.jobs = jobs;
        this.journal = journal;
        this.memory = memory;
    }

    /** Reserves memory for as many of the first jobs as fit now and make up one batch. */
    public Reservation reserve(List<Head> heads) {
        long bytes = 0;
        int count = 0;
        for (Head head : heads) {
            boolean batchIsFull = count > 0 && bytes + head.bytes() > BATCH_BYTES;
            if (batchIsFull || !memory.hasRoomFor(bytes + head.bytes())) {
                break;
            }
            bytes += head.bytes();
            count++;
        }
        if (count == 0) {
            jobs.countRejected();
        }
        memory.hold(bytes);
        return new Reservation(count, bytes);
    }

    /** Releases a reservation whose jobs are not adopted; idempotent. */
    public void release(Reservation reservation) {
        memory.release(reservation.bytes);
        reservation.bytes = 0;
    }

    /**
     * Adopts the jobs of a reservation. The listener receives the ids of the jobs that are on disk here afterwards,
     * including those that were already present. The caller must offer the others again.
     *
     * @param results the results of jobs that have ended, by job id
     */
    public void adopt(
            Reservation reservation, List<JobRow> rows, Map<Long, byte[]> results, Consumer<List<Long>> listener) {
        List<Long> stored = new ArrayList<>();
        int[] remaining = {rows.size()};
        Runnable completeOne = () -> {
            if (--remaining[0] == 0) {
                release(reservation);
                listener.accept(stored);
            }
        };
        for (JobRow row : rows) {
            if (jobs.has(row.id())) {
                stored.add(row.id());
                completeOne.run();
                continue;
            }
            JobRow adopted = jobs.withFreeKey(row);
            boolean queued = journal.write(Op.adopt(adopted, results.get(row.id())), failed -> {
                if (failed == null) {
                    stored.add(row.id());
                    jobs.addAdopted(adopted);
                }
                completeOne.run();
            });
            if (!queued) {
                completeOne.run();
            }
        }
    }
}
