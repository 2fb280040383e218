package laneflow.net;

import java.util.ArrayDeque;

/**
 * Arrival times of the bytes buffered in a connection's input ring. Bytes are addressed by their offset in the
 * connection's whole input stream.
 */
final class ArrivalTimes {
    /** Reads this close together share one entry, so that a byte-by-byte sender does not cost an entry per byte. */
    private static final long RESOLUTION_US = 1000;

    private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();

    /** The bytes from the previous entry's end offset up to this one's, exclusive, arrived at {@code instant}. */
    private record Arrival(long end, long instant) {}

    /**
     * Records that the input stream has arrived up to an offset.
     *
     * @param end stream offset behind the last byte that has arrived
     * @param now time of arrival, microseconds
     * @param consumed stream offset of the first byte not yet consumed; entries before it are discarded
     */
    void add(long end, long now, long consumed) {
        while (!arrivals.isEmpty() && arrivals.peekFirst().end <= consumed) {
            arrivals.removeFirst();
        }
        long instant = now;
        if (!arrivals.isEmpty() && now - arrivals.peekLast().instant < RESOLUTION_US) {
            instant = arrivals.removeLast().instant;
        }
        arrivals.addLast(new Arrival(end, instant));
    }

    /** Returns when the byte before this stream offset arrived, microseconds, or the fallback if that is unknown. */
    long arrivalBefore(long end, long fallback) {
        for (Arrival arrival : arrivals) {
            if (arrival.end >= end) {
                return arrival.instant;
            }
        }
        return fallback;
    }
}
