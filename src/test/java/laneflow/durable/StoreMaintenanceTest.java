package laneflow.durable;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import laneflow.cli.Cli;
import laneflow.durable.decision.AttemptRecord;
import laneflow.durable.decision.AttemptRecord.Known;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the command-line tools for a store that no scheduler holds. */
class StoreMaintenanceTest {
    private final PrintStream originalOut = System.out;
    private final PrintStream originalErr = System.err;
    private String output = "";

    @TempDir
    private Path folder;

    @AfterEach
    void restore() {
        System.setOut(originalOut);
        System.setErr(originalErr);
    }

    private int run(String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(out, true, StandardCharsets.UTF_8));
        int code = Cli.run(args);
        restore();
        output = out.toString(StandardCharsets.UTF_8);
        return code;
    }

    private static JobRow row(long id, String key, byte... body) {
        return new JobRow(
                id,
                "card-capture",
                "capture",
                key,
                "/card-capture",
                "r",
                null,
                0.5,
                1,
                0,
                0,
                0,
                1000,
                RowCodec.checksum(body),
                body.length,
                body,
                State.QUEUED,
                List.of(),
                "",
                1000,
                0);
    }

    private Path store(String name, JobRow... rows) throws IOException {
        Path dir = folder.resolve(name);
        try (Store store = Store.open(dir, StoreMaintenance.NO_LIMIT)) {
            for (JobRow row : rows) {
                store.write(List.of(Op.accept(row)));
            }
        }
        return dir;
    }

    @Test
    void listsShowsAndCancelsJobs() throws Exception {
        Path dir = store("s", row(1, "a", (byte) 'x'), row(2, "b"));
        try (Store store = Store.open(dir, StoreMaintenance.NO_LIMIT)) {
            AttemptRecord attempt = new AttemptRecord(1, "till-1", 2000, 2500, Known.MAY_HAVE_RUN);
            store.write(List.of(Op.end(2, State.UNKNOWN, List.of(attempt), "it may have run", null, 3000)));
            assertEquals(1, run("jobs", "list", dir.toString()));
            assertTrue(output.contains("the store is held by process"), output);
        }
        assertEquals(0, run("jobs", "list", dir.toString(), "--json", "--state", "UNKNOWN"));
        JsonArray list = JsonParser.parseString(output).getAsJsonArray();
        assertEquals(1, list.size());
        assertEquals("0000000000000002", list.get(0).getAsJsonObject().get("id").getAsString());
        assertEquals(0, run("jobs", "show", dir.toString(), "0000000000000002"));
        assertTrue(output.contains("lease 1 at till-1") && output.contains("it may have run"), output);
        assertEquals(1, run("jobs", "cancel", dir.toString(), "0000000000000002"));
        assertTrue(output.contains("has begun"), output);
        assertEquals(0, run("jobs", "cancel", dir.toString(), "0000000000000001", "--json"));
        assertEquals(0, run("jobs", "list", dir.toString()));
        assertTrue(output.contains("cancelled"), output);
        assertEquals(2, run("jobs", "show", dir.toString(), "12"));
        assertEquals(1, run("jobs", "show", dir.toString(), "00000000000000ff"));
        assertEquals(1, run("jobs", "list", folder.resolve("none").toString()));
        assertEquals(2, run("jobs"));
    }

    @Test
    void verifyNamesDamageAndCompactShrinksTheFile() throws Exception {
        JobRow[] rows = new JobRow[200];
        for (int i = 0; i < rows.length; i++) {
            rows[i] = row(i + 1, "k" + i, new byte[2000]);
        }
        Path dir = store("s", rows);
        assertEquals(0, run("jobs", "verify", dir.toString()));
        assertTrue(output.startsWith("sound"), output);
        try (Store store = Store.open(dir, StoreMaintenance.NO_LIMIT)) {
            for (int i = 1; i < 190; i++) {
                store.write(List.of(Op.drop(i, 5)));
            }
        }
        assertEquals(0, run("jobs", "compact", dir.toString(), "--json"));
        JsonObject compacted = JsonParser.parseString(output).getAsJsonObject();
        assertTrue(
                compacted.get("bytes_after").getAsLong() * 4
                        < compacted.get("bytes_before").getAsLong(),
                output);
        byte[] bytes = Files.readAllBytes(dir.resolve("jobs.db"));
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        bytes[text.indexOf("k195") + 3] ^= 1;
        Files.write(dir.resolve("jobs.db"), bytes);
        assertEquals(1, run("jobs", "verify", dir.toString()));
        assertTrue(output.contains("job 00000000000000c4: checksum mismatch in its submission"), output);
    }

    @Test
    void adoptingAStoreTwiceMovesItsJobsOnce() throws Exception {
        Path source = store("dead", row(1, "a", (byte) 1), row(2, "b"), row(3, ""), row(4, "c"));
        Path target = store("living", row(9, "b"));
        AttemptRecord attempt = new AttemptRecord(1, "till-1", 2000, 2500, Known.OUT);
        try (Store store = Store.open(source, StoreMaintenance.NO_LIMIT);
                Store targetStore = Store.open(target, StoreMaintenance.NO_LIMIT)) {
            store.write(List.of(
                    Op.update(3, State.RUNNING, List.of(attempt), 2000),
                    Op.end(4, State.DONE, List.of(attempt.withKnown(Known.DONE)), "served", new byte[] {7}, 2100)));
            // An interrupted adoption has left this job in both stores.
            targetStore.write(List.of(Op.accept(row(1, "a", (byte) 1))));
        }
        assertEquals(0, run("jobs", "adopt", source.toString(), target.toString(), "--json"));
        JsonObject adopted = JsonParser.parseString(output).getAsJsonObject();
        assertEquals(3, adopted.get("moved").getAsInt());
        assertEquals(1, adopted.get("there_already").getAsInt());
        assertEquals(
                "0000000000000002",
                adopted.get("keys_taken").getAsJsonArray().get(0).getAsString());
        assertEquals(0, run("jobs", "adopt", source.toString(), target.toString()));
        assertTrue(output.startsWith("0 jobs moved"), output);
        try (Store store = Store.open(target, StoreMaintenance.NO_LIMIT)) {
            List<JobRow> rows = new ArrayList<>();
            store.read(true, rows::add);
            assertEquals(5, rows.size());
            assertEquals("", rows.get(1).key());
            assertEquals(List.of(attempt), rows.get(2).attempts());
            assertEquals(State.DONE, rows.get(3).state());
            assertEquals(7, store.result(4)[0]);
        }
    }
}
