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
import laneflow.net.Stand;
import laneflow.net.Stand.Peer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The link between schedulers, and peers that speak it badly. */
@Timeout(120)
class FleetTest {
    private static final String STREAM = "POST /fleet/link HTTP/1.1\r\nHost: f\r\nTransfer-Encoding: chunked\r\n";

    private final List<Loop> loops = new ArrayList<>();

    /** One scheduler's end, with what it was told. */
    private final class End {
        final Loop loop = new Loop(256);
        final Counters counters = new Counters();
        final BlockingQueue<String> told = new LinkedBlockingQueue<>();
        final Fleet fleet;

        End(String name, String token, String peers) throws Exception {
            loops.add(loop);
            Findings findings = new Findings("f");
            FleetConfig config = FleetConfig.read(
                    Table.parse(
                            "name = '" + name + "'\nlisten = '127.0.0.1:0'\n"
                                    + "silence_ms = 400\nlongest_backoff_ms = 30\n[peers]\n" + peers,
                            findings),
                    "");
            findings.throwIfAny();
            Fleet[] made = new Fleet[1];
            loop.call(() -> {
                made[0] = new Fleet(loop, config, new Fleet.Self(name, "life-" + name, "b"), token, counters, 5);
                made[0].onLinkChange(peer -> told.add("up " + peer.id()), peer -> told.add("down " + peer.id()));
                made[0].handle("word", (from, message) -> {
                    told.add(from.name() + " " + message.get("n").getAsInt());
                    if (message.get("n").getAsInt() == 1) {
                        from.send(word(2));
                    }
                });
                made[0].serve(
                        "/echo",
                        (verb, path, body, answer) -> answer.say(
                                200,
                                "text/plain",
                                "",
                                verb + " " + new String(body, java.nio.charset.StandardCharsets.US_ASCII)));
            });
            fleet = made[0];
            fleet.listen();
        }

        String next() throws InterruptedException {
            return told.poll(30, TimeUnit.SECONDS);
        }

        long count(String name) throws InterruptedException {
            long[] value = new long[1];
            loop.call(() -> value[0] = counters.get(name));
            return value[0];
        }

        void await(String name, long least) throws InterruptedException {
            while (count(name) < least) {
                Thread.sleep(2);
            }
        }

        Peer caller() throws Exception {
            return Stand.peer("127.0.0.1", fleet.port().address().getPort());
        }
    }

    private static JsonObject word(int n) {
        JsonObject all = new JsonObject();
        all.addProperty("t", "word");
        all.addProperty("n", n);
        return all;
    }

    private static String chunk(String line) {
        return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
    }

    @AfterEach
    void end() throws InterruptedException {
        for (Loop loop : loops) {
            loop.stop();
        }
    }

    @Test
    void twoMeetSpeakAndMeetAgain() throws Exception {
        End b = new End("b", "key", "");
        End a = new End("a", "key", "b = '127.0.0.1:" + b.fleet.port().address().getPort() + "'\n");
        a.loop.call(() -> a.fleet.dial("b"));
        assertEquals("up b#life-b", a.next());
        assertEquals("up a#life-a", b.next());
        a.loop.call(() -> assertTrue(a.fleet.peer("b").send(word(1))));
        assertEquals("a 1", b.next());
        assertEquals("b 2", a.next());
        // Silence is no end while both are well: signs of life go both ways.
        Thread.sleep(1000);
        assertEquals(0, a.count("fleet.links_lost") + b.count("fleet.links_lost"));
        b.loop.call(b.fleet::close);
        assertEquals("down b#life-b", a.next());
        a.loop.call(() -> assertEquals(null, a.fleet.peer("b")));
    }

    @Test
    void whoeverHasAnotherTokenOrNameIsNobody() throws Exception {
        End b = new End("b", "key", "");
        int port = b.fleet.port().address().getPort();
        End stranger = new End("s", "other", "b = '127.0.0.1:" + port + "'\n");
        stranger.loop.call(() -> stranger.fleet.dial("b"));
        stranger.await("fleet.dials", 3);
        End mistaken = new End("m", "key", "c = '127.0.0.1:" + port + "'\n");
        mistaken.loop.call(() -> mistaken.fleet.dial("c"));
        // It finds b where its file says c.
        mistaken.await("fleet.links_lost", 1);
        mistaken.loop.call(() -> assertEquals(null, mistaken.fleet.peer("c")));
        assertEquals(null, stranger.told.poll());
        try (Peer caller = b.caller()) {
            assertTrue(caller.write("GET /echo HTTP/1.1\r\nHost: f\r\n\r\n")
                    .readTo("\r\n\r\n")
                    .startsWith("HTTP/1.1 401 "));
        }
    }

    @Test
    void whatIsNoMessageEndsItsLinkAndNoOther() throws Exception {
        End b = new End("b", null, "");
        // It does not say who it is.
        try (Peer caller = b.caller()) {
            caller.write(STREAM + "\r\n" + chunk("{\"t\":\"word\",\"n\":1}"));
            assertTrue(ends(caller));
        }
        // It speaks versions that this build does not.
        try (Peer caller = b.caller()) {
            caller.write(
                    STREAM + "\r\n" + chunk("{\"t\":\"hello\",\"name\":\"x\",\"life\":\"l\",\"from\":7,\"to\":9}"));
            assertTrue(ends(caller));
        }
        assertEquals(1, b.count("fleet.other_version"));
        try (Peer caller = b.caller()) {
            caller.write(STREAM + "\r\n"
                    + chunk("{\"t\":\"hello\",\"name\":\"x\",\"life\":\"l\",\"from\":1,\"to\":9,\"more\":{}}"));
            assertEquals("up x#l", b.next());
            // A later build's message, one without its fields, and one with fields more than known.
            caller.write(chunk("{\"t\":\"later\"}")
                    + chunk("{\"t\":\"word\"}")
                    + chunk("{\"t\":\"word\",\"n\":[]}")
                    + chunk("{\"t\":\"word\",\"n\":7,\"more\":[1]}"));
            assertEquals("x 7", b.next());
            assertEquals(1, b.count("fleet.unknown"));
            assertEquals(2, b.count("fleet.garbled"));
            caller.write(chunk("no json"));
            assertEquals("down x#l", b.next());
        }
        // One that falls silent is missed.
        try (Peer caller = b.caller()) {
            caller.write(
                    STREAM + "\r\n" + chunk("{\"t\":\"hello\",\"name\":\"y\",\"life\":\"l\",\"from\":1,\"to\":1}"));
            assertEquals("up y#l", b.next());
            assertEquals("down y#l", b.next());
        }
        try (Peer caller = b.caller()) {
            assertTrue(caller.write("POST /echo HTTP/1.1\r\nHost: f\r\nContent-Length: 2\r\n\r\nhi")
                    .readTo("POST hi")
                    .startsWith("HTTP/1.1 200 "));
        }
        try (Peer caller = b.caller()) {
            assertTrue(caller.write("GET /none HTTP/1.1\r\nHost: f\r\n\r\n")
                    .readTo("\r\n\r\n")
                    .startsWith("HTTP/1.1 404 "));
        }
        assertFalse(b.told.contains("up z#l"));
    }

    private static boolean ends(Peer caller) throws Exception {
        try {
            caller.readTo("never said");
            return false;
        } catch (java.io.IOException e) {
            return e.getMessage().startsWith("ended after");
        }
    }
}
