package laneflow.maintenance.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import laneflow.maintenance.decision.Sending.Said;
import org.junit.jupiter.api.Test;

/** Who may still send to what is banned: silence is no answer. */
class SendingTest {
    private static final long LEASE = 1_000_000;
    private static final long LONGEST = 5_000_000;
    /** Behind the time in which what only a former leader knew may go on. */
    private static final long LATER = 10_000_000;

    private final Sending sending = new Sending(0, LEASE, LONGEST);

    private static Said said(long policy, String... busy) {
        return new Said(policy, Set.of(busy), Set.of());
    }

    @Test
    void whoHasBegunThePolicyAndHasNoCallThereSendsNoMoreHoweverLongItIsSilent() {
        sending.heard(LATER, "n1", said(3, "till-0"));
        assertEquals(List.of("n1"), sending.sending(LATER, 3, "till-0"));
        assertEquals(List.of(), sending.sending(LATER, 3, "till-1"));
        sending.heard(LATER + 1, "n1", said(3));
        assertEquals(List.of(), sending.sending(LATER + 1, 3, "till-0"));
        assertEquals(List.of("n1"), sending.sending(LATER + 1, 4, "till-0"), "of another policy it says nothing");
    }

    @Test
    void whoIsSilentCountsUntilItsLeaseAndTheLongestDeadlineAreOver() {
        sending.heard(LATER, "n1", said(2));
        sending.told(LATER + LEASE, "n1");
        assertEquals(List.of("n1"), sending.sending(LATER + 2 * LEASE + LONGEST, 3, "till-0"));
        assertEquals(List.of(), sending.sending(LATER + 2 * LEASE + LONGEST + 10_000, 3, "till-0"));
    }

    @Test
    void aLongerDeadlineThanWasKnownCountsFromThenOn() {
        sending.told(LATER, "n1");
        assertEquals(List.of(), sending.sending(LATER + LEASE + LONGEST + 10_000, 3, "till-0"));
        sending.longest(2 * LONGEST);
        sending.longest(0);
        assertEquals(List.of("n1"), sending.sending(LATER + LEASE + LONGEST + 10_000, 3, "till-0"));
    }

    @Test
    void whoHasALeaseAndHasSaidNothingOfItsCallsCounts() {
        sending.told(LATER, "old-build");
        assertEquals(List.of("old-build"), sending.sending(LATER, 3, "till-0"));
        sending.left("old-build");
        assertEquals(List.of(), sending.sending(LATER, 3, "till-0"));
    }

    @Test
    void aNewLeaderWaitsForThoseThatItHasNotHeardOf() {
        Sending successor = new Sending(LATER, LEASE, LONGEST);
        successor.heard(LATER, "n1", said(3));
        assertFalse(successor.sending(LATER + LEASE + LONGEST, 3, "till-0").isEmpty());
        assertTrue(
                successor.sending(LATER + LEASE + LONGEST + 10_000, 3, "till-0").isEmpty());
    }

    @Test
    void whatHalfOfThoseThatAreHeardCanNotReachIsLost() {
        sending.heard(LATER, "n1", new Said(1, Set.of(), Set.of("till-0", "till-1")));
        sending.heard(LATER, "n2", new Said(1, Set.of(), Set.of("till-0")));
        sending.heard(LATER, "n3", said(1));
        assertEquals(Set.of("till-0"), sending.lost(LATER));
        assertEquals(Set.of(), sending.lost(LATER + 2 * LEASE));
        assertTrue(sending.hasBegun(LATER, 1));
        assertFalse(sending.hasBegun(LATER, 2));
    }
}
