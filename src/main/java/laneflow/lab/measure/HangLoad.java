package laneflow.lab.measure;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Sends requests that no endpoint ever answers, so that each ends at the deadline of its class, which differs
 * between the versions of the configuration. The response names the version that the request came under; a
 * response at the deadline of another version shows that the request used two versions.
 */
public final class HangLoad {
    private static final double MAX_EARLY_MS = 25;
    private static final double MAX_LATE_MS = 60;

    private final int port;
    /** Deadline in milliseconds by version of the classes. */
    private final Map<String, Integer> deadlines;

    final AtomicLong checked = new AtomicLong();
    final AtomicLong mixed = new AtomicLong();
    /** Number of checked responses whose request was open while another version was adopted. */
    final AtomicLong openAcrossChange = new AtomicLong();

    private volatile String newestVersion = "";
    private volatile boolean stopped;

    HangLoad(int port, Map<String, Integer> deadlines) {
        this.port = port;
        this.deadlines = new ConcurrentHashMap<>(deadlines);
    }

    /** Adds a version that the scheduler may use from now on. */
    void addVersion(String version, int deadlineMs) {
        deadlines.put(version, deadlineMs);
        newestVersion = version;
    }

    void stop() {
        stopped = true;
    }

    /** Sends one request after the other until stopped. */
    void run(int clientNumber) {
        for (int i = 0; !stopped; i++) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(10_000);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                long sentNs = System.nanoTime();
                socket.getOutputStream()
                        .write(("POST /hang HTTP/1.1\r\nHost: l\r\nReq-Id: hang-" + clientNumber
                                        + "-" + i
                                        + "-" + sentNs
                                        + "\r\nContent-Length: 4\r\n\r\nhang")
                                .getBytes(StandardCharsets.US_ASCII));
                String response = LiveLoad.readResponse(in);
                check(response, (System.nanoTime() - sentNs) / 1e6);
            } catch (IOException e) {
                // The measurement kills schedulers on purpose; other loads count the requests lost by that.
                pause();
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void check(String response, double elapsedMs) {
        int start = response.indexOf("classes=");
        if (!response.startsWith("HTTP/1.1 500 ") || start < 0) {
            return;
        }
        int end = start + 8;
        while (end < response.length() && response.charAt(end) > ' ') {
            end++;
        }
        String version = response.substring(start + 8, end);
        Integer deadline = deadlines.get(version);
        checked.incrementAndGet();
        openAcrossChange.addAndGet(version.equals(newestVersion) ? 0 : 1);
        if (deadline == null || elapsedMs < deadline - MAX_EARLY_MS || elapsedMs > deadline + MAX_LATE_MS) {
            mixed.incrementAndGet();
            System.out.println("a response under classes " + version + " (deadline " + deadline + " ms) took "
                    + elapsedMs + " ms");
        }
    }
}
