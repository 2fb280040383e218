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

/** The platform's run line must start a single process, which starts no other and opens only TCP and UDP sockets. */
class PlatformLineTest {
    /** The packages whose classes the run line loads; {@code .ci/run} checks that it loads no others. */
    private static final List<String> LOADED_PACKAGES =
            List.of("", "assembly", "core", "decision", "http", "net", "wire");
    /** Starting programs, and what the operators' bench rejects: sendfile, splice, mapped files, Unix sockets. */
    private static final Pattern FORBIDDEN = Pattern.compile("ProcessBuilder|getRuntime\\(\\)\\.exec|ProcessHandle"
            + "|\\.transferTo\\(|\\.transferFrom\\(|FileChannel|UnixDomain|StandardProtocolFamily");

    @Test
    void theRunLineStartsOneProcess() throws IOException {
        String runLine = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        assertTrue(runLine.startsWith("run = \"exec java "), runLine);
        assertFalse(Pattern.compile("[;&|`$<>]").matcher(runLine).find(), runLine);
    }

    @Test
    void loadedClassesStartNoProgramAndOpenOnlyTcpAndUdpSockets() throws IOException {
        List<String> violations = new ArrayList<>();
        int filesRead = 0;
        for (String packageName : LOADED_PACKAGES) {
            try (Stream<Path> files =
                    Files.list(Path.of("src/main/java/laneflow").resolve(packageName))) {
                for (Path file :
                        files.filter(f -> f.toString().endsWith(".java")).toList()) {
                    filesRead++;
                    if (FORBIDDEN.matcher(Files.readString(file)).find()) {
                        violations.add(file.toString());
                    }
                }
            }
        }
        assertTrue(filesRead > 60, filesRead + " files");
        assertEquals(List.of(), violations);
        // The pattern must match a known use: the handover socket is a Unix socket, off in `run`.
        assertTrue(FORBIDDEN
                .matcher(Files.readString(Path.of("src/main/java/laneflow/ops/HandoverSocket.java")))
                .find());
    }
}
