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
        RandomSettings settings = new RandomSettings();
        settings.classes = List.of(jobClass(0, 2, 100), jobClass(2, 8, 200));
        settings.zones = 2;
        settings.siblings = siblings;
        settings.kinds = 2;
        settings.workersPerKind = 3;
        settings.cells = 2;
        settings.slots = 4;
        settings.speedTenths = 10;
        settings.fields = 7;
        settings.mayCancel = true;
        settings.tellsStart = true;
        settings.maxAttempts = 5;
        settings.graceMs = 500;
        settings.coldFromPercent = 20;
        settings.coldMs = 10_000;
        settings.multipleTenths = 30;
        settings.fallMs = 1500;
        settings.tickMs = 5;
        settings.tenants = 2;
        settings.overShareTenths = overShareTenths;
        settings.firstTenantFactor = 10;
        settings.hintQuality = 2;
        settings.reportEveryMs = 300;
        settings.workSpread = 6;
        // Simulations without faults request 0.6 of the load that this gives: 4.5 times the capacity.
        settings.loadReduction = -17;
        settings.seed = 11;
        settings.quota = QUOTA_SHARE * new FleetSimulation(settings, Fault.NONE, false).capacity();
        return settings;
    }

    /** Each tenant's served requests, as a fraction of those it requested within its quota. */
    private static double[] servedShares(RandomSettings settings) {
        FleetSimulation simulation = new FleetSimulation(settings, Fault.NONE, false).run(SECONDS);
        double[] shares = new double[2];
        for (int i = 0; i < 2; i++) {
            shares[i] = simulation.tenantServed[i] / Math.min(simulation.tenantRequested[i], settings.quota * SECONDS);
        }
        return shares;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4, 20})
    void everyTenantGetsAtLeastAThirdOfItsShare(int siblings) {
        double[] priced = servedShares(settings(siblings, 1));
        assertTrue(priced[0] >= 1.0 / 3 && priced[1] >= 1.0 / 3, priced[0] + " and " + priced[1]);
        double unpriced = servedShares(settings(siblings, 10))[1];
        assertTrue(unpriced < 1.0 / 3, "with full worth beyond the share, the other tenant got " + unpriced);
    }
}
