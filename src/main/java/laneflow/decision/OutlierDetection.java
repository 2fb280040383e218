package laneflow.decision;

import java.util.SplittableRandom;
import laneflow.decision.Dispatch.Settings;

/**
 * Outlier detection: a worker or zone that fails is ejected, for longer each time. Afterwards one job at a time tries
 * it until an answer clears it. Times are in seconds on the module's clock.
 */
final class OutlierDetection {
    /** Duration of the first ejection in seconds; it doubles with each further one. */
    private static final double FIRST_EJECTION = 0.5;
    /** Longest ejection in seconds, so that a recovered worker is found. */
    private static final double MAX_EJECTION = 8;
    /** Consecutive broken or silent connections that make a worker an outlier. */
    private static final int CONNECTION_LOSS_THRESHOLD = 2;
    /** Consecutive failed connects that make a zone an outlier. */
    private static final int ZONE_FAILURE_THRESHOLD = 3;
    /** Seconds for which a trial of an ejected zone blocks further jobs there. */
    private static final double ZONE_TRIAL_SECONDS = 1;

    private final Settings settings;
    private final SplittableRandom random;

    OutlierDetection(Settings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /** A dead worker keeps its last report, and one that fails fast looks idle: both would attract ever more jobs. */
    boolean isEjected(WorkerView view, double now) {
        return isEjected(view.outlier, view.ownCount > 0, now);
    }

    /**
     * If a whole zone or the link to it is down, ejecting its workers singly would cost an attempt each. So a few
     * failed connects in a row eject the zone, but never the only one: some workers may be reachable and idle.
     */
    boolean isEjected(Pool zone, double now) {
        return settings.zones > 1 && isEjected(zone.outlier, now < zone.outlier.triedAt + ZONE_TRIAL_SECONDS, now);
    }

    private boolean isEjected(OutlierState state, boolean onTrial, double now) {
        return state.ejections > 0 && (now < state.ejectedUntil || onTrial && state.triedAt >= state.ejectedUntil);
    }

    /** A job is sent to this worker. */
    void tried(WorkerView view, Pool zone, double now) {
        view.outlier.triedAt = now;
        zone.outlier.triedAt = now;
    }

    /** A single broken or silent connection says little about its worker; all connections to a dead worker fail. */
    void connectionLost(WorkerView view, double now) {
        recordFailure(view.outlier, CONNECTION_LOSS_THRESHOLD, now);
    }

    void answeredWithError(WorkerView view, double now) {
        recordFailure(view.outlier, 1, now);
    }

    void connectFailed(WorkerView view, Pool zone, double now) {
        recordFailure(view.outlier, 1, now);
        recordFailure(zone.outlier, ZONE_FAILURE_THRESHOLD, now);
    }

    private void recordFailure(OutlierState state, int threshold, double now) {
        if (++state.consecutiveFailures >= threshold && now >= state.ejectedUntil) {
            double duration = Math.min(MAX_EJECTION, FIRST_EJECTION * Math.pow(2, state.ejections++));
            state.ejectedUntil = now + duration * (1 + random.nextDouble()) / 2;
        }
    }
}
