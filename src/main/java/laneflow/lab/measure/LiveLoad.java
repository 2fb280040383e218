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
 * Live requests of a class at an even rate, open loop: each has its instant, and its time is counted from
 * there whether a connection was free or not (no coordinated omission). Service is the share answered 200
 * within the aim.
 */
public final class LiveLoad {
    private final int port;
    private final String jobClass;
    private final int connections;
    private final int perSecond;
    private final long aimNanos;
    private final AtomicLong asked = new AtomicLong();
    private final AtomicLong inTime = new AtomicLong();
    private final AtomicLong timedOut = new AtomicLong();

    LiveLoad(int port, String jobClass, int connections, int perSecond, long aimMs) {
        this.port = port;
        this.jobClass = jobClass;
        this.connections = connections;
        this.perSecond = perSecond;
        aimNanos = aimMs * 1_000_000;
    }

    /** Asks for so long and returns the share served in time. */
    double run(double seconds) throws InterruptedException {
        long from = System.nanoTime() + 50_000_000;
        long count = (long) (seconds * perSecond);
        Thread[] threads = new Thread[connections];
        for (int i = 0; i < connections; i++) {
            int first = i;
            threads[i] = new Thread(() -> ask(first, from, count));
            threads[i].start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return asked.get() == 0 ? 0 : (double) inTime.get() / asked.get();
    }

    /** Requests that were taken and had no answer in ten seconds. */
    long timedOut() {
        return timedOut.get();
    }

    private void ask(int first, long from, long count) {
        Socket socket = null;
        InputStream in = null;
        for (long i = first; i < count; i += connections) {
            long at = from + i * 1_000_000_000L / perSecond;
            try {
                long wait = at - System.nanoTime();
                if (wait > 0) {
                    Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
                }
                asked.incrementAndGet();
                if (socket == null) {
                    socket = new Socket(InetAddress.getLoopbackAddress(), port);
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(10_000);
                    in = new BufferedInputStream(socket.getInputStream());
                }
                String body = "live" + i;
                socket.getOutputStream()
                        .write(("POST /" + jobClass + " HTTP/1.1\r\nHost: l\r\nReq-Id: "
                                        + first + "-"
                                        + i + "-" + from + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                                .getBytes(StandardCharsets.US_ASCII));
                boolean served = readResponse(in).startsWith("HTTP/1.1 200 ");
                if (served && System.nanoTime() - at <= aimNanos) {
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
            // Nothing is owed on it any more.
            return;
        }
    }

    /** Reads one answer, whole, and returns its head and body. */
    public static String readResponse(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        int body = -1;
        for (int next = in.read(); next >= 0; next = in.read()) {
            text.append((char) next);
            if (body < 0 && next == '\n' && text.length() > 3 && text.indexOf("\r\n\r\n", text.length() - 4) >= 0) {
                int at = text.indexOf("Content-Length: ");
                body = Integer.parseInt(text.substring(at + 16, text.indexOf("\r", at)));
            } else if (body > 0) {
                body--;
            }
            if (body == 0) {
                return text.toString();
            }
        }
        throw new IOException("ended after " + text);
    }
}
