package laneflow.decision;

import java.util.SplittableRandom;
import laneflow.decision.Dispatch.Settings;

/**
 * Outlier detection: a worker or a zone that fails is left alone for a while, for longer each time; then one job tries
 * it, until an answer clears it. Instants are seconds of the module's clock.
 */
final class OutlierDetection {
    /** Seconds of the first time that a worker is left alone; it doubles with each failure that follows. */
    private static final double FIRST_EJECTION = 0.5;
    /** Seconds: a worker that is back must be found. */
    private static final double LONGEST_EJECTION = 8;
    /** Connections broken or silent in a row that make a worker an outlier. */
    private static final int CONNECTIONS_LOST = 2;
    /** Connects failed in a row that make a zone an outlier. */
    private static final int ZONE_FAILURES = 3;
    /** Seconds that a trial of an ejected zone keeps others off. */
    private static final double ZONE_TRIAL = 1;

    private final Settings settings;
    private final SplittableRandom random;

    OutlierDetection(Settings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /**
     * A dead worker keeps its last report and one that fails fast looks idle: both would draw ever more jobs.
     */
    boolean isEjected(WorkerView view, double now) {
        return isEjected(view.outlier, view.ownCount > 0, now);
    }

    /**
     * Where a whole zone is gone, or the link to it, each of its workers would draw an attempt to be
     * ejected. After some failed connects in a row the zone is left alone like a worker, where there is
     * another one: the only zone has nobody to spare, and its other workers may be idle.
     */
    boolean isEjected(Pool zone, double now) {
        return settings.zones > 1 && isEjected(zone.outlier, now < zone.outlier.triedAt + ZONE_TRIAL, now);
    }

    private boolean isEjected(OutlierState state, boolean onTrial, double now) {
        return state.strikes > 0 && (now < state.until || onTrial && state.triedAt >= state.until);
    }

    /** A job goes there. */
    void tried(WorkerView view, Pool zone, double now) {
        view.outlier.triedAt = now;
        zone.outlier.triedAt = now;
    }

    /** One connection that breaks or falls silent says little of its worker; of a dead one all do. */
    void connectionLost(WorkerView view, double now) {
        failed(view.outlier, CONNECTIONS_LOST, now);
    }

    void answeredWithError(WorkerView view, double now) {
        failed(view.outlier, 1, now);
    }

    void connectFailed(WorkerView view, Pool zone, double now) {
        failed(view.outlier, 1, now);
        failed(zone.outlier, ZONE_FAILURES, now);
    }

    private void failed(OutlierState state, int enough, double now) {
        if (++state.inRow >= enough && now >= state.until) {
            double time = Math.min(LONGEST_EJECTION, FIRST_EJECTION * Math.pow(2, state.strikes++));
            state.until = now + time * (1 + random.nextDouble()) / 2;
        }
    }
}
