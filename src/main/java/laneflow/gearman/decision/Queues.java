package laneflow.gearman.decision;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts queued jobs per function and priority, and running jobs and workers per function, and decides
 * whether another job may be queued. Limits follow the protocol's {@code maxqueue}: a job is refused when
 * as many jobs of its function and priority are queued. Only counters are kept, so memory does not grow
 * with jobs or workers. No I/O.
 */
public final class Queues {
    public static final int HIGH = 0;
    public static final int NORMAL = 1;
    public static final int LOW = 2;
    private static final int PRIORITIES = 3;

    private final Map<String, FunctionCounts> byFunction = new TreeMap<>();
    private final int defaultLimit;

    /** The counts and limits of one function. */
    public static final class FunctionCounts {
        private final int[] queued = new int[PRIORITIES];
        private final int[] limits = new int[PRIORITIES];
        private int running;
        private int workers;

        public int queued(int priority) {
            return queued[priority];
        }

        public int queued() {
            return queued[HIGH] + queued[NORMAL] + queued[LOW];
        }

        public int running() {
            return running;
        }

        public int workers() {
            return workers;
        }

        public boolean isIdle() {
            return queued() == 0 && running == 0 && workers == 0;
        }
    }

    /**
     * @param defaultLimit default limit of queued jobs per function and priority; 0: unlimited
     */
    public Queues(int defaultLimit) {
        this.defaultLimit = defaultLimit;
    }

    /** Returns the function's counts; creates them on first use. */
    public FunctionCounts counts(String function) {
        FunctionCounts counts = byFunction.get(function);
        if (counts == null) {
            counts = new FunctionCounts();
            Arrays.fill(counts.limits, defaultLimit);
            byFunction.put(function, counts);
        }
        return counts;
    }

    /** The counts of all functions, sorted by name. */
    public Map<String, FunctionCounts> byFunction() {
        return byFunction;
    }

    public boolean contains(String function) {
        return byFunction.containsKey(function);
    }

    /** Sets a limit; 0 or below: unlimited. */
    public void setLimit(String function, int priority, int limit) {
        counts(function).limits[priority] = limit;
    }

    /** Whether another job of that priority may be queued. */
    public boolean admits(String function, int priority) {
        FunctionCounts counts = counts(function);
        return counts.limits[priority] <= 0 || counts.queued[priority] < counts.limits[priority];
    }

    public void recordQueued(String function, int priority) {
        counts(function).queued[priority]++;
    }

    /** A worker has started a queued job. */
    public void recordStarted(String function, int priority) {
        FunctionCounts counts = counts(function);
        counts.queued[priority]--;
        counts.running++;
    }

    /** An attempt has failed, and the job is queued again. */
    public void recordRequeued(String function, int priority) {
        FunctionCounts counts = counts(function);
        counts.queued[priority]++;
        counts.running--;
    }

    public void recordEnded(String function, int priority, boolean running) {
        FunctionCounts counts = counts(function);
        if (running) {
            counts.running--;
        } else {
            counts.queued[priority]--;
        }
    }

    public void adjustWorkers(String function, int delta) {
        counts(function).workers += delta;
    }

    /** Removes a function without jobs and workers; false if it is not idle. */
    public boolean removeIfIdle(String function) {
        FunctionCounts counts = byFunction.get(function);
        if (counts != null && !counts.isIdle()) {
            return false;
        }
        byFunction.remove(function);
        return true;
    }
}
