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

/** What a scheduler is told at its start, and lists in discovery's form. */
public final class Config {
    private static final int SOCKETS = 1024;
    private static final double CONN_IDLE = 10;

    /** The scheduler's name, the same after a restart. */
    public final String name;

    public final String listen;
    /** The second address, where on-call staff call in; null where there is none. */
    public final String opsAddress;
    /** Discovery's address, or null where there is none. */
    public final String discoveryAddress;

    public final long seed;
    public final int maxSockets;
    public final Settings settings;
    public final String[] classNames;
    public final double idleConnectionSeconds;
    /** The destination set last held. */
    public final Listing lastKnown;

    public final List<String> zones;
    private final List<String> kinds;

    /** A list in discovery's form. */
    public static final class Listing {
        public long seq;
        public boolean whole;
        public final List<Entry> entries = new ArrayList<>();
    }

    private Config(JsonObject root) throws WireException {
        JsonObject from = root.getAsJsonObject("settings");
        if (from == null) {
            throw new WireException("the configuration holds no settings");
        }
        settings = SettingsReader.read(from.toString()).settings;
        zones = strings(from.get("areas"));
        kinds = strings(from.get("shapes"));
        JsonArray classes = from.getAsJsonArray("classes");
        classNames = new String[classes.size()];
        for (int i = 0; i < classNames.length; i++) {
            classNames[i] = text(classes.get(i).getAsJsonObject(), "name", String.valueOf(i));
        }
        JsonObject limits = from.has("limits") ? from.getAsJsonObject("limits") : new JsonObject();
        idleConnectionSeconds = limits.has("connIdle") ? limits.get("connIdle").getAsDouble() : CONN_IDLE;
        name = text(root, "name", "");
        listen = text(root, "listen", null);
        opsAddress = text(root, "ops", null);
        discoveryAddress = text(root, "discovery", null);
        seed = seed(text(root, "seed", "0"));
        JsonObject own = root.has("limits") ? root.getAsJsonObject("limits") : new JsonObject();
        maxSockets = own.has("sockets") ? own.get("sockets").getAsInt() : SOCKETS;
        lastKnown = root.has("known") && root.get("known").isJsonObject()
                ? listing(root.getAsJsonObject("known"))
                : new Listing();
    }

    /** Reads the file; a destination set beside it, unless null, stands in for discovery. */
    public static Config read(Path file, Path destinations) throws IOException, WireException {
        JsonObject root = readJson(file);
        if (destinations != null) {
            setDestinations(root, destinations);
        }
        return parse(root.toString());
    }

    /** The file's object, as it stands. */
    public static JsonObject readJson(Path file) throws IOException, WireException {
        return object(Files.readString(file), "the configuration");
    }

    /** Puts a destination set in place of discovery. */
    public static void setDestinations(JsonObject root, Path destinations) throws IOException, WireException {
        root.add("known", object(Files.readString(destinations), destinations.toString()));
        root.remove("discovery");
    }

    private static JsonObject object(String text, String what) throws WireException {
        try {
            return JsonParser.parseString(text).getAsJsonObject();
        } catch (JsonParseException | IllegalStateException e) {
            throw new WireException(what + " can't be read: " + e.getMessage());
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
            throw new WireException("the configuration can't be read: " + e.getMessage());
        }
    }

    /** Reads one list or one line of changes. */
    public Listing listing(String text) throws WireException {
        try {
            return listing(JsonParser.parseString(text).getAsJsonObject());
        } catch (JsonParseException
                | IllegalStateException
                | ClassCastException
                | NumberFormatException
                | UnsupportedOperationException
                | NullPointerException e) {
            throw new WireException("a list can't be read: " + e.getMessage());
        }
    }

    private Listing listing(JsonObject from) throws WireException {
        Listing listing = new Listing();
        listing.seq = from.has("seq") ? from.get("seq").getAsLong() : 0;
        listing.whole = from.has("whole") && from.get("whole").getAsBoolean();
        if (from.has("hosts")) {
            for (JsonElement host : from.getAsJsonArray("hosts")) {
                listing.entries.add(entry(host.getAsJsonObject()));
            }
        }
        return listing;
    }

    private Entry entry(JsonObject from) throws WireException {
        Entry entry = new Entry();
        entry.name = text(from, "host", null);
        if (entry.name == null) {
            throw new WireException("a host without a name");
        }
        entry.dial = text(from, "dial", "");
        entry.zone = from.has("site") ? index(zones, from.get("site")) : settings.zone;
        entry.kind = index(kinds, from.get("class"));
        entry.cell = from.has("block") ? from.get("block").getAsInt() : 0;
        entry.weight = from.has("share") ? from.get("share").getAsDouble() : 1;
        entry.startedAt = from.has("born_ms") ? (long) (from.get("born_ms").getAsDouble() * 1000) : 0;
        entry.state = state(text(from, "health", "Ready"));
        return entry;
    }

    private static State state(String word) {
        // A state this build has not heard of is no leave to send: it is read as one that drains.
        return word.equals("Ready") ? State.READY : word.equals("Gone") ? State.GONE : State.DRAINING;
    }

    private static int index(List<String> names, JsonElement value) {
        if (value == null || value.isJsonNull()) {
            return 0;
        }
        int found = names.indexOf(value.getAsString());
        return found >= 0 ? found : value.getAsJsonPrimitive().isNumber() ? value.getAsInt() : -1;
    }

    private static long seed(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            return text.hashCode();
        }
    }

    private static List<String> strings(JsonElement from) {
        List<String> all = new ArrayList<>();
        if (from != null && from.isJsonArray()) {
            from.getAsJsonArray().forEach(e -> all.add(e.getAsString()));
        }
        return all;
    }

    private static String text(JsonObject from, String key, String absent) {
        return from.has(key) && !from.get(key).isJsonNull() ? from.get(key).getAsString() : absent;
    }
}
