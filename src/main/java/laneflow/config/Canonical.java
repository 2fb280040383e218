package laneflow.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.TreeMap;

/** One form for JSON that says the same, so that a digest of it tells contents apart and nothing else. */
public final class Canonical {
    private Canonical() {}

    /** The same with keys in order; numbers as they were written. */
    public static JsonElement sortKeys(JsonElement value) {
        if (value.isJsonArray()) {
            JsonArray all = new JsonArray();
            value.getAsJsonArray().forEach(one -> all.add(sortKeys(one)));
            return all;
        }
        if (!value.isJsonObject()) {
            return value;
        }
        JsonObject all = new JsonObject();
        new TreeMap<>(value.getAsJsonObject().asMap()).forEach((key, one) -> all.add(key, sortKeys(one)));
        return all;
    }

    /** SHA-256, in lower-case hex, of a value's canonical form without white space. */
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
