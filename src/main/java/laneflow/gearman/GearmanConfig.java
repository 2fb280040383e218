package laneflow.gearman;

import com.electronwill.nightconfig.core.Config;
import com.electronwill.nightconfig.core.UnmodifiableConfig;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import laneflow.decision.Dispatch.Settings;

/** Where the Gearman front listens, and what each function is to the scheduler. */
public final class GearmanConfig {
    /** One function of the protocol. */
    public record Function(String name, int jobClass, long deadline, double hint, double slots) {
    }

    public final String listen;
    /** The zone that connected workers count to. */
    public final int zone;
    public final Map<String, Function> functions = new TreeMap<>();

    private final List<String> classes;

    private GearmanConfig(UnmodifiableConfig from, Settings settings, List<String> classes,
            List<String> zones) {
        this.classes = classes;
        listen = text(from, "listen");
        String zoneName = from.get("zone");
        zone = zoneName == null ? settings.zone : zones.indexOf(zoneName);
        if (zone < 0) {
            throw new IllegalArgumentException("zone '" + zoneName + "' is none of " + zones);
        }
        UnmodifiableConfig all = from.get("functions");
        if (all == null || all.isEmpty()) {
            throw new IllegalArgumentException("no [functions.NAME]");
        }
        for (UnmodifiableConfig.Entry entry : all.entrySet()) {
            UnmodifiableConfig one = entry.getValue();
            String className = text(one, "class");
            int jobClass = classes.indexOf(className);
            if (jobClass < 0) {
                throw new IllegalArgumentException("function '" + entry.getKey() + "': class '" + className
                        + "' is none of " + classes);
            }
            double wait = number(one, "deadline_ms", settings.classes[jobClass].deadline * 1000);
            if (wait <= 0) {
                throw new IllegalArgumentException("function '" + entry.getKey() + "': deadline_ms " + wait);
            }
            functions.put(entry.getKey(), new Function(entry.getKey(), jobClass, (long) (wait * 1000),
                    number(one, "cost_ms", Double.NaN) / 1000, number(one, "slots", 1)));
        }
    }

    String className(Function function) {
        return classes.get(function.jobClass());
    }

    /** Reads the file against the scheduler's settings. */
    public static GearmanConfig read(Path file, Settings settings, List<String> classes, List<String> zones)
            throws IOException {
        try {
            return parse(Files.readString(file), settings, classes, zones);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(file + ": " + e.getMessage());
        }
    }

    public static GearmanConfig parse(String text, Settings settings, List<String> classes,
            List<String> zones) {
        try {
            Config config = new TomlParser().parse(text);
            return new GearmanConfig(config, settings, classes, zones);
        } catch (ParsingException | ClassCastException e) {
            throw new IllegalArgumentException(e.getMessage());
        }
    }

    private static String text(UnmodifiableConfig from, String key) {
        String value = from.get(key);
        if (value == null) {
            throw new IllegalArgumentException("'" + key + "' is missing");
        }
        return value;
    }

    private static double number(UnmodifiableConfig from, String key, double absent) {
        Number value = from.get(key);
        return value == null ? absent : value.doubleValue();
    }
}
