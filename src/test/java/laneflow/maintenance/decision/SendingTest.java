package laneflow.maintenance.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import laneflow.maintenance.decision.Sending.Report;
import org.junit.jupiter.api.Test;

/** Which schedulers may still send to banned endpoints; silence does not count as a report. */
class SendingTest {
    private static final long LEASE = 1_000_000;
    private static final long LONGEST = 5_000_000;
    /** Later than calls of schedulers that only a former leader knew can still be open. */
    private static final long LATER = 10_000_000;

    private final Sending sending = new Sending(0, LEASE, LONGEST);

    private static Report report(long policy, String... busy) {
        return new Report(policy, Set.of(busy), Set.of());
    }

    @Test
    void aSchedulerThatAppliedThePolicyAndHasNoCallSendsNoMoreHoweverLongItIsSilent() {
        sending.onReport(LATER, "n1", report(3, "till-0"));
        assertEquals(List.of("n1"), sending.possibleSenders(LATER, 3, "till-0"));
        assertEquals(List.of(), sending.possibleSenders(LATER, 3, "till-1"));
        sending.onReport(LATER + 1, "n1", report(3));
        assertEquals(List.of(), sending.possibleSenders(LATER + 1, 3, "till-0"));
        assertEquals(
                List.of("n1"),
                sending.possibleSenders(LATER + 1, 4, "till-0"),
                "a report covers only the policy that it names");
    }

    @Test
    void aSilentSchedulerCountsUntilItsLeaseAndTheLongestDeadlineAreOver() {
        sending.onReport(LATER, "n1", report(2));
        sending.onGrant(LATER + LEASE, "n1");
        assertEquals(List.of("n1"), sending.possibleSenders(LATER + 2 * LEASE + LONGEST, 3, "till-0"));
        assertEquals(List.of(), sending.possibleSenders(LATER + 2 * LEASE + LONGEST + 10_000, 3, "till-0"));
    }

    @Test
    void aLongerDeadlineTakesEffectAtOnce() {
        sending.onGrant(LATER, "n1");
        assertEquals(List.of(), sending.possibleSenders(LATER + LEASE + LONGEST + 10_000, 3, "till-0"));
        sending.raiseMaxCallDuration(2 * LONGEST);
        sending.raiseMaxCallDuration(0);
        assertEquals(List.of("n1"), sending.possibleSenders(LATER + LEASE + LONGEST + 10_000, 3, "till-0"));
    }

    @Test
    void aSchedulerWithALeaseAndNoReportCounts() {
        sending.onGrant(LATER, "old-build");
        assertEquals(List.of("old-build"), sending.possibleSenders(LATER, 3, "till-0"));
        sending.onLeft("old-build");
        assertEquals(List.of(), sending.possibleSenders(LATER, 3, "till-0"));
    }

    @Test
    void aNewLeaderWaitsForSchedulersThatItHasNotHeardOf() {
        Sending successor = new Sending(LATER, LEASE, LONGEST);
        successor.onReport(LATER, "n1", report(3));
        assertFalse(
                successor.possibleSenders(LATER + LEASE + LONGEST, 3, "till-0").isEmpty());
        assertTrue(successor
                .possibleSenders(LATER + LEASE + LONGEST + 10_000, 3, "till-0")
                .isEmpty());
    }

    @Test
    void anEndpointThatHalfOfTheSchedulersCannotReachIsUnreachable() {
        sending.onReport(LATER, "n1", new Report(1, Set.of(), Set.of("till-0", "till-1")));
        sending.onReport(LATER, "n2", new Report(1, Set.of(), Set.of("till-0")));
        sending.onReport(LATER, "n3", report(1));
        assertEquals(Set.of("till-0"), sending.unreachable(LATER));
        assertEquals(Set.of(), sending.unreachable(LATER + 2 * LEASE));
        assertTrue(sending.haveAllApplied(LATER, 1));
        assertFalse(sending.haveAllApplied(LATER, 2));
    }
}
