package laneflow.core;

import java.util.Map;
import java.util.TreeMap;

/** Named counters, among them requests taken, attempts sent, answers, and attempts blocked by the scheduler. */
public final class Counters {
    private final Map<String, Long> counts = new TreeMap<>();
    private final OwnerThread owner = new OwnerThread();

    public void add(String name) {
        assert owner.isCurrent() : "counters used outside their loop's thread";
        counts.merge(name, 1L, Long::sum);
    }

    /** Adds a number of events; a counter without any is not listed. */
    public void add(String name, long events) {
        assert owner.isCurrent() : "counters used outside their loop's thread";
        if (events > 0) {
            counts.merge(name, events, Long::sum);
        }
    }

    /** Sets a counter to a value. */
    public void set(String name, long value) {
        counts.put(name, value);
    }

    public long get(String name) {
        return counts.getOrDefault(name, 0L);
    }

    /** All counters, one per line, sorted by name. */
    public String text() {
        StringBuilder text = new StringBuilder();
        counts.forEach(
                (name, count) -> text.append(name).append(' ').append(count).append('\n'));
        return text.toString();
    }

    /** All counters on one line, as {@code name=count}. */
    public String line() {
        return text().trim().replace(' ', '=').replace('\n', ' ');
    }
}
