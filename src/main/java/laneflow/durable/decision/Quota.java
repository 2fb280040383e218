package laneflow.durable.decision;

import laneflow.durable.DurableConfig;

/**
 * How many open jobs and bytes are held, by class and in all, and when to come back where there is no room.
 * Ended jobs do not count. Times are microseconds.
 */
public final class Quota {
    private static final double LONGEST_WAIT_S = 30;
    private static final double SHORTEST_WAIT_S = 0.05;
    /** Ends are counted over so long. */
    private static final long SPAN = 5_000_000;

    private final DurableConfig config;
    private final long[] jobs;
    private final long[] bytes;
    private long allJobs;
    private long allBytes;
    private long spanFrom = Long.MIN_VALUE;
    private long endedNow;
    private double endsPerSecond;

    public Quota(DurableConfig config) {
        this.config = config;
        jobs = new long[config.classes.length];
        bytes = new long[config.classes.length];
    }

    /** Whether a job of this class and size may be taken on. */
    public boolean admits(int jobClass, long size) {
        DurableConfig.OfClass of = config.classes[jobClass];
        return allJobs < config.mostJobs
                && allBytes + size <= config.mostBytes
                && jobs[jobClass] < of.mostJobs
                && bytes[jobClass] + size <= of.mostBytes;
    }

    /** One is held from now on; one that recovery brought counts whether it fits or not. */
    public void add(int jobClass, long size) {
        jobs[jobClass]++;
        bytes[jobClass] += size;
        allJobs++;
        allBytes += size;
    }

    /** One has ended. */
    public void remove(long now, int jobClass, long size) {
        jobs[jobClass]--;
        bytes[jobClass] -= size;
        allJobs--;
        allBytes -= size;
        if (now - spanFrom > SPAN) {
            endsPerSecond = spanFrom == Long.MIN_VALUE ? 0 : endedNow * 1e6 / (now - spanFrom);
            spanFrom = now;
            endedNow = 0;
        }
        endedNow++;
    }

    public long jobs() {
        return allJobs;
    }

    public long bytes() {
        return allBytes;
    }

    /** Seconds after which there may be room: as many as it takes for a hundredth of what is held to end. */
    public double comeBack() {
        double wait = endsPerSecond > 0 ? Math.max(1, allJobs / 100.0) / endsPerSecond : 1;
        return Math.min(LONGEST_WAIT_S, Math.max(SHORTEST_WAIT_S, wait));
    }
}
