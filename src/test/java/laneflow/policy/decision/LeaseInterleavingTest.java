package laneflow.policy.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import laneflow.policy.decision.LeaseSimulation.Fault;
import laneflow.policy.decision.LeaseSimulation.Violation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Checks that no two policies are in force at once, in all sequences of a few events and in long random ones.
 */
class LeaseInterleavingTest {
    /** An event and its name in failure messages. */
    private record Event(String name, Consumer<LeaseSimulation> act) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static final List<Event> EVENTS = List.of(
            new Event("renew0", world -> world.renew(0, 0)),
            new Event("renew1", world -> world.renew(1, 0)),
            new Event("renew0 to the former leader", world -> world.renew(0, 1)),
            new Event("oldest message arrives", world -> world.deliver(false)),
            new Event("newest message arrives", world -> world.deliver(true)),
            new Event("oldest message lost", LeaseSimulation::dropOldest),
            new Event("election", LeaseSimulation::elect),
            new Event("confirm", world -> world.confirm(0)),
            new Event("confirm the former leader", world -> world.confirm(1)),
            new Event("third of a lease", world -> world.advance(LeaseSimulation.LEASE / 3)),
            new Event("crash1", world -> world.crash(1)),
            new Event("restart1", world -> world.restart(1)));

    /**
     * The state in which a sequence starts: a change that is open, applied, applied with a new leader, or
     * started with the next one open.
     */
    private enum StartState {
        OPEN,
        APPLIED,
        LEADERLESS,
        STARTED
    }

    private static LeaseSimulation simulation(Fault fault, StartState from) {
        LeaseSimulation world = new LeaseSimulation(fault, 2);
        world.startSettled();
        world.propose();
        world.confirm(0);
        if (from == StartState.OPEN) {
            return world;
        }
        // Both schedulers learn of it and make it ready; it is applied when both have reported so.
        for (int i = 0; i < 2; i++) {
            world.renew(0, 0);
            world.renew(1, 0);
            for (int k = 0; k < 4; k++) {
                world.deliver(false);
            }
        }
        assertEquals(1, world.ledger.view().inForce());
        if (from == StartState.LEADERLESS) {
            world.elect();
            world.confirm(0);
        } else if (from == StartState.STARTED) {
            world.runRounds(2);
            world.propose();
            world.confirm(0);
        }
        return world;
    }

    private int sequencesRun;

    private void runSequences(StartState from, int depth, List<Event> sequence) {
        if (depth == 0) {
            sequencesRun++;
            LeaseSimulation world = simulation(Fault.NONE, from);
            try {
                sequence.forEach(event -> event.act.accept(world));
            } catch (Violation e) {
                throw new AssertionError(from + " " + sequence + ": " + e.getMessage(), e);
            }
            return;
        }
        for (Event event : EVENTS) {
            sequence.add(event);
            runSequences(from, depth - 1, sequence);
            sequence.remove(sequence.size() - 1);
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = StartState.class,
            names = {"APPLIED", "LEADERLESS"})
    void noSequenceOfFiveEventsViolatesAnInvariant(StartState from) {
        runSequences(from, 5, new ArrayList<>());
        assertEquals(248_832, sequencesRun);
    }

    @ParameterizedTest
    @EnumSource(
            value = StartState.class,
            names = {"OPEN", "STARTED"})
    void noSequenceOfFourEventsViolatesAnInvariant(StartState from) {
        runSequences(from, 4, new ArrayList<>());
        assertEquals(20_736, sequencesRun);
    }

    /**
     * Long random sequences of all events with 3 schedulers and several changes; at the end all faults are
     * healed and every scheduler must decide by the newest policy. Returns the number of policies started.
     */
    private static int randomRuns(Fault fault, int runs) {
        int switches = 0;
        SplittableRandom random = new SplittableRandom(7);
        for (int run = 0; run < runs; run++) {
            LeaseSimulation world = new LeaseSimulation(fault, 3);
            world.startSettled();
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
                    case 15 -> world.dropOldest();
                    case 16 -> world.advance(LeaseSimulation.LEASE / 4);
                    case 17 -> world.propose();
                    case 18 -> {
                        if (random.nextBoolean()) {
                            world.crash(node);
                        } else {
                            world.stopGracefully(node);
                        }
                    }
                    default -> world.restart(node);
                }
                if (random.nextInt(6) == 0) {
                    world.runRounds(1);
                }
            }
            world.healAndCheck();
            switches += world.switches;
        }
        return switches;
    }

    @Test
    void randomRunsKeepAllInvariantsAndSettle() {
        int switches = randomRuns(Fault.NONE, 3000);
        assertTrue(switches > 3000, switches + " policies started");
    }

    @ParameterizedTest
    @EnumSource(value = Fault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void injectedFaultsAreFound(Fault fault) {
        assertThrows(Violation.class, () -> randomRuns(fault, 3000));
    }

    @Test
    void rejectionByOneSchedulerAbandonsTheChange() {
        LeaseSimulation world = new LeaseSimulation(Fault.NONE, 3);
        world.startSettled();
        world.nodes.get(2).refusedChange = 1;
        world.propose();
        world.runRounds(4);
        Change change = world.ledger.change("c1");
        assertEquals(Change.State.ABANDONED, change.state());
        assertEquals(List.of("s2#0: not allowed"), change.reasons());
        world.healAndCheck();
        assertEquals(0, world.nodes.get(0).lease.policyAt(world.nodes.get(0).clock()));
    }

    /** Messages per scheduler from a proposal until all schedulers decide by it. */
    private static double messagesPerScheduler(int schedulers) {
        LeaseSimulation world = new LeaseSimulation(Fault.NONE, schedulers);
        world.startSettled();
        world.propose();
        int before = world.delivered;
        while (world.nodes.stream().anyMatch(node -> node.lease.policyAt(node.clock()) != 1)) {
            world.confirm(0);
            for (int i = 0; i < schedulers; i++) {
                world.renew(i, 0);
            }
            for (int i = 0; i < 4 * schedulers; i++) {
                world.deliver(false);
            }
            world.advance(10_000);
        }
        return (world.delivered - before) / (double) schedulers;
    }

    @Test
    void messagesPerSchedulerDoNotGrowWithTheFleet() {
        double few = messagesPerScheduler(10);
        double many = messagesPerScheduler(200);
        assertTrue(many <= few + 1 && many < 20, few + " and " + many + " messages per scheduler");
    }

    @Test
    void unreachableSchedulerStopsDecidingAndBlocksNobody() {
        LeaseSimulation world = new LeaseSimulation(Fault.NONE, 3);
        world.startSettled();
        world.propose();
        long from = world.now;
        LeaseSimulation.Node unreachable = world.nodes.get(2);
        // It neither sends nor receives: it has only its lease.
        while (world.nodes.get(0).lease.policyAt(world.nodes.get(0).clock()) == 0) {
            world.confirm(0);
            world.renew(0, 0);
            world.renew(1, 0);
            for (int i = 0; i < 12; i++) {
                world.deliver(false);
            }
            world.advance(LeaseSimulation.LEASE / 32);
            assertTrue(world.now - from < 2 * LeaseSimulation.LEASE, "the unreachable scheduler blocks the change");
            if (unreachable.lease.policyAt(unreachable.clock()) >= 0) {
                assertEquals(0, world.nodes.get(0).lease.current());
            }
        }
        assertEquals(-1, unreachable.lease.policyAt(unreachable.clock()));
    }
}
