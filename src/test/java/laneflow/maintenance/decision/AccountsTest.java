package laneflow.maintenance.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Accounts decay, outlive a restart, and are not moved by what a tenant only says. */
class AccountsTest {
    private static final long DAY = 86_400_000;
    private static final double HALF_LIFE = 7 * DAY;

    @Test
    void aLossCountsHalfBehindAHalfLife() {
        Accounts accounts = new Accounts(HALF_LIFE);
        accounts.add("a", 10, 100, 3_600_000, DAY);
        assertEquals(36_000, accounts.lost("a", DAY), 1e-6);
        assertEquals(0.1, accounts.rate("a", DAY), 1e-9);
        assertEquals(18_000, accounts.lost("a", 8 * DAY), 1e-6);
        assertEquals(0, accounts.rate("never heard of", DAY));
    }

    @Property(tries = 200, seed = "7")
    void aRestartAmidChangesNothing(
            @ForAll @IntRange(min = 1, max = 30) int steps, @ForAll @DoubleRange(min = 0, max = 50) double lost) {
        Accounts one = new Accounts(HALF_LIFE);
        Accounts other = new Accounts(HALF_LIFE);
        for (int i = 0; i < steps; i++) {
            one.add("t" + i % 3, lost * i, 40, 900_000, i * DAY);
            other.add("t" + i % 3, lost * i, 40, 900_000, i * DAY);
            Accounts next = new Accounts(HALF_LIFE);
            next.restore(other.state());
            other = next;
        }
        for (int t = 0; t < 3; t++) {
            assertEquals(one.rate("t" + t, steps * DAY), other.rate("t" + t, steps * DAY), 1e-12);
            assertTrue(one.rate("t" + t, steps * DAY) <= 1, "nobody loses more than its entitlement");
        }
    }

    @Test
    void aClockThatWasPutBackTakesNothingOff() {
        Accounts accounts = new Accounts(HALF_LIFE);
        accounts.add("a", 10, 100, 1000, 9 * DAY);
        double before = accounts.lost("a", 9 * DAY);
        assertEquals(before, accounts.lost("a", DAY));
        assertEquals(before, accounts.lost("a", 9 * DAY));
    }

    @Property(tries = 200, seed = "7")
    void whatNeverRanDoesNotCount(
            @ForAll @DoubleRange(min = 0, max = 100) double ran, @ForAll @DoubleRange(min = 0, max = 1e6) double said) {
        Accounts accounts = new Accounts(HALF_LIFE);
        accounts.served("a", ran, DAY);
        double counted = accounts.proven("a", said, 0.1, DAY);
        assertTrue(counted <= 1.1 * ran + 1e-9 && counted <= said);
        assertEquals(Math.min(1.1 * ran, 1e6), accounts.proven("a", 1e6, 0.1, DAY), 1e-6);
    }
}
