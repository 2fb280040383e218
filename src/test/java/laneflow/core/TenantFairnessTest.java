package laneflow.core;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import laneflow.core.FleetSimulation.Fault;
import laneflow.core.RandomSettings.RandomClass;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Days on which one of two tenants asks for ten times what the other does, and both for four times what there is. */
class TenantFairnessTest {
    private static final double SECONDS = 20;
    private static final double QUOTA_PART = 0.4;

    private static RandomClass type(int semantics, int worth, int workMs) {
        RandomClass type = new RandomClass();
        type.semantics = semantics;
        type.aimMs = 300;
        type.stretchTenths = 20;
        type.deadlineMs = 5000;
        type.worth = worth;
        type.kind = -1;
        type.workMs = workMs;
        type.slots = 1;
        return type;
    }

    private static RandomSettings settings(int siblings, int overShareTenths) {
        RandomSettings drawn = new RandomSettings();
        drawn.classes = List.of(type(0, 2, 100), type(2, 8, 200));
        drawn.zones = 2;
        drawn.siblings = siblings;
        drawn.kinds = 2;
        drawn.workersEach = 3;
        drawn.cells = 2;
        drawn.slots = 4;
        drawn.speedTenths = 10;
        drawn.fields = 7;
        drawn.cancel = true;
        drawn.tellsStart = true;
        drawn.maxAttempts = 5;
        drawn.graceMs = 500;
        drawn.coldFromPercent = 20;
        drawn.coldMs = 10_000;
        drawn.multipleTenths = 30;
        drawn.fallMs = 1500;
        drawn.tickMs = 5;
        drawn.tenants = 2;
        drawn.overShareTenths = overShareTenths;
        drawn.greed = 10;
        drawn.hints = 2;
        drawn.reportEveryMs = 300;
        drawn.workSpread = 6;
        // 0.6 of it are asked for on a calm day: 4.5 times what there is.
        drawn.loadDown = -17;
        drawn.seed = 11;
        drawn.quota = QUOTA_PART * new FleetSimulation(drawn, Fault.NOTHING, false).capacity();
        return drawn;
    }

    /** Each one's served requests, as a part of those it asked for inside its share. */
    private static double[] served(RandomSettings drawn) {
        FleetSimulation day = new FleetSimulation(drawn, Fault.NOTHING, false).play(SECONDS);
        double[] parts = new double[2];
        for (int i = 0; i < 2; i++) {
            parts[i] = day.tenantServed[i] / Math.min(day.tenantAsked[i], drawn.quota * SECONDS);
        }
        return parts;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4, 20})
    void eachHasAThirdOfItsShareAtLeast(int siblings) {
        double[] priced = served(settings(siblings, 1));
        assertTrue(priced[0] >= 1.0 / 3 && priced[1] >= 1.0 / 3, priced[0] + " and " + priced[1]);
        double unpriced = served(settings(siblings, 10))[1];
        assertTrue(unpriced < 1.0 / 3, "without a price the one that keeps its share had " + unpriced);
    }
}
