package laneflow.maintenance.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import laneflow.policy.decision.Lease;

/**
 * Tracks, for one term of the leader, which schedulers may still have calls at endpoints that the policy in
 * force bans. A scheduler that has reported that it applied that policy and has no call there will not have one
 * again while the policy bans them. For all others the worst case is assumed: a silent scheduler may decide until
 * its lease ends, and may then have a call open for the longest deadline; this includes schedulers that only a
 * former leader knew. No I/O, no clock of its own; times in microseconds.
 */
public final class DrainTracker {
    private static final long SLACK_MICROS = 5_000;

    /**
     * A scheduler's report on its calls.
     *
     * @param policy the version that it had applied when the report was made
     * @param busy endpoints that this policy bans and that still have an open call
     * @param unreachable endpoints that it cannot reach
     */
    public record Report(long policy, Set<String> busy, Set<String> unreachable) {}

    private static final class SchedulerState {
        private Report report;
        private long lastContactAt;
        private long reportedAt;
    }

    private final long electedAt;
    private final long grantMicros;
    private long maxSilence;
    private final long leaseMicros;
    private final Map<String, SchedulerState> schedulers = new TreeMap<>();

    /**
     * @param electedAt a time after the election
     * @param lease duration of a grant
     * @param longestCall longest duration of a call
     */
    public DrainTracker(long electedAt, long lease, long longestCall) {
        this.electedAt = electedAt;
        grantMicros = (long) (lease * (1 + 2 * Lease.MAX_DRIFT)) + SLACK_MICROS;
        maxSilence = grantMicros + longestCall;
        leaseMicros = lease;
    }

    /** Raises the assumed maximum duration of a call, if the given one is longer. */
    public void raiseMaxCallDuration(long duration) {
        maxSilence = Math.max(maxSilence, grantMicros + duration);
    }

    private SchedulerState scheduler(String schedulerName) {
        return schedulers.computeIfAbsent(schedulerName, name -> new SchedulerState());
    }

    /** Records a scheduler's report on its calls. */
    public void onReport(long now, String schedulerName, Report report) {
        SchedulerState scheduler = scheduler(schedulerName);
        scheduler.report = report;
        scheduler.reportedAt = now;
        scheduler.lastContactAt = now;
    }

    /** Records a message to a scheduler that may have granted it a lease. */
    public void onGrant(long now, String schedulerName) {
        scheduler(schedulerName).lastContactAt = now;
        schedulers.values().removeIf(scheduler -> now > scheduler.lastContactAt + 2 * maxSilence);
    }

    /** Removes a scheduler that shut down cleanly, with all its calls over. */
    public void onLeft(String schedulerName) {
        schedulers.remove(schedulerName);
    }

    /** Schedulers that may have a call open at an endpoint, given that this policy is in force and bans it. */
    public List<String> possibleCallers(long now, long policy, String endpoint) {
        List<String> callers = new ArrayList<>();
        if (now < electedAt + maxSilence) {
            // There may be schedulers that this leader has not heard of.
            callers.add("those that a former leader knew");
        }
        schedulers.forEach((schedulerName, scheduler) -> {
            boolean ended = scheduler.report != null
                    && scheduler.report.policy() == policy
                    && !scheduler.report.busy().contains(endpoint);
            if (!ended && now < scheduler.lastContactAt + maxSilence) {
                callers.add(schedulerName);
            }
        });
        return callers;
    }

    /** True if all live schedulers have applied that policy. */
    public boolean haveAllApplied(long now, long policy) {
        // A newly elected leader has not heard of all schedulers yet.
        return now > electedAt + leaseMicros
                && schedulers.values().stream()
                        .allMatch(scheduler -> now - scheduler.lastContactAt > leaseMicros
                                || scheduler.report != null && scheduler.report.policy() == policy);
    }

    /** Endpoints that at least half of the live schedulers cannot reach. */
    public Set<String> unreachable(long now) {
        Map<String, Integer> counts = new TreeMap<>();
        int reporting = 0;
        for (SchedulerState scheduler : schedulers.values()) {
            if (scheduler.report != null && now - scheduler.reportedAt <= leaseMicros) {
                reporting++;
                scheduler.report.unreachable().forEach(name -> counts.merge(name, 1, Integer::sum));
            }
        }
        int reportingCount = reporting;
        Set<String> unreachable = new TreeSet<>();
        counts.forEach((name, count) -> {
            if (2 * count >= reportingCount) {
                unreachable.add(name);
            }
        });
        return unreachable;
    }
}
