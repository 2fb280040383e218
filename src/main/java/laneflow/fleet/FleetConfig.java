package laneflow.fleet;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import laneflow.config.Table;
import laneflow.net.Loop;

/** Operator settings for the links between schedulers: the table {@code [fleet]}. */
public final class FleetConfig {
    private static final String NAME = "[A-Za-z0-9_.-]{1,64}";

    /** This scheduler's name: unique in the fleet and unchanged by restarts. */
    public final String name;
    /** Address for links from other schedulers and for requests of operators. */
    public final String listen;
    /** File with the token that schedulers authenticate with, or null. */
    public final Path tokenFile;
    /** Addresses of the schedulers that may be dialled, by name. */
    public final Map<String, String> peers = new LinkedHashMap<>();
    /** Microseconds without a byte received after which a link counts as dead. */
    public final long silenceTimeout;
    /** Upper bound of the backoff before a link is dialled again, in microseconds. */
    public final long maxBackoff;
    /** Limit on the connections that other schedulers keep to this one. */
    public final int maxLinks;

    private FleetConfig(Table from, String ownName) {
        name = from.text("name", ownName);
        if (!name.matches(NAME)) {
            from.addFinding("name", "'" + name + "' is no name: up to 64 letters, digits, '_', '.' and '-'");
        }
        listen = from.text("listen");
        address(from, "listen", listen);
        String token = from.text("token_file", null);
        tokenFile = token == null ? null : Path.of(token);
        silenceTimeout = from.integer("silence_ms", 3000, 50, 3_600_000) * 1000;
        maxBackoff = from.integer("longest_backoff_ms", 500, 10, 3_600_000) * 1000;
        maxLinks = (int) from.integer("most_links", 1024, 8, 1 << 16);
        Table peerTable = from.table("peers");
        if (peerTable != null) {
            for (String peer : peerTable.keys()) {
                String address = peerTable.text(peer);
                address(peerTable, peer, address);
                peers.put(peer, address);
            }
        }
        from.close();
    }

    /** Parses an address in the table. Returns null if it is missing, or invalid and reported as a finding. */
    public static InetSocketAddress address(Table from, String key, String text) {
        try {
            return text == null || text.isEmpty() ? null : Loop.parseAddress(text);
        } catch (IllegalArgumentException e) {
            from.addFinding(key, e.getMessage());
            return null;
        }
    }

    /**
     * Reads the table; errors are reported as findings on it.
     *
     * @param ownName the scheduler's name if the table has none
     */
    public static FleetConfig read(Table from, String ownName) {
        return new FleetConfig(from, ownName);
    }
}
