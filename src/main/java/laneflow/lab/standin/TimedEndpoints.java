package laneflow.lab.standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;

/** Endpoints in this process that record when each attempt began, by request id, and decline some of them. */
public final class TimedEndpoints implements AutoCloseable {
    private static final int BACKLOG = 512;
    private static final int STACK_BYTES = 256 * 1024;
    private static final long HANG_MS = 3_000;

    /** How an endpoint treats the requests that it receives; shares of all requests. */
    public record Behaviour(int runMs, double declined, double closed, double hung) {
        /** Runs every request for this long. */
        public static Behaviour serving(int runMs) {
            return new Behaviour(runMs, 0, 0, 0);
        }
    }

    /**
     * An attempt.
     *
     * @param beganAt when its first byte was read, nanoseconds
     * @param ran whether it was taken, so that it may have run
     * @param broken whether it was taken and the endpoint gave no answer, so that some classes are sent again
     */
    public record Run(long beganAt, boolean ran, boolean broken) {}

    private final List<ServerSocket> servers = new ArrayList<>();
    private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();
    private volatile Behaviour behaviour;

    /** Opens this many endpoints on ports of the loopback interface. */
    public TimedEndpoints(int count, Behaviour behaviour) throws IOException {
        this.behaviour = behaviour;
        for (int i = 0; i < count; i++) {
            ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
            servers.add(server);
            startThread(() -> accept(server));
        }
    }

    public void setBehaviour(Behaviour changed) {
        behaviour = changed;
    }

    /** The address of each endpoint. */
    public List<String> addresses() {
        return servers.stream()
                .map(server -> "127.0.0.1:" + server.getLocalPort())
                .toList();
    }

    /** The attempts of all requests so far, by request id. */
    public Map<String, List<Run>> runs() {
        return runs;
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(null, work, "endpoint", STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept(ServerSocket server) {
        while (true) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                startThread(() -> serve(socket));
            } catch (IOException e) {
                // The endpoint is closed.
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            PushbackInputStream in = new PushbackInputStream(new BufferedInputStream(socket.getInputStream()));
            boolean isOpen = true;
            while (isOpen) {
                int first = in.read();
                long beganAt = System.nanoTime();
                if (first < 0) {
                    return;
                }
                in.unread(first);
                isOpen = serveOne(socket, in, beganAt);
            }
        } catch (IOException | InterruptedException e) {
            // The scheduler closed the connection: the attempt is recorded as far as it came.
            return;
        }
    }

    private boolean serveOne(Socket socket, InputStream in, long beganAt) throws IOException, InterruptedException {
        String head = HttpText.readHead(in);
        if (head == null) {
            return false;
        }
        int length = Integer.parseInt(HttpText.field(head, "Content-Length", "0"));
        boolean isWhole = in.readNBytes(length).length == length;
        Behaviour drawn = behaviour;
        double draw = ThreadLocalRandom.current().nextDouble();
        boolean declines = draw < drawn.declined;
        boolean closes = !declines && draw < drawn.declined + drawn.closed;
        boolean hangs = !declines && !closes && draw < drawn.declined + drawn.closed + drawn.hung;
        String id = HttpText.field(head, "Req-Id", "0");
        boolean ran = isWhole && !declines;
        runs.computeIfAbsent(id, none -> new CopyOnWriteArrayList<>())
                .add(new Run(beganAt, ran, ran && (closes || hangs)));
        if (!isWhole) {
            return false;
        }
        if (declines) {
            write(socket, "HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        if (closes) {
            return false;
        }
        if (hangs) {
            Thread.sleep(HANG_MS);
            return false;
        }
        write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + line(id, "started", ""));
        Thread.sleep(drawn.runMs);
        write(socket, line(id, "done", ",\"result\":\"ran " + id + "\"") + "0\r\n\r\n");
        return true;
    }

    private static String line(String id, String state, String more) {
        return HttpText.chunk("{\"id\":\"" + id + "\",\"state\":\"" + state + "\"" + more + "}\n");
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket server : servers) {
            server.close();
        }
    }
}
