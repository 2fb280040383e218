package laneflow.decision;

import java.util.Arrays;

/** The ready workers of one zone, with removal in constant time and round-robin iteration. */
final class Pool {
    WorkerView[] ready = new WorkerView[8];
    int count;
    /** Moving average of the fraction of attempts here that were answered 'full'. */
    double fullShare;

    final OutlierState outlier = new OutlierState();
    private int turn;

    /** An empty pool whose round robin starts after index {@code first}. */
    Pool(int first) {
        turn = first & Integer.MAX_VALUE >> 1;
    }

    void add(WorkerView view) {
        if (count == ready.length) {
            ready = Arrays.copyOf(ready, count * 2);
        }
        view.indexed = true;
        view.index = count;
        ready[count++] = view;
    }

    void remove(WorkerView view) {
        WorkerView last = ready[--count];
        ready[count] = null;
        if (last != view) {
            ready[view.index] = last;
            last.index = view.index;
        }
        view.indexed = false;
    }

    /** The next worker in round-robin order. */
    WorkerView next() {
        turn = (turn + 1) % count;
        return ready[turn];
    }
}
