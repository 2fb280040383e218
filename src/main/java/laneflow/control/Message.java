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
 * A message of a control service in the JSON format of xDS, parsed off the event loop. It carries the full
 * state of a type ({@code version_info}, {@code resources}) or a delta ({@code system_version_info},
 * {@code from_version}, {@code resources} with a {@code resource} each, {@code removed_resources}).
 */
public final class Message {
    private static final int SHA256_HEX_LENGTH = 64;

    final String type;
    final String version;
    final String nonce;
    /** The version that a delta is based on; null for a full state. */
    final String from;

    final JsonObject json;

    private Message(JsonObject json) {
        this.json = json;
        type = text(json, "type_url");
        nonce = text(json, "nonce");
        boolean isDelta = json.has("system_version_info");
        version = text(json, isDelta ? "system_version_info" : "version_info");
        from = isDelta ? text(json, "from_version") : null;
    }

    /** Parses a line; throws JsonParseException if it is not a JSON object. */
    static Message read(byte[] line) {
        JsonElement read = JsonParser.parseString(new String(line, StandardCharsets.UTF_8));
        if (!read.isJsonObject()) {
            throw new JsonParseException("no object");
        }
        return new Message(read.getAsJsonObject());
    }

    /**
     * Returns the full state that results from the message.
     *
     * @param running the running resources, to which a delta is applied; null if there are none
     * @param findings receives the errors in the message's structure, each with its path
     */
    JsonArray resources(JsonArray running, List<String> findings) {
        JsonElement listed = json.get("resources");
        if (from == null) {
            if (listed == null || !listed.isJsonArray()) {
                findings.add("resources: must be a list");
                return null;
            }
            return listed.getAsJsonArray();
        }
        Map<String, JsonElement> byName = new LinkedHashMap<>();
        for (JsonElement resource : running == null ? new JsonArray() : running) {
            byName.put(resource.getAsJsonObject().get("name").getAsString(), resource);
        }
        applyRemovals(byName, findings);
        if (listed != null && !listed.isJsonArray()) {
            findings.add("resources: must be a list");
        } else if (listed != null) {
            for (int i = 0; i < listed.getAsJsonArray().size(); i++) {
                put(listed.getAsJsonArray().get(i), "resources[" + i + "]", byName, findings);
            }
        }
        JsonArray fullState = new JsonArray();
        byName.values().forEach(fullState::add);
        return fullState;
    }

    private void applyRemovals(Map<String, JsonElement> byName, List<String> findings) {
        JsonElement removed = json.get("removed_resources");
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

    private static void put(JsonElement element, String path, Map<String, JsonElement> byName, List<String> findings) {
        JsonElement resource =
                element.isJsonObject() ? element.getAsJsonObject().get("resource") : null;
        JsonElement name = resource != null && resource.isJsonObject()
                ? resource.getAsJsonObject().get("name")
                : null;
        if (name == null || !name.isJsonPrimitive()) {
            findings.add(path + ".resource: must be an object with a name");
        } else if (element.getAsJsonObject().has("name")
                && !text(element.getAsJsonObject(), "name").equals(name.getAsString())) {
            findings.add(path + ".name: is not its resource's name");
        } else {
            byName.put(name.getAsString(), resource);
        }
    }

    /**
     * Returns an error if the digest does not match the resources, or null. A digest of 64 digits is the SHA-256
     * of the canonical form and is verified; a shorter one is an opaque identifier.
     */
    static String digestFinding(String digest, JsonArray resources) {
        if (digest.length() != SHA256_HEX_LENGTH) {
            return null;
        }
        String actual = digest(resources);
        return actual.equals(digest) ? null : "version_info: its digest is not that of its resources, " + actual;
    }

    /**
     * Returns the SHA-256, in hex, of a state's canonical form: resources sorted by name, keys sorted, no white
     * space, numbers in their original notation.
     */
    public static String digest(JsonArray resources) {
        List<JsonElement> ordered = new ArrayList<>();
        resources.forEach(ordered::add);
        ordered.sort((a, b) -> nameOf(a).compareTo(nameOf(b)));
        JsonArray sorted = new JsonArray();
        ordered.forEach(sorted::add);
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
        boolean isNumber = value != null
                && value.isJsonPrimitive()
                && value.getAsJsonPrimitive().isNumber();
        return isNumber ? value.getAsDouble() : absent;
    }
}
