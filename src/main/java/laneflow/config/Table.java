package laneflow.config;

import com.electronwill.nightconfig.core.Config;
import com.electronwill.nightconfig.core.UnmodifiableConfig;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.core.io.ParsingMode;
import com.electronwill.nightconfig.toml.TomlFormat;
import com.electronwill.nightconfig.toml.TomlParser;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * One table of an operator's file (TOML, parsed by night-config). Getters check the type and range of a value;
 * an invalid value becomes a finding and the default is returned, so that reading continues. {@link #close}
 * reports every key that was never requested, so that a mistyped key is not ignored silently.
 */
public final class Table {
    private final UnmodifiableConfig values;
    private final String path;
    private final Findings findings;
    private final Set<String> requestedKeys = new HashSet<>();

    private Table(UnmodifiableConfig values, String path, Findings findings) {
        this.values = values;
        this.path = path;
        this.findings = findings;
    }

    /** Parses a text; if it is not valid TOML, that is a finding and the table is empty. */
    public static Table parse(String text, Findings findings) {
        Config config = TomlFormat.newConfig(LinkedHashMap::new);
        try {
            new TomlParser().parse(new StringReader(text), config, ParsingMode.REPLACE);
        } catch (ParsingException e) {
            findings.add("", "", "is no TOML: " + String.valueOf(e.getMessage()).split("\n")[0]);
            config.clear();
        }
        return new Table(config, "", findings);
    }

    /** Wraps a JSON object at that path as a table, so that one reader serves files and messages. */
    public static Table of(JsonObject json, String path, Findings findings) {
        return new Table(plain(json), path, findings);
    }

    private static Config plain(JsonObject json) {
        Config config = TomlFormat.newConfig(LinkedHashMap::new);
        json.entrySet().forEach(entry -> config.set(List.of(entry.getKey()), plain(entry.getValue())));
        return config;
    }

    private static Object plain(JsonElement value) {
        if (value.isJsonObject()) {
            return plain(value.getAsJsonObject());
        }
        if (value.isJsonArray()) {
            List<Object> list = new ArrayList<>();
            value.getAsJsonArray().forEach(element -> list.add(plain(element)));
            return list;
        }
        if (value.isJsonPrimitive() && value.getAsJsonPrimitive().isNumber()) {
            String text = value.getAsString();
            return text.matches("-?[0-9]{1,18}") ? (Object) Long.parseLong(text) : (Object) value.getAsDouble();
        }
        return value.isJsonPrimitive() && value.getAsJsonPrimitive().isBoolean()
                ? (Object) value.getAsBoolean()
                : value.isJsonNull() ? null : value.getAsString();
    }

    /** Replaces the key's value as if it had been read from the file. */
    public void put(String key, JsonElement value) {
        ((Config) values).set(List.of(key), plain(value));
    }

    public Findings findings() {
        return findings;
    }

    /** Adds a finding on a key of this table. */
    public void addFinding(String key, String message) {
        findings.add(path, key, message);
    }

    public boolean has(String key) {
        return value(key) != null;
    }

    /** Returns the keys present, in the file's order. */
    public List<String> keys() {
        List<String> keys = new ArrayList<>();
        values.entrySet().forEach(entry -> keys.add(entry.getKey()));
        return keys;
    }

    private Object value(String key) {
        requestedKeys.add(key);
        return values.get(List.of(key));
    }

    /** Returns a string, or the default if it is missing or invalid. */
    public String text(String key, String defaultValue) {
        Object value = value(key);
        if (value != null && !(value instanceof String)) {
            addFinding(key, "must be a text, in quotes");
            return defaultValue;
        }
        return value == null ? defaultValue : (String) value;
    }

    /** Returns a required string; a finding and an empty string if it is missing. */
    public String text(String key) {
        if (!has(key)) {
            addFinding(key, "is missing");
            return "";
        }
        return text(key, "");
    }

    /** Returns one of the given words, or the default if it is missing or invalid. */
    public String choice(String key, String defaultValue, String... words) {
        String text = text(key, defaultValue);
        if (text != null && !text.equals(defaultValue) && !List.of(words).contains(text)) {
            addFinding(key, "'" + text + "' is none of " + String.join(", ", words));
            return defaultValue;
        }
        return text;
    }

    /** Returns a number within the bounds, or the default if it is missing or invalid. */
    public double number(String key, double defaultValue, double min, double max) {
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof Number)) {
            addFinding(key, "must be a number");
            return defaultValue;
        }
        double number = ((Number) value).doubleValue();
        if (!(number >= min && number <= max)) {
            addFinding(
                    key, formatNumber(number) + " is not between " + formatNumber(min) + " and " + formatNumber(max));
            return defaultValue;
        }
        return number;
    }

    /** Returns an integer within the bounds, or the default if it is missing or invalid. */
    public long integer(String key, long defaultValue, long min, long max) {
        Object value = value(key);
        if (value != null && !(value instanceof Integer || value instanceof Long)) {
            addFinding(key, "must be a whole number");
            return defaultValue;
        }
        return (long) number(key, defaultValue, min, max);
    }

    public boolean flag(String key, boolean defaultValue) {
        Object value = value(key);
        if (value != null && !(value instanceof Boolean)) {
            addFinding(key, "must be true or false");
            return defaultValue;
        }
        return value == null ? defaultValue : (Boolean) value;
    }

    /** Returns a list of strings; empty if it is missing. */
    public List<String> texts(String key) {
        Object value = value(key);
        List<String> texts = new ArrayList<>();
        if (value != null && !(value instanceof List)) {
            addFinding(key, "must be a list of texts");
        } else if (value != null) {
            for (Object element : (List<?>) value) {
                if (element instanceof String) {
                    texts.add((String) element);
                } else {
                    addFinding(key, "must be a list of texts");
                }
            }
        }
        return texts;
    }

    /** Returns a nested table, or null if it is missing or invalid. */
    public Table table(String key) {
        Object value = value(key);
        if (value != null && !(value instanceof UnmodifiableConfig)) {
            addFinding(key, "must be a table");
            return null;
        }
        return value == null ? null : new Table((UnmodifiableConfig) value, join(key), findings);
    }

    /** Returns the tables below a key by name, in the file's order. */
    public Map<String, Table> tables(String key) {
        Map<String, Table> found = new LinkedHashMap<>();
        Table outer = table(key);
        if (outer != null) {
            for (UnmodifiableConfig.Entry entry : outer.values.entrySet()) {
                Table table = outer.table(entry.getKey());
                if (table != null) {
                    found.put(entry.getKey(), table);
                }
            }
        }
        return found;
    }

    /** Ends reading: every key that was not requested becomes a finding. */
    public void close() {
        for (UnmodifiableConfig.Entry entry : values.entrySet()) {
            if (!requestedKeys.contains(entry.getKey())) {
                addFinding(
                        entry.getKey(),
                        "is unknown here; known are "
                                + String.join(
                                        ", ", requestedKeys.stream().sorted().toList()));
            }
        }
    }

    private String join(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private static String formatNumber(double number) {
        boolean isWhole = number == Math.rint(number) && Math.abs(number) < 1e15;
        return isWhole ? String.format(Locale.ROOT, "%.0f", number) : String.valueOf(number);
    }
}
