package laneflow.durable.decision;

import laneflow.durable.DurableConfig;

/**
 * Counts open jobs and their body bytes, per class and in total, against the configured limits, and estimates
 * when a rejected client should retry. Ended jobs do not count. Times are in microseconds.
 */
public final class Quota {
    private static final double MAX_RETRY_AFTER_S = 30;
    private static final double MIN_RETRY_AFTER_S = 0.05;
    /** The interval over which the rate of ending jobs is measured. */
    private static final long RATE_INTERVAL = 5_000_000;

    private final DurableConfig config;
    private final long[] jobs;
    private final long[] bytes;
    private long totalJobs;
    private long totalBytes;
    private long intervalStart = Long.MIN_VALUE;
    private long endedInInterval;
    private double endsPerSecond;

    public Quota(DurableConfig config) {
        this.config = config;
        jobs = new long[config.classes.length];
        bytes = new long[config.classes.length];
    }

    /** Whether a job of this class and body size fits within the limits. */
    public boolean admits(int jobClass, long size) {
        DurableConfig.ClassConfig limits = config.classes[jobClass];
        return totalJobs < config.maxJobs
                && totalBytes + size <= config.maxBytes
                && jobs[jobClass] < limits.maxJobs
                && bytes[jobClass] + size <= limits.maxBytes;
    }

    /** Counts an open job; recovered jobs are counted even beyond the limits. */
    public void add(int jobClass, long size) {
        jobs[jobClass]++;
        bytes[jobClass] += size;
        totalJobs++;
        totalBytes += size;
    }

    /** Removes a job that has ended. */
    public void remove(long now, int jobClass, long size) {
        jobs[jobClass]--;
        bytes[jobClass] -= size;
        totalJobs--;
        totalBytes -= size;
        if (now - intervalStart > RATE_INTERVAL) {
            endsPerSecond = intervalStart == Long.MIN_VALUE ? 0 : endedInInterval * 1e6 / (now - intervalStart);
            intervalStart = now;
            endedInInterval = 0;
        }
        endedInInterval++;
    }

    public long jobs() {
        return totalJobs;
    }

    public long bytes() {
        return totalBytes;
    }

    /** Seconds until there may be room: the time in which 1/100 of the open jobs are expected to end. */
    public double retryAfterSeconds() {
        double wait = endsPerSecond > 0 ? Math.max(1, totalJobs / 100.0) / endsPerSecond : 1;
        return Math.min(MAX_RETRY_AFTER_S, Math.max(MIN_RETRY_AFTER_S, wait));
    }
}
