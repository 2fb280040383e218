package laneflow.http;

import java.nio.charset.StandardCharsets;
import laneflow.net.Ring;

/** Incremental parser of the HTTP/1.1 messages in a ring buffer. */
final class HttpReader {
    static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final int MAX_LINE_BYTES = 256;
    private static final int MAX_TRAILERS = 32;
    private static final int MAX_LENGTH_DIGITS = 9;
    private static final int MAX_CHUNK_SIZE_DIGITS = 7;

    /** Receives the parts of a message in order. */
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
        UNTIL_CLOSE,
        DONE
    }

    private final boolean response;
    private final Sink sink;
    private State state = State.HEAD;
    private int scanned;
    private long remaining;
    private int trailers;

    HttpReader(boolean response, Sink sink) {
        this.response = response;
        this.sink = sink;
    }

    /** Starts parsing the next message. */
    void nextMessage() {
        state = State.HEAD;
        scanned = 0;
        trailers = 0;
    }

    boolean isDone() {
        return state == State.DONE;
    }

    /** True if the current message has begun and not ended. */
    boolean isInsideMessage(Ring in) {
        return state != State.DONE && (state != State.HEAD || !in.isEmpty());
    }

    /** Reads the available input, up to the end of the message. */
    void read(Ring in) throws HttpException {
        boolean progressed = true;
        while (progressed && state != State.DONE) {
            switch (state) {
                case HEAD:
                    progressed = readHead(in);
                    break;
                case LENGTH:
                    progressed = readBody(in, State.DONE);
                    break;
                case CHUNK_SIZE:
                    progressed = readChunkSize(in);
                    break;
                case CHUNK:
                    progressed = readBody(in, State.CHUNK_END);
                    break;
                case CHUNK_END:
                    progressed = readChunkEnd(in);
                    break;
                case TRAILER:
                    progressed = readTrailer(in);
                    break;
                default:
                    progressed = readUntilClose(in);
                    break;
            }
        }
    }

    /** Handles the end of the connection; true if that ends the message. */
    boolean endOfInput() throws HttpException {
        if (state != State.UNTIL_CLOSE) {
            return false;
        }
        finish();
        return true;
    }

    private void finish() throws HttpException {
        state = State.DONE;
        sink.end();
    }

    private boolean readHead(Ring in) throws HttpException {
        // Empty lines before a start line are skipped, as RFC 9112 asks.
        while (!in.isEmpty() && scanned == 0 && (in.byteAt(0) == '\r' || in.byteAt(0) == '\n')) {
            in.skip(1);
        }
        for (int lineFeed = in.indexOf((byte) '\n', scanned);
                lineFeed >= 0;
                lineFeed = in.indexOf((byte) '\n', lineFeed + 1)) {
            boolean afterLineFeed = lineFeed > 0 && in.byteAt(lineFeed - 1) == '\n';
            if (lineFeed + 1 > MAX_HEAD_BYTES) {
                break;
            }
            if (afterLineFeed || lineFeed > 1 && in.byteAt(lineFeed - 1) == '\r' && in.byteAt(lineFeed - 2) == '\n') {
                byte[] bytes = new byte[lineFeed + 1];
                in.take(bytes, 0, bytes.length);
                beginMessage(HttpHead.parse(bytes, response));
                return true;
            }
            scanned = lineFeed;
        }
        if (in.size() > MAX_HEAD_BYTES) {
            throw new HttpException(431, "head too long");
        }
        return false;
    }

    private void beginMessage(HttpHead head) throws HttpException {
        String transferCoding = head.header("transfer-encoding");
        String contentLength = head.header("content-length");
        if (transferCoding != null) {
            boolean isHttp10 = (response ? head.methodOrVersion : head.versionOrReason).equals("HTTP/1.0");
            if (!transferCoding.equalsIgnoreCase("chunked") || contentLength != null || isHttp10) {
                throw new HttpException(400, "transfer coding");
            }
            state = State.CHUNK_SIZE;
        } else if (contentLength != null) {
            if (!isNumber(contentLength, MAX_LENGTH_DIGITS)) {
                throw new HttpException(400, "content length");
            }
            remaining = Long.parseLong(contentLength);
            state = State.LENGTH;
        } else {
            remaining = 0;
            state = response ? State.UNTIL_CLOSE : State.LENGTH;
        }
        if (response && (head.status() == 204 || head.status() == 304 || head.status() < 200)) {
            remaining = 0;
            state = State.LENGTH;
        }
        sink.head(head);
        if (response && head.status() < 200) {
            nextMessage();
        } else if (state == State.LENGTH && remaining == 0) {
            finish();
        }
    }

    /** True for decimal digits only, limited in number against overflow; signs and spaces are rejected. */
    static boolean isNumber(String text, int maxDigits) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '0' || text.charAt(i) > '9') {
                return false;
            }
        }
        return !text.isEmpty() && text.length() <= maxDigits;
    }

    private boolean readBody(Ring in, State nextState) throws HttpException {
        int length = (int) Math.min(remaining, in.size());
        if (length == 0) {
            return false;
        }
        byte[] bytes = new byte[length];
        in.take(bytes, 0, length);
        remaining -= length;
        sink.body(bytes);
        if (remaining == 0) {
            if (nextState == State.DONE) {
                finish();
            } else {
                state = nextState;
            }
        }
        return true;
    }

    private boolean readUntilClose(Ring in) throws HttpException {
        remaining = Long.MAX_VALUE;
        return readBody(in, State.DONE);
    }

    private boolean readChunkSize(Ring in) throws HttpException {
        String line = readLine(in);
        if (line == null) {
            return false;
        }
        int end = line.indexOf(';');
        String size = (end < 0 ? line : line.substring(0, end)).strip();
        remaining = parseHex(size);
        state = remaining == 0 ? State.TRAILER : State.CHUNK;
        return true;
    }

    private static int parseHex(String size) throws HttpException {
        int value = 0;
        for (int i = 0; i < size.length(); i++) {
            char c = size.charAt(i);
            int digit = c < 128 ? Character.digit(c, 16) : -1;
            if (digit < 0) {
                throw new HttpException(400, "chunk size");
            }
            value = value << 4 | digit;
        }
        if (size.isEmpty() || size.length() > MAX_CHUNK_SIZE_DIGITS) {
            throw new HttpException(400, "chunk size");
        }
        return value;
    }

    private boolean readChunkEnd(Ring in) throws HttpException {
        String line = readLine(in);
        if (line == null) {
            return false;
        }
        if (!line.isEmpty()) {
            throw new HttpException(400, "chunk end");
        }
        state = State.CHUNK_SIZE;
        return true;
    }

    private boolean readTrailer(Ring in) throws HttpException {
        String line = readLine(in);
        if (line == null) {
            return false;
        }
        if (line.isEmpty()) {
            finish();
        } else if (++trailers > MAX_TRAILERS) {
            throw new HttpException(431, "too many trailers");
        }
        return true;
    }

    private static String readLine(Ring in) throws HttpException {
        int end = in.indexOf((byte) '\n', 0);
        if (end > MAX_LINE_BYTES || end < 0 && in.size() > MAX_LINE_BYTES) {
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
