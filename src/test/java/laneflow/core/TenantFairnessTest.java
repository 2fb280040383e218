package laneflow.core;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import laneflow.core.FleetSimulation.Fault;
import laneflow.core.RandomSettings.RandomClass;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** One of two tenants requests ten times as much as the other, and both together four times the capacity. */
class TenantFairnessTest {
    private static final double SECONDS = 20;
    private static final double QUOTA_SHARE = 0.4;

    private static RandomClass jobClass(int semantics, int worth, int workMs) {
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
        drawn.classes = List.of(jobClass(0, 2, 100), jobClass(2, 8, 200));
        drawn.zones = 2;
        drawn.siblings = siblings;
        drawn.kinds = 2;
        drawn.workersPerKind = 3;
        drawn.cells = 2;
        drawn.slots = 4;
        drawn.speedTenths = 10;
        drawn.fields = 7;
        drawn.mayCancel = true;
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
        drawn.firstTenantFactor = 10;
        drawn.hintQuality = 2;
        drawn.reportEveryMs = 300;
        drawn.workSpread = 6;
        // Calm simulations request 0.6 of the load: 4.5 times the capacity.
        drawn.loadReduction = -17;
        drawn.seed = 11;
        drawn.quota = QUOTA_SHARE * new FleetSimulation(drawn, Fault.NONE, false).capacity();
        return drawn;
    }

    /** Each tenant's served requests, as a part of those it requested within its share. */
    private static double[] servedShares(RandomSettings drawn) {
        FleetSimulation simulation = new FleetSimulation(drawn, Fault.NONE, false).play(SECONDS);
        double[] shares = new double[2];
        for (int i = 0; i < 2; i++) {
            shares[i] = simulation.tenantServed[i] / Math.min(simulation.tenantRequested[i], drawn.quota * SECONDS);
        }
        return shares;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4, 20})
    void everyTenantGetsAtLeastAThirdOfItsShare(int siblings) {
        double[] priced = servedShares(settings(siblings, 1));
        assertTrue(priced[0] >= 1.0 / 3 && priced[1] >= 1.0 / 3, priced[0] + " and " + priced[1]);
        double unpriced = servedShares(settings(siblings, 10))[1];
        assertTrue(unpriced < 1.0 / 3, "without a price the tenant within its share had " + unpriced);
    }
}
