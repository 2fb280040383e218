package laneflow.durable;

import java.util.Comparator;
import java.util.PriorityQueue;
import laneflow.durable.decision.Pacer;

/** The durable jobs of one class that wait, and how many of them may be at work. */
final class ClassQueue {
    /** First whose window closes first, then the urgent, then the older. */
    private static final Comparator<DurableJob> ORDER = Comparator.<DurableJob>comparingLong(job -> job.untilMs)
            .thenComparingInt(job -> -job.row.urgency())
            .thenComparingLong(DurableJob::id);

    final Pacer pacer;
    int atWork;
    private final PriorityQueue<DurableJob> ready = new PriorityQueue<>(ORDER);
    /** Refused ones, until their time has come. */
    private final PriorityQueue<DurableJob> later = new PriorityQueue<>(
            Comparator.<DurableJob>comparingLong(job -> job.notBefore).thenComparingLong(DurableJob::id));

    ClassQueue(int most) {
        pacer = new Pacer(most);
    }

    void add(DurableJob job, long now) {
        job.inQueue = true;
        (job.notBefore > now ? later : ready).add(job);
    }

    /** The next job that may begin now, or null. */
    DurableJob next(long now) {
        while (!later.isEmpty() && later.peek().notBefore <= now) {
            ready.add(later.poll());
        }
        for (DurableJob job = ready.poll(); job != null; job = ready.poll()) {
            job.inQueue = false;
            // What was cancelled or settled by a late word is passed over here: a heap is searched slowly.
            if (job.state == State.QUEUED && job.ending == null) {
                return job;
            }
        }
        return null;
    }

    boolean isEmpty() {
        return ready.isEmpty() && later.isEmpty();
    }

    /** When the next one may begin, as far as time alone holds it back. */
    long nextAt(long now) {
        long at = !ready.isEmpty() ? now : later.isEmpty() ? Long.MAX_VALUE : later.peek().notBefore;
        return at == Long.MAX_VALUE ? at : Math.max(at, pacer.pausedUntil());
    }
}
