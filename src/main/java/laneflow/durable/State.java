package laneflow.durable;

/** The state of a durable job. The numbers are stored on disk, so their meaning never changes. */
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

    /** Whether the state is final; a late outcome may still replace UNKNOWN and FAILED. */
    public boolean isEnd() {
        return number >= DONE.number;
    }

    static State of(int number) {
        for (State state : values()) {
            if (state.number == number) {
                return state;
            }
        }
        throw new IllegalArgumentException("unknown state number " + number);
    }
}
