package laneflow.maintenance.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Loss accounts decay, survive a restart, and count only demand that was served. */
class LossAccountsTest {
    private static final long DAY = 86_400_000;
    private static final double HALF_LIFE = 7 * DAY;

    @Test
    void aLossHalvesAfterAHalfLife() {
        LossAccounts accounts = new LossAccounts(HALF_LIFE);
        accounts.addLoss("a", 10, 100, 3_600_000, DAY);
        assertEquals(36_000, accounts.lost("a", DAY), 1e-6);
        assertEquals(0.1, accounts.lossRate("a", DAY), 1e-9);
        assertEquals(18_000, accounts.lost("a", 8 * DAY), 1e-6);
        assertEquals(0, accounts.lossRate("unknown tenant", DAY));
    }

    @Property(tries = 200, seed = "7")
    void restoringASnapshotChangesNothing(
            @ForAll @IntRange(min = 1, max = 30) int steps, @ForAll @DoubleRange(min = 0, max = 50) double lost) {
        LossAccounts continuous = new LossAccounts(HALF_LIFE);
        LossAccounts restored = new LossAccounts(HALF_LIFE);
        for (int i = 0; i < steps; i++) {
            continuous.addLoss("t" + i % 3, lost * i, 40, 900_000, i * DAY);
            restored.addLoss("t" + i % 3, lost * i, 40, 900_000, i * DAY);
            LossAccounts next = new LossAccounts(HALF_LIFE);
            next.restore(restored.state());
            restored = next;
        }
        for (int t = 0; t < 3; t++) {
            assertEquals(continuous.lossRate("t" + t, steps * DAY), restored.lossRate("t" + t, steps * DAY), 1e-12);
            assertTrue(continuous.lossRate("t" + t, steps * DAY) <= 1, "nobody loses more than its entitlement");
        }
    }

    @Test
    void aClockThatGoesBackDecaysNothing() {
        LossAccounts accounts = new LossAccounts(HALF_LIFE);
        accounts.addLoss("a", 10, 100, 1000, 9 * DAY);
        double before = accounts.lost("a", 9 * DAY);
        assertEquals(before, accounts.lost("a", DAY));
        assertEquals(before, accounts.lost("a", 9 * DAY));
    }

    @Property(tries = 200, seed = "7")
    void demandThatWasNeverServedDoesNotCount(
            @ForAll @DoubleRange(min = 0, max = 100) double servedSlots,
            @ForAll @DoubleRange(min = 0, max = 1e6) double claimed) {
        LossAccounts accounts = new LossAccounts(HALF_LIFE);
        accounts.recordServed("a", servedSlots, DAY);
        double counted = accounts.provenDemand("a", claimed, 0.1, DAY);
        assertTrue(counted <= 1.1 * servedSlots + 1e-9 && counted <= claimed);
        assertEquals(Math.min(1.1 * servedSlots, 1e6), accounts.provenDemand("a", 1e6, 0.1, DAY), 1e-6);
    }
}
