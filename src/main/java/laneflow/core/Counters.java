package laneflow.core;

import java.util.Map;
import java.util.TreeMap;

/** What the program took in, sent and answered, and what the core's rules kept from happening. */
public final class Counters {
    private final Map<String, Long> counts = new TreeMap<>();
    private final OwnerThread owner = new OwnerThread();

    public void add(String name) {
        assert owner.isCurrent() : "counters are their loop's own";
        counts.merge(name, 1L, Long::sum);
    }

    /** Puts a counter to a value. */
    public void set(String name, long value) {
        counts.put(name, value);
    }

    public long get(String name) {
        return counts.getOrDefault(name, 0L);
    }

    /** One line a counter, in order of their names. */
    public String text() {
        StringBuilder text = new StringBuilder();
        counts.forEach(
                (name, count) -> text.append(name).append(' ').append(count).append('\n'));
        return text.toString();
    }

    /** All on one line. */
    public String line() {
        return text().trim().replace(' ', '=').replace('\n', ' ');
    }
}
