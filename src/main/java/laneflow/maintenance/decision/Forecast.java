package laneflow.maintenance.decision;

import java.util.List;

/**
 * Expected demand as a repeating cycle of spans, such as the 168 hours of a week. Immutable.
 *
 * @param originMs start of a cycle, Unix milliseconds
 * @param spanMs length of a span
 * @param demands slots by tenant and class, for each span
 */
public record Forecast(long originMs, long spanMs, List<double[][]> demands) {
    public Forecast {
        demands = List.copyOf(demands);
    }

    /** Index of the span that contains an instant. */
    public int spanAt(long ms) {
        return (int) Math.floorMod(Math.floorDiv(ms - originMs, spanMs), (long) demands.size());
    }
}
