package laneflow.capacity.decision;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** How much each scheduler asks for, by its own word, summed by zone; and what this one does itself. */
final class Demand {
    private static final int MOST = 10_000;
    private static final long KEPT = 120_000_000;
    private static final double MICROS = 1e6;
    private static final double MEAN_OVER = 1;

    private record Told(int zone, double perSecond, long at) {}

    private final Map<Integer, Told> others = new LinkedHashMap<>();
    private final Map<Integer, Double> sums = new HashMap<>();
    private double rate;
    private long rateAt = Long.MIN_VALUE / 2;

    void sent(long now) {
        rate = own(now) + 1 / MEAN_OVER;
        rateAt = now;
    }

    /** Calls a second of late. */
    double own(long now) {
        return rate * Math.exp((rateAt - now) / MICROS / MEAN_OVER);
    }

    void told(int who, int zone, double perSecond, long now) {
        forget(who);
        if (others.size() >= MOST
                || !others.isEmpty() && now - others.values().iterator().next().at > KEPT) {
            forget(others.keySet().iterator().next());
        }
        others.put(who, new Told(zone, perSecond, now));
        sums.merge(zone, perSecond, Double::sum);
    }

    private void forget(int who) {
        Told before = others.remove(who);
        if (before != null) {
            sums.merge(before.zone, -before.perSecond, Double::sum);
        }
    }

    /**
     * Whether an endpoint of that zone is this scheduler's to fill first: rendezvous hashing over the
     * schedulers of the zone, weighted by what each asks for, so that shares move little when demand does.
     */
    boolean isOwn(long endpoint, int zone, int self, int own) {
        double mine = score(endpoint, self, CapacityMessage.demandOf(own));
        for (Map.Entry<Integer, Told> other : others.entrySet()) {
            if (other.getValue().zone == zone && score(endpoint, other.getKey(), other.getValue().perSecond) > mine) {
                return false;
            }
        }
        return mine > 0;
    }

    private static double score(long endpoint, int who, double weight) {
        long mixed = (endpoint ^ who * 0xD1B54A32D192ED03L) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 29) * 0x94D049BB133111EBL;
        double draw = ((mixed >>> 11) + 0.5) * 0x1p-53;
        return weight <= 0 ? 0 : -weight / Math.log(draw);
    }

    /** Calls a second of the others of that zone, as far as they have told. */
    double ofOthers(int zone) {
        return Math.max(0, sums.getOrDefault(zone, 0.0));
    }
}
