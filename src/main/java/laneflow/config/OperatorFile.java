package laneflow.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * The operators' configuration file, {@code deploy/laneflow.toml}. It holds the scheduler's settings and the
 * tables of the subsystems. This class translates the settings into the format of the platform's file, so that
 * one reader serves both formats; each subsystem reads its own table.
 */
public final class OperatorFile {
    private static final double HOUR_MS = 3_600_000;
    private static final String NAME_PATTERN = "[A-Za-z0-9_.-]{1,64}";

    private final Table root;
    private final JsonObject platform = new JsonObject();
    private final Table gearman;
    private final Table durable;
    private final Table control;
    private final Table fleet;
    private final Table policy;
    private final Table members;
    private final Table tasks;
    private final Table capacity;
    private final Table maintenance;

    private OperatorFile(Table root) {
        this.root = root;
        gearman = root.table("gearman");
        durable = root.table("durable");
        control = root.table("control");
        fleet = root.table("fleet");
        policy = root.table("policy");
        members = root.table("members");
        tasks = root.table("tasks");
        capacity = root.table("capacity");
        maintenance = root.table("maintenance");
        readTopLevel();
        root.close();
    }

    /** Reads the file; errors are collected in {@link #findings}. */
    public static OperatorFile read(Path file) throws IOException {
        return parse(Files.readString(file), file.toString());
    }

    /**
     * Reads the file with streamed resources, by type, in place of its own tables: classes, limits, functions,
     * durable.
     */
    public static OperatorFile read(Path file, Map<String, JsonArray> streamed) throws IOException {
        Table root = Table.parse(Files.readString(file), new Findings(file + " under the last good versions"));
        streamed.forEach((type, resources) -> replaceTable(root, type, resources));
        return new OperatorFile(root);
    }

    private static void replaceTable(Table root, String type, JsonArray resources) {
        JsonObject named = new JsonObject();
        JsonObject resourceTable = new JsonObject();
        for (JsonElement resource : resources) {
            resourceTable = resource.getAsJsonObject().deepCopy();
            named.add(resourceTable.remove("name").getAsString(), resourceTable);
        }
        if (type.equals("functions")) {
            if (root.has("gearman")) {
                root.table("gearman").put("functions", named);
            }
        } else if (type.equals("classes")) {
            root.put("classes", named);
        } else {
            if (resourceTable.has("listen")) {
                root.put("listen", resourceTable.remove("listen"));
            }
            root.put(type, resourceTable);
        }
    }

    /** Parses a text; the name is used in findings. */
    public static OperatorFile parse(String text, String name) {
        return new OperatorFile(Table.parse(text, new Findings(name)));
    }

    public Findings findings() {
        return root.findings();
    }

    /** The table of the Gearman front, or null if it is disabled. */
    public Table gearman() {
        return gearman;
    }

    /** The table of durable jobs, or null if they are disabled. */
    public Table durable() {
        return durable;
    }

    /** The table of streamed configuration, or null if it is disabled. */
    public Table control() {
        return control;
    }

    /** The table of the links between schedulers, or null if there are none. */
    public Table fleet() {
        return fleet;
    }

    /** The table of fleet-wide policy changes, or null if they are disabled. */
    public Table policy() {
        return policy;
    }

    /** The table of the schedulers' membership, or null if it is disabled. */
    public Table members() {
        return members;
    }

    /** The table of tasks that run once in the fleet, or null if there is none. */
    public Table tasks() {
        return tasks;
    }

    /** The table of free capacity shared among schedulers, or null if it is disabled. */
    public Table capacity() {
        return capacity;
    }

    /** The table of maintenance windows, or null if they are disabled. */
    public Table maintenance() {
        return maintenance;
    }

    /** The scheduler's settings in the format of the platform's file. */
    public JsonObject platform() {
        return platform;
    }

    /** Merges the platform's file with this one: its values take precedence, missing ones come from this file. */
    public JsonObject withDefaults(JsonObject named) {
        return merge(named, platform);
    }

    private static JsonObject merge(JsonObject first, JsonObject second) {
        JsonObject merged = first.deepCopy();
        for (Map.Entry<String, JsonElement> entry : second.entrySet()) {
            JsonElement existing = merged.get(entry.getKey());
            if (existing == null) {
                merged.add(entry.getKey(), entry.getValue());
            } else if (existing.isJsonObject() && entry.getValue().isJsonObject()) {
                merged.add(
                        entry.getKey(),
                        merge(existing.getAsJsonObject(), entry.getValue().getAsJsonObject()));
            }
        }
        return merged;
    }

    private void readTopLevel() {
        JsonObject settings = new JsonObject();
        for (String key : new String[] {"name", "seed"}) {
            String text = root.text(key, null);
            if (text != null) {
                platform.addProperty(key, text);
            }
        }
        for (String key : new String[] {"listen", "discovery"}) {
            String text = root.text(key, null);
            if (text != null && !text.matches("[0-9.]+:[0-9]{1,5}|\\[[0-9a-fA-F:.]+\\]:[0-9]{1,5}")) {
                root.addFinding(key, "'" + text + "' is not an address and port in figures");
            } else if (text != null) {
                platform.addProperty(key, text);
            }
        }
        List<String> zones = root.texts("zones");
        String zone = root.text("zone", zones.isEmpty() ? null : zones.get(0));
        if (zone != null && !zones.contains(zone)) {
            root.addFinding("zone", "'" + zone + "' is none of the zones " + zones);
        }
        if (!zones.isEmpty()) {
            JsonArray areas = new JsonArray();
            zones.forEach(areas::add);
            settings.add("areas", areas);
            settings.addProperty("az", Math.max(0, zones.indexOf(zone)));
        }
        limits(settings);
        rules(settings);
        classes(settings);
        endpoints(zones);
        tenants(settings, zones);
        JsonArray fields = new JsonArray();
        List.of("busy", "q", "rate", "x0").forEach(fields::add);
        JsonObject reporting = new JsonObject();
        reporting.add("fields", fields);
        reporting.addProperty("source", root.choice("load_reports", "answers", "answers", "none"));
        settings.add("reporting", reporting);
        platform.add("settings", settings);
    }

    private void limits(JsonObject settings) {
        Table from = root.table("limits");
        // A missing table counts as an empty one, so that retries and cancelling stay enabled by default.
        limits(from != null ? from : Table.of(new JsonObject(), "limits", root.findings()), platform, settings);
    }

    /** Translates a table of limits into the platform's format: process limits and limits of the settings. */
    public static void limits(Table from, JsonObject platform, JsonObject settings) {
        JsonObject processLimits = new JsonObject();
        processLimits.addProperty("sockets", from.integer("sockets", 1024, 96, 1 << 20));
        platform.add("limits", processLimits);
        JsonObject to = new JsonObject();
        to.addProperty("cancel", from.flag("cancel", true));
        to.addProperty("probes", from.flag("probes", false));
        to.addProperty("connectTimeout", from.number("connect_timeout_ms", 1000, 1, HOUR_MS) / 1000);
        to.addProperty("connIdle", from.number("endpoint_idle_ms", 10_000, 10, HOUR_MS) / 1000);
        to.addProperty("maxAttempts", from.integer("attempts", 5, 1, 5));
        to.addProperty("retryAfter", from.flag("retry_after", true));
        to.addProperty("maxRetryAfter", from.number("longest_retry_after_ms", 2000, 0, HOUR_MS) / 1000);
        settings.add("limits", to);
        from.close();
    }

    private void rules(JsonObject settings) {
        JsonObject to = new JsonObject();
        Table from = root.table("rules");
        // Without the table a drain still gets its grace period.
        to.addProperty("stopSendingWithin", from == null ? 0.5 : from.number("drain_grace_ms", 500, 0, 500) / 1000);
        if (from != null) {
            to.addProperty("coldFrom", from.number("cold_share", 1, 0.01, 1));
            to.addProperty("cold", from.number("cold_ms", 0, 0, HOUR_MS) / 1000);
            to.addProperty("tipMultiple", from.number("fall_multiple", 1, 1, 100));
            to.addProperty("fall", from.number("fall_ms", 0, 0, HOUR_MS) / 1000);
            from.close();
        }
        Table module = root.table("module");
        if (module != null) {
            module(module, to);
        }
        settings.add("rules", to);
    }

    /** Translates the module's table into rules of the platform's format. */
    public static void module(Table from, JsonObject to) {
        to.addProperty("crossEachWay", from.number("cross_each_way", 0.5, 0, 1));
        to.addProperty("spareAttempts", from.number("retry_free", 0, 0, 1e6));
        to.addProperty("repeatRatio", from.number("retry_share", 0, 0, 5));
        double window = from.number("retry_window_ms", 0, 0, HOUR_MS);
        if (window == 0 && (from.has("retry_free") || from.has("retry_share"))) {
            from.addFinding("retry_window_ms", "is missing: in which time retry_free and retry_share are counted");
        }
        to.addProperty("resendSpan", window / 1000);
        from.close();
    }

    private void classes(JsonObject settings) {
        Map<String, Table> tables = root.tables("classes");
        JsonArray classes = new JsonArray();
        JsonArray stretches = new JsonArray();
        tables.forEach((name, from) -> classOf(name, from, classes, stretches));
        if (!tables.isEmpty()) {
            settings.add("classes", classes);
            settings.add("familyInfo", familyInfo(stretches));
        }
    }

    /** Returns the part of the platform's format that describes all classes together. */
    public static JsonObject familyInfo(JsonArray stretches) {
        JsonObject info = new JsonObject();
        info.add("classStretch", stretches);
        info.addProperty("tellsStart", true);
        return info;
    }

    /** Translates a class's table into the platform's format, which lists stretches separately. */
    public static void classOf(String name, Table from, JsonArray classes, JsonArray stretches) {
        JsonObject to = new JsonObject();
        if (!name.matches(NAME_PATTERN)) {
            from.addFinding("", "is no name of a class: letters, digits, '_', '.' and '-'");
        }
        to.addProperty("name", name);
        double aim = from.number("aim_ms", 200, 1, HOUR_MS);
        double deadline = from.number("deadline_ms", 5000, 1, HOUR_MS);
        if (deadline < aim) {
            from.addFinding("deadline_ms", "is under aim_ms: nothing would be served in time");
        }
        to.addProperty("aim", aim / 1000);
        to.addProperty("hardLimit", deadline / 1000);
        to.addProperty("worth", from.number("worth", 1, 0, 1e6));
        String repeat = from.choice("repeat", "never", "safe", "keyed", "never");
        to.addProperty("semantics", repeat.equals("safe") ? "pure" : repeat.equals("keyed") ? "token" : "side_effect");
        double window = from.number("window_ms", 0, 0, HOUR_MS);
        if (repeat.equals("keyed") && window == 0) {
            from.addFinding("window_ms", "is missing: how long endpoints drop a repeat of the key");
        }
        to.addProperty("dedupWindow", window / 1000);
        to.addProperty("group", "all");
        stretches.add(from.number("stretch", 2, 0, 100));
        classes.add(to);
        from.close();
    }

    private void endpoints(List<String> zones) {
        JsonArray hosts = new JsonArray();
        root.tables("endpoints").forEach((name, from) -> {
            JsonObject to = new JsonObject();
            to.addProperty("host", name);
            to.addProperty("dial", from.text("dial"));
            String zone = from.text("zone", zones.isEmpty() ? null : zones.get(0));
            if (zone != null && !zones.contains(zone)) {
                from.addFinding("zone", "'" + zone + "' is none of the zones " + zones);
            }
            to.addProperty("site", zone);
            boolean ready = from.choice("state", "ready", "ready", "draining").equals("ready");
            to.addProperty("health", ready ? "Ready" : "Terminating");
            to.addProperty("share", from.number("weight", 1, 0, 1e6));
            to.addProperty("slots", from.number("slots", 1, 0.01, 1024));
            String rack = from.text("rack", null);
            if (rack != null && !rack.matches(NAME_PATTERN)) {
                from.addFinding("rack", "is no name: letters, digits, '_', '.' and '-'");
            } else if (rack != null) {
                to.addProperty("rack", rack);
            }
            hosts.add(to);
            from.close();
        });
        JsonObject known = new JsonObject();
        known.addProperty("seq", 0);
        known.addProperty("whole", true);
        known.add("hosts", hosts);
        platform.add("known", known);
    }

    /** Translates tenants into the platform's customers, with the zones and classes they may use. */
    private void tenants(JsonObject settings, List<String> zones) {
        JsonArray customers = new JsonArray();
        root.tables("tenants").forEach((name, from) -> {
            JsonObject to = new JsonObject();
            to.addProperty("name", name);
            to.addProperty("portion", from.number("share", 1, 1e-6, 1e6));
            copyKnownNames(from, "zones", zones, to);
            copyKnownNames(from, "classes", List.copyOf(root.tables("classes").keySet()), to);
            customers.add(to);
            from.close();
        });
        if (!customers.isEmpty()) {
            settings.add("customers", customers);
        }
    }

    private static void copyKnownNames(Table from, String key, List<String> known, JsonObject to) {
        List<String> named = from.texts(key);
        JsonArray names = new JsonArray();
        for (String name : named) {
            if (!known.contains(name)) {
                from.addFinding(key, "'" + name + "' is none of " + known);
            }
            names.add(name);
        }
        if (!named.isEmpty()) {
            to.add(key, names);
        }
    }
}
