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
 * The first look at a message: its form, by the type's JSON schema (draft 2020-12), which is published with
 * the program for whoever writes a control service. Besides, no two resources have one name. Not for two
 * threads at a time.
 */
final class Form {
    /** A message that is wrong throughout need not be told of in full. */
    static final int MOST_FINDINGS = 50;

    private final Validator validator;
    private final URI schema;

    /** The form of that type. */
    Form(String type) {
        try (InputStream in = Form.class.getResourceAsStream(type + ".schema.json")) {
            validator = new ValidatorFactory()
                    .withJsonNodeFactory(new GsonNode.Factory())
                    .withDisabledSchemaValidation(true)
                    .createValidator();
            schema = validator.registerSchema(new String(in.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** What is wrong with it, by path; at most {@link #MOST_FINDINGS}. */
    List<String> findings(JsonArray resources) {
        List<String> findings = new ArrayList<>();
        for (Error error : validator.validate(schema, (Object) resources).getErrors()) {
            if (findings.size() >= MOST_FINDINGS) {
                break;
            }
            String at = path(error.getInstanceLocation());
            // An applicator's own error only repeats that something below it is wrong.
            if (!"items".equals(error.getKeyword()) && !"properties".equals(error.getKeyword())) {
                findings.add(at + ": " + words(error, value(resources, error.getInstanceLocation())));
            }
        }
        names(resources, findings);
        return findings;
    }

    private static String words(Error error, JsonElement value) {
        if (error.getSchemaLocation().endsWith("/additionalProperties")) {
            return "is unknown";
        }
        String is = value == null || !value.isJsonPrimitive() ? "" : value + " ";
        return (is.length() > 80 ? is.substring(0, 77) + "... " : is) + "- " + error.getError();
    }

    private static void names(JsonArray resources, List<String> findings) {
        Map<String, Integer> seen = new HashMap<>();
        for (int i = 0; i < resources.size() && findings.size() < MOST_FINDINGS; i++) {
            JsonElement one = resources.get(i);
            JsonElement name = one.isJsonObject() ? one.getAsJsonObject().get("name") : null;
            if (name != null && name.isJsonPrimitive()) {
                Integer before = seen.putIfAbsent(name.getAsString(), i);
                if (before != null) {
                    findings.add("resources[" + i + "].name: '" + name.getAsString() + "' is resources[" + before
                            + "]'s too");
                }
            }
        }
    }

    /** A JSON pointer as people write paths: /3/weight is resources[3].weight. */
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
        JsonElement at = resources;
        for (String part : pointer.split("/")) {
            if (part.isEmpty() || at == null) {
                continue;
            }
            String key = part.replace("~1", "/").replace("~0", "~");
            at = at.isJsonArray()
                            && key.matches("[0-9]{1,9}")
                            && Integer.parseInt(key) < at.getAsJsonArray().size()
                    ? at.getAsJsonArray().get(Integer.parseInt(key))
                    : at.isJsonObject() ? ((JsonObject) at).get(key) : null;
        }
        return at;
    }
}
