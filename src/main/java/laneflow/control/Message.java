package laneflow.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import laneflow.config.Canonical;

/**
 * One line of a control service, read off the loop: a whole state of a type ({@code version_info},
 * {@code resources}), or a change ({@code system_version_info}, {@code from_version}, {@code resources} with
 * a {@code resource} each, {@code removed_resources}), in the JSON forms of xDS.
 */
public final class Message {
    private static final int FULL_DIGEST = 64;

    final String type;
    final String version;
    final String nonce;
    /** The version that a change is a change of; null for a whole state. */
    final String from;

    final JsonObject all;

    private Message(JsonObject all) {
        this.all = all;
        type = text(all, "type_url");
        nonce = text(all, "nonce");
        boolean change = all.has("system_version_info");
        version = text(all, change ? "system_version_info" : "version_info");
        from = change ? text(all, "from_version") : null;
    }

    /** Reads a line; what is no JSON object is a JsonParseException. */
    static Message read(byte[] line) {
        JsonElement read = JsonParser.parseString(new String(line, StandardCharsets.UTF_8));
        if (!read.isJsonObject()) {
            throw new JsonParseException("no object");
        }
        return new Message(read.getAsJsonObject());
    }

    /**
     * The whole state that it means.
     *
     * @param runs the resources that a change is applied to; null where there are none
     * @param findings what is wrong with its frame, by path
     */
    JsonArray resources(JsonArray runs, List<String> findings) {
        JsonElement given = all.get("resources");
        if (from == null) {
            if (given == null || !given.isJsonArray()) {
                findings.add("resources: must be a list");
                return null;
            }
            return given.getAsJsonArray();
        }
        Map<String, JsonElement> byName = new LinkedHashMap<>();
        for (JsonElement one : runs == null ? new JsonArray() : runs) {
            byName.put(one.getAsJsonObject().get("name").getAsString(), one);
        }
        removed(byName, findings);
        if (given != null && !given.isJsonArray()) {
            findings.add("resources: must be a list");
        } else if (given != null) {
            for (int i = 0; i < given.getAsJsonArray().size(); i++) {
                put(given.getAsJsonArray().get(i), "resources[" + i + "]", byName, findings);
            }
        }
        JsonArray whole = new JsonArray();
        byName.values().forEach(whole::add);
        return whole;
    }

    private void removed(Map<String, JsonElement> byName, List<String> findings) {
        JsonElement removed = all.get("removed_resources");
        if (removed != null && !removed.isJsonArray()) {
            findings.add("removed_resources: must be a list of names");
        } else if (removed != null) {
            for (JsonElement name : removed.getAsJsonArray()) {
                if (!name.isJsonPrimitive() || byName.remove(name.getAsString()) == null) {
                    findings.add("removed_resources: " + name + " is not there");
                }
            }
        }
    }

    private static void put(JsonElement given, String path, Map<String, JsonElement> byName, List<String> findings) {
        JsonElement resource = given.isJsonObject() ? given.getAsJsonObject().get("resource") : null;
        JsonElement name = resource != null && resource.isJsonObject()
                ? resource.getAsJsonObject().get("name")
                : null;
        if (name == null || !name.isJsonPrimitive()) {
            findings.add(path + ".resource: must be an object with a name");
        } else if (given.getAsJsonObject().has("name")
                && !text(given.getAsJsonObject(), "name").equals(name.getAsString())) {
            findings.add(path + ".name: is not its resource's name");
        } else {
            byName.put(name.getAsString(), resource);
        }
    }

    /**
     * What speaks against the version's digest, or null. One of 64 digits is the SHA-256 of the state's
     * canonical form and is checked; a shorter one is only a name.
     */
    static String digestFinding(String digest, JsonArray resources) {
        if (digest.length() != FULL_DIGEST) {
            return null;
        }
        String is = digest(resources);
        return is.equals(digest) ? null : "version_info: its digest is not that of its resources, " + is;
    }

    /**
     * SHA-256, in hex, of a state's canonical form: resources by name, keys in order, no white space, numbers
     * as they were written.
     */
    public static String digest(JsonArray resources) {
        List<JsonElement> all = new ArrayList<>();
        resources.forEach(all::add);
        all.sort((a, b) -> nameOf(a).compareTo(nameOf(b)));
        JsonArray sorted = new JsonArray();
        all.forEach(sorted::add);
        return Canonical.digest(sorted);
    }

    private static String nameOf(JsonElement resource) {
        return resource.isJsonObject() ? text(resource.getAsJsonObject(), "name") : "";
    }

    static String text(JsonObject from, String key) {
        JsonElement value = from.get(key);
        return value != null && value.isJsonPrimitive() ? value.getAsString() : "";
    }

    static double number(JsonObject from, String key, double absent) {
        JsonElement value = from.get(key);
        boolean is = value != null
                && value.isJsonPrimitive()
                && value.getAsJsonPrimitive().isNumber();
        return is ? value.getAsDouble() : absent;
    }
}
