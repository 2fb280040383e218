package laneflow.core;

/**
 * Counts arriving requests in buckets of half a second. A surge suggests that another scheduler is down and its
 * clients have moved here.
 */
final class Arrivals {
    private static final long BUCKET_MICROS = 500_000;
    private static final int RECENT_BUCKETS = 4;
    private static final int EARLIER_BUCKETS = 12;
    /** Fewer recent requests than this are not enough to detect a surge. */
    private static final int MIN_RECENT = 20;
    /** Multiple of the earlier rate: when one of three schedulers is down, the others get 1.5 times theirs. */
    private static final double SURGE_FACTOR = 1.4;

    private final int[] counts = new int[1 + RECENT_BUCKETS + EARLIER_BUCKETS];
    private long bucket = Long.MIN_VALUE;
    /** The bucket of the first request ever: earlier buckets hold nothing to compare with. */
    private long firstBucket = Long.MAX_VALUE;

    void add(long now) {
        advance(now);
        firstBucket = Math.min(firstBucket, bucket);
        counts[(int) (bucket % counts.length)]++;
    }

    private void advance(long now) {
        long to = now / BUCKET_MICROS;
        for (long at = Math.max(bucket + 1, to - counts.length + 1); at <= to; at++) {
            counts[(int) (at % counts.length)] = 0;
        }
        bucket = to;
    }

    /**
     * True if the rate over the last two seconds is clearly above that of the six seconds before, or of as many
     * of them as have passed since the first request, so that a start does not look like a surge.
     */
    boolean isSurge(long now) {
        advance(now);
        int recent = 0;
        int earlier = 0;
        int knownBuckets = 0;
        // The current bucket is left out: it is not complete and would lower the recent rate.
        for (int i = 1; i < counts.length; i++) {
            int count = counts[(int) ((bucket - i) % counts.length)];
            recent += i <= RECENT_BUCKETS ? count : 0;
            earlier += i <= RECENT_BUCKETS ? 0 : count;
            knownBuckets += i > RECENT_BUCKETS && bucket - i > firstBucket ? 1 : 0;
        }
        return recent >= MIN_RECENT
                && knownBuckets >= RECENT_BUCKETS
                && recent * knownBuckets > SURGE_FACTOR * earlier * RECENT_BUCKETS;
    }
}
