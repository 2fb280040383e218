package laneflow.decision;

import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.Group;
import laneflow.decision.Dispatch.Settings;

/**
 * Whether a request may be attempted once more, and where: by what an earlier attempt may have done, and by the retry
 * budget. Instants are seconds of the module's clock.
 */
final class RetryPolicy {
    private final Settings settings;
    /** Requests taken and further attempts made, as far back as the budget looks. */
    private final SendLog taken = new SendLog();

    private final SendLog further = new SendLog();

    RetryPolicy(Settings settings) {
        this.settings = settings;
    }

    /** A request has been taken: it earns its share of a further attempt. */
    void requestTaken(double now) {
        taken.count(now - settings.retryWindow);
        taken.add(now, 1);
    }

    /** A further attempt goes out. */
    void attemptedAgain(double now) {
        further.add(now, 1);
    }

    /** Whether a further attempt may follow those that there were. */
    boolean allowsAnother(Job job, double now) {
        return job.attempts < job.mostAttempts && mayRepeat(job, now) && withinBudget(job, now);
    }

    /** A further attempt: never for unsafe once one may have run; keyed only while its deduplication window lasts. */
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

    /** A refusal tells the client that a repeat is harmless: only where that is so. */
    boolean mayRefuse(Job job, double now) {
        return job.type.effect == Effect.SAFE
                || !job.mayHaveRun()
                || job.type.effect == Effect.KEYED && job.type.group == Group.ALL && mayRepeat(job, now);
    }

    /** A keyed job that may have run stays with the workers that drop its repeats. */
    boolean effectAllows(Job job, WorkerView view) {
        if (job.type.effect != Effect.KEYED || job.type.group == Group.ALL) {
            return true;
        }
        for (int i = 0; i < job.attempts; i++) {
            WorkerView earlier = job.attempt[i].view;
            if (job.attempt[i].mayHaveRun
                    && (job.type.group == Group.ZONE ? earlier.zone != view.zone : earlier.cell != view.cell)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Many answers 'full' or failures at once would multiply the load just when there is too much: where the
     * settings ration further attempts, whatever the earlier ones came to, one more must leave every window
     * within its ration. Times are read to the tick, on the careful side.
     */
    private boolean withinBudget(Job job, double now) {
        double since = now - job.retryWindow;
        int made = further.count(since - settings.tick);
        int got = taken.count(since + settings.tick);
        return job.retryWindow <= 0 || made + 1 <= job.retryFree + job.retryShare * got;
    }
}
