package laneflow.http;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The longest time, in microseconds, for which news can go unheard, from the watch's own figures. */
class DiscoveryWatchTest {
    /** What a silent or unreachable discovery has to tell counts as told by then. */
    private static final long TOLD = 6_000_000;
    /** What the agent has counts at once, and sending may go on for so long behind that. */
    private static final long DRAIN_GRACE = 500_000;

    private static long longestBackOff(boolean asked) {
        long longest = 0;
        for (int vain = 0; vain < 100; vain++) {
            longest = Math.max(longest, DiscoveryWatch.backoff(asked, vain, 1));
        }
        return longest;
    }

    /** It can be reached from the moment on in which a call was begun that came to nothing. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aReachableDiscoveryIsAskedBeforeItsNewsCountsAsTold(boolean asked) {
        long refused = longestBackOff(asked) + DiscoveryWatch.CONNECT_TIMEOUT_US;
        long neverUp = DiscoveryWatch.CONNECT_TIMEOUT_US + refused;
        long givenUp = (asked ? DiscoveryWatch.SHARED_SERVICE_HEAD_TIMEOUT_US : DiscoveryWatch.SILENCE_TIMEOUT_US)
                + DiscoveryWatch.CONNECT_TIMEOUT_US;
        assertTrue(refused < TOLD && neverUp < TOLD && givenUp < TOLD, refused + " " + neverUp + " " + givenUp);
    }

    /** A watch falls silent, and so does the next one; the connection of one of them comes up late. */
    @Test
    void theThirdWatchHasAskedWhenWhatTwoSilentOnesMissedCountsAsTold() {
        long noticed = 2 * DiscoveryWatch.SILENCE_TIMEOUT_US;
        assertTrue(noticed + DiscoveryWatch.CONNECT_TIMEOUT_US <= TOLD, "" + noticed);
    }

    /** A watch falls silent, and the next one says nothing at all; both connections behind it come up late. */
    @Test
    void theThirdWatchHasAskedInTimeWhereTheSecondNeverSpokeAndBothConnectionsAreLate() {
        long asked = DiscoveryWatch.SILENCE_TIMEOUT_US
                + DiscoveryWatch.CONNECT_TIMEOUT_US
                + DiscoveryWatch.HEAD_TIMEOUT_AFTER_SILENCE_US
                + DiscoveryWatch.CONNECT_TIMEOUT_US;
        assertTrue(asked < TOLD, "" + asked);
    }

    @Test
    void theWaitForAnAgentIsWithinTheDrainsGrace() {
        assertTrue(longestBackOff(false) < DRAIN_GRACE, "" + longestBackOff(false));
    }

    @Test
    void waitsGrowAndNeverEndAtOnce() {
        for (int vain = 0; vain < 100; vain++) {
            long least = DiscoveryWatch.backoff(true, vain, 0);
            assertTrue(least > 0 && least <= DiscoveryWatch.backoff(true, vain + 1, 0), "" + vain);
        }
    }
}
