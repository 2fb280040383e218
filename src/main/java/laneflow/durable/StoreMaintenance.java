package laneflow.durable;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import laneflow.durable.decision.AttemptRecord;

/** Operations on a store that no scheduler is running on. Blocks on disk I/O. */
public final class StoreMaintenance {
    /** Maximum size for tools, which are not bound by the limit that the scheduler sets for itself. */
    public static final long NO_LIMIT = 1L << 42;

    private static final int BATCH = 500;

    /**
     * The result of an adoption.
     *
     * @param alreadyPresent jobs that an earlier, interrupted adoption had already moved
     * @param keyConflicts ids of jobs whose key belongs to another job of the target; they are stored without a key
     */
    public record AdoptionResult(int moved, int alreadyPresent, List<String> keyConflicts) {}

    private StoreMaintenance() {}

    public static String hex(long id) {
        return Store.hex(id);
    }

    /** One job with its body, or null. */
    public static JobRow find(Store store, long id) throws StoreException {
        JobRow[] match = new JobRow[1];
        store.read(true, row -> match[0] = row.id() == id ? row : match[0]);
        return match[0];
    }

    /** Cancels a job that has not begun; throws if it may have. */
    public static void cancel(Store store, long id, long nowMs) throws IOException {
        JobRow row = find(store, id);
        if (row == null) {
            throw new IOException("no job " + hex(id));
        }
        if (row.state().isEnd() || row.attempts().stream().anyMatch(AttemptRecord::mayHaveRun)) {
            throw new IOException("job " + hex(id) + " has begun or has ended: " + row.state());
        }
        store.write(List.of(Op.end(id, State.CANCELLED, row.attempts(), "cancelled", null, nowMs)));
    }

    /** Deletes jobs that another store now holds. */
    public static void drop(Store store, List<Long> ids) throws StoreException {
        store.write(ids.stream().map(id -> Op.drop(id, 0)).toList());
    }

    /**
     * Moves all jobs from the source, the store of a dead scheduler, to the target in batches: each batch is
     * written to the target before it is deleted from the source. A crash in between leaves some jobs in both;
     * the next adoption recognizes them by their ids and continues. Attempts that were outstanding are settled
     * by the scheduler that opens the target, as after a crash of its own.
     */
    public static AdoptionResult adopt(Store source, Store target) throws IOException {
        Set<Long> ids = new HashSet<>();
        Map<String, Long> keys = new HashMap<>();
        target.read(false, row -> {
            ids.add(row.id());
            if (!row.key().isEmpty()) {
                keys.put(row.key(), row.id());
            }
        });
        int moved = 0;
        int alreadyPresent = 0;
        List<String> keyConflicts = new ArrayList<>();
        for (StoredBatch batch = StoredBatch.read(source, BATCH);
                !batch.rows().isEmpty();
                batch = StoredBatch.read(source, BATCH)) {
            List<Op> inserts = new ArrayList<>();
            List<Op> deletes = new ArrayList<>();
            for (JobRow row : batch.rows()) {
                deletes.add(Op.drop(row.id(), row.changedMs()));
                if (ids.contains(row.id())) {
                    alreadyPresent++;
                    continue;
                }
                JobRow adopted = row;
                if (keys.containsKey(row.key())) {
                    keyConflicts.add(hex(row.id()));
                    adopted = row.withoutKey();
                }
                inserts.add(Op.accept(adopted));
                byte[] result = batch.results().get(row.id());
                if (result != null) {
                    inserts.add(Op.end(row.id(), row.state(), row.attempts(), row.reason(), result, row.changedMs()));
                } else if (row.state() != State.QUEUED || !row.attempts().isEmpty()) {
                    inserts.add(Op.restore(row));
                }
                moved++;
            }
            target.write(inserts);
            source.write(deletes);
        }
        return new AdoptionResult(moved, alreadyPresent, keyConflicts);
    }
}
