package laneflow.decision;

import laneflow.decision.Job.Attempt;

/** How long jobs are held to wait and to run, in seconds; instants are seconds of the module's clock. */
final class TimeEstimates {
    /** Four times the square of the mean excess of a normal draw, in its spreads: 4 x 0.4 x 0.4. */
    private static final double QUEUE_CHANCE = 0.64;

    private final MeanHint meanHint;

    TimeEstimates(MeanHint meanHint) {
        this.meanHint = meanHint;
    }

    /** Seconds until this worker would start the job. */
    double wait(WorkerView view, Job job, double now) {
        return Math.max(0, queueWait(view, job, now) * view.peers.waitScale(now) + view.unseenWait(now));
    }

    /** Seconds that the work known of makes it wait: the mean job's rest for each one too many. */
    double queueWait(WorkerView view, Job job, double now) {
        double slots = view.peers.slots();
        double others = view.others(now);
        double jobsAhead = view.ownSlots + others;
        double over = jobsAhead + job.slots - slots;
        // Siblings' jobs not in a fresh report come by chance: the more are unseen, the likelier is a queue.
        double seen = 1 / (1 + (now - view.reportAt) / WorkerView.REPORT_AGE);
        over = (over + Math.sqrt(over * over + QUEUE_CHANCE * others * (1 - seen * seen))) / 2;
        if (over <= 0 || jobsAhead <= 0) {
            return 0;
        }
        double speed = view.speed(now);
        double mean = (view.ownRemaining(now, speed) + others * meanHint.mean()) / jobsAhead;
        if (view.ownSlots + job.slots <= slots) {
            // It waits for siblings' jobs alone: these are not as long as the own ones that run beside them.
            mean = Math.min(mean, meanHint.mean());
        }
        return over * mean / (slots * speed);
    }

    /**
     * Seconds that a job ran whose start is not told. With nothing learned a slow kind would count as a standard one,
     * and its cold workers be sent too much; so the wait is taken as foreseen. But one that ended sooner than foreseen
     * waited less: held to have run in no time it would make its kind look many times as fast.
     */
    double run(Attempt attempt, double now) {
        double elapsed = Math.min(now, attempt.answeredAt) - attempt.sentAt;
        double foreseenRun = attempt.job.hint / attempt.view.speed(now);
        return Math.min(elapsed, Math.max(elapsed - attempt.wait, foreseenRun));
    }
}
