package laneflow.decision;

/** Failures of a worker or a whole zone since its last successful contact. */
final class OutlierState {
    int consecutiveFailures;
    /** Number of ejections since the last successful contact. */
    int ejections;
    /** When the current ejection ends. */
    double ejectedUntil = Double.NEGATIVE_INFINITY;

    double triedAt = Double.NEGATIVE_INFINITY;

    /** Resets the state after a successful contact. */
    void clear() {
        consecutiveFailures = 0;
        ejections = 0;
        ejectedUntil = Double.NEGATIVE_INFINITY;
    }
}
