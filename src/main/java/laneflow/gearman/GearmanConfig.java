package laneflow.gearman;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import laneflow.config.Findings;
import laneflow.config.Table;
import laneflow.decision.Dispatch.Settings;

/** Where the Gearman front listens, and what each function is to the scheduler. */
public final class GearmanConfig {
    private static final double HOUR_MS = 3_600_000;

    /**
     * One function of the protocol; background jobs of a durable one outlive the process.
     *
     * @param deadline microseconds, or 0: its class's, whatever that is when a job comes
     */
    public record Function(String name, int jobClass, long deadline, double hint, double slots,
            boolean durable) {
    }

    public final String listen;
    /** The zone that connected workers count to. */
    public final int zone;
    public final Map<String, Function> functions = new TreeMap<>();

    private final List<String> classes;

    private GearmanConfig(Table from, Settings settings, List<String> classes, List<String> zones) {
        this.classes = classes;
        listen = from.text("listen");
        String zoneName = from.text("zone", null);
        zone = zoneName == null ? settings.zone : zones.indexOf(zoneName);
        if (zone < 0) {
            from.wrong("zone", "'" + zoneName + "' is none of " + zones);
        }
        Map<String, Table> all = from.tables("functions");
        if (all.isEmpty()) {
            from.wrong("functions", "no [functions.NAME]");
        }
        all.forEach((name, one) -> {
            String className = one.text("class");
            int jobClass = classes.indexOf(className);
            if (jobClass < 0) {
                one.wrong("class", "'" + className + "' is none of " + classes);
            }
            double wait = one.number("deadline_ms", 0, 1, HOUR_MS);
            double cost = one.number("cost_ms", Double.NaN, 0, HOUR_MS) / 1000;
            functions.put(name, new Function(name, jobClass, (long) (wait * 1000), cost,
                    one.number("slots", 1, 0.01, 1024), one.flag("durable", false)));
            one.close();
        });
        from.close();
    }

    private GearmanConfig(GearmanConfig other) {
        classes = other.classes;
        listen = other.listen;
        zone = other.zone;
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
                next = new Function(name, now.jobClass(), next.deadline(), next.hint(), next.slots(),
                        now.durable());
            }
            functions.put(name, next);
        });
        functions.keySet().stream().filter(name -> !other.functions.containsKey(name)).forEach(name ->
                later.add("functions." + name + ": is mapped until the next start"));
        return later;
    }

    String className(Function function) {
        return classes.get(function.jobClass());
    }

    /** Reads a table against the scheduler's settings; what is wrong becomes findings of the table's. */
    public static GearmanConfig read(Table from, Settings settings, List<String> classes,
            List<String> zones) {
        return new GearmanConfig(from, settings, classes, zones);
    }

    /** Reads a file of its own. */
    public static GearmanConfig read(Path file, Settings settings, List<String> classes, List<String> zones)
            throws IOException {
        return parse(Files.readString(file), file.toString(), settings, classes, zones);
    }

    public static GearmanConfig parse(String text, Settings settings, List<String> classes,
            List<String> zones) {
        return parse(text, "the Gearman file", settings, classes, zones);
    }

    private static GearmanConfig parse(String text, String name, Settings settings, List<String> classes,
            List<String> zones) {
        Findings findings = new Findings(name);
        Table table = Table.parse(text, findings);
        findings.raise();
        GearmanConfig config = read(table, settings, classes, zones);
        findings.raise();
        return config;
    }
}
