package laneflow.decision;

/** What is seen of one kind of worker. */
final class KindEstimates {
    /** Say of a job in the mean work of those that ran here. */
    private static final double WORK_GAIN = 0.02;
    /** Seconds of work at standard speed that a kind starts with: a lucky job must not make it look fast. */
    private static final double SPEED_PRIOR = 2;
    /** Part of an assumed speed that a capacity is reckoned with, where no job has shown any. */
    private static final double SPEED_TRUSTED = 0.6;
    /** Seconds of its kind's speed that weigh in with what was seen of one worker. */
    private static final double KIND_SAY = 3;
    /** Seconds added to waits seen and foreseen: where there are hardly any, what is foreseen is believed. */
    private static final double WAIT_PRIOR = 0.05;
    /** Times as many where reports tell of queues: then more of the wait is foreseen. */
    private static final double QUEUE_TOLD = 4;
    /** Seconds for which an answer 'full' is believed at most, also where jobs are long. */
    private static final double LONGEST_FULL = 0.3;
    /** Some class runs on no other kind. */
    boolean soleHost;

    double slotsSeen;
    /** Mean of free slots and of the work that is served a second, over reports; 0 before the first. */
    private double slotsFree;

    private double workServed;
    /** Greatest weight listed: where weights are live, that of an idle worker. */
    double sizeSeen;
    /** Its reports tell how many requests wait. */
    boolean tellsQueue;

    private double work = SPEED_PRIOR;
    private double time = SPEED_PRIOR;
    /** Seconds of these two that are still the assumption they started with. */
    private double assumed = SPEED_PRIOR;
    /** Mean work of the jobs that ran on its workers, seconds of a standard core; 0 before the first. */
    private double meanWork;

    double waitSeen;
    double waitForeseen;
    double waitedAt;

    void ran(double jobWork, double took) {
        meanWork += (meanWork > 0 ? WORK_GAIN : 1) * (jobWork - meanWork);
        work += jobWork - work / WorkerView.SPEED_MEMORY;
        time += took - time / WorkerView.SPEED_MEMORY;
        assumed -= assumed / WorkerView.SPEED_MEMORY;
    }

    void waited(double wait, double foreseen, double now) {
        waitSeen += Logic.WAIT_MEMORY * (wait - waitSeen);
        waitForeseen += Logic.WAIT_MEMORY * (foreseen - waitForeseen);
        waitedAt = now;
    }

    void busy(double free, double served) {
        double gain = workServed > 0 ? WorkerView.OTHERS_GAIN : 1;
        slotsFree += gain * (free - slotsFree);
        workServed += gain * (served - workServed);
    }

    /**
     * Slots of a worker of this kind, one if none was ever reported. The most seen free are too few where
     * nobody was idle since the start; Little's law tells those at work: work served a second by its speed.
     */
    double slots() {
        return Math.max(1, Math.max(slotsSeen, slotsFree + workServed / speed()));
    }

    double speed() {
        return work / time;
    }

    /** The same with what was seen of one worker: work that it did, and the seconds that this took. */
    double speed(double workSeen, double timeSeen) {
        return (workSeen + KIND_SAY * speed()) / (timeSeen + KIND_SAY);
    }

    /** Seconds until one of its slots comes free, in the mean, if all are taken; 0 before the first job. */
    double slotTime() {
        return meanWork / (slots() * speed());
    }

    /** Seconds for which an answer 'full' is believed: what it takes until one of its slots comes free. */
    double fullFor() {
        return meanWork > 0 ? Math.min(LONGEST_FULL, slotTime()) : LONGEST_FULL;
    }

    /**
     * Standard cores that a warm worker of this kind is seen to bear. While its speed is mostly assumed, only
     * a part of it is trusted: a cold worker that is taken for twice as strong as it is falls over.
     */
    double capacity() {
        double part = assumed / time;
        double trusted = 1 - (1 - SPEED_TRUSTED) * part * part;
        return slotsSeen > 0 ? slots() * speed() * trusted : Logic.UNKNOWN_CAPACITY;
    }

    /**
     * Times the known work ahead that jobs wait: siblings' jobs and the queue's order are unseen. Found slow
     * to start a kind would get no job, and stay shut out: without a start to renew it the scale fades.
     */
    double waitScale(double now) {
        double prior = tellsQueue ? QUEUE_TOLD * WAIT_PRIOR : WAIT_PRIOR;
        double scale = (waitSeen + prior) / (waitForeseen + prior);
        return 1 + (scale - 1) / (1 + (now - waitedAt) / WorkerView.MEAN_AGE);
    }
}
