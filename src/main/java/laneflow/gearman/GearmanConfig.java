package laneflow.gearman;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import laneflow.config.Findings;
import laneflow.config.Table;
import laneflow.decision.Dispatch.Settings;

/** Where the Gearman front listens, and what each function is to the scheduler. */
public final class GearmanConfig {
    private static final double HOUR_MS = 3_600_000;
    private static final int MOST_NAMED = 10_000;
    private static final int MOST_NAME = 512;

    /**
     * One function of the protocol; background jobs of a durable one outlive the process.
     *
     * @param deadline microseconds, or 0: its class's, whatever that is when a job comes
     */
    public record Function(String name, int jobClass, long deadline, double hint, double slots, boolean durable) {}

    public final String listen;
    /** The zone that connected workers count to. */
    public final int zone;

    public final Map<String, Function> functions = new TreeMap<>();
    /** Functions that no table names are of this class; below 0: they are refused. */
    public final int unmapped;
    /**
     * The most jobs that wait of a function and priority where no client's 'maxqueue' says otherwise; 0:
     * any.
     */
    public final int mostQueued;
    /** The longest body of a job or a result, bytes. */
    public final int mostBody;
    /** Whether 'shutdown' on the text protocol ends the scheduler. */
    public final boolean mayShutdown;
    /** Functions that clients and workers have named, of {@link #unmapped}'s class. */
    private final Map<String, Function> named = new HashMap<>();

    private final List<String> classes;

    private GearmanConfig(Table from, Settings settings, List<String> classes, List<String> zones) {
        this.classes = classes;
        listen = from.text("listen");
        String zoneName = from.text("zone", null);
        zone = zoneName == null ? settings.zone : zones.indexOf(zoneName);
        if (zone < 0) {
            from.addFinding("zone", "'" + zoneName + "' is none of " + zones);
        }
        String other = from.text("unmapped_class", null);
        unmapped = other == null ? -1 : classes.indexOf(other);
        if (other != null && unmapped < 0) {
            from.addFinding("unmapped_class", "'" + other + "' is none of " + classes);
        }
        mostQueued = (int) from.integer("most_queued", 0, 0, 10_000_000);
        mostBody = (int) from.integer("most_body_kib", 1024, 1, 65_536) * 1024;
        mayShutdown = from.flag("shutdown", false);
        Map<String, Table> all = from.tables("functions");
        if (all.isEmpty() && other == null) {
            from.addFinding("functions", "no [functions.NAME]");
        }
        all.forEach((name, one) -> {
            String className = one.text("class");
            int jobClass = classes.indexOf(className);
            if (jobClass < 0) {
                one.addFinding("class", "'" + className + "' is none of " + classes);
            }
            double wait = one.number("deadline_ms", 0, 1, HOUR_MS);
            double cost = one.number("cost_ms", Double.NaN, 0, HOUR_MS) / 1000;
            functions.put(
                    name,
                    new Function(
                            name,
                            jobClass,
                            (long) (wait * 1000),
                            cost,
                            one.number("slots", 1, 0.01, 1024),
                            one.flag("durable", false)));
            one.close();
        });
        from.close();
    }

    private GearmanConfig(GearmanConfig other) {
        classes = other.classes;
        listen = other.listen;
        zone = other.zone;
        unmapped = other.unmapped;
        mostQueued = other.mostQueued;
        mostBody = other.mostBody;
        mayShutdown = other.mayShutdown;
        functions.putAll(other.functions);
    }

    /** The same, on which later versions do not tell. */
    public GearmanConfig copy() {
        return new GearmanConfig(this);
    }

    /**
     * Takes over the functions of another reading, as far as jobs and workers that are here allow; tells
     * what waits for a restart. On the loop's thread.
     */
    List<String> adopt(GearmanConfig other) {
        List<String> later = new ArrayList<>();
        if (!listen.equals(other.listen) || zone != other.zone) {
            later.add("listen and zone: from the next start on");
        }
        other.functions.forEach((name, next) -> {
            Function now = functions.get(name);
            if (now != null && (now.jobClass() != next.jobClass() || now.durable() != next.durable())) {
                // Workers are listed by class, and a durable job must be found by the one that took it on.
                later.add("functions." + name + ": class and durable from the next start on");
                next = new Function(name, now.jobClass(), next.deadline(), next.hint(), next.slots(), now.durable());
            }
            functions.put(name, next);
        });
        functions.keySet().stream()
                .filter(name -> !other.functions.containsKey(name))
                .forEach(name -> later.add("functions." + name + ": is mapped until the next start"));
        return later;
    }

    /** What a name stands for, or null where it is refused. */
    Function function(String name) {
        Function mapped = functions.get(name);
        if (mapped == null && unmapped >= 0) {
            mapped = named.get(name);
            if (mapped == null && named.size() < MOST_NAMED && !name.isEmpty() && name.length() <= MOST_NAME) {
                mapped = new Function(name, unmapped, 0, Double.NaN, 1, false);
                named.put(name, mapped);
            }
        }
        return mapped;
    }

    /** Forgets a name that was made known by being said; false where a table maps it. */
    boolean forget(String name) {
        named.remove(name);
        return !functions.containsKey(name);
    }

    String className(Function function) {
        return classes.get(function.jobClass());
    }

    /** Reads a table against the scheduler's settings; what is wrong becomes findings of the table's. */
    public static GearmanConfig read(Table from, Settings settings, List<String> classes, List<String> zones) {
        return new GearmanConfig(from, settings, classes, zones);
    }

    /** Reads a file of its own. */
    public static GearmanConfig read(Path file, Settings settings, List<String> classes, List<String> zones)
            throws IOException {
        return parse(Files.readString(file), file.toString(), settings, classes, zones);
    }

    public static GearmanConfig parse(String text, Settings settings, List<String> classes, List<String> zones) {
        return parse(text, "the Gearman file", settings, classes, zones);
    }

    private static GearmanConfig parse(
            String text, String name, Settings settings, List<String> classes, List<String> zones) {
        Findings findings = new Findings(name);
        Table table = Table.parse(text, findings);
        findings.throwIfAny();
        GearmanConfig config = read(table, settings, classes, zones);
        findings.throwIfAny();
        return config;
    }
}
