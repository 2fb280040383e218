package laneflow.ci;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import laneflow.ci.KnownRed.Entry;
import laneflow.ci.KnownRed.UnreadableException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The format of KNOWN-RED.txt: valid lines are parsed, and any other line is rejected. */
class KnownRedTest {
    private static final String VALID_LINE =
            "OneTest#first, mvn -B test -Dtest=OneTest#first, the clock jumps, issue 1";

    @Test
    void aLineHasTestCommandObservationAndIssue() throws Exception {
        assertEquals(
                List.of(
                        new Entry("OneTest#first", "mvn -B test -Dtest=OneTest#first", "the clock jumps", "issue 1"),
                        new Entry("TwoTest", "mvn -B test -Dtest=TwoTest", "slow disk", "#2"),
                        new Entry("measurement", "lab measure soak --seed 7", "two answers", "3")),
                KnownRed.parse(List.of(
                        "# may fail",
                        "",
                        VALID_LINE,
                        "  ",
                        " TwoTest ,mvn -B test -Dtest=TwoTest,slow disk,#2\r",
                        "measurement, lab measure soak --seed 7, two answers, 3")));
    }

    @Test
    void aMissingOrEmptyFileHasNoEntries(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("KNOWN-RED.txt");
        assertEquals(List.of(), KnownRed.read(file));
        Files.createFile(file);
        assertEquals(List.of(), KnownRed.read(file));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "OneTest#first",
                "OneTest#first, -Dtest=OneTest#first, the clock jumps",
                "OneTest#first, the clock jumps, issue 1",
                "OneTest#first, the clock jumps, late answer, issue 1",
                "OneTest#first, -Dtest=OneTest#second, the clock jumps, issue 1",
                "OneTest#first, -Dtest=OneTest#first,, issue 1",
                "OneTest#first, , the clock jumps, issue 1",
                "OneTest#first, -Dtest=OneTest#first, the clock jumps,",
                ", -Dtest=OneTest#first, the clock jumps, issue 1",
                "OneTest, -Dtest=OneTest, a, b, c",
                "One*, -Dtest=One*, a, b",
                "!OneTest, -Dtest=!OneTest, a, b",
                "%regex[.*], -Dtest=%regex[.*], a, b",
                "OneTest#, -Dtest=OneTest#, a, b",
                "OneTest#first#second, -Dtest=OneTest#first#second, a, b",
                "OneTest#first(), -Dtest=OneTest#first(), a, b",
                "OneTest first, -Dtest=OneTest first, a, b",
                "OneTest+TwoTest, -Dtest=OneTest+TwoTest, a, b",
                "-DskipTests, -Dtest=-DskipTests, a, b",
                "measurement, lab measure soak, two answers, 3",
                "measurement, lab measure soak --seed, two answers, 3",
                "measurement, lab measure soak --seed 7, two answers",
                "measurement, lab measure soak --seed 7,, 3"
            })
    void anInvalidLineIsRejected(String line) {
        assertThrows(UnreadableException.class, () -> KnownRed.parse(List.of(line)));
    }

    @Test
    void aMissingTestIsRejected() throws Exception {
        Path tests = Path.of("src", "test", "java");
        KnownRed.mustExist(KnownRed.parse(List.of(entry("KnownRedTest"))), tests);
        KnownRed.mustExist(KnownRed.parse(List.of(entry("KnownRedTest#aMissingTestIsRejected"))), tests);
        for (String name : List.of("KnownRedTests", "RedTest", "KnownRedTest#aMissingTest", "KnownRedTest#entry")) {
            List<Entry> entries = KnownRed.parse(List.of(entry(name)));
            assertThrows(UnreadableException.class, () -> KnownRed.mustExist(entries, tests), name);
        }
    }

    private static String entry(String test) {
        return test + ", mvn -B test -Dtest=" + test + ", seen, 1";
    }

    @Test
    void measurementsAreNoTests() throws Exception {
        List<Entry> entries = KnownRed.parse(List.of("measurement, lab measure soak --seed 7, two answers, 3"));
        KnownRed.mustExist(entries, Path.of("src", "test", "java"));
        assertEquals(List.of("**/*$*"), KnownRed.excludes(entries));
    }

    @Test
    void bytesThatAreNotTextAreRejected(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("KNOWN-RED.txt");
        Files.write(file, new byte[] {'a', (byte) 0xff, ',', 'b', ',', 'c'});
        assertThrows(UnreadableException.class, () -> KnownRed.read(file));
        assertThrows(UnreadableException.class, () -> KnownRed.read(folder));
    }

    @Test
    void nestedClassesStayExcluded() throws Exception {
        assertEquals(List.of("**/*$*", "OneTest#first"), KnownRed.excludes(KnownRed.parse(List.of(VALID_LINE))));
    }

    @Test
    void theRepositorysFileIsValid() throws Exception {
        KnownRed.mustExist(KnownRed.read(Path.of("KNOWN-RED.txt")), Path.of("src", "test", "java"));
    }
}
