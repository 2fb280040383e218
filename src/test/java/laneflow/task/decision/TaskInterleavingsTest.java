package laneflow.task.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import laneflow.task.decision.TaskSimulation.Mutation;
import laneflow.task.decision.TaskSimulation.Violation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Simulates leased tasks on three schedulers in every order of three events, and in long random runs. */
class TaskInterleavingsTest {
    private record Event(String name, Consumer<TaskSimulation> action) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static final List<Event> EVENTS = List.of(
            new Event("all act", simulation -> {
                for (int i = 0; i < 3; i++) {
                    simulation.act(i, TaskSimulation.ROTATING, TaskSimulation.MAX_ACTION, false);
                }
            }),
            new Event("check, then suspend", simulation -> {
                for (int i = 0; i < 3; i++) {
                    simulation.act(i, TaskSimulation.ROTATING, TaskSimulation.MAX_ACTION, true);
                }
            }),
            new Event("all resume", simulation -> {
                for (int i = 0; i < 3; i++) {
                    simulation.resume(i);
                }
            }),
            new Event("all renew", simulation -> {
                for (int i = 0; i < 3; i++) {
                    simulation.renew(i, 0);
                }
            }),
            new Event("three messages arrive", simulation -> {
                for (int i = 0; i < 3; i++) {
                    simulation.deliver(false);
                }
            }),
            new Event("newest message arrives", simulation -> simulation.deliver(true)),
            new Event("oldest message lost", TaskSimulation::dropOldest),
            new Event("elect, log kept", simulation -> simulation.elect(true)),
            new Event("elect, end of log lost", simulation -> simulation.elect(false)),
            new Event("commit and confirm", simulation -> {
                simulation.commit();
                simulation.confirm(0);
            }),
            new Event("a third of a lease passes", simulation -> simulation.advance(TaskSimulation.LEASE / 3)),
            new Event("a lease passes", simulation -> simulation.advance(TaskSimulation.LEASE + 50_000)),
            new Event("restart s0", simulation -> simulation.restart(0)));

    /** The state in which the events begin. */
    private enum StartState {
        HELD,
        GIVEN_UP,
        DRAINING,
        LEADERLESS
    }

    private static TaskSimulation simulation(StartState start) {
        TaskSimulation simulation = new TaskSimulation(Mutation.NOTHING, 3, 0);
        simulation.runRounds(8);
        simulation.act(0, TaskSimulation.ROTATING, TaskSimulation.MAX_ACTION, false);
        switch (start) {
            case GIVEN_UP -> simulation.giveUp(0, TaskSimulation.ROTATING);
            case DRAINING -> simulation.drain(0);
            case LEADERLESS -> {
                simulation.elect(false);
                simulation.confirm(0);
            }
            default -> {}
        }
        assertEquals(
                "s0#0",
                simulation.table.view().tasks().get(TaskSimulation.ROTATING).holder());
        assertEquals(1, simulation.begunActions);
        return simulation;
    }

    private int runs;

    private void runOrders(StartState start, int depth, List<Event> prefix) {
        if (depth == 0) {
            runs++;
            TaskSimulation simulation = simulation(start);
            try {
                prefix.forEach(event -> event.action.accept(simulation));
            } catch (Violation e) {
                throw new AssertionError(start + " " + prefix + ": " + e.getMessage(), e);
            }
            return;
        }
        for (Event event : EVENTS) {
            prefix.add(event);
            runOrders(start, depth - 1, prefix);
            prefix.remove(prefix.size() - 1);
        }
    }

    @ParameterizedTest
    @EnumSource(StartState.class)
    void noOrderOfThreeEventsViolatesAnInvariant(StartState start) {
        runOrders(start, 3, new ArrayList<>());
        assertEquals(2_197, runs);
    }

    /** Runs of random events, each followed by a recovery that checks holders, turns and load. */
    private static int[] randomRuns(Mutation mutation, int runs, int schedulers, int events, int placed) {
        int[] counts = new int[3];
        SplittableRandom random = new SplittableRandom(7);
        for (int run = 0; run < runs; run++) {
            TaskSimulation simulation = new TaskSimulation(mutation, schedulers, placed);
            simulation.runRounds(7);
            for (int i = 0; i < events; i++) {
                int node = random.nextInt(schedulers);
                String task =
                        random.nextInt(3) > 0 ? TaskSimulation.ROTATING : "t" + random.nextInt(Math.max(1, placed));
                switch (random.nextInt(27)) {
                    case 0 -> simulation.elect(random.nextBoolean());
                    case 1, 2 -> simulation.confirm(0);
                    case 3 -> simulation.confirm(1);
                    case 4, 5 -> simulation.renew(node, 0);
                    case 6 -> simulation.renew(node, 1);
                    case 7, 8, 9 -> simulation.deliver(false);
                    case 10 -> simulation.deliver(true);
                    case 11 -> simulation.deliverTwice();
                    case 12 -> simulation.dropOldest();
                    case 13 -> simulation.advance(TaskSimulation.LEASE / 4);
                    case 14, 15 -> {
                        for (int k = 0; k < schedulers; k++) {
                            simulation.act(k, task, 1 + random.nextLong(TaskSimulation.MAX_ACTION), false);
                        }
                    }
                    case 16 -> {
                        for (int k = 0; k < schedulers; k++) {
                            simulation.act(k, task, TaskSimulation.MAX_ACTION, true);
                        }
                    }
                    case 17 -> simulation.commit();
                    case 21 -> {
                        for (int k = 0; k < schedulers; k++) {
                            simulation.act(k, task, TaskSimulation.MAX_ACTION, false);
                        }
                        simulation.drain(node);
                        simulation.exchangeAll(-1);
                        for (int k = 0; k < schedulers; k++) {
                            simulation.act(k, task, TaskSimulation.MAX_ACTION, false);
                        }
                    }
                    case 25 -> simulation.suspendHolder(3);
                    case 22, 23, 24 -> {
                        simulation.exchangeAll(random.nextInt(schedulers + 1));
                        for (int k = 0; k < schedulers; k++) {
                            simulation.act(k, task, TaskSimulation.MAX_ACTION, false);
                        }
                    }
                    case 18 -> {
                        if (random.nextBoolean()) {
                            simulation.crash(node);
                        } else {
                            simulation.leave(node);
                        }
                    }
                    case 19 -> simulation.restart(node);
                    case 20 -> {
                        simulation.suspend(node);
                        simulation.giveUp(random.nextInt(schedulers), task);
                    }
                    default -> {
                        for (int k = 0; k < schedulers; k++) {
                            simulation.resume(k);
                        }
                    }
                }
                if (random.nextInt(6) == 0) {
                    simulation.runRounds(1 + random.nextInt(5));
                }
            }
            simulation.recoverAndCheck();
            counts[0] += simulation.begunActions;
            counts[1] += simulation.rejectedActions;
            counts[2] += simulation.reassignments;
        }
        return counts;
    }

    @Test
    void randomRunsKeepAllInvariantsAndSettle() {
        int[] counts = randomRuns(Mutation.NOTHING, 60, 3, 60, 4);
        assertTrue(
                counts[0] > 200 && counts[1] > 2 && counts[2] > 100,
                counts[0] + " actions, " + counts[1] + " rejected by their token, " + counts[2] + " reassignments");
    }

    /** A third of two hundred schedulers is killed at once: their tasks are reassigned to others, one each. */
    @Test
    void tasksOfAKilledThirdOfTwoHundredAreTakenOverEvenly() {
        TaskSimulation simulation = new TaskSimulation(Mutation.NOTHING, 200, 120);
        simulation.runRounds(8);
        int reassignmentsBefore = simulation.reassignments;
        for (int i = 0; i < 66; i++) {
            simulation.crash(i);
        }
        simulation.runRounds(10);
        java.util.Map<String, Integer> loads = new java.util.HashMap<>();
        for (TaskTable.Task task : simulation.table.view().tasks().values()) {
            int holder =
                    Integer.parseInt(task.holder().substring(1, task.holder().indexOf('#')));
            assertTrue(holder >= 66, task.name() + " is held by a killed scheduler");
            if (task.placed()) {
                assertEquals(
                        task.token(),
                        simulation.nodes.get(holder).taskHolder.holds().get(task.name()));
                loads.merge(task.holder(), 1, Integer::sum);
            }
        }
        assertEquals(120, loads.values().stream().mapToInt(load -> load).sum());
        assertTrue(loads.values().stream().allMatch(load -> load == 1), loads.toString());
        assertTrue(
                simulation.reassignments - reassignmentsBefore > 20
                        && simulation.reassignments - reassignmentsBefore < 66 + 3,
                simulation.reassignments - reassignmentsBefore + " reassignments");
    }

    /**
     * A lost grant does not prolong a lease: a process whose renewals arrive but that receives no grants loses its
     * tasks as soon as a dead one.
     */
    @Test
    void aProcessThatReceivesNoGrantsIsReplacedLikeADeadOne() {
        TaskSimulation simulation = new TaskSimulation(Mutation.NOTHING, 5, 20);
        simulation.runRounds(8);
        assertTrue(simulation.table.view().tasks().values().stream()
                .anyMatch(task -> task.holder().equals("s1#0")));
        simulation.nodes.get(1).grantsLost = true;
        simulation.runRounds(5);
        assertEquals(
                List.of(),
                simulation.table.view().tasks().values().stream()
                        .filter(task -> task.holder().equals("s1#0"))
                        .map(TaskTable.Task::name)
                        .toList());
    }

    /** The process is suspended between its lease check and its action: only the token can reject that action. */
    @Test
    void anActionResumedThreeLeasesAfterItsCheckIsRejectedByItsToken() {
        TaskSimulation simulation = new TaskSimulation(Mutation.NOTHING, 3, 0);
        simulation.runRounds(7);
        simulation.suspendHolder(3);
        assertEquals(1, simulation.rejectedActions);
        simulation.recoverAndCheck();
    }

    @ParameterizedTest
    @EnumSource(value = Mutation.class, names = "NOTHING", mode = EnumSource.Mode.EXCLUDE)
    void everyMutationIsDetected(Mutation mutation) {
        assertThrows(Violation.class, () -> randomRuns(mutation, 60, 3, 60, 4));
    }
}
