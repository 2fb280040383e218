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
 * Clients of one scheduler, open loop at an even rate, who note when they asked, what they were answered and
 * under which policy. Jobs have names of their own, so that runs can be counted; every second one must not
 * run twice. One that finds its scheduler gone asks again with the next job.
 */
public final class PolicyLoad {
    private static final int TIMEOUT_MS = 10_000;
    private static final long AIM_NS = 200_000_000;
    private static final String MARK = "Config-Version: policy=";

    /** One answer: status 0 where the connection broke, -1 where none came in time. */
    record Response(long sentNs, long receivedNs, int status, long policy) {}

    private final String scheduler;
    private final int port;
    private final int connections;
    private final int perSecond;
    final ConcurrentLinkedQueue<Response> responses = new ConcurrentLinkedQueue<>();
    final AtomicLong lost = new AtomicLong();
    private final Thread[] threads;
    private volatile boolean over;

    PolicyLoad(String scheduler, int port, int connections, int perSecond) {
        this.scheduler = scheduler;
        this.port = port;
        this.connections = connections;
        this.perSecond = perSecond;
        threads = new Thread[connections];
    }

    void start() {
        long from = System.nanoTime();
        for (int i = 0; i < connections; i++) {
            int first = i;
            threads[i] = new Thread(null, () -> ask(first, from), "client", 256 * 1024);
            threads[i].setDaemon(true);
            threads[i].start();
        }
    }

    void stop() throws InterruptedException {
        over = true;
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void ask(int first, long from) {
        Socket socket = null;
        InputStream in = null;
        for (long i = first; !over; i += connections) {
            long at = from + i * 1_000_000_000L / perSecond;
            try {
                long wait = at - System.nanoTime();
                if (wait > 0) {
                    Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
                } else if (wait < -AIM_NS) {
                    // It stood still: what would have been asked meanwhile is not asked in one go.
                    continue;
                }
                if (socket == null) {
                    socket = new Socket(InetAddress.getLoopbackAddress(), port);
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(TIMEOUT_MS);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                String name = scheduler + "-" + i + "-" + from;
                long sent = System.nanoTime();
                socket.getOutputStream()
                        .write(("POST /" + (i % 2 == 0 ? "check" : "capture")
                                        + " HTTP/1.1\r\nHost: l\r\nReq-Id: " + name + "\r\nContent-Length: "
                                        + name.length()
                                        + "\r\n\r\n" + name)
                                .getBytes(StandardCharsets.US_ASCII));
                String answer = LiveLoad.readResponse(in);
                note(sent, answer);
                if (answer.contains("Connection: close")) {
                    socket.close();
                    socket = null;
                }
            } catch (SocketTimeoutException e) {
                lost.incrementAndGet();
                socket = close(socket);
            } catch (IOException e) {
                // Killed with it, or not there: asked of another in service, of nobody here.
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

    private void note(long sent, String answer) {
        int at = answer.indexOf(MARK);
        int lineEnd = at < 0 ? 0 : answer.indexOf('\r', at);
        int status = answer.length() < 12 ? 0 : Integer.parseInt(answer.substring(9, 12));
        responses.add(new Response(
                sent,
                System.nanoTime(),
                status,
                at < 0
                        ? -1
                        : Long.parseLong(
                                answer.substring(at + MARK.length(), lineEnd).strip())));
    }

    /** The mean of these loads' shares; those that asked nothing then do not count. */
    static double served(PolicyLoad[] loads, long fromNs, long toNs) {
        return Arrays.stream(loads)
                .mapToDouble(load -> load.served(fromNs, toNs))
                .filter(one -> !Double.isNaN(one))
                .average()
                .orElse(0);
    }

    /** The share of those asked between two instants that were served in time; NaN where none was. */
    double served(long fromNs, long toNs) {
        long asked = 0;
        long inTime = 0;
        for (Response one : responses) {
            if (one.sentNs >= fromNs && one.sentNs < toNs) {
                asked++;
                inTime += one.status == 200 && one.receivedNs - one.sentNs <= AIM_NS ? 1 : 0;
            }
        }
        return asked == 0 ? Double.NaN : (double) inTime / asked;
    }
}
