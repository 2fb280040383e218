package laneflow.capacity.decision;

/**
 * How much longer than the quickest a datagram of one sender was under way, by how its clock's stamps move
 * against this clock (as LEDBAT does, RFC 6817): what the two clocks show does not matter. A stamp that jumps
 * makes news older until the least is learned anew, never younger.
 */
final class Delays {
    private static final long STAMP = 1000;
    /** So long the quickest one holds; then the quickest since the span before. */
    private static final long SPAN = 30_000_000;

    private long least = Long.MAX_VALUE;
    private long nextLeast = Long.MAX_VALUE;
    private long spanEnds = Long.MIN_VALUE;
    private int firstStamp;
    private boolean begun;

    /** Microseconds. */
    long excess(long now, int stamp) {
        if (!begun) {
            begun = true;
            firstStamp = stamp;
        }
        long offset = now - (stamp - firstStamp) * STAMP;
        if (now >= spanEnds) {
            least = Math.min(nextLeast, offset);
            nextLeast = offset;
            spanEnds = now + SPAN;
        }
        least = Math.min(least, offset);
        nextLeast = Math.min(nextLeast, offset);
        return offset - least;
    }
}
