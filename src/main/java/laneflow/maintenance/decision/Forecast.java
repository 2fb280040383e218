package laneflow.maintenance.decision;

import java.util.List;

/**
 * What is expected to be asked for, as a cycle of spans: 168 hours of a week. Never changed.
 *
 * @param originMs where a cycle begins, Unix milliseconds
 * @param spanMs how long a span is
 * @param demands slots by tenant and class, for each span
 */
public record Forecast(long originMs, long spanMs, List<double[][]> demands) {
    public Forecast {
        demands = List.copyOf(demands);
    }

    /** The span of an instant. */
    public int at(long ms) {
        return (int) Math.floorMod(Math.floorDiv(ms - originMs, spanMs), (long) demands.size());
    }
}
