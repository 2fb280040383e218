package laneflow.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects all errors of a file or a message, so that an operator sees them together instead of one at each
 * start.
 */
public final class Findings {
    private final String file;
    private final boolean paths;
    private final List<String> findings = new ArrayList<>();

    /** Creates findings on a file; each begins with the file's name. */
    public Findings(String file) {
        this(file, false);
    }

    private Findings(String file, boolean paths) {
        this.file = file;
        this.paths = paths;
    }

    /** Creates findings on a message; each begins with the path to its value. */
    public static Findings paths() {
        return new Findings("", true);
    }

    /** Adds a finding on a key of a table; an empty table name stands for the top level. */
    public void add(String table, String key, String message) {
        if (paths) {
            findings.add(table + (table.isEmpty() || key.isEmpty() ? "" : ".") + key + ": " + message);
            return;
        }
        String place = (table.isEmpty() ? "" : "[" + table + "] ") + (key.isEmpty() ? "" : key + ": ");
        findings.add(file + ": " + place + message);
    }

    public boolean isEmpty() {
        return findings.isEmpty();
    }

    public List<String> all() {
        return List.copyOf(findings);
    }

    /** Throws a {@link ConfigException} if there are findings. */
    public void throwIfAny() {
        if (!findings.isEmpty()) {
            throw new ConfigException(findings);
        }
    }
}
