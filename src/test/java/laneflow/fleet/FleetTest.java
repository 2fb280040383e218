package laneflow.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import laneflow.config.Findings;
import laneflow.config.Table;
import laneflow.core.Counters;
import laneflow.net.Loop;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Peer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Links between schedulers, with valid peers and with peers that violate the protocol. */
@Timeout(120)
class FleetTest {
    private static final String LINK_REQUEST = "POST /fleet/link HTTP/1.1\r\nHost: f\r\nTransfer-Encoding: chunked\r\n";

    private final List<Loop> loops = new ArrayList<>();

    /** A scheduler's end of its links, with a record of its events. */
    private final class Scheduler {
        final Loop loop = new Loop(256);
        final Counters counters = new Counters();
        final BlockingQueue<String> events = new LinkedBlockingQueue<>();
        final Fleet fleet;

        Scheduler(String name, String token, String peers) throws Exception {
            loops.add(loop);
            Findings findings = new Findings("f");
            FleetConfig config = FleetConfig.read(
                    Table.parse(
                            "name = '" + name + "'\nlisten = '127.0.0.1:0'\n"
                                    + "silence_ms = 400\nlongest_backoff_ms = 30\n[peers]\n" + peers,
                            findings),
                    "");
            findings.throwIfAny();
            Fleet[] created = new Fleet[1];
            loop.call(() -> {
                created[0] = new Fleet(loop, config, new Fleet.Self(name, "life-" + name, "b"), token, counters, 5);
                created[0].onLinkChange(peer -> events.add("up " + peer.id()), peer -> events.add("down " + peer.id()));
                created[0].handle("test", (from, message) -> {
                    events.add(from.name() + " " + message.get("n").getAsInt());
                    if (message.get("n").getAsInt() == 1) {
                        from.send(message(2));
                    }
                });
                created[0].serve(
                        "/echo",
                        (verb, path, body, answer) -> answer.respond(
                                200,
                                "text/plain",
                                "",
                                verb + " " + new String(body, java.nio.charset.StandardCharsets.US_ASCII)));
            });
            fleet = created[0];
            fleet.listen();
        }

        String next() throws InterruptedException {
            return events.poll(30, TimeUnit.SECONDS);
        }

        long count(String name) throws InterruptedException {
            long[] value = new long[1];
            loop.call(() -> value[0] = counters.get(name));
            return value[0];
        }

        void await(String name, long minValue) throws InterruptedException {
            while (count(name) < minValue) {
                Thread.sleep(2);
            }
        }

        Peer connect() throws Exception {
            return SchedulerHarness.connect("127.0.0.1", fleet.port().address().getPort());
        }
    }

    private static JsonObject message(int n) {
        JsonObject json = new JsonObject();
        json.addProperty("t", "test");
        json.addProperty("n", n);
        return json;
    }

    private static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }

    @AfterEach
    void stopLoops() throws InterruptedException {
        for (Loop loop : loops) {
            loop.stop();
        }
    }

    @Test
    void schedulersLinkExchangeMessagesAndSeeTheLinkEnd() throws Exception {
        Scheduler b = new Scheduler("b", "key", "");
        Scheduler a = new Scheduler(
                "a", "key", "b = '127.0.0.1:" + b.fleet.port().address().getPort() + "'\n");
        a.loop.call(() -> a.fleet.dial("b"));
        assertEquals("up b#life-b", a.next());
        assertEquals("up a#life-a", b.next());
        a.loop.call(() -> assertTrue(a.fleet.peer("b").send(message(1))));
        assertEquals("a 1", b.next());
        assertEquals("b 2", a.next());
        // Idle links stay up, since heartbeats go both ways.
        Thread.sleep(1000);
        assertEquals(0, a.count("fleet.links_lost") + b.count("fleet.links_lost"));
        b.loop.call(b.fleet::close);
        assertEquals("down b#life-b", a.next());
        a.loop.call(() -> assertEquals(null, a.fleet.peer("b")));
    }

    @Test
    void aPeerWithAWrongTokenOrUnexpectedNameIsRejected() throws Exception {
        Scheduler b = new Scheduler("b", "key", "");
        int port = b.fleet.port().address().getPort();
        Scheduler withWrongToken = new Scheduler("s", "other", "b = '127.0.0.1:" + port + "'\n");
        withWrongToken.loop.call(() -> withWrongToken.fleet.dial("b"));
        withWrongToken.await("fleet.dials", 3);
        Scheduler withWrongAddress = new Scheduler("m", "key", "c = '127.0.0.1:" + port + "'\n");
        withWrongAddress.loop.call(() -> withWrongAddress.fleet.dial("c"));
        // It reaches b at the address that is configured for c.
        withWrongAddress.await("fleet.links_lost", 1);
        withWrongAddress.loop.call(() -> assertEquals(null, withWrongAddress.fleet.peer("c")));
        assertEquals(null, withWrongToken.events.poll());
        try (Peer client = b.connect()) {
            assertTrue(client.write("GET /echo HTTP/1.1\r\nHost: f\r\n\r\n")
                    .readTo("\r\n\r\n")
                    .startsWith("HTTP/1.1 401 "));
        }
    }

    @Test
    void aProtocolViolationEndsOnlyItsOwnLink() throws Exception {
        Scheduler b = new Scheduler("b", null, "");
        // No hello.
        try (Peer client = b.connect()) {
            client.write(LINK_REQUEST + "\r\n" + chunk("{\"t\":\"test\",\"n\":1}"));
            assertTrue(isClosed(client));
        }
        // Unsupported versions.
        try (Peer client = b.connect()) {
            client.write(LINK_REQUEST + "\r\n"
                    + chunk("{\"t\":\"hello\",\"name\":\"x\",\"life\":\"l\",\"from\":7,\"to\":9}"));
            assertTrue(isClosed(client));
        }
        assertEquals(1, b.count("fleet.other_version"));
        try (Peer client = b.connect()) {
            client.write(LINK_REQUEST + "\r\n"
                    + chunk("{\"t\":\"hello\",\"name\":\"x\",\"life\":\"l\",\"from\":1,\"to\":9,\"more\":{}}"));
            assertEquals("up x#l", b.next());
            // An unknown type, a missing field, a malformed field, and an unknown additional field.
            client.write(chunk("{\"t\":\"later\"}")
                    + chunk("{\"t\":\"test\"}")
                    + chunk("{\"t\":\"test\",\"n\":[]}")
                    + chunk("{\"t\":\"test\",\"n\":7,\"more\":[1]}"));
            assertEquals("x 7", b.next());
            assertEquals(1, b.count("fleet.unknown"));
            assertEquals(2, b.count("fleet.garbled"));
            client.write(chunk("no json"));
            assertEquals("down x#l", b.next());
        }
        // A silent peer loses its link.
        try (Peer client = b.connect()) {
            client.write(LINK_REQUEST + "\r\n"
                    + chunk("{\"t\":\"hello\",\"name\":\"y\",\"life\":\"l\",\"from\":1,\"to\":1}"));
            assertEquals("up y#l", b.next());
            assertEquals("down y#l", b.next());
        }
        try (Peer client = b.connect()) {
            assertTrue(client.write("POST /echo HTTP/1.1\r\nHost: f\r\nContent-Length: 2\r\n\r\nhi")
                    .readTo("POST hi")
                    .startsWith("HTTP/1.1 200 "));
        }
        try (Peer client = b.connect()) {
            assertTrue(client.write("GET /none HTTP/1.1\r\nHost: f\r\n\r\n")
                    .readTo("\r\n\r\n")
                    .startsWith("HTTP/1.1 404 "));
        }
        assertFalse(b.events.contains("up z#l"));
    }

    private static boolean isClosed(Peer client) throws Exception {
        try {
            client.readTo("never sent");
            return false;
        } catch (java.io.IOException e) {
            return e.getMessage().startsWith("ended after");
        }
    }
}
