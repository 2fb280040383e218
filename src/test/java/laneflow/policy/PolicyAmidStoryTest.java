package laneflow.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import laneflow.lab.rig.Rig;
import laneflow.net.Stand;
import laneflow.net.Stand.Peer;
import laneflow.ops.Platform;
import laneflow.ops.Platform.Started;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Changes of policy amid a planned end, an upgrade, on a full disk, and beside a peer of an earlier build. */
@Timeout(300)
class PolicyAmidStoryTest extends PolicyStories {

    @Test
    void amidAPlannedEndRequestsKeepTheirPolicyAndNobodyWaits() throws Exception {
        fleet(4);
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        try (Peer client = asking(3, "open")) {
            try (Peer call = till.accept()) {
                call.message();
                // Without a word from its endpoint the request would be given up before the change is made.
                call.begins("{'id':'open','state':'started'}");
                // It drains while a change is made, and still takes what comes.
                rig.term(3);
                rig.await("it says that it ends", () -> rig.log(3).contains("stopping, 1 open"));
                rig.proposeUntilTaken(0, "amid-a-drain", bans("x"));
                decided(0, "amid-a-drain", "applied");
                rig.awaitDeciding(1, rig.all());
                String late = refusedOrAnswered(3, "late");
                call.ends("{'id':'open','state':'done','result':'ran'}");
                assertTrue(client.message().contains("Config-Version: policy=0"));
                assertTrue(late.contains("policy=1") || late.contains(" 503 "), late);
            }
        }
        assertEquals(143, rig.ended(3));
        // It has said that it leaves: the next change waits for no lease of its.
        long from = System.nanoTime();
        rig.proposeUntilTaken(0, "behind-it", bans("y"));
        rig.awaitDeciding(2, 0, 1, 2);
        assertTrue(System.nanoTime() - from < TimeUnit.SECONDS.toNanos(30));
        check();
    }

    /** A request that comes while a scheduler drains, its till answering at once if it is called. */
    private String refusedOrAnswered(int i, String id) throws Exception {
        try (Peer client = asking(i, id)) {
            return client.message();
        } catch (IOException e) {
            // It takes no more clients.
            return "HTTP/1.1 503 closed";
        }
    }

    @Test
    void aLeaderThatEndsInOrderAmidAChangeLeavesItToTheNext() throws Exception {
        fleet(4);
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        int leader = rig.leader();
        rig.term(leader);
        rig.await(
                "it is taken",
                () -> rig.propose(3, "amid", bans("x")) != null
                        || state(3, "amid").equals("applied"));
        assertEquals(143, rig.ended(leader));
        decided(3, "amid", "applied");
        for (int i : rig.all()) {
            if (i != leader) {
                rig.awaitDeciding(1, i);
            }
        }
        check();
    }

    @Test
    void aFullDiskCostsTheVoteAndNotTheService() throws Exception {
        fleet(4);
        // The library that its store uses unpacks itself first, and is somewhat smaller.
        rig.fullAt(1, 2_500_000);
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        // Each of these is some ten pages of its log.
        String many = "name".repeat(2000);
        StringBuilder names = new StringBuilder();
        for (int i = 0; i < 40; i++) {
            names.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"")
                    .append(many, 0, 100)
                    .append(i)
                    .append("\"}");
        }
        long changes = 0;
        while (rig.policy(1).getAsJsonObject("voter").get("votes").getAsBoolean()) {
            long next = ++changes;
            String types = "{\"bans\":[" + names + ",{\"name\":\"till-" + next + "\"}]}";
            rig.proposeUntilTaken(0, "big-" + next, types);
            decided(0, "big-" + next, "applied");
            assertTrue(next < 500, "its disk did not become full");
        }
        assertTrue(rig.log(1).contains("this process has stopped voting"), rig.log(1));
        // It serves on, the others decide on, and it learns what they decide.
        long last = changes + 1;
        rig.proposeUntilTaken(0, "behind", bans("z"));
        rig.awaitDeciding(last, rig.all());
        assertTrue(request(1, "r").contains("policy=" + last));
        check();
    }

    @Test
    void aPeerOfAnEarlierBuildIsHeardAndMayTurnDown() throws Exception {
        fleet(3);
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        int leader = rig.leader();
        // A stand-in for a build that knows neither the type nor newer words, and says more than is known here.
        try (Peer old = Stand.peer(
                "127.0.0.1", Integer.parseInt(rig.fleetAddress(leader).split(":")[1]))) {
            old.write("POST /fleet/link HTTP/1.1\r\nHost: f\r\nTransfer-Encoding: chunked\r\n\r\n");
            says(old, "{'t':'hello','name':'old','life':'1','build':'0.1','from':1,'to':1,'extra':{'a':[1]}}");
            says(old, "{'t':'long-gone','x':1}");
            says(old, renewal(0, "[]"));
            hears(old, "\"t\":\"grant\"");
            rig.proposeUntilTaken(leader, "new-type", "{\"module\":[{\"name\":\"module\",\"cross_each_way\":0.3}]}");
            hears(old, "\"t\":\"content\"");
            says(old, renewal(1, "['module: is no type that is taken here']"));
            decided(leader, "new-type", "abandoned");
            JsonObject told = rig.change(leader, "new-type");
            assertTrue(told.get("reasons").toString().contains("old#1: module: is no type"), told.toString());
            // It never said that it leaves: the next change waits for its lease, and no longer.
            rig.proposeUntilTaken(leader, "next", bans("x"));
        }
        decided(leader, "next", "applied");
        rig.awaitDeciding(2, rig.all());
        // Where all know it, it takes hold.
        rig.proposeUntilTaken(leader, "new-type-again", "{\"module\":[{\"name\":\"module\",\"cross_each_way\":0.3}]}");
        rig.awaitDeciding(3, rig.all());
        check();
    }

    private static String renewal(int refused, String reasons) {
        return "{'t':'renew','who':'old#1','at':1,'term':0,'seq':0,'begun':0,'ready':[0],'refused':" + refused
                + ",'reasons':" + reasons + ",'round_trip':100,'tallies':[[0,0],[0,0]]}";
    }

    private static void says(Peer to, String line) throws IOException {
        String text = line.replace('\'', '"') + "\n";
        to.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** Reads on until a line holds that. */
    private static void hears(Peer from, String part) throws IOException {
        String line;
        do {
            line = from.readTo("\n");
        } while (!line.contains(part));
    }

    @Test
    void anUpgradeOnThePassedSocketAmidChangesKeepsThePromises() throws Exception {
        fleet(4);
        rig.start(0);
        rig.start(1);
        rig.start(3);
        Path config = rig.write(2);
        try (Platform platform = new Platform(
                folder, folder.resolve(Rig.name(2) + ".log"), Map.of(), "serve", "--config", config.toString())) {
            Started former = platform.launch();
            rig.await("it serves", () -> former.call("check").equals("done"));
            rig.awaitDeciding(0, rig.all());
            rig.proposeUntilTaken(0, "before", bans("a"));
            rig.awaitDeciding(1, rig.all());
            Started next = platform.launch();
            // Both live, both decide, and a change is one for both.
            rig.proposeUntilTaken(0, "amid-1", bans("b"));
            rig.await("the new one can serve", () -> next.call("check").equals("done"));
            rig.proposeUntilTaken(1, "amid-2", bans("c"));
            decided(0, "amid-2", "applied");
            // Between two policies nothing comes to the till: ask once both decide by the new one.
            rig.awaitDeciding(3, rig.all());
            rig.await("the new one decides", () -> next.call("check").equals("done"));
            try (Peer client = ask(platform.port, "u");
                    Peer call = till.accept()) {
                call.message();
                answer(call, "u");
            }
            former.handle().destroy();
            former.ended();
            // Its address and its store are the new one's now: it is asked there, and votes with what it had.
            rig.awaitDeciding(3, rig.all());
            rig.await(
                    "it votes",
                    () -> rig.policy(2).getAsJsonObject("voter").get("votes").getAsBoolean());
            rig.kill(0);
            rig.proposeUntilTaken(1, "with-its-vote", bans("d"));
            rig.awaitDeciding(4, 1, 2, 3);
            rig.start(0);
            rig.awaitDeciding(4, rig.all());
            checkWith(2);
        }
    }
}
