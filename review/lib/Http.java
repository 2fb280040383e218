package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 client, and the reading of messages for the stand-ins. */
public final class Http {
    private Http() {}

    /** A message's start line, headers by their names in lower case, and body. */
    public record Message(String startLine, Map<String, String> headers, byte[] body) {
        public int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        public String header(String name) {
            return headers.get(name);
        }
    }

    /** Sends a GET on a new connection. */
    public static Message get(int port, String path) throws IOException {
        return exchange(port, "GET " + path + " HTTP/1.1\r\nHost: o\r\nConnection: close\r\n\r\n", 5000);
    }

    /** Sends a job on a new connection. */
    public static Message post(int port, String path, String headers, String body, int timeoutMs) throws IOException {
        int length = body.getBytes(StandardCharsets.UTF_8).length;
        return exchange(
                port,
                "POST " + path + " HTTP/1.1\r\nHost: o\r\n" + headers + "Content-Length: " + length + "\r\n\r\n" + body,
                timeoutMs);
    }

    private static Message exchange(int port, String request, int timeoutMs) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
            socket.setSoTimeout(timeoutMs);
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            Message answer = read(new BufferedInputStream(socket.getInputStream()));
            if (answer == null) {
                throw new EOFException("closed without an answer");
            }
            return answer;
        }
    }

    /** Reads a message with a Content-Length or none; null at the end of the connection. */
    public static Message read(InputStream in) throws IOException {
        String start = line(in);
        while (start != null && start.isEmpty()) {
            start = line(in);
        }
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line == null || !line.isEmpty(); line = line(in)) {
            if (line == null) {
                throw new EOFException("cut short");
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("cut short");
        }
        return new Message(start, headers, body);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            bytes.write(b);
        }
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
