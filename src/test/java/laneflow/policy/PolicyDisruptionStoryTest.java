package laneflow.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import laneflow.lab.rig.Rig;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Peer;
import laneflow.ops.Platform;
import laneflow.ops.Platform.SchedulerProcess;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Policy changes during a graceful stop, an upgrade and on a full disk, and beside a scheduler of an earlier
 * build.
 */
@Timeout(300)
class PolicyDisruptionStoryTest extends PolicyStoryBase {

    @Test
    void gracefulStopKeepsRequestPoliciesAndDelaysNoChange() throws Exception {
        createFleet(4);
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        try (Peer client = sendRequest(3, "open")) {
            try (Peer call = endpoint.accept()) {
                call.message();
                // Without a message from the endpoint the request would be given up before the change is
                // made.
                call.beginResponse("{'id':'open','state':'started'}");
                // The scheduler drains during the change and still accepts requests.
                rig.term(3);
                rig.await("the scheduler logs that it stops", () -> rig.log(3).contains("stopping, 1 open"));
                rig.proposeUntilTaken(0, "during-drain", bans("x"));
                awaitState(0, "during-drain", "applied");
                rig.awaitDeciding(1, rig.all());
                String lateResponse = responseOrRefusal(3, "late");
                call.endResponse("{'id':'open','state':'done','result':'ran'}");
                assertTrue(client.message().contains("Config-Version: policy=0"));
                assertTrue(lateResponse.contains("policy=1") || lateResponse.contains(" 503 "), lateResponse);
            }
        }
        assertEquals(143, rig.ended(3));
        // The stopped scheduler has announced its stop: the next change does not wait for its lease.
        long startNs = System.nanoTime();
        rig.proposeUntilTaken(0, "after-stop", bans("y"));
        rig.awaitDeciding(2, 0, 1, 2);
        assertTrue(System.nanoTime() - startNs < TimeUnit.SECONDS.toNanos(30));
        checkHistory();
    }

    /** The answer to a request to a draining scheduler, or a refusal in its place. */
    private String responseOrRefusal(int i, String id) throws Exception {
        try (Peer client = sendRequest(i, id)) {
            return client.message();
        } catch (IOException e) {
            // The draining scheduler accepts no more connections.
            return "HTTP/1.1 503 closed";
        }
    }

    @Test
    void nextLeaderFinishesTheChangeOfALeaderThatStops() throws Exception {
        createFleet(4);
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        int leader = rig.leader();
        rig.term(leader);
        rig.await(
                "the proposal is accepted",
                () -> rig.propose(3, "during-stop", bans("x")) != null
                        || changeState(3, "during-stop").equals("applied"));
        assertEquals(143, rig.ended(leader));
        awaitState(3, "during-stop", "applied");
        for (int i : rig.all()) {
            if (i != leader) {
                rig.awaitDeciding(1, i);
            }
        }
        checkHistory();
    }

    @Test
    void fullDiskCostsTheVoteButNotTheService() throws Exception {
        createFleet(4);
        // The SQLite library is unpacked to this disk first and is somewhat smaller than the limit.
        rig.fullAt(1, 2_500_000);
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        // Each change takes about ten pages of the voter's log.
        String longName = "name".repeat(2000);
        StringBuilder names = new StringBuilder();
        for (int i = 0; i < 40; i++) {
            names.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"")
                    .append(longName, 0, 100)
                    .append(i)
                    .append("\"}");
        }
        long changes = 0;
        while (rig.policy(1).getAsJsonObject("voter").get("votes").getAsBoolean()) {
            long next = ++changes;
            String types = "{\"bans\":[" + names + ",{\"name\":\"till-" + next + "\"}]}";
            rig.proposeUntilTaken(0, "big-" + next, types);
            awaitState(0, "big-" + next, "applied");
            assertTrue(next < 500, "the disk did not fill up");
        }
        assertTrue(rig.log(1).contains("this process has stopped voting"), rig.log(1));
        // Without its vote the process continues to serve, and it learns what the others decide.
        long last = changes + 1;
        rig.proposeUntilTaken(0, "after-failure", bans("z"));
        rig.awaitDeciding(last, rig.all());
        assertTrue(request(1, "r").contains("policy=" + last));
        checkHistory();
    }

    @Test
    void schedulerOfAnEarlierBuildCanRejectAChange() throws Exception {
        createFleet(3);
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        int leader = rig.leader();
        // A stand-in for a build that knows neither the resource type nor newer messages, and sends fields that
        // this build does not know.
        try (Peer earlierBuild = SchedulerHarness.connect(
                "127.0.0.1", Integer.parseInt(rig.fleetAddress(leader).split(":")[1]))) {
            earlierBuild.write("POST /fleet/link HTTP/1.1\r\nHost: f\r\nTransfer-Encoding: chunked\r\n\r\n");
            sendLine(
                    earlierBuild,
                    "{'t':'hello','name':'old','life':'1','build':'0.1','from':1,'to':1,'extra':{'a':[1]}}");
            sendLine(earlierBuild, "{'t':'unknown-kind','x':1}");
            sendLine(earlierBuild, renewal(0, "[]"));
            readUntil(earlierBuild, "\"t\":\"grant\"");
            rig.proposeUntilTaken(leader, "new-type", "{\"module\":[{\"name\":\"module\",\"cross_each_way\":0.3}]}");
            readUntil(earlierBuild, "\"t\":\"content\"");
            sendLine(earlierBuild, renewal(1, "['module: is not a type accepted by this scheduler']"));
            awaitState(leader, "new-type", "abandoned");
            JsonObject change = rig.change(leader, "new-type");
            assertTrue(change.get("reasons").toString().contains("old#1: module: is not a type"), change.toString());
            // The earlier build never announced its stop: the next change waits only until that lease ends.
            rig.proposeUntilTaken(leader, "next", bans("x"));
        }
        awaitState(leader, "next", "applied");
        rig.awaitDeciding(2, rig.all());
        // Once all schedulers know the type, the change is applied.
        rig.proposeUntilTaken(leader, "new-type-again", "{\"module\":[{\"name\":\"module\",\"cross_each_way\":0.3}]}");
        rig.awaitDeciding(3, rig.all());
        checkHistory();
    }

    private static String renewal(int refused, String reasons) {
        return "{'t':'renew','who':'old#1','at':1,'term':0,'seq':0,'begun':0,'ready':[0],'refused':" + refused
                + ",'reasons':" + reasons + ",'round_trip':100,'tallies':[[0,0],[0,0]]}";
    }

    private static void sendLine(Peer to, String line) throws IOException {
        String text = line.replace('\'', '"') + "\n";
        to.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** Reads lines until one contains {@code part}. */
    private static void readUntil(Peer from, String part) throws IOException {
        String line;
        do {
            line = from.readTo("\n");
        } while (!line.contains(part));
    }

    @Test
    void upgradeWithPassedSocketDuringChangesKeepsTheInvariants() throws Exception {
        createFleet(4);
        rig.start(0);
        rig.start(1);
        rig.start(3);
        Path config = rig.write(2);
        try (Platform platform = new Platform(
                folder, folder.resolve(Rig.name(2) + ".log"), Map.of(), "serve", "--config", config.toString())) {
            SchedulerProcess oldProcess = platform.launch();
            rig.await("the old process serves", () -> oldProcess.call("check").equals("done"));
            rig.awaitDeciding(0, rig.all());
            rig.proposeUntilTaken(0, "before", bans("a"));
            rig.awaitDeciding(1, rig.all());
            SchedulerProcess newProcess = platform.launch();
            // Both processes run and decide, and a change applies to both.
            rig.proposeUntilTaken(0, "during-upgrade-1", bans("b"));
            rig.await(
                    "the new process can serve", () -> newProcess.call("check").equals("done"));
            rig.proposeUntilTaken(1, "during-upgrade-2", bans("c"));
            awaitState(0, "during-upgrade-2", "applied");
            // Between two policies no request reaches the endpoint: send one when both decide by the new
            // policy.
            rig.awaitDeciding(3, rig.all());
            rig.await("the new process decides", () -> newProcess.call("check").equals("done"));
            try (Peer client = sendRequestTo(platform.port, "u");
                    Peer call = endpoint.accept()) {
                call.message();
                answer(call, "u");
            }
            oldProcess.handle().destroy();
            oldProcess.awaitExit();
            // The new process has taken over the address and the store: it answers at that address and votes with
            // the stored state.
            rig.awaitDeciding(3, rig.all());
            rig.await(
                    "the new process votes",
                    () -> rig.policy(2).getAsJsonObject("voter").get("votes").getAsBoolean());
            rig.kill(0);
            rig.proposeUntilTaken(1, "with-its-vote", bans("d"));
            rig.awaitDeciding(4, 1, 2, 3);
            rig.start(0);
            rig.awaitDeciding(4, rig.all());
            checkHistoryWith(2);
        }
    }
}
