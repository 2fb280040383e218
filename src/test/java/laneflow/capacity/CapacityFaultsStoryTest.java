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

/** News of free capacity over real processes while parts of the fleet fail, lie, or begin anew. */
@Timeout(300)
class CapacityFaultsStoryTest {
    private static final int SLOTS = 4;
    private static final StandInPool.Sort SORT = new StandInPool.Sort(SLOTS, 8, 0.2, 5, 2, 2);
    private static final int QUICK = 5_000;
    private static final int LONG = 300_000;
    private static final int UNTIL_THE_END = 100_000_000;

    @TempDir
    private Path folder;

    private final AtomicInteger jobs = new AtomicInteger();
    private final ExecutorService clients = Executors.newCachedThreadPool();
    private StandInPool pool;
    private StandInDiscovery discovery;
    private Rig rig;

    @AfterEach
    void end() throws Exception {
        clients.shutdownNow();
        rig.close();
        discovery.close();
        pool.close();
    }

    /** Endpoints in two racks, by turns, and schedulers of one zone that hear of them from discovery. */
    private void fleet(int schedulers, int endpoints) throws Exception {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            ports.add(Crew.port());
        }
        pool = new StandInPool(ports, List.of("z"), 2, SORT);
        discovery = new StandInDiscovery(Crew.port());
        discovery.tell(pool.listed());
        rig = new Rig(folder, schedulers, 1, 5, "");
        for (int i = 0; i < schedulers; i++) {
            rig.file(i, file("discovery = \"" + discovery.address() + "\"\n"));
            rig.platform(i, "{\"settings\":{\"slotNo\":" + i + ",\"siblings\":" + schedulers + "}}");
        }
        rig.members(5, 100, 0, 1);
    }

    private static String file(String where) {
        return "zones = [\"z\"]\n" + where + "[classes.check]\naim_ms = 1000\ndeadline_ms = 120000\n"
                + "repeat = \"safe\"\n[rules]\ncold_share = 0.2\ncold_ms = 5000\nfall_multiple = 2\nfall_ms = 2000\n"
                + "[capacity]\nround_ms = 50\n";
    }

    private void begin() throws Exception {
        rig.startAll();
        rig.awaitSettled(rig.size(), rig.all());
        for (int i : rig.all()) {
            rig.await(Rig.name(i) + " serves", () -> asks(i, QUICK) == 200);
        }
    }

    /** One job at that scheduler, of so many microseconds, and its answer's status. */
    private int asks(int i, int micros) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), rig.clientPort(i))) {
            socket.setSoTimeout(20_000);
            String id = "j" + jobs.getAndIncrement();
            String body = id + " " + micros;
            socket.getOutputStream()
                    .write(("POST /check HTTP/1.1\r\nHost: l\r\nConnection: close\r\nReq-Id: " + id + "\r\nReq-Cost: "
                                    + micros + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.US_ASCII));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            return Integer.parseInt(answer.split(" ", 3)[1]);
        }
    }

    /** Jobs at these schedulers by turns, all at once; how many were answered with each of 200 and 503. */
    private int[] burst(int count, int micros, int... these) throws IOException, InterruptedException {
        List<Callable<Integer>> all = new ArrayList<>();
        for (int k = 0; k < count; k++) {
            int at = these[k % these.length];
            all.add(() -> asks(at, micros));
        }
        int[] answers = new int[2];
        for (Future<Integer> one : clients.invokeAll(all)) {
            int status = status(one);
            assertTrue(status == 200 || status == 503, "answered " + status);
            answers[status == 200 ? 0 : 1]++;
        }
        return answers;
    }

    private static int status(Future<Integer> one) throws IOException, InterruptedException {
        try {
            return one.get();
        } catch (ExecutionException e) {
            throw new IOException("a job was not answered", e);
        }
    }

    private JsonObject capacity(int i) throws IOException, InterruptedException {
        HttpResponse<String> answer = rig.ask(i, "/capacity", null);
        if (answer.statusCode() != 200) {
            throw new IOException(answer.body());
        }
        return JsonParser.parseString(answer.body()).getAsJsonObject();
    }

    /** What one holds of an endpoint, but for its age and whose it is; null: nothing. */
    private String held(int i, String endpoint) throws IOException, InterruptedException {
        JsonObject one = capacity(i).getAsJsonObject("endpoints").getAsJsonObject(endpoint);
        return one == null ? null : one.get("free") + " free, " + one.get("queue") + " wait";
    }

    private boolean allHold(String endpoint, String what) throws IOException, InterruptedException {
        for (int i : rig.all()) {
            if (!what.equals(held(i, endpoint))) {
                return false;
            }
        }
        return true;
    }

    @Test
    void halvesWithOppositePicturesComeToTheNewest() throws Exception {
        fleet(4, 1);
        begin();
        rig.partAll(List.of(0, 1));
        // One half sees the endpoint idle; of slots no more are known than were seen beside a job.
        rig.await("one half holds it to be free", () -> {
            asks(2, QUICK);
            return "3 free, 0 wait".equals(held(3, "e0"));
        });
        // Later the other half fills two of its slots, and sees that by a further job.
        for (int i = 0; i < 2; i++) {
            clients.submit(() -> asks(0, UNTIL_THE_END));
        }
        rig.await("the other half holds it to be used", () -> {
            asks(0, QUICK);
            return "2 free, 0 wait".equals(held(1, "e0"));
        });
        assertEquals("3 free, 0 wait", held(3, "e0"), "nothing of that crosses the cut");
        rig.heal();
        rig.await("all hold the newest", () -> {
            asks(0, QUICK);
            return allHold("e0", "2 free, 0 wait");
        });
        for (int i : rig.all()) {
            assertEquals(0, rig.counter(i, "capacity.spoilt") + rig.counter(i, "members.spoilt"));
            assertTrue(rig.counter(i, "members.datagram_most") <= 256, "longest datagram");
        }
    }

    @Test
    void aRackThatDiesBehindNewsThatItIsIdleAndComesBackCold() throws Exception {
        fleet(4, 6);
        begin();
        burst(40, QUICK, 0);
        rig.await(
                "the last holds all to be idle by others' word",
                () -> capacity(3).get("known_share").getAsDouble() == 1);
        List<Node> rack = pool.nodes.stream().filter(node -> node.rack == 0).toList();
        assertEquals(3, rack.size());
        for (Node node : rack) {
            node.die();
        }
        // Lists have them as ready still, and news has them idle: whoever meets one goes elsewhere.
        for (int i : rig.all()) {
            for (int k = 0; k < 6; k++) {
                assertEquals(200, asks(i, QUICK), Rig.name(i));
            }
        }
        // Back at the old addresses, cold: what is told of the lives before means nothing.
        for (Node node : rack) {
            node.restart();
        }
        discovery.tell(pool.listed());
        rig.await("nobody holds anything of the new life", () -> {
            for (int i : rig.all()) {
                if (rig.counter(i, "discovery.lists") < 2) {
                    return false;
                }
            }
            return true;
        });
        long from = System.nanoTime();
        int[] answers = burst(60, LONG, rig.all());
        assertTrue(answers[0] >= 20, "served " + answers[0]);
        assertTrue(pool.nodes.stream()
                        .mapToInt(node -> node.sentBetween(from, System.nanoTime()))
                        .sum()
                >= 20);
        assertEquals(0, pool.coldFallen(), "cold endpoints that got more than they bear");
    }

    @Test
    void newcomersAmidABurstAndOneThatLies() throws Exception {
        fleet(5, 5);
        // One is told by its endpoints that each has 64 free slots, and passes that on.
        StringBuilder doors = new StringBuilder();
        for (Node node : pool.nodes) {
            int door = Crew.port();
            node.lieAt(door, 64, 0);
            doors.append("[endpoints.")
                    .append(node.name)
                    .append("]\ndial = \"127.0.0.1:")
                    .append(door)
                    .append("\"\n");
        }
        rig.file(1, file(doors.toString()));
        begin();
        rig.await("the first does not hear the liar any more", () -> {
            burst(20, QUICK, 0, 1);
            return rig.counter(0, "capacity.distrusted") > 0;
        });
        for (int i = 2; i < 5; i++) {
            rig.kill(i);
        }
        Future<int[]> busy = clients.submit(() -> {
            int[] sum = new int[2];
            for (int k = 0; k < 6; k++) {
                int[] answers = burst(20, LONG, 0);
                sum[0] += answers[0];
                sum[1] += answers[1];
            }
            return sum;
        });
        for (int i = 2; i < 5; i++) {
            rig.start(i);
        }
        for (int i = 2; i < 5; i++) {
            int one = i;
            rig.awaitClients(i);
            rig.await(
                    Rig.name(i) + " has the others' picture",
                    () -> capacity(one).get("known_share").getAsDouble() == 1);
        }
        assertEquals(120, busy.get()[0] + busy.get()[1]);
        assertTrue(busy.get()[0] >= 60, "served amid it: " + busy.get()[0]);
        int[] late = burst(30, QUICK, 2, 3, 4);
        assertTrue(late[0] >= 25, "served by those that began anew: " + late[0]);
    }

    @Test
    void whileDiscoveryIsDownNewsMakesNoEndpointAndBringsNoneBack() throws Exception {
        fleet(3, 4);
        // The last one's list is an older one: one endpoint drains by it, one is not on it.
        try (StandInDiscovery older = new StandInDiscovery(Crew.port())) {
            pool.nodes.get(0).drains();
            List<String> list = pool.listed();
            pool.nodes.get(0).drainsNoMore();
            older.tell(list.subList(0, 3));
            rig.file(2, file("discovery = \"" + older.address() + "\"\n"));
            begin();
            burst(40, QUICK, 0);
            rig.await("the last one has heard of all that it lists", () -> {
                burst(8, QUICK, 0, 1);
                JsonObject held = capacity(2).getAsJsonObject("endpoints");
                return held.has("e1") && held.has("e2") && rig.counter(2, "capacity.received") > 0;
            });
            older.down();
            discovery.down();
            rig.await("the last one's watch is broken off", () -> rig.counter(2, "discovery.watches") > 1);
            long from = System.nanoTime();
            // More than two endpoints take at once: news of the other two would be welcome.
            int[] answers = burst(24, LONG, 2);
            assertTrue(answers[0] >= 2 * SLOTS, "picks go on: " + answers[0]);
            long to = System.nanoTime();
            assertEquals(0, pool.nodes.get(0).sentBetween(from, to), "sent to the one that drains");
            assertEquals(0, pool.nodes.get(3).sentBetween(from, to), "sent to one that no list has told of");
            JsonObject held = capacity(2);
            assertFalse(held.getAsJsonObject("endpoints").has("e0")
                    || held.getAsJsonObject("endpoints").has("e3"));
            assertEquals(
                    2,
                    held.getAsJsonObject("zones")
                            .getAsJsonObject("z")
                            .get("endpoints")
                            .getAsInt());
            older.up();
            discovery.up();
            older.tell(pool.listed());
            rig.await("with the whole list all are used", () -> {
                burst(8, QUICK, 2);
                return pool.nodes.get(3).sentBetween(to, System.nanoTime()) > 0;
            });
        }
    }
}
