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
 * All paths of datagrams between members: each member is known to the others by a port of the relay's, and
 * what comes there from another goes on to it from that one's port, so that addresses look to all as they are
 * told. Each ordered pair is a path with faults of its own: cut, loss, doubles, delay that lets datagrams
 * overtake each other.
 */
public final class DatagramRelay implements AutoCloseable {
    private static final int MOST = 2048;

    /** One direction between two members. */
    static final class Path extends Faults {
        /** The last datagram that came. */
        volatile byte[] last;
    }

    private record Due(long at, long order, int from, int to, byte[] bytes) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final DatagramSocket[] doors;
    private final InetSocketAddress[] members;
    private final Path[][] paths;
    private final SplittableRandom random;
    private final PriorityQueue<Due> waiting = new PriorityQueue<>();
    private long order;
    private volatile boolean closed;

    /** @param ports of the members, on the loopback interface */
    DatagramRelay(int[] ports, long seed) throws IOException {
        int n = ports.length;
        doors = new DatagramSocket[n];
        members = new InetSocketAddress[n];
        paths = new Path[n][n];
        random = new SplittableRandom(seed);
        for (int i = 0; i < n; i++) {
            doors[i] = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            members[i] = new InetSocketAddress(InetAddress.getLoopbackAddress(), ports[i]);
            for (int k = 0; k < n; k++) {
                paths[i][k] = new Path();
            }
        }
        for (int i = 0; i < n; i++) {
            int door = i;
            start(() -> receive(door));
        }
        start(this::deliver);
    }

    private static void start(Runnable work) {
        Thread thread = new Thread(work, "datagram-relay");
        thread.setDaemon(true);
        thread.start();
    }

    /** By which others know that member. */
    int port(int member) {
        return doors[member].getLocalPort();
    }

    Path path(int from, int to) {
        return paths[from][to];
    }

    /** Puts a datagram in, as if that member had sent it. */
    void inject(int from, int to, byte[] bytes) {
        add(from, to, bytes, 0);
    }

    private void receive(int door) {
        byte[] bytes = new byte[MOST];
        DatagramPacket packet = new DatagramPacket(bytes, MOST);
        while (!closed) {
            try {
                packet.setLength(MOST);
                doors[door].receive(packet);
            } catch (IOException e) {
                if (closed || doors[door].isClosed()) {
                    return;
                }
                continue;
            }
            int from = member(packet.getPort());
            if (from < 0) {
                continue;
            }
            Path path = paths[from][door];
            byte[] copy = new byte[packet.getLength()];
            System.arraycopy(bytes, 0, copy, 0, copy.length);
            path.last = copy;
            boolean lost;
            int copies;
            long delay;
            synchronized (waiting) {
                lost = path.cut || random.nextDouble() < path.lost;
                copies = random.nextDouble() < path.doubled ? 2 : 1;
                delay = path.takes(random);
            }
            for (int i = 0; i < (lost ? 0 : copies); i++) {
                add(from, door, copy, delay * (1 + i));
            }
        }
    }

    private int member(int port) {
        for (int i = 0; i < members.length; i++) {
            if (members[i].getPort() == port) {
                return i;
            }
        }
        return -1;
    }

    private void add(int from, int to, byte[] bytes, long delayMs) {
        if (delayMs == 0) {
            send(from, to, bytes);
            return;
        }
        synchronized (waiting) {
            waiting.add(new Due(System.nanoTime() + delayMs * 1_000_000, order++, from, to, bytes));
            waiting.notifyAll();
        }
    }

    private void send(int from, int to, byte[] bytes) {
        try {
            doors[from].send(new DatagramPacket(bytes, bytes.length, members[to]));
        } catch (SocketException e) {
            closed |= doors[from].isClosed();
        } catch (IOException e) {
            // Nobody is there: as with any datagram.
            Thread.onSpinWait();
        }
    }

    private void deliver() {
        while (!closed) {
            Due due = null;
            synchronized (waiting) {
                try {
                    Due first = waiting.peek();
                    long left = first == null ? 0 : first.at - System.nanoTime();
                    if (first == null) {
                        waiting.wait();
                    } else if (left > 0) {
                        waiting.wait(left / 1_000_000, (int) (left % 1_000_000));
                    } else {
                        due = waiting.poll();
                    }
                } catch (InterruptedException e) {
                    return;
                }
            }
            if (due != null) {
                send(due.from, due.to, due.bytes);
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        for (DatagramSocket door : doors) {
            door.close();
        }
        synchronized (waiting) {
            waiting.notifyAll();
        }
    }
}
