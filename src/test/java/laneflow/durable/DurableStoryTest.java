package laneflow.durable;

import static laneflow.gearman.Gearman.expect;
import static laneflow.gearman.Gearman.grab;
import static laneflow.gearman.Gearman.preSleep;
import static laneflow.gearman.Gearman.send;
import static laneflow.gearman.Gearman.submitBackground;
import static laneflow.gearman.Gearman.worker;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import laneflow.gearman.Gearman;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Endpoint;
import laneflow.net.SchedulerHarness.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** End-to-end tests of durable jobs: each causes one failure and checks the state of the job afterwards. */
@Timeout(300)
class DurableStoryTest {
    /** Leases of 500 ms for all classes. */
    private static final String SHORT_LEASES = "[classes.basket-check]\nlease_ms = 500\n[classes.card-capture]\n"
            + "lease_ms = 500\n[classes.points-post]\nlease_ms = 500\n";

    @TempDir
    private Path folder;

    private static String id(String handle) {
        return handle.substring("H:laneflow:d".length());
    }

    private static String get(Peer http, String path) throws IOException {
        return http.write("GET " + path + " HTTP/1.1\r\nHost: o\r\n\r\n").message();
    }

    /** Polls until the job is in this state, and returns the last response. */
    private static String awaitState(Peer http, String id, String state) throws IOException {
        String response = "";
        long deadlineNs = System.nanoTime() + 60_000_000_000L;
        while (!response.contains("\"state\":\"" + state + "\"")) {
            assertTrue(System.nanoTime() < deadlineNs, response);
            response = get(http, "/jobs/" + id);
        }
        return response;
    }

    private static Peer submitAsync(Peer http, String jobClass, String key, String body) throws IOException {
        return http.post(
                jobClass,
                "r" + System.nanoTime(),
                "Prefer: wait=1, respond-async\r\n" + (key.isEmpty() ? "" : "Idempotency-Key: " + key + "\r\n"),
                body);
    }

    private static String jobId(String answer) {
        assertTrue(answer.startsWith("HTTP/1.1 202 "), answer);
        int start = answer.indexOf("Location: /jobs/") + 16;
        return answer.substring(start, start + 16);
    }

    @Test
    void acknowledgedJobsSurviveACrash() throws Exception {
        String handle;
        String httpJob;
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, "[classes.basket-check]\n");
                Peer client = harness.gearman()) {
            handle = submitBackground(client, "kcapture", "u1", "pay");
            httpJob = jobId(
                    submitAsync(harness.http(), "basket-check", "", "price").message());
        }
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, "");
                Peer client = harness.gearman();
                Peer http = harness.http()) {
            // The same unique id names the same job, also after the crash.
            assertEquals(handle, submitBackground(client, "kcapture", "u1", "pay"));
            assertNotEquals(handle, submitBackground(client, "kcapture", "u2", "pay"));
            Peer worker = worker(harness, "kcapture", "kcheck");
            List<String> ran = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                String[] job = grab(worker);
                ran.add(job[2] + job[4]);
                send(worker, Gearman.COMPLETE, job[0], "ok " + job[4]);
                preSleep(worker);
            }
            assertTrue(ran.contains("u1pay") && ran.contains("u2pay"), ran.toString());
            assertTrue(awaitState(http, id(handle), "done").contains("\"result\":\"ok pay\""));
            awaitState(http, httpJob, "done");
            assertTrue(get(http, "/jobs/" + httpJob + "/result").endsWith("\r\n\r\nok price"));
        }
        // The final states are on disk too: a third process runs no job again.
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, "");
                Peer http = harness.http()) {
            awaitState(http, id(handle), "done");
            worker(harness, "kcapture", "kcheck");
            assertEquals(0, harness.counter("durable.recovered"));
        }
    }

    @Test
    void unsafeJobRunningAtACrashIsUnknownUntilALateOutcomeSettlesIt() throws Exception {
        String handle;
        String[] job;
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, "");
                Peer client = harness.gearman()) {
            Peer worker = worker(harness, "kcapture");
            handle = submitBackground(client, "kcapture", "u1", "pay");
            job = grab(worker);
        }
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, "");
                Peer http = harness.http()) {
            Peer worker = worker(harness, "kcapture");
            String response = awaitState(http, id(handle), "unknown");
            assertTrue(response.contains("must not run twice") && response.contains("may_have_run"), response);
            assertEquals(0, harness.counter("call.sent"));
            // The reason is stored with the state, so it can also be queried after the next restart.
            assertTrue(response.contains("\"reason\":\"it may have run"), response);
            // The worker survived the scheduler and now reports the outcome under the lease it was given.
            send(worker, Gearman.COMPLETE, job[0] + "7", "unknown lease");
            assertEquals("JOB_NOT_FOUND", expect(worker, Gearman.ERROR)[0]);
            send(worker, Gearman.COMPLETE, job[0], "paid");
            assertTrue(awaitState(http, id(handle), "done").contains("\"result\":\"paid\""));
            assertEquals(0, harness.counter("call.sent"));
        }
    }

    /** A worker that has served so many jobs of a function that as many may be at work at a time. */
    private static Peer warmWorker(SchedulerHarness harness, Peer client, String function, int jobs)
            throws IOException {
        Peer worker = worker(harness, function);
        for (int i = 0; i < jobs; i++) {
            submitBackground(client, function, "", "warm-up");
            send(worker, Gearman.COMPLETE, grab(worker)[0], "ok");
            preSleep(worker);
        }
        return worker;
    }

    /** Guards against ending a job as unknown that no worker ever had: it waited longer than a lease at a busy one. */
    @Test
    void jobsThatWaitLongerThanALeaseAtABusyWorkerRunOnce() throws Exception {
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, SHORT_LEASES);
                Peer client = harness.gearman()) {
            Peer worker = warmWorker(harness, client, "kcapture", 4);
            submitBackground(client, "kcapture", "", "long");
            String[] running = grab(worker);
            List<String> waiting = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                waiting.add(id(submitBackground(client, "kcapture", "", "next")));
            }
            for (int i = 0; i < 20; i++) {
                Thread.sleep(100);
                send(worker, Gearman.STATUS, running[0], "1", "2");
            }
            send(worker, Gearman.COMPLETE, running[0], "ok");
            for (int i = 0; i < waiting.size(); i++) {
                preSleep(worker);
                send(worker, Gearman.COMPLETE, grab(worker)[0], "ok");
            }
            Peer http = harness.http();
            for (String id : waiting) {
                assertTrue(!awaitState(http, id, "done").contains("\"lease\":2"));
            }
            assertEquals(0, harness.counter("lease.expired"));
        }
    }

    /** Guards against jobs that stay behind a stalled worker while another one is idle. */
    @Test
    void waitingJobsGoToAWorkerThatJoinsAndSurviveAKill() throws Exception {
        List<String> waiting = new ArrayList<>();
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, "");
                Peer client = harness.gearman();
                Peer http = harness.http()) {
            Peer stalled = warmWorker(harness, client, "kcapture", 4);
            submitBackground(client, "kcapture", "", "stalled");
            grab(stalled);
            for (int i = 0; i < 3; i++) {
                waiting.add(id(submitBackground(client, "kcapture", "", "next " + i)));
            }
            assertTrue(http.write("DELETE /jobs/" + waiting.remove(2) + " HTTP/1.1\r\n\r\n")
                    .message()
                    .startsWith("HTTP/1.1 204 "));
            Peer joining = worker(harness, "kcapture");
            String[] job = grab(joining);
            assertEquals("next 0", job[4]);
            send(joining, Gearman.COMPLETE, job[0], "ok");
            awaitState(http, waiting.remove(0), "done");
        }
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, "");
                Peer http = harness.http()) {
            awaitState(http, waiting.get(0), "queued");
        }
    }

    @Test
    void lateOutcomeOfAStalledWorkerSettlesAnUnknownJob() throws Exception {
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, SHORT_LEASES);
                Peer client = harness.gearman();
                Peer http = harness.http()) {
            Peer worker = worker(harness, "kcapture");
            String handle = submitBackground(client, "kcapture", "", "pay");
            String[] job = grab(worker);
            harness.awaitCounter("lease.expired", 1);
            awaitState(http, id(handle), "unknown");
            send(worker, Gearman.COMPLETE, job[0], "paid late");
            assertTrue(awaitState(http, id(handle), "done").contains("paid late"));
            assertEquals(1, harness.counter("call.sent"));
            // A late failure report changes the state from unknown to failed.
            preSleep(worker);
            handle = submitBackground(client, "kcapture", "", "pay");
            job = grab(worker);
            awaitState(http, id(handle), "unknown");
            send(worker, Gearman.FAIL, job[0]);
            awaitState(http, id(handle), "failed");
        }
    }

    @Test
    void lateOutcomeOfAnHttpEndpointIsAwaitedForALimitedTime() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        String limits = "[classes.card-capture]\nlease_ms = 300\nlongest_ms = 600\n";
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, limits, endpoint);
                Peer http = harness.http()) {
            String id = jobId(submitAsync(http, "card-capture", "k1", "pay").message());
            Peer call = endpoint.accept();
            String sent = call.message();
            awaitState(http, id, "unknown");
            int start = sent.indexOf("Req-Id: ") + 8;
            call.respond(
                    "{'id':'" + sent.substring(start, sent.indexOf('\r', start)) + "','state':'done','result':'paid'}");
            assertTrue(awaitState(http, id, "done").contains("\"result\":\"paid\""));
            // If it stayed open, the connection would be reused for the next call.
            call.close();
            Thread.sleep(60);
            id = jobId(submitAsync(http, "card-capture", "k2", "pay").message());
            Peer silent = endpoint.accept();
            silent.message();
            awaitState(http, id, "unknown");
            assertTrue(silent.isClosedByPeer());
            assertEquals(2, harness.counter("call.sent"));
        }
        endpoint.close();
    }

    @Test
    void successUnderAnOlderLeaseCountsOnlyIfTheNewerOneFails() throws Exception {
        for (boolean newerServes : new boolean[] {true, false}) {
            try (SchedulerHarness harness =
                            SchedulerHarness.withDurableJobs(folder.resolve("" + newerServes), SHORT_LEASES);
                    Peer client = harness.gearman();
                    Peer http = harness.http()) {
                Peer stalled = worker(harness, "kpost");
                String handle = submitBackground(client, "kpost", "u", "post");
                String[] first = grab(stalled);
                Peer other = worker(harness, "kpost");
                String[] second = grab(other);
                assertNotEquals(first[0], second[0]);
                send(stalled, Gearman.COMPLETE, first[0], "first");
                harness.awaitCounter("lease.late", 1);
                assertTrue(get(http, "/jobs/" + id(handle)).contains("\"state\":\"running\""));
                if (newerServes) {
                    send(other, Gearman.COMPLETE, second[0], "second");
                } else {
                    other.reset();
                    stalled.reset();
                }
                String response = awaitState(http, id(handle), "done");
                assertTrue(response.contains(newerServes ? "\"result\":\"second\"" : "\"result\":\"first\""), response);
            }
        }
    }

    @Test
    void heartbeatsExtendALeaseUpToItsLimit() throws Exception {
        String limits = "[classes.card-capture]\nlease_ms = 300\nlongest_ms = 900\n";
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, limits);
                Peer client = harness.gearman();
                Peer http = harness.http()) {
            Peer worker = worker(harness, "kcapture");
            String handle = submitBackground(client, "kcapture", "", "pay");
            String[] job = grab(worker);
            for (int i = 1; i < 5; i++) {
                Thread.sleep(120);
                send(worker, i % 2 == 0 ? Gearman.DATA : Gearman.STATUS, job[0], i % 2 == 0 ? "." : i + "\0" + 9);
            }
            assertEquals(0, harness.counter("lease.expired"));
            // Heartbeats go on, but the job never ends.
            for (int i = 0; harness.counter("lease.expired") == 0; i++) {
                assertTrue(i < 20);
                Thread.sleep(100);
                send(worker, Gearman.STATUS, job[0], "5\0" + 9);
            }
            awaitState(http, id(handle), "unknown");
        }
    }

    @Test
    void keyedJobIsResentOnlyInsideItsWindow() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        String httpJob;
        Path expired = folder.resolve("late");
        try (SchedulerHarness harness =
                        SchedulerHarness.withDurableJobs(folder.resolve("in"), "[classes.points-post]\n", endpoint);
                SchedulerHarness other =
                        SchedulerHarness.withDurableJobs(expired, "[classes.points-post]\n", endpoint)) {
            httpJob = jobId(
                    submitAsync(harness.http(), "points-post", "k1", "post").message());
            assertTrue(endpoint.accept().message().contains("Idempotency-Key: k1\r\n"));
            jobId(submitAsync(other.http(), "points-post", "k2", "post").message());
            endpoint.accept().message();
        }
        try (SchedulerHarness harness =
                        SchedulerHarness.withDurableJobs(folder.resolve("in"), "[classes.points-post]\n", endpoint);
                Peer http = harness.http()) {
            Peer secondCall = endpoint.accept();
            assertTrue(secondCall.message().contains("Idempotency-Key: k1\r\n"));
            assertTrue(get(http, "/jobs/" + httpJob).contains("\"lease\":2"));
        }
        // Moves the record of the other job back by more than its window of ten seconds.
        try (Store store = Store.open(expired, 1 << 30)) {
            List<JobRow> rows = new ArrayList<>();
            store.read(true, rows::add);
            JobRow row = rows.get(0);
            var old = row.attempts().get(0);
            long earlierMs = old.leasedMs() - 10_001;
            httpJob = Store.hex(row.id());
            store.write(List.of(Op.update(
                    row.id(),
                    State.RUNNING,
                    List.of(new laneflow.durable.decision.AttemptRecord(
                            1, old.endpoint(), earlierMs, earlierMs + 500, old.known())),
                    earlierMs)));
        }
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(expired, "[classes.points-post]\n", endpoint);
                Peer http = harness.http()) {
            assertTrue(awaitState(http, httpJob, "unknown").contains("window was over"));
            assertEquals(0, harness.counter("call.sent"));
        }
        endpoint.close();
    }

    @Test
    void resubmissionAfterALostAnswerReturnsTheSameJob() throws Exception {
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, "[classes.points-post]\n");
                Peer http = harness.http()) {
            submitAsync(harness.http(), "points-post", "k1", "post").reset();
            String id = jobId(submitAsync(http, "points-post", "k1", "post").message());
            assertEquals(
                    id, jobId(submitAsync(http, "points-post", "k1", "post").message()));
            assertEquals(1, harness.counter("durable.accepted"));
            assertTrue(
                    submitAsync(http, "points-post", "k1", "another").message().startsWith("HTTP/1.1 422 "));
            // The preference is ignored if the class is not configured for it.
            http.post("basket-check", "1", "Prefer: respond-async\r\n", "");
            assertTrue(http.message().startsWith("HTTP/1.1 503 "));
        }
    }

    @Test
    void onlyJobsThatHaveNotBegunCanBeCancelled() throws Exception {
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, "");
                Peer client = harness.gearman();
                Peer http = harness.http()) {
            String id = id(submitBackground(client, "kcapture", "", "pay"));
            assertTrue(http.write("DELETE /jobs/" + id + " HTTP/1.1\r\n\r\n")
                    .message()
                    .startsWith("HTTP/1.1 204 "));
            awaitState(http, id, "cancelled");
            Peer worker = worker(harness, "kcapture");
            String next = id(submitBackground(client, "kcapture", "", "pay 2"));
            String[] job = grab(worker);
            assertEquals("pay 2", job[4]);
            assertTrue(http.write("DELETE /jobs/" + next + " HTTP/1.1\r\n\r\n")
                    .message()
                    .startsWith("HTTP/1.1 409 "));
            assertTrue(http.write("DELETE /jobs/0123456789abcdef HTTP/1.1\r\n\r\n")
                    .message()
                    .startsWith("HTTP/1.1 404 "));
            assertTrue(get(http, "/jobs/zz").startsWith("HTTP/1.1 404 "));
        }
    }

    @Test
    void fullStoreRejectsNewJobsAndKeepsAcceptedOnes() throws Exception {
        List<String> accepted = new ArrayList<>();
        String smallStore = "store_mib = 1\n[classes.basket-check]\n";
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, smallStore);
                Peer http = harness.http()) {
            String body = "x".repeat(60_000);
            String answer = "";
            for (int i = 0; i < 40 && !answer.startsWith("HTTP/1.1 503 "); i++) {
                answer = submitAsync(http, "basket-check", "k" + i, body).message();
                if (answer.startsWith("HTTP/1.1 202 ")) {
                    accepted.add(jobId(answer));
                }
            }
            assertTrue(answer.startsWith("HTTP/1.1 503 ") && answer.contains("Retry-After: "), answer);
            assertTrue(accepted.size() > 5, accepted.size() + " accepted");
        }
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, smallStore);
                Peer http = harness.http()) {
            assertEquals(accepted.size(), harness.counter("durable.recovered"));
            Peer worker = worker(harness, "kcheck");
            for (int i = 0; i < accepted.size(); i++) {
                send(worker, Gearman.COMPLETE, grab(worker)[0], "ok");
                preSleep(worker);
            }
            for (String id : accepted) {
                awaitState(http, id, "done");
            }
        }
    }

    @Test
    void classLimitsRejectJobsWithARetryAfter() throws Exception {
        String limits = "[classes.points-post]\nmost_jobs = 2\n";
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, limits);
                Peer http = harness.http();
                Peer client = harness.gearman()) {
            jobId(submitAsync(http, "points-post", "k1", "").message());
            submitBackground(client, "kpost", "", "");
            String answer = submitAsync(http, "points-post", "k3", "").message();
            assertTrue(answer.startsWith("HTTP/1.1 503 ") && answer.contains("Retry-After: 1.000"), answer);
            send(client, Gearman.SUBMIT_BG, "kpost", "", "");
            assertEquals("QUEUE_FULL", expect(client, Gearman.ERROR)[0]);
            submitBackground(client, "kcapture", "", "");
        }
    }

    @Test
    void shutdownLeavesQueuedAndRunningJobsToTheNextProcess() throws Exception {
        String queued;
        String running;
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, "");
                Peer client = harness.gearman()) {
            Peer worker = worker(harness, "kcapture");
            running = submitBackground(client, "kcapture", "", "pay");
            grab(worker);
            queued = submitBackground(client, "kpost", "u", "post");
            long startNs = System.nanoTime();
            harness.serve.stop(() -> false);
            assertTrue(System.nanoTime() - startNs < 6_000_000_000L);
        }
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, "");
                Peer http = harness.http()) {
            awaitState(http, id(running), "unknown");
            awaitState(http, id(queued), "queued");
            Peer worker = worker(harness, "kpost");
            send(worker, Gearman.COMPLETE, grab(worker)[0], "posted");
            awaitState(http, id(queued), "done");
        }
    }

    @Test
    void drainingEndpointFinishesItsLeasesAndGetsNoNewJobs() throws Exception {
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, "");
                Peer client = harness.gearman();
                Peer http = harness.http()) {
            Peer worker = worker(harness, "kcapture");
            String first = submitBackground(client, "kcapture", "", "1");
            String[] job = grab(worker);
            String second = submitBackground(client, "kcapture", "", "2");
            worker.write(Gearman.resetAbilities());
            Thread.sleep(600);
            send(worker, Gearman.COMPLETE, job[0], "done");
            awaitState(http, id(first), "done");
            Peer other = worker(harness, "kcapture");
            assertEquals("2", grab(other)[4]);
            awaitState(http, id(second), "running");
            assertEquals(0, harness.counter("core.kept.second_call") + harness.counter("core.kept.effect"));
        }
    }

    @Test
    void answersKeepTheirOrderWhileJobsAreWrittenToDisk() throws Exception {
        try (SchedulerHarness harness = SchedulerHarness.withDurableJobs(folder, "");
                Peer client = harness.gearman()) {
            for (int i = 0; i < 200; i++) {
                send(client, Gearman.SUBMIT_BG, "kcheck", "u" + i, "");
                send(client, 16, "echo " + i);
            }
            for (int i = 0; i < 200; i++) {
                expect(client, Gearman.CREATED);
                assertEquals("echo " + i, expect(client, 17)[0]);
            }
        }
    }
}
