package laneflow.decision;

/** What is seen of one kind of worker. */
final class Kind {
    /** Some class runs on no other kind. */
    boolean soleHost;
    double slotsSeen;
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
        work += jobWork - work / Logic.SPEED_MEMORY;
        time += took - time / Logic.SPEED_MEMORY;
    }

    void waited(double wait, double foreseen, double now) {
        waitSeen += Logic.WAIT_MEMORY * (wait - waitSeen);
        waitForeseen += Logic.WAIT_MEMORY * (foreseen - waitForeseen);
        waitedAt = now;
    }

    /** Slots of a worker of this kind, one if none was ever reported. */
    double slots() {
        return Math.max(1, slotsSeen);
    }

    double speed() {
        return work / time;
    }

    /** Standard cores that a warm worker of this kind is seen to bear. */
    double capacity() {
        return slotsSeen > 0 ? slotsSeen * speed() : Logic.UNKNOWN_CAPACITY;
    }
}
