package laneflow.membership.decision;

/**
 * The timings, all from one period and the number of members. They are those of SWIM with Lifeguard's
 * (Das, Gupta, Motivala, DSN 2002; Dadgar, Phillips, Currey, DSN-W 2018); docs/fleet-view.md has them all.
 *
 * @param period microseconds between two probes of a member that is well
 */
public record Times(long period) {
    /** Most that a member slows itself down by. */
    static final int MOST_SCORE = 8;
    /** Members asked to probe in one's place. */
    static final int HELPERS = 3;
    /** Members that news goes to at a time. */
    private static final int FANOUT = 3;

    private static final int MOST_FANOUT = 12;
    private static final int NEWS_A_MEMBER_MORE = 16;
    /** Suspicions of others that shorten one's own to the least. */
    static final int CONFIRMATIONS = 3;

    private static final int GOSSIPS_A_PERIOD = 5;
    private static final int REPEATS = 3;
    private static final int PARTS_OF_LEEWAY = 8;
    private static final int LONGEST_TO_LEAST = 3;
    private static final double DIRECT_PART = 0.4;
    private static final long LEAST_PERIODS = 3;
    private static final long ROUND_TRIPS_A_PROBE = 3;
    private static final long ROUND_TRIPS_TO_CLEAR = 3;

    /** Between two rounds of news. */
    public long gossipInterval() {
        return period / GOSSIPS_A_PERIOD;
    }

    /**
     * How long a direct probe may take before others are asked.
     *
     * @param roundTrip microseconds that answers have taken of late
     */
    public long directProbeTimeout(int score, long roundTrip) {
        return (long) (probeTimeout(score, roundTrip) * DIRECT_PART);
    }

    /** How long a probe may take in all: a direct answer, then one by others. */
    public long probeTimeout(int score, long roundTrip) {
        return Math.max(period * (1 + score), ROUND_TRIPS_A_PROBE * roundTrip);
    }

    /** Members that news goes to in a round: more of them while there is much news, as when halves heal. */
    static int fanout(int news) {
        return Math.min(MOST_FANOUT, FANOUT + news / NEWS_A_MEMBER_MORE);
    }

    /** Rounds in which news reaches all of so many members, as a rule. */
    public static int gossipRounds(int members) {
        return (int) Math.ceil(Math.log(members + 1.0) / Math.log(2));
    }

    /** How often one sends the same news. */
    public static int gossipRepeats(int members) {
        return REPEATS * (int) Math.ceil(Math.log10(members + 1.0));
    }

    /** The shortest suspicion: time to be heard of, to say otherwise, and for that to be heard of. */
    public long minSuspicionTimeout(int members, long roundTrip) {
        return LEAST_PERIODS * period + 2 * gossipInterval() * gossipRounds(members) + ROUND_TRIPS_TO_CLEAR * roundTrip;
    }

    /** How long one is suspected whom that many others have found silent as well. */
    public long suspicionTimeout(int members, int confirmed, long roundTrip) {
        long least = minSuspicionTimeout(members, roundTrip);
        long longest = LONGEST_TO_LEAST * least;
        int needed = Math.max(1, Math.min(CONFIRMATIONS, members - 2));
        double part = Math.min(1, Math.log(confirmed + 1.0) / Math.log(needed + 1.0));
        return longest - (long) ((longest - least) * part);
    }

    /** A period may begin so much sooner or later, with what wakes the member, where all have answered. */
    public long wakeTolerance() {
        return period / PARTS_OF_LEEWAY;
    }

    /** Between two tries to find one again that was buried, or is in the file and not known. */
    public long reconnectInterval() {
        return 2 * period;
    }

    /** Between two comparisons of whole views. */
    public long syncInterval() {
        return 2 * period;
    }

    /** One that wakes up so late has stood still. */
    public long stallThreshold() {
        return period / 2;
    }
}
