package laneflow.decision;

import laneflow.decision.Dispatch.Settings;

/**
 * Slow start: a cold worker falls over from the sum of all dispatchers' sends, and none sees the others'.
 * What fells it, the n mean jobs that multiple x present capacity x span allow and what comes by chance
 * (two roots of n, and two), is cut into parts that hold some jobs. They go to dispatchers in the order
 * of their numbers, shifted by the worker's start, so all agree unasked. A budget that grows adds parts
 * and changes none, so those of one span never add up to more. Every send counts. The dispatchers' zones
 * are not told and may be one. Instants are seconds of the module's clock.
 */
final class SlowStart {
    /** Share used of what fells a cold worker: hints are rough, capacity is guessed from slots, not cores. */
    private static final double SHARE = 0.9;
    /** Of that, all that may be used while sends of before a restart still count at the worker. */
    private static final double SHARE_AFTER_RESTART = 0.5;
    /** Mean jobs that a part of a budget holds at least. */
    private static final double JOBS_IN_PART = 2;
    /** Any large prime: dispatchers of neighbouring numbers, maybe of one zone, share different workers. */
    private static final long NUMBER_SPREAD = 7919;

    private final Settings settings;
    private final MeanHint meanHint;
    /** Of this dispatcher's budgets, while another process works under its number. */
    private double part = 1;

    private double startedAt = Double.NEGATIVE_INFINITY;

    SlowStart(Settings settings, MeanHint meanHint) {
        this.settings = settings;
        this.meanHint = meanHint;
    }

    /** This dispatcher has started: what it sent before is not known, and counts at workers for a while. */
    void start(double now) {
        startedAt = now;
    }

    /** Another process works under this dispatcher's number: this one's part of what both may do. */
    void share(double of) {
        part = of;
    }

    /** Whether the job fits into what this dispatcher may send that cold worker now. */
    boolean allows(WorkerView view, Job job, double now) {
        double mean = meanHint.cautious();
        double cores = view.warmth(now) * view.peers.capacity();
        double n = settings.fallMultiple * cores * settings.fallWithin / mean;
        double afresh = now < startedAt + settings.fallWithin ? SHARE_AFTER_RESTART : 1;
        double budget = afresh * SHARE * (n + 2 * Math.sqrt(n) + 2) * mean;
        double each = Math.max(JOBS_IN_PART * meanHint.mean(), budget / settings.dispatchers);
        long first = (view.id * 0x9E3779B97F4A7C15L ^ Double.doubleToLongBits(view.startedAt)) >>> 16;
        long before = (settings.dispatcherIndex * NUMBER_SPREAD + first) % settings.dispatchers;
        double mine = part * Math.min(each, budget - before * each);
        return view.coldLog.since(now - settings.fallWithin) + cost(job) <= mine;
    }

    /** The job goes to that worker: if it is cold it uses up a part of its budget. */
    void sent(WorkerView view, Job job, double now) {
        if (now < view.warmAt) {
            view.coldLog.add(now, cost(job));
        }
    }

    /**
     * A light hint may be an error: of what fits into a small part the true work is more, and a cold worker
     * filled by light hints would fall. Such a job counts as a mean one.
     */
    private double cost(Job job) {
        return job.slots * Math.max(job.hint, meanHint.mean());
    }
}
