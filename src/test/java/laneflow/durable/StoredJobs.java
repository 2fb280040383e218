package laneflow.durable;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Writes stores for tests. */
public final class StoredJobs {
    private StoredJobs() {}

    /** Writes a store of jobs that are done; each 50th of them has a result of 500,000 bytes. */
    public static void writeEnded(Path dir, String jobClass, int jobs, int bodyBytes) throws IOException {
        try (Store store = Store.open(dir, Long.MAX_VALUE / 2)) {
            for (int i = 0; i < jobs; i++) {
                store.write(List.of(
                        Op.adopt(ended(i + 1, jobClass, new byte[bodyBytes]), new byte[i % 50 == 0 ? 500_000 : 1])));
            }
        }
    }

    static JobRow ended(long id, String jobClass, byte[] body) {
        long nowMs = System.currentTimeMillis();
        return new JobRow(
                id,
                jobClass,
                "",
                "ended-" + id,
                "/c",
                "r" + id,
                null,
                1,
                1,
                0,
                0,
                0,
                nowMs,
                RowCodec.checksum(body),
                body.length,
                body,
                State.DONE,
                List.of(),
                "served",
                nowMs,
                0);
    }
}
