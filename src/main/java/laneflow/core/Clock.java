package laneflow.core;

/**
 * The loop's clock: whole microseconds, monotonic, the same for all that happens in one turn. Its origin is
 * Unix time at the start, so that a start told in Unix time reads alike at every scheduler.
 */
public interface Clock {
    /** Microseconds, as of this turn. */
    long micros();

    /**
     * The same clock read at this very instant, where it can be: a turn may have lasted. Never before
     * {@link #micros}.
     */
    default long currentMicros() {
        return micros();
    }

    /** An instant in the module's seconds. */
    static double seconds(long micros) {
        return micros / 1e6;
    }
}
