package laneflow.http;

import laneflow.net.Pace;
import laneflow.net.Ring;

/** Incremental parser of the HTTP/1.1 messages in a ring buffer. */
final class HttpReader {
    static final int MAX_HEAD_BYTES = 16 * 1024;
    private static final int MAX_LINE_BYTES = 256;
    private static final int MAX_TRAILERS = 32;
    /** Length of a part of a body that is passed on at once, so that what it holds is handled in bounded time. */
    private static final int MAX_PART_BYTES = 16 * 1024;
    /** Bytes of framing that are free with each chunk, as in Go's net/http. */
    private static final int FREE_FRAMING_BYTES = 16;
    /** Bytes of framing in a message beyond what is free and twice its body. */
    private static final int MAX_EXCESS_FRAMING_BYTES = 16 * 1024;

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
    private long excessFraming;

    HttpReader(boolean response, Sink sink) {
        this.response = response;
        this.sink = sink;
    }

    /** Starts parsing the next message. */
    void nextMessage() {
        state = State.HEAD;
        scanned = 0;
        trailers = 0;
        excessFraming = 0;
    }

    boolean isDone() {
        return state == State.DONE;
    }

    /** True if the head of the current message has been read, and the message has not ended. */
    boolean isInsideBody() {
        return state != State.HEAD && state != State.DONE;
    }

    /** True if the current message has begun and not ended. */
    boolean isInsideMessage(Ring in) {
        return state != State.DONE && (state != State.HEAD || !in.isEmpty());
    }

    /**
     * Reads the available input, up to the end of the message.
     *
     * @param pace asked before each step, which is a head, a line, or a part of a body; may leave the rest for later
     */
    void read(Ring in, Pace pace) throws HttpException {
        boolean progressed = true;
        while (progressed && state != State.DONE && !in.isEmpty() && pace.mayContinue()) {
            progressed = step(in);
        }
    }

    /** Reads one element of the message; false if it is not complete yet. */
    private boolean step(Ring in) throws HttpException {
        return switch (state) {
            case HEAD -> readHead(in);
            case LENGTH -> readBody(in, State.DONE);
            case CHUNK_SIZE -> readChunkSize(in);
            case CHUNK -> readBody(in, State.CHUNK_END);
            case CHUNK_END -> readChunkEnd(in);
            case TRAILER -> readTrailer(in);
            default -> readUntilClose(in);
        };
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
        int length = (int) Math.min(Math.min(remaining, MAX_PART_BYTES), in.size());
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
        int end = lineEnd(in);
        if (end < 0) {
            return false;
        }
        remaining = chunkSize(in, end);
        countFraming(end);
        in.skip(end + 1);
        state = remaining == 0 ? State.TRAILER : State.CHUNK;
        return true;
    }

    /** Rejects a body that consists mostly of framing, which costs more to parse than its length tells. */
    private void countFraming(int lineBytes) throws HttpException {
        excessFraming = Math.max(0, excessFraming + lineBytes - FREE_FRAMING_BYTES - 2 * remaining);
        if (excessFraming > MAX_EXCESS_FRAMING_BYTES) {
            throw new HttpException(400, "too much chunk framing");
        }
    }

    /** Parses the hexadecimal digits before an extension or the line's end, with blanks around them. */
    private static int chunkSize(Ring in, int lineEnd) throws HttpException {
        int end = in.indexOf((byte) ';', 0, lineEnd);
        end = end < 0 ? lineEnd : end;
        int start = 0;
        while (start < end && isBlank(in.byteAt(start))) {
            start++;
        }
        while (end > start && isBlank(in.byteAt(end - 1))) {
            end--;
        }
        int value = 0;
        for (int i = start; i < end; i++) {
            byte digit = in.byteAt(i);
            int digitValue = digit < 0 ? -1 : Character.digit(digit, 16);
            if (digitValue < 0) {
                throw new HttpException(400, "chunk size");
            }
            value = value << 4 | digitValue;
        }
        if (end == start || end - start > MAX_CHUNK_SIZE_DIGITS) {
            throw new HttpException(400, "chunk size");
        }
        return value;
    }

    private static boolean isBlank(byte character) {
        return character == ' ' || character == '\t' || character == '\r';
    }

    private boolean readChunkEnd(Ring in) throws HttpException {
        int end = lineEnd(in);
        if (end < 0) {
            return false;
        }
        if (end > 1 || end == 1 && in.byteAt(0) != '\r') {
            throw new HttpException(400, "chunk end");
        }
        in.skip(end + 1);
        state = State.CHUNK_SIZE;
        return true;
    }

    private boolean readTrailer(Ring in) throws HttpException {
        int end = lineEnd(in);
        if (end < 0) {
            return false;
        }
        boolean isEmpty = end == 0 || end == 1 && in.byteAt(0) == '\r';
        in.skip(end + 1);
        if (isEmpty) {
            finish();
        } else if (++trailers > MAX_TRAILERS) {
            throw new HttpException(431, "too many trailers");
        }
        return true;
    }

    /** Returns the offset of the line feed that ends the first line, or -1 if the line is not complete. */
    private static int lineEnd(Ring in) throws HttpException {
        int end = in.indexOf((byte) '\n', 0, MAX_LINE_BYTES + 1);
        if (end < 0 && in.size() > MAX_LINE_BYTES) {
            throw new HttpException(400, "line too long");
        }
        return end;
    }
}
