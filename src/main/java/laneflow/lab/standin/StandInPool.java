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
 * Stand-in endpoints with slots and a bounded FIFO queue, independent of gossip. A job's body is
 * {@code NAME MICROSECONDS}, the second being its duration. Each endpoint records on the machine's monotonic
 * clock when jobs arrived and how many slots were free since when; the measurement reads only these records.
 * An endpoint can drain, crash with all its jobs, and restart cold at the same address. On an additional port
 * it can report a false load.
 */
public final class StandInPool implements AutoCloseable {
    private static final double NANOS_PER_SECOND = 1e9;
    /** Schedulers send no job later than 500 ms after a list announced a drain; the rest covers transmission. */
    private static final long DRAIN_GRACE_NS = 1_000_000_000L;

    /**
     * The capacity of the endpoints.
     *
     * @param maxQueued the number of jobs that may wait; further ones are declined
     * @param coldShare the share of the full capacity right after a restart; it grows linearly to all of it
     *     within {@code coldSeconds}
     * @param overloadFactor a cold endpoint counts as overloaded when, within {@code overloadSeconds}, it is
     *     sent more than this multiple of its capacity at that time
     */
    public record Profile(
            int slots,
            int maxQueued,
            double coldShare,
            double coldSeconds,
            double overloadFactor,
            double overloadSeconds) {}

    /** An endpoint; the zone and the rack are indexes. */
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
        /** Unix time of the last restart; 0 before the first one, as the initial start is warm. */
        private long restartedMs;

        private long restartedNanos;
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

        /** Listens on an additional port and reports this load there, whatever the real one is. */
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

        /** Stops abruptly: closes all connections and drops all running and waiting jobs. */
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

        /** Starts again at the same address, cold. */
        public synchronized void restart() throws IOException {
            restartedMs = System.currentTimeMillis();
            restartedNanos = System.nanoTime();
            overloaded = false;
            recentCosts.clear();
            start();
        }

        /** Marks the endpoint as draining in discovery lists. */
        public synchronized void startDraining() {
            drainNanos = System.nanoTime();
        }

        /** Marks the endpoint as ready again in discovery lists. */
        public synchronized void stopDraining() {
            drainNanos = Long.MAX_VALUE;
        }

        /** The entry for this endpoint in a discovery list. */
        public synchronized String discoveryEntry() {
            return "{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + port + "\",\"site\":\"" + zones.get(zone)
                    + "\",\"block\":" + rack + ",\"health\":\""
                    + (drainNanos == Long.MAX_VALUE ? "Ready" : "Terminating") + "\",\"share\":1.0,"
                    + "\"born_ms\":" + restartedMs + "}";
        }

        /** The number of slots that were free at that time; 0 while it drains or is cold. */
        public synchronized int freeAt(long nanos) {
            Map.Entry<Long, Integer> latest = freeSlotsSince.floorEntry(nanos);
            boolean drained = nanos >= drainNanos;
            // While it warms up, a budget limits it besides its slots, so free slots need not be usable.
            boolean cold = restartedMs > 0 && nanos - restartedNanos < profile.coldSeconds * NANOS_PER_SECOND;
            return latest == null || drained || cold ? 0 : latest.getValue();
        }

        /** The number of jobs that arrived between two times, the second excluded. */
        public synchronized int receivedBetween(long from, long to) {
            return (int)
                    receivedNanos.stream().filter(ns -> ns >= from && ns < to).count();
        }

        /** Admits a job to a slot or to the queue; null if the queue is full. */
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

        /** Counts the cold endpoint as overloaded if it was sent too much in the last span; see {@link Profile}. */
        private void checkColdBudget(long now, long costMicros) {
            if (restartedMs == 0 || now - restartedNanos > profile.coldSeconds * NANOS_PER_SECOND) {
                return;
            }
            recentCosts.add(new long[] {now, costMicros});
            while (recentCosts.peek()[0] < now - profile.overloadSeconds * NANOS_PER_SECOND) {
                recentCosts.poll();
            }
            double sentSeconds = recentCosts.stream().mapToLong(one -> one[1]).sum() / 1e6;
            double warmedShare = (now - restartedNanos) / NANOS_PER_SECOND / profile.coldSeconds;
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
                // The scheduler closed the connection, or this endpoint has crashed.
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
            // The head is sent at once to acknowledge the job, even if the job has to wait for a slot.
            boolean headSent = tryWrite(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            admission.turn.await();
            try {
                if (!headSent || isClosed(socket, in)) {
                    return;
                }
                write(socket, HttpText.chunk("{\"id\":\"" + id + "\",\"state\":\"started\"}\n"));
                Thread.sleep(micros / 1000, (int) (micros % 1000) * 1000);
                // The load is reported before the slot is released, so it still counts the finished job.
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

        /** Writes the text; false if the connection is closed. The job keeps its place in the queue either way. */
        private static boolean tryWrite(Socket socket, String text) {
            try {
                write(socket, text);
                return true;
            } catch (IOException e) {
                return false;
            }
        }

        /** True if the caller has closed the connection meanwhile; the job is not started then. */
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

    /** A job admitted by an endpoint: the endpoint's incarnation, and a latch that opens when the job may run. */
    private record Admission(int incarnation, CountDownLatch turn) {}

    public final List<Endpoint> endpoints = new ArrayList<>();
    private final List<String> zones;
    private final Profile profile;
    private final AtomicInteger sentToDrained = new AtomicInteger();
    private final AtomicInteger overloadCount = new AtomicInteger();

    /** @param ports the ports of the endpoints, which are assigned to the zones and their racks in turn */
    public StandInPool(List<Integer> ports, List<String> zones, int racks, Profile profile) throws IOException {
        this.zones = List.copyOf(zones);
        this.profile = profile;
        for (int i = 0; i < ports.size(); i++) {
            Endpoint endpoint = new Endpoint("e" + i, i % zones.size(), i % (zones.size() * racks), ports.get(i));
            endpoints.add(endpoint);
            endpoint.start();
        }
    }

    /** The entries of all endpoints for a discovery list. */
    public List<String> discoveryEntries() {
        return endpoints.stream().map(Endpoint::discoveryEntry).toList();
    }

    /** The number of jobs that arrived at draining endpoints after the grace period. */
    public int sentToDrained() {
        return sentToDrained.get();
    }

    /** The number of times that a cold endpoint was overloaded, at most one for each restart. */
    public int coldOverloads() {
        return overloadCount.get();
    }

    /** The queue position of each job since that time, 0 for one that found a free slot; in no order. */
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
