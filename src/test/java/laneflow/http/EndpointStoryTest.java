package laneflow.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Endpoint;
import laneflow.net.SchedulerHarness.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Stories of endpoints that answer too much, too late or for ever, as the operators' page has them. */
@Timeout(120)
class EndpointStoryTest {
    private static String done(String id, String result) {
        return "{'id':'" + id + "','state':'done','result':'" + result + "'}";
    }

    /** Writes the same until the other side ends it. */
    private static Thread floods(Peer call, String text) {
        Thread flood = new Thread(() -> {
            try {
                while (true) {
                    call.write(text);
                }
            } catch (IOException e) {
                // Cut off: that is what the story waits for.
            }
        });
        flood.start();
        return flood;
    }

    @Test
    void aSecondAnswerIsNotTakenForTheNextRequests() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint);
                Peer client = harness.http()) {
            client.post("basket-check", "1", "", "");
            Peer call = endpoint.accept();
            call.message();
            call.respond(done("1", "one"));
            assertTrue(client.message().endsWith("one"));
            client.post("basket-check", "2", "", "");
            assertTrue(call.message().contains("Req-Id: 2\r\n"));
            call.respond(done("1", "one")).respond(done("2", "two"));
            String answer = client.message();
            assertTrue(answer.endsWith("two"), answer);
            assertEquals(1, harness.counter("endpoint.second_answer"));
            assertEquals(1, harness.counter("endpoint.connects"));
            // Nor is it used again.
            assertTrue(call.isClosedByPeer());
        }
    }

    /** The core hears that the job is done with the first bytes of the last line, once, and of none that is whole. */
    @Test
    void anAnswerThatBeginsToComeIsTold() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint);
                Peer client = harness.http()) {
            client.post("basket-check", "1", "", "");
            Peer call = endpoint.accept();
            call.message();
            call.beginResponse("{'id':'1','state':'started'}");
            harness.awaitCounter("call.started", 1);
            assertEquals(0, harness.counter("call.answering"));
            String line = done("1", "one").replace('\'', '"') + "\n";
            call.write(Integer.toHexString(line.length()) + "\r\n" + line.substring(0, 3));
            harness.awaitCounter("call.answering", 1);
            call.write(line.substring(3, 9));
            call.write(line.substring(9) + "\r\n0\r\n\r\n");
            assertTrue(client.message().endsWith("one"));
            assertEquals(1, harness.counter("call.answering"));
            client.post("basket-check", "2", "", "");
            call.message();
            call.beginResponse("{'id':'2','state':'started'}").endResponse(done("2", "two"));
            assertTrue(client.message().endsWith("two"));
            assertEquals(1, harness.counter("call.answering"));
        }
    }

    @Test
    void aSecondAnswerOnARestingConnectionEndsItAndAThirdIsNone() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint);
                Peer client = harness.http()) {
            client.post("basket-check", "1", "", "");
            Peer call = endpoint.accept();
            call.message();
            call.respond(done("1", "one"));
            assertTrue(client.message().endsWith("one"));
            call.respond(done("1", "one"));
            assertTrue(call.isClosedByPeer());
            client.post("points-post", "2", "", "");
            Peer next = endpoint.accept();
            next.message();
            next.respond(done("2", "two"));
            assertTrue(client.message().endsWith("two"));
            client.post("basket-check", "3", "Req-Deadline-Ms: 400\r\n", "");
            assertTrue(next.message().contains("Req-Id: 3\r\n"));
            next.respond(done("2", "two")).respond(done("2", "two"));
            assertTrue(next.isClosedByPeer());
            assertTrue(client.message().startsWith("HTTP/1.1 503 "));
            assertEquals(1, harness.counter("endpoint.malformed"));
        }
    }

    private static final String RUNNING = "{\"id\":\"1\",\"state\":\"running\",\"share\":0.1}\n";
    private static final String CHUNK = Integer.toHexString(RUNNING.length()) + "\r\n" + RUNNING + "\r\n";

    @Test
    void anAnswerThatNeverEndsIsCutOffByItsClientsTime() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint);
                Peer client = harness.http()) {
            long from = System.nanoTime();
            client.post("card-capture", "1", "Req-Deadline-Ms: 400\r\n", "pay");
            Peer drops = endpoint.accept();
            drops.message();
            drops.beginResponse("{'id':'1','state':'started'}");
            Thread slow = new Thread(() -> {
                try {
                    for (; true; Thread.sleep(20)) {
                        drops.write(CHUNK);
                    }
                } catch (IOException | InterruptedException e) {
                    // Cut off: that is what the story waits for.
                }
            });
            slow.start();
            assertTrue(client.message().startsWith("HTTP/1.1 500 "));
            assertTrue(System.nanoTime() - from < 3_000_000_000L);
            slow.join();
        }
    }

    @Test
    void anAnswerWithoutEndIsCutOffByItsBytesBeforeItsLastWordAndBehindIt() throws Exception {
        for (boolean behind : new boolean[] {false, true}) {
            Endpoint endpoint = new Endpoint("e1");
            try (SchedulerHarness harness = new SchedulerHarness(null, endpoint);
                    Peer client = harness.http()) {
                client.post("card-capture", "1", "", "pay");
                Peer call = endpoint.accept();
                call.message();
                call.beginResponse(behind ? done("1", "paid") : "{'id':'1','state':'started'}");
                Thread flood = floods(call, CHUNK.repeat(1000));
                String answer = client.message();
                assertTrue(behind ? answer.endsWith("paid") : answer.startsWith("HTTP/1.1 500 "), answer);
                flood.join();
                harness.awaitCounter("endpoint.malformed", 1);
            }
        }
    }

    /** Interim answers are none: one that goes on with them is as silent as one that says nothing. */
    @Test
    void interimAnswersAreNoHead() throws Exception {
        Endpoint one = new Endpoint("e1");
        Endpoint two = new Endpoint("e2", one);
        try (SchedulerHarness harness =
                        SchedulerHarness.withSetting("'connectTimeout':1", "'connectTimeout':0.25", null, one, two);
                Peer client = harness.http()) {
            client.post("basket-check", "1", "", "");
            Peer silent = one.accept();
            silent.message();
            silent.write("HTTP/1.1 102 Processing\r\n\r\n");
            Peer again = one.accept();
            again.message();
            assertTrue(silent.isClosedByPeer());
            again.write("HTTP/1.1 100 Continue\r\n\r\n").respond(done("1", "priced"));
            assertTrue(client.message().endsWith("priced"));
            assertEquals(1, harness.counter("endpoint.silent"));
        }
    }

    /** It goes elsewhere, or its client hears at once; what comes up late never carries it. */
    @Test
    void aConnectionThatComesUpLateIsGivenUpInTimeAndCarriesNothing() throws Exception {
        Endpoint endpoint = new Endpoint("e1", 1);
        try (SchedulerHarness harness =
                        SchedulerHarness.withSetting("'connectTimeout':1", "'connectTimeout':0.25", null, endpoint);
                Peer client = harness.http()) {
            int crowd = endpoint.fillBacklog();
            long from = System.nanoTime();
            client.post("card-capture", "1", "", "pay");
            assertTrue(client.message().startsWith("HTTP/1.1 503 "));
            double took = (System.nanoTime() - from) / 1e9;
            assertTrue(took > 0.24 && took < 3, "" + took);
            assertEquals(1, harness.counter("call.connect_failed"));
            for (int i = 0; i < crowd; i++) {
                endpoint.accept();
            }
            // Whatever comes up of it carries nothing; the first that asks is the next job.
            Thread serves = new Thread(() -> {
                while (true) {
                    try (Peer call = endpoint.accept()) {
                        assertTrue(call.message().contains("Req-Id: 2\r\n"));
                        call.respond(done("2", "posted"));
                        return;
                    } catch (IOException e) {
                        // Closed with nothing said.
                    }
                }
            });
            serves.start();
            // For a while it is under suspicion.
            String answer;
            do {
                answer = client.post("points-post", "2", "", "").message();
            } while (answer.startsWith("HTTP/1.1 503 "));
            assertTrue(answer.endsWith("posted"), answer);
            serves.join();
        }
    }
}
