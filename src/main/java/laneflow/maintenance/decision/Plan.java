package laneflow.maintenance.decision;

import java.util.List;
import java.util.Map;

/**
 * When which rack goes.
 *
 * @param windows in the order of their beginnings, then by name
 * @param refused why the others found no time, by request
 * @param moved windows of the plan before that begin at another time now, or not at all
 * @param asked how often an instant was looked at; the bound of planning is told in these
 * @param flows how many of them needed a flow
 */
public record Plan(List<Window> windows, Map<String, List<String>> refused, int moved, long asked, int flows) {
    /**
     * A window: its racks count as away for the whole of it.
     *
     * @param startMs its racks begin to drain, Unix milliseconds
     * @param endMs its racks are back
     * @param isFixed it can't be moved any more: announced, or begun
     */
    public record Window(Request request, long startMs, long endMs, boolean isFixed) {
        boolean meets(long from, long to) {
            return startMs < to && from < endMs;
        }
    }

    /**
     * A time at which nothing is begun and nothing is down.
     *
     * @param name as it is told to whoever is turned down for it
     */
    public record Freeze(String name, long fromMs, long toMs) {
        boolean meets(long from, long to) {
            return fromMs < to && from < toMs;
        }
    }

    /** The window of that request, or null. */
    public Window window(String request) {
        return windows.stream()
                .filter(one -> one.request().name().equals(request))
                .findFirst()
                .orElse(null);
    }
}
