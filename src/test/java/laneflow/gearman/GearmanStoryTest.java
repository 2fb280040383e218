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
import laneflow.net.Stand;
import laneflow.net.Stand.Endpoint;
import laneflow.net.Stand.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests of the Gearman front with stand-in clients and workers. */
@Timeout(30)
class GearmanStoryTest {
    /** Connects a worker with these functions that has found no job and sent PRE_SLEEP. */
    private static Peer worker(Stand stand, String... functions) throws IOException {
        Peer worker = stand.gearman();
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
        try (Stand stand = new Stand(null);
                Peer client = stand.gearman()) {
            Peer worker = worker(stand, "check");
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
            Peer other = stand.gearman();
            assertEquals(handle, submit(other, Packet.SUBMIT_JOB_HIGH, "check", "u1", "basket\0of two"));
            send(worker, Packet.WORK_DATA, handle, "pri");
            send(worker, Packet.WORK_COMPLETE, handle, "ced");
            assertArrayEquals(new String[] {handle, "priced"}, expect(client, Packet.WORK_COMPLETE));
            assertArrayEquals(new String[] {handle, "priced"}, expect(other, Packet.WORK_COMPLETE));
            assertEquals(1, stand.counter("call.sent"));
            send(client, Packet.GET_STATUS, handle);
            assertEquals("0", expect(client, Packet.STATUS_RES)[1]);
        }
    }

    @Test
    void jobOfAVanishedWorkerIsRetriedOnlyIfSafe() throws Exception {
        try (Stand stand = new Stand(null);
                Peer client = stand.gearman()) {
            Peer first = worker(stand, "capture", "check");
            String handle = submit(client, Packet.SUBMIT_JOB, "capture", "", "pay");
            assertEquals(handle, grab(first)[0]);
            Peer second = worker(stand, "capture", "check");
            first.reset();
            assertEquals(handle, expect(client, Packet.WORK_FAIL)[0]);
            assertEquals(1, stand.counter("call.sent"));
            // A job that is safe to retry goes to the next worker.
            String secondHandle = submit(client, Packet.SUBMIT_JOB, "check", "", "");
            assertEquals(secondHandle, grab(second)[0]);
            Peer third = worker(stand, "check");
            second.reset();
            assertEquals(secondHandle, grab(third)[0]);
            send(third, Packet.WORK_COMPLETE, secondHandle, "ok");
            expect(client, Packet.WORK_COMPLETE);
        }
    }

    @Test
    void queuedJobOfAVanishedWorkerGoesToAnother() throws Exception {
        try (Stand stand = new Stand(null);
                Peer client = stand.gearman()) {
            Peer first = worker(stand, "capture");
            String handle = submit(client, Packet.SUBMIT_JOB, "capture", "", "pay");
            expect(first, Packet.NOOP);
            Peer second = worker(stand, "capture");
            first.reset();
            assertEquals(handle, grab(second)[0]);
            send(second, Packet.WORK_EXCEPTION, handle, "no funds");
            send(second, Packet.WORK_FAIL, handle);
            assertEquals(handle, expect(client, Packet.WORK_FAIL)[0]);
            assertEquals(1, stand.counter("gearman.failed"));
        }
    }

    @Test
    void jobMovesFromAWorkerThatDoesNotGrabIt() throws Exception {
        try (Stand stand = new Stand(null);
                Peer client = stand.gearman()) {
            Peer silent = worker(stand, "slow");
            String handle = submit(client, Packet.SUBMIT_JOB, "slow", "", "pay");
            expect(silent, Packet.NOOP);
            Peer other = worker(stand, "slow");
            assertEquals(handle, grab(other)[0]);
            send(other, Packet.WORK_COMPLETE, handle, "paid");
            assertArrayEquals(new String[] {handle, "paid"}, expect(client, Packet.WORK_COMPLETE));
            assertEquals(1, stand.counter("call.connect_failed"));
        }
    }

    /** A worker's machine crashes without its connection breaking: jobs queued there must not wait for their deadline. */
    @Test
    void jobQueuedAtASilentAwakeWorkerIsReturned() throws Exception {
        try (Stand stand = new Stand(null);
                Peer client = stand.gearman()) {
            Peer worker = worker(stand, "capture");
            String first = submit(client, Packet.SUBMIT_JOB, "capture", "", "pay");
            assertEquals(first, grab(worker)[0]);
            send(worker, Packet.WORK_COMPLETE, first, "paid");
            expect(client, Packet.WORK_COMPLETE);
            // The worker sends nothing, neither PRE_SLEEP nor GRAB_JOB; the class deadline is 6 s.
            long startNanos = System.nanoTime();
            String second = submit(client, Packet.SUBMIT_JOB, "capture", "", "pay");
            assertEquals(second, expect(client, Packet.WORK_FAIL)[0]);
            assertTrue(System.nanoTime() - startNanos < 3_000_000_000L);
            assertEquals(1, stand.counter("call.connect_failed"));
            assertEquals(1, stand.counter("gearman.refused"));
        }
    }

    @Test
    void disconnectOfTheClientWithdrawsItsQueuedJob() throws Exception {
        try (Stand stand = new Stand(null)) {
            Peer worker = worker(stand, "capture");
            Peer client = stand.gearman();
            submit(client, Packet.SUBMIT_JOB, "capture", "", "pay");
            expect(worker, Packet.NOOP);
            client.close();
            stand.await("gearman.withdrawn", 1);
            send(worker, Packet.GRAB_JOB);
            expect(worker, Packet.NO_JOB);
            // A background job remains when its client disconnects.
            Peer leaving = stand.gearman();
            send(worker, Packet.PRE_SLEEP);
            submit(leaving, Packet.SUBMIT_JOB_BG, "capture", "", "pay");
            leaving.close();
            String[] job = grab(worker);
            send(worker, Packet.WORK_COMPLETE, job[0], "");
            stand.await("gearman.served", 1);
        }
    }

    @Test
    void jobThatIsNotGrabbedFailsAtItsDeadline() throws Exception {
        try (Stand stand = new Stand(null);
                Peer client = stand.gearman()) {
            Peer worker = worker(stand, "hasty");
            long startNanos = System.nanoTime();
            String handle = submit(client, Packet.SUBMIT_JOB, "hasty", "", "pay");
            assertEquals(handle, expect(client, Packet.WORK_FAIL)[0]);
            assertTrue(System.nanoTime() - startNanos < 350_000_000L);
            expect(worker, Packet.NOOP);
            send(worker, Packet.GRAB_JOB);
            expect(worker, Packet.NO_JOB);
            // The job was queued and never ran: it counts as refused, not failed.
            assertEquals(1, stand.counter("gearman.refused"));
            assertEquals(0, stand.counter("gearman.failed"));
            // Without any worker a job is refused at once.
            submit(client, Packet.SUBMIT_JOB, "check", "", "");
            expect(client, Packet.WORK_FAIL);
            assertEquals(2, stand.counter("gearman.refused"));
        }
    }

    @Test
    void drainingWorkerIsAssignedNothingAfterItsGracePeriod() throws Exception {
        try (Stand stand = new Stand(null);
                Peer client = stand.gearman()) {
            Peer worker = worker(stand, "capture");
            String handle = submit(client, Packet.SUBMIT_JOB, "capture", "", "pay");
            expect(worker, Packet.NOOP);
            long startNanos = System.nanoTime();
            send(worker, Packet.RESET_ABILITIES);
            // After half a second the queued job is returned unstarted, and no other worker has the function.
            assertEquals(handle, expect(client, Packet.WORK_FAIL)[0]);
            assertTrue(System.nanoTime() - startNanos > 400_000_000L);
            send(worker, Packet.GRAB_JOB);
            expect(worker, Packet.NO_JOB);
            assertEquals(1, stand.counter("call.moot"));
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
            assertEquals(1, stand.counter("call.timeout"));
        }
    }

    @Test
    void bothFrontsReachBothKindsOfEndpoints() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (Stand stand = new Stand(null, endpoint);
                Peer client = stand.gearman()) {
            String handle = submit(client, Packet.SUBMIT_JOB, "post", "till-7", "points");
            Peer call = endpoint.accept();
            String sent = call.message();
            assertTrue(sent.startsWith("POST /points-post?key=") && sent.endsWith("points"), sent);
            assertTrue(sent.contains("Idempotency-Key: till-7\r\n"), sent);
            String id = sent.substring(sent.indexOf("Req-Id: ") + 8, sent.indexOf("\r\nReq-Deadline"));
            call.says("{'id':'" + id + "','state':'done','result':'posted'}");
            assertArrayEquals(new String[] {handle, "posted"}, expect(client, Packet.WORK_COMPLETE));
        }
        try (Stand stand = new Stand(null);
                Peer client = stand.http()) {
            Peer worker = worker(stand, "capture");
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
        try (Stand stand = new Stand(null);
                Peer client = stand.gearman();
                Peer worker = stand.gearman()) {
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
            assertEquals(0, stand.counter("gearman.unsupported"));
        }
    }

    /** The same sequence of events over either front: the counters of outcomes and rules must be equal. */
    @Test
    void sameEventsOverBothFrontsGiveTheSameCounts() throws Exception {
        List<List<Long>> counts = new ArrayList<>();
        for (boolean gearman : new boolean[] {true, false}) {
            String front = gearman ? "gearman" : "http";
            try (Stand stand = new Stand(null)) {
                Peer abandoned = submitOver(stand, gearman, "check", "basket-check");
                abandoned.close();
                Peer worker = worker(stand, "check", "capture", "post");
                Peer served = submitOver(stand, gearman, "capture", "card-capture");
                send(worker, Packet.WORK_COMPLETE, grab(worker)[0], "");
                stand.await(front + ".served", 1);
                send(worker, Packet.PRE_SLEEP);
                Peer failed = submitOver(stand, gearman, "post", "points-post");
                send(worker, Packet.WORK_FAIL, grab(worker)[0]);
                stand.await("call.error", 1);
                Peer other = worker(stand, "capture");
                Peer withdrawn = submitOver(stand, gearman, "capture", "card-capture");
                expect(other, Packet.NOOP);
                withdrawn.close();
                stand.await(front + ".withdrawn", 1);
                Peer lost = submitOver(stand, gearman, "capture", "card-capture");
                send(other, Packet.GRAB_JOB);
                expect(other, Packet.JOB_ASSIGN);
                other.reset();
                stand.await("call.reset", 1);
                List<Long> frontCounts = new ArrayList<>();
                for (String name : new String[] {"taken", "served", "refused", "failed", "withdrawn"}) {
                    frontCounts.add(stand.counter(front + "." + name));
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
                    frontCounts.add(stand.counter(name));
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

    private static Peer submitOver(Stand stand, boolean gearman, String function, String jobClass) throws Exception {
        Peer client = gearman ? stand.gearman() : stand.http();
        if (gearman) {
            submit(client, Packet.SUBMIT_JOB, function, "", "");
        } else {
            long before = stand.counter("http.taken");
            client.post(jobClass, "1", "", "");
            stand.await("http.taken", before + 1);
        }
        return client;
    }

    @Test
    void unsupportedPacketsGetAnErrorAndMalformedOnesEndTheConnection() throws Exception {
        try (Stand stand = new Stand(null);
                Peer client = stand.gearman()) {
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
            Peer worker = worker(stand, "check");
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
                    stand.gearman().write("status\n").readTo(".\n"));
            assertTrue(stand.gearman().write("workers\n").readTo(".\n").contains(" till_4 : check\n"));
            assertTrue(stand.gearman().write("version\n").readTo("\n").startsWith("OK "));
            assertTrue(stand.gearman().write("shutdown\n").readTo("\n").startsWith("ERR "));
            expect(worker, Packet.NOOP);
            send(worker, Packet.GRAB_JOB);
            assertEquals(handle, expect(worker, Packet.JOB_ASSIGN)[0]);
            client.write("\0XYZ12345678");
            assertEquals("MALFORMED", expect(client, Packet.ERROR)[0]);
            assertTrue(client.ended());
            stand.await("gearman.withdrawn", 1);
        }
    }

    @Test
    void connectionWithoutACompletePacketIsClosedAndASilentWorkerIsNot() throws Exception {
        try (Stand stand = new Stand(null);
                Peer silent = stand.gearman();
                Peer incomplete = stand.gearman()) {
            Peer worker = worker(stand, "check");
            incomplete.write(new byte[] {0, 'R', 'E', 'Q', 0});
            assertTrue(silent.ended());
            assertTrue(incomplete.ended());
            assertEquals(2, stand.counter("gearman.slow_packet"));
            String handle = submit(stand.gearman(), Packet.SUBMIT_JOB, "check", "", "");
            assertEquals(handle, grab(worker)[0]);
        }
    }

    /** Of many workers of one class only those with the job's function are woken and sent the job. */
    @Test
    void jobIsSentOnlyToAWorkerThatHasItsFunction() throws Exception {
        int count = 30;
        try (Stand stand = Stand.gearman("listen = '127.0.0.1:0'\nunmapped_class = 'basket-check'\n")) {
            Peer[] workers = new Peer[count];
            for (int i = 0; i < count; i++) {
                workers[i] = worker(stand, "f" + i, "g" + i);
                send(workers[i], Packet.ECHO_REQ, "");
                expect(workers[i], Packet.ECHO_RES);
            }
            Peer client = stand.gearman();
            for (int i = 0; i < count; i++) {
                String handle = submit(client, Packet.SUBMIT_JOB, (i % 2 == 0 ? "f" : "g") + i, "", "x");
                assertEquals(handle, grab(workers[i])[0]);
                send(workers[i], Packet.WORK_COMPLETE, handle, "r");
                expect(client, Packet.WORK_COMPLETE);
            }
            assertEquals(count, stand.counter("call.sent"));
            assertEquals(0, stand.counter("call.moot"));
            // After CANT_DO the worker is not used; a function without a worker is refused at once and sent nowhere.
            send(workers[3], Packet.CANT_DO, "g3");
            send(workers[3], Packet.ECHO_REQ, "");
            expect(workers[3], Packet.ECHO_RES);
            String handle = submit(client, Packet.SUBMIT_JOB, "g3", "", "x");
            assertEquals(handle, expect(client, Packet.WORK_FAIL)[0]);
            assertEquals(count, stand.counter("call.sent"));
            // An HTTP client's job names no function: any worker of its class may run it.
            Peer http = stand.http().post("basket-check", "1", "", "x");
            stand.await("call.sent", count + 1);
            http.close();
        }
    }
}
