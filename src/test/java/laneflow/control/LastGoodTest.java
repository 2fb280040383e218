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

/** The file of the last good version: old or new at any moment, and never believed when damaged. */
@Timeout(900)
class LastGoodTest {
    @TempDir
    private Path folder;

    private static SavedVersion kept(long number) {
        JsonObject resources = new JsonObject();
        resources.addProperty("filler", "x".repeat((int) (number % 7) * 3000));
        resources.addProperty("number", number);
        return new SavedVersion("destinations", new Version(number, "ab"), 1000 + number, resources);
    }

    @Test
    void whatWasWrittenIsRead() throws Exception {
        LastGood file = new LastGood(folder, "destinations");
        assertNull(file.read());
        file.write(kept(1));
        file.write(kept(2));
        assertEquals(kept(2), file.read());
        // What an interrupted writing left beside it is not looked at.
        Files.writeString(folder.resolve("destinations.last-good.new"), "half");
        assertEquals(kept(2), file.read());
        file.write(kept(3));
        assertEquals(kept(3), file.read());
    }

    @Test
    void whatIsDamagedIsRefusedInWords() throws Exception {
        LastGood file = new LastGood(folder, "destinations");
        file.write(kept(1));
        Path path = folder.resolve("destinations.last-good");
        byte[] sound = Files.readAllBytes(path);
        // In memory: how fast a disk takes a hundred files says nothing of what is read from them.
        for (int at = 0; at < sound.length; at++) {
            byte[] flipped = sound.clone();
            flipped[at] ^= 2;
            assertThrows(LastGood.Unusable.class, () -> LastGood.parse(flipped, "f"), "byte " + at);
        }
        for (int length = 0; length < sound.length; length++) {
            byte[] cut = Arrays.copyOf(sound, length);
            assertThrows(LastGood.Unusable.class, () -> LastGood.parse(cut, "f"), "length " + length);
        }
        assertEquals(kept(1), LastGood.parse(sound, "f"));
        Files.writeString(path, new String(sound, StandardCharsets.UTF_8).replaceFirst(" 1 ", " 2 "));
        String said = assertThrows(LastGood.Unusable.class, file::read).getMessage();
        assertTrue(said.contains("has format 2, this build reads 1"), said);
    }

    @Test
    void aKillAtAnyMomentLeavesTheOldOneOrTheNew() throws Exception {
        Random random = new Random(7);
        LastGood file = new LastGood(folder, "destinations");
        long last = 0;
        for (int i = 0; i < 6; i++) {
            Path said = folder.resolve("said");
            long enough = 20 + random.nextInt(1500);
            KilledProcess.run(said, enough, Writer.class, folder.toString(), String.valueOf(last));
            String[] lines = Files.readString(said).split("\n");
            long acknowledged = lines.length < 2 ? last : Long.parseLong(lines[lines.length - 2]);
            SavedVersion found = file.read();
            assertEquals(kept(found.version().number()), found);
            assertTrue(found.version().number() >= acknowledged, found.version() + " of " + acknowledged);
            last = found.version().number();
        }
        assertTrue(last > 20, last + " written");
    }

    /** Writes one version after the other, and says which writes returned. */
    static final class Writer {
        private Writer() {}

        public static void main(String[] args) throws IOException {
            LastGood file = new LastGood(Path.of(args[0]), "destinations");
            for (long number = Long.parseLong(args[1]) + 1; ; number++) {
                file.write(kept(number));
                System.out.write((number + "\n").getBytes(StandardCharsets.US_ASCII));
                System.out.flush();
            }
        }
    }
}
