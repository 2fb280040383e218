package laneflow.maintenance;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import laneflow.lab.standin.HttpText;

/** Stand-in endpoints that record the start and end of each call on the machine's monotonic clock. */
final class RecordingEndpoints implements AutoCloseable {
    /** A call; its end is Long.MAX_VALUE while it is open. */
    static final class Call {
        final String endpoint;
        final long startNs = System.nanoTime();
        volatile long endNs = Long.MAX_VALUE;

        private Call(String endpoint) {
            this.endpoint = endpoint;
        }
    }

    final List<String> names = new ArrayList<>();
    private final Map<String, ServerSocket> servers = new HashMap<>();
    private final Map<String, Integer> ports = new HashMap<>();
    private final ConcurrentLinkedQueue<Call> calls = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private volatile int jobMillis;

    RecordingEndpoints(int count, int jobMillis) throws IOException {
        this.jobMillis = jobMillis;
        for (int i = 0; i < count; i++) {
            names.add("till-" + i);
            open("till-" + i, 0);
        }
    }

    /** Sets the duration of each job. */
    void setJobMillis(int ms) {
        jobMillis = ms;
    }

    private void open(String name, int port) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 256);
        servers.put(name, server);
        ports.put(name, server.getLocalPort());
        startDaemon(() -> accept(name, server));
    }

    /** The endpoint fails without notice: connections break and no new ones are accepted. */
    void fail(String name) throws IOException {
        servers.get(name).close();
        for (Socket socket : sockets) {
            if (socket.getLocalPort() == ports.get(name)) {
                socket.close();
            }
        }
    }

    /** The endpoint is back at its old address. */
    void bringBack(String name) throws IOException {
        open(name, ports.get(name));
    }

    String dial(String name) {
        return "127.0.0.1:" + ports.get(name);
    }

    /** Calls to these endpoints that were open at any time in the period. */
    List<Call> openDuring(List<String> endpoints, long fromNs, long toNs) {
        return calls.stream()
                .filter(call -> endpoints.contains(call.endpoint) && call.startNs < toNs && call.endNs > fromNs)
                .toList();
    }

    /** Number of calls to the endpoint that began after that time. */
    long countSince(String endpoint, long ns) {
        return calls.stream()
                .filter(call -> call.endpoint.equals(endpoint) && call.startNs > ns)
                .count();
    }

    private static void startDaemon(Runnable work) {
        Thread thread = new Thread(work, "till");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(String name, ServerSocket server) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                startDaemon(() -> serve(name, socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(String name, Socket socket) {
        Call[] call = new Call[1];
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String head = HttpText.head(in); head != null; head = HttpText.head(in)) {
                call[0] = new Call(name);
                calls.add(call[0]);
                String id = HttpText.field(head, "Req-Id", "0");
                in.readNBytes(Integer.parseInt(HttpText.field(head, "Content-Length", "0")));
                Thread.sleep(jobMillis);
                String line = "{\"id\":\"" + id + "\",\"state\":\"done\",\"result\":\"" + name + "\"}\n";
                // The end is recorded before the caller can see the response.
                call[0].endNs = System.nanoTime();
                socket.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + line.length() + "\r\n\r\n" + line)
                                .getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException | InterruptedException e) {
            if (call[0] != null) {
                call[0].endNs = Math.min(call[0].endNs, System.nanoTime());
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket server : servers.values()) {
            server.close();
        }
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
