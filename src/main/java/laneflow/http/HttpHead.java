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
    private static final Set<String> ONCE = Set.of("content-length", "transfer-encoding", "host",
            "idempotency-key", "srv-declined", "srv-load");

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
        String[] lines = new String(bytes, StandardCharsets.ISO_8859_1).split("\r?\n", -1);
        String[] start = lines[0].split(" ", response ? 3 : -1);
        boolean sound = response
                ? start.length >= 2 && version(start[0]) && start[1].matches("[1-5][0-9][0-9]")
                : start.length == 3 && version(start[2]) && token(start[0]) && target(start[1]);
        if (!sound) {
            throw new HttpException(400, "start line");
        }
        HttpHead head = new HttpHead(start[0], start[1], start.length > 2 ? start[2] : "");
        for (int i = 1; i < lines.length; i++) {
            if (!lines[i].isEmpty()) {
                head.add(lines[i]);
            }
        }
        return head;
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
