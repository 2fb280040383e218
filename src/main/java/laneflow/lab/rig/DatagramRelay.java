package laneflow.lab.rig;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Forwards the gossip datagrams between members. The relay has one socket for each member, whose address the
 * member advertises. A datagram that arrives at the receiver's socket is forwarded to the receiver from the
 * sender's socket, so that every member sees the advertised address as the source. Each ordered pair of
 * members is a path with its own faults: cut, loss, duplication, and delay that can reorder datagrams.
 */
public final class DatagramRelay implements AutoCloseable {
    private static final int MAX_DATAGRAM_BYTES = 2048;

    /** The path from one member to another. */
    static final class DirectedPath extends Faults {
        /** The last datagram received on this path, dropped ones included. */
        volatile byte[] lastDatagram;
    }

    private record DelayedDatagram(long dueNanos, long sequence, int from, int to, byte[] bytes)
            implements Comparable<DelayedDatagram> {
        @Override
        public int compareTo(DelayedDatagram other) {
            return dueNanos != other.dueNanos
                    ? Long.compare(dueNanos, other.dueNanos)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final DatagramSocket[] sockets;
    private final InetSocketAddress[] memberAddresses;
    private final DirectedPath[][] paths;
    private final SplittableRandom random;
    private final PriorityQueue<DelayedDatagram> delayed = new PriorityQueue<>();
    private long nextSequence;
    private volatile boolean closed;

    /** @param ports the ports on the loopback interface that the members listen on */
    DatagramRelay(int[] ports, long seed) throws IOException {
        int memberCount = ports.length;
        sockets = new DatagramSocket[memberCount];
        memberAddresses = new InetSocketAddress[memberCount];
        paths = new DirectedPath[memberCount][memberCount];
        random = new SplittableRandom(seed);
        for (int i = 0; i < memberCount; i++) {
            sockets[i] = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            memberAddresses[i] = new InetSocketAddress(InetAddress.getLoopbackAddress(), ports[i]);
            for (int k = 0; k < memberCount; k++) {
                paths[i][k] = new DirectedPath();
            }
        }
        for (int i = 0; i < memberCount; i++) {
            int member = i;
            startThread(() -> receive(member));
        }
        startThread(this::deliverDelayed);
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(work, "datagram-relay");
        thread.setDaemon(true);
        thread.start();
    }

    /** The relay's port for a member, which the member advertises. */
    int port(int member) {
        return sockets[member].getLocalPort();
    }

    DirectedPath path(int from, int to) {
        return paths[from][to];
    }

    /** Sends a datagram to one member as if it came from the other; bypasses the faults. */
    void inject(int from, int to, byte[] bytes) {
        schedule(from, to, bytes, 0);
    }

    private void receive(int to) {
        byte[] bytes = new byte[MAX_DATAGRAM_BYTES];
        DatagramPacket packet = new DatagramPacket(bytes, MAX_DATAGRAM_BYTES);
        while (!closed) {
            try {
                packet.setLength(MAX_DATAGRAM_BYTES);
                sockets[to].receive(packet);
            } catch (IOException e) {
                if (closed || sockets[to].isClosed()) {
                    return;
                }
                continue;
            }
            int from = memberByPort(packet.getPort());
            if (from < 0) {
                continue;
            }
            DirectedPath path = paths[from][to];
            byte[] copy = new byte[packet.getLength()];
            System.arraycopy(bytes, 0, copy, 0, copy.length);
            path.lastDatagram = copy;
            boolean isLost;
            int copies;
            long delay;
            synchronized (delayed) {
                isLost = path.isCut || random.nextDouble() < path.lossShare;
                copies = random.nextDouble() < path.duplicateShare ? 2 : 1;
                delay = path.nextDelayMs(random);
            }
            for (int i = 0; i < (isLost ? 0 : copies); i++) {
                schedule(from, to, copy, delay * (1 + i));
            }
        }
    }

    private int memberByPort(int port) {
        for (int i = 0; i < memberAddresses.length; i++) {
            if (memberAddresses[i].getPort() == port) {
                return i;
            }
        }
        return -1;
    }

    private void schedule(int from, int to, byte[] bytes, long delayMs) {
        if (delayMs == 0) {
            send(from, to, bytes);
            return;
        }
        synchronized (delayed) {
            delayed.add(new DelayedDatagram(System.nanoTime() + delayMs * 1_000_000, nextSequence++, from, to, bytes));
            delayed.notifyAll();
        }
    }

    private void send(int from, int to, byte[] bytes) {
        try {
            sockets[from].send(new DatagramPacket(bytes, bytes.length, memberAddresses[to]));
        } catch (SocketException e) {
            closed |= sockets[from].isClosed();
        } catch (IOException e) {
            // The receiver is not listening; the datagram is lost, as on any network.
            Thread.onSpinWait();
        }
    }

    private void deliverDelayed() {
        while (!closed) {
            DelayedDatagram datagram = null;
            synchronized (delayed) {
                try {
                    DelayedDatagram first = delayed.peek();
                    long remainingNanos = first == null ? 0 : first.dueNanos - System.nanoTime();
                    if (first == null) {
                        delayed.wait();
                    } else if (remainingNanos > 0) {
                        delayed.wait(remainingNanos / 1_000_000, (int) (remainingNanos % 1_000_000));
                    } else {
                        datagram = delayed.poll();
                    }
                } catch (InterruptedException e) {
                    return;
                }
            }
            if (datagram != null) {
                send(datagram.from, datagram.to, datagram.bytes);
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        for (DatagramSocket socket : sockets) {
            socket.close();
        }
        synchronized (delayed) {
            delayed.notifyAll();
        }
    }
}
