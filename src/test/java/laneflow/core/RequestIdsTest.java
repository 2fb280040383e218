package laneflow.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import laneflow.core.RequestIds.Admission;
import org.junit.jupiter.api.Test;

class RequestIdsTest {
    private static final long DEADLINE = 6_000_000;

    private final RequestIds ids = new RequestIds(3);

    private Admission take(String id, long now) {
        return ids.take(id, now, now + DEADLINE);
    }

    /** Guards against an id that runs again while its request is open, may still run, or has run lately. */
    @Test
    void anIdIsHeldUntilItsRetentionIsOver() {
        assertEquals(Admission.TAKEN, take("a", 0));
        assertEquals(Admission.OPEN, take("a", 1));
        ids.end("a", DEADLINE, 0);
        assertEquals(Admission.RAN, take("a", DEADLINE + RequestIds.RETENTION_MICROS - 1));
        assertEquals(Admission.TAKEN, take("a", DEADLINE + RequestIds.RETENTION_MICROS));
    }

    /** Guards against an id of a keyed class that runs again while endpoints would drop it by its key. */
    @Test
    void anIdIsHeldForTheWholeWindowOfItsKey() {
        take("a", 0);
        long window = 2 * RequestIds.RETENTION_MICROS;
        ids.end("a", DEADLINE, window);
        assertEquals(Admission.RAN, take("a", window - 1));
    }

    @Test
    void anIdThatNeverRanIsForgotten() {
        take("a", 0);
        ids.forget("a");
        assertEquals(Admission.TAKEN, take("a", 1));
        ids.end("a", DEADLINE, 0);
        ids.forget("a");
        assertEquals(Admission.RAN, take("a", 2));
    }

    /** Guards against ever new ids filling the memory, and against one being dropped that may still run. */
    @Test
    void whenFullWhatMayNotRunAnyMoreIsDroppedFirstAndElseNoneIsTaken() {
        take("a", 0);
        take("b", 0);
        take("c", 0);
        assertEquals(Admission.FULL, take("d", 1));
        ids.end("b", DEADLINE, 0);
        assertEquals(Admission.FULL, take("d", DEADLINE - 1));
        assertEquals(Admission.TAKEN, take("d", DEADLINE));
        assertEquals(Admission.FULL, take("b", DEADLINE));
        assertEquals(3, ids.size());
    }

    @Test
    void anIdOfTheOtherProcessIsHeldAndNotPassedBack() {
        List<String> told = new ArrayList<>();
        ids.onTaken((id, mayRunUntil) -> told.add(id));
        take("a", 0);
        ids.learn("b", 0, DEADLINE);
        assertEquals(Admission.RAN, take("b", 1));
        assertEquals(List.of("a"), told);
        List<String> held = new ArrayList<>();
        ids.forEach((id, mayRunUntil) -> held.add(id + "=" + mayRunUntil));
        held.sort(null);
        assertEquals(List.of("a=" + DEADLINE, "b=" + DEADLINE), held);
    }
}
