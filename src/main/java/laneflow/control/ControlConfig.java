package laneflow.control;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import laneflow.config.AddressRange;
import laneflow.config.Table;
import laneflow.net.Loop;

/** What the operators set for streamed configuration. */
public final class ControlConfig {
    /** Control services, tried in turn. */
    public final List<String> addresses;
    /** Where the bearer token is read from, or null; the token itself is never logged or told. */
    public final Path tokenFile;
    /** The folder of the last good versions, or null: none are kept. */
    public final Path folder;
    /** Address ranges that endpoints may lie in. */
    public final List<AddressRange> allowed = new ArrayList<>();
    /** Microseconds. */
    public final long silence;

    public final long longestBackoff;
    public final long probation;
    /** The growth of a share of requests that ends badly which takes a version back. */
    public final double bound;

    public final int mostLine;
    /** Where operators ask what runs, or null: at the clients' port. */
    public final String listen;
    /** Answers to clients carry the versions that their requests came under. */
    public final boolean tellVersions;
    /** Microseconds between two words of this scheduler's counts to the service; 0: none. */
    public final long figures;

    private ControlConfig(Table from) {
        addresses = from.texts("addresses");
        if (addresses.isEmpty()) {
            from.addFinding("addresses", "is missing: where control services listen");
        }
        for (String address : addresses) {
            try {
                Loop.address(address);
            } catch (IllegalArgumentException e) {
                from.addFinding("addresses", e.getMessage());
            }
        }
        String token = from.text("token_file", null);
        tokenFile = token == null ? null : Path.of(token);
        String dir = from.text("last_good_dir", null);
        folder = dir == null ? null : Path.of(dir);
        List<String> ranges = from.texts("allowed_endpoints");
        for (String range : ranges.isEmpty() ? List.of("0.0.0.0/0") : ranges) {
            try {
                allowed.add(AddressRange.parse(range));
            } catch (IllegalArgumentException e) {
                from.addFinding("allowed_endpoints", e.getMessage());
            }
        }
        silence = from.integer("silence_ms", 10_000, 50, 3_600_000) * 1000;
        longestBackoff = from.integer("longest_backoff_ms", 10_000, 10, 3_600_000) * 1000;
        probation = from.integer("probation_ms", 30_000, 0, 3_600_000) * 1000;
        bound = from.number("worse_by", 0.02, 0.001, 1);
        mostLine = (int) from.integer("most_line_kib", 8192, 1, 65_536) * 1024;
        listen = from.text("listen", null);
        try {
            if (listen != null) {
                Loop.address(listen);
            }
        } catch (IllegalArgumentException e) {
            from.addFinding("listen", e.getMessage());
        }
        tellVersions = from.flag("tell_versions", false);
        figures = from.integer("figures_ms", 1000, 0, 3_600_000) * 1000;
        from.close();
    }

    /** Reads the table; what is wrong becomes findings of the table's. */
    public static ControlConfig read(Table from) {
        return new ControlConfig(from);
    }
}
