package laneflow.core;

/**
 * The loop's clock: whole microseconds, monotonic, constant during a turn of the loop. It starts from Unix time,
 * so that an endpoint's start time, which is reported in Unix time, means the same at every scheduler.
 */
public interface Clock {
    /** The time at the beginning of this turn, in microseconds. */
    long micros();

    /**
     * The same clock read now, where the implementation can do so: a turn may take long. Never before
     * {@link #micros}.
     */
    default long currentMicros() {
        return micros();
    }

    /** Converts an instant to the seconds used by the decision module. */
    static double seconds(long micros) {
        return micros / 1e6;
    }
}
