package laneflow.lab.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import laneflow.lab.measure.FloodClient.Kind;
import laneflow.lab.measure.FloodScenario.Report;
import laneflow.lab.standin.TimedEndpoints.Behaviour;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Clients that misbehave beside usual ones, at a scheduler's process held to one core: alone on it, or beside three
 * busy processes, which leave it a quarter.
 */
@Timeout(120)
class FloodStoryTest {
    private static final int CORE = Runtime.getRuntime().availableProcessors() - 1;
    private static final long SEED = 7;
    private static final int SMALL_MEMORY_MB = 112;
    /** Longer than a request may stay unanswered. */
    private static final int FLOOD_MS = 7_000;

    @TempDir
    private Path folder;

    private Report play(Kind kind, int clients, int busyProcesses, String jobClass, Behaviour behaviour)
            throws Exception {
        try (FloodScenario scenario = new FloodScenario(folder, CORE, busyProcesses, jobClass, behaviour)) {
            scenario.startUsualClients(40);
            Thread.sleep(1_000);
            long from = System.nanoTime();
            FloodScenario.Flood flood = scenario.startFlood(kind, clients, SEED, FLOOD_MS);
            assertTrue(scenario.await(flood) > 0, "the flood sent nothing");
            scenario.stopUsualClients();
            assertTrue(scenario.isAlive(), scenario.log());
            assertTrue(scenario.peakMemoryMb() < FloodScenario.MEMORY_MB, "held " + scenario.peakMemoryMb() + " MB");
            assertTrue(scenario.peakDescriptors() < FloodScenario.SOCKETS, scenario.peakDescriptors() + " descriptors");
            return scenario.reportSince(from);
        }
    }

    /** Guards against one connection holding the loop while it sends at full speed, so that others go unanswered. */
    @ParameterizedTest
    @CsvSource({
        "UNSOUND, 0", "UNSOUND, 3", "NEW_CLASSES, 0", "NEW_CLASSES, 3", "NEW_NAMES, 0", "NEW_NAMES, 3",
        "GETS, 0", "GETS, 3", "MANY_FIELDS, 0", "MANY_FIELDS, 3", "RECONNECTS, 0", "RECONNECTS, 3"
    })
    void usualClientsAreAnsweredBesideAFlood(Kind kind, int busyProcesses) throws Exception {
        Report report = play(kind, 8, busyProcesses, "card-capture", Behaviour.serving(50));
        assertTrue(report.answered() > 0 && report.lost() == 0, FloodScenario.line(report));
    }

    /** Guards against hundreds of slow messages exhausting the memory, or the connections, of usual clients. */
    @ParameterizedTest
    @CsvSource({"HALF_BODY, 0", "HALF_BODY, 3", "UNENDED_HEAD, 0", "SLOW, 3"})
    void usualClientsAreAnsweredBesideHundredsOfSlowOnes(Kind kind, int busyProcesses) throws Exception {
        Report report = play(kind, 400, busyProcesses, "card-capture", Behaviour.serving(50));
        assertTrue(report.answered() > 0 && report.lost() == 0, FloodScenario.line(report));
    }

    /** Guards against bodies in tiny chunks that hold the loop, and all connections while they wait for it. */
    @ParameterizedTest
    @CsvSource({"0", "3"})
    void usualClientsAreAnsweredBesideTinyChunks(int busyProcesses) throws Exception {
        Report report = play(Kind.TINY_CHUNKS, 8, busyProcesses, "card-capture", Behaviour.serving(50));
        assertTrue(report.answered() > 0 && report.lost() == 0, FloodScenario.line(report));
    }

    /** Guards against attempts for a client whose end lies behind megabytes that are unread. */
    @ParameterizedTest
    @CsvSource({"0", "3"})
    void nothingBeginsForClientsThatSentMuchAndClosed(int busyProcesses) throws Exception {
        Report report = play(Kind.SENDS_AND_CLOSES, 16, busyProcesses, "card-capture", new Behaviour(50, 0.8, 0, 0));
        assertEquals(0, report.lateAttempts(), FloodScenario.line(report));
        assertEquals(0, report.lost(), FloodScenario.line(report));
    }

    /** Guards against attempts for clients that closed while the process had little of the processor. */
    @ParameterizedTest
    @CsvSource({"0", "3"})
    void nothingBeginsForClientsThatLeft(int busyProcesses) throws Exception {
        Report report = play(Kind.LEAVES, 20, busyProcesses, "card-capture", new Behaviour(50, 0.5, 0, 0));
        assertEquals(0, report.lateAttempts(), FloodScenario.line(report));
        assertEquals(0, report.lost(), FloodScenario.line(report));
    }

    /** Guards against an id running again when it comes back while, or after, its first client's request runs. */
    @ParameterizedTest
    @CsvSource({"card-capture, 0", "card-capture, 3", "points-post, 0"})
    void anIdThatComesAgainRunsOnce(String jobClass, int busyProcesses) throws Exception {
        Report report = play(Kind.REPEATS_ID, 8, busyProcesses, jobClass, Behaviour.serving(400));
        assertEquals(0, report.ranTwice(), FloodScenario.line(report));
    }

    /** Guards against a process that holds more than its configuration allows, where that is little. */
    @ParameterizedTest
    @CsvSource({"HALF_BODY", "UNENDED_HEAD"})
    void aSmallMemoryHoldsBesideHundredsOfSlowClients(Kind kind) throws Exception {
        try (FloodScenario scenario =
                new FloodScenario(folder, CORE, 0, "card-capture", Behaviour.serving(50), SMALL_MEMORY_MB)) {
            scenario.startUsualClients(40);
            long from = System.nanoTime();
            assertTrue(scenario.await(scenario.startFlood(kind, 420, SEED, FLOOD_MS)) > 0);
            scenario.stopUsualClients();
            double peakMb = scenario.peakMemoryMb();
            assertTrue(scenario.isAlive() && peakMb < SMALL_MEMORY_MB, "held " + peakMb + " MB");
            assertEquals(0, scenario.reportSince(from).lost());
        }
    }
}
