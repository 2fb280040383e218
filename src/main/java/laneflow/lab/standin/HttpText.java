package laneflow.lab.standin;

import java.io.IOException;
import java.io.InputStream;

/**
 * As much of HTTP/1.1 as stand-ins read and write: blocking, a byte at a time, and independent of the
 * product's own parser, so that a mistake there is not made here too.
 */
public final class HttpText {
    private HttpText() {}

    /** A whole head with its empty line; null where the connection ends before. */
    public static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            head.append((char) next);
            if (next == '\n' && head.length() > 3 && head.indexOf("\r\n\r\n", head.length() - 4) >= 0) {
                return head.toString();
            }
        }
        return null;
    }

    /** A field of a head, by its name as it was sent. */
    public static String field(String head, String name, String defaultValue) {
        int fieldStart = head.indexOf("\r\n" + name + ": ");
        int valueStart = fieldStart + name.length() + 4;
        return fieldStart < 0 ? defaultValue : head.substring(valueStart, head.indexOf('\r', valueStart));
    }

    /** A chunk of a body, with its length before it; ASCII. */
    public static String chunk(String line) {
        return Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
    }
}
