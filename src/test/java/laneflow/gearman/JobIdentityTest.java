package laneflow.gearman;

import static laneflow.gearman.Gearman.expect;
import static laneflow.gearman.Gearman.grab;
import static laneflow.gearman.Gearman.send;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Endpoint;
import laneflow.net.SchedulerHarness.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the names that the Gearman front gives to jobs, across schedulers that are started with one configuration, as
 * after a restart, in an upgrade and in a fleet.
 */
@Timeout(30)
class JobIdentityTest {
    private static final int PROCESSES = 3;

    @TempDir
    private Path folder;

    /** Connects a worker that is listed and asleep. */
    private static Peer worker(SchedulerHarness harness, String function) throws IOException {
        Peer worker = Gearman.worker(harness, function);
        send(worker, Packet.ECHO_REQ, "listed");
        expect(worker, Packet.ECHO_RES);
        return worker;
    }

    /** Takes the next job at the endpoint, answers it, and returns the message. */
    private static String serveNext(Endpoint endpoint) throws IOException {
        Peer call = endpoint.accept();
        String message = call.message();
        call.respond("{'id':'" + header(message, "Req-Id") + "','state':'done','result':'posted'}");
        return message;
    }

    private static String header(String message, String name) {
        int start = message.indexOf(name + ": ") + name.length() + 2;
        return message.substring(start, message.indexOf('\r', start));
    }

    /** Starts a scheduler with one and the same configuration but for its endpoint. */
    private interface Start {
        SchedulerHarness scheduler(int number, Endpoint endpoint) throws Exception;
    }

    private static void assertIdsAndKeysDiffer(Start start, int submission, String function) throws Exception {
        Set<String> ids = new HashSet<>();
        Set<String> keys = new HashSet<>();
        for (int i = 0; i < PROCESSES; i++) {
            Endpoint endpoint = new Endpoint("e1");
            try (SchedulerHarness harness = start.scheduler(i, endpoint)) {
                send(harness.gearman(), submission, function, "", "receipt " + i);
                String message = serveNext(endpoint);
                ids.add(header(message, "Req-Id"));
                keys.add(header(message, "Idempotency-Key"));
            }
            endpoint.close();
        }
        assertEquals(PROCESSES, ids.size(), ids.toString());
        assertEquals(PROCESSES, keys.size(), keys.toString());
    }

    /** Guards against a job being dropped by its endpoint as a repeat of another process's job. */
    @Test
    void jobsOfSchedulersWithOneConfigurationHaveDifferentKeys() throws Exception {
        assertIdsAndKeysDiffer((i, endpoint) -> new SchedulerHarness(null, endpoint), Packet.SUBMIT_JOB, "post");
    }

    /** Guards against the same for durable jobs, whose keys are stored with them. */
    @Test
    void durableJobsOfSchedulersWithOneConfigurationHaveDifferentKeys() throws Exception {
        assertIdsAndKeysDiffer(
                (i, endpoint) -> SchedulerHarness.withDurableJobs(folder.resolve("store-" + i), "", endpoint),
                Packet.SUBMIT_JOB_BG,
                "kpost");
    }

    /** Guards against a second run of a job that its client submits again, under its unique id, after a restart. */
    @Test
    void uniqueIdThatIsNoHeaderValueGivesTheSameKeyInEveryProcess() throws Exception {
        String key = keyInANewProcess("till 4 receipt-2");
        assertTrue(key.matches("[!-~]{1,128}"), key);
        assertEquals(key, keyInANewProcess("till 4 receipt-2"));
        assertNotEquals(key, keyInANewProcess("till 4 receipt-3"));
    }

    private static String keyInANewProcess(String unique) throws Exception {
        Endpoint endpoint = new Endpoint("e1");
        try (SchedulerHarness harness = new SchedulerHarness(null, endpoint)) {
            send(harness.gearman(), Packet.SUBMIT_JOB, "post", unique, "points");
            return header(serveNext(endpoint), "Idempotency-Key");
        }
    }

    /** Guards against a job being answered with the result that a worker still had for the former process's job. */
    @Test
    void handleOfAFormerProcessNamesNoJobOfThisOne() throws Exception {
        String former;
        try (SchedulerHarness harness = new SchedulerHarness(null);
                Peer client = harness.gearman()) {
            Peer worker = worker(harness, "capture");
            send(client, Packet.SUBMIT_JOB, "capture", "", "first");
            former = expect(client, Packet.JOB_CREATED)[0];
            assertEquals(former, grab(worker)[0]);
        }
        try (SchedulerHarness harness = new SchedulerHarness(null);
                Peer client = harness.gearman()) {
            Peer worker = worker(harness, "capture");
            send(client, Packet.SUBMIT_JOB, "capture", "", "second");
            String handle = expect(client, Packet.JOB_CREATED)[0];
            assertEquals(handle, grab(worker)[0]);
            send(client, Packet.GET_STATUS, former);
            assertArrayEquals(new String[] {former, "0", "0", "0", "0"}, expect(client, Packet.STATUS_RES));
            // The worker has connected again and still reports the job of before.
            send(worker, Packet.WORK_COMPLETE, former, "ran first");
            assertEquals("JOB_NOT_FOUND", expect(worker, Packet.ERROR)[0]);
            send(worker, Packet.WORK_COMPLETE, handle, "ran second");
            assertArrayEquals(new String[] {handle, "ran second"}, expect(client, Packet.WORK_COMPLETE));
        }
    }

    /** Guards against the same for jobs of HTTP clients at Gearman workers. */
    @Test
    void handleOfAnHttpClientsJobNamesNoJobOfTheNextProcess() throws Exception {
        Set<String> handles = new HashSet<>();
        for (int i = 0; i < 2; i++) {
            try (SchedulerHarness harness = new SchedulerHarness(null);
                    Peer client = harness.http()) {
                Peer worker = worker(harness, "capture");
                client.post("card-capture", "r" + i, "", "pay");
                handles.add(grab(worker)[0]);
            }
        }
        assertEquals(2, handles.size(), handles.toString());
    }
}
