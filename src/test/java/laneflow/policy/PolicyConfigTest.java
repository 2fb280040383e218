package laneflow.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import laneflow.assembly.Setup;
import laneflow.config.ConfigException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reading of the [policy] and [fleet] tables: all errors are reported, each with its place. */
class PolicyConfigTest {
    @TempDir
    private Path folder;

    private Setup read(String tables) throws Exception {
        Path file = folder.resolve("f.toml");
        Files.writeString(file, "name = \"n1\"\nlisten = \"127.0.0.1:0\"\nzones = [\"z\"]\n[classes.check]\n" + tables);
        return Setup.fromOperatorsFile(file, null, null);
    }

    private String errorOf(String tables) {
        return assertThrows(ConfigException.class, () -> read(tables)).getMessage();
    }

    @Test
    void readsAVoterAndANonVoter() throws Exception {
        String fleet = "[fleet]\nlisten = \"127.0.0.1:0\"\n[fleet.peers]\nn2 = \"127.0.0.1:1\"\nn3 = \"127.0.0.1:2\"\n"
                + "[policy]\ncut_off = \"serve\"\n";
        PolicyConfig voter = read(fleet + "voters = [\"n1\", \"n2\", \"n3\"]\ndir = \"votes\"\n")
                .policy();
        assertEquals(Path.of("votes"), voter.dir);
        assertTrue(voter.servesWithoutLease);
        assertEquals(1_000_000, voter.leaseMicros);
        // A scheduler that does not vote may be added as a voter: it can have a folder for its votes.
        assertEquals(
                Path.of("votes"),
                read(fleet + "voters = [\"n2\"]\ndir = \"votes\"\n").policy().dir);
        assertEquals(null, read(fleet + "voters = [\"n2\"]\n").policy().dir);
        assertEquals(null, read("").policy());
    }

    @Test
    void errorsNameTheirPlace() {
        assertTrue(errorOf("[policy]\nvoters = [\"n1\"]\ndir = \"d\"\n").contains("needs the table [fleet]"));
        String fleet = "[fleet]\nlisten = \"127.0.0.1:0\"\n[fleet.peers]\nn2 = \"127.0.0.1:1\"\n[policy]\n";
        assertTrue(errorOf(fleet + "voters = [\"n1\", \"n2\"]\ndir = \"d\"\n").contains("names 2 schedulers"));
        assertTrue(errorOf(fleet + "voters = [\"n1\"]\n").contains("[policy] dir: is missing"));
        String errors =
                errorOf(fleet + "voters = [\"n1\", \"n2\", \"n9\"]\ndir = \"d\"\nlease_ms = 5\ncut_off = \"maybe\"\n");
        for (String part : List.of("'n9' is neither", "5 is not between 100 and 600000", "'maybe' is none of")) {
            assertTrue(errors.contains(part), errors);
        }
        assertTrue(errorOf("[fleet]\nlisten = \"here\"\nname = \"a b\"\n").contains("is no name"));
        assertTrue(errorOf(fleet.replace("127.0.0.1:1", "x") + "voters = [\"n2\"]\n")
                .contains("[fleet.peers] n2"));
    }
}
