package laneflow.decision;

/** What speaks against a worker, or a zone as a whole: failures without a sign of life between. */
final class OutlierState {
    int inRow;
    /** Times it was left alone since the last sign of life. */
    int strikes;
    /** Until when it is left alone. */
    double until = Double.NEGATIVE_INFINITY;

    double triedAt = Double.NEGATIVE_INFINITY;

    /** A sign of life. */
    void clear() {
        inRow = 0;
        strikes = 0;
        until = Double.NEGATIVE_INFINITY;
    }
}
