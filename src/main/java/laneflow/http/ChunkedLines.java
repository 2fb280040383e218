package laneflow.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import laneflow.net.Ring;

/** Lines in a body of chunks: each sent as a chunk of its own, and found again however bytes are split. */
final class ChunkedLines {
    private static final byte[] CHUNK_END = {'\r', '\n'};

    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    private final int maxLineBytes;

    /** @param most bytes of the longest line taken */
    ChunkedLines(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /** Puts a line into a ring; false if that has no room for it. */
    static boolean put(String text, Ring out) {
        byte[] bytes = (text + "\n").getBytes(StandardCharsets.UTF_8);
        String size = Integer.toHexString(bytes.length) + "\r\n";
        return out.put(size.getBytes(StandardCharsets.US_ASCII)) && out.put(bytes) && out.put(CHUNK_END);
    }

    /** Tells each line that these bytes end, without its end; those that are empty are signs of life. */
    void accept(byte[] bytes, Consumer<byte[]> consumer) throws HttpException {
        for (int start = 0; start < bytes.length; ) {
            int end = start;
            while (end < bytes.length && bytes[end] != '\n') {
                end++;
            }
            // By pieces, not bytes: a large set must not hold the loop.
            buffer.write(bytes, start, end - start);
            if (buffer.size() > maxLineBytes) {
                throw new HttpException(400, "a line of more than " + maxLineBytes + " bytes");
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
