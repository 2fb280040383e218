package laneflow.maintenance.decision;

import java.util.List;
import java.util.Map;

/**
 * A plan of maintenance windows.
 *
 * @param windows by start time, then by name
 * @param refused reasons why the other requests found no time, by request name
 * @param moved number of windows of the previous plan that now start at another time or not at all
 * @param evaluations number of instants evaluated, which is the measure of planning effort
 * @param flows how many of them needed a flow
 */
public record Plan(List<Window> windows, Map<String, List<String>> refused, int moved, long evaluations, int flows) {
    /**
     * A planned window; its racks count as away for the whole of it.
     *
     * @param startMs when its racks begin to drain, Unix milliseconds
     * @param endMs when its racks are back
     * @param isFixed true if it can no longer be moved, because it is announced or begun
     */
    public record Window(Request request, long startMs, long endMs, boolean isFixed) {
        boolean overlaps(long from, long to) {
            return startMs < to && from < endMs;
        }
    }

    /**
     * A period in which no window begins and no rack is down.
     *
     * @param name shown in the reasons of refused requests
     */
    public record Freeze(String name, long fromMs, long toMs) {
        boolean overlaps(long from, long to) {
            return fromMs < to && from < toMs;
        }
    }

    /** The window of a request, or null. */
    public Window window(String request) {
        return windows.stream()
                .filter(window -> window.request().name().equals(request))
                .findFirst()
                .orElse(null);
    }
}
