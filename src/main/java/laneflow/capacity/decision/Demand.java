package laneflow.capacity.decision;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/** This scheduler's measured request rate, and the rates that peers report, summed by zone. */
final class Demand {
    private static final int MAX_SCHEDULERS = 10_000;
    private static final long RETENTION_MICROS = 120_000_000;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final double TIME_CONSTANT_SECONDS = 1;

    private record PeerDemand(int zone, double perSecond, long at) {}

    private final Map<Integer, PeerDemand> peers = new LinkedHashMap<>();
    private final Map<Integer, Double> rateByZone = new HashMap<>();
    private double rate;
    private long rateAt = Long.MIN_VALUE / 2;

    void attemptSent(long now) {
        rate = ownRate(now) + 1 / TIME_CONSTANT_SECONDS;
        rateAt = now;
    }

    /** Returns the requests per second of the recent past. */
    double ownRate(long now) {
        return rate * Math.exp((rateAt - now) / MICROS_PER_SECOND / TIME_CONSTANT_SECONDS);
    }

    void setPeerDemand(int scheduler, int zone, double perSecond, long now) {
        forget(scheduler);
        if (peers.size() >= MAX_SCHEDULERS
                || !peers.isEmpty() && now - peers.values().iterator().next().at > RETENTION_MICROS) {
            forget(peers.keySet().iterator().next());
        }
        peers.put(scheduler, new PeerDemand(zone, perSecond, now));
        rateByZone.merge(zone, perSecond, Double::sum);
    }

    private void forget(int scheduler) {
        PeerDemand before = peers.remove(scheduler);
        if (before != null) {
            rateByZone.merge(before.zone, -before.perSecond, Double::sum);
        }
    }

    /**
     * Returns whether this scheduler should fill the endpoint first. Uses rendezvous hashing over the
     * schedulers of the zone, weighted by request rate, so that few endpoints change hands when rates change.
     */
    boolean isPreferred(long endpoint, int zone, int self, int ownStep) {
        double ownScore = score(endpoint, self, CapacityMessage.demandPerSecond(ownStep));
        for (Map.Entry<Integer, PeerDemand> other : peers.entrySet()) {
            if (other.getValue().zone == zone
                    && score(endpoint, other.getKey(), other.getValue().perSecond) > ownScore) {
                return false;
            }
        }
        return ownScore > 0;
    }

    private static double score(long endpoint, int scheduler, double weight) {
        long mixed = (endpoint ^ scheduler * 0xD1B54A32D192ED03L) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 29) * 0x94D049BB133111EBL;
        double draw = ((mixed >>> 11) + 0.5) * 0x1p-53;
        return weight <= 0 ? 0 : -weight / Math.log(draw);
    }

    /** Returns the requests per second of the peers in the zone, as far as they have reported them. */
    double peerRate(int zone) {
        return Math.max(0, rateByZone.getOrDefault(zone, 0.0));
    }
}
