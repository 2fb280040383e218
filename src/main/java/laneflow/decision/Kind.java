package laneflow.decision;

/** What is seen of one kind of worker. */
final class Kind {
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
    private double work = Logic.SPEED_PRIOR;
    private double time = Logic.SPEED_PRIOR;
    double waitSeen;
    double waitForeseen;
    double waitedAt;

    void ran(double jobWork, double took) {
        work += jobWork - work / WorkerView.SPEED_MEMORY;
        time += took - time / WorkerView.SPEED_MEMORY;
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

    /** Standard cores that a warm worker of this kind is seen to bear. */
    double capacity() {
        return slotsSeen > 0 ? slots() * speed() : Logic.UNKNOWN_CAPACITY;
    }

    /**
     * Times the known work ahead that jobs wait: siblings' jobs and the queue's order are unseen. Found slow
     * to start a kind would get no job, and stay shut out: without a start to renew it the scale fades.
     */
    double waitScale(double now) {
        double prior = tellsQueue ? Logic.QUEUE_TOLD * Logic.WAIT_PRIOR : Logic.WAIT_PRIOR;
        double scale = (waitSeen + prior) / (waitForeseen + prior);
        return 1 + (scale - 1) / (1 + (now - waitedAt) / WorkerView.MEAN_AGE);
    }
}
