package laneflow.membership.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/** What goes with the numbers of the newest pings; the oldest is forgotten where there are too many. */
final class Recent<V> extends LinkedHashMap<Integer, V> {
    private static final long serialVersionUID = 1;

    private final int most;

    Recent(int most) {
        this.most = most;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<Integer, V> eldest) {
        return size() > most;
    }
}
