package laneflow.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Splits a stream of bytes into JSON objects. An object ends with its closing brace, whatever its line
 * breaks. Only brackets and strings are tracked: the objects need not be valid JSON.
 */
final class JsonObjectSplitter {
    /** Receives the parts of the stream in order. */
    interface Sink {
        /** An empty line outside any object. */
        void emptyLine() throws HttpException;

        /** The opening brace of an object. */
        void objectBegun();

        /** A complete object. */
        void object(String text) throws HttpException;
    }

    private final int maxObjectBytes;
    private final Sink sink;
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private int depth;
    private boolean quoted;
    private boolean escaped;
    /** An object has ended on the current line. */
    private boolean objectEndedOnLine;

    /** @param maxObjectBytes length of the longest object accepted */
    JsonObjectSplitter(int maxObjectBytes, Sink sink) {
        this.maxObjectBytes = maxObjectBytes;
        this.sink = sink;
    }

    /** True if an object has begun and not ended. */
    boolean isInsideObject() {
        return depth > 0;
    }

    /** Processes the next bytes of the stream. */
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
            throw new HttpException(400, "unexpected character outside a JSON object");
        }
    }

    private void acceptInsideObject(byte b) throws HttpException {
        buffer.write(b);
        if (buffer.size() > maxObjectBytes) {
            throw new HttpException(400, "JSON object too long");
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
