package laneflow.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import laneflow.core.Deadlines;
import laneflow.core.EndpointSet.Entry;
import laneflow.core.Front;
import laneflow.core.Payload;
import laneflow.core.Request;
import laneflow.decision.Dispatch.State;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Endpoint;
import laneflow.net.SchedulerHarness.Peer;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Timeout;

/**
 * Races of two events on one connection to an endpoint within one turn of the loop, on real sockets. The race is
 * forced: the loop's thread submits the request and stays in its turn until the endpoint has acted and the time-out
 * in question has passed, so that the next turn finds both events.
 */
@Timeout(60)
class EndpointRaceTest {
    private static final int CHECK = 0;
    private static final int CAPTURE = 1;
    private static final int POST = 2;
    private static final String[] CLASSES = {"basket-check", "card-capture", "points-post"};
    private static final int REPEATS = 3;
    private static final long SECOND_US = 1_000_000;
    /** Idle time after which the last byte is held back even for jobs that may run twice. */
    private static final long STALE_US = 60_000;
    /** Longer than a last byte is held back, and than an endpoint takes to receive a call. */
    private static final long HOLD_US = 5_000;

    private static final long SILENT_US = 260_000;
    /** As in the tests' settings: a retryable call without a response head is abandoned after this time. */
    private static final long CONNECT_TIMEOUT_US = SECOND_US;

    /** Records the outcomes of requests, and runs an action within the turn of the next one served. */
    private static final class RecordingFront implements Front {
        private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
        private Runnable onServed = () -> {};

        @Override
        public String name() {
            return "test";
        }

        @Override
        public void served(long tag, byte[] result) {
            Runnable action = onServed;
            onServed = () -> {};
            action.run();
            outcomes.add("served");
        }

        @Override
        public void refused(long tag, double retryAfter) {
            outcomes.add("refused");
        }

        @Override
        public void failed(long tag) {
            outcomes.add("failed");
        }

        private String nextOutcome() throws InterruptedException {
            String outcome = outcomes.poll(30, TimeUnit.SECONDS);
            return outcome == null ? "none" : outcome;
        }
    }

    private interface Action {
        void run() throws Exception;
    }

    private interface ConnectionAction {
        void run(Peer call) throws Exception;
    }

    private final RecordingFront front = new RecordingFront();

    private static String doneStatus(String id) {
        return "{'id':'" + id + "','state':'done','result':'ok'}";
    }

    /** On the loop's thread: submits a job with a body of three bytes. */
    private Request submit(SchedulerHarness harness, int jobClass, String id, long timeout) {
        Payload payload =
                new Payload("POST", "/" + CLASSES[jobClass], id, jobClass == POST ? "k" + id : null, "pay".getBytes());
        Request request =
                new Request(front, 0, payload, jobClass, harness.serve.loop().currentMicros() + timeout);
        harness.serve.scheduler().submit(request);
        return request;
    }

    /** Runs the action within one turn; its failure fails the test. */
    private static void inOneTurn(SchedulerHarness harness, Action action) throws Exception {
        Exception[] failure = new Exception[1];
        harness.serve.loop().call(() -> failure[0] = failureOf(action));
        if (failure[0] != null) {
            throw failure[0];
        }
    }

    private static Exception failureOf(Action action) {
        try {
            action.run();
            return null;
        } catch (Exception e) {
            return e;
        } catch (AssertionError e) {
            return new IllegalStateException(e);
        }
    }

    /** On any thread: waits until the clock is past the instant. */
    private static void waitUntilAfter(SchedulerHarness harness, long instant) throws InterruptedException {
        while (harness.serve.loop().currentMicros() <= instant) {
            Thread.sleep(1);
        }
    }

    /** Returns a connection to the endpoint that has served a job and is idle. */
    private Peer idleConnection(SchedulerHarness harness, Endpoint endpoint) throws Exception {
        return idleConnection(harness, endpoint, new AtomicReference<>());
    }

    private Peer idleConnection(SchedulerHarness harness, Endpoint endpoint, AtomicReference<Peer> connection)
            throws Exception {
        inOneTurn(harness, () -> submit(harness, CHECK, "first", 5 * SECOND_US));
        Peer call = endpoint.accept();
        connection.set(call);
        call.message();
        call.respond(doneStatus("first"));
        assertEquals("served", front.nextOutcome());
        return call;
    }

    /**
     * Runs the action on the loop's thread in the same turn in which a connection becomes idle, so that it can't be
     * stale.
     */
    private void whenConnectionBecomesIdle(SchedulerHarness harness, Endpoint endpoint, ConnectionAction action)
            throws Exception {
        AtomicReference<Peer> call = new AtomicReference<>();
        CompletableFuture<Exception> done = new CompletableFuture<>();
        Deadlines deadlines = harness.serve.loop().deadlines();
        Runnable atEndOfTurn = () -> done.complete(failureOf(() -> action.run(call.get())));
        front.onServed = () -> deadlines.set(deadlines.create(atEndOfTurn), 0, Long.MAX_VALUE);
        idleConnection(harness, endpoint, call);
        Exception failure = done.get();
        if (failure != null) {
            throw failure;
        }
    }

    /** Returns a connection that has been idle for so long that the last byte of any job is held back on it. */
    private Peer staleConnection(SchedulerHarness harness, Endpoint endpoint) throws Exception {
        Peer call = idleConnection(harness, endpoint);
        waitUntilAfter(harness, harness.serve.loop().currentMicros() + STALE_US);
        return call;
    }

    /** Returns the first request on any connection, and skips connections closed without one. */
    private static String firstRequest(Endpoint endpoint, Peer[] connection) throws IOException {
        while (true) {
            connection[0] = endpoint.accept();
            try {
                return connection[0].message();
            } catch (IOException e) {
                // Closed without a complete request.
            }
        }
    }

    private static Entry draining(String name) {
        Entry entry = new Entry();
        entry.name = name;
        entry.state = State.DRAINING;
        return entry;
    }

    /** On the loop's thread: announces a drain of the endpoint whose grace has already passed. */
    private static void announceOldDrain(SchedulerHarness harness, String name) {
        harness.serve
                .scheduler()
                .list(
                        harness.serve.scheduler().endpoints().get(name).connector,
                        false,
                        List.of(draining(name)),
                        harness.serve.loop().micros() - SECOND_US);
    }

    private static SchedulerHarness withoutCancel(Endpoint endpoint) throws Exception {
        return SchedulerHarness.withSetting("'cancel':true", "'cancel':false", null, endpoint);
    }

    // ---- clients that leave ----

    @RepeatedTest(REPEATS)
    void aRequestWithdrawnDuringConnectIsNotSent() throws Exception {
        for (int jobClass : new int[] {CHECK, CAPTURE, POST}) {
            Endpoint endpoint = new Endpoint("e1");
            try (SchedulerHarness harness = withoutCancel(endpoint)) {
                inOneTurn(
                        harness,
                        () -> harness.serve.scheduler().withdraw(submit(harness, jobClass, "left", SECOND_US)));
                inOneTurn(harness, () -> submit(harness, jobClass, "next", 5 * SECOND_US));
                Peer[] call = new Peer[1];
                String sent = firstRequest(endpoint, call);
                assertTrue(sent.contains("Req-Id: next\r\n"), sent);
                call[0].respond(doneStatus("next"));
                assertEquals("served", front.nextOutcome());
                assertEquals(1, harness.counter("call.moot"));
            }
        }
    }

    @RepeatedTest(REPEATS)
    void aRequestWithdrawnWhileItsLastByteIsHeldIsNotCompleted() throws Exception {
        for (int jobClass : new int[] {CHECK, POST}) {
            Endpoint endpoint = new Endpoint("e1");
            try (SchedulerHarness harness = withoutCancel(endpoint)) {
                Peer call = staleConnection(harness, endpoint);
                inOneTurn(
                        harness,
                        () -> harness.serve.scheduler().withdraw(submit(harness, jobClass, "left", SECOND_US)));
                call.readTo("\r\n\r\npa");
                assertTrue(call.isClosedByPeer());
            }
        }
    }

    /** A job that must not run twice is sent on a connection used in the same turn, with its last byte held back. */
    @RepeatedTest(REPEATS)
    void aCaptureWithdrawnWhileItsLastByteIsHeldIsNotCompleted() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = withoutCancel(endpoint)) {
            whenConnectionBecomesIdle(harness, endpoint, call -> {
                harness.serve.scheduler().withdraw(submit(harness, CAPTURE, "left", SECOND_US));
                call.readTo("\r\n\r\npa");
                assertTrue(call.isClosedByPeer());
            });
        }
    }

    /** The endpoint has the whole request and may run it, so the call continues. */
    @RepeatedTest(REPEATS)
    void aCallWithdrawnAfterItsLastByteRunsToItsEnd() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = withoutCancel(endpoint)) {
            Request[] request = new Request[1];
            inOneTurn(harness, () -> request[0] = submit(harness, CAPTURE, "left", 5 * SECOND_US));
            Peer call = endpoint.accept();
            call.message();
            inOneTurn(harness, () -> harness.serve.scheduler().withdraw(request[0]));
            call.respond(doneStatus("left"));
            harness.awaitCounter("call.ok", 1);
            assertTrue(front.outcomes.isEmpty());
        }
    }

    /**
     * During a stall of the loop a client closes and its first attempt is reset. The attempt's time-out has passed too,
     * so its connection is read before the client's. A further attempt used to be sent then.
     */
    @RepeatedTest(REPEATS)
    void aClientThatLeavesDuringAStallGetsNoFurtherAttempt() throws Exception {
        Endpoint first = new Endpoint("e1");
        Endpoint second = new Endpoint("e2");
        try (SchedulerHarness harness = new SchedulerHarness(null, first, second)) {
            inOneTurn(harness, () -> harness.serve.scheduler().ban(Set.of("e2")));
            Peer client = harness.http().post("basket-check", "1", "Req-Cost: 1500000\r\n", "");
            Peer call = first.accept();
            call.message();
            inOneTurn(harness, () -> {
                harness.serve.scheduler().ban(Set.of());
                client.close();
                call.reset();
                waitUntilAfter(harness, harness.serve.loop().currentMicros() + CONNECT_TIMEOUT_US);
            });
            harness.awaitCounter("http.withdrawn", 1);
            assertEquals(1, harness.counter("call.reset"));
            assertEquals(1, harness.counter("core.kept.left"));
            assertEquals(1, harness.counter("call.sent"));
        }
    }

    // ---- deadlines and time-outs ----

    @RepeatedTest(REPEATS)
    void theDeadlineSentIsTheTimeLeftEvenAfterALongTurn() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint)) {
            Peer call = idleConnection(harness, endpoint);
            inOneTurn(harness, () -> {
                waitUntilAfter(harness, harness.serve.loop().micros() + 300_000);
                submit(harness, CHECK, "late", 700_000);
            });
            assertTrue(deadlineMs(call.message()) <= 700);
        }
    }

    private static long deadlineMs(String message) {
        int valueStart = message.indexOf("Req-Deadline-Ms: ") + 17;
        return Long.parseLong(message.substring(valueStart, message.indexOf('\r', valueStart)));
    }

    @RepeatedTest(REPEATS)
    void aRequestPastItsDeadlineIsNotSent() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint)) {
            Peer call = idleConnection(harness, endpoint);
            inOneTurn(harness, () -> {
                // Time is left by the clock of the turn, but not by the current time.
                waitUntilAfter(harness, harness.serve.loop().micros() + 300_000);
                submit(harness, CHECK, "late", -10_000);
            });
            assertEquals("refused", front.nextOutcome());
            assertTrue(call.isClosedByPeer());
        }
    }

    /** After the hold of the last byte less than a millisecond is left, the unit of the deadline header. */
    @RepeatedTest(REPEATS)
    void aRequestWithLessTimeLeftThanTheHoldIsNotSent() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint)) {
            Peer call = staleConnection(harness, endpoint);
            inOneTurn(harness, () -> {
                waitUntilAfter(harness, harness.serve.loop().micros() + 300_000);
                submit(harness, CHECK, "late", 2_500);
            });
            assertEquals("refused", front.nextOutcome());
            assertTrue(call.isClosedByPeer());
        }
    }

    @RepeatedTest(REPEATS)
    void anAnswerThatArrivesWithTheSilenceTimeoutIsServed() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint)) {
            whenConnectionBecomesIdle(harness, endpoint, call -> {
                submit(harness, POST, "1", 5 * SECOND_US);
                answer(call);
                waitUntilAfter(harness, harness.serve.loop().currentMicros() + SILENT_US);
            });
            assertEquals("served", front.nextOutcome());
            assertEquals(0, harness.counter("endpoint.silent"));
        }
    }

    /** The time-out of the last call and the deadline pass in the turn in which the answer arrives. */
    @RepeatedTest(REPEATS)
    void anAnswerThatArrivesWithTheDeadlineIsServed() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint)) {
            whenConnectionBecomesIdle(harness, endpoint, call -> {
                Request request = submit(harness, CHECK, "1", SILENT_US / 2);
                answer(call);
                waitUntilAfter(harness, request.deadline);
            });
            assertEquals("served", front.nextOutcome());
            assertEquals(0, harness.counter("call.cancelled") + harness.counter("call.timeout"));
        }
    }

    /** A declined job has not run, so past its deadline it is refused, not failed, even if it must not run twice. */
    @RepeatedTest(REPEATS)
    void aCaptureDeclinedInTheTurnOfItsDeadlineIsRefused() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint)) {
            Request[] request = new Request[1];
            inOneTurn(harness, () -> request[0] = submit(harness, CAPTURE, "1", SILENT_US));
            Peer call = endpoint.accept();
            call.message();
            inOneTurn(harness, () -> {
                call.write("HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
                waitUntilAfter(harness, request[0].deadline);
            });
            assertEquals("refused", front.nextOutcome());
            assertEquals(1, harness.counter("call.full"));
        }
    }

    /** Reads the call at the endpoint and answers it. */
    private static void answer(Peer call) throws IOException {
        call.message();
        call.respond(doneStatus("1"));
    }

    // ---- closed connections ----

    /** The endpoint closes an idle connection just as a capture is written to it: the job has not run. */
    @RepeatedTest(REPEATS)
    void aCaptureHasNotRunIfTheEndpointClosesBeforeTheLastByte() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint)) {
            whenConnectionBecomesIdle(harness, endpoint, call -> {
                submit(harness, CAPTURE, "1", 5 * SECOND_US);
                call.readTo("\r\n\r\npa");
                call.close();
                waitUntilAfter(harness, harness.serve.loop().currentMicros() + HOLD_US);
            });
            assertEquals("refused", front.nextOutcome());
            assertEquals(0, harness.counter("call.reset"));
            assertEquals(1, harness.counter("call.moot"));
        }
    }

    /** A pooled connection that the endpoint closes in this turn is checked before it is used. */
    @RepeatedTest(REPEATS)
    void aConnectionClosedInTheSameTurnIsNotUsed() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint)) {
            Peer call = idleConnection(harness, endpoint);
            inOneTurn(harness, () -> {
                call.close();
                submit(harness, CHECK, "1", 5 * SECOND_US);
            });
            Peer next = endpoint.accept();
            assertTrue(next.message().contains("Req-Id: 1\r\n"));
            next.respond(doneStatus("1"));
            assertEquals("served", front.nextOutcome());
            assertEquals(0, harness.counter("call.reset") + harness.counter("call.moot"));
        }
    }

    @RepeatedTest(REPEATS)
    void aPartialLineBeforeACloseIsNoAnswer() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint)) {
            inOneTurn(harness, () -> submit(harness, CAPTURE, "1", 5 * SECOND_US));
            Peer call = endpoint.accept();
            call.message();
            call.write("HTTP/1.1 200 OK\r\n\r\n{\"id\":\"1\",\"state\":\"done\",\"result\":\"o");
            call.close();
            assertEquals("failed", front.nextOutcome());
            assertEquals(1, harness.counter("call.reset"));
        }
    }

    // ---- drains ----

    @RepeatedTest(REPEATS)
    void aDrainDuringConnectIsNoFailureOfTheEndpoint() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint)) {
            inOneTurn(harness, () -> {
                submit(harness, CAPTURE, "1", 5 * SECOND_US);
                announceOldDrain(harness, "e1");
            });
            assertEquals("refused", front.nextOutcome());
            assertTrue(endpoint.accept().isClosedByPeer());
            assertEquals(1, harness.counter("core.kept.drain"));
            assertEquals(1, harness.counter("call.moot"));
            assertEquals(0, harness.counter("call.connect_failed"));
        }
    }

    @RepeatedTest(REPEATS)
    void aDrainWhileTheLastByteIsHeldKeepsItBack() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint)) {
            Peer call = staleConnection(harness, endpoint);
            inOneTurn(harness, () -> {
                submit(harness, CHECK, "1", 5 * SECOND_US);
                announceOldDrain(harness, "e1");
            });
            assertThrows(IOException.class, call::message);
            assertEquals("refused", front.nextOutcome());
        }
    }

    // ---- answers to other calls ----

    @RepeatedTest(REPEATS)
    void aRepeatedAnswerToTheJobBeforeLastIsIgnored() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint)) {
            Peer call = idleConnection(harness, endpoint);
            for (String id : new String[] {"1", "2"}) {
                inOneTurn(harness, () -> submit(harness, POST, id, 5 * SECOND_US));
                call.message();
                if (id.equals("2")) {
                    call.respond(doneStatus("first"));
                }
                call.respond(doneStatus(id));
                assertEquals("served", front.nextOutcome());
            }
            assertEquals(1, harness.counter("endpoint.second_answer"));
            assertEquals(0, harness.counter("endpoint.malformed"));
        }
    }
}
