package laneflow.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import laneflow.net.Ring;

/** Lines in a body of chunks: each sent as a chunk of its own, and found again however bytes are split. */
final class Lines {
    private static final byte[] END = {'\r', '\n'};

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final int most;

    /** @param most bytes of the longest line taken */
    Lines(int most) {
        this.most = most;
    }

    /** Puts a line into a ring; false if that has no room for it. */
    static boolean put(String text, Ring out) {
        byte[] bytes = (text + "\n").getBytes(StandardCharsets.UTF_8);
        String size = Integer.toHexString(bytes.length) + "\r\n";
        return out.put(size.getBytes(StandardCharsets.US_ASCII)) && out.put(bytes) && out.put(END);
    }

    /** Tells each line that these bytes end, without its end; those that are empty are signs of life. */
    void take(byte[] bytes, Consumer<byte[]> told) throws HttpException {
        for (int from = 0; from < bytes.length; ) {
            int end = from;
            while (end < bytes.length && bytes[end] != '\n') {
                end++;
            }
            // By pieces, not bytes: a large set must not hold the loop.
            line.write(bytes, from, end - from);
            if (line.size() > most) {
                throw new HttpException(400, "a line of more than " + most + " bytes");
            }
            from = end + 1;
            if (end < bytes.length) {
                byte[] text = line.toByteArray();
                line.reset();
                if (!isBlank(text)) {
                    told.accept(text);
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
