package laneflow.durable;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import laneflow.durable.decision.AttemptRecord;
import laneflow.durable.decision.AttemptRecord.Known;
import laneflow.durable.decision.AttemptRecord.Place;

/**
 * Encodes attempts as JSON, which is readable in a SQL shell, and computes a CRC-32C checksum per row. SQLite
 * pages have no checksums of their own, so without these a flipped bit would go unnoticed.
 */
final class RowCodec {
    private static final String[] KNOWN_NAMES = {"out", "never_ran", "may_have_run", "failed", "done"};

    private RowCodec() {}

    static String attempts(List<AttemptRecord> attempts) {
        if (attempts.isEmpty()) {
            return "";
        }
        JsonArray array = new JsonArray();
        for (AttemptRecord attempt : attempts) {
            JsonObject json = new JsonObject();
            json.addProperty("n", attempt.number());
            json.addProperty("to", attempt.endpoint());
            json.addProperty("at", attempt.leasedMs());
            json.addProperty("end", attempt.endMs());
            json.addProperty("known", KNOWN_NAMES[attempt.known().ordinal()]);
            if (attempt.place() != null) {
                json.addProperty("zone", attempt.place().zone());
                json.addProperty("cell", attempt.place().cell());
            }
            array.add(json);
        }
        return array.toString();
    }

    static List<AttemptRecord> attempts(String text) {
        List<AttemptRecord> attempts = new ArrayList<>();
        if (!text.isEmpty()) {
            try {
                for (JsonElement element : JsonParser.parseString(text).getAsJsonArray()) {
                    JsonObject json = element.getAsJsonObject();
                    attempts.add(new AttemptRecord(
                            json.get("n").getAsInt(),
                            json.get("to").getAsString(),
                            json.get("at").getAsLong(),
                            json.get("end").getAsLong(),
                            known(json.get("known").getAsString()),
                            json.has("zone")
                                    ? new Place(
                                            json.get("zone").getAsString(),
                                            json.get("cell").getAsInt())
                                    : null));
                }
            } catch (JsonParseException | IllegalStateException | NullPointerException e) {
                throw new IllegalArgumentException("malformed attempts: " + e.getMessage(), e);
            }
        }
        return attempts;
    }

    static String knownName(Known known) {
        return KNOWN_NAMES[known.ordinal()];
    }

    private static Known known(String name) {
        for (Known known : Known.values()) {
            if (KNOWN_NAMES[known.ordinal()].equals(name)) {
                return known;
            }
        }
        throw new IllegalArgumentException("'" + name + "' is not a known outcome of an attempt");
    }

    static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return (int) crc.getValue();
    }

    /** The checksum of the submission, excluding the body, which has its own checksum. */
    static int checksum(JobRow row) {
        CRC32C crc = new CRC32C();
        for (String text : new String[] {
            row.jobClass(), row.function(), row.key(), row.target(), row.requestId(), String.valueOf(row.repeatKey())
        }) {
            crc.update(text.getBytes(StandardCharsets.UTF_8));
            crc.update(0);
        }
        ByteBuffer numbers = ByteBuffer.allocate(64)
                .putLong(row.id())
                .putDouble(row.hint())
                .putDouble(row.slots())
                .putDouble(row.memory())
                .putLong(row.subject())
                .putInt(row.urgency())
                .putLong(row.acceptedMs())
                .putInt(row.bodySum())
                .putInt(row.bodyBytes());
        crc.update(numbers.flip());
        if (row.notBeforeMs() != 0) {
            // Rows of format 1 have no such value; leaving out 0 keeps their checksums valid.
            crc.update(ByteBuffer.allocate(8).putLong(row.notBeforeMs()).flip());
        }
        return (int) crc.getValue();
    }

    /** The checksum of a job's current state. */
    static int checksum(long id, State state, String attempts, String reason, long changedMs) {
        CRC32C crc = new CRC32C();
        crc.update(ByteBuffer.allocate(24)
                .putLong(id)
                .putInt(state.number)
                .putLong(changedMs)
                .flip());
        crc.update(attempts.getBytes(StandardCharsets.UTF_8));
        crc.update(0);
        crc.update(reason.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }
}
