package laneflow.membership.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/** A bounded map from the sequence numbers of recent pings; the oldest entry is evicted. */
final class RecentPings<V> extends LinkedHashMap<Integer, V> {
    private static final long serialVersionUID = 1;

    private final int maxEntries;

    RecentPings(int maxEntries) {
        this.maxEntries = maxEntries;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Integer, V> eldest) {
        return size() > maxEntries;
    }
}
