package laneflow.ops;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Endpoint;
import laneflow.net.SchedulerHarness.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** End-to-end tests of the ops port and of its commands. */
@Timeout(300)
class OpsStoryTest {
    @TempDir
    private Path folder;

    private static String call(SchedulerHarness harness, String line) throws Exception {
        try (Peer caller = harness.opsClient()) {
            String reply = caller.write(line + "\n").readTo("\n").strip();
            assertTrue(caller.isClosedByPeer());
            return reply;
        }
    }

    @Test
    void commandsSucceedOrReportTheirError() throws Exception {
        try (SchedulerHarness harness = SchedulerHarness.withOpsPort(folder, new Endpoint("e1"))) {
            assertEquals("done", call(harness, "check"));
            assertEquals("done", call(harness, "check\r"));
            for (String bad : new String[] {
                "",
                "checks",
                "check now",
                "set-down",
                "set-down e1 e2",
                "set-up e9",
                "set-down e9",
                "drain-on 3",
                "ch\u0001eck",
                "x".repeat(400)
            }) {
                assertTrue(call(harness, bad).startsWith("error "), bad);
            }
            // A command may arrive in pieces; an incomplete one has no effect.
            try (Peer caller = harness.opsClient();
                    Peer partial = harness.opsClient()) {
                partial.write("drain-on").close();
                caller.write("che").write("ck").write("\n");
                assertEquals("done\n", caller.readTo("\n"));
            }
            try (Peer client = harness.http()) {
                client.write("GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n");
                assertTrue(client.message().startsWith("HTTP/1.1 200 "));
            }
        }
    }

    @Test
    void opsPortAnswersDespiteSilentCallersAndFullClientLimit() throws Exception {
        try (SchedulerHarness harness = SchedulerHarness.withOpsPort(folder, new Endpoint("e1"))) {
            List<Peer> silent = new ArrayList<>();
            for (int i = 0; i < 3 * OpsPort.MAX_CALLERS; i++) {
                silent.add(harness.opsClient());
                if (i % 2 == 0) {
                    silent.get(i).write("set-do");
                }
            }
            // Requests in progress use every connection that clients may have.
            List<Peer> clients = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                clients.add(harness.http().post("basket-check", "r" + i, "", ""));
            }
            for (int i = 0; i < 2 * OpsPort.MAX_CALLERS; i++) {
                assertEquals("done", call(harness, "check"));
            }
            for (Peer peer : silent) {
                peer.close();
            }
        }
    }

    @Test
    void endpointSetDownGetsNoRequestsUntilSetUpEvenInTheNextProcess() throws Exception {
        Endpoint one = new Endpoint("e1");
        Endpoint two = new Endpoint("e2");
        try (SchedulerHarness harness = SchedulerHarness.withOpsPort(folder, one, two)) {
            assertEquals("done", call(harness, "set-down e1"));
            assertEquals("done", call(harness, "set-down e1"));
            try (Peer client = harness.http()) {
                for (int i = 0; i < 6; i++) {
                    client.post("basket-check", "r" + i, "", "");
                    assertServed(i == 0 ? two.accept() : null, client, "r" + i);
                }
            }
        }
        assertEquals(Set.of("e1"), new BanFile(folder).read());
        try (SchedulerHarness next = SchedulerHarness.withOpsPort(folder, one);
                Peer client = next.http()) {
            client.post("basket-check", "n1", "", "");
            assertTrue(client.message().startsWith("HTTP/1.1 503 "));
            assertEquals("done", call(next, "set-up e1"));
            client.post("basket-check", "n2", "", "");
            assertServed(one.accept(), client, "n2");
        }
        assertEquals(Set.of(), new BanFile(folder).read());
    }

    private Peer endpointConnection;

    private void assertServed(Peer call, Peer client, String id) throws Exception {
        endpointConnection = call != null ? call : endpointConnection;
        assertTrue(endpointConnection.message().contains("Req-Id: " + id + "\r\n"));
        endpointConnection.respond("{'id':'" + id + "','state':'done','result':'ok'}");
        assertTrue(client.message().endsWith("ok"));
    }

    @Test
    void damagedFileIsIgnored() throws Exception {
        Path file = folder.resolve("laneflow-set-down");
        new BanFile(folder).write(Set.of("e1", "e2"));
        assertEquals(Set.of("e1", "e2"), new BanFile(folder).read());
        byte[] good = Files.readAllBytes(file);
        for (int i = 0; i < good.length; i++) {
            byte[] bad = good.clone();
            bad[i] ^= 4;
            Files.write(file, bad);
            assertEquals(Set.of(), new BanFile(folder).read(), "byte " + i);
            Files.write(
                    file,
                    Stream.of(good)
                            .map(b -> new String(b, StandardCharsets.US_ASCII))
                            .findFirst()
                            .orElseThrow()
                            .substring(0, i)
                            .getBytes(StandardCharsets.US_ASCII));
            assertEquals(Set.of(), new BanFile(folder).read(), "cut at " + i);
        }
        try (SchedulerHarness harness = SchedulerHarness.withOpsPort(folder, new Endpoint("e1"))) {
            assertEquals("done", call(harness, "check"));
        }
    }

    @Test
    void drainClosesConnectionsWithoutCuttingRequestsAndCanBeUndone() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = SchedulerHarness.withOpsPort(folder, endpoint);
                Peer idle = harness.http();
                Peer slow = harness.http();
                Peer partial = harness.http()) {
            idle.write("GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n");
            assertTrue(idle.message().startsWith("HTTP/1.1 200 "));
            // A class that must not be repeated: others are sent to another endpoint after 250 ms without a head.
            slow.post("card-capture", "1", "", "");
            Peer call = endpoint.accept();
            call.message();
            partial.write("POST /basket-check HTTP/1.1\r\nHost: o\r\nReq-Id: 2\r\nReq-Kind: bas");
            long began = System.nanoTime();
            assertEquals("done", call(harness, "drain-on"));
            assertEquals("done", call(harness, "drain-on"));
            try (Peer probe = harness.http()) {
                probe.write("GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n");
                assertTrue(probe.message().startsWith("HTTP/1.1 503 "));
                assertTrue(probe.isClosedByPeer());
            }
            assertTrue(idle.isClosedByPeer());
            call.respond("{'id':'1','state':'done','result':'ok'}");
            assertTrue(slow.message().contains("Connection: close\r\n"));
            partial.write("ket-check\r\nContent-Length: 0\r\n\r\n");
            call.message();
            call.respond("{'id':'2','state':'done','result':'ok'}");
            assertTrue(partial.message().contains("Connection: close\r\n"));
            assertTrue(slow.isClosedByPeer() && partial.isClosedByPeer());
            assertTrue(System.nanoTime() - began < 2_000_000_000L);
            assertEquals("done", call(harness, "check"));
            assertEquals("done", call(harness, "drain-off"));
            assertEquals("done", call(harness, "drain-off"));
            try (Peer client = harness.http();
                    Peer probe = harness.http()) {
                probe.write("GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n");
                assertTrue(probe.message().startsWith("HTTP/1.1 200 "));
                // The connection stays open even past the delays of the drain: its timer is cancelled.
                Thread.sleep(700);
                client.post("basket-check", "3", "", "");
                call.message();
                call.respond("{'id':'3','state':'done','result':'ok'}");
                assertTrue(!client.message().contains("Connection: close"));
            }
        }
    }

    @Test
    void stoppingProcessRejectsCommands() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = SchedulerHarness.withOpsPort(folder, endpoint);
                Peer client = harness.http()) {
            client.post("card-capture", "1", "", "");
            Peer call = endpoint.accept();
            call.message();
            assertEquals("done", call(harness, "drain-on"));
            Thread end = new Thread(harness.serve::stop);
            end.start();
            harness.awaitCounter("stop.early", 1);
            for (String order : new String[] {"drain-off", "drain-on", "check"}) {
                assertTrue(call(harness, order).startsWith("error "), order);
            }
            call.respond("{'id':'1','state':'done','result':'ok'}");
            assertTrue(client.message().endsWith("ok"));
            end.join();
        }
    }

    @Test
    void drainUndoneHalfwayHasNoLaterEffect() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = SchedulerHarness.withOpsPort(folder, endpoint);
                Peer idle = harness.http();
                Peer busy = harness.http()) {
            idle.write("GET /health/live HTTP/1.1\r\nHost: o\r\n\r\n").message();
            busy.post("card-capture", "1", "", "");
            Peer call = endpoint.accept();
            call.message();
            assertEquals("done", call(harness, "drain-on"));
            assertEquals("done", call(harness, "drain-off"));
            call.respond("{'id':'1','state':'done','result':'ok'}");
            assertTrue(!busy.message().contains("Connection: close"));
            // Past the time at which the drain would have closed the idle connection.
            Thread.sleep(600);
            assertTrue(idle.write("GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n")
                    .message()
                    .startsWith("HTTP/1.1 200 "));
        }
    }
}
