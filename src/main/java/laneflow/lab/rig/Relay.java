package laneflow.lab.rig;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A path between two processes with faults put into it: it accepts on a port of its own, connects to the
 * other process, and passes on what comes, each way by itself. Streams of lines are passed line by line (each
 * is a chunk), so that single messages can be lost, doubled, delayed and made to overtake each other, which
 * TCP by itself never does; what rests on messages must stand all of it.
 */
public final class Relay implements AutoCloseable {
    private static final int STACK = 128 * 1024;

    /** A line under way. */
    private record Due(long at, long order, byte[] bytes) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** From the process that connects to the one that listens, and back. */
    final Faults there = new Faults();

    final Faults back = new Faults();
    private final int target;
    private final SplittableRandom random;
    private final ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    /** A path to a port of the loopback interface. */
    Relay(int target, long seed) throws IOException {
        this.target = target;
        random = new SplittableRandom(seed);
        server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(null, work, "relay", STACK);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket from = server.accept();
                open.add(from);
                daemon(() -> join(from));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void join(Socket from) {
        try {
            from.setTcpNoDelay(true);
            Socket to = new Socket(InetAddress.getLoopbackAddress(), target);
            to.setTcpNoDelay(true);
            open.add(to);
            daemon(() -> pass(from, to, there));
            pass(to, from, back);
        } catch (IOException e) {
            end(from);
        }
    }

    private void end(Socket socket) {
        open.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed all the same.
            return;
        }
    }

    /** Breaks all connections as a machine does that is reset, with whatever is under way. */
    void reset() {
        for (Socket socket : open) {
            try {
                socket.setSoLinger(true, 0);
            } catch (IOException e) {
                continue;
            } finally {
                end(socket);
            }
        }
    }

    private void pass(Socket from, Socket to, Faults way) {
        Line line = new Line(to, way);
        daemon(line::write);
        try {
            InputStream in = new BufferedInputStream(from.getInputStream());
            line.add(head(in), true);
            for (byte[] chunk = chunk(in); chunk != null; chunk = chunk(in)) {
                line.add(chunk, false);
            }
        } catch (IOException e) {
            // Closed by one of the ends, or by a reset.
            line.close();
        }
        line.close();
        end(from);
        end(to);
    }

    /** All up to the empty line; cut off where the stream ends. */
    private static byte[] head(InputStream in) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        int last = 0;
        for (int next = in.read(); next >= 0; next = in.read()) {
            all.write(next);
            last = last << 8 | next;
            if (last == 0x0d0a0d0a) {
                return all.toByteArray();
            }
        }
        throw new IOException("it ended");
    }

    /** One chunk with its size and its end, or null at the end of the stream. */
    private static byte[] chunk(InputStream in) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            all.write(next);
            next = in.read();
        }
        if (next < 0) {
            return null;
        }
        all.write('\n');
        if (all.size() > 18) {
            throw new IOException("no chunk");
        }
        int size = Integer.parseInt(all.toString(StandardCharsets.US_ASCII).strip(), 16);
        all.write(in.readNBytes(size + 2));
        return all.toByteArray();
    }

    /** What waits for its time in one direction of one connection. */
    private final class Line {
        private final PriorityQueue<Due> waiting = new PriorityQueue<>();
        private final Socket to;
        private final Faults way;
        private long order;
        private boolean closed;

        private Line(Socket to, Faults way) {
            this.to = to;
            this.way = way;
        }

        synchronized void add(byte[] bytes, boolean head) {
            boolean lost;
            boolean twice;
            long delay;
            synchronized (random) {
                lost = way.cut || !head && random.nextDouble() < way.lost;
                twice = !head && random.nextDouble() < way.doubled;
                delay = head ? way.delayMs : way.takes(random);
            }
            for (int i = 0; i < (lost ? 0 : twice ? 2 : 1); i++) {
                waiting.add(new Due(System.nanoTime() + (1 + i) * delay * 1_000_000, order++, bytes));
            }
            notifyAll();
        }

        synchronized void close() {
            closed = true;
            notifyAll();
        }

        /** The next line, when it is due; null once there will be none. */
        private synchronized byte[] next() throws InterruptedException {
            while (!closed) {
                Due first = waiting.peek();
                long left = first == null ? 0 : first.at - System.nanoTime();
                if (first != null && left <= 0) {
                    return waiting.poll().bytes;
                }
                if (first == null) {
                    wait();
                } else {
                    wait(left / 1_000_000, (int) (left % 1_000_000));
                }
            }
            return null;
        }

        void write() {
            try {
                OutputStream out = to.getOutputStream();
                for (byte[] bytes = next(); bytes != null; bytes = next()) {
                    out.write(bytes);
                }
            } catch (IOException | InterruptedException e) {
                end(to);
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        reset();
    }
}
