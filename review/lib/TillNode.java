package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A stand-in till node, by the protocol page: it answers 200 and goes on in chunks, a line when the job starts and one
 * when it is done. Nodes that share a {@link Keys} drop a repeat of a key: they do not run it, and answer with what
 * the first run gave.
 */
public final class TillNode implements AutoCloseable {
    /** The keys that a group of nodes has seen of late, with the result of the run; "" while it runs. */
    public static final class Keys {
        private final long windowNanos;
        private final Map<String, Entry> seen = new ConcurrentHashMap<>();

        private record Entry(long at, String result) {}

        public Keys(long windowMs) {
            windowNanos = windowMs * 1_000_000;
        }

        /** The result of a run of this key inside the window, or null if this is the first one. */
        synchronized String begin(String key) {
            Entry entry = seen.get(key);
            if (entry != null && System.nanoTime() - entry.at < windowNanos) {
                return entry.result;
            }
            seen.put(key, new Entry(System.nanoTime(), ""));
            return null;
        }

        synchronized void end(String key, String result) {
            seen.put(key, new Entry(seen.get(key).at, result));
        }
    }

    /** A run of a job. */
    public record Run(String node, String id, String key, String body, long atNanos) {}

    /** What a node does with a job that it has run, before it answers; false if it does not answer. */
    public interface AfterRun {
        boolean answers(TillNode node, Run run) throws IOException, InterruptedException;
    }

    public final String name;
    public final int port;
    private final Lab lab;
    private final Keys keys;
    private final int runMs;
    private final List<Run> runs;
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private ServerSocket server;
    private volatile boolean dead;
    private volatile AfterRun afterRun = (node, run) -> true;

    /**
     * Creates a node that listens.
     *
     * @param keys null if it drops no repeats
     * @param runs where all nodes write their runs down
     */
    public TillNode(Lab lab, String name, Keys keys, int runMs, List<Run> runs) throws IOException {
        this.lab = lab;
        this.name = name;
        this.keys = keys;
        this.runMs = runMs;
        this.runs = runs;
        port = lab.freePort();
        listen();
    }

    public void afterRun(AfterRun action) {
        afterRun = action;
    }

    private void listen() throws IOException {
        ServerSocket opened = new ServerSocket(port, 128, InetAddress.getLoopbackAddress());
        server = opened;
        thread(() -> {
            while (true) {
                try {
                    Socket socket = opened.accept();
                    socket.setTcpNoDelay(true);
                    connections.add(socket);
                    if (dead) {
                        reset(socket);
                    } else {
                        thread(() -> serve(socket));
                    }
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    private static void thread(Runnable work) {
        Thread thread = new Thread(work, "till-node");
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message job = Http.read(in); job != null && !dead; job = Http.read(in)) {
                if (job.startLine().startsWith("GET ")) {
                    String report = "busy=0.1,q=0,rate=1,x0=4";
                    write(out, "HTTP/1.1 200 OK\r\nContent-Length: " + report.length() + "\r\n\r\n" + report);
                    continue;
                }
                String id = job.header("req-id");
                String key = job.header("idempotency-key");
                String body = job.text();
                write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + line(id, "\"state\":\"started\""));
                String result = keys == null || key == null ? null : keys.begin(key);
                if (result != null) {
                    lab.record(name + " drops " + job.startLine() + " id=" + id + " key=" + key + " body='" + body
                            + "': a repeat of '" + result + "'");
                } else {
                    Run run = new Run(name, id, key, body, System.nanoTime());
                    runs.add(run);
                    lab.record(name + " runs " + job.startLine() + " id=" + id + " key=" + key + " body='" + body + "'");
                    Thread.sleep(runMs);
                    result = "ran " + body;
                    if (keys != null && key != null) {
                        keys.end(key, result);
                    }
                    if (!afterRun.answers(this, run)) {
                        return;
                    }
                }
                write(out, line(id, "\"state\":\"done\",\"result\":\"" + result + "\"") + "0\r\n\r\n");
            }
        } catch (IOException | InterruptedException e) {
            return;
        } finally {
            connections.remove(socket);
        }
    }

    private static String line(String id, String rest) {
        String text = "{\"id\":\"" + id + "\"," + rest + "}\n";
        return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n";
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /** The node's process dies: its connections are reset, and new ones are refused. */
    public void die() throws IOException {
        dead = true;
        server.close();
        for (Socket socket : connections) {
            reset(socket);
        }
        lab.record(name + " dies");
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : connections) {
            socket.close();
        }
    }
}
