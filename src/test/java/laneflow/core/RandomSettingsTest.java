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

/** Short days under whole settings drawn at random: what one deployment's settings hide, another's show. */
class RandomSettingsTest {
    private static final double SECONDS = 12;
    /** Part of its requests that a class or tenant has served at least, where there is room for all of them. */
    private static final double MIN_SERVED = 0.2;

    @Provide
    Arbitrary<RandomSettings> settings() {
        return RandomSettings.any();
    }

    /** Crashes, drains, silence, errors, restarts of schedulers, clients that leave: no rule falls. */
    @Property(tries = 100, seed = "7", edgeCases = EdgeCasesMode.NONE)
    void invariantsHoldUnderFaults(@ForAll("settings") RandomSettings settings) {
        new FleetSimulation(settings, Fault.NONE, true).play(SECONDS);
    }

    /** As many of each class and tenant, within what the fleet can do: each is served, and nothing refused at rest. */
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

    /** What speaks first, in some day, where that is broken on purpose. */
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
        assertEquals("in time", firstViolation(Fault.ANSWER_LOST, true));
        assertEquals("drains", firstViolation(Fault.SEND_CHECK_SKIPPED, true));
        assertEquals("no repeat", firstViolation(Fault.RUN_REPORTED_AS_UNSENT, true));
        assertEquals("cold budget", firstViolation(Fault.COLD_TENFOLD, true));
        assertEquals("class starved", firstViolation(Fault.CLASS_REFUSED, false));
        assertEquals("tenant starved", firstViolation(Fault.TENANT_REFUSED, false));
        assertEquals("at rest", firstViolation(Fault.IDLE_REFUSED, false));
    }

    /** Days that had nothing to break would prove nothing. */
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
                requests + " requests, " + cold + " cold calls, " + budget + " of the budget, " + atRest + " at rest";
        assertTrue(requests > 20_000 && cold > 500 && atRest > 10, seen);
        // What all together may use, and no wider a reserve behind it than hints and guesses need.
        assertTrue(budget > 0.25 && budget < 0.6, seen);
    }
}
