package laneflow.decision;

import java.util.Arrays;

/** The ready workers of one zone, each removed in one step, with a turn that comes to each of them. */
final class Pool {
    WorkerView[] ready = new WorkerView[8];
    int count;
    /** Share of the attempts here that were answered 'full', of late. */
    double fullShare;

    final OutlierState outlier = new OutlierState();
    private int turn;

    /** An empty pool; turns begin with the worker that {@code first} points to. */
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

    /** Each worker in turn. */
    WorkerView next() {
        turn = (turn + 1) % count;
        return ready[turn];
    }
}
