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
    private static final double NANOS_PER_SECOND = 1e9;
    /** No call goes out later than 500 ms after a list has told of a drain; both are under way a while. */
    private static final long DRAIN_GRACE_NS = 1_000_000_000L;

    /**
     * What endpoints of one sort are like.
     *
     * @param queue jobs that may wait; a further one is declined
     * @param coldShare of its speed's budget right after a start, up to all after {@code coldSeconds}
     * @param fallMultiple times what it can do that it may be sent in {@code fallSeconds} before it falls
     */
    public record Profile(
            int slots,
            int maxQueued,
            double coldShare,
            double coldSeconds,
            double overloadFactor,
            double overloadSeconds) {}

    /** One endpoint. */
    public final class Endpoint {
        public final String name;
        public final int zone;
        public final int rack;
        private final int port;
        private final TreeMap<Long, Integer> freeSlotsSince = new TreeMap<>();
        private final List<Long> receivedNanos = new ArrayList<>();
        private final List<Long> queuePositions = new ArrayList<>();
        private final ArrayDeque<CountDownLatch> waiting = new ArrayDeque<>();
        private final ArrayDeque<long[]> recentCosts = new ArrayDeque<>();
        private final List<Socket> sockets = new ArrayList<>();
        private final List<ServerSocket> listeners = new ArrayList<>();
        private int busySlots;
        private int incarnation;
        private long startedMs;
        private long startedNanos;
        private long drainNanos = Long.MAX_VALUE;
        private boolean overloaded;
        private boolean running;

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
        public void listenWithFalseLoad(int listenPort, int freeSlots, int queued) throws IOException {
            listen(listenPort, "\"x0\":" + freeSlots + ",\"q\":" + queued);
        }

        private synchronized void listen(int listenPort, String falseLoad) throws IOException {
            ServerSocket server = new ServerSocket();
            server.setReuseAddress(true);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), listenPort), 512);
            listeners.add(server);
            startThread(() -> accept(server, falseLoad));
        }

        private synchronized void start() throws IOException {
            running = true;
            listen(port, null);
            freeSlotsSince.put(System.nanoTime(), profile.slots);
        }

        /** Dies with all it has in hand: nobody hears any more of it. */
        public synchronized void crash() throws IOException {
            running = false;
            incarnation++;
            freeSlotsSince.put(System.nanoTime(), 0);
            busySlots = 0;
            for (CountDownLatch turn : waiting) {
                turn.countDown();
            }
            waiting.clear();
            for (ServerSocket listener : listeners) {
                listener.close();
            }
            listeners.clear();
            for (Socket socket : sockets) {
                socket.close();
            }
            sockets.clear();
        }

        /** Comes back at its old address, cold. */
        public synchronized void restart() throws IOException {
            startedMs = System.currentTimeMillis();
            startedNanos = System.nanoTime();
            overloaded = false;
            recentCosts.clear();
            start();
        }

        /** From now on lists say that it drains. */
        public synchronized void startDraining() {
            drainNanos = System.nanoTime();
        }

        /** From now on lists have it as ready again. */
        public synchronized void stopDraining() {
            drainNanos = Long.MAX_VALUE;
        }

        /** As discovery tells of it. */
        public synchronized String discoveryEntry() {
            return "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + port + "\",\"site\":\"" + zones.get(zone)
                    + "\",\"block\":" + rack + ",\"health\":\""
                    + (drainNanos == Long.MAX_VALUE ? "Ready" : "Terminating") + "\",\"share\":1.0,"
                    + "\"born_ms\":" + startedMs + "}";
        }

        /** Slots that were free at that instant. */
        public synchronized int freeAt(long nanos) {
            Map.Entry<Long, Integer> latest = freeSlotsSince.floorEntry(nanos);
            boolean drained = nanos >= drainNanos;
            // One that is warming up has a budget besides slots: what is free there is not free for all.
            boolean cold = startedMs > 0 && nanos - startedNanos < profile.coldSeconds * NANOS_PER_SECOND;
            return latest == null || drained || cold ? 0 : latest.getValue();
        }

        /** Jobs that were sent to it between those instants. */
        public synchronized int receivedBetween(long from, long to) {
            return (int)
                    receivedNanos.stream().filter(ns -> ns >= from && ns < to).count();
        }

        /** Null where it is declined. */
        private synchronized Admission admit(long costMicros) {
            long now = System.nanoTime();
            receivedNanos.add(now);
            if (now - drainNanos > DRAIN_GRACE_NS) {
                sentToDrained.incrementAndGet();
            }
            checkColdBudget(now, costMicros);
            queuePositions.add((long) (busySlots < profile.slots ? 0 : waiting.size() + 1));
            Admission admission = new Admission(incarnation, new CountDownLatch(busySlots < profile.slots ? 0 : 1));
            if (busySlots < profile.slots) {
                addBusySlots(1);
            } else if (waiting.size() < profile.maxQueued) {
                waiting.add(admission.turn);
            } else {
                return null;
            }
            return admission;
        }

        /** It falls where in any span more work was sent than a multiple of what it can do by then. */
        private void checkColdBudget(long now, long costMicros) {
            if (startedMs == 0 || now - startedNanos > profile.coldSeconds * NANOS_PER_SECOND) {
                return;
            }
            recentCosts.add(new long[] {now, costMicros});
            while (recentCosts.peek()[0] < now - profile.overloadSeconds * NANOS_PER_SECOND) {
                recentCosts.poll();
            }
            double sentSeconds = recentCosts.stream().mapToLong(one -> one[1]).sum() / 1e6;
            double warmedShare = (now - startedNanos) / NANOS_PER_SECOND / profile.coldSeconds;
            double allowedSeconds = profile.overloadFactor
                    * (profile.coldShare + (1 - profile.coldShare) * warmedShare)
                    * profile.slots
                    * profile.overloadSeconds;
            if (sentSeconds > allowedSeconds && !overloaded) {
                overloaded = true;
                overloadCount.incrementAndGet();
            }
        }

        private void addBusySlots(int change) {
            busySlots += change;
            freeSlotsSince.put(System.nanoTime(), profile.slots - busySlots);
        }

        private synchronized void release(int admittedIn) {
            if (admittedIn != incarnation) {
                return;
            }
            CountDownLatch next = waiting.poll();
            if (next != null) {
                next.countDown();
            } else {
                addBusySlots(-1);
            }
        }

        private synchronized String load(String falseLoad) {
            return falseLoad != null ? falseLoad : "\"x0\":" + (profile.slots - busySlots) + ",\"q\":" + waiting.size();
        }

        private void accept(ServerSocket server, String falseLoad) {
            while (true) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    synchronized (this) {
                        sockets.add(socket);
                    }
                    startThread(() -> serve(socket, falseLoad));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket, String falseLoad) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (String head = HttpText.readHead(in); head != null; head = HttpText.readHead(in)) {
                    String id = HttpText.field(head, "Req-Id", "0");
                    int length = Integer.parseInt(HttpText.field(head, "Content-Length", "0"));
                    String[] job = new String(in.readNBytes(length), StandardCharsets.UTF_8).split(" ");
                    run(socket, in, id, Long.parseLong(job[1]), falseLoad);
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

        private void run(Socket socket, InputStream in, String id, long micros, String falseLoad)
                throws IOException, InterruptedException {
            Admission admission = admit(micros);
            if (admission == null) {
                write(
                        socket,
                        "HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nSrv-Load: "
                                + load(falseLoad).replace("\"", "").replace(':', '=')
                                + "\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            // Taken in: the head says so at once, whatever the job waits for.
            boolean headSent = tryWrite(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            admission.turn.await();
            try {
                if (!headSent || isClosed(socket, in)) {
                    return;
                }
                write(socket, HttpText.chunk("{\"id\":\"" + id + "\",\"state\":\"started\"}\n"));
                Thread.sleep(micros / 1000, (int) (micros % 1000) * 1000);
                // The report is made before the slot is free: it counts the job that has ended.
                write(
                        socket,
                        HttpText.chunk("{\"id\":\"" + id
                                        + "\",\"state\":\"done\",\"result\":\"ran\",\"load\":{"
                                        + load(falseLoad) + "}}\n")
                                + "0\r\n\r\n");
            } finally {
                release(admission.incarnation);
            }
        }

        /** False where nobody is there any more; its place in the queue comes up all the same. */
        private static boolean tryWrite(Socket socket, String text) {
            try {
                write(socket, text);
                return true;
            } catch (IOException e) {
                return false;
            }
        }

        /** A job whose caller has closed meanwhile is not begun. */
        private static boolean isClosed(Socket socket, InputStream in) throws IOException {
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
    private record Admission(int incarnation, CountDownLatch turn) {}

    public final List<Endpoint> endpoints = new ArrayList<>();
    private final List<String> zones;
    private final Profile profile;
    private final AtomicInteger sentToDrained = new AtomicInteger();
    private final AtomicInteger overloadCount = new AtomicInteger();

    /** @param ports of the endpoints; their zones and, within a zone, their racks go by turns */
    public StandInPool(List<Integer> ports, List<String> zones, int racks, Profile profile) throws IOException {
        this.zones = List.copyOf(zones);
        this.profile = profile;
        for (int i = 0; i < ports.size(); i++) {
            Endpoint endpoint = new Endpoint("e" + i, i % zones.size(), i % (zones.size() * racks), ports.get(i));
            endpoints.add(endpoint);
            endpoint.start();
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
        return overloadCount.get();
    }

    /** Of all jobs since that instant, behind how many each had to wait, in no order. */
    public List<Long> queuePositions(long sinceNs) {
        List<Long> positions = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            synchronized (endpoint) {
                for (int i = 0; i < endpoint.receivedNanos.size(); i++) {
                    if (endpoint.receivedNanos.get(i) >= sinceNs) {
                        positions.add(endpoint.queuePositions.get(i));
                    }
                }
            }
        }
        return positions;
    }

    private static void startThread(Runnable work) {
        Thread thread = new Thread(null, work, "endpoint", 128 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        for (Endpoint endpoint : endpoints) {
            if (endpoint.running) {
                endpoint.crash();
            }
        }
    }
}
