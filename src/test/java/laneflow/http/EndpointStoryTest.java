package laneflow.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Endpoint;
import laneflow.net.SchedulerHarness.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Endpoints that answer twice, too late or without end, as the operators' page describes them. */
@Timeout(120)
class EndpointStoryTest {
    private static String doneStatus(String id, String result) {
        return "{'id':'" + id + "','state':'done','result':'" + result + "'}";
    }

    /** Writes the text repeatedly until the scheduler closes the connection. */
    private static Thread startFlood(Peer call, String text) {
        Thread flood = new Thread(() -> {
            try {
                while (true) {
                    call.write(text);
                }
            } catch (IOException e) {
                // The expected close.
            }
        });
        flood.start();
        return flood;
    }

    @Test
    void aRepeatedAnswerIsNotTakenForTheNextRequests() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint);
                Peer client = harness.http()) {
            client.post("basket-check", "1", "", "");
            Peer call = endpoint.accept();
            call.message();
            call.respond(doneStatus("1", "one"));
            assertTrue(client.message().endsWith("one"));
            client.post("basket-check", "2", "", "");
            assertTrue(call.message().contains("Req-Id: 2\r\n"));
            call.respond(doneStatus("1", "one")).respond(doneStatus("2", "two"));
            String answer = client.message();
            assertTrue(answer.endsWith("two"), answer);
            assertEquals(1, harness.counter("endpoint.second_answer"));
            assertEquals(1, harness.counter("endpoint.connects"));
            // The connection is not used again.
            assertTrue(call.isClosedByPeer());
        }
    }

    /** The scheduler learns of a result from the first bytes of its line, once, and not from a line read as a whole. */
    @Test
    void theFirstBytesOfAResultAreReported() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint);
                Peer client = harness.http()) {
            client.post("basket-check", "1", "", "");
            Peer call = endpoint.accept();
            call.message();
            call.beginResponse("{'id':'1','state':'started'}");
            harness.awaitCounter("call.started", 1);
            assertEquals(0, harness.counter("call.answering"));
            String line = doneStatus("1", "one").replace('\'', '"') + "\n";
            call.write(Integer.toHexString(line.length()) + "\r\n" + line.substring(0, 3));
            harness.awaitCounter("call.answering", 1);
            call.write(line.substring(3, 9));
            call.write(line.substring(9) + "\r\n0\r\n\r\n");
            assertTrue(client.message().endsWith("one"));
            assertEquals(1, harness.counter("call.answering"));
            client.post("basket-check", "2", "", "");
            call.message();
            call.beginResponse("{'id':'2','state':'started'}").endResponse(doneStatus("2", "two"));
            assertTrue(client.message().endsWith("two"));
            assertEquals(1, harness.counter("call.answering"));
        }
    }

    @Test
    void aRepeatedAnswerClosesAnIdleConnectionAndTwoAreMalformed() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint);
                Peer client = harness.http()) {
            client.post("basket-check", "1", "", "");
            Peer call = endpoint.accept();
            call.message();
            call.respond(doneStatus("1", "one"));
            assertTrue(client.message().endsWith("one"));
            call.respond(doneStatus("1", "one"));
            assertTrue(call.isClosedByPeer());
            client.post("points-post", "2", "", "");
            Peer next = endpoint.accept();
            next.message();
            next.respond(doneStatus("2", "two"));
            assertTrue(client.message().endsWith("two"));
            client.post("basket-check", "3", "Req-Deadline-Ms: 400\r\n", "");
            assertTrue(next.message().contains("Req-Id: 3\r\n"));
            next.respond(doneStatus("2", "two")).respond(doneStatus("2", "two"));
            assertTrue(next.isClosedByPeer());
            assertTrue(client.message().startsWith("HTTP/1.1 503 "));
            assertEquals(1, harness.counter("endpoint.malformed"));
        }
    }

    private static final String RUNNING = "{\"id\":\"1\",\"state\":\"running\",\"share\":0.1}\n";
    private static final String CHUNK = Integer.toHexString(RUNNING.length()) + "\r\n" + RUNNING + "\r\n";

    @Test
    void anEndlessSlowResponseIsCutOffAtTheDeadline() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint);
                Peer client = harness.http()) {
            long startedAt = System.nanoTime();
            client.post("card-capture", "1", "Req-Deadline-Ms: 400\r\n", "pay");
            Peer slowCall = endpoint.accept();
            slowCall.message();
            slowCall.beginResponse("{'id':'1','state':'started'}");
            Thread slowWriter = new Thread(() -> {
                try {
                    for (; true; Thread.sleep(20)) {
                        slowCall.write(CHUNK);
                    }
                } catch (IOException | InterruptedException e) {
                    // The expected close.
                }
            });
            slowWriter.start();
            assertTrue(client.message().startsWith("HTTP/1.1 500 "));
            assertTrue(System.nanoTime() - startedAt < 3_000_000_000L);
            slowWriter.join();
        }
    }

    @Test
    void anEndlessResponseIsCutOffByLengthBeforeAndAfterItsOutcome() throws Exception {
        for (boolean afterOutcome : new boolean[] {false, true}) {
            Endpoint endpoint = new Endpoint("e1");
            try (SchedulerHarness harness = new SchedulerHarness(null, endpoint);
                    Peer client = harness.http()) {
                client.post("card-capture", "1", "", "pay");
                Peer call = endpoint.accept();
                call.message();
                call.beginResponse(afterOutcome ? doneStatus("1", "paid") : "{'id':'1','state':'started'}");
                Thread flood = startFlood(call, CHUNK.repeat(1000));
                String answer = client.message();
                assertTrue(afterOutcome ? answer.endsWith("paid") : answer.startsWith("HTTP/1.1 500 "), answer);
                flood.join();
                harness.awaitCounter("endpoint.malformed", 1);
            }
        }
    }

    /** Interim responses do not count: an endpoint that sends only those is as silent as one that sends nothing. */
    @Test
    void interimResponsesAreNoHead() throws Exception {
        Endpoint endpoint1 = new Endpoint("e1");
        Endpoint endpoint2 = new Endpoint("e2", endpoint1);
        try (SchedulerHarness harness = SchedulerHarness.withSetting(
                        "'connectTimeout':1", "'connectTimeout':0.25", null, endpoint1, endpoint2);
                Peer client = harness.http()) {
            client.post("basket-check", "1", "", "");
            Peer silent = endpoint1.accept();
            silent.message();
            silent.write("HTTP/1.1 102 Processing\r\n\r\n");
            Peer retry = endpoint1.accept();
            retry.message();
            assertTrue(silent.isClosedByPeer());
            retry.write("HTTP/1.1 100 Continue\r\n\r\n").respond(doneStatus("1", "priced"));
            assertTrue(client.message().endsWith("priced"));
            assertEquals(1, harness.counter("endpoint.silent"));
        }
    }

    /** The request is retried or refused at once; the connection that opens late does not carry it. */
    @Test
    void aConnectionThatOpensTooLateIsAbandonedAndCarriesNothing() throws Exception {
        Endpoint endpoint = new Endpoint("e1", 1);
        try (SchedulerHarness harness =
                        SchedulerHarness.withSetting("'connectTimeout':1", "'connectTimeout':0.25", null, endpoint);
                Peer client = harness.http()) {
            int crowd = endpoint.fillBacklog();
            long startedAt = System.nanoTime();
            client.post("card-capture", "1", "", "pay");
            assertTrue(client.message().startsWith("HTTP/1.1 503 "));
            double seconds = (System.nanoTime() - startedAt) / 1e9;
            assertTrue(seconds > 0.24 && seconds < 3, "" + seconds);
            assertEquals(1, harness.counter("call.connect_failed"));
            for (int i = 0; i < crowd; i++) {
                endpoint.accept();
            }
            // The late connection carries nothing; the first request is the next job.
            Thread server = new Thread(() -> {
                while (true) {
                    try (Peer call = endpoint.accept()) {
                        assertTrue(call.message().contains("Req-Id: 2\r\n"));
                        call.respond(doneStatus("2", "posted"));
                        return;
                    } catch (IOException e) {
                        // Closed without a request.
                    }
                }
            });
            server.start();
            // The endpoint counts as suspect for a while.
            String answer;
            do {
                answer = client.post("points-post", "2", "", "").message();
            } while (answer.startsWith("HTTP/1.1 503 "));
            assertTrue(answer.endsWith("posted"), answer);
            server.join();
        }
    }
}
