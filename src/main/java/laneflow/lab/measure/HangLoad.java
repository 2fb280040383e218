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
 * Requests that no endpoint ever answers: what ends them is their class's deadline, which differs from
 * version to version. Each answer names the versions that its request came under; one that came at another
 * version's deadline saw two.
 */
public final class HangLoad {
    private static final double EARLY_MS = 25;
    private static final double LATE_MS = 60;

    private final int port;
    /** Deadlines in milliseconds by the version of the classes. */
    private final Map<String, Integer> deadlines;

    final AtomicLong checked = new AtomicLong();
    final AtomicLong mixed = new AtomicLong();
    /** Of those checked, how many were open while another version was adopted. */
    final AtomicLong openAcrossChange = new AtomicLong();

    private volatile String newest = "";
    private volatile boolean over;

    HangLoad(int port, Map<String, Integer> deadlines) {
        this.port = port;
        this.deadlines = new ConcurrentHashMap<>(deadlines);
    }

    /** A version that may run from now on. */
    void addVersion(String version, int deadlineMs) {
        deadlines.put(version, deadlineMs);
        newest = version;
    }

    void stop() {
        over = true;
    }

    /** Asks one after the other until it is stopped. */
    void run(int first) {
        for (int i = 0; !over; i++) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(10_000);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                long at = System.nanoTime();
                socket.getOutputStream()
                        .write(("POST /hang HTTP/1.1\r\nHost: l\r\nReq-Id: hang-" + first
                                        + "-" + i
                                        + "-" + at
                                        + "\r\nContent-Length: 4\r\n\r\nhang")
                                .getBytes(StandardCharsets.US_ASCII));
                String answer = LiveLoad.readResponse(in);
                check(answer, (System.nanoTime() - at) / 1e6);
            } catch (IOException e) {
                // The scheduler is killed on purpose now and then; what it owed then is counted by others.
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

    private void check(String answer, double tookMs) {
        int at = answer.indexOf("classes=");
        if (!answer.startsWith("HTTP/1.1 500 ") || at < 0) {
            return;
        }
        int end = at + 8;
        while (end < answer.length() && answer.charAt(end) > ' ') {
            end++;
        }
        String version = answer.substring(at + 8, end);
        Integer deadline = deadlines.get(version);
        checked.incrementAndGet();
        openAcrossChange.addAndGet(version.equals(newest) ? 0 : 1);
        if (deadline == null || tookMs < deadline - EARLY_MS || tookMs > deadline + LATE_MS) {
            mixed.incrementAndGet();
            System.out.println(
                    "an answer under classes " + version + " (deadline " + deadline + " ms) took " + tookMs + " ms");
        }
    }
}
