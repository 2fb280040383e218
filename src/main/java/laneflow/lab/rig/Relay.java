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
 * A TCP proxy that injects faults between two processes: it accepts connections on a port of its own, connects
 * to the target, and forwards the HTTP head and then chunk by chunk in each direction. A chunk holds one line,
 * that is one message. Single messages can be lost, duplicated, delayed and reordered, which TCP by itself
 * never does; protocols built on messages must tolerate all of it.
 */
public final class Relay implements AutoCloseable {
    private static final int STACK_BYTES = 128 * 1024;

    /** A chunk to be written at a later time. */
    private record DelayedChunk(long dueNanos, long sequence, byte[] bytes) implements Comparable<DelayedChunk> {
        @Override
        public int compareTo(DelayedChunk other) {
            return dueNanos != other.dueNanos
                    ? Long.compare(dueNanos, other.dueNanos)
                    : Long.compare(sequence, other.sequence);
        }
    }

    /** Faults from the connecting process to the target. */
    final Faults forward = new Faults();

    /** Faults from the target to the connecting process. */
    final Faults backward = new Faults();

    private final int target;
    private final SplittableRandom random;
    private final ServerSocket server;
    private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

    /** @param target the port on the loopback interface to connect to */
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
            // The socket counts as closed all the same.
            return;
        }
    }

    /** Resets all connections (RST), as a host that restarts does; data in flight is lost. */
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
            // Closed by one of the two processes, or by reset().
            writer.close();
        }
        writer.close();
        closeSocket(from);
        closeSocket(to);
    }

    /** Reads an HTTP head including its empty line. */
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
        throw new IOException("the stream ended within the head");
    }

    /** Reads one chunk with its size line and trailing CRLF; null at the end of the stream. */
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
            throw new IOException("the size line of a chunk is too long");
        }
        int size = Integer.parseInt(chunk.toString(StandardCharsets.US_ASCII).strip(), 16);
        chunk.write(in.readNBytes(size + 2));
        return chunk.toByteArray();
    }

    /** Applies the faults to one direction of a connection and writes each chunk when it is due. */
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

        /** Waits until the next chunk is due and removes it; null once the writer is closed. */
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
