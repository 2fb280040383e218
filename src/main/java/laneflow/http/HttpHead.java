package laneflow.http;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** The start line and the headers of one message. */
final class HttpHead {
    private static final int MOST_HEADERS = 100;
    /** Besides all that begin with req-. */
    private static final Set<String> ONCE =
            Set.of("content-length", "transfer-encoding", "host", "idempotency-key", "srv-declined", "srv-load");

    /** The three parts of the start line. */
    final String first;

    final String second;
    final String third;
    private final Map<String, String> headers = new HashMap<>();

    private HttpHead(String first, String second, String third) {
        this.first = first;
        this.second = second;
        this.third = third;
    }

    static HttpHead parse(byte[] bytes, boolean response) throws HttpException {
        // Every message comes through here: patterns compiled anew for each took much of a cold start's time.
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        HttpHead head = null;
        for (int at = 0; at < text.length(); ) {
            int end = text.indexOf('\n', at);
            int next = end < 0 ? text.length() : end + 1;
            end = end < 0 ? text.length() : end;
            String line = text.substring(at, end > at && text.charAt(end - 1) == '\r' ? end - 1 : end);
            if (head == null) {
                head = start(line, response);
            } else if (!line.isEmpty()) {
                head.add(line);
            }
            at = next;
        }
        if (head == null) {
            throw new HttpException(400, "start line");
        }
        return head;
    }

    private static HttpHead start(String line, boolean response) throws HttpException {
        int one = line.indexOf(' ');
        int two = line.indexOf(' ', one + 1);
        String first = one < 0 ? line : line.substring(0, one);
        String second = one < 0 ? "" : line.substring(one + 1, two < 0 ? line.length() : two);
        String third = one < 0 || two < 0 ? "" : line.substring(two + 1);
        boolean sound = response ? version(first) && status(second) : version(third) && token(first) && target(second);
        if (!sound) {
            throw new HttpException(400, "start line");
        }
        return new HttpHead(first, second, third);
    }

    private static boolean status(String text) {
        return text.length() == 3 && text.charAt(0) >= '1' && text.charAt(0) <= '5' && HttpReader.isNumber(text, 3);
    }

    private void add(String line) throws HttpException {
        int colon = line.indexOf(':');
        if (colon < 1 || !token(line.substring(0, colon))) {
            throw new HttpException(400, "header line");
        }
        String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
        // Looked at before blanks are cut off: a coding behind a vertical tab is no coding to a proxy, and
        // one to the server behind it.
        for (int i = colon + 1; i < line.length(); i++) {
            if (line.charAt(i) < ' ' && line.charAt(i) != '\t' || line.charAt(i) == 127) {
                throw new HttpException(400, "header value");
            }
        }
        String value = cut(line, colon + 1);
        String before = headers.put(name, value);
        if (before != null) {
            // Two lengths or codings, alike or not, are how requests are smuggled past a proxy.
            if (name.startsWith("req-") || ONCE.contains(name)) {
                throw new HttpException(400, "header twice");
            }
            headers.put(name, before + ", " + value);
        }
        if (headers.size() > MOST_HEADERS) {
            throw new HttpException(431, "too many headers");
        }
    }

    /** Cuts off blanks and tabs, and nothing else that might pass for white space. */
    private static String cut(String line, int from) {
        int start = from;
        int end = line.length();
        while (start < end && blank(line.charAt(start))) {
            start++;
        }
        while (end > start && blank(line.charAt(end - 1))) {
            end--;
        }
        return line.substring(start, end);
    }

    private static boolean blank(char c) {
        return c == ' ' || c == '\t';
    }

    private static boolean version(String text) {
        return text.equals("HTTP/1.1") || text.equals("HTTP/1.0");
    }

    private static boolean token(String text) {
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c <= ' ' || c >= 127 || "\"(),/:;<=>?@[\\]{}".indexOf(c) >= 0) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    private static boolean target(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) <= ' ' || text.charAt(i) >= 127) {
                return false;
            }
        }
        return !text.isEmpty();
    }

    /** A header's value by its name in lower case, or null. */
    String header(String name) {
        return headers.get(name);
    }

    int status() {
        return Integer.parseInt(second);
    }

    /** True if the connection lives on behind this message. */
    boolean keepsAlive() {
        String connection = headers.getOrDefault("connection", "").toLowerCase(Locale.ROOT);
        boolean old = first.equals("HTTP/1.0") || third.equals("HTTP/1.0");
        return old ? connection.contains("keep-alive") : !connection.contains("close");
    }
}
