package laneflow.decision;

import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Dispatch.Tenant;

/**
 * Decides, as far as one dispatcher can tell, which requests exceed their tenant's share. A quota applies to all
 * dispatchers together, but no dispatcher sees the others' traffic, so each applies a fraction of every quota:
 * at least an even one. A dispatcher that receives more of the traffic receives more from all tenants, so for
 * each tenant the fraction is the median of the other tenants' rates relative to their quotas, weighted by
 * portion. A tenant that sends too much thus widens no share, least of all its own.
 *
 * <p>Requests arrive in bursts, so a share is a leaky bucket used as a meter (Turner 1986). It fills at the
 * share's rate, and its depth is the count that random arrivals may reach in {@link #BURST_SECONDS}. Requests
 * beyond the share take nothing from it.
 */
final class TenantShares {
    /** Time constant in seconds of a tenant's rate: by then a request has lost about two thirds of its weight. */
    private static final double RATE_MEMORY = 10;
    /** Seconds' worth of its share that a tenant may use at once. */
    private static final double BURST_SECONDS = 2;
    /** Standard deviations of a Poisson count that are accepted as random. */
    private static final double BURST_DEVIATIONS = 3;
    /** Seconds between two sorts of the tenants. */
    private static final double ORDER_SECONDS = 0.5;

    private final Tenant[] tenants;
    private final double evenShare;
    private final double overShareWorth;
    /** Exponentially decayed request count of each tenant, as of its last request. */
    private final double[] requestCount;

    private final double[] lastRequestAt;
    /** Requests left within each tenant's share, as of its last request. */
    private final double[] allowance;
    /** The tenants with a quota, in ascending order of {@link #relativeRate}. */
    private final int[] order;

    private final double[] relativeRate;
    private double orderedAt = Double.NEGATIVE_INFINITY;
    private double firstAt = Double.NaN;

    TenantShares(Settings settings) {
        // Nothing is counted if excess requests keep their full worth, or if there is only one tenant.
        boolean priced = settings.overShareWorth < 1 && settings.tenants.length > 1;
        tenants = priced ? settings.tenants : new Tenant[0];
        overShareWorth = settings.overShareWorth;
        evenShare = 1.0 / settings.dispatchers;
        int count = 0;
        for (Tenant tenant : tenants) {
            count += tenant.quota > 0 ? 1 : 0;
        }
        order = new int[count];
        for (int i = tenants.length - 1; i >= 0; i--) {
            if (tenants[i].quota > 0) {
                order[--count] = i;
            }
        }
        requestCount = new double[tenants.length];
        lastRequestAt = new double[tenants.length];
        allowance = new double[tenants.length];
        relativeRate = new double[tenants.length];
    }

    /** Counts a request of the tenant and returns its worth as a fraction of its class's worth. */
    double worth(int tenant, double now) {
        if (tenant < 0 || tenant >= tenants.length || !(tenants[tenant].quota > 0)) {
            return 1;
        }
        firstAt = Double.isNaN(firstAt) ? now : firstAt;
        boolean first = requestCount[tenant] == 0;
        requestCount[tenant] = requestCount(tenant, now) + 1;
        double share = tenants[tenant].quota * trafficShare(tenant, now);
        double depth = Math.max(1, BURST_SECONDS * share + BURST_DEVIATIONS * Math.sqrt(BURST_SECONDS * share));
        allowance[tenant] = first ? depth : Math.min(depth, allowance[tenant] + share * (now - lastRequestAt[tenant]));
        lastRequestAt[tenant] = now;
        if (allowance[tenant] < 1) {
            return overShareWorth;
        }
        allowance[tenant]--;
        return 1;
    }

    private double requestCount(int tenant, double now) {
        return requestCount[tenant] * Math.exp((lastRequestAt[tenant] - now) / RATE_MEMORY);
    }

    /** The fraction of all traffic that arrives here, estimated from the other tenants. */
    private double trafficShare(int tenant, double now) {
        if (now >= orderedAt + ORDER_SECONDS) {
            sortTenants(now);
        }
        double all = 0;
        for (int one : order) {
            all += one == tenant ? 0 : weight(one);
        }
        double below = 0;
        double median = 0;
        for (int i = 0; i < order.length && below < all / 2; i++) {
            if (order[i] != tenant) {
                below += weight(order[i]);
                median = relativeRate[order[i]];
            }
        }
        return Math.min(1, Math.max(evenShare, median));
    }

    private double weight(int tenant) {
        return tenants[tenant].portion > 0 ? tenants[tenant].portion : tenants[tenant].quota;
    }

    /** Insertion sort by {@link #relativeRate}: the order changes little between two sorts. */
    private void sortTenants(double now) {
        orderedAt = now;
        // A mean over a shorter span would be dominated by single requests.
        double spanSeconds = RATE_MEMORY * (1 - Math.exp(-Math.max(BURST_SECONDS, now - firstAt) / RATE_MEMORY));
        for (int i = 0; i < order.length; i++) {
            int one = order[i];
            relativeRate[one] = requestCount(one, now) / spanSeconds / tenants[one].quota;
            int at = i;
            while (at > 0 && relativeRate[order[at - 1]] > relativeRate[one]) {
                order[at] = order[--at];
            }
            order[at] = one;
        }
    }
}
