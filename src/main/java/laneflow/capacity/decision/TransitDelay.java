package laneflow.capacity.decision;

/**
 * Estimates how much longer than the fastest message one from a given sender was in transit, from the drift of
 * the sender's timestamps against the local clock (as LEDBAT does, RFC 6817); the clocks' absolute values do
 * not matter. A jump of the sender's clock can make reports look older until the minimum is learned again,
 * never younger.
 */
final class TransitDelay {
    private static final long STAMP_UNIT_MICROS = 1000;
    /** The minimum covers the current and the previous interval. */
    private static final long INTERVAL_MICROS = 30_000_000;

    private long minOffset = Long.MAX_VALUE;
    private long nextMinOffset = Long.MAX_VALUE;
    private long intervalEnd = Long.MIN_VALUE;
    private int firstStamp;
    private boolean initialized;

    /** Returns the delay beyond the minimum. */
    long excessMicros(long now, int stamp) {
        if (!initialized) {
            initialized = true;
            firstStamp = stamp;
        }
        long offset = now - (stamp - firstStamp) * STAMP_UNIT_MICROS;
        if (now >= intervalEnd) {
            minOffset = Math.min(nextMinOffset, offset);
            nextMinOffset = offset;
            intervalEnd = now + INTERVAL_MICROS;
        }
        minOffset = Math.min(minOffset, offset);
        nextMinOffset = Math.min(nextMinOffset, offset);
        return offset - minOffset;
    }
}
