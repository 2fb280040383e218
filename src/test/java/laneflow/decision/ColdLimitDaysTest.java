package laneflow.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Random days on which one scheduler alone sent a cold endpoint more than fells it, by 1 to 14 %. They are the
 * first of 37 among 1,500; the days of {@link PropertyTest} are not among them.
 *
 * <p>Why: starts are not told there, so a job's run was taken to begin when the wait foreseen was over. One that had
 * not waited ended about then or before, and counted as run in no time. Seen at the breaking sends: speeds learned of
 * 2.3 to 39 standard cores a slot where 1 is true, so that a cold endpoint was held to bear many times its capacity:
 * <pre>
 * seed 85: sum 11.24 limit 9.86 capacity 40.94 (slots 4.00 speed 13.878) where 4 is true, tellsStart false
 * </pre>
 */
class ColdLimitDaysTest {
    private static final double LENGTH = 60;

    @ParameterizedTest
    @ValueSource(longs = {57, 70, 77, 81, 85, 99})
    void oneSchedulerAloneDoesNotFellAColdEndpoint(long seed) {
        RandomDay day = new RandomDay(seed);
        day.run(LENGTH);
        assertTrue(day.checker.sends > 0, "the day sent " + day.checker.sends);
    }

    /** The one day of the 1,500 on which it still happens; starts are told there. */
    @Test
    void aDayOnWhichStartsAreToldAndTheLimitIsPassed() {
        RandomDay day = new RandomDay(1345);
        day.run(LENGTH);
        assertTrue(day.checker.sends > 0, "the day sent " + day.checker.sends);
    }
}
