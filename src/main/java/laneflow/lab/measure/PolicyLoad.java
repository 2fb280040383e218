package laneflow.lab.measure;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Open-loop clients of one scheduler that send requests at a constant rate and record for each when it was
 * sent, its status and the policy that its response names. Each job has a unique name, so that its runs can
 * be counted; every second job must not run twice. A client that loses its connection reconnects with its
 * next job.
 */
public final class PolicyLoad {
    private static final int RESPONSE_TIMEOUT_MS = 10_000;
    private static final long LATENCY_TARGET_NS = 200_000_000;
    private static final String POLICY_HEADER = "Config-Version: policy=";

    /** A response: status 0 if it has no complete status line; policy -1 if its header names none. */
    record Response(long sentNs, long receivedNs, int status, long policy) {}

    private final String scheduler;
    private final int port;
    private final int connections;
    private final int perSecond;
    final ConcurrentLinkedQueue<Response> responses = new ConcurrentLinkedQueue<>();
    final AtomicLong lost = new AtomicLong();
    private final Thread[] threads;
    private volatile boolean stopped;

    PolicyLoad(String scheduler, int port, int connections, int perSecond) {
        this.scheduler = scheduler;
        this.port = port;
        this.connections = connections;
        this.perSecond = perSecond;
        threads = new Thread[connections];
    }

    void start() {
        long startNs = System.nanoTime();
        for (int i = 0; i < connections; i++) {
            int firstIndex = i;
            threads[i] = new Thread(null, () -> sendRequests(firstIndex, startNs), "client", 256 * 1024);
            threads[i].setDaemon(true);
            threads[i].start();
        }
    }

    void stop() throws InterruptedException {
        stopped = true;
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void sendRequests(int firstIndex, long startNs) {
        Socket socket = null;
        InputStream in = null;
        for (long i = firstIndex; !stopped; i += connections) {
            long scheduledNs = startNs + i * 1_000_000_000L / perSecond;
            try {
                long waitNs = scheduledNs - System.nanoTime();
                if (waitNs > 0) {
                    Thread.sleep(waitNs / 1_000_000, (int) (waitNs % 1_000_000));
                } else if (waitNs < -LATENCY_TARGET_NS) {
                    // After a stall the overdue requests are skipped, not sent in one burst.
                    continue;
                }
                if (socket == null) {
                    socket = new Socket(InetAddress.getLoopbackAddress(), port);
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                String jobName = scheduler + "-" + i + "-" + startNs;
                long sentNs = System.nanoTime();
                socket.getOutputStream()
                        .write(("POST /" + (i % 2 == 0 ? "check" : "capture")
                                        + " HTTP/1.1\r\nHost: l\r\nReq-Id: " + jobName + "\r\nContent-Length: "
                                        + jobName.length()
                                        + "\r\n\r\n" + jobName)
                                .getBytes(StandardCharsets.US_ASCII));
                String response = LiveLoad.readResponse(in);
                recordResponse(sentNs, response);
                if (response.contains("Connection: close")) {
                    socket.close();
                    socket = null;
                }
            } catch (SocketTimeoutException e) {
                lost.incrementAndGet();
                socket = close(socket);
            } catch (IOException e) {
                // The scheduler was killed or is not running. In production clients retry at another one; here
                // the request is dropped.
                socket = close(socket);
            } catch (InterruptedException e) {
                return;
            }
        }
        close(socket);
    }

    private static Socket close(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            return null;
        }
        return null;
    }

    private void recordResponse(long sentNs, String response) {
        int headerStart = response.indexOf(POLICY_HEADER);
        int headerEnd = headerStart < 0 ? 0 : response.indexOf('\r', headerStart);
        int status = response.length() < 12 ? 0 : Integer.parseInt(response.substring(9, 12));
        responses.add(new Response(
                sentNs,
                System.nanoTime(),
                status,
                headerStart < 0
                        ? -1
                        : Long.parseLong(response.substring(headerStart + POLICY_HEADER.length(), headerEnd)
                                .strip())));
    }

    /** The mean of the loads' served shares; loads without a response in the interval are left out. */
    static double served(PolicyLoad[] loads, long fromNs, long toNs) {
        return Arrays.stream(loads)
                .mapToDouble(load -> load.served(fromNs, toNs))
                .filter(share -> !Double.isNaN(share))
                .average()
                .orElse(0);
    }

    /** The share of requests sent in the interval that were served in time; NaN if none has a response. */
    double served(long fromNs, long toNs) {
        long sent = 0;
        long inTime = 0;
        for (Response response : responses) {
            if (response.sentNs >= fromNs && response.sentNs < toNs) {
                sent++;
                inTime += response.status == 200 && response.receivedNs - response.sentNs <= LATENCY_TARGET_NS ? 1 : 0;
            }
        }
        return sent == 0 ? Double.NaN : (double) inTime / sent;
    }
}
