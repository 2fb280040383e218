package laneflow.membership.decision;

/**
 * Protocol timings, derived from the probe period and the number of members. They follow SWIM with Lifeguard
 * (Das, Gupta, Motivala, DSN 2002; Dadgar, Phillips, Currey, DSN-W 2018); docs/fleet-view.md lists them all.
 *
 * @param period microseconds between two probes of a healthy member
 */
public record SwimTimings(long period) {
    /** Limit of the local health score. */
    static final int MAX_HEALTH_SCORE = 8;
    /** Members asked for an indirect probe. */
    static final int INDIRECT_PROBE_HELPERS = 3;
    /** Members that gossip goes to per round while little is queued. */
    private static final int BASE_FANOUT = 3;

    private static final int MAX_FANOUT = 12;
    private static final int UPDATES_PER_EXTRA_TARGET = 16;
    /** Accusations by others that shorten a suspicion to the minimum. */
    static final int CONFIRMATIONS = 3;

    private static final int GOSSIP_ROUNDS_PER_PERIOD = 5;
    private static final int REPEAT_FACTOR = 3;
    private static final int WAKE_TOLERANCE_DIVISOR = 8;
    private static final int MAX_TO_MIN_SUSPICION = 3;
    private static final double DIRECT_PROBE_SHARE = 0.4;
    private static final long MIN_SUSPICION_PERIODS = 3;
    private static final long ROUND_TRIPS_PER_PROBE = 3;
    private static final long ROUND_TRIPS_TO_REFUTE = 3;

    /** Time between two gossip rounds. */
    public long gossipInterval() {
        return period / GOSSIP_ROUNDS_PER_PERIOD;
    }

    /**
     * Time after which a direct probe without an ack is made indirectly.
     *
     * @param roundTrip smoothed round trip in microseconds
     */
    public long directProbeTimeout(int healthScore, long roundTrip) {
        return (long) (probeTimeout(healthScore, roundTrip) * DIRECT_PROBE_SHARE);
    }

    /** Total time for a probe, direct and then indirect. */
    public long probeTimeout(int healthScore, long roundTrip) {
        return Math.max(period * (1 + healthScore), ROUND_TRIPS_PER_PROBE * roundTrip);
    }

    /** Members that gossip goes to per round: more while much is queued, as after a partition heals. */
    static int fanout(int queuedUpdates) {
        return Math.min(MAX_FANOUT, BASE_FANOUT + queuedUpdates / UPDATES_PER_EXTRA_TARGET);
    }

    /** Rounds in which an update normally reaches all members. */
    public static int gossipRounds(int members) {
        return (int) Math.ceil(Math.log(members + 1.0) / Math.log(2));
    }

    /** How often a member sends the same update. */
    public static int gossipRepeats(int members) {
        return REPEAT_FACTOR * (int) Math.ceil(Math.log10(members + 1.0));
    }

    /** The minimum suspicion timeout: time for the suspicion and then its refutation to spread. */
    public long minSuspicionTimeout(int members, long roundTrip) {
        return MIN_SUSPICION_PERIODS * period
                + 2 * gossipInterval() * gossipRounds(members)
                + ROUND_TRIPS_TO_REFUTE * roundTrip;
    }

    /** The suspicion timeout, which falls from three times the minimum to the minimum with confirmations. */
    public long suspicionTimeout(int members, int confirmations, long roundTrip) {
        long shortest = minSuspicionTimeout(members, roundTrip);
        long longest = MAX_TO_MIN_SUSPICION * shortest;
        int needed = Math.max(1, Math.min(CONFIRMATIONS, members - 2));
        double progress = Math.min(1, Math.log(confirmations + 1.0) / Math.log(needed + 1.0));
        return longest - (long) ((longest - shortest) * progress);
    }

    /** How far the start of a period may move to share a wake-up if all probes were answered. */
    public long wakeTolerance() {
        return period / WAKE_TOLERANCE_DIVISOR;
    }

    /** Time between two attempts to reach a dead member or a seed that is not a member. */
    public long reconnectInterval() {
        return 2 * period;
    }

    /** Minimum time between two SYNCs. */
    public long syncInterval() {
        return 2 * period;
    }

    /** A member whose tick is overdue by more than this has stalled. */
    public long stallThreshold() {
        return period / 2;
    }
}
