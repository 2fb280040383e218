package laneflow.lab.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import laneflow.lab.standin.StandInReceiver.Call;
import org.junit.jupiter.api.Test;

/** {@link TaskHistory} reports every violation in a history of calls, and nothing else. */
class TaskHistoryTest {
    private static Call call(String holder, long token, long began, long ended) {
        return new Call("t", token, holder, true, true, began, ended, false);
    }

    @Test
    void aCorrectHistoryHasNoViolations() {
        TaskHistory history = new TaskHistory(List.of(
                call("a#1", 1, 0, 10),
                call("a#1", 1, 5, 12),
                call("b#1", 2, 12, 20),
                new Call("t", 1, "a#1", true, false, 14, 14, false)));
        assertEquals(List.of(), history.check());
        assertEquals(1, history.turnedDown());
        assertEquals(Set.of("t"), history.heldBy("a", 12));
        assertEquals(8, history.takenUp("t", Set.of("a"), 4));
        assertEquals(-1, history.takenUp("t", Set.of("a", "b"), 4));
    }

    @Test
    void twoAtOnceAndAStaleTokenAreFound() {
        TaskHistory history =
                new TaskHistory(List.of(call("a#1", 1, 0, 10), call("b#1", 2, 9, 20), call("a#1", 1, 30, 40)));
        assertEquals(2, history.check().size());
        assertEquals(1, history.twoAtOnce());
        assertEquals(1, history.staleAccepted());
    }

    @Test
    void twoProcessesOfOneNameAreTwoHolders() {
        TaskHistory history = new TaskHistory(List.of(call("a#1", 1, 0, 10), call("a#2", 2, 9, 20)));
        history.check();
        assertEquals(1, history.twoAtOnce());
    }

    @Test
    void workThatContinuesAfterItsCutOffIsCountedSeparately() {
        TaskHistory history = new TaskHistory(List.of(
                new Call("t", 1, "a#1", false, true, 0, 10, true), call("b#1", 2, 9, 20), call("c#1", 3, 15, 30)));
        assertEquals(1, history.check().size());
        assertEquals(1, history.pastCutOff());
        assertEquals(1, history.twoAtOnce());
        // A receiver that checks no tokens reads a call late, from a connection that was closed long before.
        TaskHistory late =
                new TaskHistory(List.of(call("b#1", 2, 0, 10), new Call("t", 1, "a#1", false, true, 20, 30, true)));
        assertEquals(List.of(), late.check());
        assertEquals(1, late.pastCutOff());
    }
}
