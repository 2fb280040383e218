package laneflow.durable;

/** Where a durable job stands. The numbers are on disk and never change their meaning. */
public enum State {
    QUEUED(0),
    RUNNING(1),
    DONE(2),
    FAILED(3),
    UNKNOWN(4),
    CANCELLED(5);

    public final int number;

    State(int number) {
        this.number = number;
    }

    /** True once it is at an end; a late word may still make another end of UNKNOWN and FAILED. */
    public boolean isEnd() {
        return number >= DONE.number;
    }

    static State of(int number) {
        for (State state : values()) {
            if (state.number == number) {
                return state;
            }
        }
        throw new IllegalArgumentException("no state has the number " + number);
    }
}
