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

/** Settings of the Gearman front: its listen address, limits, and the job class of each function. */
public final class GearmanConfig {
    private static final double HOUR_MS = 3_600_000;
    private static final int MAX_UNMAPPED_FUNCTIONS = 10_000;
    /** Length of the longest function name that is taken. */
    static final int MAX_NAME_LENGTH = 512;

    /**
     * A Gearman function; background jobs of a durable function survive a restart.
     *
     * @param deadline microseconds, or 0 for the deadline that its class has when a job is submitted
     */
    public record Function(String name, int jobClass, long deadline, double hint, double slots, boolean durable) {}

    public final String listen;
    /** The zone assigned to connected workers. */
    public final int zone;

    public final Map<String, Function> functions = new TreeMap<>();
    /** The class of functions without a table of their own; below 0: such functions are refused. */
    public final int unmappedClass;
    /**
     * The default limit of queued jobs per function and priority, which the command 'maxqueue' overrides; 0:
     * unlimited.
     */
    public final int maxQueued;
    /** The maximum size of a job's data or result. */
    public final int maxBodyBytes;
    /** Whether the text command 'shutdown' stops the scheduler. */
    public final boolean shutdownAllowed;
    /** Functions used by clients and workers that have no table, of class {@link #unmappedClass}. */
    private final Map<String, Function> unmappedFunctions = new HashMap<>();

    private final List<String> classes;

    private GearmanConfig(Table from, Settings settings, List<String> classes, List<String> zones) {
        this.classes = classes;
        listen = from.text("listen");
        String zoneName = from.text("zone", null);
        zone = zoneName == null ? settings.zone : zones.indexOf(zoneName);
        if (zone < 0) {
            from.addFinding("zone", "'" + zoneName + "' is none of " + zones);
        }
        String unmappedName = from.text("unmapped_class", null);
        unmappedClass = unmappedName == null ? -1 : classes.indexOf(unmappedName);
        if (unmappedName != null && unmappedClass < 0) {
            from.addFinding("unmapped_class", "'" + unmappedName + "' is none of " + classes);
        }
        maxQueued = (int) from.integer("most_queued", 0, 0, 10_000_000);
        maxBodyBytes = (int) from.integer("most_body_kib", 1024, 1, 65_536) * 1024;
        shutdownAllowed = from.flag("shutdown", false);
        Map<String, Table> tables = from.tables("functions");
        if (tables.isEmpty() && unmappedName == null) {
            from.addFinding("functions", "no [functions.NAME]");
        }
        tables.forEach((name, table) -> {
            String className = table.text("class");
            int jobClass = classes.indexOf(className);
            if (jobClass < 0) {
                table.addFinding("class", "'" + className + "' is none of " + classes);
            }
            double deadlineMs = table.number("deadline_ms", 0, 1, HOUR_MS);
            double hint = table.number("cost_ms", Double.NaN, 0, HOUR_MS) / 1000;
            functions.put(
                    name,
                    new Function(
                            name,
                            jobClass,
                            (long) (deadlineMs * 1000),
                            hint,
                            table.number("slots", 1, 0.01, 1024),
                            table.flag("durable", false)));
            table.close();
        });
        from.close();
    }

    private GearmanConfig(GearmanConfig other) {
        classes = other.classes;
        listen = other.listen;
        zone = other.zone;
        unmappedClass = other.unmappedClass;
        maxQueued = other.maxQueued;
        maxBodyBytes = other.maxBodyBytes;
        shutdownAllowed = other.shutdownAllowed;
        functions.putAll(other.functions);
    }

    /** A copy that later calls of {@link #adopt} on this one don't change. */
    public GearmanConfig copy() {
        return new GearmanConfig(this);
    }

    /**
     * Adopts the functions of a newer configuration, except changes that existing jobs and workers rule out,
     * and returns the changes that need a restart. Called on the loop's thread.
     */
    List<String> adopt(GearmanConfig other) {
        List<String> deferred = new ArrayList<>();
        if (!listen.equals(other.listen) || zone != other.zone) {
            deferred.add("listen and zone: from the next start on");
        }
        other.functions.forEach((name, updated) -> {
            Function current = functions.get(name);
            if (current != null
                    && (current.jobClass() != updated.jobClass() || current.durable() != updated.durable())) {
                // Workers are listed by class, and a durable job must be found by the process that accepted it.
                deferred.add("functions." + name + ": class and durable from the next start on");
                updated = new Function(
                        name,
                        current.jobClass(),
                        updated.deadline(),
                        updated.hint(),
                        updated.slots(),
                        current.durable());
            }
            functions.put(name, updated);
        });
        functions.keySet().stream()
                .filter(name -> !other.functions.containsKey(name))
                .forEach(name -> deferred.add("functions." + name + ": is mapped until the next start"));
        return deferred;
    }

    /** The function of that name, or null if it is refused. */
    Function function(String name) {
        Function function = functions.get(name);
        if (function == null && unmappedClass >= 0) {
            function = unmappedFunctions.get(name);
            if (function == null
                    && unmappedFunctions.size() < MAX_UNMAPPED_FUNCTIONS
                    && !name.isEmpty()
                    && name.length() <= MAX_NAME_LENGTH) {
                function = new Function(name, unmappedClass, 0, Double.NaN, 1, false);
                unmappedFunctions.put(name, function);
            }
        }
        return function;
    }

    /** Forgets a function without a table; false if the configuration maps it. */
    boolean forgetUnmapped(String name) {
        unmappedFunctions.remove(name);
        return !functions.containsKey(name);
    }

    String className(Function function) {
        return classes.get(function.jobClass());
    }

    /** Reads a table against the scheduler's settings; errors are added to the table's findings. */
    public static GearmanConfig read(Table from, Settings settings, List<String> classes, List<String> zones) {
        return new GearmanConfig(from, settings, classes, zones);
    }

    /** Reads a separate Gearman file. */
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
