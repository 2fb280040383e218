package laneflow.durable;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import laneflow.durable.decision.AttemptRecord;

/** What is done to a store while no scheduler runs on it. Blocks on the disk. */
public final class StoreMaintenance {
    /** For those who only look, or must not be stopped by a limit that the scheduler sets itself. */
    public static final long NO_LIMIT = 1L << 42;

    private static final int BATCH = 500;

    /**
     * What an adoption did.
     *
     * @param alreadyPresent jobs that an earlier, interrupted adoption had moved already
     * @param keyConflicts jobs whose key belongs to another job here: kept, under no key
     */
    public record AdoptionResult(int moved, int alreadyPresent, List<String> keyConflicts) {}

    private StoreMaintenance() {}

    public static String hex(long id) {
        return Store.hex(id);
    }

    /** One job with its body, or null. */
    public static JobRow find(Store store, long id) throws StoreException {
        JobRow[] found = new JobRow[1];
        store.read(true, row -> found[0] = row.id() == id ? row : found[0]);
        return found[0];
    }

    /** Cancels a job that has not begun; else says why not. */
    public static void cancel(Store store, long id, long nowMs) throws IOException {
        JobRow row = find(store, id);
        if (row == null) {
            throw new IOException("no job " + hex(id));
        }
        if (row.state().isEnd() || row.attempts().stream().anyMatch(AttemptRecord::mayHaveRun)) {
            throw new IOException("job " + hex(id) + " has begun, or is at its end: " + row.state());
        }
        store.write(List.of(Op.end(id, State.CANCELLED, row.attempts(), "cancelled", null, nowMs)));
    }

    /** These jobs are another store's now. */
    public static void drop(Store store, List<Long> ids) throws StoreException {
        store.write(ids.stream().map(id -> Op.drop(id, 0)).toList());
    }

    /**
     * Moves all jobs from one store to another, in batches: first they are on disk there, then they leave
     * here. A crash between the two leaves some in both; adopting again finds them by their ids and goes on.
     * What was out at the dead scheduler is settled by the one that opens the other store, as after a crash
     * of its own.
     */
    public static AdoptionResult adopt(Store dead, Store living) throws IOException {
        Set<Long> ids = new HashSet<>();
        Map<String, Long> keys = new HashMap<>();
        living.read(false, row -> {
            ids.add(row.id());
            if (!row.key().isEmpty()) {
                keys.put(row.key(), row.id());
            }
        });
        List<JobRow> rows = new ArrayList<>();
        dead.read(true, rows::add);
        int moved = 0;
        int there = 0;
        List<String> taken = new ArrayList<>();
        for (int from = 0; from < rows.size(); from += BATCH) {
            List<Op> in = new ArrayList<>();
            List<Op> out = new ArrayList<>();
            for (JobRow row : rows.subList(from, Math.min(rows.size(), from + BATCH))) {
                out.add(Op.drop(row.id(), row.changedMs()));
                if (ids.contains(row.id())) {
                    there++;
                    continue;
                }
                JobRow kept = row;
                if (keys.containsKey(row.key())) {
                    taken.add(hex(row.id()));
                    kept = row.withoutKey();
                }
                in.add(Op.accept(kept));
                byte[] result = dead.result(row.id());
                if (result != null) {
                    in.add(Op.end(row.id(), row.state(), row.attempts(), row.reason(), result, row.changedMs()));
                } else if (row.state() != State.QUEUED || !row.attempts().isEmpty()) {
                    in.add(Op.stands(row));
                }
                moved++;
            }
            living.write(in);
            dead.write(out);
        }
        return new AdoptionResult(moved, there, taken);
    }
}
