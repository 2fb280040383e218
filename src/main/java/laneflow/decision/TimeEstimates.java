package laneflow.decision;

import laneflow.decision.Job.Attempt;

/** Estimates of waiting and running times in seconds; times are in seconds on the module's clock. */
final class TimeEstimates {
    /** 4 x 0.4 x 0.4, where 0.4 is the mean positive part of a standard normal variable. */
    private static final double QUEUE_VARIANCE_FACTOR = 0.64;

    private final MeanHint meanHint;

    TimeEstimates(MeanHint meanHint) {
        this.meanHint = meanHint;
    }

    /** Expected seconds until this worker would start the job. */
    double wait(WorkerView view, Job job, double now) {
        return Math.max(0, queueWait(view, job, now) * view.kindEstimates.waitScale(now) + view.extraWait(now));
    }

    /** Expected wait due to known work: mean remaining work of a job per excess slot, at the worker's throughput. */
    double queueWait(WorkerView view, Job job, double now) {
        double slots = view.kindEstimates.slots();
        double otherSlots = view.otherSlots(now);
        double jobsAhead = view.ownSlots + otherSlots;
        double excess = jobsAhead + job.slots - slots;
        // Other dispatchers' jobs that no fresh report shows vary at random: the more there are, the likelier is a
        // queue.
        double seen = 1 / (1 + (now - view.reportAt) / WorkerView.REPORT_HALF_LIFE);
        excess = (excess + Math.sqrt(excess * excess + QUEUE_VARIANCE_FACTOR * otherSlots * (1 - seen * seen))) / 2;
        if (excess <= 0 || jobsAhead <= 0) {
            return 0;
        }
        double speed = view.speed(now);
        double mean = (view.ownRemainingWork(now, speed) + otherSlots * meanHint.mean()) / jobsAhead;
        if (view.ownSlots + job.slots <= slots) {
            // It waits only for other dispatchers' jobs, which need not be as long as this one's own long jobs there.
            mean = Math.min(mean, meanHint.mean());
        }
        return excess * mean / (slots * speed);
    }

    /**
     * Running time of a job whose start was not reported. Learning nothing would leave a slow kind at the standard
     * speed, and its cold workers would get too much; so the wait is assumed to be as expected. A job that ended
     * sooner than expected waited less: taken to have run in no time, it would make its kind look many times as fast.
     */
    double runTime(Attempt attempt, double now) {
        double elapsed = Math.min(now, attempt.answeredAt) - attempt.sentAt;
        double expectedRun = attempt.job.hint / attempt.view.speed(now);
        return Math.min(elapsed, Math.max(elapsed - attempt.expectedWait, expectedRun));
    }
}
