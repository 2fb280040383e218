package laneflow.maintenance.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.util.List;
import java.util.Set;
import laneflow.maintenance.decision.Windows.State;
import org.junit.jupiter.api.Test;

/** The state machine of windows: which operations it accepts, which it refuses and with which message. */
class WindowsTest {
    private static final Request REQUEST =
            new Request("w", "ops", List.of("r0"), 1000, 0, 9000, 100, 500, Set.of(), List.of());
    private final Windows windows = new Windows();

    private JsonObject step(long token, State to) {
        return windows.apply(
                Windows.step(token, windows.window("w"), to, windows.awayChanges(), 1000, State.DONE, List.of(), 2000),
                rack -> true);
    }

    private void advanceTo(State... states) {
        windows.apply(Windows.request(REQUEST), rack -> true);
        for (State state : states) {
            assertFalse(step(1, state).has("error"), state.toString());
        }
    }

    private JsonObject run(JsonObject op) {
        return windows.apply(op, rack -> true);
    }

    private static String error(JsonObject answer) {
        return answer.get("error").getAsString();
    }

    @Test
    void aRepeatedRequestIsOneWindowAndADifferentOneNeedsAnotherName() {
        advanceTo();
        assertEquals("requested", run(Windows.request(REQUEST)).get("state").getAsString());
        Request other = new Request("w", "ops", List.of("r1"), 1000, 0, 9000, 100, 500, Set.of(), List.of());
        assertEquals("the name 'w' is that of another request", error(run(Windows.request(other))));
        assertEquals("there is no window 'x'", error(run(Windows.begin("x"))));
    }

    @Test
    void workCannotBeginWithoutLeave() {
        advanceTo(State.PLANNED, State.ANNOUNCED, State.DRAINING);
        assertEquals("no leave: w is draining", error(run(Windows.begin("w"))));
        JsonObject down = Windows.step(1, windows.window("w"), State.DOWN, 0, 0, State.DONE, List.of(), 2000);
        assertEquals("w: the policy in force does not ban all of its racks", error(windows.apply(down, rack -> false)));
        assertEquals(List.of("r0"), windows.missingBans(Set.of("r1")));
        step(1, State.DOWN);
        assertFalse(run(Windows.begin("w")).has("error"));
        assertFalse(run(Windows.begin("w")).has("error"));
    }

    @Test
    void supersededAndRepeatedStepsChangeNothing() {
        advanceTo(State.PLANNED);
        JsonObject old = Windows.step(1, windows.window("w"), State.ANNOUNCED, 0, 0, State.DONE, List.of(), 0);
        assertFalse(step(2, State.ANNOUNCED).has("error"));
        assertEquals("token 1 is superseded: 2 has been seen", error(run(old)));
        old.addProperty("token", 2);
        assertEquals("w has taken 3 steps, and is announced", error(run(old)));
        assertEquals("w is announced and can't become done", error(step(2, State.DONE)));
    }

    @Test
    void aWindowWithACrewAtWorkCannotReturn() {
        advanceTo(State.PLANNED, State.ANNOUNCED, State.DRAINING, State.DOWN);
        run(Windows.begin("w"));
        assertTrue(error(step(1, State.RETURNING)).contains("its crew is at work"));
        assertEquals("w is past its abort point: it has to be finished", error(run(Windows.abort("w", 2501))));
        assertFalse(run(Windows.abort("w", 2400)).has("error"));
        assertEquals(State.DOWN, windows.window("w").state());
        run(Windows.finish("w"));
        assertEquals(State.RETURNING, windows.window("w").state());
        assertEquals("w returns as aborted", error(step(1, State.DONE)));
        assertFalse(step(1, State.ABORTED).has("error"));
    }

    @Test
    void aSnapshotIsComplete() {
        advanceTo(State.PLANNED, State.ANNOUNCED, State.DRAINING, State.DOWN);
        run(Windows.begin("w"));
        Windows other = new Windows();
        other.restore(windows.snapshot());
        assertEquals(windows.all(), other.all());
        assertEquals(windows.snapshot(), other.snapshot());
        assertEquals(1, other.token());
        assertEquals(1, other.awayChanges());
    }
}
