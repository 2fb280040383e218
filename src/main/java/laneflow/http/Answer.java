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
final class Answer implements HttpReader.Sink {
    private static final int MOST_LINE = 512 * 1024;

    private final Scheduler scheduler;
    /** Null for a probe. */
    private final Attempt call;
    /** The ids of the jobs sent before this call on its connection. */
    private final Collection<String> before;

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private HttpHead head;
    private Outcome outcome;
    private byte[] result;
    private LoadReport report;
    private boolean spoke;
    private boolean stray;
    /** The endpoint has told of the job's start. */
    private boolean started;
    /** A line behind that has begun to come and is not whole. */
    private boolean answering;

    Answer(Scheduler scheduler, Attempt call, Collection<String> before) {
        this.scheduler = scheduler;
        this.call = call;
        this.before = before;
    }

    /** A second answer to a job before: this one's is still to come. */
    boolean isStray() {
        return stray;
    }

    /** True once the endpoint has said that it took the call, or that it did not. */
    boolean hasHead() {
        return head != null;
    }

    boolean keepsAlive() {
        return head != null && head.keepsAlive();
    }

    /** How it ended, or null while it has not. */
    Outcome outcome() {
        return outcome;
    }

    byte[] result() {
        return result;
    }

    LoadReport report() {
        return report;
    }

    @Override
    public void head(HttpHead received) {
        if (received.status() < 200) {
            // An interim answer says nothing yet.
            return;
        }
        head = received;
        if (call != null && head.status() != 200) {
            report = Loads.read(head.header(Names.LOAD));
            boolean declined =
                    (head.status() == 503 || head.status() == 504) && "1".equals(head.header(Names.DECLINED));
            outcome = declined ? Outcome.FULL : Outcome.ERROR;
        }
    }

    @Override
    public void body(byte[] bytes) throws HttpException {
        for (byte b : bytes) {
            if (b != '\n') {
                line.write(b);
            } else {
                endLine();
            }
        }
        if (line.size() > MOST_LINE) {
            throw new HttpException(400, "line too long");
        }
        if (line.size() > 0 && started && !answering && outcome == null) {
            answering = true;
            scheduler.answering(call);
        }
    }

    @Override
    public void end() throws HttpException {
        endLine();
        if (outcome == null && !stray) {
            boolean sound = head.status() == 200;
            outcome = call == null ? sound ? Outcome.OK : Outcome.ERROR : Outcome.RESET;
        }
    }

    private void endLine() throws HttpException {
        if (line.size() == 0 || outcome != null) {
            line.reset();
            return;
        }
        String text = text(line.toByteArray()).strip();
        line.reset();
        if (text.isEmpty()) {
            return;
        }
        if (call != null) {
            word(object(text));
        } else {
            report = text.startsWith("{") ? Loads.read(object(text)) : Loads.read(text);
        }
    }

    /** Bytes that are no UTF-8 must not be served in another form than the endpoint made. */
    private static String text(byte[] bytes) throws HttpException {
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
    private static JsonObject object(String text) throws HttpException {
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

    private void word(JsonObject word) throws HttpException {
        String id = string(word, "id");
        boolean own = call.request.payload.requestId().equals(id);
        if (!own && !spoke && before.contains(id)) {
            stray = true;
            return;
        }
        spoke = true;
        if (!own || stray) {
            throw new HttpException(400, "a word on no request or another one");
        }
        switch (String.valueOf(string(word, "state"))) {
            case "started":
                started = true;
                scheduler.started(call);
                break;
            case "running":
                answering = false;
                scheduler.progress(call, (long) (share(word) * 1000), 1000);
                break;
            case "done":
                String text = string(word, "result");
                if (text == null) {
                    throw new HttpException(400, "done, with no result");
                }
                result = text.getBytes(StandardCharsets.UTF_8);
                ends(Outcome.OK, word);
                break;
            case "failed":
                ends(Outcome.ERROR, word);
                break;
            case "returned":
                ends(Outcome.FULL, word);
                break;
            case "lost":
                ends(Outcome.RESET, word);
                break;
            default:
                // A state of a later protocol says nothing here; the last word decides.
                break;
        }
    }

    private void ends(Outcome how, JsonObject word) {
        outcome = how;
        report = Loads.read(word.get("load"));
    }

    private static double share(JsonObject word) {
        JsonElement share = word.get("share");
        boolean number = share != null
                && share.isJsonPrimitive()
                && share.getAsJsonPrimitive().isNumber();
        return number ? Math.min(1, Math.max(0, share.getAsDouble())) : 0;
    }

    private static String string(JsonObject from, String key) {
        JsonElement value = from.get(key);
        boolean text = value != null
                && value.isJsonPrimitive()
                && value.getAsJsonPrimitive().isString();
        return text ? value.getAsString() : null;
    }
}
