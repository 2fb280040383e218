package laneflow.lab.standin;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in control service. It holds the streams of all schedulers, sends the same responses to each, and
 * records which scheduler answered which nonce and when. It does not check the answers: the measurement does.
 */
public final class StandInControl implements AutoCloseable {
    private final ServerSocket server;
    private final Map<String, Socket> streams = new ConcurrentHashMap<>();
    /** The first reply for each "SCHEDULER NONCE". */
    private final Map<String, Reply> replies = new ConcurrentHashMap<>();
    /** By type URL: the responses that are sent on a new stream. */
    private final Map<String, String> initialResponses = new ConcurrentHashMap<>();
    /** The latest counters reported by each scheduler, by the scheduler's name. */
    private final Map<String, JsonObject> counters = new ConcurrentHashMap<>();

    /** When each scheduler last reported that it rolled a version back, by the name of the scheduler. */
    public final Map<String, Long> rolledBackNanos = new ConcurrentHashMap<>();

    /** A scheduler's answer to a response; the error is null for an ACK. */
    public record Reply(String version, String error, long nanos) {}

    public StandInControl() throws IOException {
        server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::accept, "control");
        thread.setDaemon(true);
        thread.start();
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket), "stream");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        String name = null;
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (!readLine(in).isEmpty()) {
                // Skips the request head.
                continue;
            }
            socket.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            while (true) {
                int size = Integer.parseInt(readLine(in), 16);
                JsonObject message = JsonParser.parseString(new String(in.readNBytes(size), StandardCharsets.UTF_8))
                        .getAsJsonObject();
                readLine(in);
                long now = System.nanoTime();
                if (!message.has("response_nonce")) {
                    counters.put(message.getAsJsonObject("node").get("id").getAsString(), message);
                    continue;
                }
                String nonce = message.get("response_nonce").getAsString();
                if (name == null) {
                    name = message.getAsJsonObject("node").get("id").getAsString();
                    streams.put(name, socket);
                    for (String response : initialResponses.values()) {
                        send(socket, response);
                    }
                }
                if (nonce.isEmpty()) {
                    continue;
                }
                JsonObject error = message.getAsJsonObject("error_detail");
                replies.putIfAbsent(
                        name + " " + nonce,
                        new Reply(
                                message.get("version_info").getAsString(),
                                error == null ? null : error.get("message").getAsString(),
                                now));
                if (error != null && error.get("message").getAsString().contains(" was taken back: ")) {
                    rolledBackNanos.put(name, now);
                }
            }
        } catch (IOException | NumberFormatException e) {
            if (name != null) {
                streams.remove(name, socket);
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("the stream ended within a line");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    private static void send(Socket socket, String text) throws IOException {
        byte[] bytes = (text + "\n").getBytes(StandardCharsets.UTF_8);
        synchronized (socket) {
            socket.getOutputStream()
                    .write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().write("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** The counters that a scheduler reported last, or null. */
    JsonObject counters(String scheduler) {
        return counters.get(scheduler);
    }

    public int streams() {
        return streams.size();
    }

    public boolean hasStream(String scheduler) {
        return streams.containsKey(scheduler);
    }

    /** Drops the stream of a scheduler whose process was killed, so that its next stream counts as new. */
    public void dropStream(String scheduler) {
        streams.remove(scheduler);
    }

    /** Sends a response on all streams; with {@code sendToNewStreams} also on streams that are opened later. */
    public void publish(String text, boolean sendToNewStreams) {
        if (sendToNewStreams) {
            initialResponses.put(
                    JsonParser.parseString(text)
                            .getAsJsonObject()
                            .get("type_url")
                            .getAsString(),
                    text);
        }
        streams.forEach((name, socket) -> {
            try {
                send(socket, text);
            } catch (IOException e) {
                streams.remove(name, socket);
            }
        });
    }

    /** Sets the response of its type for streams that are opened later, without sending it on the open ones. */
    public void setInitialResponse(String text) {
        initialResponses.put(
                JsonParser.parseString(text).getAsJsonObject().get("type_url").getAsString(), text);
    }

    /** The scheduler's reply to this nonce, or null if there is none yet. */
    public Reply reply(String scheduler, String nonce) {
        return replies.get(scheduler + " " + nonce);
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : streams.values()) {
            socket.close();
        }
    }
}
