package laneflow.lab.standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in endpoints with slots and a bounded queue in order, which know nothing of gossip. A job's body says
 * how long it takes, {@code NAME MICROSECONDS}. Each writes down, on the machine's one monotonic clock, what
 * it was sent and how many slots were free from when on; that is all that the measurement reads. One can
 * drain, die with all it has in hand, and come back cold at its old address; a second door of an endpoint
 * tells whoever comes there a load that is a lie.
 */
public final class StandInPool implements AutoCloseable {
    private static final double NANOS = 1e9;
    /** No call goes out later than 500 ms after a list has told of a drain; both are under way a while. */
    private static final long GRACE_NS = 1_000_000_000L;

    /**
     * What endpoints of one sort are like.
     *
     * @param queue jobs that may wait; a further one is declined
     * @param coldShare of its speed's budget right after a start, up to all after {@code coldSeconds}
     * @param fallMultiple times what it can do that it may be sent in {@code fallSeconds} before it falls
     */
    public record Profile(
            int slots, int queue, double coldShare, double coldSeconds, double fallMultiple, double fallSeconds) {}

    /** One endpoint. */
    public final class Endpoint {
        public final String name;
        public final int zone;
        public final int rack;
        private final int port;
        private final TreeMap<Long, Integer> freeFrom = new TreeMap<>();
        private final List<Long> sentAt = new ArrayList<>();
        private final List<Long> waitedBehind = new ArrayList<>();
        private final ArrayDeque<CountDownLatch> waiting = new ArrayDeque<>();
        private final ArrayDeque<long[]> sentOfLate = new ArrayDeque<>();
        private final List<Socket> sockets = new ArrayList<>();
        private final List<ServerSocket> doors = new ArrayList<>();
        private int busy;
        private int life;
        private long bornMs;
        private long bornNs;
        private long drainToldNs = Long.MAX_VALUE;
        private boolean fell;
        private boolean up;

        private Endpoint(String name, int zone, int rack, int port) {
            this.name = name;
            this.zone = zone;
            this.rack = rack;
            this.port = port;
        }

        public int port() {
            return port;
        }

        /** Whoever dials that port is told so many free slots and waiting jobs, whatever there are. */
        public void listenWithFalseLoad(int door, int free, int queue) throws IOException {
            open(door, "\"x0\":" + free + ",\"q\":" + queue);
        }

        private synchronized void open(int at, String lie) throws IOException {
            ServerSocket server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), at), 512);
            doors.add(server);
            daemon(() -> accept(server, lie));
        }

        private synchronized void begin() throws IOException {
            up = true;
            open(port, null);
            freeFrom.put(System.nanoTime(), sort.slots);
        }

        /** Dies with all it has in hand: nobody hears any more of it. */
        public synchronized void crash() throws IOException {
            up = false;
            life++;
            freeFrom.put(System.nanoTime(), 0);
            busy = 0;
            for (CountDownLatch one : waiting) {
                one.countDown();
            }
            waiting.clear();
            for (ServerSocket door : doors) {
                door.close();
            }
            doors.clear();
            for (Socket socket : sockets) {
                socket.close();
            }
            sockets.clear();
        }

        /** Comes back at its old address, cold. */
        public synchronized void restart() throws IOException {
            bornMs = System.currentTimeMillis();
            bornNs = System.nanoTime();
            fell = false;
            sentOfLate.clear();
            begin();
        }

        /** From now on lists say that it drains. */
        public synchronized void startDraining() {
            drainToldNs = System.nanoTime();
        }

        /** From now on lists have it as ready again. */
        public synchronized void stopDraining() {
            drainToldNs = Long.MAX_VALUE;
        }

        /** As discovery tells of it. */
        public synchronized String discoveryEntry() {
            return "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + port + "\",\"site\":\"" + zones.get(zone)
                    + "\",\"block\":" + rack + ",\"health\":\""
                    + (drainToldNs == Long.MAX_VALUE ? "Ready" : "Terminating") + "\",\"share\":1.0,"
                    + "\"born_ms\":" + bornMs + "}";
        }

        /** Slots that were free at that instant. */
        public synchronized int freeAt(long ns) {
            Map.Entry<Long, Integer> last = freeFrom.floorEntry(ns);
            boolean drained = ns >= drainToldNs;
            // One that is warming up has a budget besides slots: what is free there is not free for all.
            boolean cold = bornMs > 0 && ns - bornNs < sort.coldSeconds * NANOS;
            return last == null || drained || cold ? 0 : last.getValue();
        }

        /** Jobs that were sent to it between those instants. */
        public synchronized int sentBetween(long from, long to) {
            return (int) sentAt.stream().filter(ns -> ns >= from && ns < to).count();
        }

        /** Null where it is declined. */
        private synchronized Place enter(long cost) {
            long now = System.nanoTime();
            sentAt.add(now);
            if (now - drainToldNs > GRACE_NS) {
                sentToDrained.incrementAndGet();
            }
            budget(now, cost);
            waitedBehind.add((long) (busy < sort.slots ? 0 : waiting.size() + 1));
            Place place = new Place(life, new CountDownLatch(busy < sort.slots ? 0 : 1));
            if (busy < sort.slots) {
                taken(1);
            } else if (waiting.size() < sort.queue) {
                waiting.add(place.turn);
            } else {
                return null;
            }
            return place;
        }

        /** It falls where in any span more work was sent than a multiple of what it can do by then. */
        private void budget(long now, long cost) {
            if (bornMs == 0 || now - bornNs > sort.coldSeconds * NANOS) {
                return;
            }
            sentOfLate.add(new long[] {now, cost});
            while (sentOfLate.peek()[0] < now - sort.fallSeconds * NANOS) {
                sentOfLate.poll();
            }
            double sent = sentOfLate.stream().mapToLong(one -> one[1]).sum() / 1e6;
            double age = (now - bornNs) / NANOS / sort.coldSeconds;
            double may =
                    sort.fallMultiple * (sort.coldShare + (1 - sort.coldShare) * age) * sort.slots * sort.fallSeconds;
            if (sent > may && !fell) {
                fell = true;
                fallen.incrementAndGet();
            }
        }

        private void taken(int more) {
            busy += more;
            freeFrom.put(System.nanoTime(), sort.slots - busy);
        }

        private synchronized void leave(int of) {
            if (of != life) {
                return;
            }
            CountDownLatch next = waiting.poll();
            if (next != null) {
                next.countDown();
            } else {
                taken(-1);
            }
        }

        private synchronized String load(String lie) {
            return lie != null ? lie : "\"x0\":" + (sort.slots - busy) + ",\"q\":" + waiting.size();
        }

        private void accept(ServerSocket server, String lie) {
            while (true) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    synchronized (this) {
                        sockets.add(socket);
                    }
                    daemon(() -> serve(socket, lie));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket, String lie) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (String head = HttpText.head(in); head != null; head = HttpText.head(in)) {
                    String id = HttpText.field(head, "Req-Id", "0");
                    int length = Integer.parseInt(HttpText.field(head, "Content-Length", "0"));
                    String[] job = new String(in.readNBytes(length), StandardCharsets.UTF_8).split(" ");
                    run(socket, in, id, Long.parseLong(job[1]), lie);
                }
            } catch (IOException | InterruptedException e) {
                // The scheduler has closed, or this endpoint is dead.
                return;
            } finally {
                synchronized (this) {
                    sockets.remove(socket);
                }
            }
        }

        private void run(Socket socket, InputStream in, String id, long micros, String lie)
                throws IOException, InterruptedException {
            Place place = enter(micros);
            if (place == null) {
                write(
                        socket,
                        "HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nSrv-Load: "
                                + load(lie).replace("\"", "").replace(':', '=')
                                + "\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            // Taken in: the head says so at once, whatever the job waits for.
            boolean told = tell(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            place.turn.await();
            try {
                if (!told || isGone(socket, in)) {
                    return;
                }
                write(socket, HttpText.chunk("{\"id\":\"" + id + "\",\"state\":\"started\"}\n"));
                Thread.sleep(micros / 1000, (int) (micros % 1000) * 1000);
                // The report is made before the slot is free: it counts the job that has ended.
                write(
                        socket,
                        HttpText.chunk("{\"id\":\"" + id
                                        + "\",\"state\":\"done\",\"result\":\"ran\",\"load\":{"
                                        + load(lie) + "}}\n")
                                + "0\r\n\r\n");
            } finally {
                leave(place.life);
            }
        }

        /** False where nobody is there any more; its place in the queue comes up all the same. */
        private static boolean tell(Socket socket, String text) {
            try {
                write(socket, text);
                return true;
            } catch (IOException e) {
                return false;
            }
        }

        /** A job whose caller has closed meanwhile is not begun. */
        private static boolean isGone(Socket socket, InputStream in) throws IOException {
            socket.setSoTimeout(1);
            try {
                return in.read() < 0;
            } catch (SocketTimeoutException e) {
                return false;
            } finally {
                socket.setSoTimeout(0);
            }
        }
    }

    /** A job's place at an endpoint, in that life of it. */
    private record Place(int life, CountDownLatch turn) {}

    public final List<Endpoint> endpoints = new ArrayList<>();
    private final List<String> zones;
    private final Profile sort;
    private final AtomicInteger sentToDrained = new AtomicInteger();
    private final AtomicInteger fallen = new AtomicInteger();

    /** @param ports of the endpoints; their zones and, within a zone, their racks go by turns */
    public StandInPool(List<Integer> ports, List<String> zones, int racks, Profile sort) throws IOException {
        this.zones = List.copyOf(zones);
        this.sort = sort;
        for (int i = 0; i < ports.size(); i++) {
            Endpoint node = new Endpoint("e" + i, i % zones.size(), i % (zones.size() * racks), ports.get(i));
            endpoints.add(node);
            node.begin();
        }
    }

    /** All of them as discovery tells of them. */
    public List<String> discoveryEntries() {
        return endpoints.stream().map(Endpoint::discoveryEntry).toList();
    }

    /** Jobs that came to endpoints that drain, beyond the grace. */
    public int sentToDrained() {
        return sentToDrained.get();
    }

    /** Cold endpoints that were sent more than they can bear. */
    public int coldOverloads() {
        return fallen.get();
    }

    /** Of all jobs since that instant, behind how many each had to wait, in no order. */
    public List<Long> queuePositions(long sinceNs) {
        List<Long> all = new ArrayList<>();
        for (Endpoint node : endpoints) {
            synchronized (node) {
                for (int i = 0; i < node.sentAt.size(); i++) {
                    if (node.sentAt.get(i) >= sinceNs) {
                        all.add(node.waitedBehind.get(i));
                    }
                }
            }
        }
        return all;
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(null, work, "endpoint", 128 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        for (Endpoint node : endpoints) {
            if (node.up) {
                node.crash();
            }
        }
    }
}
