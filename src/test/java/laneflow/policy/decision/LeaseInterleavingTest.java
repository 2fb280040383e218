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
    private record Event(String name, Consumer<LeaseSimulation> action) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static final List<Event> EVENTS = List.of(
            new Event("renew0", simulation -> simulation.renew(0, 0)),
            new Event("renew1", simulation -> simulation.renew(1, 0)),
            new Event("renew0 to the former leader", simulation -> simulation.renew(0, 1)),
            new Event("oldest message arrives", simulation -> simulation.deliver(false)),
            new Event("newest message arrives", simulation -> simulation.deliver(true)),
            new Event("oldest message lost", LeaseSimulation::dropOldest),
            new Event("election", LeaseSimulation::elect),
            new Event("confirm", simulation -> simulation.confirm(0)),
            new Event("confirm the former leader", simulation -> simulation.confirm(1)),
            new Event("third of a lease", simulation -> simulation.advance(LeaseSimulation.LEASE / 3)),
            new Event("crash1", simulation -> simulation.crash(1)),
            new Event("restart1", simulation -> simulation.restart(1)));

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

    private static LeaseSimulation simulation(Fault fault, StartState start) {
        LeaseSimulation simulation = new LeaseSimulation(fault, 2);
        simulation.startSettled();
        simulation.propose();
        simulation.confirm(0);
        if (start == StartState.OPEN) {
            return simulation;
        }
        // Both schedulers receive the change and prepare it; it is applied once both have reported it ready.
        for (int i = 0; i < 2; i++) {
            simulation.renew(0, 0);
            simulation.renew(1, 0);
            for (int k = 0; k < 4; k++) {
                simulation.deliver(false);
            }
        }
        assertEquals(1, simulation.ledger.view().inForce());
        if (start == StartState.LEADERLESS) {
            simulation.elect();
            simulation.confirm(0);
        } else if (start == StartState.STARTED) {
            simulation.runRounds(2);
            simulation.propose();
            simulation.confirm(0);
        }
        return simulation;
    }

    private int sequencesRun;

    private void runSequences(StartState start, int depth, List<Event> sequence) {
        if (depth == 0) {
            sequencesRun++;
            LeaseSimulation simulation = simulation(Fault.NONE, start);
            try {
                sequence.forEach(event -> event.action.accept(simulation));
            } catch (Violation e) {
                throw new AssertionError(start + " " + sequence + ": " + e.getMessage(), e);
            }
            return;
        }
        for (Event event : EVENTS) {
            sequence.add(event);
            runSequences(start, depth - 1, sequence);
            sequence.remove(sequence.size() - 1);
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = StartState.class,
            names = {"APPLIED", "LEADERLESS"})
    void noSequenceOfFiveEventsViolatesAnInvariant(StartState start) {
        runSequences(start, 5, new ArrayList<>());
        assertEquals(248_832, sequencesRun);
    }

    @ParameterizedTest
    @EnumSource(
            value = StartState.class,
            names = {"OPEN", "STARTED"})
    void noSequenceOfFourEventsViolatesAnInvariant(StartState start) {
        runSequences(start, 4, new ArrayList<>());
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
            LeaseSimulation simulation = new LeaseSimulation(fault, 3);
            simulation.startSettled();
            for (int i = 0; i < 60; i++) {
                int node = random.nextInt(3);
                switch (random.nextInt(20)) {
                    case 0 -> simulation.elect();
                    case 1, 2, 3 -> simulation.confirm(0);
                    case 4 -> simulation.confirm(1);
                    case 5, 6, 7 -> simulation.renew(node, 0);
                    case 8 -> simulation.renew(node, 1);
                    case 9, 10, 11, 12 -> simulation.deliver(false);
                    case 13 -> simulation.deliver(true);
                    case 14 -> simulation.deliverTwice();
                    case 15 -> simulation.dropOldest();
                    case 16 -> simulation.advance(LeaseSimulation.LEASE / 4);
                    case 17 -> simulation.propose();
                    case 18 -> {
                        if (random.nextBoolean()) {
                            simulation.crash(node);
                        } else {
                            simulation.stopGracefully(node);
                        }
                    }
                    default -> simulation.restart(node);
                }
                if (random.nextInt(6) == 0) {
                    simulation.runRounds(1);
                }
            }
            simulation.healAndCheck();
            switches += simulation.switches;
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
        LeaseSimulation simulation = new LeaseSimulation(Fault.NONE, 3);
        simulation.startSettled();
        simulation.nodes.get(2).refusedChange = 1;
        simulation.propose();
        simulation.runRounds(4);
        Change change = simulation.ledger.change("c1");
        assertEquals(Change.State.ABANDONED, change.state());
        assertEquals(List.of("s2#0: not allowed"), change.reasons());
        simulation.healAndCheck();
        assertEquals(
                0,
                simulation.nodes.get(0).lease.policyAt(simulation.nodes.get(0).clock()));
    }

    /** Messages per scheduler from a proposal until all schedulers decide by it. */
    private static double messagesPerScheduler(int schedulers) {
        LeaseSimulation simulation = new LeaseSimulation(Fault.NONE, schedulers);
        simulation.startSettled();
        simulation.propose();
        int before = simulation.delivered;
        while (simulation.nodes.stream().anyMatch(node -> node.lease.policyAt(node.clock()) != 1)) {
            simulation.confirm(0);
            for (int i = 0; i < schedulers; i++) {
                simulation.renew(i, 0);
            }
            for (int i = 0; i < 4 * schedulers; i++) {
                simulation.deliver(false);
            }
            simulation.advance(10_000);
        }
        return (simulation.delivered - before) / (double) schedulers;
    }

    @Test
    void messagesPerSchedulerDoNotGrowWithTheFleet() {
        double small = messagesPerScheduler(10);
        double large = messagesPerScheduler(200);
        assertTrue(large <= small + 1 && large < 20, small + " and " + large + " messages per scheduler");
    }

    @Test
    void unreachableSchedulerStopsDecidingAndBlocksNobody() {
        LeaseSimulation simulation = new LeaseSimulation(Fault.NONE, 3);
        simulation.startSettled();
        simulation.propose();
        long startedAt = simulation.now;
        LeaseSimulation.Node unreachable = simulation.nodes.get(2);
        // It neither sends nor receives and decides only until its lease expires.
        while (simulation.nodes.get(0).lease.policyAt(simulation.nodes.get(0).clock()) == 0) {
            simulation.confirm(0);
            simulation.renew(0, 0);
            simulation.renew(1, 0);
            for (int i = 0; i < 12; i++) {
                simulation.deliver(false);
            }
            simulation.advance(LeaseSimulation.LEASE / 32);
            assertTrue(
                    simulation.now - startedAt < 2 * LeaseSimulation.LEASE,
                    "the unreachable scheduler blocks the change");
            if (unreachable.lease.policyAt(unreachable.clock()) >= 0) {
                assertEquals(0, simulation.nodes.get(0).lease.current());
            }
        }
        assertEquals(-1, unreachable.lease.policyAt(unreachable.clock()));
    }
}
