package laneflow.core;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The timers of a loop, in a binary heap in which each deadline knows its index. A deadline with an earliest
 * instant may run as soon as the loop is awake for another reason, because a wake-up costs more than most
 * actions do.
 */
public final class Deadlines {
    private Deadline[] heap = new Deadline[64];
    private int count;
    private long sequence;
    private final OwnerThread owner = new OwnerThread();
    /** Deadlines with an earliest instant; there are few, so a list is enough. */
    private final List<Deadline> earlyRunnable = new ArrayList<>();

    /** A timer that may be set, moved and cancelled any number of times. */
    public static final class Deadline {
        private final Runnable action;
        private long dueAt;
        /** The instant from which it may run early. */
        private long earliest;

        private boolean mayRunEarly;
        private long order;
        private int index = -1;

        private Deadline(Runnable action) {
            this.action = action;
        }

        /** True if it is set and has not run yet. */
        public boolean isSet() {
            return index >= 0;
        }

        private boolean before(Deadline other) {
            return dueAt < other.dueAt || dueAt == other.dueAt && order < other.order;
        }
    }

    /** Creates a deadline without setting it. */
    public Deadline create(Runnable action) {
        return new Deadline(action);
    }

    /** Creates a deadline and sets it. */
    public Deadline at(long micros, Runnable action) {
        Deadline deadline = create(action);
        set(deadline, micros);
        return deadline;
    }

    /** Sets or moves a deadline. */
    public void set(Deadline deadline, long micros) {
        cancel(deadline);
        deadline.dueAt = micros;
        deadline.order = sequence++;
        if (count == heap.length) {
            heap = Arrays.copyOf(heap, count * 2);
        }
        siftUp(count++, deadline);
    }

    /** Sets or moves a deadline that may run early, from the earlier instant on, if the loop is awake. */
    public void set(Deadline deadline, long earliest, long micros) {
        set(deadline, micros);
        deadline.earliest = earliest;
        deadline.mayRunEarly = true;
        earlyRunnable.add(deadline);
    }

    /** Cancels a deadline; does nothing if it is not set. */
    public void cancel(Deadline deadline) {
        assert owner.isCurrent() : "deadlines used outside their loop's thread";
        int index = deadline.index;
        if (index < 0) {
            return;
        }
        deadline.index = -1;
        if (deadline.mayRunEarly) {
            deadline.mayRunEarly = false;
            earlyRunnable.remove(deadline);
        }
        Deadline last = heap[--count];
        heap[count] = null;
        if (last != deadline) {
            if (index > 0 && last.before(heap[(index - 1) / 2])) {
                siftUp(index, last);
            } else {
                siftDown(index, last);
            }
        }
    }

    /** The instant of the earliest deadline, or {@link Long#MAX_VALUE} if none is set. */
    public long next() {
        return count == 0 ? Long.MAX_VALUE : heap[0].dueAt;
    }

    /** Runs all deadlines that are due, including those that an action sets to an instant already past. */
    public void runDue(long now) {
        while (count > 0 && heap[0].dueAt <= now) {
            Deadline due = heap[0];
            cancel(due);
            due.action.run();
        }
    }

    /** Runs the deadlines whose earliest instant has come; called when the loop is awake for another reason. */
    public void runEarly(long now) {
        if (earlyRunnable.isEmpty()) {
            return;
        }
        // An action may set or cancel any deadline, its own included: a copy visits each once.
        for (Deadline deadline : earlyRunnable.toArray(new Deadline[0])) {
            if (deadline.mayRunEarly && deadline.earliest <= now) {
                cancel(deadline);
                deadline.action.run();
            }
        }
    }

    private void siftUp(int from, Deadline deadline) {
        int i = from;
        while (i > 0 && deadline.before(heap[(i - 1) / 2])) {
            place(i, heap[(i - 1) / 2]);
            i = (i - 1) / 2;
        }
        place(i, deadline);
    }

    private void siftDown(int from, Deadline deadline) {
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
