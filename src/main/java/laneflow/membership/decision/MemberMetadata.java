package laneflow.membership.decision;

import java.net.InetSocketAddress;

/**
 * What a member publishes about itself for operators and reports. No decision depends on it.
 *
 * @param zone of the scheduler, truncated to {@link #MAX_ZONE_BYTES} bytes; empty: none
 * @param build version, truncated to {@link #MAX_BUILD_BYTES} bytes
 * @param link address for fleet links and operators, or null
 * @param policy number of the policy in force there, -1 if the fleet decides on none
 * @param condition whether it takes requests of clients
 * @param load open requests as a share of the limit, in sixteenths
 * @param rate the smallest n such that it serves fewer than 2^n requests per second
 * @param late true for a while after its event loop has stalled
 */
public record MemberMetadata(
        String zone,
        String build,
        InetSocketAddress link,
        long policy,
        Condition condition,
        int load,
        int rate,
        boolean late) {
    public static final int MAX_ZONE_BYTES = 32;
    public static final int MAX_BUILD_BYTES = 16;
    private static final int MAX_STEP = 15;

    /** Whether a member takes requests: yes, no because it drains, or no because it may not decide. */
    public enum Condition {
        READY,
        DRAINING,
        FENCED
    }

    /** Rounds a share from 0 to 1 down to sixteenths. */
    public static int toLoadStep(double share) {
        return (int) Math.max(0, Math.min(MAX_STEP, Math.floor(share * (MAX_STEP + 1))));
    }

    /** Converts requests per second to the exponent of the power of two that they stay under. */
    public static int toRateStep(double perSecond) {
        return Math.min(MAX_STEP * 2, Long.SIZE - Long.numberOfLeadingZeros((long) Math.max(0, perSecond)));
    }

    MemberMetadata withLate(boolean now) {
        return now == late ? this : new MemberMetadata(zone, build, link, policy, condition, load, rate, now);
    }
}
