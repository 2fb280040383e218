package laneflow.membership;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import laneflow.config.AddressRange;
import laneflow.config.Table;
import laneflow.fleet.FleetConfig;

/** What the operators set for the view that schedulers keep of each other: the table {@code [members]}. */
public final class MembersConfig {
    /** Where datagrams come in. */
    public final InetSocketAddress listen;
    /** Where others send them; the same unless something in between has an address of its own. */
    public final InetSocketAddress advertise;
    /** Where others may be when this one starts. */
    public final List<InetSocketAddress> seeds;
    /** Whose datagrams are read besides those of the seeds, and of members that are known. */
    public final List<AddressRange> allowed;

    public final Path keyFile;
    /** Microseconds between two probes. */
    public final long period;

    private MembersConfig(Table from, FleetConfig fleet) {
        if (fleet == null) {
            from.addFinding("", "needs the table [fleet], which gives this scheduler its name");
        }
        listen = FleetConfig.address(from, "listen", from.text("listen"));
        String other = from.text("advertise", null);
        advertise = other == null ? listen : FleetConfig.address(from, "advertise", other);
        if (advertise != null && other == null && advertise.getAddress().isAnyLocalAddress()) {
            from.addFinding("advertise", "is missing: nobody can send to " + listen);
        }
        seeds = new ArrayList<>();
        for (String seed : from.texts("seeds")) {
            InetSocketAddress at = FleetConfig.address(from, "seeds", seed);
            if (at != null) {
                seeds.add(at);
            }
        }
        allowed = new ArrayList<>();
        for (String range : from.texts("allowed")) {
            try {
                allowed.add(AddressRange.parse(range));
            } catch (IllegalArgumentException e) {
                from.addFinding("allowed", e.getMessage());
            }
        }
        String key = from.text("key_file", null);
        if (key == null) {
            from.addFinding("key_file", "is missing: datagrams are sealed with a key that all members know");
        }
        keyFile = key == null ? null : Path.of(key);
        period = from.integer("period_ms", 250, 20, 60_000) * 1000;
        from.close();
    }

    /**
     * Reads the table; what is wrong becomes findings of the table's.
     *
     * @param fleet the link between schedulers, or null where there is none
     */
    public static MembersConfig read(Table from, FleetConfig fleet) {
        return new MembersConfig(from, fleet);
    }
}
