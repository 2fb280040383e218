import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A plain HTTP/1.1 message, read whole, and a client that sends one request a connection. */
final class Http {
    String first;
    int status;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("the connection ended");
            }
            if (c != '\r') {
                text.append((char) c);
            }
        }
        return text.toString();
    }

    /** Reads a message; null if the connection ends before it. */
    static Http read(InputStream in) throws IOException {
        Http message = new Http();
        try {
            message.first = line(in);
        } catch (EOFException e) {
            return null;
        }
        for (String text = line(in); !text.isEmpty(); text = line(in)) {
            int colon = text.indexOf(':');
            message.headers.put(text.substring(0, colon).toLowerCase(), text.substring(colon + 1).strip());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(message.headers.get("transfer-encoding"))) {
            for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
                body.write(in.readNBytes(size));
                line(in);
            }
            line(in);
        } else if (message.headers.containsKey("content-length")) {
            body.write(in.readNBytes(Integer.parseInt(message.headers.get("content-length"))));
        }
        message.body = body.toByteArray();
        if (message.first.startsWith("HTTP/")) {
            message.status = Integer.parseInt(message.first.split(" ")[1]);
        }
        return message;
    }

    static void send(Socket socket, String method, String target, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: origin.svc\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(Host.bytes(head.toString()));
        all.write(body);
        socket.getOutputStream().write(all.toByteArray());
        socket.getOutputStream().flush();
    }

    /** One request on a new connection; throws if the connection ends without a whole answer. */
    static Http call(int port, String method, String target, Map<String, String> headers, byte[] body, int timeoutMs)
            throws IOException {
        try (Socket socket = Host.connect(port)) {
            socket.setSoTimeout(timeoutMs);
            send(socket, method, target, headers, body);
            Http answer = read(socket.getInputStream());
            if (answer == null) {
                throw new EOFException("closed without an answer");
            }
            return answer;
        }
    }
}
