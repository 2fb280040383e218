package laneflow.gearman;

import static laneflow.gearman.Gearman.expect;
import static laneflow.gearman.Gearman.send;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Endpoint;
import laneflow.net.SchedulerHarness.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests of the Gearman front with stand-in clients and workers. */
@Timeout(30)
class GearmanStoryTest {
    /** Connects a worker with these functions that has found no job and sent PRE_SLEEP. */
    private static Peer worker(SchedulerHarness harness, String... functions) throws IOException {
        Peer worker = harness.gearman();
        for (String function : functions) {
            send(worker, Packet.CAN_DO, function);
        }
        send(worker, Packet.GRAB_JOB);
        expect(worker, Packet.NO_JOB);
        send(worker, Packet.PRE_SLEEP);
        // Packets are handled in order: after the echo the worker is listed and asleep.
        send(worker, Packet.ECHO_REQ, "there");
        assertEquals("there", expect(worker, Packet.ECHO_RES)[0]);
        return worker;
    }

    private static String[] grab(Peer worker) throws IOException {
        expect(worker, Packet.NOOP);
        send(worker, Packet.GRAB_JOB);
        return expect(worker, Packet.JOB_ASSIGN);
    }

    private static String submit(Peer client, int type, String function, String unique, String data)
            throws IOException {
        send(client, type, function, unique, data);
        return expect(client, Packet.JOB_CREATED)[0];
    }

    @Test
    void jobIsServedAndItsClientsGetStatusAndResult() throws Exception {
        try (SchedulerHarness harness = new SchedulerHarness(null);
                Peer client = harness.gearman()) {
            Peer worker = worker(harness, "check");
            String handle = submit(client, Packet.SUBMIT_JOB, "check", "u1", "basket\0of two");
            expect(worker, Packet.NOOP);
            send(worker, Packet.GRAB_JOB_UNIQ);
            assertArrayEquals(
                    new String[] {handle, "check", "u1", "basket", "of two"}, expect(worker, Packet.JOB_ASSIGN_UNIQ));
            send(worker, Packet.WORK_STATUS, handle, 1, 4);
            assertArrayEquals(new String[] {handle, "1", "4"}, expect(client, Packet.WORK_STATUS));
            send(client, Packet.GET_STATUS, handle);
            assertArrayEquals(new String[] {handle, "1", "1", "1", "4"}, expect(client, Packet.STATUS_RES));
            // A submission with the unique id of a running job joins it; both clients are answered.
            Peer other = harness.gearman();
            assertEquals(handle, submit(other, Packet.SUBMIT_JOB_HIGH, "check", "u1", "basket\0of two"));
            send(worker, Packet.WORK_DATA, handle, "pri");
            send(worker, Packet.WORK_COMPLETE, handle, "ced");
            assertArrayEquals(new String[] {handle, "priced"}, expect(client, Packet.WORK_COMPLETE));
            assertArrayEquals(new String[] {handle, "priced"}, expect(other, Packet.WORK_COMPLETE));
            assertEquals(1, harness.counter("call.sent"));
            send(client, Packet.GET_STATUS, handle);
            assertEquals("0", expect(client, Packet.STATUS_RES)[1]);
        }
    }

    @Test
    void jobOfAVanishedWorkerIsRetriedOnlyIfSafe() throws Exception {
        try (SchedulerHarness harness = new SchedulerHarness(null);
                Peer client = harness.gearman()) {
            Peer first = worker(harness, "capture", "check");
            String handle = submit(client, Packet.SUBMIT_JOB, "capture", "", "pay");
            assertEquals(handle, grab(first)[0]);
            Peer second = worker(harness, "capture", "check");
            first.reset();
            assertEquals(handle, expect(client, Packet.WORK_FAIL)[0]);
            assertEquals(1, harness.counter("call.sent"));
            // A job that is safe to retry goes to the next worker.
            String secondHandle = submit(client, Packet.SUBMIT_JOB, "check", "", "");
            assertEquals(secondHandle, grab(second)[0]);
            Peer third = worker(harness, "check");
            second.reset();
            assertEquals(secondHandle, grab(third)[0]);
            send(third, Packet.WORK_COMPLETE, secondHandle, "ok");
            expect(client, Packet.WORK_COMPLETE);
        }
    }

    @Test
    void queuedJobOfAVanishedWorkerGoesToAnother() throws Exception {
        try (SchedulerHarness harness = new SchedulerHarness(null);
                Peer client = harness.gearman()) {
            Peer first = worker(harness, "capture");
            String handle = submit(client, Packet.SUBMIT_JOB, "capture", "", "pay");
            expect(first, Packet.NOOP);
            Peer second = worker(harness, "capture");
            first.reset();
            assertEquals(handle, grab(second)[0]);
            send(second, Packet.WORK_EXCEPTION, handle, "no funds");
            send(second, Packet.WORK_FAIL, handle);
            assertEquals(handle, expect(client, Packet.WORK_FAIL)[0]);
            assertEquals(1, harness.counter("gearman.failed"));
        }
    }

    @Test
    void jobMovesFromAWorkerThatDoesNotGrabIt() throws Exception {
        try (SchedulerHarness harness = new SchedulerHarness(null);
                Peer client = harness.gearman()) {
            Peer silent = worker(harness, "slow");
            String handle = submit(client, Packet.SUBMIT_JOB, "slow", "", "pay");
            expect(silent, Packet.NOOP);
            Peer other = worker(harness, "slow");
            assertEquals(handle, grab(other)[0]);
            send(other, Packet.WORK_COMPLETE, handle, "paid");
            assertArrayEquals(new String[] {handle, "paid"}, expect(client, Packet.WORK_COMPLETE));
            assertEquals(1, harness.counter("call.connect_failed"));
        }
    }

    /** A worker's machine crashes without its connection breaking: jobs queued there must not wait for their deadline. */
    @Test
    void jobQueuedAtASilentAwakeWorkerIsReturned() throws Exception {
        try (SchedulerHarness harness = new SchedulerHarness(null);
                Peer client = harness.gearman()) {
            Peer worker = worker(harness, "capture");
            String first = submit(client, Packet.SUBMIT_JOB, "capture", "", "pay");
            assertEquals(first, grab(worker)[0]);
            send(worker, Packet.WORK_COMPLETE, first, "paid");
            expect(client, Packet.WORK_COMPLETE);
            // The worker sends nothing, neither PRE_SLEEP nor GRAB_JOB; the class deadline is 6 s.
            long startNanos = System.nanoTime();
            String second = submit(client, Packet.SUBMIT_JOB, "capture", "", "pay");
            assertEquals(second, expect(client, Packet.WORK_FAIL)[0]);
            assertTrue(System.nanoTime() - startNanos < 3_000_000_000L);
            assertEquals(1, harness.counter("call.connect_failed"));
            assertEquals(1, harness.counter("gearman.refused"));
        }
    }

    @Test
    void disconnectOfTheClientWithdrawsItsQueuedJob() throws Exception {
        try (SchedulerHarness harness = new SchedulerHarness(null)) {
            Peer worker = worker(harness, "capture");
            Peer client = harness.gearman();
            submit(client, Packet.SUBMIT_JOB, "capture", "", "pay");
            expect(worker, Packet.NOOP);
            client.close();
            harness.awaitCounter("gearman.withdrawn", 1);
            send(worker, Packet.GRAB_JOB);
            expect(worker, Packet.NO_JOB);
            // A background job remains when its client disconnects.
            Peer leaving = harness.gearman();
            send(worker, Packet.PRE_SLEEP);
            submit(leaving, Packet.SUBMIT_JOB_BG, "capture", "", "pay");
            leaving.close();
            String[] job = grab(worker);
            send(worker, Packet.WORK_COMPLETE, job[0], "");
            harness.awaitCounter("gearman.served", 1);
        }
    }

    @Test
    void jobThatIsNotGrabbedFailsAtItsDeadline() throws Exception {
        try (SchedulerHarness harness = new SchedulerHarness(null);
                Peer client = harness.gearman()) {
            Peer worker = worker(harness, "hasty");
            long startNanos = System.nanoTime();
            String handle = submit(client, Packet.SUBMIT_JOB, "hasty", "", "pay");
            assertEquals(handle, expect(client, Packet.WORK_FAIL)[0]);
            assertTrue(System.nanoTime() - startNanos < 350_000_000L);
            expect(worker, Packet.NOOP);
            send(worker, Packet.GRAB_JOB);
            expect(worker, Packet.NO_JOB);
            // The job was queued and never ran: it counts as refused, not failed.
            assertEquals(1, harness.counter("gearman.refused"));
            assertEquals(0, harness.counter("gearman.failed"));
            // Without any worker a job is refused at once.
            submit(client, Packet.SUBMIT_JOB, "check", "", "");
            expect(client, Packet.WORK_FAIL);
            assertEquals(2, harness.counter("gearman.refused"));
        }
    }

    @Test
    void drainingWorkerIsAssignedNothingAfterItsGracePeriod() throws Exception {
        try (SchedulerHarness harness = new SchedulerHarness(null);
                Peer client = harness.gearman()) {
            Peer worker = worker(harness, "capture");
            String handle = submit(client, Packet.SUBMIT_JOB, "capture", "", "pay");
            expect(worker, Packet.NOOP);
            long startNanos = System.nanoTime();
            send(worker, Packet.RESET_ABILITIES);
            // After half a second the queued job is returned unstarted, and no other worker has the function.
            assertEquals(handle, expect(client, Packet.WORK_FAIL)[0]);
            assertTrue(System.nanoTime() - startNanos > 400_000_000L);
            send(worker, Packet.GRAB_JOB);
            expect(worker, Packet.NO_JOB);
            assertEquals(1, harness.counter("call.moot"));
            // Abilities announced again within the grace period, as libraries do at every start, lose no job.
            send(worker, Packet.CAN_DO, "capture");
            send(worker, Packet.PRE_SLEEP);
            send(worker, Packet.ECHO_REQ, "");
            expect(worker, Packet.ECHO_RES);
            String next = submit(client, Packet.SUBMIT_JOB, "capture", "", "pay");
            expect(worker, Packet.NOOP);
            send(worker, Packet.RESET_ABILITIES);
            send(worker, Packet.CAN_DO_TIMEOUT, "capture", "1");
            send(worker, Packet.GRAB_JOB);
            assertEquals(next, expect(worker, Packet.JOB_ASSIGN)[0]);
            // The worker's own time limit ends the attempt, and the job may have run.
            assertEquals(next, expect(client, Packet.WORK_FAIL)[0]);
            assertEquals(1, harness.counter("call.timeout"));
        }
    }

    @Test
    void bothFrontsReachBothKindsOfEndpoints() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint);
                Peer client = harness.gearman()) {
            String handle = submit(client, Packet.SUBMIT_JOB, "post", "till-7", "points");
            Peer call = endpoint.accept();
            String sent = call.message();
            assertTrue(sent.startsWith("POST /points-post?key=") && sent.endsWith("points"), sent);
            assertTrue(sent.contains("Idempotency-Key: till-7\r\n"), sent);
            String id = sent.substring(sent.indexOf("Req-Id: ") + 8, sent.indexOf("\r\nReq-Deadline"));
            call.respond("{'id':'" + id + "','state':'done','result':'posted'}");
            assertArrayEquals(new String[] {handle, "posted"}, expect(client, Packet.WORK_COMPLETE));
        }
        try (SchedulerHarness harness = new SchedulerHarness(null);
                Peer client = harness.http()) {
            Peer worker = worker(harness, "capture");
            client.post("card-capture", "1", "", "pay");
            String[] job = grab(worker);
            assertEquals("pay", job[2]);
            send(worker, Packet.WORK_COMPLETE, job[0], "paid");
            assertTrue(client.message().endsWith("\r\n\r\npaid"));
        }
    }

    /** The packet order of libgearman's worker: GRAB_JOB_ALL comes before each PRE_SLEEP. */
    @Test
    void libgearmanWorkerIsServed() throws Exception {
        try (SchedulerHarness harness = new SchedulerHarness(null);
                Peer client = harness.gearman();
                Peer worker = harness.gearman()) {
            send(worker, Packet.CAN_DO, "check");
            send(worker, Packet.CAN_DO, "post");
            send(worker, Packet.CAN_DO, "check");
            for (int i = 0; i < 2; i++) {
                send(worker, Packet.GRAB_JOB_ALL);
                expect(worker, Packet.NO_JOB);
                send(worker, Packet.PRE_SLEEP);
                String unique = i == 0 ? "u1" : "";
                String handle = submit(client, Packet.SUBMIT_JOB, i == 0 ? "check" : "post", unique, "a\0b");
                expect(worker, Packet.NOOP);
                // PRE_SLEEP again before it grabs: the worker gets another NOOP, since a job is queued for it.
                send(worker, Packet.PRE_SLEEP);
                expect(worker, Packet.NOOP);
                send(worker, Packet.GRAB_JOB_ALL);
                assertArrayEquals(
                        new String[] {handle, i == 0 ? "check" : "post", unique, "", "a", "b"},
                        expect(worker, Packet.JOB_ASSIGN_ALL));
                send(worker, Packet.WORK_COMPLETE, handle, "done");
                assertArrayEquals(new String[] {handle, "done"}, expect(client, Packet.WORK_COMPLETE));
            }
            assertEquals(0, harness.counter("gearman.unsupported"));
        }
    }

    /** The same sequence of events over either front: the counters of outcomes and rules must be equal. */
    @Test
    void sameEventsOverBothFrontsGiveTheSameCounts() throws Exception {
        List<List<Long>> counts = new ArrayList<>();
        for (boolean gearman : new boolean[] {true, false}) {
            String front = gearman ? "gearman" : "http";
            try (SchedulerHarness harness = new SchedulerHarness(null)) {
                Peer abandoned = submitOver(harness, gearman, "check", "basket-check");
                abandoned.close();
                Peer worker = worker(harness, "check", "capture", "post");
                Peer served = submitOver(harness, gearman, "capture", "card-capture");
                send(worker, Packet.WORK_COMPLETE, grab(worker)[0], "");
                harness.awaitCounter(front + ".served", 1);
                send(worker, Packet.PRE_SLEEP);
                Peer failed = submitOver(harness, gearman, "post", "points-post");
                send(worker, Packet.WORK_FAIL, grab(worker)[0]);
                harness.awaitCounter("call.error", 1);
                Peer other = worker(harness, "capture");
                Peer withdrawn = submitOver(harness, gearman, "capture", "card-capture");
                expect(other, Packet.NOOP);
                withdrawn.close();
                harness.awaitCounter(front + ".withdrawn", 1);
                Peer lost = submitOver(harness, gearman, "capture", "card-capture");
                send(other, Packet.GRAB_JOB);
                expect(other, Packet.JOB_ASSIGN);
                other.reset();
                harness.awaitCounter("call.reset", 1);
                List<Long> frontCounts = new ArrayList<>();
                for (String name : new String[] {"taken", "served", "refused", "failed", "withdrawn"}) {
                    frontCounts.add(harness.counter(front + "." + name));
                }
                for (String name : new String[] {
                    "call.sent",
                    "call.ok",
                    "call.error",
                    "call.reset",
                    "call.moot",
                    "call.cancelled",
                    "call.timeout",
                    "core.kept.drain",
                    "core.kept.effect",
                    "core.kept.second_call",
                    "core.kept.refusal",
                    "core.kept.spent",
                    "core.overdue"
                }) {
                    frontCounts.add(harness.counter(name));
                }
                counts.add(frontCounts);
                served.close();
                failed.close();
                lost.close();
            }
        }
        assertEquals(List.of(5L, 1L, 2L, 1L, 1L, 4L, 1L, 1L, 1L, 1L, 0L, 0L, 0L, 0L, 0L, 0L, 0L, 0L), counts.get(0));
        assertEquals(counts.get(0), counts.get(1));
    }

    private static Peer submitOver(SchedulerHarness harness, boolean gearman, String function, String jobClass)
            throws Exception {
        Peer client = gearman ? harness.gearman() : harness.http();
        if (gearman) {
            submit(client, Packet.SUBMIT_JOB, function, "", "");
        } else {
            long before = harness.counter("http.taken");
            client.post(jobClass, "r" + before, "", "");
            harness.awaitCounter("http.taken", before + 1);
        }
        return client;
    }

    /** Guards against a job that its client has left amid its run, and that runs again under the same name. */
    @Test
    void aJobThatItsClientHasLeftDoesNotRunAgain() throws Exception {
        try (SchedulerHarness harness = new SchedulerHarness(null)) {
            Peer worker = worker(harness, "capture");
            Peer leaving = harness.gearman();
            submit(leaving, Packet.SUBMIT_JOB, "capture", "u1", "x");
            grab(worker);
            leaving.close();
            harness.awaitCounter("gearman.withdrawn", 1);
            Peer again = harness.gearman();
            send(again, Packet.SUBMIT_JOB, "capture", "u1", "x");
            assertEquals("DUPLICATE_UNIQUE", expect(again, Packet.ERROR)[0]);
            // A name whose job was answered may be used again.
            Peer other = worker(harness, "capture");
            for (int i = 0; i < 2; i++) {
                submit(again, Packet.SUBMIT_JOB, "capture", "u2", "x");
                send(other, Packet.WORK_COMPLETE, grab(other)[0], "done");
                expect(again, Packet.WORK_COMPLETE);
                send(other, Packet.PRE_SLEEP);
            }
        }
    }

    @Test
    void unsupportedPacketsGetAnErrorAndMalformedOnesEndTheConnection() throws Exception {
        try (SchedulerHarness harness = new SchedulerHarness(null);
                Peer client = harness.gearman()) {
            send(client, 36, "check\0u\0" + 1 + "\0x");
            assertEquals("NOT_DURABLE", expect(client, Packet.ERROR)[0]);
            send(client, Packet.SUBMIT_JOB, "nothing", "", "");
            assertEquals("UNKNOWN_FUNCTION", expect(client, Packet.ERROR)[0]);
            send(client, Packet.SUBMIT_JOB, "check", "", "x".repeat((1 << 20) + 1));
            assertEquals("TOO_LARGE", expect(client, Packet.ERROR)[0]);
            send(client, Packet.WORK_COMPLETE, "H:x:1", "");
            assertEquals("JOB_NOT_FOUND", expect(client, Packet.ERROR)[0]);
            send(client, Packet.OPTION_REQ, "exceptions");
            assertEquals("exceptions", expect(client, Packet.OPTION_RES)[0]);
            Peer worker = worker(harness, "check");
            send(worker, Packet.SET_CLIENT_ID, "till 4");
            // A packet that arrives in two pieces.
            byte[] bytes = Packet.encode(Packet.REQUEST_MAGIC, Packet.SUBMIT_JOB, "check", "", "");
            client.write(new String(bytes, 0, 5, StandardCharsets.ISO_8859_1));
            send(worker, Packet.ECHO_REQ, "");
            expect(worker, Packet.ECHO_RES);
            client.write(new String(bytes, 5, bytes.length - 5, StandardCharsets.ISO_8859_1));
            String handle = expect(client, Packet.JOB_CREATED)[0];
            assertEquals(
                    "capture\t0\t0\t0\ncheck\t1\t0\t1\nhasty\t0\t0\t0\npost\t0\t0\t0\nslow\t0\t0\t0\n.\n",
                    harness.gearman().write("status\n").readTo(".\n"));
            assertTrue(harness.gearman().write("workers\n").readTo(".\n").contains(" till_4 : check\n"));
            assertTrue(harness.gearman().write("version\n").readTo("\n").startsWith("OK "));
            assertTrue(harness.gearman().write("shutdown\n").readTo("\n").startsWith("ERR "));
            expect(worker, Packet.NOOP);
            send(worker, Packet.GRAB_JOB);
            assertEquals(handle, expect(worker, Packet.JOB_ASSIGN)[0]);
            client.write("\0XYZ12345678");
            assertEquals("MALFORMED", expect(client, Packet.ERROR)[0]);
            assertTrue(client.isClosedByPeer());
            harness.awaitCounter("gearman.withdrawn", 1);
        }
    }

    @Test
    void connectionWithoutACompletePacketIsClosedAndASilentWorkerIsNot() throws Exception {
        try (SchedulerHarness harness = new SchedulerHarness(null);
                Peer silent = harness.gearman();
                Peer incomplete = harness.gearman()) {
            Peer worker = worker(harness, "check");
            incomplete.write(new byte[] {0, 'R', 'E', 'Q', 0});
            assertTrue(silent.isClosedByPeer());
            assertTrue(incomplete.isClosedByPeer());
            assertEquals(2, harness.counter("gearman.slow_packet"));
            String handle = submit(harness.gearman(), Packet.SUBMIT_JOB, "check", "", "");
            assertEquals(handle, grab(worker)[0]);
        }
    }

    /** Of many workers of one class only those with the job's function are woken and sent the job. */
    @Test
    void jobIsSentOnlyToAWorkerThatHasItsFunction() throws Exception {
        int count = 30;
        try (SchedulerHarness harness =
                SchedulerHarness.withGearman("listen = '127.0.0.1:0'\nunmapped_class = 'basket-check'\n")) {
            Peer[] workers = new Peer[count];
            for (int i = 0; i < count; i++) {
                workers[i] = worker(harness, "f" + i, "g" + i);
                send(workers[i], Packet.ECHO_REQ, "");
                expect(workers[i], Packet.ECHO_RES);
            }
            Peer client = harness.gearman();
            for (int i = 0; i < count; i++) {
                String handle = submit(client, Packet.SUBMIT_JOB, (i % 2 == 0 ? "f" : "g") + i, "", "x");
                assertEquals(handle, grab(workers[i])[0]);
                send(workers[i], Packet.WORK_COMPLETE, handle, "r");
                expect(client, Packet.WORK_COMPLETE);
            }
            assertEquals(count, harness.counter("call.sent"));
            assertEquals(0, harness.counter("call.moot"));
            // After CANT_DO the worker is not used; a function without a worker is refused at once and sent nowhere.
            send(workers[3], Packet.CANT_DO, "g3");
            send(workers[3], Packet.ECHO_REQ, "");
            expect(workers[3], Packet.ECHO_RES);
            String handle = submit(client, Packet.SUBMIT_JOB, "g3", "", "x");
            assertEquals(handle, expect(client, Packet.WORK_FAIL)[0]);
            assertEquals(count, harness.counter("call.sent"));
            // An HTTP client's job names no function: any worker of its class may run it.
            Peer http = harness.http().post("basket-check", "1", "", "x");
            harness.awaitCounter("call.sent", count + 1);
            http.close();
        }
    }
}
