package laneflow.decision;

/** A time-ordered log of events with an amount each, summed over a sliding window; older entries are dropped. */
final class SendLog {
    private double[] at = new double[4];
    private double[] work = new double[4];
    private int first;
    private int count;

    void add(double now, double amount) {
        if (count == at.length) {
            grow();
        }
        int i = (first + count++) % at.length;
        at[i] = now;
        work[i] = amount;
    }

    /** Drops the entries before {@code start} and returns the number of the others. */
    int count(double start) {
        while (count > 0 && at[first] < start) {
            first = (first + 1) % at.length;
            count--;
        }
        return count;
    }

    /** Drops the entries before {@code start} and returns the sum of the others. */
    double since(double start) {
        count(start);
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += work[(first + i) % at.length];
        }
        return sum;
    }

    private void grow() {
        double[] oldAt = at;
        double[] oldWork = work;
        at = new double[count * 2];
        work = new double[count * 2];
        for (int i = 0; i < count; i++) {
            at[i] = oldAt[(first + i) % count];
            work[i] = oldWork[(first + i) % count];
        }
        first = 0;
    }
}
