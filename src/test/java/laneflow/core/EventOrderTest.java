package laneflow.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import laneflow.core.SchedulerPairModel.Fault;
import laneflow.core.SchedulerPairModel.Violation;
import org.junit.jupiter.api.Test;

/**
 * Exhaustive search: applies every order of a few events, up to a length, to the real core and decision module. Each
 * order starts from the initial state and ends after all deadlines have passed. The number of orders is asserted, so
 * that a search without events fails, and each invariant's check is shown to detect an injected fault.
 */
class EventOrderTest {
    private static final String END = "end";
    /** Orders of the current length that were applied. */
    private long orders;

    private boolean mayCancel = true;

    /** The shortest order that breaks an invariant, with that invariant; null if none up to the length does. */
    private String search(Fault fault, int maxLength, List<String> first, String... kinds) {
        Set<String> allKinds = new LinkedHashSet<>(List.of(kinds));
        String violation = null;
        for (int length = first.size() + 1; length <= maxLength && violation == null; length++) {
            orders = 0;
            violation = extend(fault, length, allKinds, new ArrayList<>(first));
        }
        return violation;
    }

    private String extend(Fault fault, int length, Set<String> kinds, List<String> order) {
        SchedulerPairModel model = new SchedulerPairModel(fault, mayCancel);
        try {
            order.forEach(model::apply);
            if (order.size() == length) {
                orders++;
                model.apply(END);
                model.apply(END);
                return null;
            }
        } catch (Violation e) {
            return order + " breaks " + e.getMessage();
        } catch (RuntimeException e) {
            throw new AssertionError(order + " ends in an exception", e);
        }
        for (String event : model.possibleEvents(kinds)) {
            order.add(event);
            String violation = extend(fault, length, kinds, order);
            order.remove(order.size() - 1);
            if (violation != null) {
                return violation;
            }
        }
        return null;
    }

    private void assertHolds(int maxLength, long count, List<String> first, String... kinds) {
        assertNull(search(Fault.NONE, maxLength, first, kinds));
        assertEquals(count, orders, "orders of length " + maxLength);
    }

    private void assertDetected(String rule, Fault fault, int maxLength, String... kinds) {
        assertDetected(rule, fault, maxLength, List.of(), kinds);
    }

    private void assertDetected(String rule, Fault fault, int maxLength, List<String> first, String... kinds) {
        String violation = search(fault, maxLength, first, kinds);
        assertNotNull(violation, fault + " is not detected");
        assertEquals(
                rule, violation.substring(violation.indexOf(" breaks ") + 8, violation.lastIndexOf(": ")), violation);
    }

    @Test
    void attemptsMayEndInAnyWayAndOrder() {
        assertHolds(7, 73_884, List.of("capture 0"), "safe", "up", "refused", "ok", "full", "reset", "silent");
    }

    @Test
    void resultsMayComeLateAndClientsLeaveAtAnyTime() {
        assertHolds(
                8,
                179_165,
                List.of("capture 0", "up 0"),
                "safe",
                "up",
                "started",
                "reset",
                "late",
                "leave",
                "tick",
                END);
    }

    @Test
    void drainsAndSetDownsMayComeAtAnyTime() {
        assertHolds(
                7,
                217_372,
                List.of("capture 0"),
                "up",
                "refused",
                "reset",
                "drain",
                "gone",
                "back",
                "down",
                "again",
                "grace");
    }

    /** Searches with one request of each class, where running attempts may and may not be cancelled. */
    private void assertHoldsForEachClass(int maxLength, String counts, String... kinds) {
        StringBuilder actualCounts = new StringBuilder();
        for (boolean cancelAllowed : new boolean[] {true, false}) {
            mayCancel = cancelAllowed;
            for (String type : new String[] {"safe", "keyed", "capture"}) {
                assertNull(search(Fault.NONE, maxLength, List.of(type + " 0"), kinds), "cancel " + cancelAllowed);
                actualCounts.append(type).append(' ').append(orders).append(cancelAllowed ? ", " : "; ");
            }
        }
        assertEquals(counts, actualCounts.toString(), "orders of length " + maxLength);
    }

    /** The events include a connection that opens late and a request whose last byte is held back. */
    @Test
    void clientsMayLeaveAtEveryStep() {
        assertHoldsForEachClass(
                9,
                "safe 17110, keyed 17110, capture 3522, safe 19024; keyed 19024; capture 4104; ",
                "part",
                "up",
                "refused",
                "full",
                "ok",
                "reset",
                "silent",
                "leave",
                "late");
    }

    /** Nothing may be sent after the answer, nor a keyed repeat after the key's window. */
    @Test
    void deadlinesMayPassAtEveryStep() {
        assertHoldsForEachClass(
                9,
                "safe 34656, keyed 29750, capture 26993, safe 38560; keyed 33326; capture 30213; ",
                "part",
                "up",
                "ok",
                "reset",
                "leave",
                "grace",
                "last",
                END);
    }

    @Test
    void drainsMayBeListedAtEveryStep() {
        assertHoldsForEachClass(
                6,
                "safe 19567, keyed 19420, capture 18715, safe 19817; keyed 19670; capture 18964; ",
                "part",
                "up",
                "reset",
                "leave",
                "drain",
                "gone",
                "back",
                "down",
                "grace");
    }

    @Test
    void schedulersMayRestartAtAnyTime() {
        assertHolds(
                8,
                132_266,
                List.of("safe 0", "up 0", "report 0", "burst 0"),
                "restart",
                "up",
                "report",
                "grace",
                "burst");
    }

    @Test
    void everyInvariantDetectsItsFault() {
        String[] ends = {"safe", "capture", "up", "refused", "ok", "full", "reset"};
        assertDetected("one answer", Fault.DUPLICATE_ANSWER, 4, ends);
        assertDetected("answered in time", Fault.ANSWER_LOST, 5, ends);
        assertDetected("answered at once", Fault.ANSWER_DELAYED, 5, ends);
        // The shortest order ends before a second attempt is sent: a job that may have run is refused.
        assertDetected("truthful answer", Fault.RUN_REPORTED_AS_UNSENT, 5, "capture", "up", "reset");
        assertDetected(
                "no repeat", Fault.RUN_REPORTED_AS_UNSENT, 5, List.of("capture 0", "up 0", "reset 0", "up 1"), "up");
        assertDetected("truthful answer", Fault.FAILURE_REPORTED_AS_REFUSAL, 5, ends);
        assertDetected("deadline set", Fault.TIMERS_LOST, 4, ends);
        assertDetected("no open attempt left", Fault.CLOSE_IGNORED, 4, "capture", "up", "leave", END);
        assertDetected("drains", Fault.SEND_CHECK_SKIPPED, 5, "capture", "up", "drain", "grace");
        assertDetected("bans", Fault.SEND_CHECK_SKIPPED, 5, "capture", "up", "down");
        mayCancel = false;
        assertDetected("client left", Fault.ALWAYS_SENDS, 4, "safe", "leave", "up");
        mayCancel = true;
        assertDetected("drains", Fault.SEND_CHECK_SKIPPED, 5, "capture", "part", "drain", "grace");
        assertDetected("no repeat", Fault.SEND_CHECK_SKIPPED, 5, List.of("keyed 0", "up 0", "reset 0"), "grace", "up");
        assertDetected("cold budget", Fault.COLD_TENFOLD, 6, List.of("safe 0", "up 0", "report 0", "burst 0"), "up");
    }
}
