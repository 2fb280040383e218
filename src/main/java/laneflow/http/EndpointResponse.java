package laneflow.http;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.ByteArrayOutputStream;
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

/**
 * What an endpoint answers to one call or probe, read as it comes in. Nothing is taken on trust: only a whole
 * line of sound JSON that names the request and holds a result is its being served.
 */
final class EndpointResponse implements HttpReader.Sink {
    private static final int MAX_LINE_BYTES = 512 * 1024;

    private final Scheduler scheduler;
    /** Null for a probe. */
    private final Attempt attempt;
    /** The ids of the jobs sent before this call on its connection. */
    private final Collection<String> previousIds;

    private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream();
    private HttpHead head;
    private Outcome outcome;
    private byte[] result;
    private LoadReport loadReport;
    private boolean statusReceived;
    private boolean duplicate;
    /** The endpoint has told of the job's start. */
    private boolean started;
    /** A line behind that has begun to come and is not whole. */
    private boolean resultLineBegun;

    EndpointResponse(Scheduler scheduler, Attempt attempt, Collection<String> previousIds) {
        this.scheduler = scheduler;
        this.attempt = attempt;
        this.previousIds = previousIds;
    }

    /** A second answer to a job before: this one's is still to come. */
    boolean isDuplicate() {
        return duplicate;
    }

    /** True once the endpoint has said that it took the call, or that it did not. */
    boolean hasHead() {
        return head != null;
    }

    boolean isKeepAlive() {
        return head != null && head.isKeepAlive();
    }

    /** How it ended, or null while it has not. */
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
            // An interim answer says nothing yet.
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
        String text = decodeUtf8(lineBuffer.toByteArray()).strip();
        lineBuffer.reset();
        if (text.isEmpty()) {
            return;
        }
        if (attempt != null) {
            handleStatus(parseObject(text));
        } else {
            loadReport = text.startsWith("{") ? LoadReports.parse(parseObject(text)) : LoadReports.parse(text);
        }
    }

    /** Bytes that are no UTF-8 must not be served in another form than the endpoint made. */
    private static String decodeUtf8(byte[] bytes) throws HttpException {
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
        } catch (CharacterCodingException e) {
            throw new HttpException(400, "a line that is no UTF-8");
        }
    }

    /** Gson by itself makes sense of much that is no JSON, of a line cut short for one. */
    private static JsonObject parseObject(String text) throws HttpException {
        try {
            JsonReader reader = new JsonReader(new StringReader(text));
            reader.setStrictness(Strictness.STRICT);
            JsonElement element = JsonParser.parseReader(reader);
            if (!element.isJsonObject() || reader.peek() != JsonToken.END_DOCUMENT) {
                throw new HttpException(400, "a line that is no object");
            }
            return element.getAsJsonObject();
        } catch (JsonParseException | IOException e) {
            throw new HttpException(400, "a line that is no JSON");
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
            throw new HttpException(400, "a word on no request or another one");
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
                    throw new HttpException(400, "done, with no result");
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
                // A state of a later protocol says nothing here; the last word decides.
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
