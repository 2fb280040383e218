package laneflow.http;

import java.nio.charset.StandardCharsets;
import laneflow.net.Ring;

/** Reads one HTTP/1.1 message after the other out of a ring, however its bytes are split. */
final class HttpReader {
    static final int MOST_HEAD = 16 * 1024;
    private static final int MOST_LINE = 256;
    private static final int MOST_TRAILERS = 32;
    private static final int MOST_DIGITS = 9;
    private static final int MOST_HEX = 7;

    /** What is told of a message, in order. */
    interface Sink {
        void head(HttpHead head) throws HttpException;

        void body(byte[] bytes) throws HttpException;

        void end() throws HttpException;
    }

    private enum State {
        HEAD,
        LENGTH,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        TO_CLOSE,
        DONE
    }

    private final boolean response;
    private final Sink sink;
    private State state = State.HEAD;
    private int scanned;
    private long left;
    private int trailers;

    HttpReader(boolean response, Sink sink) {
        this.response = response;
        this.sink = sink;
    }

    /** Goes on with the next message. */
    void next() {
        state = State.HEAD;
        scanned = 0;
        trailers = 0;
    }

    boolean isDone() {
        return state == State.DONE;
    }

    /** True if the present message has begun and not ended. */
    boolean isInside(Ring in) {
        return state != State.DONE && (state != State.HEAD || !in.isEmpty());
    }

    /** Reads as far as it can, to the end of the message at most. */
    void read(Ring in) throws HttpException {
        boolean more = true;
        while (more && state != State.DONE) {
            switch (state) {
                case HEAD:
                    more = head(in);
                    break;
                case LENGTH:
                    more = body(in, State.DONE);
                    break;
                case CHUNK_SIZE:
                    more = chunkSize(in);
                    break;
                case CHUNK:
                    more = body(in, State.CHUNK_END);
                    break;
                case CHUNK_END:
                    more = chunkEnd(in);
                    break;
                case TRAILER:
                    more = trailer(in);
                    break;
                default:
                    more = toClose(in);
                    break;
            }
        }
    }

    /** The connection has ended; true if that is the message's end. */
    boolean ended() throws HttpException {
        if (state != State.TO_CLOSE) {
            return false;
        }
        finish();
        return true;
    }

    private void finish() throws HttpException {
        state = State.DONE;
        sink.end();
    }

    private boolean head(Ring in) throws HttpException {
        // Empty lines before a start line are skipped, as RFC 9112 asks.
        while (!in.isEmpty() && scanned == 0 && (in.byteAt(0) == '\r' || in.byteAt(0) == '\n')) {
            in.skip(1);
        }
        for (int at = in.indexOf((byte) '\n', scanned); at >= 0; at = in.indexOf((byte) '\n', at + 1)) {
            boolean bare = at > 0 && in.byteAt(at - 1) == '\n';
            if (at + 1 > MOST_HEAD) {
                break;
            }
            if (bare || at > 1 && in.byteAt(at - 1) == '\r' && in.byteAt(at - 2) == '\n') {
                byte[] bytes = new byte[at + 1];
                in.take(bytes, 0, bytes.length);
                begin(HttpHead.parse(bytes, response));
                return true;
            }
            scanned = at;
        }
        if (in.size() > MOST_HEAD) {
            throw new HttpException(431, "head too long");
        }
        return false;
    }

    private void begin(HttpHead head) throws HttpException {
        String coding = head.header("transfer-encoding");
        String length = head.header("content-length");
        if (coding != null) {
            boolean old = (response ? head.first : head.third).equals("HTTP/1.0");
            if (!coding.equalsIgnoreCase("chunked") || length != null || old) {
                throw new HttpException(400, "transfer coding");
            }
            state = State.CHUNK_SIZE;
        } else if (length != null) {
            if (!isNumber(length, MOST_DIGITS)) {
                throw new HttpException(400, "content length");
            }
            left = Long.parseLong(length);
            state = State.LENGTH;
        } else {
            left = 0;
            state = response ? State.TO_CLOSE : State.LENGTH;
        }
        if (response && (head.status() == 204 || head.status() == 304 || head.status() < 200)) {
            left = 0;
            state = State.LENGTH;
        }
        sink.head(head);
        if (response && head.status() < 200) {
            next();
        } else if (state == State.LENGTH && left == 0) {
            finish();
        }
    }

    /** Digits, and no more than so many: no sign, no blank, nothing that overflows. */
    static boolean isNumber(String text, int most) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return false;
            }
        }
        return !text.isEmpty() && text.length() <= most;
    }

    private boolean body(Ring in, State then) throws HttpException {
        int length = (int) Math.min(left, in.size());
        if (length == 0) {
            return false;
        }
        byte[] bytes = new byte[length];
        in.take(bytes, 0, length);
        left -= length;
        sink.body(bytes);
        if (left == 0) {
            if (then == State.DONE) {
                finish();
            } else {
                state = then;
            }
        }
        return true;
    }

    private boolean toClose(Ring in) throws HttpException {
        left = Long.MAX_VALUE;
        return body(in, State.DONE);
    }

    private boolean chunkSize(Ring in) throws HttpException {
        String line = line(in);
        if (line == null) {
            return false;
        }
        int end = line.indexOf(';');
        String size = (end < 0 ? line : line.substring(0, end)).strip();
        left = hex(size);
        state = left == 0 ? State.TRAILER : State.CHUNK;
        return true;
    }

    private static int hex(String size) throws HttpException {
        int value = 0;
        for (int i = 0; i < size.length(); i++) {
            char c = size.charAt(i);
            int digit = c < 128 ? Character.digit(c, 16) : -1;
            if (digit < 0) {
                throw new HttpException(400, "chunk size");
            }
            value = value << 4 | digit;
        }
        if (size.isEmpty() || size.length() > MOST_HEX) {
            throw new HttpException(400, "chunk size");
        }
        return value;
    }

    private boolean chunkEnd(Ring in) throws HttpException {
        String line = line(in);
        if (line == null) {
            return false;
        }
        if (!line.isEmpty()) {
            throw new HttpException(400, "chunk end");
        }
        state = State.CHUNK_SIZE;
        return true;
    }

    private boolean trailer(Ring in) throws HttpException {
        String line = line(in);
        if (line == null) {
            return false;
        }
        if (line.isEmpty()) {
            finish();
        } else if (++trailers > MOST_TRAILERS) {
            throw new HttpException(431, "too many trailers");
        }
        return true;
    }

    private static String line(Ring in) throws HttpException {
        int end = in.indexOf((byte) '\n', 0);
        if (end > MOST_LINE || end < 0 && in.size() > MOST_LINE) {
            throw new HttpException(400, "line too long");
        }
        if (end < 0) {
            return null;
        }
        byte[] bytes = new byte[end + 1];
        in.take(bytes, 0, bytes.length);
        int length = end > 0 && bytes[end - 1] == '\r' ? end - 1 : end;
        return new String(bytes, 0, length, StandardCharsets.ISO_8859_1);
    }
}
