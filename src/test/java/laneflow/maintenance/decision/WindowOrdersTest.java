package laneflow.maintenance.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import laneflow.maintenance.decision.MaintenanceWorld.Broken;
import laneflow.maintenance.decision.MaintenanceWorld.Violation;
import laneflow.maintenance.decision.Windows.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Windows in every order of a few events, and in long random days with everything in them. */
class WindowOrdersTest {
    private record Event(String name, Consumer<MaintenanceWorld> act) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static final List<Event> EVENTS = List.of(
            new Event("look", world -> world.look(false)),
            new Event("the former looks", world -> world.look(true)),
            new Event("oldest arrives", world -> world.arrive(false, false)),
            new Event("newest arrives twice", world -> world.arrive(true, true)),
            new Event("elect", MaintenanceWorld::elect),
            new Event("s0 hears", world -> world.hear(0)),
            new Event("s1 cut", world -> world.cut(1, true)),
            new Event("s1 sends", world -> world.send(1)),
            new Event("crew", world -> world.crew("w0")),
            new Event("abort", world -> world.abort("w0")),
            new Event("r3 fails", world -> world.fail("r3", true)),
            new Event("minutes", world -> world.pass(4 * MaintenanceWorld.MINUTE)));

    /** From where the events begin. */
    private enum From {
        ANNOUNCED(State.ANNOUNCED),
        DRAINING(State.DRAINING),
        DOWN(State.DOWN);

        private final State state;

        From(State state) {
            this.state = state;
        }
    }

    private static MaintenanceWorld begun(From from, Broken broken) {
        MaintenanceWorld world = new MaintenanceWorld(broken);
        world.request("w0", "r0");
        world.request("w1", "r1");
        int rounds = 0;
        while (world.state("w0") != from.state) {
            if (from == From.DRAINING && world.state("w0") == State.ANNOUNCED) {
                // Bans are not in force yet when it has begun to drain.
                world.look(false);
                world.arrive(false, false);
                world.pass(MaintenanceWorld.MINUTE);
            } else {
                world.calm(1);
            }
            assertTrue(rounds++ < 200, "never " + from + ": " + world.window("w0"));
        }
        return world;
    }

    private int played;

    private void orders(From from, int depth, List<Event> before) {
        if (depth > 0) {
            for (Event event : EVENTS) {
                before.add(event);
                orders(from, depth - 1, before);
                before.remove(before.size() - 1);
            }
            return;
        }
        MaintenanceWorld world = begun(from, Broken.NOTHING);
        try {
            before.forEach(event -> event.act().accept(world));
            if (played++ % 50 == 0) {
                world.heal();
            }
        } catch (AssertionError e) {
            throw new AssertionError(before.toString(), e);
        }
    }

    @ParameterizedTest
    @EnumSource(From.class)
    void noOrderOfThreeEventsBreaksAPromise(From from) {
        orders(from, 3, new ArrayList<>());
        assertEquals(1728, played);
    }

    private record Days(int done, int turnedBack, int overruns) {}

    private static Days randomDays(Broken broken, int days, long seed) {
        int done = 0;
        int turnedBack = 0;
        int overruns = 0;
        SplittableRandom random = new SplittableRandom(seed);
        for (int day = 0; day < days; day++) {
            MaintenanceWorld world = new MaintenanceWorld(broken);
            for (int i = 0; i < 4; i++) {
                world.request("w" + i, "r" + i);
            }
            for (int i = 0; i < 120; i++) {
                int one = random.nextInt(2);
                String name = "w" + random.nextInt(4);
                switch (random.nextInt(28)) {
                    case 0, 1, 2, 3 -> world.look(false);
                    case 4 -> world.look(true);
                    case 5, 6, 7, 8 -> world.arrive(false, random.nextInt(8) == 0);
                    case 9 -> world.arrive(true, false);
                    case 10 -> world.lose();
                    case 11 -> world.elect();
                    case 12, 13 -> world.hear(one);
                    case 14 -> world.cut(one, random.nextInt(3) > 0);
                    case 15, 16 -> world.send(one);
                    case 17 -> world.crew(name);
                    case 18 -> world.end(one);
                    case 19 -> world.fail("r" + random.nextInt(4), random.nextInt(3) == 0);
                    case 20 -> world.demand(new double[] {18, 24, 30, 30, 38}[random.nextInt(5)]);
                    case 21 -> world.pass(MaintenanceWorld.MINUTE * random.nextInt(random.nextInt(3) == 0 ? 50 : 9));
                    case 22 -> {
                        if (random.nextInt(12) == 0) {
                            world.abort(name);
                        } else {
                            world.crew(name);
                        }
                    }
                    case 23, 24 -> world.hold();
                    case 25 -> {
                        world.release(random.nextInt(5));
                        world.hear(one);
                        world.send(one);
                    }
                    default -> world.calm(1 + random.nextInt(6));
                }
            }
            world.heal();
            done += world.done;
            turnedBack += world.turnedBack;
            overruns += world.overruns;
        }
        return new Days(done, turnedBack, overruns);
    }

    @Test
    void randomDaysKeepEveryPromiseAndEndSettled() {
        Days days = randomDays(Broken.NOTHING, 120, 7);
        assertTrue(days.done() > 200 && days.turnedBack() > 20 && days.overruns() > 2, days.toString());
    }

    @ParameterizedTest
    @EnumSource(
            value = Broken.class,
            names = {"NOTHING", "BANS_TAKEN_BACK"},
            mode = EnumSource.Mode.EXCLUDE)
    void whatIsDoneWrongOnPurposeIsFound(Broken broken) {
        assertThrows(Violation.class, () -> randomDays(broken, 400, 7));
    }

    private static void oldBansAmidWork(Broken broken) {
        MaintenanceWorld world = begun(From.DOWN, broken);
        world.crew("w0");
        assertTrue(world.window("w0").begun());
        world.oldBans();
        world.hear(1);
        world.send(1);
        world.heal();
    }

    /** A change of policy that would give a rack back under a crew's hands is turned down by the log. */
    @Test
    void bansHoldUntilTheCrewHasFinished() {
        oldBansAmidWork(Broken.NOTHING);
        assertThrows(Violation.class, () -> oldBansAmidWork(Broken.BANS_TAKEN_BACK));
    }
}
