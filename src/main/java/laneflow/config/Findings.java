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
    private final List<String> all = new ArrayList<>();

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
    public void add(String table, String key, String what) {
        if (paths) {
            all.add(table + (table.isEmpty() || key.isEmpty() ? "" : ".") + key + ": " + what);
            return;
        }
        String place = (table.isEmpty() ? "" : "[" + table + "] ") + (key.isEmpty() ? "" : key + ": ");
        all.add(file + ": " + place + what);
    }

    public boolean isEmpty() {
        return all.isEmpty();
    }

    public List<String> all() {
        return List.copyOf(all);
    }

    /** Throws a {@link ConfigException} if there are findings. */
    public void throwIfAny() {
        if (!all.isEmpty()) {
            throw new ConfigException(all);
        }
    }
}
