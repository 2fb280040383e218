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
    private static final int STACK_BYTES = 128 * 1024;

    /** A line under way. */
    private record DelayedChunk(long dueNanos, long sequence, byte[] bytes) implements Comparable<DelayedChunk> {
        @Override
        public int compareTo(DelayedChunk other) {
            return dueNanos != other.dueNanos
                    ? Long.compare(dueNanos, other.dueNanos)
                    : Long.compare(sequence, other.sequence);
        }
    }

    /** From the process that connects to the one that listens, and back. */
    final Faults forward = new Faults();

    final Faults backward = new Faults();
    private final int target;
    private final SplittableRandom random;
    private final ServerSocket server;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

    /** A path to a port of the loopback interface. */
    Relay(int target, long seed) throws IOException {
        this.target = target;
        random = new SplittableRandom(seed);
        server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
        startThread(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(null, work, "relay", STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket from = server.accept();
                openSockets.add(from);
                startThread(() -> connect(from));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket from) {
        try {
            from.setTcpNoDelay(true);
            Socket to = new Socket(InetAddress.getLoopbackAddress(), target);
            to.setTcpNoDelay(true);
            openSockets.add(to);
            startThread(() -> forwardChunks(from, to, forward));
            forwardChunks(to, from, backward);
        } catch (IOException e) {
            closeSocket(from);
        }
    }

    private void closeSocket(Socket socket) {
        openSockets.remove(socket);
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed all the same.
            return;
        }
    }

    /** Breaks all connections as a machine does that is reset, with whatever is under way. */
    void reset() {
        for (Socket socket : openSockets) {
            try {
                socket.setSoLinger(true, 0);
            } catch (IOException e) {
                continue;
            } finally {
                closeSocket(socket);
            }
        }
    }

    private void forwardChunks(Socket from, Socket to, Faults faults) {
        DelayedWriter writer = new DelayedWriter(to, faults);
        startThread(writer::writeAll);
        try {
            InputStream in = new BufferedInputStream(from.getInputStream());
            writer.add(readHead(in), true);
            for (byte[] chunk = readChunk(in); chunk != null; chunk = readChunk(in)) {
                writer.add(chunk, false);
            }
        } catch (IOException e) {
            // Closed by one of the ends, or by a reset.
            writer.close();
        }
        writer.close();
        closeSocket(from);
        closeSocket(to);
    }

    /** All up to the empty line; cut off where the stream ends. */
    private static byte[] readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int lastFourBytes = 0;
        for (int next = in.read(); next >= 0; next = in.read()) {
            head.write(next);
            lastFourBytes = lastFourBytes << 8 | next;
            if (lastFourBytes == 0x0d0a0d0a) {
                return head.toByteArray();
            }
        }
        throw new IOException("it ended");
    }

    /** One chunk with its size and its end, or null at the end of the stream. */
    private static byte[] readChunk(InputStream in) throws IOException {
        ByteArrayOutputStream chunk = new ByteArrayOutputStream();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            chunk.write(next);
            next = in.read();
        }
        if (next < 0) {
            return null;
        }
        chunk.write('\n');
        if (chunk.size() > 18) {
            throw new IOException("no chunk");
        }
        int size = Integer.parseInt(chunk.toString(StandardCharsets.US_ASCII).strip(), 16);
        chunk.write(in.readNBytes(size + 2));
        return chunk.toByteArray();
    }

    /** What waits for its time in one direction of one connection. */
    private final class DelayedWriter {
        private final PriorityQueue<DelayedChunk> delayed = new PriorityQueue<>();
        private final Socket target;
        private final Faults faults;
        private long nextSequence;
        private boolean closed;

        private DelayedWriter(Socket target, Faults faults) {
            this.target = target;
            this.faults = faults;
        }

        synchronized void add(byte[] bytes, boolean isHead) {
            boolean isLost;
            boolean isDuplicated;
            long delay;
            synchronized (random) {
                isLost = faults.isCut || !isHead && random.nextDouble() < faults.lossShare;
                isDuplicated = !isHead && random.nextDouble() < faults.duplicateShare;
                delay = isHead ? faults.delayMs : faults.nextDelayMs(random);
            }
            for (int i = 0; i < (isLost ? 0 : isDuplicated ? 2 : 1); i++) {
                delayed.add(new DelayedChunk(System.nanoTime() + (1 + i) * delay * 1_000_000, nextSequence++, bytes));
            }
            notifyAll();
        }

        synchronized void close() {
            closed = true;
            notifyAll();
        }

        /** The next line, when it is due; null once there will be none. */
        private synchronized byte[] takeDue() throws InterruptedException {
            while (!closed) {
                DelayedChunk first = delayed.peek();
                long remainingNanos = first == null ? 0 : first.dueNanos - System.nanoTime();
                if (first != null && remainingNanos <= 0) {
                    return delayed.poll().bytes;
                }
                if (first == null) {
                    wait();
                } else {
                    wait(remainingNanos / 1_000_000, (int) (remainingNanos % 1_000_000));
                }
            }
            return null;
        }

        void writeAll() {
            try {
                OutputStream out = target.getOutputStream();
                for (byte[] bytes = takeDue(); bytes != null; bytes = takeDue()) {
                    out.write(bytes);
                }
            } catch (IOException | InterruptedException e) {
                closeSocket(target);
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        reset();
    }
}
