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
 * Stand-in tenants: clients that ask one scheduler after the other, each with one request at a time, and
 * count what they heard. They know nothing of racks and windows.
 */
public final class StandInTenants implements AutoCloseable {
    private static final int STACK = 256 * 1024;
    private static final int PATIENCE_MS = 15_000;

    private final int[] ports;
    private final int pauseMs;
    private final boolean keeps;
    private final List<Thread> threads = new ArrayList<>();
    private final Map<String, Integer> wanted = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> completedJobs = new ConcurrentLinkedQueue<>();
    private final AtomicInteger errorResponses = new AtomicInteger();
    private final AtomicInteger brokenConnections = new AtomicInteger();
    private final AtomicInteger timeouts = new AtomicInteger();
    private volatile boolean over;

    /**
     * @param ports of schedulers
     * @param pauseMs between an answer and the next request
     * @param keeps false where nobody is going to read what was served
     */
    public StandInTenants(int[] ports, int pauseMs, boolean keeps) {
        this.keeps = keeps;
        this.ports = ports.clone();
        this.pauseMs = pauseMs;
    }

    /** From now on that tenant has so many clients at work, for that class. */
    public void setClients(String tenant, String jobClass, int clients) {
        int before = wanted.getOrDefault(tenant, 0);
        wanted.put(tenant, clients);
        for (int i = before; i < clients; i++) {
            int number = i;
            String prefix = tenant + "-" + threads.size() + "-";
            Thread thread = new Thread(null, () -> ask(tenant, jobClass, number, prefix), "tenant", STACK);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    private void ask(String tenant, String jobClass, int number, String prefix) {
        for (int n = 0; !over && number < wanted.get(tenant); n++) {
            int port = ports[(number + n / 16) % ports.length];
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(PATIENCE_MS);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                do {
                    ask(socket, in, tenant, jobClass, prefix + n++);
                    Thread.sleep(pauseMs);
                } while (!over && number < wanted.get(tenant) && n % 16 != 0);
            } catch (java.net.SocketTimeoutException e) {
                timeouts.incrementAndGet();
            } catch (IOException e) {
                // Its scheduler is killed, or ends.
                brokenConnections.incrementAndGet();
                pause();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void ask(Socket socket, InputStream in, String tenant, String jobClass, String job) throws IOException {
        socket.getOutputStream()
                .write(("POST /" + jobClass + " HTTP/1.1\r\nHost: t\r\nReq-Id: " + job + "\r\nReq-Owner: " + tenant
                                + "\r\nContent-Length: " + job.length() + "\r\n\r\n" + job)
                        .getBytes(StandardCharsets.US_ASCII));
        if (!answer(in).startsWith("HTTP/1.1 200 ")) {
            errorResponses.incrementAndGet();
        } else if (keeps) {
            completedJobs.add(job);
        }
    }

    private static String answer(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n", Math.max(0, head.length() - 4)) < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("ended after " + head);
            }
            head.append((char) next);
        }
        int at = head.indexOf("Content-Length: ");
        in.readNBytes(at < 0 ? 0 : Integer.parseInt(head.substring(at + 16, head.indexOf("\r", at))));
        return head.toString();
    }

    private void pause() {
        try {
            Thread.sleep(pauseMs + 50);
        } catch (InterruptedException e) {
            over = true;
        }
    }

    /** The jobs that were answered with success, where they are kept. */
    public List<String> completedJobs() {
        return List.copyOf(completedJobs);
    }

    /** Answered with anything but success. */
    public int errorResponses() {
        return errorResponses.get();
    }

    /** Connections that broke with no answer. */
    public int brokenConnections() {
        return brokenConnections.get();
    }

    /** Requests to which nobody has said a word. */
    public int timeouts() {
        return timeouts.get();
    }

    @Override
    public void close() throws InterruptedException {
        over = true;
        for (Thread thread : threads) {
            thread.join(PATIENCE_MS);
        }
    }
}
