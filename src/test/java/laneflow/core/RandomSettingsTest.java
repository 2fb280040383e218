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
    private static final double LEAST = 0.2;

    @Provide
    Arbitrary<RandomSettings> settings() {
        return RandomSettings.any();
    }

    /** Crashes, drains, silence, errors, restarts of schedulers, clients that leave: no rule falls. */
    @Property(tries = 100, seed = "7", edgeCases = EdgeCasesMode.NONE)
    void roughDaysBreakNoRule(@ForAll("settings") RandomSettings drawn) {
        new FleetSimulation(drawn, Fault.NOTHING, true).play(SECONDS);
    }

    /** As many of each class and tenant, within what the fleet can do: each is served, and nothing refused at rest. */
    @Property(tries = 100, seed = "7", edgeCases = EdgeCasesMode.NONE)
    void calmDaysServeEveryClassAndTenant(@ForAll("settings") RandomSettings drawn) {
        FleetSimulation day = new FleetSimulation(drawn, Fault.NOTHING, false).play(SECONDS);
        assertTrue(day.leastServed() >= LEAST, "a class has " + day.leastServed());
        assertTrue(day.leastServedTenant() >= LEAST, "a tenant has " + day.leastServedTenant());
    }

    private static RandomSettings draw(long seed) {
        RandomGenerator<RandomSettings> any = RandomSettings.any().generator(1000, false);
        return any.next(new Random(seed)).value();
    }

    /** What speaks first, in some day, where that is broken on purpose. */
    private static String speaks(Fault broken, boolean rough) {
        for (long seed = 1; seed < 60; seed++) {
            try {
                FleetSimulation day = new FleetSimulation(draw(seed), broken, rough).play(SECONDS);
                if (!rough && day.leastServed() < LEAST) {
                    return "class starved";
                } else if (!rough && day.leastServedTenant() < LEAST) {
                    return "tenant starved";
                }
            } catch (Violation e) {
                return e.rule;
            }
        }
        return "nothing";
    }

    @Example
    void everyRulesCheckSpeaksWhereItIsBroken() {
        assertEquals("one answer", speaks(Fault.ANSWERS_TWICE, true));
        assertEquals("in time", speaks(Fault.ANSWER_LOST, true));
        assertEquals("drains", speaks(Fault.GRACE_NOT_ASKED, true));
        assertEquals("no repeat", speaks(Fault.RUN_TOLD_AS_NEVER, true));
        assertEquals("cold budget", speaks(Fault.COLD_TENFOLD, true));
        assertEquals("class starved", speaks(Fault.CLASS_REFUSED, false));
        assertEquals("tenant starved", speaks(Fault.TENANT_REFUSED, false));
        assertEquals("at rest", speaks(Fault.IDLE_REFUSED, false));
    }

    /** Days that had nothing to break would prove nothing. */
    @Example
    void theDaysHaveRequestsColdEndpointsAndRest() {
        int requests = 0;
        int cold = 0;
        int atRest = 0;
        double budget = 0;
        for (long seed = 1; seed <= 60; seed++) {
            FleetSimulation rough = new FleetSimulation(draw(seed), Fault.NOTHING, true).play(SECONDS);
            FleetSimulation calm = new FleetSimulation(draw(seed), Fault.NOTHING, false).play(SECONDS);
            requests += rough.requests() + calm.requests();
            cold += rough.rules.coldSends;
            atRest += calm.answeredAtRest;
            budget = Math.max(budget, rough.rules.mostOfBudget);
        }
        String seen =
                requests + " requests, " + cold + " cold calls, " + budget + " of the budget, " + atRest + " at rest";
        assertTrue(requests > 20_000 && cold > 500 && atRest > 10, seen);
        // What all together may use, and no wider a reserve behind it than hints and guesses need.
        assertTrue(budget > 0.25 && budget < 0.6, seen);
    }
}
