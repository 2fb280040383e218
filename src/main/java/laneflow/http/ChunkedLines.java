package laneflow.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import laneflow.net.Ring;

/** Lines of a chunked body: writes each line as one chunk, and splits the received body into lines. */
final class ChunkedLines {
    private static final byte[] CHUNK_END = {'\r', '\n'};

    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private final int maxLineBytes;

    /** @param maxLineBytes length of the longest line accepted */
    ChunkedLines(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /** Writes a line as a chunk; false if the ring has no room for it. */
    static boolean put(String text, Ring out) {
        byte[] bytes = (text + "\n").getBytes(StandardCharsets.UTF_8);
        String size = Integer.toHexString(bytes.length) + "\r\n";
        return out.put(size.getBytes(StandardCharsets.US_ASCII)) && out.put(bytes) && out.put(CHUNK_END);
    }

    /** Passes on each line that these bytes complete, without its terminator; skips empty lines (heartbeats). */
    void accept(byte[] bytes, Consumer<byte[]> consumer) throws HttpException {
        for (int start = 0; start < bytes.length; ) {
            int end = start;
            while (end < bytes.length && bytes[end] != '\n') {
                end++;
            }
            // Copied in blocks, not byte by byte: a large list would delay the loop.
            buffer.write(bytes, start, end - start);
            if (buffer.size() > maxLineBytes) {
                throw new HttpException(400, "line longer than " + maxLineBytes + " bytes");
            }
            start = end + 1;
            if (end < bytes.length) {
                byte[] text = buffer.toByteArray();
                buffer.reset();
                if (!isBlank(text)) {
                    consumer.accept(text);
                }
            }
        }
    }

    private static boolean isBlank(byte[] text) {
        for (byte b : text) {
            if (b > ' ' || b < 0) {
                return false;
            }
        }
        return true;
    }
}
