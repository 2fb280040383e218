package laneflow.maintenance.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import laneflow.maintenance.decision.DrainTracker.Report;
import org.junit.jupiter.api.Test;

/** Which schedulers may still send to banned endpoints; silence does not count as a report. */
class DrainTrackerTest {
    private static final long LEASE = 1_000_000;
    private static final long LONGEST = 5_000_000;
    /** Later than calls of schedulers that only a former leader knew can still be open. */
    private static final long LATER = 10_000_000;

    private final DrainTracker drainTracker = new DrainTracker(0, LEASE, LONGEST);

    private static Report report(long policy, String... busy) {
        return new Report(policy, Set.of(busy), Set.of());
    }

    @Test
    void aSchedulerThatAppliedThePolicyAndHasNoCallSendsNoMoreHoweverLongItIsSilent() {
        drainTracker.onReport(LATER, "n1", report(3, "till-0"));
        assertEquals(List.of("n1"), drainTracker.possibleCallers(LATER, 3, "till-0"));
        assertEquals(List.of(), drainTracker.possibleCallers(LATER, 3, "till-1"));
        drainTracker.onReport(LATER + 1, "n1", report(3));
        assertEquals(List.of(), drainTracker.possibleCallers(LATER + 1, 3, "till-0"));
        assertEquals(
                List.of("n1"),
                drainTracker.possibleCallers(LATER + 1, 4, "till-0"),
                "a report covers only the policy that it names");
    }

    @Test
    void aSilentSchedulerCountsUntilItsLeaseAndTheLongestDeadlineAreOver() {
        drainTracker.onReport(LATER, "n1", report(2));
        drainTracker.onGrant(LATER + LEASE, "n1");
        assertEquals(List.of("n1"), drainTracker.possibleCallers(LATER + 2 * LEASE + LONGEST, 3, "till-0"));
        assertEquals(List.of(), drainTracker.possibleCallers(LATER + 2 * LEASE + LONGEST + 10_000, 3, "till-0"));
    }

    @Test
    void aLongerDeadlineTakesEffectAtOnce() {
        drainTracker.onGrant(LATER, "n1");
        assertEquals(List.of(), drainTracker.possibleCallers(LATER + LEASE + LONGEST + 10_000, 3, "till-0"));
        drainTracker.raiseMaxCallDuration(2 * LONGEST);
        drainTracker.raiseMaxCallDuration(0);
        assertEquals(List.of("n1"), drainTracker.possibleCallers(LATER + LEASE + LONGEST + 10_000, 3, "till-0"));
    }

    @Test
    void aSchedulerWithALeaseAndNoReportCounts() {
        drainTracker.onGrant(LATER, "old-build");
        assertEquals(List.of("old-build"), drainTracker.possibleCallers(LATER, 3, "till-0"));
        drainTracker.onLeft("old-build");
        assertEquals(List.of(), drainTracker.possibleCallers(LATER, 3, "till-0"));
    }

    @Test
    void aNewLeaderWaitsForSchedulersThatItHasNotHeardOf() {
        DrainTracker successor = new DrainTracker(LATER, LEASE, LONGEST);
        successor.onReport(LATER, "n1", report(3));
        assertFalse(
                successor.possibleCallers(LATER + LEASE + LONGEST, 3, "till-0").isEmpty());
        assertTrue(successor
                .possibleCallers(LATER + LEASE + LONGEST + 10_000, 3, "till-0")
                .isEmpty());
    }

    @Test
    void anEndpointThatHalfOfTheSchedulersCannotReachIsUnreachable() {
        drainTracker.onReport(LATER, "n1", new Report(1, Set.of(), Set.of("till-0", "till-1")));
        drainTracker.onReport(LATER, "n2", new Report(1, Set.of(), Set.of("till-0")));
        drainTracker.onReport(LATER, "n3", report(1));
        assertEquals(Set.of("till-0"), drainTracker.unreachable(LATER));
        assertEquals(Set.of(), drainTracker.unreachable(LATER + 2 * LEASE));
        assertTrue(drainTracker.haveAllApplied(LATER, 1));
        assertFalse(drainTracker.haveAllApplied(LATER, 2));
    }
}
