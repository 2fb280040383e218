package laneflow.gearman.decision;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * How many jobs of each function wait, by priority, and how many run; and whether another may be taken.
 * Limits are those of the protocol's {@code maxqueue}: a job is turned away where as many of its function
 * and priority wait already. Counting is by changes: nothing here grows with jobs or workers. No I/O.
 */
public final class Queues {
    public static final int HIGH = 0;
    public static final int NORMAL = 1;
    public static final int LOW = 2;
    private static final int PRIORITIES = 3;

    private final Map<String, Row> rows = new TreeMap<>();
    private final int usual;

    /** One function's counts. */
    public static final class Row {
        private final int[] queued = new int[PRIORITIES];
        private final int[] most = new int[PRIORITIES];
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
     * @param usual the most that wait of a function and priority where nothing else is said; 0: any number
     */
    public Queues(int usual) {
        this.usual = usual;
    }

    /** The function's counts, from now on if it has none yet. */
    public Row row(String function) {
        Row row = rows.get(function);
        if (row == null) {
            row = new Row();
            Arrays.fill(row.most, usual);
            rows.put(function, row);
        }
        return row;
    }

    /** All functions by their names. */
    public Map<String, Row> rows() {
        return rows;
    }

    public boolean knows(String function) {
        return rows.containsKey(function);
    }

    /** Sets a limit; 0 or below: any number. */
    public void limit(String function, int priority, int most) {
        row(function).most[priority] = most;
    }

    /** Whether another job of that priority may wait. */
    public boolean admits(String function, int priority) {
        Row row = row(function);
        return row.most[priority] <= 0 || row.queued[priority] < row.most[priority];
    }

    public void queued(String function, int priority) {
        row(function).queued[priority]++;
    }

    /** A worker has started on one. */
    public void started(String function, int priority) {
        Row row = row(function);
        row.queued[priority]--;
        row.running++;
    }

    /** An attempt has failed, and the job waits again. */
    public void requeued(String function, int priority) {
        Row row = row(function);
        row.queued[priority]++;
        row.running--;
    }

    public void ended(String function, int priority, boolean running) {
        Row row = row(function);
        if (running) {
            row.running--;
        } else {
            row.queued[priority]--;
        }
    }

    public void worker(String function, int change) {
        row(function).workers += change;
    }

    /** Forgets a function that nobody names, and whose jobs are done; false if it is not idle. */
    public boolean drop(String function) {
        Row row = rows.get(function);
        if (row != null && !row.isIdle()) {
            return false;
        }
        rows.remove(function);
        return true;
    }
}
