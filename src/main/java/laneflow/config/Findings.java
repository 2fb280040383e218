package laneflow.config;

import java.util.ArrayList;
import java.util.List;

/**
 * What is wrong with a file, all of it: who mends one line must not have to start again to hear of the
 * next.
 */
public final class Findings {
    private final String file;
    private final boolean paths;
    private final List<String> all = new ArrayList<>();

    /** Findings on that file. */
    public Findings(String file) {
        this(file, false);
    }

    private Findings(String file, boolean paths) {
        this.file = file;
        this.paths = paths;
    }

    /** Findings on a message: each begins with the path to its value. */
    public static Findings paths() {
        return new Findings("", true);
    }

    /** Notes what is wrong with a key of a table; the empty text is the file's own top. */
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

    /** Throws them, if there are any. */
    public void throwIfAny() {
        if (!all.isEmpty()) {
            throw new ConfigException(all);
        }
    }
}
