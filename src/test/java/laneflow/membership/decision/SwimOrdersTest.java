package laneflow.membership.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import laneflow.lab.world.MemberWorld;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Every order of a few events on three members: however they come, those that hear each other agree in the end,
 * no incarnation falls, and nobody who was buried comes back in the same life.
 */
@Timeout(300)
class SwimOrdersTest {
    private static final long PERIOD = 250_000;
    private static final long SECOND = 1_000_000;
    /** Apart by less and by more than it takes to bury somebody. */
    private static final long[] GAPS = {PERIOD / 2, 9 * PERIOD};

    private interface Event {
        void on(MemberWorld world);
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

    private int played;
    private final List<String> broken = new ArrayList<>();

    private void play(List<Integer> order, long gap) {
        MemberWorld world = new MemberWorld(3, new Times(PERIOD), 17 + played);
        world.watch((by, before, now) -> {
            if (before != null
                    && before.instance().id() == now.instance().id()
                    && (now.incarnation() < before.incarnation()
                            || !before.state().isLive() && now.state().isLive())) {
                broken.add(order + ": " + before + " to " + now);
            }
        });
        for (int i = 0; i < 3; i++) {
            world.start(i, 0, 1);
        }
        world.pass(4 * SECOND);
        for (int event : order) {
            EVENTS.get(event).on(world);
            world.pass(gap);
        }
        world.resume(1);
        world.cut((from, to) -> false);
        world.network(0, 0, 200, 300);
        start(world, 2);
        long took = world.runUntil(world::isSettled, 30 * SECOND, PERIOD);
        assertTrue(took >= 0, order + " apart by " + gap + " does not settle");
        assertEquals(3, world.swim(0).size(), order + " apart by " + gap);
        played++;
    }

    private void all(List<Integer> before, int left, long gap) {
        if (left == 0) {
            play(before, gap);
            return;
        }
        for (int event = 0; event < EVENTS.size(); event++) {
            List<Integer> next = new ArrayList<>(before);
            next.add(event);
            all(next, left - 1, gap);
        }
    }

    @Test
    void howeverEventsComeThoseWhoHearEachOtherAgreeInTheEnd() {
        for (long gap : GAPS) {
            all(List.of(), 4, gap);
        }
        assertEquals(2 * 9 * 9 * 9 * 9, played);
        assertEquals(List.of(), broken);
    }
}
