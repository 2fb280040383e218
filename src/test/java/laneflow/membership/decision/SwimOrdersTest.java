package laneflow.membership.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import laneflow.lab.world.MemberWorld;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Runs every sequence of four events on three members in virtual time. After each the views must converge, no
 * incarnation may have decreased, and no dead instance may have come back.
 */
@Timeout(300)
class SwimOrdersTest {
    private static final long PERIOD = 250_000;
    private static final long SECOND = 1_000_000;
    /** Time between events: shorter and longer than it takes to declare a member dead. */
    private static final long[] GAPS = {PERIOD / 2, 9 * PERIOD};

    private interface Event {
        void applyTo(MemberWorld world);
    }

    private static void crash(MemberWorld world, int i) {
        world.crash(i);
    }

    private static void start(MemberWorld world, int i) {
        if (!world.isUp(i)) {
            world.start(i, 0, 1);
        }
    }

    private static final List<Event> EVENTS = List.of(
            world -> crash(world, 2),
            world -> start(world, 2),
            world -> {
                if (world.isRunning(1)) {
                    world.stall(1);
                }
            },
            world -> world.resume(1),
            world -> world.cut((from, to) -> from == 0 || to == 0),
            world -> world.cut((from, to) -> from == 0 && to == 2),
            world -> world.cut((from, to) -> false),
            world -> world.network(0.5, 0.2, 200, 50_000),
            world -> {
                if (world.isRunning(2)) {
                    world.leave(2);
                }
            });

    private int runs;
    private final List<String> violations = new ArrayList<>();

    private void runOrder(List<Integer> order, long gap) {
        MemberWorld world = new MemberWorld(3, new SwimTimings(PERIOD), 17 + runs);
        world.onChange((observer, before, now) -> {
            if (before != null
                    && before.instance().id() == now.instance().id()
                    && (now.incarnation() < before.incarnation()
                            || !before.state().isLive() && now.state().isLive())) {
                violations.add(order + ": " + before + " to " + now);
            }
        });
        for (int i = 0; i < 3; i++) {
            world.start(i, 0, 1);
        }
        world.runFor(4 * SECOND);
        for (int event : order) {
            EVENTS.get(event).applyTo(world);
            world.runFor(gap);
        }
        world.resume(1);
        world.cut((from, to) -> false);
        world.network(0, 0, 200, 300);
        start(world, 2);
        long settledAfter = world.runUntil(world::isSettled, 30 * SECOND, PERIOD);
        assertTrue(settledAfter >= 0, order + " with gaps of " + gap + " us does not settle");
        assertEquals(3, world.swim(0).size(), order + " with gaps in us of " + gap);
        runs++;
    }

    private void runAllOrders(List<Integer> prefix, int remaining, long gap) {
        if (remaining == 0) {
            runOrder(prefix, gap);
            return;
        }
        for (int event = 0; event < EVENTS.size(); event++) {
            List<Integer> next = new ArrayList<>(prefix);
            next.add(event);
            runAllOrders(next, remaining - 1, gap);
        }
    }

    @Test
    void viewsConvergeForEveryOrderOfEvents() {
        for (long gap : GAPS) {
            runAllOrders(List.of(), 4, gap);
        }
        assertEquals(2 * 9 * 9 * 9 * 9, runs);
        assertEquals(List.of(), violations);
    }
}
