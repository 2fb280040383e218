package laneflow.control;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import laneflow.config.AddressRange;
import laneflow.config.Table;
import laneflow.net.Loop;

/** The operators' settings of streamed configuration. */
public final class ControlConfig {
    /** Addresses of control services, tried in turn. */
    public final List<String> addresses;
    /** File with the bearer token, or null; the token itself is never logged or reported. */
    public final Path tokenFile;
    /** Folder of the last good versions; null if none are saved. */
    public final Path folder;
    /** Address ranges allowed for endpoints. */
    public final List<AddressRange> allowed = new ArrayList<>();
    /** Microseconds without input after which a stream is closed. */
    public final long silenceMicros;

    public final long maxBackoffMicros;
    public final long trialMicros;
    /** Increase of the share of failed or refused requests that causes a rollback. */
    public final double maxWorsening;

    public final int maxLineBytes;
    /** Address for operators' queries, or null to answer them on the clients' port. */
    public final String listen;
    /** Whether answers to clients carry the versions that applied to their requests. */
    public final boolean tellVersions;
    /** Microseconds between two reports of this scheduler's counts to the service; 0 disables them. */
    public final long figuresMicros;

    private ControlConfig(Table from) {
        addresses = from.texts("addresses");
        if (addresses.isEmpty()) {
            from.addFinding("addresses", "is missing: where control services listen");
        }
        for (String address : addresses) {
            try {
                Loop.parseAddress(address);
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
        silenceMicros = from.integer("silence_ms", 10_000, 50, 3_600_000) * 1000;
        maxBackoffMicros = from.integer("longest_backoff_ms", 10_000, 10, 3_600_000) * 1000;
        trialMicros = from.integer("probation_ms", 30_000, 0, 3_600_000) * 1000;
        maxWorsening = from.number("worse_by", 0.02, 0.001, 1);
        maxLineBytes = (int) from.integer("most_line_kib", 8192, 1, 65_536) * 1024;
        listen = from.text("listen", null);
        try {
            if (listen != null) {
                Loop.parseAddress(listen);
            }
        } catch (IllegalArgumentException e) {
            from.addFinding("listen", e.getMessage());
        }
        tellVersions = from.flag("tell_versions", false);
        figuresMicros = from.integer("figures_ms", 1000, 0, 3_600_000) * 1000;
        from.close();
    }

    /** Reads the table; errors are added to its findings. */
    public static ControlConfig read(Table from) {
        return new ControlConfig(from);
    }
}
