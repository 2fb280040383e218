package laneflow.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import laneflow.lab.rig.Crew;
import laneflow.lab.rig.Rig;
import laneflow.lab.standin.StandInDiscovery;
import laneflow.lab.standin.StandInPool;
import laneflow.lab.standin.StandInPool.Node;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Capacity gossip among scheduler processes while endpoints, schedulers, the network or discovery fail, or a
 * source sends false reports.
 */
@Timeout(300)
class CapacityFaultsStoryTest {
    private static final int SLOTS = 4;
    private static final StandInPool.Sort NODE_SORT = new StandInPool.Sort(SLOTS, 8, 0.2, 5, 2, 2);
    private static final int SHORT_MICROS = 5_000;
    private static final int LONG_MICROS = 300_000;
    private static final int ENDLESS_MICROS = 100_000_000;

    @TempDir
    private Path folder;

    private final AtomicInteger requests = new AtomicInteger();
    private final ExecutorService clients = Executors.newCachedThreadPool();
    private StandInPool pool;
    private StandInDiscovery discovery;
    private Rig rig;

    @AfterEach
    void tearDown() throws Exception {
        clients.shutdownNow();
        rig.close();
        discovery.close();
        pool.close();
    }

    /** Prepares endpoints in two racks, alternately, and schedulers of one zone that list them by discovery. */
    private void setUpFleet(int schedulers, int endpoints) throws Exception {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            ports.add(Crew.port());
        }
        pool = new StandInPool(ports, List.of("z"), 2, NODE_SORT);
        discovery = new StandInDiscovery(Crew.port());
        discovery.tell(pool.listed());
        rig = new Rig(folder, schedulers, 1, 5, "");
        for (int i = 0; i < schedulers; i++) {
            rig.file(i, config("discovery = \"" + discovery.address() + "\"\n"));
            rig.platform(i, "{\"settings\":{\"slotNo\":" + i + ",\"siblings\":" + schedulers + "}}");
        }
        rig.members(5, 100, 0, 1);
    }

    private static String config(String endpointSource) {
        return "zones = [\"z\"]\n" + endpointSource + "[classes.check]\naim_ms = 1000\ndeadline_ms = 120000\n"
                + "repeat = \"safe\"\n[rules]\ncold_share = 0.2\ncold_ms = 5000\nfall_multiple = 2\nfall_ms = 2000\n"
                + "[capacity]\nround_ms = 50\n";
    }

    private void startFleet() throws Exception {
        rig.startAll();
        rig.awaitSettled(rig.size(), rig.all());
        for (int i : rig.all()) {
            rig.await(Rig.name(i) + " serves", () -> postRequest(i, SHORT_MICROS) == 200);
        }
    }

    /** Sends a request that takes that many microseconds and returns the answer's status. */
    private int postRequest(int i, int micros) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), rig.clientPort(i))) {
            socket.setSoTimeout(20_000);
            String id = "j" + requests.getAndIncrement();
            String body = id + " " + micros;
            socket.getOutputStream()
                    .write(("POST /check HTTP/1.1\r\nHost: l\r\nConnection: close\r\nReq-Id: " + id + "\r\nReq-Cost: "
                                    + micros + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.US_ASCII));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            return Integer.parseInt(answer.split(" ", 3)[1]);
        }
    }

    /**
     * Sends requests to the targets in rotation, all at once; returns how many were answered 200 and 503.
     */
    private int[] burst(int count, int micros, int... targets) throws IOException, InterruptedException {
        List<Callable<Integer>> tasks = new ArrayList<>();
        for (int k = 0; k < count; k++) {
            int target = targets[k % targets.length];
            tasks.add(() -> postRequest(target, micros));
        }
        int[] answers = new int[2];
        for (Future<Integer> answer : clients.invokeAll(tasks)) {
            int status = status(answer);
            assertTrue(status == 200 || status == 503, "answered " + status);
            answers[status == 200 ? 0 : 1]++;
        }
        return answers;
    }

    private static int status(Future<Integer> answer) throws IOException, InterruptedException {
        try {
            return answer.get();
        } catch (ExecutionException e) {
            throw new IOException("a request was not answered", e);
        }
    }

    private JsonObject capacityStatus(int i) throws IOException, InterruptedException {
        HttpResponse<String> answer = rig.ask(i, "/capacity", null);
        if (answer.statusCode() != 200) {
            throw new IOException(answer.body());
        }
        return JsonParser.parseString(answer.body()).getAsJsonObject();
    }

    /** Returns the load that the scheduler has stored for the endpoint, without age and source; null: none. */
    private String storedLoad(int i, String endpoint) throws IOException, InterruptedException {
        JsonObject load = capacityStatus(i).getAsJsonObject("endpoints").getAsJsonObject(endpoint);
        return load == null ? null : load.get("free") + " free, " + load.get("queue") + " wait";
    }

    private boolean allStore(String endpoint, String load) throws IOException, InterruptedException {
        for (int i : rig.all()) {
            if (!load.equals(storedLoad(i, endpoint))) {
                return false;
            }
        }
        return true;
    }

    @Test
    void halvesWithOppositePicturesComeToTheNewest() throws Exception {
        setUpFleet(4, 1);
        startFleet();
        rig.partAll(List.of(0, 1));
        // One side sees the endpoint idle. It learns 3 slots and not 4, as each report counts the request that it
        // came with.
        rig.await("one side has a report of 3 free slots", () -> {
            postRequest(2, SHORT_MICROS);
            return "3 free, 0 wait".equals(storedLoad(3, "e0"));
        });
        // Later two requests of the other side occupy slots, and the report of a third one shows it.
        for (int i = 0; i < 2; i++) {
            clients.submit(() -> postRequest(0, ENDLESS_MICROS));
        }
        rig.await("the other side has a report of 2 free slots", () -> {
            postRequest(0, SHORT_MICROS);
            return "2 free, 0 wait".equals(storedLoad(1, "e0"));
        });
        assertEquals("3 free, 0 wait", storedLoad(3, "e0"), "no report crosses the partition");
        rig.heal();
        rig.await("all schedulers have the newest report", () -> {
            postRequest(0, SHORT_MICROS);
            return allStore("e0", "2 free, 0 wait");
        });
        for (int i : rig.all()) {
            assertEquals(0, rig.counter(i, "capacity.spoilt") + rig.counter(i, "members.spoilt"));
            assertTrue(rig.counter(i, "members.datagram_most") <= 256, "longest datagram");
        }
    }

    @Test
    void rackFailsWhileReportedIdleAndRestartsCold() throws Exception {
        setUpFleet(4, 6);
        startFleet();
        burst(40, SHORT_MICROS, 0);
        rig.await(
                "the last scheduler has peer reports of all endpoints",
                () -> capacityStatus(3).get("known_share").getAsDouble() == 1);
        List<Node> rack = pool.nodes.stream().filter(node -> node.rack == 0).toList();
        assertEquals(3, rack.size());
        for (Node node : rack) {
            node.die();
        }
        // The rack is still listed as ready and reported as idle: failed attempts must be retried elsewhere.
        for (int i : rig.all()) {
            for (int k = 0; k < 6; k++) {
                assertEquals(200, postRequest(i, SHORT_MICROS), Rig.name(i));
            }
        }
        // Restarted cold at the old addresses: reports from before the restart must be ignored.
        for (Node node : rack) {
            node.restart();
        }
        discovery.tell(pool.listed());
        rig.await("all schedulers have the new list", () -> {
            for (int i : rig.all()) {
                if (rig.counter(i, "discovery.lists") < 2) {
                    return false;
                }
            }
            return true;
        });
        long from = System.nanoTime();
        int[] answers = burst(60, LONG_MICROS, rig.all());
        assertTrue(answers[0] >= 20, "served " + answers[0]);
        assertTrue(pool.nodes.stream()
                        .mapToInt(node -> node.sentBetween(from, System.nanoTime()))
                        .sum()
                >= 20);
        assertEquals(0, pool.coldFallen(), "cold endpoints that were overloaded");
    }

    @Test
    void schedulersRestartDuringABurstWhileOneSendsFalseReports() throws Exception {
        setUpFleet(5, 5);
        // At the ports that only one scheduler uses, the endpoints report 64 free slots; that scheduler gossips it.
        StringBuilder endpointTables = new StringBuilder();
        for (Node node : pool.nodes) {
            int faultyPort = Crew.port();
            node.lieAt(faultyPort, 64, 0);
            endpointTables
                    .append("[endpoints.")
                    .append(node.name)
                    .append("]\ndial = \"127.0.0.1:")
                    .append(faultyPort)
                    .append("\"\n");
        }
        rig.file(1, config(endpointTables.toString()));
        startFleet();
        rig.await("the first scheduler rejects the false reports", () -> {
            burst(20, SHORT_MICROS, 0, 1);
            return rig.counter(0, "capacity.distrusted") > 0;
        });
        for (int i = 2; i < 5; i++) {
            rig.kill(i);
        }
        Future<int[]> burstAnswers = clients.submit(() -> {
            int[] sum = new int[2];
            for (int k = 0; k < 6; k++) {
                int[] answers = burst(20, LONG_MICROS, 0);
                sum[0] += answers[0];
                sum[1] += answers[1];
            }
            return sum;
        });
        for (int i = 2; i < 5; i++) {
            rig.start(i);
        }
        for (int i = 2; i < 5; i++) {
            int scheduler = i;
            rig.awaitClients(i);
            rig.await(
                    Rig.name(i) + " has reports of all endpoints",
                    () -> capacityStatus(scheduler).get("known_share").getAsDouble() == 1);
        }
        assertEquals(120, burstAnswers.get()[0] + burstAnswers.get()[1]);
        assertTrue(
                burstAnswers.get()[0] >= 60,
                "served during the burst: " + burstAnswers.get()[0]);
        int[] laterAnswers = burst(30, SHORT_MICROS, 2, 3, 4);
        assertTrue(laterAnswers[0] >= 25, "served by the restarted schedulers: " + laterAnswers[0]);
    }

    @Test
    void reportsNeverAddEndpointsWhileDiscoveryIsDown() throws Exception {
        setUpFleet(3, 4);
        // The last scheduler has an older list: one endpoint drains in it, another is missing.
        try (StandInDiscovery older = new StandInDiscovery(Crew.port())) {
            pool.nodes.get(0).drains();
            List<String> list = pool.listed();
            pool.nodes.get(0).drainsNoMore();
            older.tell(list.subList(0, 3));
            rig.file(2, config("discovery = \"" + older.address() + "\"\n"));
            startFleet();
            burst(40, SHORT_MICROS, 0);
            rig.await("the last scheduler has reports of all that it lists", () -> {
                burst(8, SHORT_MICROS, 0, 1);
                JsonObject stored = capacityStatus(2).getAsJsonObject("endpoints");
                return stored.has("e1") && stored.has("e2") && rig.counter(2, "capacity.received") > 0;
            });
            older.down();
            discovery.down();
            rig.await("the last scheduler has lost its watch", () -> rig.counter(2, "discovery.watches") > 1);
            long from = System.nanoTime();
            // More requests than two endpoints have slots, so that the other two would be used if their reports
            // were accepted.
            int[] answers = burst(24, LONG_MICROS, 2);
            assertTrue(answers[0] >= 2 * SLOTS, "requests are still served: " + answers[0]);
            long to = System.nanoTime();
            assertEquals(0, pool.nodes.get(0).sentBetween(from, to), "sent to the draining endpoint");
            assertEquals(0, pool.nodes.get(3).sentBetween(from, to), "sent to an unlisted endpoint");
            JsonObject stored = capacityStatus(2);
            assertFalse(stored.getAsJsonObject("endpoints").has("e0")
                    || stored.getAsJsonObject("endpoints").has("e3"));
            assertEquals(
                    2,
                    stored.getAsJsonObject("zones")
                            .getAsJsonObject("z")
                            .get("endpoints")
                            .getAsInt());
            older.up();
            discovery.up();
            older.tell(pool.listed());
            rig.await("all endpoints are used after the full list", () -> {
                burst(8, SHORT_MICROS, 2);
                return pool.nodes.get(3).sentBetween(to, System.nanoTime()) > 0;
            });
        }
    }
}
