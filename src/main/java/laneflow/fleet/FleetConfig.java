package laneflow.fleet;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import laneflow.config.Table;
import laneflow.net.Loop;

/** What the operators set for the link between schedulers: the table {@code [fleet]}. */
public final class FleetConfig {
    private static final String NAME = "[A-Za-z0-9_.-]{1,64}";

    /** This scheduler's name, the same over restarts and unlike all others'. */
    public final String name;
    /** Where others reach it; also where operators ask and order. */
    public final String listen;
    /** Where the token is read from that all schedulers show each other, or null. */
    public final Path tokenFile;
    /** Names and addresses of schedulers that links may be kept to. */
    public final Map<String, String> peers = new LinkedHashMap<>();
    /** Microseconds without a byte after which a link counts as dead. */
    public final long silence;
    /** Microseconds between two tries of a link, at most. */
    public final long longestBackoff;
    /** Connections that others may keep to this one. */
    public final int mostLinks;

    private FleetConfig(Table from, String ownName) {
        name = from.text("name", ownName);
        if (!name.matches(NAME)) {
            from.addFinding("name", "'" + name + "' is no name: up to 64 letters, digits, '_', '.' and '-'");
        }
        listen = from.text("listen");
        address(from, "listen", listen);
        String token = from.text("token_file", null);
        tokenFile = token == null ? null : Path.of(token);
        silence = from.integer("silence_ms", 3000, 50, 3_600_000) * 1000;
        longestBackoff = from.integer("longest_backoff_ms", 500, 10, 3_600_000) * 1000;
        mostLinks = (int) from.integer("most_links", 1024, 8, 1 << 16);
        Table named = from.table("peers");
        if (named != null) {
            for (String peer : named.keys()) {
                String at = named.text(peer);
                address(named, peer, at);
                peers.put(peer, at);
            }
        }
        from.close();
    }

    /** An address of the table; null where it is missing, or none: that is a finding. */
    public static InetSocketAddress address(Table from, String key, String text) {
        try {
            return text == null || text.isEmpty() ? null : Loop.address(text);
        } catch (IllegalArgumentException e) {
            from.addFinding(key, e.getMessage());
            return null;
        }
    }

    /**
     * Reads the table; what is wrong becomes findings of the table's.
     *
     * @param ownName the scheduler's name where the table has none
     */
    public static FleetConfig read(Table from, String ownName) {
        return new FleetConfig(from, ownName);
    }
}
