package laneflow.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ArrivalTimesTest {
    private static final long UNKNOWN = -7;

    @Test
    void eachByteHasTheArrivalTimeOfItsRead() {
        ArrivalTimes times = new ArrivalTimes();
        times.add(10, 1_000_000, 0);
        times.add(25, 2_000_000, 0);
        assertEquals(1_000_000, times.arrivalBefore(1, UNKNOWN));
        assertEquals(1_000_000, times.arrivalBefore(10, UNKNOWN));
        assertEquals(2_000_000, times.arrivalBefore(11, UNKNOWN));
        assertEquals(2_000_000, times.arrivalBefore(25, UNKNOWN));
        assertEquals(UNKNOWN, times.arrivalBefore(26, UNKNOWN));
        // The first ten bytes have been consumed: their arrival time is dropped, the others stay.
        times.add(30, 3_000_000, 10);
        assertEquals(2_000_000, times.arrivalBefore(11, UNKNOWN));
        assertEquals(3_000_000, times.arrivalBefore(30, UNKNOWN));
    }

    /** Merged reads make an arrival time at most a millisecond too early, never too late. */
    @Test
    void readsWithinAMillisecondShareAnArrivalTime() {
        ArrivalTimes times = new ArrivalTimes();
        for (int i = 1; i <= 5000; i++) {
            times.add(i, i, 0);
        }
        for (int i = 1; i <= 5000; i++) {
            long instant = times.arrivalBefore(i, UNKNOWN);
            assertEquals(i - (i - 1) % 1000, instant);
        }
        // Later bytes do not share an arrival time with bytes that have been consumed.
        times.add(5001, 5001, 5000);
        assertEquals(5001, times.arrivalBefore(5001, UNKNOWN));
    }
}
