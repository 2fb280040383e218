package laneflow.durable;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The first jobs of a store, with their bodies and with the results of those that have ended. A store is read in such
 * batches where its jobs are moved, as all its bodies may be more than memory holds.
 */
public record StoredBatch(List<JobRow> rows, Map<Long, byte[]> results) {

    /** Reads the first jobs of a store, in the order of their ids, without bodies and results. */
    public static List<Adoption.Head> heads(Store store, int maxJobs) throws StoreException {
        List<JobRow> rows = new ArrayList<>();
        store.readWhile(Store.Bodies.NONE, row -> {
            rows.add(row);
            return rows.size() < maxJobs;
        });
        List<Adoption.Head> heads = new ArrayList<>();
        for (JobRow row : rows) {
            heads.add(new Adoption.Head(row, store.resultBytes(row.id())));
        }
        return heads;
    }

    /** Reads so many of the first jobs of a store. */
    public static StoredBatch read(Store store, int jobs) throws StoreException {
        List<JobRow> rows = new ArrayList<>();
        store.readWhile(Store.Bodies.ALL, row -> {
            rows.add(row);
            return rows.size() < jobs;
        });
        Map<Long, byte[]> results = new HashMap<>();
        for (JobRow row : rows) {
            byte[] result = store.result(row.id());
            if (result != null) {
                results.put(row.id(), result);
            }
        }
        return new StoredBatch(rows, results);
    }
}
