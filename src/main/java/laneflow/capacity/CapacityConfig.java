package laneflow.capacity;

import laneflow.config.Table;
import laneflow.membership.MembersConfig;

/** Configuration of capacity gossip: the table {@code [capacity]}. */
public final class CapacityConfig {
    /** Interval between gossip rounds. */
    public final long roundMicros;
    /** Schedulers contacted per round. */
    public final int fanout;

    private CapacityConfig(Table from, MembersConfig members) {
        if (members == null) {
            from.addFinding("", "needs the table [members]: capacity reports are sent with the membership datagrams");
        }
        roundMicros = from.integer("round_ms", 100, 20, 60_000) * 1000;
        fanout = (int) from.integer("fanout", 2, 1, 8);
        from.close();
    }

    /**
     * Reads the table; errors are reported as findings of the table.
     *
     * @param members configuration of the membership, or null if there is none
     */
    public static CapacityConfig read(Table from, MembersConfig members) {
        return new CapacityConfig(from, members);
    }
}
