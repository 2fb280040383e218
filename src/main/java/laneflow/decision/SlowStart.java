package laneflow.decision;

import laneflow.decision.Dispatch.Settings;

/**
 * Slow start: a cold worker is overloaded by the sum of all dispatchers' sends, and no dispatcher sees the others'. The
 * overload limit is n + 2 x sqrt(n) + 2 mean jobs: n is {@code fallMultiple} x present capacity x {@code fallWithin},
 * and the rest allows for random variation.
 *
 * <p>The budget below that limit is divided into parts of at least a few jobs. Parts are assigned in the order of the
 * dispatchers' indexes, with an offset from the worker's id and start time, so all agree without communication. A
 * growing budget adds parts and changes none, so the parts used within one window never exceed it. Every send counts.
 * The other dispatchers' zones are unknown and may all be this one. Times are in seconds on the module's clock.
 */
final class SlowStart {
    /** Fraction of the overload limit that is used: hints are rough, and capacity is inferred from slots, not cores. */
    private static final double LIMIT_SHARE = 0.9;
    /** Fraction of the budget that is used while sends from before a restart may still count at the worker. */
    private static final double LIMIT_SHARE_AFTER_RESTART = 0.5;
    /** Minimum size of a part of a budget, in mean jobs. */
    private static final double MIN_JOBS_PER_PART = 2;
    /** A large prime: dispatchers with adjacent indexes, perhaps of one zone, get parts of different workers. */
    private static final long INDEX_STRIDE = 7919;

    private final Settings settings;
    private final MeanHint meanHint;
    /** This process's fraction of the dispatcher's budgets while another process has the same index. */
    private double budgetShare = 1;

    private double startedAt = Double.NEGATIVE_INFINITY;

    SlowStart(Settings settings, MeanHint meanHint) {
        this.settings = settings;
        this.meanHint = meanHint;
    }

    /** Records this dispatcher's start: what it sent before is unknown and still counts at workers for a while. */
    void start(double now) {
        startedAt = now;
    }

    /** Sets this process's fraction of the budgets that it shares with another process of the same index. */
    void setBudgetShare(double fraction) {
        budgetShare = fraction;
    }

    /** Whether the job fits into this dispatcher's present budget for a cold worker. */
    boolean allows(WorkerView view, Job job, double now) {
        double meanWork = meanHint.lowerEstimate();
        double cores = view.warmupFactor(now) * view.kindEstimates.capacity();
        double allowedJobs = settings.fallMultiple * cores * settings.fallWithin / meanWork;
        double limitShare = now < startedAt + settings.fallWithin ? LIMIT_SHARE_AFTER_RESTART : 1;
        double budget = limitShare * LIMIT_SHARE * (allowedJobs + 2 * Math.sqrt(allowedJobs) + 2) * meanWork;
        double partSize = Math.max(MIN_JOBS_PER_PART * meanHint.mean(), budget / settings.dispatchers);
        long offset = (view.id * 0x9E3779B97F4A7C15L ^ Double.doubleToLongBits(view.startedAt)) >>> 16;
        long precedingParts = (settings.dispatcherIndex * INDEX_STRIDE + offset) % settings.dispatchers;
        double ownBudget = budgetShare * Math.min(partSize, budget - precedingParts * partSize);
        return view.coldSends.since(now - settings.fallWithin) + countedWork(job) <= ownBudget;
    }

    /** Charges the job to the worker's budget if the worker is cold. */
    void sent(WorkerView view, Job job, double now) {
        if (now < view.warmAt) {
            view.coldSends.add(now, countedWork(job));
        }
    }

    /**
     * A light hint may be an error. The jobs that fit into a small part would be those whose hints are too low, and
     * they would overload a cold worker. So a job counts as at least a mean one.
     */
    private double countedWork(Job job) {
        return job.slots * Math.max(job.hint, meanHint.mean());
    }
}
