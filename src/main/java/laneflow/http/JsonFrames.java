package laneflow.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Cuts JSON objects out of a stream of bytes, however they are indented or split: an object ends with the
 * brace that closes it, not with its line. Whether it is sound JSON is for whoever parses it to say.
 */
final class JsonFrames {
    /** What is told of the stream, in order. */
    interface Sink {
        /** A line with nothing on it, outside any object. */
        void blank() throws HttpException;

        /** An object has begun. */
        void begun();

        /** An object, whole. */
        void object(String text) throws HttpException;
    }

    private final int most;
    private final Sink sink;
    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    private int depth;
    private boolean quoted;
    private boolean escaped;
    /** An object has ended on the present line. */
    private boolean behind;

    /** @param most bytes of the longest object taken */
    JsonFrames(int most, Sink sink) {
        this.most = most;
        this.sink = sink;
    }

    /** True if an object has begun and not ended. */
    boolean isInside() {
        return depth > 0;
    }

    /** Takes the next bytes in. */
    void take(byte[] bytes) throws HttpException {
        for (byte b : bytes) {
            if (depth > 0) {
                inside(b);
            } else {
                between(b);
            }
        }
    }

    private void between(byte b) throws HttpException {
        if (b == '{') {
            depth = 1;
            object.write(b);
            sink.begun();
        } else if (b == '\n') {
            if (!behind) {
                sink.blank();
            }
            behind = false;
        } else if (b != ' ' && b != '\t' && b != '\r') {
            throw new HttpException(400, "a line that is no object");
        }
    }

    private void inside(byte b) throws HttpException {
        object.write(b);
        if (object.size() > most) {
            throw new HttpException(400, "object too long");
        }
        if (quoted) {
            quoted = escaped || b != '"';
            escaped = !escaped && b == '\\';
        } else if (b == '"') {
            quoted = true;
        } else if (b == '{' || b == '[') {
            depth++;
        } else if ((b == '}' || b == ']') && --depth == 0) {
            String text = object.toString(StandardCharsets.UTF_8);
            object.reset();
            behind = true;
            sink.object(text);
        }
    }
}
