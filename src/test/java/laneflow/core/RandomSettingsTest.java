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

/** Checks invariants in short simulations under random settings, as some faults show only under some settings. */
class RandomSettingsTest {
    private static final double SECONDS = 12;
    /** Lowest served share of a class or tenant when there is capacity for all requests. */
    private static final double MIN_SERVED = 0.2;

    @Provide
    Arbitrary<RandomSettings> settings() {
        return RandomSettings.any();
    }

    /** The faults are crashes, drains, hangs, errors, scheduler restarts and clients that leave. */
    @Property(tries = 100, seed = "7", edgeCases = EdgeCasesMode.NONE)
    void invariantsHoldUnderFaults(@ForAll("settings") RandomSettings settings) {
        new FleetSimulation(settings, Fault.NONE, true).run(SECONDS);
    }

    /** Within capacity, each class and tenant is served, and nothing is refused while the fleet is idle. */
    @Property(tries = 100, seed = "7", edgeCases = EdgeCasesMode.NONE)
    void everyClassAndTenantIsServedWithoutFaults(@ForAll("settings") RandomSettings settings) {
        FleetSimulation simulation = new FleetSimulation(settings, Fault.NONE, false).run(SECONDS);
        assertTrue(simulation.minServedShare() >= MIN_SERVED, "a class has " + simulation.minServedShare());
        assertTrue(
                simulation.minServedTenantShare() >= MIN_SERVED, "a tenant has " + simulation.minServedTenantShare());
    }

    private static RandomSettings draw(long seed) {
        RandomGenerator<RandomSettings> generator = RandomSettings.any().generator(1000, false);
        return generator.next(new Random(seed)).value();
    }

    /** The first violation found in a number of simulations with the fault. */
    private static String firstViolation(Fault fault, boolean withFaults) {
        for (long seed = 1; seed < 60; seed++) {
            try {
                FleetSimulation simulation = new FleetSimulation(draw(seed), fault, withFaults).run(SECONDS);
                if (!withFaults && simulation.minServedShare() < MIN_SERVED) {
                    return "class starved";
                } else if (!withFaults && simulation.minServedTenantShare() < MIN_SERVED) {
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
        assertEquals("idle fleet", firstViolation(Fault.IDLE_REFUSED, false));
    }

    /** Guards against simulations in which the invariants have nothing to check. */
    @Example
    void simulationsIncludeColdEndpointsAndIdleFleets() {
        int requests = 0;
        int coldSends = 0;
        int whileIdle = 0;
        double maxBudgetUse = 0;
        for (long seed = 1; seed <= 60; seed++) {
            FleetSimulation withFaults = new FleetSimulation(draw(seed), Fault.NONE, true).run(SECONDS);
            FleetSimulation faultFree = new FleetSimulation(draw(seed), Fault.NONE, false).run(SECONDS);
            requests += withFaults.requests() + faultFree.requests();
            coldSends += withFaults.invariants.coldSendCount;
            whileIdle += faultFree.answeredWhileIdle;
            maxBudgetUse = Math.max(maxBudgetUse, withFaults.invariants.maxBudgetUse);
        }
        String summary = requests + " requests, " + coldSends + " cold sends, " + maxBudgetUse + " of the budget, "
                + whileIdle + " while idle";
        assertTrue(requests > 20_000 && coldSends > 500 && whileIdle > 10, summary);
        // The cold budget is the limit less a reserve for errors of hints and estimates; the schedulers use most of it.
        assertTrue(maxBudgetUse > 0.25 && maxBudgetUse < 0.6, summary);
    }
}
