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

/** Checks the project's own source files: size of the decision module, line length, the README's example. */
class SourceTest {
    private static final Path MODULE = Path.of("src/main/java/laneflow/decision/Logic.java");

    /** The files that the deploy file names as the module's policy have at most 1000 non-blank lines together. */
    @Test
    void moduleStaysWithinItsSize() throws IOException {
        String policyLine = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith("policy = "))
                .findFirst()
                .orElseThrow();
        List<Path> policyFiles = Pattern.compile("\"([^\"]+)\"")
                .matcher(policyLine)
                .results()
                .map(match -> Path.of(match.group(1)))
                .toList();
        assertTrue(policyFiles.contains(MODULE), policyLine);
        long lines = 0;
        for (Path file : policyFiles) {
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
