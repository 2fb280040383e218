package laneflow.membership.decision;

import java.net.InetSocketAddress;

/**
 * What a member tells of itself, for people and for reports; no decision rests on it.
 *
 * @param zone of the scheduler, cut off behind {@link #MAX_ZONE_BYTES} bytes; empty: none
 * @param build cut off behind {@link #MAX_BUILD_BYTES} bytes
 * @param link where the fleet's link and operators come, or null
 * @param policy the number of the policy in force there, -1 where none is decided together
 * @param condition whether clients may come
 * @param load share of what it may hold open that is open, in sixteenths
 * @param rate requests served a second: n stands for under 2 to the n
 * @param late true while its loop runs late
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
    private static final int MOST_STEP = 15;

    /** Whether clients may come: yes, it drains, or it may not decide. */
    public enum Condition {
        READY,
        DRAINING,
        FENCED
    }

    /** A share from 0 to 1 as a step. */
    public static int toLoadStep(double share) {
        return (int) Math.max(0, Math.min(MOST_STEP, Math.floor(share * (MOST_STEP + 1))));
    }

    /** Requests a second as a step. */
    public static int toRateStep(double perSecond) {
        return Math.min(MOST_STEP * 2, Long.SIZE - Long.numberOfLeadingZeros((long) Math.max(0, perSecond)));
    }

    MemberMetadata withLate(boolean now) {
        return now == late ? this : new MemberMetadata(zone, build, link, policy, condition, load, rate, now);
    }
}
