package laneflow.decision;

/** Load of other dispatchers' jobs on one zone's workers of one kind. */
final class ZoneLoad {
    /** Mean fraction of a worker's slots that they take, as last reported. */
    double load;

    double reportedAt = Double.NEGATIVE_INFINITY;

    void update(double slotsTaken, double now) {
        boolean first = reportedAt == Double.NEGATIVE_INFINITY;
        load = first ? slotsTaken : load + WorkerView.MEAN_GAIN * (slotsTaken - load);
        reportedAt = now;
    }
}
