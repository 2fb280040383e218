package laneflow.capacity;

import laneflow.config.Table;
import laneflow.membership.MembersConfig;

/** What the operators set for free capacity told among schedulers: the table {@code [capacity]}. */
public final class CapacityConfig {
    /** Microseconds between two rounds in which news is told. */
    public final long round;
    /** Schedulers that are told in a round. */
    public final int fanout;

    private CapacityConfig(Table from, MembersConfig members) {
        if (members == null) {
            from.addFinding("", "needs the table [members]: news goes with the view's datagrams");
        }
        round = from.integer("round_ms", 100, 20, 60_000) * 1000;
        fanout = (int) from.integer("fanout", 2, 1, 8);
        from.close();
    }

    /**
     * Reads the table; what is wrong becomes findings of the table's.
     *
     * @param members the view of the fleet, or null where there is none
     */
    public static CapacityConfig read(Table from, MembersConfig members) {
        return new CapacityConfig(from, members);
    }
}
