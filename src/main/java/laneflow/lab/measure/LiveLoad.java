package laneflow.lab.measure;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Open-loop load of one job class at a constant rate. Latency counts from the scheduled time of a request,
 * even if no connection was free then (no coordinated omission). The result is the share of requests that
 * were answered with status 200 within the latency target.
 */
public final class LiveLoad {
    private final int port;
    private final String jobClass;
    private final int connections;
    private final int perSecond;
    private final long latencyTargetNs;
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong inTime = new AtomicLong();
    private final AtomicLong timedOut = new AtomicLong();

    LiveLoad(int port, String jobClass, int connections, int perSecond, long latencyTargetMs) {
        this.port = port;
        this.jobClass = jobClass;
        this.connections = connections;
        this.perSecond = perSecond;
        latencyTargetNs = latencyTargetMs * 1_000_000;
    }

    /** Sends requests for the given time and returns the share served in time. */
    double run(double seconds) throws InterruptedException {
        long startNs = System.nanoTime() + 50_000_000;
        long count = (long) (seconds * perSecond);
        Thread[] threads = new Thread[connections];
        for (int i = 0; i < connections; i++) {
            int firstIndex = i;
            threads[i] = new Thread(() -> sendRequests(firstIndex, startNs, count));
            threads[i].start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return sent.get() == 0 ? 0 : (double) inTime.get() / sent.get();
    }

    /** Number of requests that were sent and not answered within ten seconds. */
    long timedOut() {
        return timedOut.get();
    }

    private void sendRequests(int firstIndex, long startNs, long count) {
        Socket socket = null;
        InputStream in = null;
        for (long i = firstIndex; i < count; i += connections) {
            long scheduledNs = startNs + i * 1_000_000_000L / perSecond;
            try {
                long waitNs = scheduledNs - System.nanoTime();
                if (waitNs > 0) {
                    Thread.sleep(waitNs / 1_000_000, (int) (waitNs % 1_000_000));
                }
                sent.incrementAndGet();
                if (socket == null) {
                    socket = new Socket(InetAddress.getLoopbackAddress(), port);
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(10_000);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                String body = "live" + i;
                socket.getOutputStream()
                        .write(("POST /" + jobClass + " HTTP/1.1\r\nHost: l\r\nReq-Id: "
                                        + firstIndex + "-"
                                        + i + "-" + startNs + "\r\nContent-Length: " + body.length() + "\r\n\r\n"
                                        + body)
                                .getBytes(StandardCharsets.US_ASCII));
                boolean served = readResponse(in).startsWith("HTTP/1.1 200 ");
                if (served && System.nanoTime() - scheduledNs <= latencyTargetNs) {
                    inTime.incrementAndGet();
                }
            } catch (SocketTimeoutException e) {
                timedOut.incrementAndGet();
                socket = null;
            } catch (IOException e) {
                socket = null;
            } catch (InterruptedException e) {
                return;
            }
        }
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // All responses have been read; a failed close has no effect.
            return;
        }
    }

    /** Reads one complete response and returns its head and body. */
    public static String readResponse(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        int bodyLeft = -1;
        for (int nextByte = in.read(); nextByte >= 0; nextByte = in.read()) {
            text.append((char) nextByte);
            if (bodyLeft < 0
                    && nextByte == '\n'
                    && text.length() > 3
                    && text.indexOf("\r\n\r\n", text.length() - 4) >= 0) {
                int header = text.indexOf("Content-Length: ");
                bodyLeft = Integer.parseInt(text.substring(header + 16, text.indexOf("\r", header)));
            } else if (bodyLeft > 0) {
                bodyLeft--;
            }
            if (bodyLeft == 0) {
                return text.toString();
            }
        }
        throw new IOException("connection ended after " + text);
    }
}
