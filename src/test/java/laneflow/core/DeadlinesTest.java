package laneflow.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import laneflow.core.Deadlines.Deadline;
import org.junit.jupiter.api.Test;

/** Deadlines with an earliest instant run early if the loop wakes after it, and otherwise when they are due. */
class DeadlinesTest {
    private final Deadlines deadlines = new Deadlines();
    private final List<String> ran = new ArrayList<>();

    private Deadline deadline(String name) {
        return deadlines.create(() -> ran.add(name));
    }

    @Test
    void anEarlyRunnableDeadlineRunsOnceWhenTheLoopWakes() {
        Deadline early = deadline("early");
        deadlines.set(early, 80, 100);
        deadlines.at(90, () -> ran.add("plain"));
        deadlines.runEarly(79);
        assertEquals(List.of(), ran);
        deadlines.runEarly(80);
        assertEquals(List.of("early"), ran);
        assertFalse(early.isSet());
        deadlines.runEarly(85);
        deadlines.runDue(200);
        assertEquals(List.of("early", "plain"), ran);
    }

    @Test
    void aDeadlineRunsWhenDueAndNotEarlyOnceItIsMovedOrCancelled() {
        Deadline early = deadline("early");
        deadlines.set(early, 80, 100);
        assertEquals(100, deadlines.next());
        deadlines.runDue(100);
        deadlines.runEarly(101);
        assertEquals(List.of("early"), ran);
        // Set without an earliest instant it no longer runs early.
        deadlines.set(early, 110, 130);
        deadlines.set(early, 130);
        deadlines.runEarly(120);
        deadlines.set(early, 110, 130);
        deadlines.cancel(early);
        deadlines.runEarly(120);
        deadlines.runDue(200);
        assertEquals(List.of("early"), ran);
    }

    @Test
    void anActionMaySetItsOwnDeadlineAndCancelOthers() {
        Deadline other = deadline("other");
        Deadline[] own = new Deadline[1];
        own[0] = deadlines.create(() -> {
            ran.add("own");
            deadlines.cancel(other);
            deadlines.set(own[0], 0, 50);
        });
        deadlines.set(own[0], 10, 40);
        deadlines.set(other, 10, 40);
        deadlines.runEarly(20);
        assertEquals(List.of("own"), ran);
        deadlines.runEarly(20);
        assertEquals(List.of("own", "own"), ran);
    }
}
