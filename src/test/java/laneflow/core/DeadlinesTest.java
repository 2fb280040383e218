package laneflow.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import laneflow.core.Deadlines.Deadline;
import org.junit.jupiter.api.Test;

/** Deadlines that ride with whatever wakes their loop: once each, never too early, never after their time. */
class DeadlinesTest {
    private final Deadlines deadlines = new Deadlines();
    private final List<String> ran = new ArrayList<>();

    private Deadline one(String name) {
        return deadlines.create(() -> ran.add(name));
    }

    @Test
    void oneThatMayComeEarlyRunsOnceWithWhateverWakesTheLoop() {
        Deadline rider = one("rider");
        deadlines.set(rider, 80, 100);
        deadlines.at(90, () -> ran.add("plain"));
        deadlines.runEarly(79);
        assertEquals(List.of(), ran);
        deadlines.runEarly(80);
        assertEquals(List.of("rider"), ran);
        assertFalse(rider.isSet());
        deadlines.runEarly(85);
        deadlines.runDue(200);
        assertEquals(List.of("rider", "plain"), ran);
    }

    @Test
    void nobodyAwakeItRunsInTimeAndMovedOrCalledOffItDoesNotRide() {
        Deadline rider = one("rider");
        deadlines.set(rider, 80, 100);
        assertEquals(100, deadlines.next());
        deadlines.runDue(100);
        deadlines.runEarly(101);
        assertEquals(List.of("rider"), ran);
        // Set to one instant it rides no more.
        deadlines.set(rider, 110, 130);
        deadlines.set(rider, 130);
        deadlines.runEarly(120);
        deadlines.set(rider, 110, 130);
        deadlines.cancel(rider);
        deadlines.runEarly(120);
        deadlines.runDue(200);
        assertEquals(List.of("rider"), ran);
    }

    @Test
    void oneThatIsSetAnewByItsOwnActionOrCallsAnotherOffRunsOnceAPass() {
        Deadline other = one("other");
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
