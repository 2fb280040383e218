package laneflow.http;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks by the watch's constants how long, in microseconds, a change can be missed. */
class DiscoveryWatchTest {
    /** Time after which a change at a silent or unreachable discovery counts as announced. */
    private static final long COUNTS_AS_ANNOUNCED_US = 6_000_000;
    /** A change that the agent has counts at once; sending may continue for this time. */
    private static final long DRAIN_GRACE_US = 500_000;

    private static long longestBackoff(boolean sharedService) {
        long longest = 0;
        for (int emptyWatches = 0; emptyWatches < 100; emptyWatches++) {
            longest = Math.max(longest, DiscoveryWatch.backoff(sharedService, emptyWatches, 1));
        }
        return longest;
    }

    /** Discovery becomes reachable just after a connection attempt that fails was started. */
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

    /** A watch falls silent, and so does the next one; one of their connections is slow to open. */
    @Test
    void theThirdWatchAsksBeforeChangesMissedByTwoSilentOnesCount() {
        long detectedAt = 2 * DiscoveryWatch.SILENCE_TIMEOUT_US;
        assertTrue(detectedAt + DiscoveryWatch.CONNECT_TIMEOUT_US <= COUNTS_AS_ANNOUNCED_US, "" + detectedAt);
    }

    /** A watch falls silent, and the next one is never answered; both later connections are slow to open. */
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
