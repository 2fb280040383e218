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
 * One table of an operator's file (TOML, read by night-config). Each value is asked for once with its type
 * and range; what does not fit becomes a finding and its default is returned, so that reading goes on. What
 * nobody has asked for by {@link #close} is a finding too: a mistyped key must not be passed over.
 */
public final class Table {
    private final UnmodifiableConfig from;
    private final String path;
    private final Findings findings;
    private final Set<String> asked = new HashSet<>();

    private Table(UnmodifiableConfig from, String path, Findings findings) {
        this.from = from;
        this.path = path;
        this.findings = findings;
    }

    /** The whole of a text; what is no TOML is a finding, and the table is empty. */
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

    /** A JSON object as a table, so that one reader serves files and messages; the path leads to it. */
    public static Table of(JsonObject from, String path, Findings findings) {
        return new Table(plain(from), path, findings);
    }

    private static Config plain(JsonObject from) {
        Config config = TomlFormat.newConfig(LinkedHashMap::new);
        from.entrySet().forEach(entry -> config.set(List.of(entry.getKey()), plain(entry.getValue())));
        return config;
    }

    private static Object plain(JsonElement value) {
        if (value.isJsonObject()) {
            return plain(value.getAsJsonObject());
        }
        if (value.isJsonArray()) {
            List<Object> all = new ArrayList<>();
            value.getAsJsonArray().forEach(one -> all.add(plain(one)));
            return all;
        }
        if (value.isJsonPrimitive() && value.getAsJsonPrimitive().isNumber()) {
            String text = value.getAsString();
            return text.matches("-?[0-9]{1,18}") ? (Object) Long.parseLong(text) : (Object) value.getAsDouble();
        }
        return value.isJsonPrimitive() && value.getAsJsonPrimitive().isBoolean()
                ? (Object) value.getAsBoolean()
                : value.isJsonNull() ? null : value.getAsString();
    }

    /** Puts a value in the place of the key's, as if the file had said so. */
    public void put(String key, JsonElement value) {
        ((Config) from).set(List.of(key), plain(value));
    }

    public Findings findings() {
        return findings;
    }

    /** Notes what is wrong with one of its keys. */
    public void addFinding(String key, String what) {
        findings.add(path, key, what);
    }

    public boolean has(String key) {
        return value(key) != null;
    }

    /** The keys that are there, in the file's order. */
    public List<String> keys() {
        List<String> keys = new ArrayList<>();
        from.entrySet().forEach(entry -> keys.add(entry.getKey()));
        return keys;
    }

    private Object value(String key) {
        asked.add(key);
        return from.get(List.of(key));
    }

    /** A text, or the default. */
    public String text(String key, String absent) {
        Object value = value(key);
        if (value != null && !(value instanceof String)) {
            addFinding(key, "must be a text, in quotes");
            return absent;
        }
        return value == null ? absent : (String) value;
    }

    /** A text that must be there. */
    public String text(String key) {
        if (!has(key)) {
            addFinding(key, "is missing");
            return "";
        }
        return text(key, "");
    }

    /** One of these words, or the default. */
    public String choice(String key, String absent, String... words) {
        String text = text(key, absent);
        if (text != null && !text.equals(absent) && !List.of(words).contains(text)) {
            addFinding(key, "'" + text + "' is none of " + String.join(", ", words));
            return absent;
        }
        return text;
    }

    /** A number within these bounds, or the default. */
    public double number(String key, double absent, double least, double most) {
        Object value = value(key);
        if (value == null) {
            return absent;
        }
        if (!(value instanceof Number)) {
            addFinding(key, "must be a number");
            return absent;
        }
        double number = ((Number) value).doubleValue();
        if (!(number >= least && number <= most)) {
            addFinding(key, plain(number) + " is not between " + plain(least) + " and " + plain(most));
            return absent;
        }
        return number;
    }

    /** A whole number within these bounds, or the default. */
    public long integer(String key, long absent, long least, long most) {
        Object value = value(key);
        if (value != null && !(value instanceof Integer || value instanceof Long)) {
            addFinding(key, "must be a whole number");
            return absent;
        }
        return (long) number(key, absent, least, most);
    }

    public boolean flag(String key, boolean absent) {
        Object value = value(key);
        if (value != null && !(value instanceof Boolean)) {
            addFinding(key, "must be true or false");
            return absent;
        }
        return value == null ? absent : (Boolean) value;
    }

    /** A list of texts; empty where there is none. */
    public List<String> texts(String key) {
        Object value = value(key);
        List<String> texts = new ArrayList<>();
        if (value != null && !(value instanceof List)) {
            addFinding(key, "must be a list of texts");
        } else if (value != null) {
            for (Object one : (List<?>) value) {
                if (one instanceof String) {
                    texts.add((String) one);
                } else {
                    addFinding(key, "must be a list of texts");
                }
            }
        }
        return texts;
    }

    /** An inner table, or null. */
    public Table table(String key) {
        Object value = value(key);
        if (value != null && !(value instanceof UnmodifiableConfig)) {
            addFinding(key, "must be a table");
            return null;
        }
        return value == null ? null : new Table((UnmodifiableConfig) value, join(key), findings);
    }

    /** The tables below this key by name, in the file's order. */
    public Map<String, Table> tables(String key) {
        Map<String, Table> found = new LinkedHashMap<>();
        Table outer = table(key);
        if (outer != null) {
            for (UnmodifiableConfig.Entry entry : outer.from.entrySet()) {
                Table one = outer.table(entry.getKey());
                if (one != null) {
                    found.put(entry.getKey(), one);
                }
            }
        }
        return found;
    }

    /** All that was to be asked has been: what is left over is unknown. */
    public void close() {
        for (UnmodifiableConfig.Entry entry : from.entrySet()) {
            if (!asked.contains(entry.getKey())) {
                addFinding(
                        entry.getKey(),
                        "is unknown here; known are "
                                + String.join(", ", asked.stream().sorted().toList()));
            }
        }
    }

    private String join(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private static String plain(double number) {
        boolean whole = number == Math.rint(number) && Math.abs(number) < 1e15;
        return whole ? String.format(Locale.ROOT, "%.0f", number) : String.valueOf(number);
    }
}
