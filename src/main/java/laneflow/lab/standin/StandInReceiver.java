package laneflow.lab.standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A stand-in for the external service that receives the calls of fleet tasks and has no information on leases.
 * Each call takes a fixed time and is recorded with its start and end on this machine's monotonic clock. Calls
 * to a path that begins with {@code /checked} are rejected with 409 if their token is lower than the highest
 * token seen for the task, as a store with fencing tokens does. Calls to {@code /hang} are never answered:
 * they end when the caller closes the connection.
 */
public final class StandInReceiver implements AutoCloseable {
    private static final int MAX_HEAD_BYTES = 4096;

    /**
     * A call whose work is over.
     *
     * @param accepted false if it was rejected because its token was too low
     * @param closedByCaller true if the caller closed the connection before the work was over
     */
    public record Call(
            String task,
            long token,
            String holder,
            boolean checked,
            boolean accepted,
            long beganNs,
            long endedNs,
            boolean closedByCaller) {}

    private final ServerSocket server;
    private final int workMs;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(null, task, "receiver", 256 * 1024);
        thread.setDaemon(true);
        return thread;
    });
    private final List<Call> calls = new ArrayList<>();
    private final Map<String, Long> highestTokens = new HashMap<>();

    /** @param workMs the duration of each call */
    public StandInReceiver(int port, int workMs) throws IOException {
        this.workMs = workMs;
        server = new ServerSocket(port, 512, InetAddress.getLoopbackAddress());
        threads.execute(this::accept);
    }

    public int port() {
        return server.getLocalPort();
    }

    /** All calls so far whose work is over. */
    public List<Call> calls() {
        synchronized (calls) {
            return List.copyOf(calls);
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                threads.execute(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            String head = readHead(socket.getInputStream());
            long startNanos = System.nanoTime();
            if (!head.contains("\r\nTask: ")) {
                return;
            }
            String task = field(head, "Task");
            long token = Long.parseLong(field(head, "Task-Token"));
            boolean checked = head.startsWith("POST /checked");
            boolean accepted;
            synchronized (calls) {
                accepted = !checked || token >= highestTokens.getOrDefault(task, 0L);
                if (accepted) {
                    highestTokens.merge(task, token, Math::max);
                }
            }
            if (head.startsWith("POST /hang")) {
                socket.getInputStream().read();
            } else if (accepted) {
                Thread.sleep(workMs);
            }
            long endNanos = System.nanoTime();
            boolean closedByCaller = isClosed(socket);
            synchronized (calls) {
                calls.add(new Call(
                        task,
                        token,
                        field(head, "Task-Holder"),
                        checked,
                        accepted,
                        startNanos,
                        endNanos,
                        closedByCaller));
            }
            socket.getOutputStream()
                    .write(("HTTP/1.1 " + (accepted ? "204 Done" : "409 Stale") + "\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            // The caller closed the connection; a finished call is recorded already.
            Thread.onSpinWait();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean isClosed(Socket socket) throws IOException {
        try {
            socket.setSoTimeout(1);
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (SocketException e) {
            return true;
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0 && head.length() < MAX_HEAD_BYTES) {
            int next = in.read();
            if (next < 0) {
                break;
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static String field(String head, String name) {
        int from = head.indexOf("\r\n" + name + ": ") + name.length() + 4;
        return head.substring(from, head.indexOf("\r\n", from));
    }

    @Override
    public void close() throws IOException {
        server.close();
        threads.shutdownNow();
    }
}
