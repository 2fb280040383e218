package laneflow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import example.EmbedExample;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** What the project promises of its own text. */
class SourceTest {
    private static final Path MODULE = Path.of("src/main/java/laneflow/decision/Logic.java");

    /** All files that the deploy file names as the module's, together. */
    @Test
    void moduleStaysWithinItsSize() throws IOException {
        String named = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("policy = "))
                .findFirst()
                .orElseThrow();
        List<Path> policy = Pattern.compile("\"([^\"]+)\"")
                .matcher(named)
                .results()
                .map(found -> Path.of(found.group(1)))
                .toList();
        assertTrue(policy.contains(MODULE), named);
        long lines = 0;
        for (Path file : policy) {
            lines += Files.readAllLines(file).stream()
                    .filter(line -> !line.isBlank())
                    .count();
        }
        assertTrue(lines <= 1000, lines + " non-blank lines");
    }

    @Test
    void linesAreNotLongerThan120() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("src/main"))) {
            List<Path> java = files.filter(f -> f.toString().endsWith(".java")).toList();
            assertTrue(java.contains(MODULE));
            for (Path file : java) {
                for (String line : Files.readAllLines(file)) {
                    assertTrue(line.length() <= 120, file + ": " + line);
                }
            }
        }
    }

    @Test
    void readmeShowsTheExampleThatIsCompiled() throws IOException {
        String source = Files.readString(Path.of("src/test/java/example/EmbedExample.java"));
        assertTrue(Files.readString(Path.of("README.md")).contains("```java\n" + source.strip() + "\n```"));
        assertEquals("send 1 to 7, answered", EmbedExample.dispatchOne());
    }
}
