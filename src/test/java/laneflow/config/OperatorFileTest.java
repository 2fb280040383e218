package laneflow.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import laneflow.assembly.Setup;
import laneflow.decision.Dispatch.Effect;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The operators' file: its settings, the precedence of the platform's file, and the reporting of every error. */
class OperatorFileTest {
    private static final Path EXAMPLE_FILE = Path.of("deploy/laneflow.toml");

    @TempDir
    private Path folder;

    private Path write(String name, String text) throws IOException {
        return Files.writeString(folder.resolve(name), text);
    }

    private String errorOf(String text) throws IOException {
        Path file = write("x.toml", text);
        return assertThrows(ConfigException.class, () -> Setup.fromOperatorsFile(file, null, null))
                .getMessage()
                .replace(file + ": ", "");
    }

    @Test
    void exampleFileIsRead() throws Exception {
        Setup setup = Setup.fromOperatorsFile(EXAMPLE_FILE, null, null);
        assertEquals("127.0.0.1:8081", setup.config().listen);
        assertEquals(3, setup.config().lastKnown.entries.size());
        assertEquals(Effect.UNSAFE, setup.config().settings.classes[1].effect);
        assertEquals(10, setup.config().settings.classes[2].dedupWindow);
        assertEquals(0.5, setup.config().settings.drainGrace);
        assertTrue(setup.gearman().functions.get("points_post").durable());
        assertEquals(3000, setup.durable().classes[2].leaseMs);
        assertEquals(5000, setup.durable().classes[0].leaseMs);
    }

    @Test
    void moduleSettingsAreRead() throws Exception {
        String file = "listen = '127.0.0.1:0'\nzones = ['a']\n[classes.c]\n";
        assertEquals(
                0.5, Setup.fromOperatorsFile(write("a.toml", file), null, null).config().settings.crossEachWay);
        Setup setup = Setup.fromOperatorsFile(
                write(
                        "a.toml",
                        file + "[module]\ncross_each_way = 0.25\nretry_free = 3\n"
                                + "retry_share = 0.1\nretry_window_ms = 5000\n"),
                null,
                null);
        assertEquals(0.25, setup.config().settings.crossEachWay);
        assertEquals(3, setup.config().settings.retryFree);
        assertEquals(0.1, setup.config().settings.retryShare);
        assertEquals(5, setup.config().settings.retryWindow);
        assertTrue(errorOf(file + "[module]\nretry_free = 3\n").contains("[module] retry_window_ms: is missing"));
        Path platform = write("p.json", "{\"settings\":{\"rules\":{\"spareAttempts\":1}}}");
        Setup merged = Setup.fromOperatorsFile(
                write("a.toml", file + "[module]\nretry_free = 3\nretry_window_ms = 1\n"), platform, null);
        assertEquals(1, merged.config().settings.retryFree);
        assertTrue(merged.fixed().containsKey("module"));
    }

    @Test
    void platformFileOverridesWhatItNames() throws Exception {
        Path platform = write(
                "p.json",
                "{\"listen\":\"127.0.0.1:7\",\"settings\":{\"classes\":["
                        + "{\"name\":\"card-capture\",\"semantics\":\"side_effect\"},{\"name\":\"points-post\"},"
                        + "{\"name\":\"basket-check\",\"semantics\":\"pure\"}]}}");
        Setup setup = Setup.fromOperatorsFile(EXAMPLE_FILE, platform, null);
        assertEquals("127.0.0.1:7", setup.config().listen);
        assertEquals("card-capture", setup.config().classNames[0]);
        assertEquals(2, setup.gearman().functions.get("basket_check").jobClass());
        assertEquals(3, setup.config().lastKnown.entries.size());
    }

    @Test
    void allErrorsAreReportedTogether() throws Exception {
        String message = errorOf("listen = 'here'\nlisten2 = 1\nzones = ['a']\n[limits]\nsockets = '9'\nattempts = 6\n"
                + "[classes.c]\naim_ms = 9\ndeadline_ms = 3\nrepeat = 'keyed'\nworht = 1\n"
                + "[endpoints.e]\nzone = 'b'\n[gearman]\nlisten = '127.0.0.1:1'\n"
                + "[gearman.functions.f]\nclass = 'd'\ndurable = 1\n[durable]\ndir = 'x'\nstore_mib = 0\n"
                + "[durable.classes.z]\n");
        for (String line : new String[] {
            "listen: 'here' is not an address",
            "listen2: is unknown here; known are",
            "[limits] sockets: must be a whole number",
            "[limits] attempts: 6 is not between 1 and 5",
            "[classes.c] deadline_ms: is under aim_ms",
            "[classes.c] window_ms: is missing",
            "[classes.c] worht: is unknown",
            "[endpoints.e] dial: is missing",
            "[endpoints.e] zone: 'b' is none of",
            "[gearman.functions.f] class: 'd' is none of [c]",
            "[gearman.functions.f] durable: must be true or",
            "[durable] store_mib: 0 is not between 1 and",
            "[durable.classes.z] 'z' is none of"
        }) {
            assertTrue(message.contains(line), line + "\n--- not in\n" + message);
        }
    }

    @Test
    void missingKeysAndInvalidTomlAreReported() throws Exception {
        assertTrue(errorOf("listen = ").contains("is no TOML: "));
        assertTrue(errorOf("zones = ['a']").contains("listen: is missing\n"));
        assertTrue(errorOf("listen = '127.0.0.1:1'\n[classes.c]\n[gearman]\nlisten = 'x:1'\n[gearman.functions.f]\n"
                        + "class = 'c'\ndurable = true\n")
                .contains("there is no [durable]"));
    }
}
