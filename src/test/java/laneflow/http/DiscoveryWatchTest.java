package laneflow.http;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The longest time, in microseconds, for which news can go unheard, from the watch's own figures. */
class DiscoveryWatchTest {
    /** What a silent or unreachable discovery has to tell counts as told by then. */
    private static final long COUNTS_AS_ANNOUNCED_US = 6_000_000;
    /** What the agent has counts at once, and sending may go on for so long behind that. */
    private static final long DRAIN_GRACE_US = 500_000;

    private static long longestBackoff(boolean sharedService) {
        long longest = 0;
        for (int emptyWatches = 0; emptyWatches < 100; emptyWatches++) {
            longest = Math.max(longest, DiscoveryWatch.backoff(sharedService, emptyWatches, 1));
        }
        return longest;
    }

    /** It can be reached from the moment on in which a call was begun that came to nothing. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aReachableDiscoveryIsAskedBeforeItsChangesCountAsAnnounced(boolean sharedService) {
        long afterRefusal = longestBackoff(sharedService) + DiscoveryWatch.CONNECT_TIMEOUT_US;
        long afterConnectTimeout = DiscoveryWatch.CONNECT_TIMEOUT_US + afterRefusal;
        long afterSilence =
                (sharedService ? DiscoveryWatch.SHARED_SERVICE_HEAD_TIMEOUT_US : DiscoveryWatch.SILENCE_TIMEOUT_US)
                        + DiscoveryWatch.CONNECT_TIMEOUT_US;
        assertTrue(
                afterRefusal < COUNTS_AS_ANNOUNCED_US
                        && afterConnectTimeout < COUNTS_AS_ANNOUNCED_US
                        && afterSilence < COUNTS_AS_ANNOUNCED_US,
                afterRefusal + " " + afterConnectTimeout + " " + afterSilence);
    }

    /** A watch falls silent, and so does the next one; the connection of one of them comes up late. */
    @Test
    void theThirdWatchAsksBeforeChangesMissedByTwoSilentOnesCount() {
        long detectedAt = 2 * DiscoveryWatch.SILENCE_TIMEOUT_US;
        assertTrue(detectedAt + DiscoveryWatch.CONNECT_TIMEOUT_US <= COUNTS_AS_ANNOUNCED_US, "" + detectedAt);
    }

    /** A watch falls silent, and the next one says nothing at all; both connections behind it come up late. */
    @Test
    void theThirdWatchAsksInTimeIfTheSecondIsSilentAndConnectionsAreSlow() {
        long askedAt = DiscoveryWatch.SILENCE_TIMEOUT_US
                + DiscoveryWatch.CONNECT_TIMEOUT_US
                + DiscoveryWatch.HEAD_TIMEOUT_AFTER_SILENCE_US
                + DiscoveryWatch.CONNECT_TIMEOUT_US;
        assertTrue(askedAt < COUNTS_AS_ANNOUNCED_US, "" + askedAt);
    }

    @Test
    void theBackoffForAnAgentIsWithinTheDrainGrace() {
        assertTrue(longestBackoff(false) < DRAIN_GRACE_US, "" + longestBackoff(false));
    }

    @Test
    void backoffsGrowAndAreNeverZero() {
        for (int emptyWatches = 0; emptyWatches < 100; emptyWatches++) {
            long shortest = DiscoveryWatch.backoff(true, emptyWatches, 0);
            assertTrue(
                    shortest > 0 && shortest <= DiscoveryWatch.backoff(true, emptyWatches + 1, 0), "" + emptyWatches);
        }
    }
}
