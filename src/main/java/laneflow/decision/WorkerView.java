package laneflow.decision;

import laneflow.decision.Dispatch.LoadReport;
import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Dispatch.State;
import laneflow.decision.Job.Attempt;

/**
 * What one scheduler knows of one worker: its entry in the list, its reports, and the estimates of its speed
 * and load that follow from them. It decides nothing; {@link Logic} does.
 */
final class WorkerView extends Outstanding {
    /** Seconds in which a load report has lost half its weight, and after which its free memory is void. */
    static final double REPORT_AGE = 1;
    /** Seconds that a report is held to be older than its arrival: it was taken before and came late. */
    static final double REPORT_STALE = 0.5;

    static final double MOST_TOLD = 4096; // Slots or waiting jobs that a report may tell of.
    /** Seconds that a report may have been taken before it arrives: own sends younger than that may be in it. */
    static final double REPORT_LAG = 0.2;

    static final double OTHERS_GAIN = 0.1; // Say of a new report in the mean of what siblings keep there.
    static final double WAIT_GAIN = 0.25; // Say of one late start in the wait that is not foreseen.
    static final double OVERDUE_LEFT = 0.5; // Of what an overdue job ran: what ran long goes on.
    /** Jobs after which an observation has lost about two thirds of its say in a learned speed. */
    static final double SPEED_MEMORY = 20;

    static final double MEAN_AGE = 6; // Seconds unheard in which a mean has lost half its weight.

    private final Settings settings;
    final long id;
    int zone;
    int kind;
    KindEstimates peers;
    int cell;
    long classes;
    long[] abilities;
    State state = State.GONE; // Until a list names it.
    boolean down; // By operators.
    double downAt = Double.NEGATIVE_INFINITY; // When they last set it down,
    double backAt = Double.NEGATIVE_INFINITY; // and up.
    double startedAt;
    double warmAt;
    int listRound;
    boolean indexed;
    int index;
    double probedAt = Double.NEGATIVE_INFINITY;
    double reportAt = Double.NEGATIVE_INFINITY;
    double othersInReport;
    double othersMean;
    ZoneLoad crowd;
    double freeMemory;
    double memoryInReport;
    double missed;
    double missedAt;
    double workRun;
    double timeRun;
    double fullUntil = Double.NEGATIVE_INFINITY;
    final OutlierState outlier = new OutlierState();
    final SendLog coldLog = new SendLog();

    WorkerView(long id, Settings settings) {
        this.id = id;
        this.settings = settings;
    }

    boolean isEligible() {
        return state == State.READY && !down;
    }

    /** Lists are late: set down to be restarted, and not told of a start since, it counts as cold. */
    double coldSince() {
        return startedAt > downAt ? startedAt : Math.max(startedAt, backAt);
    }

    void waited(Attempt attempt, double now) {
        double wait = attempt.startedAt - attempt.sentAt;
        peers.waited(wait, attempt.queueWait, now);
        missed = unseenWait(now) + WAIT_GAIN * (wait - attempt.wait);
        missedAt = now;
    }

    /** Seconds by which jobs start later than foreseen here: the queue that reports do not show. */
    double unseenWait(double now) {
        double unseen = missed / (1 + (now - missedAt) / REPORT_AGE);
        for (int i = 0; i < ownCount; i++) {
            if (Double.isNaN(own[i].startedAt) && !own[i].lost) {
                unseen = Math.max(unseen, now - own[i].dueAt);
            }
        }
        return unseen;
    }

    void ran(double hint, double took) {
        workRun += hint - workRun / SPEED_MEMORY;
        timeRun += took - timeRun / SPEED_MEMORY;
    }

    /** The part of its capacity, and so of its speed, that it has at least: it rises from its start. */
    double warmth(double now) {
        double age = Math.max(0, now - coldSince());
        return now >= warmAt ? 1 : settings.coldShare + (1 - settings.coldShare) * age / settings.coldFor;
    }

    /** Work a second and slot: what was seen of this worker, with some seconds of its kind's mean. */
    double speed(double now) {
        return warmth(now) * peers.speed(workRun, timeRun);
    }

    /**
     * Takes a report in.
     *
     * @param ended the attempt whose end brought it, still counted here; null for one that came by itself
     */
    void take(LoadReport report, Attempt ended, double meanWork, double now) {
        // What no worker can have is spoilt: kept as the most seen it would blind its kind for good.
        if (!(report.freeSlots >= 0 && report.freeSlots <= MOST_TOLD) || report.queue > MOST_TOLD) {
            return;
        }
        peers.slotsSeen = Math.max(peers.slotsSeen, report.freeSlots);
        if (report.rate >= 0 && report.rate <= MOST_TOLD && now >= warmAt) {
            peers.busy(report.freeSlots, report.rate * meanWork);
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
                // One that ended without a start, such as one declined, never took a slot.
                maybeInReport += own[i].job.slots;
            }
        }
        double queue = report.queue > 0 ? report.queue : 0;
        peers.tellsQueue |= report.queue >= 0;
        // Own jobs that the report may count or not: taken for siblings' too, they would fill the worker twice for
        // as long as they run. Nothing would correct that where all else is refused, as no further report comes.
        // So what the report leaves open stays as it was held before.
        double most = Math.max(0, peers.slots() - report.freeSlots + queue - inReport);
        double least = Math.max(0, most - maybeInReport);
        taken(Math.min(most, Math.max(least, others(now))), now);
    }

    /** Siblings' jobs there, of which a report or an answer tells. */
    void taken(double there, double now) {
        if (now >= warmAt) {
            crowd.reported(there / peers.slots(), now);
        }
        double before = crowdMean(now);
        before += (othersMean - before) / (1 + (now - reportAt) / MEAN_AGE);
        othersMean = before + OTHERS_GAIN * (there - before);
        othersInReport = there;
        reportAt = now;
    }

    /**
     * Slots that siblings' jobs take on the mean of the crowd. Held full for ever a pool would get no
     * job, so no report: the mean fades. Cold workers held as full as their crowd would stand idle.
     */
    double crowdMean(double now) {
        double age = (now - crowd.heardAt) / MEAN_AGE;
        return now < warmAt ? 0 : crowd.load * peers.slots() / (1 + age * age);
    }

    /** Slots of the siblings' jobs here: the last report's, with age the mean of its crowd's. */
    double others(double now) {
        double mean = crowdMean(now);
        double age = now - reportAt;
        return mean
                + (othersMean - mean) / (1 + age / MEAN_AGE)
                + (othersInReport - othersMean) / (1 + (age + REPORT_STALE) / REPORT_AGE);
    }

    /** Work left of this dispatcher's jobs here. */
    double ownRemaining(double now, double speed) {
        double left = 0;
        for (int i = 0; i < ownCount; i++) {
            Attempt a = own[i];
            if (a.lost) {
                continue;
            }
            double done = Double.isNaN(a.startedAt) ? 0 : speed * (now - a.startedAt);
            // Nearly done for ever, the jobs of a worker grown slow would draw more to it.
            double rest = Math.max(OVERDUE_LEFT * done, a.job.hint - done);
            if (a.share > 0) {
                // A heavy job with a light hint would fill the queue unseen: progress tells its length.
                double time = (a.heardAt - a.startedAt) * (1 / a.share - 1) - (now - a.heardAt);
                rest = speed * Math.max(0, time);
            }
            left += a.job.slots * rest;
        }
        return left;
    }

    void forgetReport() {
        reportAt = Double.NEGATIVE_INFINITY;
        fullUntil = Double.NEGATIVE_INFINITY;
        outlier.clear();
        othersInReport = 0;
    }
}
