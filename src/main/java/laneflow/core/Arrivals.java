package laneflow.core;

/** How many requests came of late, in half seconds: shows where another scheduler's clients have come. */
final class Arrivals {
    private static final long BUCKET = 500_000;
    private static final int RECENT = 4;
    private static final int BEFORE = 12;
    /** Fewer recent requests than that show nothing. */
    private static final int LEAST = 20;
    /** Times the rate before: with one scheduler of three away the others have 1.5 times theirs. */
    private static final double SURGE = 1.4;

    private final int[] counts = new int[1 + RECENT + BEFORE];
    private long bucket = Long.MIN_VALUE;
    /** The half second of the first request of all: before it there is nothing to compare with. */
    private long first = Long.MAX_VALUE;

    void add(long now) {
        roll(now);
        first = Math.min(first, bucket);
        counts[(int) (bucket % counts.length)]++;
    }

    private void roll(long now) {
        long to = now / BUCKET;
        for (long at = Math.max(bucket + 1, to - counts.length + 1); at <= to; at++) {
            counts[(int) (at % counts.length)] = 0;
        }
        bucket = to;
    }

    /**
     * True if the last two seconds brought clearly more than the six before did, or as many of these as there
     * were. A start must not look like a surge.
     */
    boolean surge(long now) {
        roll(now);
        int recent = 0;
        int before = 0;
        int known = 0;
        // The present half second is not over and would speak for calm.
        for (int i = 1; i < counts.length; i++) {
            int count = counts[(int) ((bucket - i) % counts.length)];
            recent += i <= RECENT ? count : 0;
            before += i <= RECENT ? 0 : count;
            known += i > RECENT && bucket - i > first ? 1 : 0;
        }
        return recent >= LEAST && known >= RECENT && recent * known > SURGE * before * RECENT;
    }
}
