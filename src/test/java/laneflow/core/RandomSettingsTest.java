package laneflow.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import laneflow.core.FleetSimulation.Fault;
import laneflow.core.SchedulerPairModel.Violation;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomGenerator;

/** Short simulations under random settings: a fault may show only under some deployments' settings. */
class RandomSettingsTest {
    private static final double SECONDS = 12;
    /** Lowest served share of a class or tenant when there is capacity for all requests. */
    private static final double MIN_SERVED = 0.2;

    @Provide
    Arbitrary<RandomSettings> settings() {
        return RandomSettings.any();
    }

    /** With crashes, drains, hangs, errors, scheduler restarts and leaving clients. */
    @Property(tries = 100, seed = "7", edgeCases = EdgeCasesMode.NONE)
    void invariantsHoldUnderFaults(@ForAll("settings") RandomSettings settings) {
        new FleetSimulation(settings, Fault.NONE, true).play(SECONDS);
    }

    /** Within capacity, each class and tenant is served, and nothing is refused while the fleet is idle. */
    @Property(tries = 100, seed = "7", edgeCases = EdgeCasesMode.NONE)
    void everyClassAndTenantIsServedWithoutFaults(@ForAll("settings") RandomSettings settings) {
        FleetSimulation simulation = new FleetSimulation(settings, Fault.NONE, false).play(SECONDS);
        assertTrue(simulation.minServedShare() >= MIN_SERVED, "a class has " + simulation.minServedShare());
        assertTrue(
                simulation.minServedTenantShare() >= MIN_SERVED, "a tenant has " + simulation.minServedTenantShare());
    }

    private static RandomSettings draw(long seed) {
        RandomGenerator<RandomSettings> any = RandomSettings.any().generator(1000, false);
        return any.next(new Random(seed)).value();
    }

    /** The first violation found in a number of simulations with the fault. */
    private static String firstViolation(Fault fault, boolean rough) {
        for (long seed = 1; seed < 60; seed++) {
            try {
                FleetSimulation simulation = new FleetSimulation(draw(seed), fault, rough).play(SECONDS);
                if (!rough && simulation.minServedShare() < MIN_SERVED) {
                    return "class starved";
                } else if (!rough && simulation.minServedTenantShare() < MIN_SERVED) {
                    return "tenant starved";
                }
            } catch (Violation e) {
                return e.rule;
            }
        }
        return "nothing";
    }

    @Example
    void everyInvariantDetectsItsFault() {
        assertEquals("one answer", firstViolation(Fault.DUPLICATE_ANSWER, true));
        assertEquals("answered in time", firstViolation(Fault.ANSWER_LOST, true));
        assertEquals("drains", firstViolation(Fault.SEND_CHECK_SKIPPED, true));
        assertEquals("no repeat", firstViolation(Fault.RUN_REPORTED_AS_UNSENT, true));
        assertEquals("cold budget", firstViolation(Fault.COLD_TENFOLD, true));
        assertEquals("class starved", firstViolation(Fault.CLASS_REFUSED, false));
        assertEquals("tenant starved", firstViolation(Fault.TENANT_REFUSED, false));
        assertEquals("at rest", firstViolation(Fault.IDLE_REFUSED, false));
    }

    /** Guards against simulations in which the invariants have nothing to check. */
    @Example
    void simulationsExerciseColdEndpointsAndRest() {
        int requests = 0;
        int cold = 0;
        int atRest = 0;
        double budget = 0;
        for (long seed = 1; seed <= 60; seed++) {
            FleetSimulation rough = new FleetSimulation(draw(seed), Fault.NONE, true).play(SECONDS);
            FleetSimulation calm = new FleetSimulation(draw(seed), Fault.NONE, false).play(SECONDS);
            requests += rough.requests() + calm.requests();
            cold += rough.rules.coldSendCount;
            atRest += calm.answeredAtRest;
            budget = Math.max(budget, rough.rules.maxBudgetUse);
        }
        String seen =
                requests + " requests, " + cold + " cold sends, " + budget + " of the budget, " + atRest + " at rest";
        assertTrue(requests > 20_000 && cold > 500 && atRest > 10, seen);
        // The schedulers together use most of the budget: the reserve covers only errors of hints and estimates.
        assertTrue(budget > 0.25 && budget < 0.6, seen);
    }
}
