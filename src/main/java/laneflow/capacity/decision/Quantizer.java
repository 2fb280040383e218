package laneflow.capacity.decision;

/**
 * Quantization of values in capacity messages: 4 bits for slots, queued requests and attempts; 6 bits for an
 * age, in steps of 13 %. Free slots are rounded down, queue lengths and ages up: a report that is passed on
 * may look worse and older than it was, never better or younger.
 */
final class Quantizer {
    /** Highest step of slots, queued requests and attempts. */
    static final int MAX_STEP = 15;
    /** Highest step of an age; older reports are not sent. */
    static final int MAX_AGE_STEP = 63;

    private static final int[] VALUES = {0, 1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192};
    private static final long MIN_AGE_MICROS = 10_000;
    private static final double AGE_RATIO = 1.13;
    private static final long[] AGE_MICROS = new long[MAX_AGE_STEP + 1];

    static {
        for (int i = 0; i <= MAX_AGE_STEP; i++) {
            AGE_MICROS[i] = (long) (MIN_AGE_MICROS * Math.pow(AGE_RATIO, i));
        }
    }

    private Quantizer() {}

    /** Returns the highest step that is not above the value. */
    static int floor(double value) {
        int step = MAX_STEP;
        while (step > 0 && VALUES[step] > value) {
            step--;
        }
        return step;
    }

    /** Returns the lowest step that is not below the value, or the highest step. */
    static int ceil(double value) {
        int step = 0;
        while (step < MAX_STEP && VALUES[step] < value) {
            step++;
        }
        return step;
    }

    static int value(int step) {
        return VALUES[step];
    }

    /** Returns the lowest step that is not below the age; above {@link #MAX_AGE_STEP}: too old. */
    static int ageStep(long micros) {
        int step = 0;
        while (step <= MAX_AGE_STEP && AGE_MICROS[step] < micros) {
            step++;
        }
        return step;
    }

    static long ageMicros(int step) {
        return AGE_MICROS[step];
    }
}
