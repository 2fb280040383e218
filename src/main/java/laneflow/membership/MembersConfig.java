package laneflow.membership;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import laneflow.config.AddressRange;
import laneflow.config.Table;
import laneflow.fleet.FleetConfig;

/** Membership settings: the operators' table {@code [members]}. */
public final class MembersConfig {
    /** Address on which datagrams are received. */
    public final InetSocketAddress listen;
    /** Address to which others send them; differs from {@link #listen} behind an address translation. */
    public final InetSocketAddress advertise;
    /** Addresses of members to contact at the start. */
    public final List<InetSocketAddress> seeds;
    /** Further source addresses that are accepted, besides seeds and known members. */
    public final List<AddressRange> allowed;

    public final Path keyFile;
    /** Probe period in microseconds. */
    public final long period;

    private MembersConfig(Table from, FleetConfig fleet) {
        if (fleet == null) {
            from.addFinding("", "needs the table [fleet], which gives this scheduler its name");
        }
        listen = FleetConfig.address(from, "listen", from.text("listen"));
        String advertised = from.text("advertise", null);
        advertise = advertised == null ? listen : FleetConfig.address(from, "advertise", advertised);
        if (advertise != null && advertised == null && advertise.getAddress().isAnyLocalAddress()) {
            from.addFinding("advertise", "is missing: other members cannot send to " + listen);
        }
        seeds = new ArrayList<>();
        for (String seed : from.texts("seeds")) {
            InetSocketAddress address = FleetConfig.address(from, "seeds", seed);
            if (address != null) {
                seeds.add(address);
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
     * Reads the table and reports invalid settings to it.
     *
     * @param fleet settings of the links between schedulers, or null if there are none
     */
    public static MembersConfig read(Table from, FleetConfig fleet) {
        return new MembersConfig(from, fleet);
    }
}
