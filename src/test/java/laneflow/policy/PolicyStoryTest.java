package laneflow.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.util.List;
import laneflow.lab.rig.Rig;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Policy changes between real processes, three of which vote, with faults. */
@Timeout(300)
class PolicyStoryTest extends PolicyStoryBase {
    @Test
    void changeIsAppliedEverywhereOrNowhere() throws Exception {
        createFleet(4);
        // The file of n4 does not declare posts safe to repeat, and no policy can change that at n4.
        rig.file(3, configText(CLASSES + "[classes.post]\ndeadline_ms = 5000\n"));
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        assertTrue(request(3, "r0").contains("Config-Version: policy=0"));
        rig.proposeUntilTaken(3, "ban-9", bans("till-9"));
        awaitState(0, "ban-9", "applied");
        rig.awaitDeciding(1, rig.all());
        assertTrue(request(2, "r1").contains("Config-Version: policy=1"));
        // The same name and content is the same change; different content under that name is an error.
        assertEquals(
                "applied", rig.propose(1, "ban-9", bans("till-9")).get("state").getAsString());
        assertTrue(rig.ask(1, "/policy/changes", "{\"name\":\"ban-9\",\"types\":" + bans("till") + "}")
                .body()
                .contains("different content"));
        // If one scheduler rejects a change, it is abandoned for all, and the change shows the reason.
        rig.proposeUntilTaken(
                0,
                "post-safe",
                "{\"classes\":[{\"name\":\"check\",\"repeat\":\"safe\"},"
                        + "{\"name\":\"post\",\"repeat\":\"safe\"}]}");
        awaitState(2, "post-safe", "abandoned");
        String reasons = rig.change(1, "post-safe").get("reasons").toString();
        assertTrue(reasons.contains("n4#") && reasons.contains("'post' must not run twice here"), reasons);
        rig.awaitDeciding(1, rig.all());
        // No scheduler sends to a banned endpoint until the ban is lifted; an open call continues.
        try (Peer client = SchedulerHarness.connect("127.0.0.1", rig.clientPort(0))) {
            client.write("POST /check HTTP/1.1\r\nHost: c\r\nReq-Id: o\r\nContent-Length: 0\r\n\r\n");
            try (Peer call = endpoint.accept()) {
                call.message();
                rig.proposeUntilTaken(2, "ban-till", bans("till"));
                rig.awaitDeciding(3, rig.all());
                call.respond("{'id':'o','state':'done','result':'ran'}");
                String answer = client.message();
                assertTrue(answer.contains("Config-Version: policy=1") && answer.endsWith("ran"), answer);
            }
        }
        assertTrue(requestWithoutEndpoint(0, "r2").startsWith("HTTP/1.1 503 "));
        rig.proposeUntilTaken(2, "no-bans", "{\"bans\":[]}");
        rig.awaitDeciding(4, rig.all());
        assertTrue(request(1, "r3").contains("policy=4"));
        checkHistory();
    }

    @Test
    void proposalOfAKilledLeaderIsDecided() throws Exception {
        createFleet(5);
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        for (int round = 1; round <= 2; round++) {
            int leader = rig.leader();
            String name = "c" + round;
            String types = bans("b" + round);
            rig.propose(leader, name, types);
            rig.kill(leader);
            int other = leader == 0 ? 1 : 0;
            // If the proposal did not reach the log, it is proposed again under the same name.
            rig.await(
                    "the proposal is accepted",
                    () -> rig.propose(other, name, types) != null
                            || changeState(other, name).equals("applied"));
            awaitState(other, name, "applied");
            rig.start(leader);
            rig.awaitDeciding(round, rig.all());
        }
        checkHistory();
    }

    @Test
    void restartedVotersElectANewLeader() throws Exception {
        createFleet(4);
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        for (int round = 1; round <= 3; round++) {
            int leader = rig.leader();
            for (int i = 0; i < 3; i++) {
                if (i != leader) {
                    rig.kill(i);
                    rig.start(i);
                    rig.awaitDeciding(round - 1, i);
                }
            }
            // The restarted voters are a majority; electing a leader takes at most a lease and an election.
            leader = rig.leader();
            rig.kill(leader);
            int other = awaitNewLeader(leader);
            rig.proposeUntilTaken(other, "c" + round, bans("b" + round));
            rig.awaitDeciding(round, other, 3 - leader - other, 3);
            rig.start(leader);
            rig.awaitDeciding(round, rig.all());
        }
        // A leader that stops gracefully transfers its leadership: no scheduler stops deciding meanwhile.
        int leader = rig.leader();
        int expirations = rig.log(3).split("the lease has expired").length;
        assertEquals(143, rig.end(leader));
        awaitNewLeader(leader);
        assertEquals(expirations, rig.log(3).split("the lease has expired").length);
        checkHistory();
    }

    @Test
    void partitionedMinorityStopsDecidingAndCatchesUp() throws Exception {
        createFleet(5);
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        int leader = rig.leader();
        // One side has the leader and a scheduler that does not vote; the other side has the other two voters
        // and another scheduler.
        rig.partAll(List.of(leader, 4));
        int other = awaitNewLeader(leader);
        rig.proposeUntilTaken(other, "during-partition", bans("x"));
        awaitState(other, "during-partition", "applied");
        rig.awaitDeciding(1, other, 3 - leader - other, 3);
        assertFalse(rig.decides(leader, 0) || rig.decides(4, 0));
        // Clients are refused at once with a Retry-After, and the health check is not ready.
        String answer = requestWithoutEndpoint(4, "r1");
        assertTrue(answer.startsWith("HTTP/1.1 503 ") && answer.contains("Retry-After: 0.1"), answer);
        try (Peer client = SchedulerHarness.connect("127.0.0.1", rig.clientPort(4))) {
            assertTrue(
                    client.write("GET /health/ready HTTP/1.1\r\n\r\n").message().startsWith("HTTP/1.1 503 "));
        }
        // Without a majority nothing can be decided or reported as decided.
        assertEquals("unknown", changeState(leader, "during-partition"));
        rig.heal();
        rig.awaitDeciding(1, rig.all());
        assertTrue(request(4, "r2").contains("policy=1"));
        checkHistory();
    }

    @Test
    void cutOffServeKeepsServingAndTheHistoryShowsTheOverlap() throws Exception {
        createFleet(4);
        rig.file(3, configText(CLASSES + POST) + "cut_off = \"serve\"\n");
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        rig.partAll(List.of(3));
        rig.await(
                "n4 reports that it is cut off",
                () -> rig.policy(3).get("state").getAsString().equals("cut off, serving"));
        rig.proposeUntilTaken(0, "meanwhile", bans("x"));
        rig.awaitDeciding(1, 0, 1, 2);
        Thread.sleep(20);
        // The cut-off scheduler serves clients by the previous policy, as configured, and counts these decisions.
        String answer = request(3, "r");
        assertTrue(answer.contains("200 OK") && answer.contains("policy=0"), answer);
        assertTrue(rig.ask(3, "/counters", null).body().contains("policy.decided_without_lease 1"));
        rig.await("the overlap is logged", () -> rig.log(3).contains("serving on by policy 0 as set by cut_off"));
        rig.heal();
        rig.awaitDeciding(1, rig.all());
        historyChecked = true;
        history.outcome("meanwhile", 1, "applied");
        for (int i : rig.all()) {
            history.log(Rig.name(i), rig.log(i));
        }
        // The check of the history finds the overlap that this setting permits.
        assertEquals(1, history.check().size());
        assertEquals(1, history.overlapping());
    }

    @Test
    void suspendedProcessDecidesNothingOnResume() throws Exception {
        createFleet(4);
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        int leader = rig.leader();
        rig.stall(leader);
        rig.stall(3);
        // Sent while the process is suspended, the request is handled on resume under the lease of that time.
        try (Peer client = SchedulerHarness.connect("127.0.0.1", rig.clientPort(3))) {
            client.write("POST /check HTTP/1.1\r\nHost: c\r\nReq-Id: w\r\nContent-Length: 0\r\n\r\n");
            int other = awaitNewLeader(leader);
            rig.proposeUntilTaken(other, "meanwhile", bans("x"));
            awaitState(other, "meanwhile", "applied");
            rig.awaitDeciding(1, other, 3 - leader - other);
            rig.wake(3);
            rig.wake(leader);
            assertTrue(client.message().startsWith("HTTP/1.1 503 "));
        }
        rig.awaitDeciding(1, rig.all());
        checkHistory();
    }

    @Test
    void killedFleetRestartsWithWhatWasDecided() throws Exception {
        createFleet(4);
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        rig.proposeUntilTaken(1, "kept", bans("x"));
        rig.awaitDeciding(1, rig.all());
        for (int i : rig.all()) {
            rig.kill(i);
        }
        // Without a majority of voters nothing is decided.
        rig.start(3);
        rig.start(2);
        rig.await("n3 listens", () -> rig.policy(2).get("state").getAsString().equals("not deciding"));
        assertTrue(requestWithoutEndpoint(2, "r").startsWith("HTTP/1.1 503 "));
        rig.start(0);
        rig.awaitDeciding(1, 0, 2, 3);
        rig.start(1);
        rig.awaitDeciding(1, rig.all());
        // A voter whose disk was wiped does not vote as if it had kept its store.
        rig.kill(1);
        rig.wipe(1);
        rig.start(1);
        rig.awaitDeciding(1, rig.all());
        rig.await(
                "n2 reports that its store is lost",
                () -> rig.policy(1).getAsJsonObject("voter").get("lost").getAsBoolean());
        // Replaced as a voter, n2 votes again: without n3 it is needed for a majority.
        assertEquals(409, rig.ask(0, "/policy/voters", "{\"replace\":\"n4\"}").statusCode());
        rig.await(
                "n2 is added",
                () -> rig.ask(0, "/policy/voters", "{\"replace\":\"n2\"}").statusCode() == 200);
        rig.await(
                "n2 votes",
                () -> rig.policy(1).getAsJsonObject("voter").get("votes").getAsBoolean());
        assertEquals(409, rig.ask(0, "/policy/voters", "{\"replace\":\"n2\"}").statusCode());
        rig.kill(2);
        rig.proposeUntilTaken(0, "with-the-new", bans("w"));
        rig.awaitDeciding(2, 0, 1, 3);
        rig.start(2);
        rig.awaitDeciding(2, rig.all());
        // A damaged log is rejected and costs only the vote.
        rig.kill(1);
        byte[] writeAheadLog = Files.readAllBytes(rig.votes(1).resolve("votes.db-wal"));
        for (int offset = writeAheadLog.length / 2; offset < writeAheadLog.length; offset += 50) {
            writeAheadLog[offset] ^= 0x55;
        }
        Files.write(rig.votes(1).resolve("votes.db-wal"), writeAheadLog);
        rig.start(1);
        rig.awaitDeciding(2, rig.all());
        assertTrue(rig.log(1).contains("this process does not vote"), rig.log(1));
        rig.proposeUntilTaken(1, "on", bans("y"));
        rig.awaitDeciding(3, rig.all());
        checkHistory();
    }

    @Test
    void changeSurvivesLossDuplicatesJitterAndAOneWayCut() throws Exception {
        // A reachable scheduler that is not ready in time has the change abandoned, and broken links take
        // seconds to recover.
        createFleet(4, "prepare_ms = 60000\n");
        // Clock rates that differ by almost as much as is allowed.
        rig.option(0, "-Dlaneflow.lab.clock_rate=0.9996");
        rig.option(3, "-Dlaneflow.lab.clock_rate=1.0005");
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        rig.disturb(0.3, 0.1, 200);
        rig.await(
                "the proposal is accepted",
                () -> rig.propose(0, "through", bans("x")) != null
                        || changeState(1, "through").equals("applied"));
        rig.await("the change is applied", () -> changeState(1, "through").equals("applied"));
        rig.heal();
        rig.awaitDeciding(1, rig.all());
        // A scheduler that sends but receives nothing stops deciding, and a change waits for it only until its
        // lease expires.
        int leader = rig.leader();
        int sendOnly = (leader + 1) % 3;
        for (int i : rig.all()) {
            if (i != sendOnly) {
                rig.cut(i, sendOnly);
            }
        }
        rig.proposeUntilTaken(leader, "without", bans("y"));
        awaitState(leader, "without", "applied");
        rig.awaitDeciding(2, leader, 3);
        rig.await(
                "the scheduler without incoming messages stops deciding",
                () -> rig.policy(sendOnly).get("state").getAsString().equals("not deciding"));
        rig.heal();
        rig.awaitDeciding(2, rig.all());
        // Links that break in the middle of a message lose only the messages in flight.
        rig.reset(leader);
        rig.proposeUntilTaken(3, "reset", bans("z"));
        rig.awaitDeciding(3, rig.all());
        // A graceful stop is announced: no change waits for that scheduler's lease.
        assertEquals(143, rig.end(3));
        rig.proposeUntilTaken(0, "last", bans("a"));
        rig.awaitDeciding(4, 0, 1, 2);
        checkHistory();
    }
}
