package laneflow.decision;

import laneflow.decision.Dispatch.LoadReport;
import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Dispatch.State;
import laneflow.decision.Job.Attempt;

/**
 * What one dispatcher knows of one worker: its list entry, its reports, and the estimates of its speed and load
 * derived from them. It makes no decisions; {@link Logic} does.
 */
final class WorkerView extends Outstanding {
    /** Seconds after which a load report has lost half its weight and its free memory is no longer used. */
    static final double REPORT_HALF_LIFE = 1;
    /** Seconds added to a report's age, as it was taken before it arrived. */
    static final double REPORT_EXTRA_AGE = 0.5;

    /** Largest credible number of slots, waiting jobs, or jobs per second in a report. */
    static final double MAX_REPORTED_JOBS = 4096;
    /** Seconds that a report may take to arrive: it may or may not count jobs sent more recently than that. */
    static final double REPORT_LAG = 0.2;

    static final double MEAN_GAIN = 0.1; // Weight of a new value in a moving average.
    static final double WAIT_GAIN = 0.25; // Weight of one late start in the extra wait.
    /** Minimum remaining work of a job as a fraction of the work done: overdue jobs tend to go on. */
    static final double OVERDUE_REMAINDER = 0.5;

    /** Jobs after which an observation has lost about two thirds of its weight in a learned speed. */
    static final double SPEED_MEMORY_JOBS = 20;

    static final double MEAN_HALF_LIFE = 6; // Seconds without news after which a mean has lost half its weight.

    private final Settings settings;
    final long id;
    int zone;
    int kind;
    KindEstimates kindEstimates;
    int cell;
    long classes;
    long[] abilities;
    State state = State.GONE; // Until a list contains it.
    boolean down; // Set down by operators.
    double downAt = Double.NEGATIVE_INFINITY; // When operators last set it down.
    double upAt = Double.NEGATIVE_INFINITY; // When operators last set it up.
    double startedAt;
    double warmAt;
    int listRound;
    boolean indexed;
    int index;
    double probedAt = Double.NEGATIVE_INFINITY;
    double reportAt = Double.NEGATIVE_INFINITY;
    double othersInReport;
    double othersMean;
    ZoneLoad zoneLoad;
    double freeMemory;
    double memoryInReport;
    double extraWait;
    double extraWaitAt;
    double workRun;
    double timeRun;
    double fullUntil = Double.NEGATIVE_INFINITY;
    final OutlierState outlier = new OutlierState();
    final SendLog coldSends = new SendLog();

    WorkerView(long id, Settings settings) {
        this.id = id;
        this.settings = settings;
    }

    boolean isEligible() {
        return state == State.READY && !down;
    }

    /**
     * When the worker became cold. Lists arrive late, so one that was set down, probably for a restart, and shows
     * no start since counts as cold from when it was set up.
     */
    double coldSince() {
        return startedAt > downAt ? startedAt : Math.max(startedAt, upAt);
    }

    void recordWait(Attempt attempt, double now) {
        double wait = attempt.startedAt - attempt.sentAt;
        kindEstimates.recordWait(wait, attempt.queueWait, now);
        extraWait = extraWait(now) + WAIT_GAIN * (wait - attempt.expectedWait);
        extraWaitAt = now;
    }

    /** Seconds by which jobs start later here than expected, due to a queue that reports do not show. */
    double extraWait(double now) {
        double unseen = extraWait / (1 + (now - extraWaitAt) / REPORT_HALF_LIFE);
        for (int i = 0; i < ownCount; i++) {
            if (Double.isNaN(own[i].startedAt) && !own[i].lost) {
                unseen = Math.max(unseen, now - own[i].dueAt);
            }
        }
        return unseen;
    }

    void recordRun(double hint, double took) {
        workRun += hint - workRun / SPEED_MEMORY_JOBS;
        timeRun += took - timeRun / SPEED_MEMORY_JOBS;
    }

    /** The minimum fraction of its full capacity and speed, which rises from its start until it is warm. */
    double warmupFactor(double now) {
        double age = Math.max(0, now - coldSince());
        return now >= warmAt ? 1 : settings.coldShare + (1 - settings.coldShare) * age / settings.coldFor;
    }

    /** Work per second and slot, from this worker's observations mixed with its kind's mean. */
    double speed(double now) {
        return warmupFactor(now) * kindEstimates.speed(workRun, timeRun);
    }

    /**
     * Updates the estimates from a load report.
     *
     * @param ended the attempt whose end brought the report, still counted here; null for an independent report
     */
    void recordReport(LoadReport report, Attempt ended, double meanWork, double now) {
        // Impossible figures are rejected: kept as a maximum, one would distort the kind's estimates for good.
        if (!(report.freeSlots >= 0 && report.freeSlots <= MAX_REPORTED_JOBS) || report.queue > MAX_REPORTED_JOBS) {
            return;
        }
        kindEstimates.maxFreeSlots = Math.max(kindEstimates.maxFreeSlots, report.freeSlots);
        if (report.rate >= 0 && report.rate <= MAX_REPORTED_JOBS && now >= warmAt) {
            kindEstimates.recordThroughput(report.freeSlots, report.rate * meanWork);
        }
        freeMemory = Double.isNaN(report.freeMemory) ? Double.POSITIVE_INFINITY : report.freeMemory;
        double inReport = 0;
        double maybeInReport = 0;
        memoryInReport = 0;
        for (int i = 0; i < ownCount; i++) {
            if (own[i].lost) {
                continue;
            }
            if (own[i].sentAt <= now - REPORT_LAG) {
                inReport += own[i].job.slots;
                memoryInReport += own[i].job.memory;
            } else if (own[i] != ended || !Double.isNaN(own[i].startedAt)) {
                // An attempt that ended without a start, such as a declined one, never took a slot.
                maybeInReport += own[i].job.slots;
            }
        }
        double queue = report.queue > 0 ? report.queue : 0;
        kindEstimates.reportsQueue |= report.queue >= 0;
        // The report may or may not count the most recent own jobs. Attributed to other dispatchers as well, they would
        // be counted twice for as long as they run, and if everything else is refused no further report corrects
        // that. So the previous estimate is kept within the bounds that the report leaves.
        double most = Math.max(0, kindEstimates.slots() - report.freeSlots + queue - inReport);
        double least = Math.max(0, most - maybeInReport);
        recordOthers(Math.min(most, Math.max(least, otherSlots(now))), now);
    }

    /** Records the slots that other dispatchers' jobs take here, according to a report or an answer. */
    void recordOthers(double there, double now) {
        if (now >= warmAt) {
            zoneLoad.update(there / kindEstimates.slots(), now);
        }
        double before = zoneMeanSlots(now);
        before += (othersMean - before) / (1 + (now - reportAt) / MEAN_HALF_LIFE);
        othersMean = before + MEAN_GAIN * (there - before);
        othersInReport = there;
        reportAt = now;
    }

    /**
     * Slots that other dispatchers' jobs take here by the mean of the zone's workers of this kind. The mean fades:
     * a pool believed full would otherwise get no job, hence send no report, and stay that way. It is 0 for cold
     * workers, which would stand idle if assumed as loaded as the others.
     */
    double zoneMeanSlots(double now) {
        double age = (now - zoneLoad.reportedAt) / MEAN_HALF_LIFE;
        return now < warmAt ? 0 : zoneLoad.load * kindEstimates.slots() / (1 + age * age);
    }

    /** Slots of other dispatchers' jobs here: by the last report, tending with its age to the zone's mean. */
    double otherSlots(double now) {
        double mean = zoneMeanSlots(now);
        double age = now - reportAt;
        return mean
                + (othersMean - mean) / (1 + age / MEAN_HALF_LIFE)
                + (othersInReport - othersMean) / (1 + (age + REPORT_EXTRA_AGE) / REPORT_HALF_LIFE);
    }

    /** Remaining work of this dispatcher's jobs here. */
    double ownRemainingWork(double now, double speed) {
        double left = 0;
        for (int i = 0; i < ownCount; i++) {
            Attempt a = own[i];
            if (a.lost) {
                continue;
            }
            double done = Double.isNaN(a.startedAt) ? 0 : speed * (now - a.startedAt);
            // Without a minimum, the overdue jobs of a slow worker would look nearly done and attract more jobs.
            double rest = Math.max(OVERDUE_REMAINDER * done, a.job.hint - done);
            if (a.progress > 0) {
                // Progress shows the true length of a heavy job with a light hint, which would fill the queue
                // unnoticed.
                double time = (a.heardAt - a.startedAt) * (1 / a.progress - 1) - (now - a.heardAt);
                rest = speed * Math.max(0, time);
            }
            left += a.job.slots * rest;
        }
        return left;
    }

    void clearReport() {
        reportAt = Double.NEGATIVE_INFINITY;
        fullUntil = Double.NEGATIVE_INFINITY;
        outlier.clear();
        othersInReport = 0;
    }
}
