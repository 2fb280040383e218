package laneflow.net;

import java.util.ArrayDeque;

/** When the bytes that wait in a connection's ring arrived, by their running numbers. */
final class ArrivalTimes {
    /** Reads within so many microseconds count as one: bytes that come singly take no room each. */
    private static final long RESOLUTION_US = 1000;

    private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();

    /** All bytes before that running number, behind those of the arrival before it, came at that instant. */
    private record Arrival(long end, long instant) {}

    /**
     * Bytes up to that running number have arrived.
     *
     * @param taken the running number of the first byte that is still of interest
     * @param now the instant, microseconds
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

    /** When the byte before that running number arrived, microseconds; the given instant if not known. */
    long arrivalBefore(long end, long fallback) {
        for (Arrival arrival : arrivals) {
            if (arrival.end >= end) {
                return arrival.instant;
            }
        }
        return fallback;
    }
}
