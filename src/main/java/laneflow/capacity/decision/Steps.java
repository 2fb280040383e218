package laneflow.capacity.decision;

/**
 * The coarse steps in which capacity is told: half a byte for slots, waiting jobs and calls, six bits for an
 * age, each step about an eighth older than the one before. Free room is rounded down, what stands against it
 * and ages are rounded up: passed on, news looks worse and older than it is, never better or younger.
 */
final class Steps {
    /** The highest step of slots, jobs and calls. */
    static final int MOST = 15;
    /** The highest step of an age; what is older is not told. */
    static final int OLDEST = 63;

    private static final int[] AT = {0, 1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192};
    private static final long YOUNGEST = 10_000;
    private static final double OLDER = 1.13;
    private static final long[] AGES = new long[OLDEST + 1];

    static {
        for (int i = 0; i <= OLDEST; i++) {
            AGES[i] = (long) (YOUNGEST * Math.pow(OLDER, i));
        }
    }

    private Steps() {}

    /** The highest step that is not above it. */
    static int down(double value) {
        int step = MOST;
        while (step > 0 && AT[step] > value) {
            step--;
        }
        return step;
    }

    /** The lowest step that is not under it, or the highest of all. */
    static int up(double value) {
        int step = 0;
        while (step < MOST && AT[step] < value) {
            step++;
        }
        return step;
    }

    static int value(int step) {
        return AT[step];
    }

    /** The lowest step of an age, microseconds, that is not under it; over {@link #OLDEST}: too old. */
    static int age(long micros) {
        int step = 0;
        while (step <= OLDEST && AGES[step] < micros) {
            step++;
        }
        return step;
    }

    static long ageOf(int step) {
        return AGES[step];
    }
}
