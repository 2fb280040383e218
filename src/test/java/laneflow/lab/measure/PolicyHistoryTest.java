package laneflow.lab.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The checker of fleets: it speaks where a promise is broken, and only there. */
class PolicyHistoryTest {
    private final PolicyHistory history = new PolicyHistory();

    private void begins(String who, long number, long before, long lastDecidedMs, long beganMs) {
        history.addLog(
                who,
                "x INFO Policy - policy begins number=" + number + " before=" + before
                        + " last_decided_ns=" + lastDecidedMs * 1_000_000 + " began_ns=" + beganMs * 1_000_000
                        + " fence_us=1200 took_us=9\n");
    }

    private void sound() {
        begins("n1", 0, 0, 0, 1000);
        begins("n2", 0, 0, 0, 1001);
        begins("n1", 1, 0, 1999, 2001);
        begins("n2", 1, 0, 1998, 2005);
        history.addOutcome("a", 1, "applied");
        history.addOutcome("a", 1, "open");
        history.addOutcome("b", 2, "abandoned");
        history.addAnswer(new PolicyHistory.Answer("n1", 1_990_000_000L, 0));
        history.addAnswer(new PolicyHistory.Answer("n1", 2_990_000_000L, 1));
    }

    @Test
    void aSoundHistoryIsSound() {
        sound();
        assertEquals(List.of(), history.check());
        assertEquals(1200, history.fenceMostUs());
        assertEquals(2_005_000_000L, history.began("n2", 1));
        assertEquals(-1, history.began("n3", 1));
    }

    @Test
    void twoOutcomesOfOneChangeAreFound() {
        sound();
        history.addOutcome("b", 2, "applied");
        assertTrue(history.check().get(0).startsWith("change b was told as abandoned 2"));
        assertEquals(1, history.split());
    }

    @Test
    void aPolicyThatWasNotAppliedIsFound() {
        sound();
        begins("n2", 2, 1, 2900, 3000);
        assertEquals(List.of("n2 began with 2, which was not applied"), history.check());
        assertEquals(1, history.undecided());
    }

    @Test
    void aDecisionByTheOldBehindTheNewIsFound() {
        sound();
        begins("n3", 1, 0, 2050, 2100);
        assertEquals(1, history.check().size());
        assertEquals(1, history.overlaps());
    }

    @Test
    void anAnswerByTheOldBehindTheNewIsFound() {
        sound();
        history.addAnswer(new PolicyHistory.Answer("n9", 2_010_000_000L, 0));
        assertEquals(List.of("n9 took a request by 0 9000 us behind the first beginning of 1"), history.check());
    }
}
