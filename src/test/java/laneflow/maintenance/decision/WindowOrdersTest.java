package laneflow.maintenance.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import laneflow.maintenance.decision.MaintenanceSimulation.Fault;
import laneflow.maintenance.decision.MaintenanceSimulation.Violation;
import laneflow.maintenance.decision.Windows.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Windows under every order of a few events, and in long random runs with all kinds of events. */
class WindowOrdersTest {
    private record Event(String name, Consumer<MaintenanceSimulation> action) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static final List<Event> EVENTS = List.of(
            new Event("coordinator decides", simulation -> simulation.decide(false)),
            new Event("former coordinator decides", simulation -> simulation.decide(true)),
            new Event("oldest operation arrives", simulation -> simulation.arrive(false, false)),
            new Event("newest operation arrives twice", simulation -> simulation.arrive(true, true)),
            new Event("coordinator replaced", MaintenanceSimulation::replaceCoordinator),
            new Event("s0 applies policy", simulation -> simulation.applyPolicy(0)),
            new Event("s1 cut off", simulation -> simulation.setCutOff(1, true)),
            new Event("s1 sends", simulation -> simulation.sendCalls(1)),
            new Event("crew acts", simulation -> simulation.crewActs("w0")),
            new Event("abort", simulation -> simulation.abort("w0")),
            new Event("r3 fails", simulation -> simulation.fail("r3", true)),
            new Event("minutes pass", simulation -> simulation.advance(4 * MaintenanceSimulation.MINUTE)));

    /** State in which the events begin. */
    private enum InitialState {
        ANNOUNCED(State.ANNOUNCED),
        DRAINING(State.DRAINING),
        DOWN(State.DOWN);

        private final State state;

        InitialState(State state) {
            this.state = state;
        }
    }

    private static MaintenanceSimulation simulationIn(InitialState initial, Fault fault) {
        MaintenanceSimulation simulation = new MaintenanceSimulation(fault);
        simulation.request("w0", "r0");
        simulation.request("w1", "r1");
        int rounds = 0;
        while (simulation.state("w0") != initial.state) {
            if (initial == InitialState.DRAINING && simulation.state("w0") == State.ANNOUNCED) {
                // Starts the drain before the bans are in force.
                simulation.decide(false);
                simulation.arrive(false, false);
                simulation.advance(MaintenanceSimulation.MINUTE);
            } else {
                simulation.runCalmly(1);
            }
            assertTrue(rounds++ < 200, "never " + initial + ": " + simulation.window("w0"));
        }
        return simulation;
    }

    private int executed;

    private void runAllOrders(InitialState initial, int depth, List<Event> before) {
        if (depth > 0) {
            for (Event event : EVENTS) {
                before.add(event);
                runAllOrders(initial, depth - 1, before);
                before.remove(before.size() - 1);
            }
            return;
        }
        MaintenanceSimulation simulation = simulationIn(initial, Fault.NONE);
        try {
            before.forEach(event -> event.action().accept(simulation));
            if (executed++ % 50 == 0) {
                simulation.heal();
            }
        } catch (AssertionError e) {
            throw new AssertionError(before.toString(), e);
        }
    }

    @ParameterizedTest
    @EnumSource(InitialState.class)
    void noOrderOfThreeEventsViolatesAnInvariant(InitialState initial) {
        runAllOrders(initial, 3, new ArrayList<>());
        assertEquals(1728, executed);
    }

    private record Totals(int done, int turnedBack, int overruns) {}

    private static Totals runRandomly(Fault fault, int runs, long seed) {
        int done = 0;
        int turnedBack = 0;
        int overruns = 0;
        SplittableRandom random = new SplittableRandom(seed);
        for (int run = 0; run < runs; run++) {
            MaintenanceSimulation simulation = new MaintenanceSimulation(fault);
            for (int i = 0; i < 4; i++) {
                simulation.request("w" + i, "r" + i);
            }
            for (int i = 0; i < 120; i++) {
                int scheduler = random.nextInt(2);
                String name = "w" + random.nextInt(4);
                switch (random.nextInt(28)) {
                    case 0, 1, 2, 3 -> simulation.decide(false);
                    case 4 -> simulation.decide(true);
                    case 5, 6, 7, 8 -> simulation.arrive(false, random.nextInt(8) == 0);
                    case 9 -> simulation.arrive(true, false);
                    case 10 -> simulation.drop();
                    case 11 -> simulation.replaceCoordinator();
                    case 12, 13 -> simulation.applyPolicy(scheduler);
                    case 14 -> simulation.setCutOff(scheduler, random.nextInt(3) > 0);
                    case 15, 16 -> simulation.sendCalls(scheduler);
                    case 17 -> simulation.crewActs(name);
                    case 18 -> simulation.endCalls(scheduler);
                    case 19 -> simulation.fail("r" + random.nextInt(4), random.nextInt(3) == 0);
                    case 20 -> simulation.demand(new double[] {18, 24, 30, 30, 38}[random.nextInt(5)]);
                    case 21 ->
                        simulation.advance(
                                MaintenanceSimulation.MINUTE * random.nextInt(random.nextInt(3) == 0 ? 50 : 9));
                    case 22 -> {
                        if (random.nextInt(12) == 0) {
                            simulation.abort(name);
                        } else {
                            simulation.crewActs(name);
                        }
                    }
                    case 23, 24 -> simulation.delay();
                    case 25 -> {
                        simulation.releaseDelayed(random.nextInt(5));
                        simulation.applyPolicy(scheduler);
                        simulation.sendCalls(scheduler);
                    }
                    default -> simulation.runCalmly(1 + random.nextInt(6));
                }
            }
            simulation.heal();
            done += simulation.done;
            turnedBack += simulation.turnedBack;
            overruns += simulation.overruns;
        }
        return new Totals(done, turnedBack, overruns);
    }

    @Test
    void randomRunsKeepAllInvariantsAndSettle() {
        Totals runs = runRandomly(Fault.NONE, 120, 7);
        assertTrue(runs.done() > 200 && runs.turnedBack() > 20 && runs.overruns() > 2, runs.toString());
    }

    @ParameterizedTest
    @EnumSource(
            value = Fault.class,
            names = {"NONE", "BANS_REVOKED"},
            mode = EnumSource.Mode.EXCLUDE)
    void everyInjectedFaultIsFound(Fault fault) {
        assertThrows(Violation.class, () -> runRandomly(fault, 400, 7));
    }

    private static void staleBansDuringWork(Fault fault) {
        MaintenanceSimulation simulation = simulationIn(InitialState.DOWN, fault);
        simulation.crewActs("w0");
        assertTrue(simulation.window("w0").begun());
        simulation.applyStaleBans();
        simulation.applyPolicy(1);
        simulation.sendCalls(1);
        simulation.heal();
    }

    /** The log refuses a policy change that would give a rack back while its crew is at work. */
    @Test
    void bansHoldUntilTheCrewHasFinished() {
        staleBansDuringWork(Fault.NONE);
        assertThrows(Violation.class, () -> staleBansDuringWork(Fault.BANS_REVOKED));
    }
}
