package laneflow.maintenance;

import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import laneflow.core.Scheduler;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Samples calls and demand on the traffic thread for the control thread, one sample at a time. */
final class CallSampler {
    private static final Logger LOG = LoggerFactory.getLogger(CallSampler.class);

    /**
     * A sample, taken in one turn of the traffic loop.
     *
     * @param policy the version that requests were decided by
     * @param busy banned endpoints that still had an open call
     * @param unreachable endpoints that could not be reached
     * @param demand slots by tenant and class; the last row is for unknown tenants
     * @param longest longest deadline of a class, in milliseconds
     */
    record Sample(long policy, Set<String> busy, Set<String> unreachable, double[][] demand, long longest) {}

    private final Loop loop;
    private final Loop traffic;
    private final Scheduler scheduler;
    private final LongSupplier policy;
    private final int unreachableAfter;
    private final Consumer<Sample> listener;
    private boolean isSampling;

    /**
     * @param policy reads the version in force; called on the traffic thread
     * @param listener called on the control thread with each sample
     */
    CallSampler(
            Loop loop,
            Loop traffic,
            Scheduler scheduler,
            LongSupplier policy,
            int unreachableAfter,
            Consumer<Sample> listener) {
        this.loop = loop;
        this.traffic = traffic;
        this.scheduler = scheduler;
        this.policy = policy;
        this.unreachableAfter = unreachableAfter;
        this.listener = listener;
    }

    /** Requests a sample unless one is pending. Called on the control thread. */
    void request() {
        if (isSampling) {
            return;
        }
        isSampling = true;
        post(traffic, () -> {
            Sample sample = sample();
            post(loop, () -> {
                isSampling = false;
                listener.accept(sample);
            });
        });
    }

    private Sample sample() {
        int classes = scheduler.settings().classes.length;
        double[][] demand = new double[scheduler.settings().tenants.length + 1][classes];
        scheduler.addDemand(demand);
        return new Sample(
                policy.getAsLong(),
                scheduler.bannedWithOpenAttempts(),
                scheduler.unreachable(unreachableAfter),
                demand,
                longestDeadlineMillis(scheduler));
    }

    /** The longest deadline of a class, in milliseconds. */
    static long longestDeadlineMillis(Scheduler scheduler) {
        double longest = 0;
        for (var type : scheduler.settings().classes) {
            longest = Math.max(longest, type.deadline);
        }
        return (long) (longest * 1000);
    }

    private static void post(Loop loop, Runnable call) {
        try {
            loop.later(call);
        } catch (RejectedExecutionException e) {
            // The other thread is shutting down and needs no samples.
            LOG.debug("the event loop is shut down");
        }
    }
}
