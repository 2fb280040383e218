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
 * Every order of a few events, up to a length, on the real core and module: no sampling. Each order is played from
 * the beginning, and at its end all time left is let pass. How many there were is asserted, so that a search which
 * finds nothing to play does not pass; and each rule's check is seen to speak where it is broken on purpose.
 */
class EventOrderTest {
    private static final String END = "end";
    private long orders;
    private boolean mayCancel = true;

    /** The shortest order of these events that breaks a rule, and which; null if there is none that long. */
    private String search(Fault broken, int longest, List<String> first, String... kinds) {
        Set<String> all = new LinkedHashSet<>(List.of(kinds));
        String found = null;
        for (int length = first.size() + 1; length <= longest && found == null; length++) {
            orders = 0;
            found = extend(broken, length, all, new ArrayList<>(first));
        }
        return found;
    }

    private String extend(Fault broken, int length, Set<String> kinds, List<String> order) {
        SchedulerPairModel world = new SchedulerPairModel(broken, mayCancel);
        try {
            order.forEach(world::play);
            if (order.size() == length) {
                orders++;
                world.play(END);
                world.play(END);
                return null;
            }
        } catch (Violation e) {
            return order + " breaks " + e.getMessage();
        } catch (RuntimeException e) {
            throw new AssertionError(order + " ends in a fault", e);
        }
        for (String event : world.possible(kinds)) {
            order.add(event);
            String found = extend(broken, length, kinds, order);
            order.remove(order.size() - 1);
            if (found != null) {
                return found;
            }
        }
        return null;
    }

    private void holds(int longest, long count, List<String> first, String... kinds) {
        assertNull(search(Fault.NOTHING, longest, first, kinds));
        assertEquals(count, orders, "orders of length " + longest);
    }

    private void speaks(String rule, Fault broken, int longest, String... kinds) {
        speaks(rule, broken, longest, List.of(), kinds);
    }

    private void speaks(String rule, Fault broken, int longest, List<String> first, String... kinds) {
        String found = search(broken, longest, first, kinds);
        assertNotNull(found, broken + " is not seen");
        assertEquals(rule, found.substring(found.indexOf(" breaks ") + 8, found.lastIndexOf(": ")), found);
    }

    @Test
    void callsMayEndInEveryWayAndOrder() {
        holds(7, 73_884, List.of("capture 0"), "safe", "up", "refused", "ok", "full", "reset", "silent");
    }

    @Test
    void wordsMayComeLateAndClientsLeaveAtAnyTime() {
        holds(8, 179_165, List.of("capture 0", "up 0"), "safe", "up", "started", "reset", "late", "leave", "tick", END);
    }

    @Test
    void drainsAndBansMayComeAtAnyTime() {
        holds(
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

    /** Orders around one request of each class, the settings allowing calls to be cancelled and not. */
    private void holdsAround(int longest, String counts, String... kinds) {
        StringBuilder found = new StringBuilder();
        for (boolean may : new boolean[] {true, false}) {
            mayCancel = may;
            for (String type : new String[] {"safe", "keyed", "capture"}) {
                assertNull(search(Fault.NOTHING, longest, List.of(type + " 0"), kinds), "cancel " + may);
                found.append(type).append(' ').append(orders).append(may ? ", " : "; ");
            }
        }
        assertEquals(counts, found.toString(), "orders of length " + longest);
    }

    /** Around every step of a call, a late connection and a held last byte among them. */
    @Test
    void clientsMayLeaveAroundEveryStep() {
        holdsAround(
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

    /** What is answered at its last call must not go out behind it, nor a key behind its window. */
    @Test
    void timeMayBeOverAroundEveryStep() {
        holdsAround(
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
    void drainsMayBeToldAroundEveryStep() {
        holdsAround(
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
    void schedulersMayStartEmptyAtAnyTime() {
        holds(
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
    void everyRulesCheckSpeaksWhereItIsBroken() {
        String[] ends = {"safe", "capture", "up", "refused", "ok", "full", "reset"};
        speaks("one answer", Fault.ANSWERS_TWICE, 4, ends);
        speaks("in time", Fault.ANSWER_LOST, 5, ends);
        speaks("at once", Fault.ANSWER_WAITS, 5, ends);
        // The shortest order ends before a second call begins: the job that ran is refused as one that did not.
        speaks("true answers", Fault.RUN_TOLD_AS_NEVER, 5, "capture", "up", "reset");
        speaks("no repeat", Fault.RUN_TOLD_AS_NEVER, 5, List.of("capture 0", "up 0", "reset 0", "up 1"), "up");
        speaks("true answers", Fault.REFUSAL_OF_A_RUN, 5, ends);
        speaks("armed", Fault.TIMERS_LOST, 4, ends);
        speaks("nothing left", Fault.CLOSE_NOT_HEARD, 4, "capture", "up", "leave", END);
        speaks("drains", Fault.GRACE_NOT_ASKED, 5, "capture", "up", "drain", "grace");
        speaks("bans", Fault.GRACE_NOT_ASKED, 5, "capture", "up", "down");
        mayCancel = false;
        speaks("gone", Fault.SENDS_REGARDLESS, 4, "safe", "leave", "up");
        mayCancel = true;
        speaks("drains", Fault.GRACE_NOT_ASKED, 5, "capture", "part", "drain", "grace");
        speaks("no repeat", Fault.GRACE_NOT_ASKED, 5, List.of("keyed 0", "up 0", "reset 0"), "grace", "up");
        speaks("cold budget", Fault.COLD_TENFOLD, 6, List.of("safe 0", "up 0", "report 0", "burst 0"), "up");
    }
}
