package laneflow.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The platform's run line starts one process, which starts no other and opens TCP and UDP sockets only. */
class PlatformLineTest {
    /** Whose classes the run line loads; `.ci/run` sees that it loads no others. */
    private static final List<String> LOADED = List.of("", "assembly", "core", "decision", "http", "net", "wire");
    /** Other programs, and what the operators' bench refuses: sendfile, splice, memory shared by files, Unix sockets. */
    private static final Pattern REFUSED = Pattern.compile("ProcessBuilder|getRuntime\\(\\)\\.exec|ProcessHandle"
            + "|\\.transferTo\\(|\\.transferFrom\\(|FileChannel|UnixDomain|StandardProtocolFamily");

    @Test
    void theRunLineEndsInOneProcess() throws IOException {
        String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        assertTrue(run.startsWith("run = \"exec java "), run);
        assertFalse(Pattern.compile("[;&|`$<>]").matcher(run).find(), run);
    }

    @Test
    void nothingItLoadsStartsAProgramOrOpensAnotherKindOfSocket() throws IOException {
        List<String> found = new ArrayList<>();
        int read = 0;
        for (String each : LOADED) {
            try (Stream<Path> files =
                    Files.list(Path.of("src/main/java/laneflow").resolve(each))) {
                for (Path file :
                        files.filter(f -> f.toString().endsWith(".java")).toList()) {
                    read++;
                    if (REFUSED.matcher(Files.readString(file)).find()) {
                        found.add(file.toString());
                    }
                }
            }
        }
        assertTrue(read > 60, read + " files");
        assertEquals(List.of(), found);
        // The pattern finds what is there: the handover socket is a Unix socket, and off in `run`.
        assertTrue(REFUSED.matcher(Files.readString(Path.of("src/main/java/laneflow/ops/HandoverSocket.java")))
                .find());
    }
}
