package laneflow.lab.standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in tenants: clients that send requests to the schedulers in turn, one request at a time each, and
 * count the outcomes. They have no information on racks and maintenance windows.
 */
public final class StandInTenants implements AutoCloseable {
    private static final int STACK_BYTES = 256 * 1024;
    private static final int ANSWER_TIMEOUT_MS = 15_000;

    private final int[] ports;
    private final int pauseMs;
    private final boolean recordsJobs;
    private final List<Thread> threads = new ArrayList<>();
    private final Map<String, Integer> clientsByTenant = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> completedJobs = new ConcurrentLinkedQueue<>();
    private final AtomicInteger errorResponses = new AtomicInteger();
    private final AtomicInteger brokenConnections = new AtomicInteger();
    private final AtomicInteger timeouts = new AtomicInteger();
    private volatile boolean closed;

    /**
     * @param ports the client ports of the schedulers
     * @param pauseMs the pause between an answer and the next request
     * @param recordsJobs false where {@link #completedJobs} is not used, which saves the memory
     */
    public StandInTenants(int[] ports, int pauseMs, boolean recordsJobs) {
        this.recordsJobs = recordsJobs;
        this.ports = ports.clone();
        this.pauseMs = pauseMs;
    }

    /** Sets the number of clients of a tenant, which send jobs of this class. */
    public void setClients(String tenant, String jobClass, int clients) {
        int currentClients = clientsByTenant.getOrDefault(tenant, 0);
        clientsByTenant.put(tenant, clients);
        for (int i = currentClients; i < clients; i++) {
            int number = i;
            String prefix = tenant + "-" + threads.size() + "-";
            Thread thread =
                    new Thread(null, () -> sendRequests(tenant, jobClass, number, prefix), "tenant", STACK_BYTES);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    private void sendRequests(String tenant, String jobClass, int number, String prefix) {
        for (int jobNumber = 0; !closed && number < clientsByTenant.get(tenant); jobNumber++) {
            int port = ports[(number + jobNumber / 16) % ports.length];
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(ANSWER_TIMEOUT_MS);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                do {
                    sendRequest(socket, in, tenant, jobClass, prefix + jobNumber++);
                    Thread.sleep(pauseMs);
                } while (!closed && number < clientsByTenant.get(tenant) && jobNumber % 16 != 0);
            } catch (java.net.SocketTimeoutException e) {
                timeouts.incrementAndGet();
            } catch (IOException e) {
                // The scheduler was killed or has shut down.
                brokenConnections.incrementAndGet();
                pause();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void sendRequest(Socket socket, InputStream in, String tenant, String jobClass, String job)
            throws IOException {
        socket.getOutputStream()
                .write(("POST /" + jobClass + " HTTP/1.1\r\nHost: t\r\nReq-Id: " + job + "\r\nReq-Owner: " + tenant
                                + "\r\nContent-Length: " + job.length() + "\r\n\r\n" + job)
                        .getBytes(StandardCharsets.US_ASCII));
        if (!readResponse(in).startsWith("HTTP/1.1 200 ")) {
            errorResponses.incrementAndGet();
        } else if (recordsJobs) {
            completedJobs.add(job);
        }
    }

    private static String readResponse(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n", Math.max(0, head.length() - 4)) < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection ended within the head: " + head);
            }
            head.append((char) next);
        }
        int lengthField = head.indexOf("Content-Length: ");
        in.readNBytes(
                lengthField < 0
                        ? 0
                        : Integer.parseInt(head.substring(lengthField + 16, head.indexOf("\r", lengthField))));
        return head.toString();
    }

    private void pause() {
        try {
            Thread.sleep(pauseMs + 50);
        } catch (InterruptedException e) {
            closed = true;
        }
    }

    /** The jobs that were answered with 200, if jobs are recorded. */
    public List<String> completedJobs() {
        return List.copyOf(completedJobs);
    }

    /** The number of requests answered with a status other than 200. */
    public int errorResponses() {
        return errorResponses.get();
    }

    /** The number of connections that failed or closed without an answer. */
    public int brokenConnections() {
        return brokenConnections.get();
    }

    /** The number of requests that were not answered in time. */
    public int timeouts() {
        return timeouts.get();
    }

    @Override
    public void close() throws InterruptedException {
        closed = true;
        for (Thread thread : threads) {
            thread.join(ANSWER_TIMEOUT_MS);
        }
    }
}
