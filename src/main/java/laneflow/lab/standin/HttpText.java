package laneflow.lab.standin;

import java.io.IOException;
import java.io.InputStream;

/**
 * The part of HTTP/1.1 that stand-ins use, read blocking and byte by byte. It does not share code with the
 * product's parser, so that a mistake there is not repeated here.
 */
public final class HttpText {
    private HttpText() {}

    /** Reads a head including its empty line; null if the connection ends before that. */
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

    /** The value of a header field; the name is case-sensitive. */
    public static String field(String head, String name, String defaultValue) {
        int fieldStart = head.indexOf("\r\n" + name + ": ");
        int valueStart = fieldStart + name.length() + 4;
        return fieldStart < 0 ? defaultValue : head.substring(valueStart, head.indexOf('\r', valueStart));
    }

    /** Encodes ASCII text as one chunk of a chunked body. */
    public static String chunk(String line) {
        return Integer.toHexString(line.length()) + "\r\n" + line + "\r\n";
    }
}
