package laneflow.http;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import laneflow.core.EndpointSet.Entry;
import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Dispatch.State;
import laneflow.wire.SettingsReader;
import laneflow.wire.WireException;

/** A scheduler's start-up configuration, and endpoint lists in discovery's format. */
public final class Config {
    private static final int DEFAULT_MAX_SOCKETS = 1024;
    private static final double DEFAULT_IDLE_CONNECTION_SECONDS = 10;

    /** The scheduler's name, stable across restarts. */
    public final String name;

    public final String listen;
    /** Address of the operations port, or null for none. */
    public final String opsAddress;
    /** Address of discovery, or null for none. */
    public final String discoveryAddress;

    public final long seed;
    public final int maxSockets;
    public final Settings settings;
    public final String[] classNames;
    public final double idleConnectionSeconds;
    /** The endpoint list known at start-up. */
    public final Listing lastKnown;

    public final List<String> zones;
    private final List<String> endpointKinds;

    /** A list of endpoints, complete or with changes only, in discovery's format. */
    public static final class Listing {
        public long seq;
        public boolean complete;
        public final List<Entry> entries = new ArrayList<>();
    }

    private Config(JsonObject root) throws WireException {
        JsonObject settingsJson = root.getAsJsonObject("settings");
        if (settingsJson == null) {
            throw new WireException("the configuration has no object 'settings'");
        }
        settings = SettingsReader.read(settingsJson.toString()).settings;
        zones = stringList(settingsJson.get("areas"));
        endpointKinds = stringList(settingsJson.get("shapes"));
        JsonArray classes = settingsJson.getAsJsonArray("classes");
        classNames = new String[classes.size()];
        for (int i = 0; i < classNames.length; i++) {
            classNames[i] = stringOr(classes.get(i).getAsJsonObject(), "name", String.valueOf(i));
        }
        JsonObject limits = settingsJson.has("limits") ? settingsJson.getAsJsonObject("limits") : new JsonObject();
        idleConnectionSeconds =
                limits.has("connIdle") ? limits.get("connIdle").getAsDouble() : DEFAULT_IDLE_CONNECTION_SECONDS;
        name = stringOr(root, "name", "");
        listen = stringOr(root, "listen", null);
        opsAddress = stringOr(root, "ops", null);
        discoveryAddress = stringOr(root, "discovery", null);
        seed = parseSeed(stringOr(root, "seed", "0"));
        JsonObject processLimits = root.has("limits") ? root.getAsJsonObject("limits") : new JsonObject();
        maxSockets = processLimits.has("sockets") ? processLimits.get("sockets").getAsInt() : DEFAULT_MAX_SOCKETS;
        lastKnown = root.has("known") && root.get("known").isJsonObject()
                ? parseListing(root.getAsJsonObject("known"))
                : new Listing();
    }

    /** Reads the file; a destination set, unless null, replaces discovery. */
    public static Config read(Path file, Path destinations) throws IOException, WireException {
        JsonObject root = readJson(file);
        if (destinations != null) {
            setDestinations(root, destinations);
        }
        return parse(root.toString());
    }

    /** Reads the file as a JSON object, without interpreting it. */
    public static JsonObject readJson(Path file) throws IOException, WireException {
        return parseObject(Files.readString(file), "the configuration");
    }

    /** Replaces discovery in a configuration by the destination set of a file. */
    public static void setDestinations(JsonObject root, Path destinations) throws IOException, WireException {
        root.add("known", parseObject(Files.readString(destinations), destinations.toString()));
        root.remove("discovery");
    }

    private static JsonObject parseObject(String text, String description) throws WireException {
        try {
            return JsonParser.parseString(text).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            throw new WireException(description + " is not a JSON object: " + e.getMessage());
        }
    }

    public static Config parse(String text) throws WireException {
        try {
            return new Config(JsonParser.parseString(text).getAsJsonObject());
        } catch (JsonParseException
                | IllegalStateException
                | ClassCastException
                | NumberFormatException
                | UnsupportedOperationException
                | NullPointerException e) {
            throw new WireException("invalid configuration: " + e.getMessage());
        }
    }

    /** Parses a list, complete or with changes only. */
    public Listing parseListing(String text) throws WireException {
        try {
            return parseListing(JsonParser.parseString(text).getAsJsonObject());
        } catch (JsonParseException
                | IllegalStateException
                | ClassCastException
                | NumberFormatException
                | UnsupportedOperationException
                | NullPointerException e) {
            throw new WireException("invalid endpoint list: " + e.getMessage());
        }
    }

    private Listing parseListing(JsonObject json) throws WireException {
        Listing listing = new Listing();
        listing.seq = json.has("seq") ? json.get("seq").getAsLong() : 0;
        listing.complete = json.has("whole") && json.get("whole").getAsBoolean();
        if (json.has("hosts")) {
            for (JsonElement host : json.getAsJsonArray("hosts")) {
                listing.entries.add(parseEntry(host.getAsJsonObject()));
            }
        }
        return listing;
    }

    private Entry parseEntry(JsonObject json) throws WireException {
        Entry entry = new Entry();
        entry.name = stringOr(json, "host", null);
        if (entry.name == null) {
            throw new WireException("host without a name");
        }
        entry.dial = stringOr(json, "dial", "");
        entry.zone = json.has("site") ? indexOf(zones, json.get("site")) : settings.zone;
        entry.kind = indexOf(endpointKinds, json.get("class"));
        entry.cell = json.has("block") ? json.get("block").getAsInt() : 0;
        entry.weight = json.has("share") ? json.get("share").getAsDouble() : 1;
        entry.startedAt = json.has("born_ms") ? (long) (json.get("born_ms").getAsDouble() * 1000) : 0;
        entry.state = parseState(stringOr(json, "health", "Ready"));
        return entry;
    }

    private static State parseState(String health) {
        // No requests are sent to an endpoint in an unknown state: it counts as draining.
        return health.equals("Ready") ? State.READY : health.equals("Gone") ? State.GONE : State.DRAINING;
    }

    private static int indexOf(List<String> names, JsonElement value) {
        if (value == null || value.isJsonNull()) {
            return 0;
        }
        int index = names.indexOf(value.getAsString());
        return index >= 0 ? index : value.getAsJsonPrimitive().isNumber() ? value.getAsInt() : -1;
    }

    private static long parseSeed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            return text.hashCode();
        }
    }

    private static List<String> stringList(JsonElement json) {
        List<String> list = new ArrayList<>();
        if (json != null && json.isJsonArray()) {
            json.getAsJsonArray().forEach(e -> list.add(e.getAsString()));
        }
        return list;
    }

    private static String stringOr(JsonObject json, String key, String defaultValue) {
        return json.has(key) && !json.get(key).isJsonNull() ? json.get(key).getAsString() : defaultValue;
    }
}
