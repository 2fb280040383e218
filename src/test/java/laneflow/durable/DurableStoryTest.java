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
import laneflow.net.Stand;
import laneflow.net.Stand.Endpoint;
import laneflow.net.Stand.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Stories of durable jobs: each causes one failure and looks at what became of the job. */
@Timeout(300)
class DurableStoryTest {
    /** Leases of half a second for all. */
    private static final String SHORT = "[classes.basket-check]\nlease_ms = 500\n[classes.card-capture]\n"
            + "lease_ms = 500\n[classes.points-post]\nlease_ms = 500\n";

    @TempDir
    private Path folder;

    private static String id(String handle) {
        return handle.substring("H:laneflow:d".length());
    }

    private static String get(Peer http, String path) throws IOException {
        return http.write("GET " + path + " HTTP/1.1\r\nHost: o\r\n\r\n").message();
    }

    /** Asks until the job is in that state, and returns all that is said of it. */
    private static String until(Peer http, String id, String state) throws IOException {
        String said = "";
        long end = System.nanoTime() + 60_000_000_000L;
        while (!said.contains("\"state\":\"" + state + "\"")) {
            assertTrue(System.nanoTime() < end, said);
            said = get(http, "/jobs/" + id);
        }
        return said;
    }

    private static Peer async(Peer http, String jobClass, String key, String body) throws IOException {
        return http.post(
                jobClass,
                "r" + System.nanoTime(),
                "Prefer: wait=1, respond-async\r\n" + (key.isEmpty() ? "" : "Idempotency-Key: " + key + "\r\n"),
                body);
    }

    private static String place(String answer) {
        assertTrue(answer.startsWith("HTTP/1.1 202 "), answer);
        int at = answer.indexOf("Location: /jobs/") + 16;
        return answer.substring(at, at + 16);
    }

    @Test
    void whatWasAcknowledgedOutlivesItsScheduler() throws Exception {
        String handle;
        String kept;
        try (Stand stand = Stand.keeping(folder, "[classes.basket-check]\n");
                Peer client = stand.gearman()) {
            handle = submitBackground(client, "kcapture", "u1", "pay");
            kept = place(async(stand.http(), "basket-check", "", "price").message());
        }
        try (Stand stand = Stand.keeping(folder, "");
                Peer client = stand.gearman();
                Peer http = stand.http()) {
            // The same unique is the same job, also after the crash.
            assertEquals(handle, submitBackground(client, "kcapture", "u1", "pay"));
            assertNotEquals(handle, submitBackground(client, "kcapture", "u2", "pay"));
            Peer worker = worker(stand, "kcapture", "kcheck");
            List<String> ran = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                String[] job = grab(worker);
                ran.add(job[2] + job[4]);
                send(worker, Gearman.COMPLETE, job[0], "ok " + job[4]);
                preSleep(worker);
            }
            assertTrue(ran.contains("u1pay") && ran.contains("u2pay"), ran.toString());
            assertTrue(until(http, id(handle), "done").contains("\"result\":\"ok pay\""));
            until(http, kept, "done");
            assertTrue(get(http, "/jobs/" + kept + "/result").endsWith("\r\n\r\nok price"));
        }
        // Its end is on disk too: a third process runs nothing again.
        try (Stand stand = Stand.keeping(folder, "");
                Peer http = stand.http()) {
            until(http, id(handle), "done");
            worker(stand, "kcapture", "kcheck");
            assertEquals(0, stand.counter("durable.recovered"));
        }
    }

    @Test
    void aCaptureThatWasOutAtACrashIsUnknownUntilALateWordSettlesIt() throws Exception {
        String handle;
        String[] job;
        try (Stand stand = Stand.keeping(folder, "");
                Peer client = stand.gearman()) {
            Peer worker = worker(stand, "kcapture");
            handle = submitBackground(client, "kcapture", "u1", "pay");
            job = grab(worker);
        }
        try (Stand stand = Stand.keeping(folder, "");
                Peer http = stand.http()) {
            Peer worker = worker(stand, "kcapture");
            String said = until(http, id(handle), "unknown");
            assertTrue(said.contains("must not run twice") && said.contains("may_have_run"), said);
            assertEquals(0, stand.counter("call.sent"));
            // The worker has outlived its scheduler and now tells how its job ended, by the lease it was given.
            // Why it is unknown is on record too, for those who ask after the next restart.
            assertTrue(said.contains("\"reason\":\"it may have run"), said);
            send(worker, Gearman.COMPLETE, job[0] + "7", "nobody's lease");
            assertEquals("JOB_NOT_FOUND", expect(worker, Gearman.ERROR)[0]);
            send(worker, Gearman.COMPLETE, job[0], "paid");
            assertTrue(until(http, id(handle), "done").contains("\"result\":\"paid\""));
            assertEquals(0, stand.counter("call.sent"));
        }
    }

    @Test
    void aStalledWorkersWordCountsAsLongAsTheJobIsNowhereElse() throws Exception {
        try (Stand stand = Stand.keeping(folder, SHORT);
                Peer client = stand.gearman();
                Peer http = stand.http()) {
            Peer worker = worker(stand, "kcapture");
            String handle = submitBackground(client, "kcapture", "", "pay");
            String[] job = grab(worker);
            stand.await("lease.expired", 1);
            until(http, id(handle), "unknown");
            send(worker, Gearman.COMPLETE, job[0], "paid late");
            assertTrue(until(http, id(handle), "done").contains("paid late"));
            assertEquals(1, stand.counter("call.sent"));
            // One that says it failed turns what was unknown into a failure.
            preSleep(worker);
            handle = submitBackground(client, "kcapture", "", "pay");
            job = grab(worker);
            until(http, id(handle), "unknown");
            send(worker, Gearman.FAIL, job[0]);
            until(http, id(handle), "failed");
        }
    }

    @Test
    void anHttpEndpointsLateWordIsListenedForAndNotForEver() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        String limits = "[classes.card-capture]\nlease_ms = 300\nlongest_ms = 600\n";
        try (Stand stand = Stand.keeping(folder, limits, endpoint);
                Peer http = stand.http()) {
            String id = place(async(http, "card-capture", "k1", "pay").message());
            Peer call = endpoint.accept();
            String sent = call.message();
            until(http, id, "unknown");
            int at = sent.indexOf("Req-Id: ") + 8;
            call.says("{'id':'" + sent.substring(at, sent.indexOf('\r', at)) + "','state':'done','result':'paid'}");
            assertTrue(until(http, id, "done").contains("\"result\":\"paid\""));
            // Kept, the connection would carry the next call too.
            call.close();
            Thread.sleep(60);
            id = place(async(http, "card-capture", "k2", "pay").message());
            Peer silent = endpoint.accept();
            silent.message();
            until(http, id, "unknown");
            assertTrue(silent.ended());
            assertEquals(2, stand.counter("call.sent"));
        }
        endpoint.close();
    }

    @Test
    void aWordOnAnOlderLeaseWaitsForTheNewerOnes() throws Exception {
        for (boolean newerServes : new boolean[] {true, false}) {
            try (Stand stand = Stand.keeping(folder.resolve("" + newerServes), SHORT);
                    Peer client = stand.gearman();
                    Peer http = stand.http()) {
                Peer stalled = worker(stand, "kpost");
                String handle = submitBackground(client, "kpost", "u", "post");
                String[] first = grab(stalled);
                Peer other = worker(stand, "kpost");
                String[] second = grab(other);
                assertNotEquals(first[0], second[0]);
                send(stalled, Gearman.COMPLETE, first[0], "first");
                stand.await("lease.late", 1);
                assertTrue(get(http, "/jobs/" + id(handle)).contains("\"state\":\"running\""));
                if (newerServes) {
                    send(other, Gearman.COMPLETE, second[0], "second");
                } else {
                    other.reset();
                    stalled.reset();
                }
                String said = until(http, id(handle), "done");
                assertTrue(said.contains(newerServes ? "\"result\":\"second\"" : "\"result\":\"first\""), said);
            }
        }
    }

    @Test
    void heartbeatsProlongALeaseUpToItsLimit() throws Exception {
        String limits = "[classes.card-capture]\nlease_ms = 300\nlongest_ms = 900\n";
        try (Stand stand = Stand.keeping(folder, limits);
                Peer client = stand.gearman();
                Peer http = stand.http()) {
            Peer worker = worker(stand, "kcapture");
            String handle = submitBackground(client, "kcapture", "", "pay");
            String[] job = grab(worker);
            for (int i = 1; i < 5; i++) {
                Thread.sleep(120);
                send(worker, i % 2 == 0 ? Gearman.DATA : Gearman.STATUS, job[0], i % 2 == 0 ? "." : i + "\0" + 9);
            }
            assertEquals(0, stand.counter("lease.expired"));
            // It beats on and on, and never ends.
            for (int i = 0; stand.counter("lease.expired") == 0; i++) {
                assertTrue(i < 20);
                Thread.sleep(100);
                send(worker, Gearman.STATUS, job[0], "5\0" + 9);
            }
            until(http, id(handle), "unknown");
        }
    }

    @Test
    void aKeyIsSentAgainInsideItsWindowOnly() throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        String kept;
        Path late = folder.resolve("late");
        try (Stand stand = Stand.keeping(folder.resolve("in"), "[classes.points-post]\n", endpoint);
                Stand other = Stand.keeping(late, "[classes.points-post]\n", endpoint)) {
            kept = place(async(stand.http(), "points-post", "k1", "post").message());
            assertTrue(endpoint.accept().message().contains("Idempotency-Key: k1\r\n"));
            place(async(other.http(), "points-post", "k2", "post").message());
            endpoint.accept().message();
        }
        try (Stand stand = Stand.keeping(folder.resolve("in"), "[classes.points-post]\n", endpoint);
                Peer http = stand.http()) {
            Peer again = endpoint.accept();
            assertTrue(again.message().contains("Idempotency-Key: k1\r\n"));
            assertTrue(get(http, "/jobs/" + kept).contains("\"lease\":2"));
        }
        // Ten seconds pass for the other one: its record is put that far back.
        try (Store store = Store.open(late, 1 << 30)) {
            List<JobRow> rows = new ArrayList<>();
            store.read(true, rows::add);
            JobRow row = rows.get(0);
            var old = row.attempts().get(0);
            long then = old.leasedMs() - 10_001;
            kept = Store.hex(row.id());
            store.write(List.of(Op.move(
                    row.id(),
                    State.RUNNING,
                    List.of(new laneflow.durable.decision.AttemptRecord(
                            1, old.endpoint(), then, then + 500, old.known())),
                    then)));
        }
        try (Stand stand = Stand.keeping(late, "[classes.points-post]\n", endpoint);
                Peer http = stand.http()) {
            assertTrue(until(http, kept, "unknown").contains("window was over"));
            assertEquals(0, stand.counter("call.sent"));
        }
        endpoint.close();
    }

    @Test
    void aClientThatLostTheWordHandsItInAgainAndGetsTheSameJob() throws Exception {
        try (Stand stand = Stand.keeping(folder, "[classes.points-post]\n");
                Peer http = stand.http()) {
            async(stand.http(), "points-post", "k1", "post").reset();
            String id = place(async(http, "points-post", "k1", "post").message());
            assertEquals(id, place(async(http, "points-post", "k1", "post").message()));
            assertEquals(1, stand.counter("durable.accepted"));
            assertTrue(async(http, "points-post", "k1", "another").message().startsWith("HTTP/1.1 422 "));
            // Where the class is not set up for it, the preference is passed over.
            http.post("basket-check", "1", "Prefer: respond-async\r\n", "");
            assertTrue(http.message().startsWith("HTTP/1.1 503 "));
        }
    }

    @Test
    void whatHasNotBegunCanBeCancelled() throws Exception {
        try (Stand stand = Stand.keeping(folder, "");
                Peer client = stand.gearman();
                Peer http = stand.http()) {
            String id = id(submitBackground(client, "kcapture", "", "pay"));
            assertTrue(http.write("DELETE /jobs/" + id + " HTTP/1.1\r\n\r\n")
                    .message()
                    .startsWith("HTTP/1.1 204 "));
            until(http, id, "cancelled");
            Peer worker = worker(stand, "kcapture");
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
    void aFullStoreTakesNothingMoreAndKeepsWhatItTook() throws Exception {
        List<String> taken = new ArrayList<>();
        String small = "store_mib = 1\n[classes.basket-check]\n";
        try (Stand stand = Stand.keeping(folder, small);
                Peer http = stand.http()) {
            String body = "x".repeat(60_000);
            String answer = "";
            for (int i = 0; i < 40 && !answer.startsWith("HTTP/1.1 503 "); i++) {
                answer = async(http, "basket-check", "k" + i, body).message();
                if (answer.startsWith("HTTP/1.1 202 ")) {
                    taken.add(place(answer));
                }
            }
            assertTrue(answer.startsWith("HTTP/1.1 503 ") && answer.contains("Retry-After: "), answer);
            assertTrue(taken.size() > 5, taken.size() + " taken");
        }
        try (Stand stand = Stand.keeping(folder, small);
                Peer http = stand.http()) {
            assertEquals(taken.size(), stand.counter("durable.recovered"));
            Peer worker = worker(stand, "kcheck");
            for (int i = 0; i < taken.size(); i++) {
                send(worker, Gearman.COMPLETE, grab(worker)[0], "ok");
                preSleep(worker);
            }
            for (String id : taken) {
                until(http, id, "done");
            }
        }
    }

    @Test
    void limitsByClassTurnDownWithTheTimeToComeBack() throws Exception {
        String limits = "[classes.points-post]\nmost_jobs = 2\n";
        try (Stand stand = Stand.keeping(folder, limits);
                Peer http = stand.http();
                Peer client = stand.gearman()) {
            place(async(http, "points-post", "k1", "").message());
            submitBackground(client, "kpost", "", "");
            String answer = async(http, "points-post", "k3", "").message();
            assertTrue(answer.startsWith("HTTP/1.1 503 ") && answer.contains("Retry-After: 1.000"), answer);
            send(client, Gearman.SUBMIT_BG, "kpost", "", "");
            assertEquals("QUEUE_FULL", expect(client, Gearman.ERROR)[0]);
            submitBackground(client, "kcapture", "", "");
        }
    }

    @Test
    void aPlannedEndLeavesWhatIsQueuedAndWhatIsOutToTheNext() throws Exception {
        String queued;
        String out;
        try (Stand stand = Stand.keeping(folder, "");
                Peer client = stand.gearman()) {
            Peer worker = worker(stand, "kcapture");
            out = submitBackground(client, "kcapture", "", "pay");
            grab(worker);
            queued = submitBackground(client, "kpost", "u", "post");
            long from = System.nanoTime();
            stand.serve.stop(() -> false);
            assertTrue(System.nanoTime() - from < 6_000_000_000L);
        }
        try (Stand stand = Stand.keeping(folder, "");
                Peer http = stand.http()) {
            until(http, id(out), "unknown");
            until(http, id(queued), "queued");
            Peer worker = worker(stand, "kpost");
            send(worker, Gearman.COMPLETE, grab(worker)[0], "posted");
            until(http, id(queued), "done");
        }
    }

    @Test
    void anEndpointThatDrainsWhileLeasesAreOutFinishesAndGetsNothingNew() throws Exception {
        try (Stand stand = Stand.keeping(folder, "");
                Peer client = stand.gearman();
                Peer http = stand.http()) {
            Peer worker = worker(stand, "kcapture");
            String first = submitBackground(client, "kcapture", "", "1");
            String[] job = grab(worker);
            String second = submitBackground(client, "kcapture", "", "2");
            worker.write(Gearman.resetAbilities());
            Thread.sleep(600);
            send(worker, Gearman.COMPLETE, job[0], "done");
            until(http, id(first), "done");
            Peer other = worker(stand, "kcapture");
            assertEquals("2", grab(other)[4]);
            until(http, id(second), "running");
            assertEquals(0, stand.counter("core.kept.second_call") + stand.counter("core.kept.effect"));
        }
    }

    @Test
    void answersOfAConnectionKeepTheirOrderWhileTheDiskIsAsked() throws Exception {
        try (Stand stand = Stand.keeping(folder, "");
                Peer client = stand.gearman()) {
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
