package laneflow.capacity.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How many slots endpoints of one sort have: the most that own reports have shown free. Where there was no
 * own report yet, as much as three sources agree on at least: no single one can make an endpoint large.
 */
final class Size {
    private static final int WITNESSES = 3;
    private static final int MOST_WITNESSES = 32;

    /** Of these endpoints. */
    final int sort;

    private final Map<Integer, Double> told = new LinkedHashMap<>();
    /** By own reports, 0 before the first. */
    private double own;
    /** The most that was handed to the module as free, which it takes for the size. */
    double handed;
    /** Own reports tell how many jobs wait. */
    boolean tellsQueue;

    Size(int sort) {
        this.sort = sort;
    }

    void own(double free, boolean queue) {
        own = Math.max(own, free);
        handed = Math.max(handed, free);
        tellsQueue |= queue;
    }

    void told(int source, double free) {
        if (own == 0 && (told.size() < MOST_WITNESSES || told.containsKey(source))) {
            told.merge(source, free, Math::max);
        }
    }

    /** 0 where nobody knows. */
    double slots() {
        if (own > 0) {
            return own;
        }
        return told.size() < WITNESSES
                ? 0
                : told.values().stream()
                        .sorted((a, b) -> Double.compare(b, a))
                        .skip(WITNESSES - 1)
                        .findFirst()
                        .orElse(0.0);
    }
}
