package laneflow.policy.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import laneflow.policy.decision.FenceWorld.Broken;
import laneflow.policy.decision.FenceWorld.Violation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Leases and the beginning of policies in every order of a few events, and in long random ones. */
class FenceOrdersTest {
    /** An event, and how it is written down. */
    private record Event(String name, Consumer<FenceWorld> act) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static final List<Event> EVENTS = List.of(
            new Event("renew0", world -> world.renew(0, 0)),
            new Event("renew1", world -> world.renew(1, 0)),
            new Event("renew0 to the former", world -> world.renew(0, 1)),
            new Event("oldest arrives", world -> world.deliver(false)),
            new Event("newest arrives", world -> world.deliver(true)),
            new Event("lost", FenceWorld::lose),
            new Event("elect", FenceWorld::elect),
            new Event("confirm", world -> world.confirm(0)),
            new Event("confirm the former", world -> world.confirm(1)),
            new Event("third of a lease", world -> world.pass(FenceWorld.LEASE / 3)),
            new Event("crash1", world -> world.crash(1)),
            new Event("restart1", world -> world.restart(1)));

    /** From where the events begin: a change about to be decided, decided, or left by its leader. */
    private enum From {
        OPEN,
        APPLIED,
        LEADERLESS,
        BEGUN
    }

    private static FenceWorld world(Broken broken, From from) {
        FenceWorld world = new FenceWorld(broken, 2);
        world.calmFromTheStart();
        world.propose();
        world.confirm(0);
        if (from == From.OPEN) {
            return world;
        }
        // Both hear of it and make it ready; the second word that they are ready decides it.
        for (int i = 0; i < 2; i++) {
            world.renew(0, 0);
            world.renew(1, 0);
            for (int k = 0; k < 4; k++) {
                world.deliver(false);
            }
        }
        assertEquals(1, world.ledger.view().inForce());
        if (from == From.LEADERLESS) {
            world.elect();
            world.confirm(0);
        } else if (from == From.BEGUN) {
            world.calm(2);
            world.propose();
            world.confirm(0);
        }
        return world;
    }

    private int played;

    private void orders(From from, int depth, List<Event> before) {
        if (depth == 0) {
            played++;
            FenceWorld world = world(Broken.NOTHING, from);
            try {
                before.forEach(event -> event.act.accept(world));
            } catch (Violation e) {
                throw new AssertionError(from + " " + before + ": " + e.getMessage(), e);
            }
            return;
        }
        for (Event event : EVENTS) {
            before.add(event);
            orders(from, depth - 1, before);
            before.remove(before.size() - 1);
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = From.class,
            names = {"APPLIED", "LEADERLESS"})
    void noOrderOfFiveEventsBreaksAPromise(From from) {
        orders(from, 5, new ArrayList<>());
        assertEquals(248_832, played);
    }

    @ParameterizedTest
    @EnumSource(
            value = From.class,
            names = {"OPEN", "BEGUN"})
    void noOrderOfFourEventsBreaksAPromise(From from) {
        orders(from, 4, new ArrayList<>());
        assertEquals(20_736, played);
    }

    /** Long orders with everything in them, 3 schedulers, several changes; then all heals and nothing is stuck. */
    private static int randomDays(Broken broken, int days) {
        int switches = 0;
        SplittableRandom random = new SplittableRandom(7);
        for (int day = 0; day < days; day++) {
            FenceWorld world = new FenceWorld(broken, 3);
            world.calmFromTheStart();
            for (int i = 0; i < 60; i++) {
                int node = random.nextInt(3);
                switch (random.nextInt(20)) {
                    case 0 -> world.elect();
                    case 1, 2, 3 -> world.confirm(0);
                    case 4 -> world.confirm(1);
                    case 5, 6, 7 -> world.renew(node, 0);
                    case 8 -> world.renew(node, 1);
                    case 9, 10, 11, 12 -> world.deliver(false);
                    case 13 -> world.deliver(true);
                    case 14 -> world.deliverTwice();
                    case 15 -> world.lose();
                    case 16 -> world.pass(FenceWorld.LEASE / 4);
                    case 17 -> world.propose();
                    case 18 -> {
                        if (random.nextBoolean()) {
                            world.crash(node);
                        } else {
                            world.leave(node);
                        }
                    }
                    default -> world.restart(node);
                }
                if (random.nextInt(6) == 0) {
                    world.calm(1);
                }
            }
            world.heal();
            switches += world.switches;
        }
        return switches;
    }

    @Test
    void randomDaysKeepEveryPromiseAndEndSettled() {
        int switches = randomDays(Broken.NOTHING, 3000);
        assertTrue(switches > 3000, switches + " policies begun");
    }

    @ParameterizedTest
    @EnumSource(value = Broken.class, names = "NOTHING", mode = EnumSource.Mode.EXCLUDE)
    void whatIsDoneWrongOnPurposeIsFound(Broken broken) {
        assertThrows(Violation.class, () -> randomDays(broken, 3000));
    }

    @Test
    void oneThatTurnsItDownAbandonsItForAll() {
        FenceWorld world = new FenceWorld(Broken.NOTHING, 3);
        world.calmFromTheStart();
        world.nodes.get(2).refuses = 1;
        world.propose();
        world.calm(4);
        Change change = world.ledger.change("c1");
        assertEquals(Change.State.ABANDONED, change.state());
        assertEquals(List.of("s2#0: it may not"), change.reasons());
        world.heal();
        assertEquals(0, world.nodes.get(0).lease.policyAt(world.nodes.get(0).clock()));
    }

    /** Messages for each scheduler from a proposal until all decide by it. */
    private static double messages(int schedulers) {
        FenceWorld world = new FenceWorld(Broken.NOTHING, schedulers);
        world.calmFromTheStart();
        world.propose();
        int before = world.arrived;
        while (world.nodes.stream().anyMatch(node -> node.lease.policyAt(node.clock()) != 1)) {
            world.confirm(0);
            for (int i = 0; i < schedulers; i++) {
                world.renew(i, 0);
            }
            for (int i = 0; i < 4 * schedulers; i++) {
                world.deliver(false);
            }
            world.pass(10_000);
        }
        return (world.arrived - before) / (double) schedulers;
    }

    @Test
    void whatAChangeCostsGrowsNoFasterThanTheFleet() {
        double few = messages(10);
        double many = messages(200);
        assertTrue(many <= few + 1 && many < 20, few + " and " + many + " messages a scheduler");
    }

    @Test
    void oneThatIsAwayDoesNotBlockAndDecidesNoMore() {
        FenceWorld world = new FenceWorld(Broken.NOTHING, 3);
        world.calmFromTheStart();
        world.propose();
        long from = world.now;
        FenceWorld.Node away = world.nodes.get(2);
        // It hears nothing and is not heard: its lease is all that it has.
        while (world.nodes.get(0).lease.policyAt(world.nodes.get(0).clock()) == 0) {
            world.confirm(0);
            world.renew(0, 0);
            world.renew(1, 0);
            for (int i = 0; i < 12; i++) {
                world.deliver(false);
            }
            world.pass(FenceWorld.LEASE / 32);
            assertTrue(world.now - from < 2 * FenceWorld.LEASE, "it blocks");
            if (away.lease.policyAt(away.clock()) >= 0) {
                assertEquals(0, world.nodes.get(0).lease.current());
            }
        }
        assertEquals(-1, away.lease.policyAt(away.clock()));
    }
}
