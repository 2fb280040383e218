package laneflow.decision;

/** The siblings' jobs on one zone's workers of one kind. */
final class ZoneLoad {
    /** Mean part of a worker's slots that they take, as last heard. */
    double load;

    double heardAt = Double.NEGATIVE_INFINITY;

    void reported(double slotsTaken, double now) {
        boolean first = heardAt == Double.NEGATIVE_INFINITY;
        load = first ? slotsTaken : load + WorkerView.OTHERS_GAIN * (slotsTaken - load);
        heardAt = now;
    }
}
