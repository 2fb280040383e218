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

/**
 * The forms on disk: attempts as JSON, which people with a SQL shell can read, and a CRC-32C over each row.
 * SQLite's pages carry no checksum of their own, so a flipped bit would else be read as if it had been
 * written.
 */
final class RowCodec {
    private static final String[] KNOWN = {"out", "never_ran", "may_have_run", "failed", "done"};

    private RowCodec() {}

    static String attempts(List<AttemptRecord> attempts) {
        if (attempts.isEmpty()) {
            return "";
        }
        JsonArray all = new JsonArray();
        for (AttemptRecord attempt : attempts) {
            JsonObject one = new JsonObject();
            one.addProperty("n", attempt.number());
            one.addProperty("to", attempt.endpoint());
            one.addProperty("at", attempt.leasedMs());
            one.addProperty("end", attempt.endMs());
            one.addProperty("known", KNOWN[attempt.known().ordinal()]);
            all.add(one);
        }
        return all.toString();
    }

    static List<AttemptRecord> attempts(String text) {
        List<AttemptRecord> attempts = new ArrayList<>();
        if (!text.isEmpty()) {
            try {
                for (JsonElement element : JsonParser.parseString(text).getAsJsonArray()) {
                    JsonObject one = element.getAsJsonObject();
                    attempts.add(new AttemptRecord(
                            one.get("n").getAsInt(),
                            one.get("to").getAsString(),
                            one.get("at").getAsLong(),
                            one.get("end").getAsLong(),
                            known(one.get("known").getAsString())));
                }
            } catch (JsonParseException | IllegalStateException | NullPointerException e) {
                throw new IllegalArgumentException("attempts that can't be read: " + e.getMessage(), e);
            }
        }
        return attempts;
    }

    static String word(Known known) {
        return KNOWN[known.ordinal()];
    }

    private static Known known(String word) {
        for (Known known : Known.values()) {
            if (KNOWN[known.ordinal()].equals(word)) {
                return known;
            }
        }
        throw new IllegalArgumentException("'" + word + "' is known of no attempt");
    }

    static int sum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes);
        return (int) crc.getValue();
    }

    /** Over all that was taken on. */
    static int sum(JobRow row) {
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
            // Rows of the first format have none, and their sums hold on.
            crc.update(ByteBuffer.allocate(8).putLong(row.notBeforeMs()).flip());
        }
        return (int) crc.getValue();
    }

    /** Over where it stands. */
    static int sum(long id, State state, String attempts, String reason, long changedMs) {
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
