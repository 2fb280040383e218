package laneflow.maintenance.decision;

import java.util.Map;
import java.util.TreeMap;

/**
 * What each tenant has lost to windows, in slot-seconds that count half after each half-life, kept by name:
 * tenants come and go, and the ledger carries the state over restarts. Two sums a tenant, lost and entitled,
 * decay alike, so the quotient is the part of its entitlement that it has lost of late, and a tenant that is
 * new starts with nothing on either side. Demand that was never served does not count ({@link #proven}).
 */
public final class Accounts {
    private static final class Sums {
        private double lost;
        private double entitled;
        private double served;
        private long atMs;
    }

    private final double halfLifeMs;
    private final Map<String, Sums> byName = new TreeMap<>();

    public Accounts(double halfLifeMs) {
        this.halfLifeMs = halfLifeMs;
    }

    private Sums at(String tenant, long nowMs) {
        Sums sums = byName.computeIfAbsent(tenant, name -> {
            Sums fresh = new Sums();
            fresh.atMs = nowMs;
            return fresh;
        });
        // A clock that was put back takes nothing off and adds nothing.
        double left = Math.pow(0.5, Math.max(0, nowMs - sums.atMs) / halfLifeMs);
        sums.lost *= left;
        sums.entitled *= left;
        sums.served *= left;
        sums.atMs = Math.max(sums.atMs, nowMs);
        return sums;
    }

    /**
     * A stretch of time has passed.
     *
     * @param lost what the tenant has lost in it, in slots
     * @param entitlement in slots
     * @param ms how long it was
     */
    public void add(String tenant, double lost, double entitlement, long ms, long nowMs) {
        Sums sums = at(tenant, nowMs);
        double seconds = Math.max(0, ms) / 1000.0;
        sums.lost += Math.max(0, Math.min(lost, entitlement)) * seconds;
        sums.entitled += Math.max(0, entitlement) * seconds;
    }

    /** Slots in which the tenant's work really ran, at an instant at which nothing was down. */
    public void served(String tenant, double slots, long nowMs) {
        Sums sums = at(tenant, nowMs);
        sums.served = Math.max(sums.served, slots);
    }

    /**
     * What of an asked demand counts: up to a margin over the most that ran for the tenant of late. Who asks
     * for more than it ever uses is due no more, and loses no more on paper.
     */
    public double proven(String tenant, double asked, double margin, long nowMs) {
        return Math.min(asked, at(tenant, nowMs).served * (1 + margin));
    }

    /** The part of its entitlement that a tenant has lost of late; 0 for one that is not known. */
    public double rate(String tenant, long nowMs) {
        Sums sums = byName.containsKey(tenant) ? at(tenant, nowMs) : null;
        return sums == null || sums.entitled <= 0 ? 0 : sums.lost / sums.entitled;
    }

    /** Slot-seconds that a tenant has lost, decayed. */
    public double lost(String tenant, long nowMs) {
        return byName.containsKey(tenant) ? at(tenant, nowMs).lost : 0;
    }

    /** Each tenant's rate over that of all together; over 0 for whoever has lost more than the others. */
    public double[] over(Inventory inventory, long nowMs) {
        double lost = 0;
        double entitled = 0;
        for (Inventory.Tenant tenant : inventory.tenants()) {
            Sums sums = at(tenant.name(), nowMs);
            lost += sums.lost;
            entitled += sums.entitled;
        }
        double mean = entitled <= 0 ? 0 : lost / entitled;
        double[] over = new double[inventory.tenants().size()];
        for (int t = 0; t < over.length; t++) {
            over[t] = rate(inventory.tenants().get(t).name(), nowMs) - mean;
        }
        return over;
    }

    /** For snapshots: lost, entitled, served, instant in ms by name. */
    public Map<String, double[]> state() {
        Map<String, double[]> all = new TreeMap<>();
        byName.forEach((name, one) -> all.put(name, new double[] {one.lost, one.entitled, one.served, one.atMs}));
        return all;
    }

    /** Takes a snapshot's state in place of its own. */
    public void restore(Map<String, double[]> from) {
        byName.clear();
        from.forEach((name, four) -> {
            Sums sums = new Sums();
            sums.lost = four[0];
            sums.entitled = four[1];
            sums.served = four[2];
            sums.atMs = (long) four[3];
            byName.put(name, sums);
        });
    }
}
