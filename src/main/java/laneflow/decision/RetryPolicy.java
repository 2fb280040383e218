package laneflow.decision;

import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.Group;
import laneflow.decision.Dispatch.Settings;

/**
 * Decides whether and where a request may be retried, from what earlier attempts may have done and from the retry
 * budget. Times are in seconds on the module's clock.
 */
final class RetryPolicy {
    private final Settings settings;
    /** Requests accepted and retries sent within the retry window. */
    private final SendLog requestLog = new SendLog();

    private final SendLog retryLog = new SendLog();

    RetryPolicy(Settings settings) {
        this.settings = settings;
    }

    /** Records an accepted request, which adds its share to the retry budget. */
    void requestTaken(double now) {
        requestLog.count(now - settings.retryWindow);
        requestLog.add(now, 1);
    }

    /** Records a retry. */
    void attemptedAgain(double now) {
        retryLog.add(now, 1);
    }

    /** Whether another attempt is allowed after the earlier ones. */
    boolean allowsAnother(Job job, double now) {
        return job.attempts < job.maxAttempts && mayRepeat(job, now) && withinBudget(job, now);
    }

    /** Once an attempt may have run, unsafe jobs are never repeated, keyed jobs only in their deduplication window. */
    boolean mayRepeat(Job job, double now) {
        switch (job.type.effect) {
            case SAFE:
                return true;
            case KEYED:
                return !job.mayHaveRun() || now < job.firstMayHaveRun() + job.type.dedupWindow;
            default:
                return !job.mayHaveRun();
        }
    }

    /** A refusal tells the client that a retry is safe, so it is allowed only if that is true. */
    boolean mayRefuse(Job job, double now) {
        return job.type.effect == Effect.SAFE
                || !job.mayHaveRun()
                || job.type.effect == Effect.KEYED && job.type.group == Group.ALL && mayRepeat(job, now);
    }

    /** A keyed job that may have run is retried only on workers that drop its repeats. */
    boolean effectAllows(Job job, WorkerView view) {
        return job.type.effect != Effect.KEYED
                || !job.mayHaveRun()
                || job.possibleRuns().stream().allMatch(run -> job.type.group.includes(run, view.zone, view.cell));
    }

    /**
     * Retries after many failures or 'full' answers would multiply the load just when it is too high. If the
     * settings define a retry budget, one more retry must keep every window within it, whatever the outcome of
     * the earlier attempts. Window bounds are widened or narrowed by one tick, on the conservative side.
     */
    private boolean withinBudget(Job job, double now) {
        double since = now - job.retryWindow;
        int retryCount = retryLog.count(since - settings.tick);
        int requestCount = requestLog.count(since + settings.tick);
        return job.retryWindow <= 0 || retryCount + 1 <= job.retryFree + job.retryShare * requestCount;
    }
}
