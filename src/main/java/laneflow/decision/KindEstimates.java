package laneflow.decision;

/** Estimates learned for one kind of worker. */
final class KindEstimates {
    /** Weight of a new job in the mean work of a job. */
    private static final double WORK_GAIN = 0.02;
    /** Seconds of work at standard speed assumed at first, so that one short job does not make a kind look fast. */
    private static final double SPEED_PRIOR = 2;
    /** Fraction of the assumed speed that counts toward capacity before any job has run. */
    private static final double SPEED_TRUSTED = 0.6;
    /** Seconds of the kind's mean speed that are mixed into the observations of one worker. */
    private static final double KIND_WEIGHT = 3;
    /** Seconds added to the observed and the expected mean wait, so that tiny waits leave the scale near 1. */
    private static final double WAIT_PRIOR = 0.05;
    /** Factor on {@link #WAIT_PRIOR} where reports state the queue: then the expected wait is more reliable. */
    private static final double QUEUE_REPORTED_FACTOR = 4;
    /** Longest time, in seconds, that a worker counts as full after answering 'full', even if jobs are long. */
    private static final double MAX_FULL_SECONDS = 0.3;
    /** Some class runs on no other kind. */
    boolean soleHost;

    double maxFreeSlots;
    /** Means over reports of free slots and of work served per second; 0 before the first report. */
    private double meanFreeSlots;

    private double meanWorkRate;
    /** Greatest listed weight; where weights are live, that of an idle worker. */
    double maxWeight;
    /** Its reports state how many requests wait. */
    boolean reportsQueue;

    private double work = SPEED_PRIOR;
    private double time = SPEED_PRIOR;
    /** Seconds of {@link #work} and {@link #time} that are still the initial assumption. */
    private double assumed = SPEED_PRIOR;
    /** Mean work of the jobs that ran on its workers, in seconds on a standard core; 0 before the first. */
    private double meanWork;

    double meanObservedWait;
    double meanExpectedWait;
    double waitedAt;

    void recordRun(double jobWork, double took) {
        meanWork += (meanWork > 0 ? WORK_GAIN : 1) * (jobWork - meanWork);
        work += jobWork - work / WorkerView.SPEED_MEMORY_JOBS;
        time += took - time / WorkerView.SPEED_MEMORY_JOBS;
        assumed -= assumed / WorkerView.SPEED_MEMORY_JOBS;
    }

    void recordWait(double wait, double expected, double now) {
        meanObservedWait += Logic.WAIT_MEAN_GAIN * (wait - meanObservedWait);
        meanExpectedWait += Logic.WAIT_MEAN_GAIN * (expected - meanExpectedWait);
        waitedAt = now;
    }

    void recordThroughput(double free, double served) {
        double gain = meanWorkRate > 0 ? WorkerView.MEAN_GAIN : 1;
        meanFreeSlots += gain * (free - meanFreeSlots);
        meanWorkRate += gain * (served - meanWorkRate);
    }

    /**
     * Slots of a worker of this kind; 1 if none was ever reported. The highest reported number of free slots is
     * too low if no worker has been idle since the start. By Little's law the busy slots are the work served per
     * second divided by the speed.
     */
    double slots() {
        return Math.max(1, Math.max(maxFreeSlots, meanFreeSlots + meanWorkRate / speed()));
    }

    double speed() {
        return work / time;
    }

    /** The kind's speed combined with the observations of one worker: its work done and the seconds it took. */
    double speed(double workSeen, double timeSeen) {
        return (workSeen + KIND_WEIGHT * speed()) / (timeSeen + KIND_WEIGHT);
    }

    /** Mean seconds until a slot becomes free if all are taken; 0 before the first job. */
    double slotTime() {
        return meanWork / (slots() * speed());
    }

    /** Seconds that a worker counts as full after answering 'full': the mean time until a slot becomes free. */
    double fullSeconds() {
        return meanWork > 0 ? Math.min(MAX_FULL_SECONDS, slotTime()) : MAX_FULL_SECONDS;
    }

    /**
     * Estimated capacity of a warm worker of this kind, in standard cores. While the speed is mostly assumed, only
     * a fraction of it counts: a cold worker whose capacity is estimated at twice the true value is overloaded.
     */
    double capacity() {
        double part = assumed / time;
        double trusted = 1 - (1 - SPEED_TRUSTED) * part * part;
        return maxFreeSlots > 0 ? slots() * speed() * trusted : Logic.UNKNOWN_CAPACITY;
    }

    /**
     * Ratio of observed to expected waits. It covers what is not known: other dispatchers' jobs and the order of
     * the queue. The ratio fades toward 1 while no job starts; a kind found slow to start would otherwise get no
     * job and never recover.
     */
    double waitScale(double now) {
        double prior = reportsQueue ? QUEUE_REPORTED_FACTOR * WAIT_PRIOR : WAIT_PRIOR;
        double scale = (meanObservedWait + prior) / (meanExpectedWait + prior);
        return 1 + (scale - 1) / (1 + (now - waitedAt) / WorkerView.MEAN_HALF_LIFE);
    }
}
