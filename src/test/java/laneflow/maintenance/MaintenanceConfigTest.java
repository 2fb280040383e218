package laneflow.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import laneflow.assembly.Setup;
import laneflow.config.ConfigException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The [maintenance] table: all errors are reported, each with its place. */
class MaintenanceConfigTest {
    private static final String FLEET = "[fleet]\nlisten = \"127.0.0.1:0\"\n[policy]\nvoters = [\"n1\"]\ndir = \"v\"\n";

    @TempDir
    private Path folder;

    private Setup read(String tables) throws Exception {
        Path file = folder.resolve("f.toml");
        Files.writeString(
                file,
                "name = \"n1\"\nlisten = \"127.0.0.1:0\"\nzones = [\"z\"]\n[classes.check]\n"
                        + "[endpoints.t1]\ndial = \"127.0.0.1:1\"\nrack = \"a\"\nslots = 4\n[endpoints.t2]\n"
                        + "dial = \"127.0.0.1:2\"\nrack = \"a\"\n[endpoints.t3]\ndial = \"127.0.0.1:3\"\n"
                        + "[tenants.shop]\nshare = 2\n" + tables);
        return Setup.fromOperatorsFile(file, null, null);
    }

    private String errorOf(String tables) {
        return assertThrows(ConfigException.class, () -> read(tables)).getMessage();
    }

    @Test
    void racksTenantsAndTimesAreRead() throws Exception {
        assertEquals(null, read(FLEET + "[tasks]\n").maintenance());
        MaintenanceConfig defaults = read(FLEET + "[tasks]\n[maintenance]\n").maintenance();
        assertEquals(Set.of("a", "t3"), defaults.rackNames());
        assertEquals(List.of("t1", "t2"), defaults.racks.get("a"));
        assertEquals(2, defaults.inventory.tenants().size());
        assertEquals(14 * 96, defaults.planningParameters.steps());
        assertEquals(1, defaults.expectedDemand);
        MaintenanceConfig other = read(FLEET + "[tasks]\n[maintenance]\nstep_ms = 100\nahead_ms = 60000\n"
                        + "tolerance = 0.1\nsilent_ms = 7\n")
                .maintenance();
        assertEquals(600, other.planningParameters.steps());
        assertEquals(0.1, other.fairnessLimits.tolerance());
        assertEquals(7000, other.silenceMicros);
    }

    @Test
    void allErrorsAreReportedAtOnce() {
        String errors =
                errorOf("[maintenance]\nstep_ms = 5\nahead_ms = 1000\ndemand = 2\nearly_ms = 1999\n" + "more = 1\n");
        for (String part : List.of(
                "[maintenance] needs the table [policy]",
                "needs the table [tasks]",
                "step_ms: 5 is not between",
                "ahead_ms: is 0 times step_ms",
                "demand: 2 is not between",
                "early_ms: is less than two looks",
                "more: is unknown")) {
            assertTrue(errors.contains(part), errors);
        }
        String errorWithServe = errorOf(FLEET + "cut_off = \"serve\"\n[tasks]\n[maintenance]\n");
        assertTrue(errorWithServe.contains("needs [policy] cut_off"), errorWithServe);
    }
}
