package laneflow.decision;

import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Dispatch.Tenant;

/**
 * Which requests are beyond their tenant's share, as one dispatcher can tell. A quota is for all dispatchers
 * together, and none sees the others' traffic: of each quota the dispatcher's part is here, at least the even
 * one. Where more of the traffic comes than that, it comes of all tenants: the part is what the others of
 * them show by their requests, the median by portion. So one that asks for too much widens no share, least
 * its own. Requests come in bursts: a share is a leaky bucket used as a meter (Turner 1986), filling at the
 * share's rate and as deep as chance makes a count in {@link #SPAN}. Requests beyond it take nothing from it.
 */
final class Shares {
    /** Seconds after which an arrival has lost about two thirds of its say in a tenant's rate. */
    private static final double MEMORY = 10;
    /** Seconds of its share that a tenant may ask for at once. */
    private static final double SPAN = 2;
    /** Spreads of a Poisson count that pass for chance. */
    private static final double CHANCE = 3;
    /** Seconds for which the tenants' order is kept. */
    private static final double ORDERED = 0.5;

    private final Tenant[] tenants;
    private final double even;
    private final double overShareWorth;
    /** Requests of each, the older the less, as counted at its last one. */
    private final double[] came;

    private final double[] lastAt;
    /** Requests left within the share, as counted at the last one. */
    private final double[] left;
    /** The tenants with a quota, those that ask for the least part of it first. */
    private final int[] order;

    private final double[] asked;
    private double orderedAt = Double.NEGATIVE_INFINITY;
    private double firstAt = Double.NaN;

    Shares(Settings settings) {
        // Where the settings price nothing, nobody is counted; one alone has nobody to take from.
        boolean priced = settings.overShareWorth < 1 && settings.tenants.length > 1;
        tenants = priced ? settings.tenants : new Tenant[0];
        overShareWorth = settings.overShareWorth;
        even = 1.0 / settings.dispatchers;
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
        came = new double[tenants.length];
        lastAt = new double[tenants.length];
        left = new double[tenants.length];
        asked = new double[tenants.length];
    }

    /** A request of that tenant has come: what it is worth, as a part of its class's worth. */
    double worth(int tenant, double now) {
        if (tenant < 0 || tenant >= tenants.length || !(tenants[tenant].quota > 0)) {
            return 1;
        }
        firstAt = Double.isNaN(firstAt) ? now : firstAt;
        boolean first = came[tenant] == 0;
        came[tenant] = came(tenant, now) + 1;
        double share = tenants[tenant].quota * part(tenant, now);
        double deep = Math.max(1, SPAN * share + CHANCE * Math.sqrt(SPAN * share));
        left[tenant] = first ? deep : Math.min(deep, left[tenant] + share * (now - lastAt[tenant]));
        lastAt[tenant] = now;
        if (left[tenant] < 1) {
            return overShareWorth;
        }
        left[tenant]--;
        return 1;
    }

    private double came(int tenant, double now) {
        return came[tenant] * Math.exp((lastAt[tenant] - now) / MEMORY);
    }

    /** The part of all traffic that comes here, as the other tenants show it. */
    private double part(int tenant, double now) {
        if (now >= orderedAt + ORDERED) {
            sort(now);
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
                median = asked[order[i]];
            }
        }
        return Math.min(1, Math.max(even, median));
    }

    private double weight(int tenant) {
        return tenants[tenant].portion > 0 ? tenants[tenant].portion : tenants[tenant].quota;
    }

    /** By the part of its quota that each asks for here; they change places seldom: each moves alone. */
    private void sort(double now) {
        orderedAt = now;
        // A mean over less than that would tell of single requests.
        double span = MEMORY * (1 - Math.exp(-Math.max(SPAN, now - firstAt) / MEMORY));
        for (int i = 0; i < order.length; i++) {
            int one = order[i];
            asked[one] = came(one, now) / span / tenants[one].quota;
            int at = i;
            while (at > 0 && asked[order[at - 1]] > asked[one]) {
                order[at] = order[--at];
            }
            order[at] = one;
        }
    }
}
