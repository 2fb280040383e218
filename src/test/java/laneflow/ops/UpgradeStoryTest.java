package laneflow.ops;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import laneflow.lab.rig.Await;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Endpoint;
import laneflow.net.SchedulerHarness.Peer;
import laneflow.ops.Platform.SchedulerProcess;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Upgrades with real processes on one passed socket; the old and the new process are killed at various steps. */
@Timeout(300)
class UpgradeStoryTest {
    /** Time in which one process has told the other what it has taken. */
    private static final int HANDOVER_MS = 100;

    @TempDir
    private Path folder;

    private Platform platform;
    private Endpoint endpoint;

    @BeforeEach
    void begin() throws Exception {
        endpoint = new Endpoint("e1");
        Path config = folder.resolve("config.json");
        // An endpoint with a job in progress counts as full: the second one is for requests that come meanwhile.
        Files.writeString(config, SchedulerHarness.configWithEndpoints(endpoint, new Endpoint("e2", endpoint)));
        platform = new Platform(folder, folder.resolve("log"), Map.of("ROUTER_CONFIG", config.toString()), "serve");
    }

    @AfterEach
    void end() throws Exception {
        platform.close();
        endpoint.close();
    }

    /** Starts a scheduler and waits until it reports that it can serve. */
    private SchedulerProcess start() throws Exception {
        SchedulerProcess process = platform.launch();
        await(() -> call(process, "check").equals("done"));
        return process;
    }

    private void await(Await.Condition condition) throws Exception {
        Await.until("the condition holds", condition, () -> Files.readString(folder.resolve("log")));
    }

    private String call(SchedulerProcess process, String line) throws IOException {
        return process.call(line);
    }

    private void setDown(SchedulerProcess process) throws IOException {
        assertEquals("done", call(process, "set-down e1"));
        assertEquals("done", call(process, "set-down e2"));
    }

    private void setUp(SchedulerProcess process) throws IOException {
        assertEquals("done", call(process, "set-up e1"));
        assertEquals("done", call(process, "set-up e2"));
    }

    private Peer client() throws IOException {
        return SchedulerHarness.connect("127.0.0.1", platform.port);
    }

    private boolean isReady() throws IOException {
        try (Peer client = client()) {
            client.write("GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n");
            return client.message().startsWith("HTTP/1.1 200 ");
        }
    }

    /** Reads the counters of the process that accepts new clients. */
    private String counters() throws IOException {
        try (Peer client = client()) {
            return client.write("GET /counters HTTP/1.1\r\nHost: o\r\n\r\n").message();
        }
    }

    private void assertServed(Peer client, String id, boolean closes) throws IOException {
        client.post("card-capture", id, "", "");
        try (Peer call = endpoint.accept()) {
            call.message();
            call.respond("{'id':'" + id + "','state':'done','result':'ok'}");
            String answer = client.message();
            assertTrue(answer.endsWith("ok"), answer);
            assertEquals(closes, answer.contains("Connection: close\r\n"), answer);
        }
    }

    @Test
    void clientsMoveWithoutLossAndBansHoldInBothProcesses() throws Exception {
        SchedulerProcess predecessor = start();
        assertTrue(isReady());
        setDown(predecessor);
        setUp(predecessor);
        Peer oldClient = client();
        assertServed(oldClient, "k1", false);
        Peer busyClient = client().post("card-capture", "o1", "", "");
        Peer call = endpoint.accept();
        call.message();

        SchedulerProcess successor = start();
        assertTrue(isReady());
        // The old process serves its clients, and closes their connections with the response.
        assertServed(oldClient, "k2", true);
        assertTrue(oldClient.isClosedByPeer());
        Peer newClient = client();
        assertServed(newClient, "f1", false);
        assertTrue(counters().contains("http.served 1") || counters().contains("http.served=1"), counters());
        // An order to the old process holds in the new one, and the other way round.
        setDown(predecessor);
        newClient.post("card-capture", "f2", "", "");
        assertTrue(newClient.message().startsWith("HTTP/1.1 503 "));
        setUp(successor);
        assertServed(newClient, "f3", false);
        setDown(predecessor);
        assertEquals("done", call(successor, "drain-on"));
        assertFalse(isReady());
        assertEquals("done", call(predecessor, "drain-off"));
        assertTrue(isReady());

        predecessor.handle().destroy();
        // The old process ends once its last request is answered, and its orders stay in force.
        call.respond("{'id':'o1','state':'done','result':'late'}");
        assertTrue(busyClient.message().endsWith("late"));
        predecessor.awaitExit();
        Peer last = client().post("card-capture", "l1", "", "");
        assertTrue(last.message().startsWith("HTTP/1.1 503 "));
        SchedulerProcess third = start();
        Peer next = client().post("card-capture", "n1", "", "");
        assertTrue(next.message().startsWith("HTTP/1.1 503 "));
        successor.awaitExit();
        setUp(third);
        assertServed(client(), "n2", false);
    }

    /** Guards against an id that runs at one process and is sent on by the other when it comes again there. */
    @Test
    void anIdRunsAtOneOfTheTwoProcessesOnly() throws Exception {
        start();
        Peer oldClient = client();
        assertServed(oldClient, "k1", false);
        Peer leaving = client().post("card-capture", "o1", "", "");
        endpoint.accept().message();
        leaving.close();
        start();
        Peer newClient = client();
        assertStatus("409", newClient.post("card-capture", "o1", "", ""));
        assertStatus("409", newClient.post("card-capture", "k1", "", ""));
        // Also what each of them takes while both serve.
        Peer other = client().post("card-capture", "n1", "", "");
        endpoint.accept().message();
        Thread.sleep(HANDOVER_MS);
        assertStatus("409", oldClient.post("card-capture", "n1", "", ""));
        other.close();
    }

    private static void assertStatus(String status, Peer client) throws IOException {
        String answer = client.message();
        assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), answer);
    }

    @Test
    void oldProcessServesWhenNewOneIsKilledAtAnyStep() throws Exception {
        SchedulerProcess predecessor = start();
        Peer busyClient = client().post("card-capture", "o1", "", "");
        Peer call = endpoint.accept();
        call.message();
        for (int millis : new int[] {0, 150, 300}) {
            SchedulerProcess successor = platform.launch();
            Thread.sleep(millis);
            successor.kill();
            assertTrue(isReady());
        }
        SchedulerProcess successor = start();
        successor.kill();
        // Connections that the new process had not accepted wait in the socket's queue for the old one.
        Peer client = client();
        assertServed(client, "c1", false);
        assertEquals("done", call(predecessor, "check"));
        call.respond("{'id':'o1','state':'done','result':'ok'}");
        assertTrue(busyClient.message().endsWith("ok"));
        // The next process takes over as usual.
        start();
        assertServed(client, "c2", true);
        predecessor.awaitExit();
    }

    @Test
    void newProcessServesWithTheOrdersOfAKilledOldOne() throws Exception {
        SchedulerProcess predecessor = start();
        setDown(predecessor);
        SchedulerProcess successor = platform.launch();
        predecessor.kill();
        await(() -> call(successor, "check").equals("done"));
        Peer client = client().post("card-capture", "c1", "", "");
        assertTrue(client.message().startsWith("HTTP/1.1 503 "));
        setUp(successor);
        assertServed(client, "c2", false);
    }

    @Test
    void leftoverFilesDoNotPreventAStart() throws Exception {
        Files.writeString(folder.resolve("laneflow-handover"), "no socket");
        Files.writeString(folder.resolve("laneflow-set-down"), "no such format");
        SchedulerProcess process = start();
        assertTrue(isReady());
        process.kill();
        // The socket file of the killed process is left behind.
        assertTrue(Files.exists(folder.resolve("laneflow-handover")));
        SchedulerProcess next = start();
        assertTrue(isReady());
        start();
        next.awaitExit();
    }

    @Test
    void hangingNewProcessIsDisconnectedAndReconnectsOnceItResumes() throws Exception {
        SchedulerProcess predecessor = start();
        Peer busyClient = client().post("card-capture", "o1", "", "");
        Peer call = endpoint.accept();
        call.message();
        SchedulerProcess successor = start();
        signal("STOP", successor);
        // Clients that the new process has accepted hang with it; the old one accepts those that connect now.
        await(() -> Files.readString(folder.resolve("log")).contains("this process accepts clients again"));
        assertTrue(isReady());
        setDown(predecessor);
        signal("CONT", successor);
        await(() -> Files.readString(folder.resolve("log")).contains("connected to it again"));
        await(() -> call(successor, "set-up e1").equals("done"));
        assertEquals("done", call(successor, "set-up e2"));
        call.respond("{'id':'o1','state':'done','result':'ok'}");
        assertTrue(busyClient.message().endsWith("ok"));
        predecessor.awaitExit();
        assertServed(client(), "c1", false);
    }

    private static void signal(String signalName, SchedulerProcess process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder(
                                "kill", "-" + signalName, "" + process.handle().pid())
                        .start()
                        .waitFor());
    }
}
