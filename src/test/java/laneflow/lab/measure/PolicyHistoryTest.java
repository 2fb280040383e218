package laneflow.lab.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The checker reports every broken guarantee and reports nothing for a valid history. */
class PolicyHistoryTest {
    private final PolicyHistory history = new PolicyHistory();

    private void activation(String scheduler, long number, long previous, long lastDecidedMs, long activatedMs) {
        history.addLog(
                scheduler,
                "x INFO Policy - policy begins number=" + number + " before=" + previous
                        + " last_decided_ns=" + lastDecidedMs * 1_000_000 + " began_ns=" + activatedMs * 1_000_000
                        + " fence_us=1200 took_us=9\n");
    }

    private void validHistory() {
        activation("n1", 0, 0, 0, 1000);
        activation("n2", 0, 0, 0, 1001);
        activation("n1", 1, 0, 1999, 2001);
        activation("n2", 1, 0, 1998, 2005);
        history.addOutcome("a", 1, "applied");
        history.addOutcome("a", 1, "open");
        history.addOutcome("b", 2, "abandoned");
        history.addResponse(new PolicyHistory.Response("n1", 1_990_000_000L, 0));
        history.addResponse(new PolicyHistory.Response("n1", 2_990_000_000L, 1));
    }

    @Test
    void validHistoryHasNoViolations() {
        validHistory();
        assertEquals(List.of(), history.check());
        assertEquals(1200, history.longestFenceUs());
        assertEquals(2_005_000_000L, history.firstActivationNs("n2", 1));
        assertEquals(-1, history.firstActivationNs("n3", 1));
    }

    @Test
    void contradictoryOutcomesOfOneChangeAreReported() {
        validHistory();
        history.addOutcome("b", 2, "applied");
        assertTrue(history.check().get(0).startsWith("change b was reported as abandoned 2"));
        assertEquals(1, history.contradictions());
    }

    @Test
    void activationOfAPolicyThatWasNotAppliedIsReported() {
        validHistory();
        activation("n2", 2, 1, 2900, 3000);
        assertEquals(List.of("n2 activated policy 2, which was not applied"), history.check());
        assertEquals(1, history.notApplied());
    }

    @Test
    void decisionByTheOldPolicyAfterTheNewOneIsReported() {
        validHistory();
        activation("n3", 1, 0, 2050, 2100);
        assertEquals(1, history.check().size());
        assertEquals(1, history.overlaps());
    }

    @Test
    void responseUnderTheOldPolicyAfterTheNewOneIsReported() {
        validHistory();
        history.addResponse(new PolicyHistory.Response("n9", 2_010_000_000L, 0));
        assertEquals(
                List.of("n9 accepted a request under policy 0, 9000 us after the first activation of policy 1"),
                history.check());
    }
}
