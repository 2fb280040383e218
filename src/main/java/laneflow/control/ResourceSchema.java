package laneflow.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import dev.harrel.jsonschema.Error;
import dev.harrel.jsonschema.Validator;
import dev.harrel.jsonschema.ValidatorFactory;
import dev.harrel.jsonschema.providers.GsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the resources of a message against the type's JSON schema (draft 2020-12), which ships with the
 * program for authors of control services, and that resource names are unique. Not thread-safe.
 */
final class ResourceSchema {
    /** Limit for messages with errors throughout. */
    static final int MAX_FINDINGS = 50;

    private final Validator validator;
    private final URI schema;

    /** Loads the schema of a type. */
    ResourceSchema(String type) {
        try (InputStream in = ResourceSchema.class.getResourceAsStream(type + ".schema.json")) {
            validator = new ValidatorFactory()
                    .withJsonNodeFactory(new GsonNode.Factory())
                    .withDisabledSchemaValidation(true)
                    .createValidator();
            schema = validator.registerSchema(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the errors, each with its path; at most {@link #MAX_FINDINGS}. */
    List<String> findings(JsonArray resources) {
        List<String> findings = new ArrayList<>();
        for (Error error : validator.validate(schema, (Object) resources).getErrors()) {
            if (findings.size() >= MAX_FINDINGS) {
                break;
            }
            String path = path(error.getInstanceLocation());
            // An applicator's own error only repeats that a value below it is invalid.
            if (!"items".equals(error.getKeyword()) && !"properties".equals(error.getKeyword())) {
                findings.add(path + ": " + describe(error, value(resources, error.getInstanceLocation())));
            }
        }
        checkUniqueNames(resources, findings);
        return findings;
    }

    private static String describe(Error error, JsonElement value) {
        if (error.getSchemaLocation().endsWith("/additionalProperties")) {
            return "is unknown";
        }
        String shown = value == null || !value.isJsonPrimitive() ? "" : value + " ";
        return (shown.length() > 80 ? shown.substring(0, 77) + "... " : shown) + "- " + error.getError();
    }

    private static void checkUniqueNames(JsonArray resources, List<String> findings) {
        Map<String, Integer> seen = new HashMap<>();
        for (int i = 0; i < resources.size() && findings.size() < MAX_FINDINGS; i++) {
            JsonElement resource = resources.get(i);
            JsonElement name =
                    resource.isJsonObject() ? resource.getAsJsonObject().get("name") : null;
            if (name != null && name.isJsonPrimitive()) {
                Integer before = seen.putIfAbsent(name.getAsString(), i);
                if (before != null) {
                    findings.add("resources[" + i + "].name: '" + name.getAsString() + "' is resources[" + before
                            + "]'s too");
                }
            }
        }
    }

    /** Converts a JSON pointer to a readable path: /3/weight becomes resources[3].weight. */
    private static String path(String pointer) {
        StringBuilder path = new StringBuilder("resources");
        for (String part : pointer.split("/")) {
            if (part.matches("[0-9]+")) {
                path.append('[').append(part).append(']');
            } else if (!part.isEmpty()) {
                path.append('.').append(part.replace("~1", "/").replace("~0", "~"));
            }
        }
        return path.toString();
    }

    private static JsonElement value(JsonArray resources, String pointer) {
        JsonElement current = resources;
        for (String part : pointer.split("/")) {
            if (part.isEmpty() || current == null) {
                continue;
            }
            String key = part.replace("~1", "/").replace("~0", "~");
            current = current.isJsonArray()
                            && key.matches("[0-9]{1,9}")
                            && Integer.parseInt(key) < current.getAsJsonArray().size()
                    ? current.getAsJsonArray().get(Integer.parseInt(key))
                    : current.isJsonObject() ? ((JsonObject) current).get(key) : null;
        }
        return current;
    }
}
