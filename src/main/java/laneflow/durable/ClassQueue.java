package laneflow.durable;

import java.util.Comparator;
import java.util.PriorityQueue;
import laneflow.durable.decision.ConcurrencyLimiter;

/** The queued durable jobs of one class, with the limiter of how many of them run concurrently. */
final class ClassQueue {
    /** Earliest end of the deduplication window first, then highest urgency, then oldest. */
    private static final Comparator<DurableJob> ORDER = Comparator.<DurableJob>comparingLong(job -> job.untilMs)
            .thenComparingInt(job -> -job.row.urgency())
            .thenComparingLong(DurableJob::id);

    final ConcurrencyLimiter limiter;
    int running;
    private final PriorityQueue<DurableJob> ready = new PriorityQueue<>(ORDER);
    /** Jobs that may not begin yet, by the time from which they may. */
    private final PriorityQueue<DurableJob> delayed = new PriorityQueue<>(
            Comparator.<DurableJob>comparingLong(job -> job.notBefore).thenComparingLong(DurableJob::id));

    ClassQueue(int maxRunning) {
        limiter = new ConcurrencyLimiter(maxRunning);
    }

    void add(DurableJob job, long now) {
        job.inQueue = true;
        (job.notBefore > now ? delayed : ready).add(job);
    }

    /** Removes and returns the next job that may begin now, or null. */
    DurableJob next(long now) {
        while (!delayed.isEmpty() && delayed.peek().notBefore <= now) {
            ready.add(delayed.poll());
        }
        for (DurableJob job = ready.poll(); job != null; job = ready.poll()) {
            job.inQueue = false;
            // Jobs cancelled or settled meanwhile are skipped here: removing from the middle of a heap is O(n).
            if (job.state == State.QUEUED && job.pendingEnd == null) {
                return job;
            }
        }
        return null;
    }

    boolean isEmpty() {
        return ready.isEmpty() && delayed.isEmpty();
    }

    /** When the next job may begin, considering only delays and the limiter's pause. */
    long nextAt(long now) {
        long at = !ready.isEmpty() ? now : delayed.isEmpty() ? Long.MAX_VALUE : delayed.peek().notBefore;
        return at == Long.MAX_VALUE ? at : Math.max(at, limiter.pausedUntil());
    }
}
