package laneflow.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import laneflow.assembly.Setup;
import laneflow.config.ConfigException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The table [members] of the operators' file. */
class MembersConfigTest {
    private static final String FLEET = "[fleet]\nlisten = \"127.0.0.1:0\"\n";

    @TempDir
    private Path folder;

    private MembersConfig read(String tables) throws Exception {
        Path file = folder.resolve("f.toml");
        Files.writeString(file, "name = \"n1\"\nlisten = \"127.0.0.1:0\"\nzones = [\"z\"]\n[classes.check]\n" + tables);
        return Setup.fromOperatorsFile(file, null, null).members();
    }

    @Test
    void settingsAreReadAndMembershipIsOffWithoutItsTable() throws Exception {
        MembersConfig read = read(FLEET + "[members]\nlisten = \"0.0.0.0:9501\"\nadvertise = \"10.1.0.5:9501\"\n"
                + "seeds = [\"10.1.0.6:9501\", \"[::1]:9501\"]\nallowed = [\"10.1.0.0/16\"]\nkey_file = \"k\"\n");
        assertEquals(new InetSocketAddress("10.1.0.5", 9501), read.advertise);
        assertEquals(2, read.seeds.size());
        assertEquals(1, read.allowed.size());
        assertEquals(250_000, read.period);
        assertEquals(null, read(FLEET));
    }

    @Test
    void everyInvalidSettingIsReported() {
        String message = assertThrows(
                        ConfigException.class,
                        () -> read("[members]\nlisten = \"0.0.0.0:9501\"\n"
                                + "seeds = [\"celje\"]\nallowed = [\"10.1.0.0\"]\nperiod_ms = 5\nkeys = 1\n"))
                .getMessage();
        for (String part : List.of(
                "needs the table [fleet]",
                "advertise: is missing",
                "seeds: 'celje'",
                "allowed: '10.1.0.0' is no range",
                "key_file: is missing",
                "5 is not between 20 and 60000",
                "keys: is unknown")) {
            assertTrue(message.contains(part), part + " in " + message);
        }
    }
}
