package laneflow.http;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** The start line and the headers of one message. */
final class HttpHead {
    private static final int MAX_HEADERS = 100;
    /** Memory for the objects of a header beside its text, roughly. */
    private static final int BYTES_PER_HEADER = 160;
    /** Headers that may occur only once, beside all that begin with {@code req-}. */
    private static final Set<String> SINGLE_HEADERS =
            Set.of("content-length", "transfer-encoding", "host", "idempotency-key", "srv-declined", "srv-load");

    /** The parts of the start line of a request, or of a response. */
    final String methodOrVersion;

    final String targetOrStatus;
    final String versionOrReason;
    private final Map<String, String> headers = new HashMap<>();
    /** Length of the head as it was received, bytes. */
    private final int length;

    private HttpHead(String methodOrVersion, String targetOrStatus, String versionOrReason, int length) {
        this.length = length;
        this.methodOrVersion = methodOrVersion;
        this.targetOrStatus = targetOrStatus;
        this.versionOrReason = versionOrReason;
    }

    static HttpHead parse(byte[] bytes, boolean response) throws HttpException {
        // No regular expressions: compiling them for each message slowed cold starts.
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        HttpHead head = null;
        for (int lineStart = 0; lineStart < text.length(); ) {
            int lineEnd = text.indexOf('\n', lineStart);
            int nextLine = lineEnd < 0 ? text.length() : lineEnd + 1;
            lineEnd = lineEnd < 0 ? text.length() : lineEnd;
            String line = text.substring(
                    lineStart, lineEnd > lineStart && text.charAt(lineEnd - 1) == '\r' ? lineEnd - 1 : lineEnd);
            if (head == null) {
                head = parseStartLine(line, response, bytes.length);
            } else if (!line.isEmpty()) {
                head.addHeader(line);
            }
            lineStart = nextLine;
        }
        if (head == null) {
            throw new HttpException(400, "start line");
        }
        return head;
    }

    private static HttpHead parseStartLine(String line, boolean response, int length) throws HttpException {
        int firstSpace = line.indexOf(' ');
        int secondSpace = line.indexOf(' ', firstSpace + 1);
        String first = firstSpace < 0 ? line : line.substring(0, firstSpace);
        String second =
                firstSpace < 0 ? "" : line.substring(firstSpace + 1, secondSpace < 0 ? line.length() : secondSpace);
        String third = firstSpace < 0 || secondSpace < 0 ? "" : line.substring(secondSpace + 1);
        boolean valid = response
                ? isVersion(first) && isStatus(second)
                : isVersion(third) && isToken(first) && isTarget(second);
        if (!valid) {
            throw new HttpException(400, "start line");
        }
        return new HttpHead(first, second, third, length);
    }

    private static boolean isStatus(String text) {
        return text.length() == 3 && text.charAt(0) >= '1' && text.charAt(0) <= '5' && HttpReader.isNumber(text, 3);
    }

    private void addHeader(String line) throws HttpException {
        int colon = line.indexOf(':');
        if (colon < 1 || !isToken(line.substring(0, colon))) {
            throw new HttpException(400, "header line");
        }
        String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
        // Checked before trimming: a transfer coding after a vertical tab is ignored by some proxies and
        // applied by the server behind them.
        for (int i = colon + 1; i < line.length(); i++) {
            if (line.charAt(i) < ' ' && line.charAt(i) != '\t' || line.charAt(i) == 127) {
                throw new HttpException(400, "header value");
            }
        }
        String value = trimBlanks(line, colon + 1);
        String earlier = headers.put(name, value);
        if (earlier != null) {
            // Repeated lengths or codings, equal or not, are used for request smuggling.
            if (name.startsWith("req-") || SINGLE_HEADERS.contains(name)) {
                throw new HttpException(400, "header twice");
            }
            headers.put(name, earlier + ", " + value);
        }
        if (headers.size() > MAX_HEADERS) {
            throw new HttpException(431, "too many headers");
        }
    }

    /** Trims spaces and tabs, and no other white space. */
    private static String trimBlanks(String line, int from) {
        int start = from;
        int end = line.length();
        while (start < end && isBlank(line.charAt(start))) {
            start++;
        }
        while (end > start && isBlank(line.charAt(end - 1))) {
            end--;
        }
        return line.substring(start, end);
    }

    private static boolean isBlank(char c) {
        return c == ' ' || c == '\t';
    }

    private static boolean isVersion(String text) {
        return text.equals("HTTP/1.1") || text.equals("HTTP/1.0");
    }

    private static boolean isToken(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c <= ' ' || c >= 127 || "\"(),/:;<=>?@[\\]{}".indexOf(c) >= 0) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    private static boolean isTarget(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) <= ' ' || text.charAt(i) >= 127) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    /** A header's value by its lower-case name, or null. */
    String header(String name) {
        return headers.get(name);
    }

    /** The bytes of memory that it takes up, roughly: its text, and the objects of each header. */
    int memoryBytes() {
        return length + headers.size() * BYTES_PER_HEADER;
    }

    int status() {
        return Integer.parseInt(targetOrStatus);
    }

    /** True if the connection stays open after this message. */
    boolean isKeepAlive() {
        String connection = headers.getOrDefault("connection", "").toLowerCase(Locale.ROOT);
        boolean isHttp10 = methodOrVersion.equals("HTTP/1.0") || versionOrReason.equals("HTTP/1.0");
        return isHttp10 ? connection.contains("keep-alive") : !connection.contains("close");
    }
}
