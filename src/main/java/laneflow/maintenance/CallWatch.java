package laneflow.maintenance;

import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import laneflow.core.Scheduler;
import laneflow.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the traffic's thread knows of calls and demand, fetched for the control thread: a look there, an
 * answer here, one at a time.
 */
final class CallWatch {
    private static final Logger LOG = LoggerFactory.getLogger(CallWatch.class);

    /**
     * What one look saw, all of it in one turn.
     *
     * @param policy the one by which requests were decided
     * @param busy endpoints that it bans and to which a call was out
     * @param lost endpoints that can't be reached
     * @param demand slots by tenant and class; the last row is that of tenants that are not known
     * @param longest milliseconds of the longest deadline of a class
     */
    record Seen(long policy, Set<String> busy, Set<String> lost, double[][] demand, long longest) {}

    private final Loop loop;
    private final Loop traffic;
    private final Scheduler scheduler;
    private final LongSupplier policy;
    private final int lostAfter;
    private final Consumer<Seen> then;
    private boolean looking;

    /**
     * @param policy the one that is in force; on the traffic's thread
     * @param then told on the control thread
     */
    CallWatch(Loop loop, Loop traffic, Scheduler scheduler, LongSupplier policy, int lostAfter, Consumer<Seen> then) {
        this.loop = loop;
        this.traffic = traffic;
        this.scheduler = scheduler;
        this.policy = policy;
        this.lostAfter = lostAfter;
        this.then = then;
    }

    /** On the control thread: has it look, unless it is at it. */
    void look() {
        if (looking) {
            return;
        }
        looking = true;
        pass(traffic, () -> {
            Seen seen = seen();
            pass(loop, () -> {
                looking = false;
                then.accept(seen);
            });
        });
    }

    private Seen seen() {
        int classes = scheduler.settings().classes.length;
        double[][] demand = new double[scheduler.settings().tenants.length + 1][classes];
        scheduler.addDemand(demand);
        return new Seen(
                policy.getAsLong(),
                scheduler.bannedWithOpenAttempts(),
                scheduler.unreachable(lostAfter),
                demand,
                longest(scheduler));
    }

    /** Milliseconds of the longest deadline of a class. */
    static long longest(Scheduler scheduler) {
        double longest = 0;
        for (var type : scheduler.settings().classes) {
            longest = Math.max(longest, type.deadline);
        }
        return (long) (longest * 1000);
    }

    private static void pass(Loop on, Runnable call) {
        try {
            on.later(call);
        } catch (RejectedExecutionException e) {
            // Nobody waits for its word any more.
            LOG.debug("that thread has ended");
        }
    }
}
