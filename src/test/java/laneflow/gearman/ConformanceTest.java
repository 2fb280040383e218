package laneflow.gearman;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import laneflow.lab.measure.Conformance;
import laneflow.net.SchedulerHarness;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Runs the protocol cases against an in-process front; {@code lab conformance} runs them against another process. */
@Timeout(120)
class ConformanceTest {
    private static final String LOCAL =
            "listen = '127.0.0.1:0'\n" + Conformance.FUNCTIONS.replace("[gearman.functions", "[functions");

    @Test
    void frontPassesAllCases() throws Exception {
        try (SchedulerHarness harness = SchedulerHarness.withGearman(LOCAL)) {
            int port = harness.serve.gearman().address().getPort();
            Conformance.Result result = Conformance.play(port, "");
            assertEquals(List.of(), result.failures());
            assertTrue(result.played() > 60, result.played() + " cases");
            assertEquals(0, harness.counter("core.overdue"));
        }
    }

    /** Guards against a case runner that passes replies which differ from the expected ones. */
    @Test
    void runnerReportsADifferingReply() throws Exception {
        try (SchedulerHarness harness = SchedulerHarness.withGearman(LOCAL)) {
            int port = harness.serve.gearman().address().getPort();
            for (String[] lines : new String[][] {
                {"c> ECHO_REQ a", "c< ECHO_RES b"},
                {"c> ECHO_REQ a", "c< NO_JOB"},
                {"c> ECHO_REQ a", "c< ECHO_RES a|b"},
                {"c: version", "c= ERR*"},
                {"c: status", "c* none*"},
                {"c> GRAB_JOB", "c!"}
            }) {
                String wrong = Conformance.play(new Conformance.Case("wrong", List.of(lines)), port);
                assertTrue(wrong != null && wrong.startsWith("'" + lines[1] + "' "), wrong);
            }
            assertNull(
                    Conformance.play(new Conformance.Case("right", List.of("c> ECHO_REQ a", "c< ECHO_RES a")), port));
        }
    }
}
