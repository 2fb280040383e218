package laneflow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Dispatch.Tenant;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which requests a dispatcher counts as within a tenant's share, for random arrivals at known rates. */
class TenantSharesTest {
    private static final double OVER_SHARE_WORTH = 0.1;
    private static final double SECONDS = 120;

    private static Settings settings(int dispatchers, double... quotas) {
        Settings settings = new Settings();
        settings.dispatchers = dispatchers;
        settings.overShareWorth = OVER_SHARE_WORTH;
        settings.tenants = new Tenant[quotas.length];
        for (int i = 0; i < quotas.length; i++) {
            settings.tenants[i] = new Tenant();
            settings.tenants[i].quota = quotas[i];
            settings.tenants[i].portion = 1.0 / quotas.length;
        }
        return settings;
    }

    /** Requests per second within the share, for each tenant, given arrivals at these rates. */
    private static double[] within(Settings settings, double... rates) {
        TenantShares shares = new TenantShares(settings);
        Random random = new Random(5);
        double[] within = new double[rates.length];
        double totalRate = 0;
        for (double rate : rates) {
            totalRate += rate;
        }
        for (double now = 50; now < 50 + SECONDS; now += -Math.log(1 - random.nextDouble()) / totalRate) {
            double draw = random.nextDouble() * totalRate;
            int tenant = 0;
            while (draw >= rates[tenant]) {
                draw -= rates[tenant++];
            }
            within[tenant] += shares.worth(tenant, now) == 1 ? 1 / SECONDS : 0;
        }
        return within;
    }

    @ParameterizedTest
    @CsvSource({"1, 20", "10, 20", "100, 200", "100, 40"})
    void tenantSendingTenTimesItsShareIsLimitedToIt(int dispatchers, double quota) {
        double even = quota / dispatchers;
        double[] within = within(settings(dispatchers, quota, quota), 10 * even, 0.9 * even);
        assertEquals(even, within[0], 0.15 * even + 5 / SECONDS);
        assertEquals(0.9 * even, within[1], 0.15 * even);
    }

    @Test
    void tenantWithMostOfTheQuotaIsLimitedToo() {
        assertEquals(8, within(settings(10, 80, 20), 80, 2)[0], 1);
    }

    @Test
    void busyDispatcherLimitsNoTenantWithinItsQuota() {
        double[] within = within(settings(20, 40, 100, 60), 3 * 2 * 0.9, 3 * 5 * 0.9, 3 * 3 * 0.9);
        assertEquals(3 * 2 * 0.9, within[0], 0.6);
        assertEquals(3 * 5 * 0.9, within[1], 1.2);
        assertEquals(3 * 3 * 0.9, within[2], 0.8);
    }

    @Test
    void twoExcessiveTenantsOfFourDoNotHideEachOther() {
        double[] within = within(settings(10, 50, 50, 50, 50), 50, 50, 4, 4);
        assertEquals(5, within[0], 0.8);
        assertEquals(5, within[1], 0.8);
        assertEquals(4, within[2], 0.4);
    }

    @Test
    void randomArrivalsAtTheQuotaSeldomExceedIt() {
        double[] within = within(settings(10, 50, 50), 4.5, 4.5);
        assertTrue(within[0] > 0.97 * 4.5 - 0.3 && within[1] > 0.97 * 4.5 - 0.3, within[0] + " " + within[1]);
    }

    @Test
    void nothingExceedsAShareWhereNoneIsConfigured() {
        Settings fullWorth = settings(10, 1, 1);
        fullWorth.overShareWorth = 1;
        Settings noTenants = settings(10);
        Settings noQuota = settings(10, 0, 1);
        for (Settings settings : new Settings[] {fullWorth, noTenants, noQuota, settings(10, 1)}) {
            TenantShares shares = new TenantShares(settings);
            for (int i = 0; i < 1000; i++) {
                assertEquals(1, shares.worth(0, 1));
            }
        }
        TenantShares shares = new TenantShares(settings(10, 1, 1));
        for (int i = 0; i < 1000; i++) {
            assertEquals(1, shares.worth(-1, 1));
            assertEquals(1, shares.worth(2, 1));
        }
    }

    @Test
    void burstIsLimitedToTheBucketDepth() {
        TenantShares shares = new TenantShares(settings(10, 50, 50));
        int within = 0;
        for (int i = 0; i < 100; i++) {
            within += shares.worth(0, 7) == 1 ? 1 : 0;
        }
        // 2 s of 5 requests per second, and 3 x sqrt(10).
        assertEquals(19, within);
    }

    /** For any arrivals the worth is one of two values, and no more is within the shares than the widest ones allow. */
    @Property(tries = 200, seed = "7", edgeCases = EdgeCasesMode.NONE)
    void neverMoreThanTheWidestShare(
            @ForAll @IntRange(min = 1, max = 100) int dispatchers,
            @ForAll @IntRange(min = 2, max = 6) int tenants,
            @ForAll @DoubleRange(min = 0.5, max = 500) double quota,
            @ForAll long seed) {
        double[] quotas = new double[tenants];
        java.util.Arrays.fill(quotas, quota);
        TenantShares shares = new TenantShares(settings(dispatchers, quotas));
        Random random = new Random(seed);
        double now = 3;
        int within = 0;
        for (int i = 0; i < 400; i++) {
            now += random.nextInt(3) * 0.01;
            double worth = shares.worth(random.nextInt(tenants), now);
            assertTrue(worth == 1 || worth == OVER_SHARE_WORTH, "worth " + worth);
            within += worth == 1 ? 1 : 0;
        }
        double limit = tenants * ((now - 3 + 2) * quota + 3 * Math.sqrt(2 * quota) + 1);
        assertTrue(within <= limit, within + " of " + limit);
    }
}
