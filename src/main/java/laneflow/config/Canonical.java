package laneflow.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.TreeMap;

/** The canonical form of JSON: a digest of it depends on the content alone, not on the order of keys. */
public final class Canonical {
    private Canonical() {}

    /** Returns the value with all object keys sorted; numbers keep their original notation. */
    public static JsonElement sortKeys(JsonElement value) {
        if (value.isJsonArray()) {
            JsonArray sorted = new JsonArray();
            value.getAsJsonArray().forEach(member -> sorted.add(sortKeys(member)));
            return sorted;
        }
        if (!value.isJsonObject()) {
            return value;
        }
        JsonObject sorted = new JsonObject();
        new TreeMap<>(value.getAsJsonObject().asMap()).forEach((key, member) -> sorted.add(key, sortKeys(member)));
        return sorted;
    }

    /** Returns the SHA-256, in lower-case hex, of the canonical form without white space. */
    public static String digest(JsonElement value) {
        try {
            byte[] sum = MessageDigest.getInstance("SHA-256")
                    .digest(sortKeys(value).toString().getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(sum);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
