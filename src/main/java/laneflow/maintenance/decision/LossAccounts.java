package laneflow.maintenance.decision;

import java.util.Map;
import java.util.TreeMap;

/**
 * Capacity that each tenant has lost to maintenance windows, in slot-seconds with exponential decay, kept by
 * tenant name because tenants come and go and the ledger carries the state across restarts. The lost and the
 * entitled sum of a tenant decay alike, so their quotient is the fraction of its entitlement that it has lost
 * recently; a new tenant starts with zero on both sides. Demand that was never served does not count ({@link
 * #provenDemand}).
 */
public final class LossAccounts {
    private static final class Sums {
        private double lost;
        private double entitled;
        private double served;
        private long atMs;
    }

    private final double halfLifeMs;
    private final Map<String, Sums> byName = new TreeMap<>();

    public LossAccounts(double halfLifeMs) {
        this.halfLifeMs = halfLifeMs;
    }

    private Sums decayed(String tenant, long nowMs) {
        Sums sums = byName.computeIfAbsent(tenant, name -> {
            Sums fresh = new Sums();
            fresh.atMs = nowMs;
            return fresh;
        });
        // If the clock has gone back, nothing decays.
        double factor = Math.pow(0.5, Math.max(0, nowMs - sums.atMs) / halfLifeMs);
        sums.lost *= factor;
        sums.entitled *= factor;
        sums.served *= factor;
        sums.atMs = Math.max(sums.atMs, nowMs);
        return sums;
    }

    /**
     * Adds what a tenant lost over a period.
     *
     * @param lost what the tenant lost, in slots
     * @param entitlement in slots
     * @param ms length of the period
     */
    public void addLoss(String tenant, double lost, double entitlement, long ms, long nowMs) {
        Sums sums = decayed(tenant, nowMs);
        double seconds = Math.max(0, ms) / 1000.0;
        sums.lost += Math.max(0, Math.min(lost, entitlement)) * seconds;
        sums.entitled += Math.max(0, entitlement) * seconds;
    }

    /** Records the slots in which the tenant's work ran at an instant when no rack was down. */
    public void recordServed(String tenant, double slots, long nowMs) {
        Sums sums = decayed(tenant, nowMs);
        sums.served = Math.max(sums.served, slots);
    }

    /**
     * The part of the requested demand that counts: at most a margin above the recent peak that was served to
     * the tenant. Requesting more than it uses gains a tenant nothing, and adds nothing to its losses.
     */
    public double provenDemand(String tenant, double requested, double margin, long nowMs) {
        return Math.min(requested, decayed(tenant, nowMs).served * (1 + margin));
    }

    /** Fraction of its entitlement that a tenant has lost recently; 0 for an unknown tenant. */
    public double lossRate(String tenant, long nowMs) {
        Sums sums = byName.containsKey(tenant) ? decayed(tenant, nowMs) : null;
        return sums == null || sums.entitled <= 0 ? 0 : sums.lost / sums.entitled;
    }

    /** Slot-seconds that a tenant has lost, after decay. */
    public double lost(String tenant, long nowMs) {
        return byName.containsKey(tenant) ? decayed(tenant, nowMs).lost : 0;
    }

    /**
     * Each tenant's loss rate minus the rate of all tenants together; positive for a tenant that has lost more
     * than the average.
     */
    public double[] excessLossRates(Inventory inventory, long nowMs) {
        double lost = 0;
        double entitled = 0;
        for (Inventory.Tenant tenant : inventory.tenants()) {
            Sums sums = decayed(tenant.name(), nowMs);
            lost += sums.lost;
            entitled += sums.entitled;
        }
        double mean = entitled <= 0 ? 0 : lost / entitled;
        double[] excess = new double[inventory.tenants().size()];
        for (int t = 0; t < excess.length; t++) {
            excess[t] = lossRate(inventory.tenants().get(t).name(), nowMs) - mean;
        }
        return excess;
    }

    /** State for snapshots, by tenant name: lost, entitled, served, time in ms. */
    public Map<String, double[]> state() {
        Map<String, double[]> all = new TreeMap<>();
        byName.forEach((name, sums) -> all.put(name, new double[] {sums.lost, sums.entitled, sums.served, sums.atMs}));
        return all;
    }

    /** Replaces the state by that of a snapshot. */
    public void restore(Map<String, double[]> from) {
        byName.clear();
        from.forEach((name, values) -> {
            Sums sums = new Sums();
            sums.lost = values[0];
            sums.entitled = values[1];
            sums.served = values[2];
            sums.atMs = (long) values[3];
            byName.put(name, sums);
        });
    }
}
