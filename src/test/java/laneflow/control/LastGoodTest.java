package laneflow.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Random;
import laneflow.control.LastGood.SavedVersion;
import laneflow.control.decision.Version;
import laneflow.testing.KilledProcess;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The last-good file: a kill during a write leaves the old or the new version, and a damaged file is refused. */
@Timeout(900)
class LastGoodTest {
    @TempDir
    private Path folder;

    private static SavedVersion savedVersion(long number) {
        JsonObject resources = new JsonObject();
        resources.addProperty("filler", "x".repeat((int) (number % 7) * 3000));
        resources.addProperty("number", number);
        return new SavedVersion("destinations", new Version(number, "ab"), 1000 + number, resources);
    }

    @Test
    void writtenVersionIsReadBack() throws Exception {
        LastGood file = new LastGood(folder, "destinations");
        assertNull(file.read());
        file.write(savedVersion(1));
        file.write(savedVersion(2));
        assertEquals(savedVersion(2), file.read());
        // A temporary file left by an interrupted write is ignored.
        Files.writeString(folder.resolve("destinations.last-good.new"), "half");
        assertEquals(savedVersion(2), file.read());
        file.write(savedVersion(3));
        assertEquals(savedVersion(3), file.read());
    }

    @Test
    void damagedFileIsRefusedWithAReason() throws Exception {
        LastGood file = new LastGood(folder, "destinations");
        file.write(savedVersion(1));
        Path path = folder.resolve("destinations.last-good");
        byte[] intact = Files.readAllBytes(path);
        // Parses in memory: writing a file for each case would add only disk time.
        for (int position = 0; position < intact.length; position++) {
            byte[] flipped = intact.clone();
            flipped[position] ^= 2;
            assertThrows(LastGood.Unusable.class, () -> LastGood.parse(flipped, "f"), "byte " + position);
        }
        for (int length = 0; length < intact.length; length++) {
            byte[] truncated = Arrays.copyOf(intact, length);
            assertThrows(LastGood.Unusable.class, () -> LastGood.parse(truncated, "f"), "length " + length);
        }
        assertEquals(savedVersion(1), LastGood.parse(intact, "f"));
        Files.writeString(path, new String(intact, StandardCharsets.UTF_8).replaceFirst(" 1 ", " 2 "));
        String message = assertThrows(LastGood.Unusable.class, file::read).getMessage();
        assertTrue(message.contains("has format 2, this build reads 1"), message);
    }

    @Test
    void killDuringAWriteLeavesTheOldOrTheNewVersion() throws Exception {
        Random random = new Random(7);
        LastGood file = new LastGood(folder, "destinations");
        long last = 0;
        for (int i = 0; i < 6; i++) {
            Path output = folder.resolve("output");
            long outputBytes = 20 + random.nextInt(1500);
            KilledProcess.run(output, outputBytes, Writer.class, folder.toString(), String.valueOf(last));
            String[] lines = Files.readString(output).split("\n");
            long acknowledged = lines.length < 2 ? last : Long.parseLong(lines[lines.length - 2]);
            SavedVersion found = file.read();
            assertEquals(savedVersion(found.version().number()), found);
            assertTrue(found.version().number() >= acknowledged, found.version() + " of " + acknowledged);
            last = found.version().number();
        }
        assertTrue(last > 20, last + " written");
    }

    /** Writes one version after the other and prints the number of each completed write. */
    static final class Writer {
        private Writer() {}

        public static void main(String[] args) throws IOException {
            LastGood file = new LastGood(Path.of(args[0]), "destinations");
            for (long number = Long.parseLong(args[1]) + 1; ; number++) {
                file.write(savedVersion(number));
                System.out.write((number + "\n").getBytes(StandardCharsets.US_ASCII));
                System.out.flush();
            }
        }
    }
}
