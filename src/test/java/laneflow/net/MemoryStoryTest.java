package laneflow.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import laneflow.gearman.Gearman;
import laneflow.lab.rig.ChildProcesses;
import laneflow.net.SchedulerHarness.Endpoint;
import laneflow.net.SchedulerHarness.Peer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A scheduler's process with a small heap holds more messages than fit in it. Each case guards against the heap being
 * exhausted by one kind of message, so that the process stays up and answers nobody.
 */
@Timeout(120)
class MemoryStoryTest {
    private static final int HEAP_MB = 24;
    private static final int ENDPOINTS = 200;
    private static final int KIB = 1024;
    private static final String BODY = "b".repeat(60 * KIB);

    @TempDir
    private Path folder;

    private final List<Peer> peers = new ArrayList<>();
    private ChildProcesses processes;
    private Process scheduler;
    private Endpoint endpoint;
    private int http;
    private int gearman;

    @BeforeEach
    void start() throws Exception {
        // Under many names, so that all of the clients' jobs are out there at once.
        endpoint = new Endpoint("e", ENDPOINTS);
        processes = new ChildProcesses(folder);
        http = ChildProcesses.freePort();
        gearman = ChildProcesses.freePort();
        StringBuilder config = new StringBuilder("""
                listen = "127.0.0.1:%d"
                zones = ["a"]
                [classes.capture]
                deadline_ms = 6000
                [durable]
                dir = "%s"
                [durable.classes.capture]
                [gearman]
                listen = "127.0.0.1:%d"
                [gearman.functions.live]
                class = "capture"
                """.formatted(http, folder.resolve("store"), gearman));
        for (int i = 0; i < ENDPOINTS; i++) {
            config.append("[endpoints.e%d]\ndial = \"%s\"\n".formatted(i, endpoint.dial()));
        }
        Path file = Files.writeString(folder.resolve("laneflow.toml"), config);
        scheduler = processes.startScheduler("scheduler", HEAP_MB, file.toString());
        processes.awaitPort(scheduler, "scheduler", http);
        processes.awaitPort(scheduler, "scheduler", gearman);
    }

    @AfterEach
    void end() throws Exception {
        for (Peer peer : peers) {
            peer.close();
        }
        endpoint.close();
        processes.close();
    }

    private Peer connect(int port) throws IOException {
        Peer peer = SchedulerHarness.connect("127.0.0.1", port);
        peers.add(peer);
        return peer;
    }

    private static String status(Peer client) throws IOException {
        return client.message().substring("HTTP/1.1 ".length()).substring(0, 3);
    }

    /** Sends jobs, each on a connection of its own, and takes them at the endpoint. */
    private List<Peer> sendJobs(int count, List<Peer> calls) throws IOException {
        List<Peer> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            clients.add(connect(http).post("capture", "r" + i, "", ""));
            Peer call = endpoint.accept();
            peers.add(call);
            calls.add(call);
            call.message();
        }
        return clients;
    }

    private void assertAllAnswered(List<Peer> clients) throws IOException {
        for (Peer client : clients) {
            try {
                assertNotNull(status(client));
            } catch (IOException e) {
                throw new IOException(processes.log("scheduler"), e);
            }
        }
        assertServes();
    }

    private void assertServes() throws IOException {
        assertTrue(scheduler.isAlive(), processes.log("scheduler"));
        assertEquals("200", status(connect(http).write("GET /health/live HTTP/1.1\r\nHost: o\r\n\r\n")));
    }

    @Test
    void endlessAnswersEndWithAnErrorAndAllClientsAreAnswered() throws Exception {
        List<Peer> calls = new ArrayList<>();
        List<Peer> clients = sendJobs(60, calls);
        String unfinished = "{\"state\":\"done\",\"result\":\"" + "x".repeat(480 * KIB);
        for (Peer call : calls) {
            try {
                call.beginResponse().write(Integer.toHexString(unfinished.length()) + "\r\n" + unfinished);
            } catch (IOException e) {
                // The scheduler has closed this one, or gives it up while it is written.
                continue;
            }
        }
        assertAllAnswered(clients);
    }

    @Test
    void requestsSentAheadOfAnAnswerAreDroppedAndAllClientsAreAnswered() throws Exception {
        List<Peer> clients = sendJobs(ENDPOINTS, new ArrayList<>());
        for (int i = 0; i < clients.size(); i++) {
            clients.get(i).post("capture", "s" + i, "", BODY).post("capture", "t" + i, "", BODY);
        }
        assertAllAnswered(clients);
    }

    @Test
    void packetsThatAreNotCompletedEndTheirConnections() throws Exception {
        byte[] most = new byte[900 * KIB];
        byte[] head = {0, 'R', 'E', 'Q', 0, 0, 0, (byte) Gearman.type("SUBMIT_JOB"), 0, 15, 0, 0};
        int told = 0;
        for (int i = 0; i < 60; i++) {
            Peer peer = connect(gearman);
            try {
                peer.write(head).write(most);
            } catch (IOException e) {
                // Ended while it was written.
                continue;
            }
        }
        for (Peer peer : peers) {
            try {
                told += Gearman.next(peer).args()[0].equals("OUT_OF_MEMORY") ? 1 : 0;
            } catch (IOException e) {
                // Ended before its error was read, or because its packet is not completed in time.
                continue;
            }
        }
        assertTrue(told > 0);
        assertServes();
    }

    @Test
    void gearmanJobsBeyondTheMemoryAreRefusedAtOnce() throws Exception {
        Peer worker = connect(gearman);
        Gearman.send(worker, Gearman.type("CAN_DO"), "live");
        Gearman.send(worker, Gearman.type("ECHO_REQ"), "listed");
        Gearman.expect(worker, Gearman.type("ECHO_RES"));
        Peer client = connect(gearman);
        String data = "d".repeat(500 * KIB);
        int open = 0;
        int refused = 0;
        for (int i = 0; i < 80; i++) {
            Gearman.send(client, Gearman.type("SUBMIT_JOB"), "live", "", data);
        }
        while (open + refused < 80 || open > 0 && refused == 0) {
            Gearman.Received reply = Gearman.next(client);
            open += reply.type() == Gearman.CREATED ? 1 : 0;
            refused += reply.type() == Gearman.ERROR && reply.args()[0].equals("QUEUE_FULL") ? 1 : 0;
        }
        assertTrue(refused > 0, open + " open");
        assertServes();
    }

    /** Guards against workers that announce ever new functions, whose names fill the memory. */
    @Test
    void workersThatAnnounceEverNewFunctionsAreEnded() throws Exception {
        String padding = "n".repeat(480);
        int told = 0;
        for (int i = 0; i < 60; i++) {
            Peer worker = connect(gearman);
            try {
                for (int name = 0; name < 900; name++) {
                    Gearman.send(worker, Gearman.type("CAN_DO"), i + "." + name + padding);
                }
                Gearman.send(worker, Gearman.type("ECHO_REQ"), "listed");
            } catch (IOException e) {
                // Ended while it announced.
                continue;
            }
        }
        for (Peer worker : peers) {
            try {
                told += Gearman.next(worker).args()[0].equals("OUT_OF_MEMORY") ? 1 : 0;
            } catch (IOException e) {
                // Ended before its error was read.
                continue;
            }
        }
        assertServes();
        assertTrue(told > 0);
    }

    @Test
    void durableJobsBeyondTheMemoryAreRefusedAndAcceptedOnesAreKept() throws Exception {
        Peer client = connect(http);
        List<String> places = new ArrayList<>();
        String refusal = "";
        for (int i = 0; i < 600; i++) {
            String answer = client.post("capture", "d" + i, "Prefer: respond-async\r\n", BODY)
                    .message();
            if (answer.startsWith("HTTP/1.1 202 ")) {
                places.add(answer.substring(answer.indexOf("/jobs/"), answer.indexOf("/jobs/") + 22));
            } else {
                refusal = answer;
            }
        }
        assertTrue(refusal.startsWith("HTTP/1.1 503 ") && refusal.contains("Retry-After: "), refusal);
        for (String place : places) {
            assertEquals("200", status(client.write("GET " + place + " HTTP/1.1\r\nHost: o\r\n\r\n")));
        }
        assertServes();
    }
}
