package laneflow.lab.standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Stand-in endpoints in racks. They have no information on maintenance windows: they record the start and the
 * end of every call on the machine's monotonic clock, and the checks compare the calls with the times at which
 * maintenance crews worked.
 */
public final class StandInRacks implements AutoCloseable {
    private static final int STACK_BYTES = 256 * 1024;

    /** A call at an endpoint. Until it ends, its end time is {@link Long#MAX_VALUE}. */
    public static final class Call {
        public final String endpoint;
        /** The tenant, from the Req-Owner header. */
        public final String owner;
        /** The name that the client gave the job; identifies repeated runs of it. */
        public final String job;

        public final long beganNs = System.nanoTime();
        private volatile long endedNs = Long.MAX_VALUE;

        private Call(String endpoint, String owner, String job) {
            this.endpoint = endpoint;
            this.owner = owner;
            this.job = job;
        }

        public long endedNs() {
            return endedNs;
        }
    }

    private final Map<String, ServerSocket> servers = new ConcurrentHashMap<>();
    private final Map<String, Integer> ports = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Call> calls = new ConcurrentLinkedQueue<>();
    private final Map<Socket, String> sockets = new ConcurrentHashMap<>();
    private final int runMs;
    private final boolean recordsCalls;

    /**
     * @param ports the ports on the loopback interface by the endpoint's name
     * @param runMs how long each job takes
     * @param recordsCalls false where {@link #calls} is not used, which saves the memory
     */
    public StandInRacks(Map<String, Integer> ports, int runMs, boolean recordsCalls) throws IOException {
        this.runMs = runMs;
        this.recordsCalls = recordsCalls;
        this.ports.putAll(ports);
        for (String name : ports.keySet()) {
            startEndpoint(name);
        }
    }

    /** Starts an endpoint, or restarts it at the same address. */
    public void startEndpoint(String name) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.get(name)), 256);
        servers.put(name, server);
        startThread(() -> accept(name, server));
    }

    /** Stops an endpoint abruptly: closes its connections and accepts no further ones. */
    public void stopEndpoint(String name) throws IOException {
        servers.get(name).close();
        for (Map.Entry<Socket, String> connection : sockets.entrySet()) {
            if (connection.getValue().equals(name)) {
                connection.getKey().close();
            }
        }
    }

    /** All calls so far, including those in progress. */
    public List<Call> calls() {
        return List.copyOf(calls);
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(null, work, "rack", STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(String name, ServerSocket server) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.put(socket, name);
                startThread(() -> serve(name, socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(String name, Socket socket) {
        Call call = null;
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String head = HttpText.readHead(in); head != null; head = HttpText.readHead(in)) {
                int length = Integer.parseInt(HttpText.field(head, "Content-Length", "0"));
                String job = new String(in.readNBytes(length), StandardCharsets.UTF_8);
                call = new Call(name, HttpText.field(head, "Req-Owner", ""), job);
                if (recordsCalls) {
                    calls.add(call);
                }
                Thread.sleep(runMs);
                String response = "{\"id\":\"" + HttpText.field(head, "Req-Id", "") + "\",\"state\":\"done\","
                        + "\"result\":\"" + name + "\"}\n";
                // Set before the answer is sent, so that the caller never sees the call as in progress.
                call.endedNs = System.nanoTime();
                socket.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + response.length() + "\r\n\r\n" + response)
                                .getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException | InterruptedException e) {
            if (call != null && call.endedNs == Long.MAX_VALUE) {
                call.endedNs = System.nanoTime();
            }
        } finally {
            sockets.remove(socket);
        }
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket server : servers.values()) {
            server.close();
        }
        for (Socket socket : sockets.keySet()) {
            socket.close();
        }
    }
}
