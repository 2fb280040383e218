package laneflow.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Cuts JSON objects out of a stream of bytes, however they are indented or split: an object ends with the
 * brace that closes it, not with its line. Whether it is sound JSON is for whoever parses it to say.
 */
final class JsonObjectSplitter {
    /** What is told of the stream, in order. */
    interface Sink {
        /** A line with nothing on it, outside any object. */
        void emptyLine() throws HttpException;

        /** An object has begun. */
        void objectBegun();

        /** An object, whole. */
        void object(String text) throws HttpException;
    }

    private final int maxObjectBytes;
    private final Sink sink;
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private int depth;
    private boolean quoted;
    private boolean escaped;
    /** An object has ended on the present line. */
    private boolean objectEndedOnLine;

    /** @param most bytes of the longest object taken */
    JsonObjectSplitter(int maxObjectBytes, Sink sink) {
        this.maxObjectBytes = maxObjectBytes;
        this.sink = sink;
    }

    /** True if an object has begun and not ended. */
    boolean isInside() {
        return depth > 0;
    }

    /** Takes the next bytes in. */
    void accept(byte[] bytes) throws HttpException {
        for (byte b : bytes) {
            if (depth > 0) {
                acceptInsideObject(b);
            } else {
                acceptOutsideObject(b);
            }
        }
    }

    private void acceptOutsideObject(byte b) throws HttpException {
        if (b == '{') {
            depth = 1;
            buffer.write(b);
            sink.objectBegun();
        } else if (b == '\n') {
            if (!objectEndedOnLine) {
                sink.emptyLine();
            }
            objectEndedOnLine = false;
        } else if (b != ' ' && b != '\t' && b != '\r') {
            throw new HttpException(400, "a line that is no object");
        }
    }

    private void acceptInsideObject(byte b) throws HttpException {
        buffer.write(b);
        if (buffer.size() > maxObjectBytes) {
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
            String text = buffer.toString(StandardCharsets.UTF_8);
            buffer.reset();
            objectEndedOnLine = true;
            sink.object(text);
        }
    }
}
