import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound HTTP till node by the platform's protocol page: starts a job when its last byte has come, answers 200 with lines
 * in chunks, and drops a repeat of an Idempotency-Key within ten seconds: it answers with the result of the first run.
 * Keeps a ledger of what took effect.
 */
final class Till implements AutoCloseable {
    /** A job that took effect. */
    record Run(String target, String id, String key, String body, long atMs) {}

    private static final long WINDOW_MS = 10_000;
    private static final long HEARTBEAT_MS = 1000;
    /** Characters of a body that are kept and written down. */
    private static final int MAX_NOTED = 60;

    private final Host host;
    private final String name;
    private final ServerSocket server;
    private final boolean tellsStart;
    private final List<Run> runs = new ArrayList<>();
    private final Map<String, Run> known = new HashMap<>();
    /** How many jobs run here, each on a connection that the scheduler holds open. */
    final AtomicInteger running = new AtomicInteger();
    /** How long a job runs. */
    volatile long runMs;
    /** What each result has at its end. */
    volatile String padding = "";
    /** Whether runs are not written down. */
    volatile boolean quiet;

    Till(Host host, String name, long runMs, boolean tellsStart) throws IOException {
        this.host = host;
        this.name = name;
        this.runMs = runMs;
        this.tellsStart = tellsStart;
        server = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                daemon(() -> serve(socket));
            }
        });
    }

    private interface Task {
        void run() throws Exception;
    }

    private static void daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The connection, or the till node, has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return server.getLocalPort();
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            OutputStream out = socket.getOutputStream();
            for (Http message = Http.read(socket.getInputStream());
                    message != null;
                    message = Http.read(socket.getInputStream())) {
                if (message.first.startsWith("GET ")) {
                    out.write(Host.bytes("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"));
                    continue;
                }
                String target = message.first.split(" ")[1];
                String id = message.headers.get("req-id");
                String key = message.headers.get("idempotency-key");
                long now = System.currentTimeMillis();
                String body = message.text().substring(0, Math.min(MAX_NOTED, message.body.length));
                Run run = new Run(target, id, key, body, now);
                boolean repeat;
                synchronized (runs) {
                    Run earlier = key == null ? null : known.get(key);
                    repeat = earlier != null && now - earlier.atMs < WINDOW_MS;
                    if (repeat) {
                        run = earlier;
                    } else {
                        runs.add(run);
                        known.put(key, run);
                    }
                }
                if (!quiet) {
                    host.say(name + (repeat ? " drops a repeat: " : " RUNS ") + target + " id=" + id + " key=" + key + " body="
                            + body);
                }
                out.write(Host.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                if (tellsStart) {
                    chunk(out, "{\"id\":\"" + id + "\",\"from\":\"" + name + "\",\"state\":\"started\"}\n");
                }
                out.flush();
                running.incrementAndGet();
                long left = runMs;
                try {
                    for (; left > HEARTBEAT_MS; left -= HEARTBEAT_MS) {
                        Thread.sleep(HEARTBEAT_MS);
                        chunk(out, "{\"id\":\"" + id + "\",\"from\":\"" + name + "\",\"state\":\"running\",\"share\":0.5}\n");
                        out.flush();
                    }
                    Thread.sleep(left);
                } finally {
                    running.decrementAndGet();
                }
                chunk(
                        out,
                        "{\"id\":\"" + id + "\",\"from\":\"" + name + "\",\"state\":\"done\",\"result\":\"done " + run.body
                                + padding + "\"}\n");
                out.write(Host.bytes("0\r\n\r\n"));
                out.flush();
            }
        }
    }

    private static void chunk(OutputStream out, String line) throws IOException {
        out.write(Host.bytes(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n"));
    }

    List<Run> runs() {
        synchronized (runs) {
            return new ArrayList<>(runs);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
