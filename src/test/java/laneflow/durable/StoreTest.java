package laneflow.durable;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import laneflow.durable.decision.AttemptRecord;
import laneflow.durable.decision.AttemptRecord.Known;
import laneflow.durable.decision.AttemptRecord.Place;
import laneflow.testing.KilledProcess;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests the store under disk failures, and the journal under failures of the store. */
@Timeout(900)
class StoreTest {
    @TempDir
    private Path folder;

    private static JobRow row(long id, int size) {
        byte[] body = "b".repeat(size).getBytes(StandardCharsets.UTF_8);
        return new JobRow(
                id,
                "basket-check",
                "check",
                "k" + id,
                "/basket-check",
                "r" + id,
                null,
                Double.NaN,
                1,
                0,
                5,
                -1,
                100,
                RowCodec.checksum(body),
                size,
                body,
                State.QUEUED,
                List.of(),
                "",
                100,
                0);
    }

    private Store open() throws IOException {
        return Store.open(folder, 1L << 30);
    }

    private static List<JobRow> readAll(Store store) throws IOException {
        List<JobRow> rows = new ArrayList<>();
        store.read(true, rows::add);
        return rows;
    }

    private void fill(int jobs) throws IOException {
        try (Store store = open()) {
            for (int i = 1; i <= jobs; i++) {
                store.write(List.of(Op.accept(row(i, 300))));
            }
        }
    }

    /** Copies the files as a power loss at this moment would leave them. */
    private Path snapshot(String name) throws IOException {
        Path to = Files.createDirectory(folder.resolve(name));
        for (String file : new String[] {"jobs.db", "jobs.db-wal", "witness"}) {
            if (Files.exists(folder.resolve(file))) {
                Files.copy(folder.resolve(file), to.resolve(file));
            }
        }
        return to;
    }

    @Test
    void writtenJobsAreReadBack() throws Exception {
        AttemptRecord attempt = new AttemptRecord(1, "till-1", 200, 700, Known.DONE, new Place("celje-1", 3));
        try (Store store = open()) {
            store.write(List.of(Op.accept(row(1, 10)), Op.accept(row(2, 0)), Op.accept(row(3, 5))));
            store.write(List.of(Op.update(1, State.RUNNING, List.of(attempt.withKnown(Known.OUT)), 200)));
            store.write(List.of(
                    Op.end(1, State.DONE, List.of(attempt), "served", new byte[] {0, -1}, 300), Op.drop(3, 300)));
        }
        try (Store store = open()) {
            List<JobRow> rows = readAll(store);
            assertEquals(2, rows.size());
            assertEquals(State.DONE, rows.get(0).state());
            assertEquals(List.of(attempt), rows.get(0).attempts());
            assertTrue(Double.isNaN(rows.get(0).hint()) && rows.get(0).repeatKey() == null);
            assertArrayEquals(new byte[] {0, -1}, store.result(1));
            assertNull(store.result(2));
            assertEquals(300, store.latestMs());
            assertEquals(3, store.commits());
        }
    }

    @Test
    void secondOpenIsRefusedWithTheHolder() throws Exception {
        try (Store store = open()) {
            assertEquals(0, store.commits());
            StoreException e = assertThrows(StoreException.class, this::open);
            assertEquals(StoreException.Kind.HELD, e.kind);
            assertTrue(
                    e.getMessage()
                            .contains(
                                    "held by process " + ProcessHandle.current().pid()),
                    e.getMessage());
        }
        open().close();
    }

    @Test
    void newerFormatIsRefusedWithBothVersions() throws Exception {
        fill(1);
        try (Connection db = DriverManager.getConnection("jdbc:sqlite:" + folder.resolve("jobs.db"))) {
            db.createStatement().execute("PRAGMA user_version=9");
        }
        StoreException e = assertThrows(StoreException.class, this::open);
        assertEquals(StoreException.Kind.FORMAT, e.kind);
        assertTrue(e.getMessage().contains("format 9, this build reads up to 2"), e.getMessage());
    }

    @Test
    void missingAcknowledgedCommitsAreDetected() throws Exception {
        Path truncated;
        try (Store store = open()) {
            for (int i = 1; i <= 20; i++) {
                store.write(List.of(Op.accept(row(i, 300))));
            }
            truncated = snapshot("torn");
        }
        // Truncated log: SQLite alone would continue as if the last commits had never been made.
        Path log = truncated.resolve("jobs.db-wal");
        byte[] bytes = Files.readAllBytes(log);
        Files.write(log, java.util.Arrays.copyOf(bytes, bytes.length - 5000));
        StoreException e = assertThrows(StoreException.class, () -> Store.open(truncated, 1L << 30));
        assertEquals(StoreException.Kind.DAMAGED, e.kind);
        assertTrue(e.getMessage().contains("acknowledged commits are missing"), e.getMessage());
        assertTrue(Store.acceptLoss(truncated) > 0);
        try (Store store = Store.open(truncated, 1L << 30)) {
            assertTrue(readAll(store).size() < 20);
        }
    }

    @Test
    void unacknowledgedCommitMayBeLost() throws Exception {
        Path before;
        try (Store store = open()) {
            store.write(List.of(Op.accept(row(1, 300))));
            before = snapshot("before");
            store.write(List.of(Op.accept(row(2, 300))));
            byte[] log = Files.readAllBytes(folder.resolve("jobs.db-wal"));
            // Killed during the second commit: half of it is in the log, and the witness still has the first.
            Files.write(before.resolve("jobs.db-wal"), java.util.Arrays.copyOf(log, log.length - 3000));
        }
        try (Store store = Store.open(before, 1L << 30)) {
            assertEquals(1, readAll(store).size());
            List<String> damage = new ArrayList<>();
            store.verify(damage::add);
            assertEquals(List.of(), damage);
        }
    }

    @Test
    void flippedBitIsReportedAndNeverReturnedAsData() throws Exception {
        fill(50);
        Path file = folder.resolve("jobs.db");
        byte[] intact = Files.readAllBytes(file);
        String text = new String(intact, StandardCharsets.ISO_8859_1);
        int detected = 0;
        // In a body, in a key, in a request id, and in a page header. Pages also contain remains of moved
        // cells, so every occurrence of the text is changed.
        for (String target : new String[] {"b".repeat(200), "basket-checkcheckk7", "r33", ""}) {
            byte[] flipped = intact.clone();
            for (int i = text.indexOf(target, 4096 * 2);
                    !target.isEmpty() && i >= 0;
                    i = text.indexOf(target, i + 300)) {
                flipped[i + target.length() - 1] ^= 4;
            }
            flipped[4096 * 3 + 3] ^= target.isEmpty() ? 4 : 0;
            Files.write(file, flipped);
            List<String> damage = new ArrayList<>();
            try (Store store = open()) {
                store.verify(damage::add);
                assertFalse(damage.isEmpty(), "flipped: " + target);
                StoreException e = assertThrows(StoreException.class, () -> readAll(store));
                assertEquals(StoreException.Kind.DAMAGED, e.kind, e.getMessage());
                detected++;
            } catch (StoreException e) {
                assertEquals(StoreException.Kind.DAMAGED, e.kind, e.getMessage());
                detected++;
            }
        }
        assertEquals(4, detected);
        Files.write(file, intact);
        try (Store store = open()) {
            assertEquals(50, readAll(store).size());
        }
    }

    @Test
    void fullStoreRejectsWritesUntilSpaceIsFreed() throws Exception {
        try (Store store = Store.open(folder, 200 * 4096)) {
            int accepted = 0;
            StoreException full = null;
            while (full == null && accepted < 1000) {
                try {
                    store.write(List.of(Op.accept(row(++accepted, 3000))));
                } catch (StoreException e) {
                    full = e;
                }
            }
            assertEquals(StoreException.Kind.FULL, full.kind, full.getMessage());
            assertEquals(accepted - 1, readAll(store).size());
            List<Op> drops = new ArrayList<>();
            for (int i = 1; i < 20; i++) {
                drops.add(Op.drop(i, 5));
            }
            store.write(drops);
            store.write(List.of(Op.accept(row(5000, 3000))));
            long used = store.usedBytes();
            store.compact();
            assertTrue(store.usedBytes() <= used && Files.size(folder.resolve("jobs.db")) <= 200 * 4096);
            assertEquals(accepted - 20 + 1, readAll(store).size());
        }
    }

    // ---- the journal ----

    /** A storage that fails on demand. */
    private static final class FaultyStorage implements Journal.Storage {
        private final List<Op> written = new ArrayList<>();
        private volatile StoreException.Kind failureKind;
        private int writeCalls;

        @Override
        public void write(List<Op> ops) throws StoreException {
            writeCalls++;
            boolean hasAcceptance = ops.stream().anyMatch(op -> op.kind() == Op.Kind.ACCEPT);
            if (failureKind == StoreException.Kind.BROKEN || failureKind == StoreException.Kind.FULL && hasAcceptance) {
                throw new StoreException(failureKind, "injected failure");
            }
            written.addAll(ops);
        }

        @Override
        public byte[] result(long id) {
            return null;
        }

        @Override
        public long usedBytes() {
            return 0;
        }

        @Override
        public void vacuumIncrementally() {}

        @Override
        public void close() {}
    }

    private static String nextOutcome(BlockingQueue<String> outcomes) throws InterruptedException {
        return String.valueOf(outcomes.poll(10, TimeUnit.SECONDS));
    }

    @Test
    void storageIsNotUsedAgainAfterAFailedSync() throws Exception {
        FaultyStorage storage = new FaultyStorage();
        BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
        try (Journal journal = new Journal(storage, Runnable::run, 16)) {
            journal.write(Op.accept(row(1, 1)), failure -> outcomes.add("1 " + (failure == null)));
            assertEquals("1 true", nextOutcome(outcomes));
            storage.failureKind = StoreException.Kind.BROKEN;
            journal.write(Op.accept(row(2, 1)), failure -> outcomes.add("2 " + failure.kind));
            assertEquals("2 BROKEN", nextOutcome(outcomes));
            // The write would succeed now, but after a failed sync the disk can't be trusted.
            storage.failureKind = null;
            journal.write(Op.accept(row(3, 1)), failure -> outcomes.add("3 " + failure.kind));
            assertEquals("3 BROKEN", nextOutcome(outcomes));
            assertEquals(StoreException.Kind.BROKEN, journal.broken().kind);
        }
        assertEquals(2, storage.writeCalls);
        assertEquals(1, storage.written.size());
    }

    @Test
    void fullDiskRejectsAcceptancesAndStillRecordsEnds() throws Exception {
        FaultyStorage storage = new FaultyStorage();
        BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
        storage.failureKind = StoreException.Kind.FULL;
        try (Journal journal = new Journal(storage, Runnable::run, 16)) {
            journal.write(Op.accept(row(1, 1)), failure -> outcomes.add("1 " + failure.kind));
            journal.write(
                    Op.end(7, State.DONE, List.of(), "", new byte[0], 5), failure -> outcomes.add("7 " + failure));
            assertEquals("1 FULL", nextOutcome(outcomes));
            assertEquals("7 null", nextOutcome(outcomes));
            storage.failureKind = null;
            journal.write(Op.accept(row(1, 1)), failure -> outcomes.add("1 " + failure));
            assertEquals("1 null", nextOutcome(outcomes));
            assertNull(journal.broken());
        }
    }

    @Test
    void fullQueueIsReportedAtOnce() throws Exception {
        FaultyStorage storage = new FaultyStorage();
        BlockingQueue<Runnable> interrupted = new LinkedBlockingQueue<>();
        java.util.concurrent.CountDownLatch released = new java.util.concurrent.CountDownLatch(1);
        Journal journal = new Journal(
                storage,
                callbacks -> {
                    try {
                        released.await();
                    } catch (InterruptedException e) {
                        interrupted.add(callbacks);
                    }
                },
                16);
        int accepted = 0;
        while (accepted < 100 && journal.write(Op.accept(row(accepted + 1, 1)), failure -> {})) {
            accepted++;
        }
        assertTrue(accepted >= 8 && accepted < 20, accepted + " accepted");
        // Records of running jobs are still accepted.
        assertTrue(journal.write(Op.update(1, State.QUEUED, List.of(), 1), failure -> {}));
        released.countDown();
        journal.close();
        assertEquals(accepted + 1, storage.written.size());
    }

    /** Kills processes that write and compact at random moments; acknowledged jobs must survive. */
    @Test
    void acknowledgedJobsSurviveAKillAtAnyMoment() throws Exception {
        java.util.Random random = new java.util.Random(7);
        long acknowledged = 0;
        for (int i = 0; i < 6; i++) {
            Path outputFile = folder.resolve("output");
            long outputBytes = 100 + random.nextInt(4000);
            KilledProcess.run(outputFile, outputBytes, Writer.class, folder.toString(), String.valueOf(acknowledged));
            List<String> lines = Files.readAllLines(outputFile);
            for (String line : lines.subList(0, Math.max(0, lines.size() - 1))) {
                acknowledged = Math.max(acknowledged, Long.parseLong(line));
            }
            try (Store store = open()) {
                List<JobRow> rows = readAll(store);
                long last = rows.isEmpty() ? 0 : rows.get(rows.size() - 1).id();
                assertTrue(last >= acknowledged, last + " of " + acknowledged);
                acknowledged = last;
                List<String> damage = new ArrayList<>();
                store.verify(damage::add);
                assertEquals(List.of(), damage);
            }
        }
        assertTrue(acknowledged > 50, acknowledged + " acknowledged");
    }

    /** Accepts jobs, drops older ones, compacts now and then, and prints the id of each committed job. */
    static final class Writer {
        private Writer() {}

        public static void main(String[] args) throws IOException {
            try (Store store = Store.open(Path.of(args[0]), 1L << 30)) {
                for (long id = Long.parseLong(args[1]) + 1; id < 1_000_000; id++) {
                    store.write(List.of(Op.accept(row(id, 2000)), Op.drop(id - 100, 5)));
                    System.out.write((id + "\n").getBytes(StandardCharsets.US_ASCII));
                    System.out.flush();
                    if (id % 40 == 0) {
                        store.compact();
                    } else if (id % 7 == 0) {
                        store.vacuumIncrementally();
                    }
                }
            }
        }
    }
}
