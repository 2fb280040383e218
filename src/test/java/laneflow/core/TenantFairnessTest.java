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
        // 0.6 of it are asked for on a calm day: 4.5 times what there is.
        settings.loadReduction = -17;
        settings.seed = 11;
        settings.quota = QUOTA_SHARE * new FleetSimulation(settings, Fault.NONE, false).capacity();
        return settings;
    }

    /** Each one's served requests, as a part of those it asked for inside its share. */
    private static double[] servedShares(RandomSettings settings) {
        FleetSimulation simulation = new FleetSimulation(settings, Fault.NONE, false).play(SECONDS);
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
        assertTrue(unpriced < 1.0 / 3, "without a price the one that keeps its share had " + unpriced);
    }
}
