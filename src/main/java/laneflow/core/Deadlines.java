package laneflow.core;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * All deadlines of the program in one ordered structure: a binary heap in which each knows its place. One
 * that may come a little early rides with whatever wakes its loop by then: waking costs more than most of
 * what is due.
 */
public final class Deadlines {
    private Deadline[] heap = new Deadline[64];
    private int count;
    private long sequence;
    private final Owner owner = new Owner();
    /** Those that may come early; few. */
    private final List<Deadline> riders = new ArrayList<>();

    /** One deadline: it may be set, moved and called off any number of times. */
    public static final class Deadline {
        private final Runnable action;
        private long at;
        /** From when on it may ride. */
        private long from;

        private boolean rides;
        private long order;
        private int index = -1;

        private Deadline(Runnable action) {
            this.action = action;
        }

        /** True while it has yet to run. */
        public boolean isSet() {
            return index >= 0;
        }

        private boolean before(Deadline other) {
            return at < other.at || at == other.at && order < other.order;
        }
    }

    /** A deadline that is not set yet. */
    public Deadline create(Runnable action) {
        return new Deadline(action);
    }

    /** Sets a deadline that nobody will move. */
    public Deadline at(long micros, Runnable action) {
        Deadline deadline = create(action);
        set(deadline, micros);
        return deadline;
    }

    /** Sets or moves it. */
    public void set(Deadline deadline, long micros) {
        cancel(deadline);
        deadline.at = micros;
        deadline.order = sequence++;
        if (count == heap.length) {
            heap = Arrays.copyOf(heap, count * 2);
        }
        up(count++, deadline);
    }

    /** Sets or moves it: it runs by then, and from the earlier instant on as soon as its loop is awake. */
    public void set(Deadline deadline, long from, long micros) {
        set(deadline, micros);
        deadline.from = from;
        deadline.rides = true;
        riders.add(deadline);
    }

    /** Calls it off, if it is set. */
    public void cancel(Deadline deadline) {
        assert owner.isHere() : "deadlines are their loop's own";
        int at = deadline.index;
        if (at < 0) {
            return;
        }
        deadline.index = -1;
        if (deadline.rides) {
            deadline.rides = false;
            riders.remove(deadline);
        }
        Deadline last = heap[--count];
        heap[count] = null;
        if (last != deadline) {
            if (at > 0 && last.before(heap[(at - 1) / 2])) {
                up(at, last);
            } else {
                down(at, last);
            }
        }
    }

    /** The earliest instant, or {@link Long#MAX_VALUE}. */
    public long next() {
        return count == 0 ? Long.MAX_VALUE : heap[0].at;
    }

    /** Runs all that are due; one set anew for the past by an action runs too. */
    public void runDue(long now) {
        while (count > 0 && heap[0].at <= now) {
            Deadline due = heap[0];
            cancel(due);
            due.action.run();
        }
    }

    /** Runs those that may ride from then on; the loop is awake for something else. */
    public void runEarly(long now) {
        if (riders.isEmpty()) {
            return;
        }
        // An action may set and call off any of them, itself among them: each is looked at once.
        for (Deadline one : riders.toArray(new Deadline[0])) {
            if (one.rides && one.from <= now) {
                cancel(one);
                one.action.run();
            }
        }
    }

    private void up(int from, Deadline deadline) {
        int i = from;
        while (i > 0 && deadline.before(heap[(i - 1) / 2])) {
            place(i, heap[(i - 1) / 2]);
            i = (i - 1) / 2;
        }
        place(i, deadline);
    }

    private void down(int from, Deadline deadline) {
        int i = from;
        for (int child = 2 * i + 1; child < count; child = 2 * i + 1) {
            if (child + 1 < count && heap[child + 1].before(heap[child])) {
                child++;
            }
            if (!heap[child].before(deadline)) {
                break;
            }
            place(i, heap[child]);
            i = child;
        }
        place(i, deadline);
    }

    private void place(int i, Deadline deadline) {
        heap[i] = deadline;
        deadline.index = i;
    }
}
