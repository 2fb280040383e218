package laneflow.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import laneflow.core.MessageMemory.Account;
import org.junit.jupiter.api.Test;

class MessageMemoryTest {
    private final MessageMemory memory = new MessageMemory(120_000);
    private final List<Account> gaveWay = new ArrayList<>();

    private Account account(int bytes) {
        Account[] account = new Account[1];
        account[0] = memory.open(() -> {
            gaveWay.add(account[0]);
            account[0].close();
        });
        account[0].add(bytes);
        return account[0];
    }

    /** Guards against small messages giving way to a large one. */
    @Test
    void theLargestGivesWayUntilTheRestFits() {
        List<Runnable> events = new ArrayList<>();
        memory.onExceeded(() -> events.add(memory::relieve));
        account(30_000);
        Account largest = account(60_000);
        assertFalse(memory.isExceeded());
        account(20_000);
        account(20_000);
        assertTrue(memory.isExceeded());
        assertEquals(1, events.size());
        events.get(0).run();
        assertEquals(List.of(largest), gaveWay);
        assertEquals(70_000, memory.used());
        assertFalse(memory.isExceeded());
        largest.add(500_000);
        assertEquals(70_000, memory.used());
    }

    /** Guards against all connections being ended, or reading being held for ever, where no one holds much. */
    @Test
    void whatCannotGiveWayIsAdmittedUpToItsShareAndNeverHoldsReading() {
        account(4000);
        assertTrue(memory.openRequests().hasRoomFor(80_000));
        assertFalse(memory.openRequests().hasRoomFor(80_001));
        memory.openRequests().hold(80_000);
        assertFalse(memory.openRequests().hasRoomFor(1));
        assertTrue(memory.durableJobs().hasRoomFor(30_000));
        memory.durableJobs().hold(90_000);
        memory.relieve();
        assertFalse(memory.isExceeded());
        assertEquals(List.of(), gaveWay);
        memory.openRequests().release(80_000);
        memory.durableJobs().release(90_000);
        assertEquals(4000, memory.used());
    }

    /** Guards against reading being held for ever because a connection fails to give way. */
    @Test
    void aConnectionThatFailsToGiveWayDoesNotHoldReading() {
        Account failing = memory.open(() -> {
            throw new IllegalStateException("can't give way");
        });
        failing.add(130_000);
        assertTrue(memory.isExceeded());
        assertThrows(IllegalStateException.class, memory::relieve);
        assertFalse(memory.isExceeded());
    }

    /** Guards against two processes of an upgrade that each hold as much as one may. */
    @Test
    void aShareOfTheMemoryIsLeftToAnotherProcess() {
        memory.limitShare(0.25);
        assertTrue(memory.openRequests().hasRoomFor(20_000));
        assertFalse(memory.openRequests().hasRoomFor(20_001));
        account(31_000);
        assertTrue(memory.isExceeded());
        memory.relieve();
        memory.limitShare(1);
        account(31_000);
        assertFalse(memory.isExceeded());
    }
}
