package laneflow.http;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import laneflow.core.Attempt;
import laneflow.core.Scheduler;
import laneflow.decision.Dispatch.LoadReport;
import laneflow.decision.Dispatch.Outcome;
import laneflow.net.MessageBuffer;

/**
 * Reads an endpoint's response to one attempt or probe as it arrives. An attempt counts as served only by a
 * complete line of valid JSON that names its request and holds a result.
 */
final class EndpointResponse implements HttpReader.Sink {
    private static final int MAX_LINE_BYTES = 512 * 1024;

    private final Scheduler scheduler;
    /** Null for a probe. */
    private final Attempt attempt;
    /** Ids of the jobs sent on this connection before the attempt. */
    private final Collection<String> previousIds;

    private final MessageBuffer lineBuffer = new MessageBuffer();
    private HttpHead head;
    private Outcome outcome;
    private byte[] result;
    private LoadReport loadReport;
    private boolean statusReceived;
    private boolean duplicate;
    /** The endpoint has reported that the job started. */
    private boolean started;
    /** Part of a line after the start report has arrived. */
    private boolean resultLineBegun;

    EndpointResponse(Scheduler scheduler, Attempt attempt, Collection<String> previousIds) {
        this.scheduler = scheduler;
        this.attempt = attempt;
        this.previousIds = previousIds;
    }

    /** True if this is a repeated answer to an earlier job, and the attempt's own answer is still to come. */
    boolean isDuplicate() {
        return duplicate;
    }

    /** The bytes of memory that the unfinished line takes up. */
    int bufferedBytes() {
        return lineBuffer.capacity();
    }

    /** True once the final response head has arrived. */
    boolean hasHead() {
        return head != null;
    }

    boolean isKeepAlive() {
        return head != null && head.isKeepAlive();
    }

    /** The outcome, or null before the end. */
    Outcome outcome() {
        return outcome;
    }

    byte[] result() {
        return result;
    }

    LoadReport loadReport() {
        return loadReport;
    }

    @Override
    public void head(HttpHead received) {
        if (received.status() < 200) {
            // Interim response.
            return;
        }
        head = received;
        if (attempt != null && head.status() != 200) {
            loadReport = LoadReports.parse(head.header(HeaderNames.LOAD));
            boolean declined =
                    (head.status() == 503 || head.status() == 504) && "1".equals(head.header(HeaderNames.DECLINED));
            outcome = declined ? Outcome.FULL : Outcome.ERROR;
        }
    }

    @Override
    public void body(byte[] bytes) throws HttpException {
        for (byte b : bytes) {
            if (b != '\n') {
                lineBuffer.write(b);
            } else {
                finishLine();
            }
        }
        if (lineBuffer.size() > MAX_LINE_BYTES) {
            throw new HttpException(400, "line too long");
        }
        if (lineBuffer.size() > 0 && started && !resultLineBegun && outcome == null) {
            resultLineBegun = true;
            scheduler.answering(attempt);
        }
    }

    @Override
    public void end() throws HttpException {
        finishLine();
        if (outcome == null && !duplicate) {
            boolean isOk = head.status() == 200;
            outcome = attempt == null ? isOk ? Outcome.OK : Outcome.ERROR : Outcome.RESET;
        }
    }

    private void finishLine() throws HttpException {
        if (lineBuffer.size() == 0 || outcome != null) {
            lineBuffer.reset();
            return;
        }
        String text = decodeUtf8(lineBuffer.take()).strip();
        if (text.isEmpty()) {
            return;
        }
        if (attempt != null) {
            handleStatus(parseObject(text));
        } else {
            loadReport = text.startsWith("{") ? LoadReports.parse(parseObject(text)) : LoadReports.parse(text);
        }
    }

    /** Rejects malformed UTF-8: replacement characters would alter the result. */
    private static String decodeUtf8(byte[] bytes) throws HttpException {
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new HttpException(400, "line is not valid UTF-8");
        }
    }

    /** Parses strictly: by default Gson accepts malformed JSON, such as a truncated line. */
    private static JsonObject parseObject(String text) throws HttpException {
        try {
            JsonReader reader = new JsonReader(new StringReader(text));
            reader.setStrictness(Strictness.STRICT);
            JsonElement element = JsonParser.parseReader(reader);
            if (!element.isJsonObject() || reader.peek() != JsonToken.END_DOCUMENT) {
                throw new HttpException(400, "line is not a JSON object");
            }
            return element.getAsJsonObject();
        } catch (JsonParseException | IOException e) {
            throw new HttpException(400, "line is not valid JSON");
        }
    }

    private void handleStatus(JsonObject status) throws HttpException {
        String id = stringField(status, "id");
        boolean isOwnId = attempt.request.payload.requestId().equals(id);
        if (!isOwnId && !statusReceived && previousIds.contains(id)) {
            duplicate = true;
            return;
        }
        statusReceived = true;
        if (!isOwnId || duplicate) {
            throw new HttpException(400, "status without an id, or with the id of another request");
        }
        switch (String.valueOf(stringField(status, "state"))) {
            case "started":
                started = true;
                scheduler.started(attempt);
                break;
            case "running":
                resultLineBegun = false;
                scheduler.progress(attempt, (long) (progressShare(status) * 1000), 1000);
                break;
            case "done":
                String text = stringField(status, "result");
                if (text == null) {
                    throw new HttpException(400, "state done without a result");
                }
                result = text.getBytes(StandardCharsets.UTF_8);
                finish(Outcome.OK, status);
                break;
            case "failed":
                finish(Outcome.ERROR, status);
                break;
            case "returned":
                finish(Outcome.FULL, status);
                break;
            case "lost":
                finish(Outcome.RESET, status);
                break;
            default:
                // Unknown states, of a later protocol version, are ignored.
                break;
        }
    }

    private void finish(Outcome finalOutcome, JsonObject status) {
        outcome = finalOutcome;
        loadReport = LoadReports.parse(status.get("load"));
    }

    private static double progressShare(JsonObject status) {
        JsonElement share = status.get("share");
        boolean isNumber = share != null
                && share.isJsonPrimitive()
                && share.getAsJsonPrimitive().isNumber();
        return isNumber ? Math.min(1, Math.max(0, share.getAsDouble())) : 0;
    }

    private static String stringField(JsonObject object, String key) {
        JsonElement value = object.get(key);
        boolean isString = value != null
                && value.isJsonPrimitive()
                && value.getAsJsonPrimitive().isString();
        return isString ? value.getAsString() : null;
    }
}
