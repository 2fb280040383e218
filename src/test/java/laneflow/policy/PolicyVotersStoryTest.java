package laneflow.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import laneflow.lab.rig.Rig;
import laneflow.net.SchedulerHarness.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Voters are added and removed one at a time while changes are proposed and requests sent. */
@Timeout(300)
class PolicyVotersStoryTest extends PolicyStoryBase {
    /** Proposes changes one after the other and sends a request after each, until closed. */
    private final class Load implements AutoCloseable {
        private final List<String> decidedNames = new ArrayList<>();
        private final Thread thread = new Thread(this::run, "load");
        private final Thread endpointThread = new Thread(this::answerCalls, "endpoint");
        private volatile boolean stopped;
        private volatile Exception failure;

        private Load() {
            endpointThread.setDaemon(true);
            endpointThread.start();
            thread.start();
        }

        /** Answers every call to the endpoint. No call comes between the end of one policy and the start of the next. */
        private void answerCalls() {
            while (!stopped) {
                try (Peer call = endpoint.accept()) {
                    String head = call.message();
                    String id = head.replaceAll("(?s).*Req-Id: ([^\r]*)\r.*", "$1");
                    PolicyStoryBase.answer(call, id);
                } catch (IOException e) {
                    continue;
                }
            }
        }

        private void run() {
            try {
                for (int n = 0; !stopped; n++) {
                    String name = "load-" + n;
                    rig.proposeUntilTaken(4, name, bans("x" + name));
                    awaitState(4, name, "applied");
                    decidedNames.add(name);
                    try (Peer client = sendRequest(4, name)) {
                        String answer = client.message();
                        // Between two policies schedulers refuse requests for a moment.
                        assertTrue(answer.contains(" 200 ") || answer.contains(" 503 "), answer);
                    }
                }
            } catch (Exception e) {
                failure = e;
            }
        }

        @Override
        public void close() throws Exception {
            stopped = true;
            thread.join();
            if (failure != null) {
                throw failure;
            }
        }
    }

    private int changeVoter(String operation, int voter) throws IOException, InterruptedException {
        return rig.ask(4, "/policy/voters", "{\"" + operation + "\":\"" + Rig.name(voter) + "\"}")
                .statusCode();
    }

    private JsonObject voter(int i) throws IOException, InterruptedException {
        return rig.policy(i).getAsJsonObject("voter");
    }

    private boolean flag(int i, String field) throws IOException, InterruptedException {
        return voter(i).get(field).getAsBoolean();
    }

    @Test
    void votersAreAddedAndRemovedUnderLoad() throws Exception {
        rig = new Rig(folder, 5, 4, 11, configText(CLASSES + POST));
        rig.votersNamed(3);
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        assertTrue(flag(3, "candidate"));
        List<String> names;
        try (Load load = new Load()) {
            // A fourth voter is added; adding it again is an error.
            rig.await("the voter is added", () -> changeVoter("add", 3) == 200);
            rig.await(
                    "the added voter votes",
                    () -> flag(3, "votes") && voter(3).getAsJsonArray("voters").size() == 4);
            assertEquals(409, changeVoter("add", 3));
            assertEquals(409, changeVoter("remove", 4));
            // The leader is removed: it transfers its leadership first.
            int formerLeader = rig.leader();
            rig.await("the leader is removed", () -> changeVoter("remove", formerLeader) == 200);
            rig.await("the former leader learns of its removal", () -> flag(formerLeader, "removed"));
            assertFalse(flag(formerLeader, "votes"));
            // There are three voters now, one of them new: another one may fail.
            int leader = rig.leader();
            int killed = otherVoter(formerLeader, leader);
            rig.kill(killed);
            String changeName = "three-vote";
            rig.proposeUntilTaken(4, changeName, bans("t"));
            awaitState(4, changeName, "applied");
            rig.start(killed);
            rig.await("the restarted voter votes again", () -> flag(killed, "votes"));
            names = load.decidedNames;
        }
        assertTrue(names.size() > 3, names + " were decided under load");
        // Restarted with its old store, the removed voter does not unseat the leader.
        int removed = removedVoter();
        rig.await("there is a leader", () -> rig.leader() >= 0);
        int term = rig.policy(rig.leader()).getAsJsonObject("voter").get("term").getAsInt();
        rig.kill(removed);
        rig.start(removed);
        rig.await("the restarted voter learns of its removal again", () -> flag(removed, "removed"));
        rig.proposeUntilTaken(4, "after-restart", bans("s"));
        awaitState(4, "after-restart", "applied");
        assertEquals(
                term,
                rig.policy(rig.leader()).getAsJsonObject("voter").get("term").getAsInt());
        // The removed voter can't be added again with its old store, but with a new one.
        assertEquals(409, changeVoter("add", removed));
        rig.kill(removed);
        rig.wipe(removed);
        rig.start(removed);
        rig.await(
                "the removed voter is up with an empty store",
                () -> rig.policy(removed).has("voter"));
        rig.await("the voter is added", () -> changeVoter("add", removed) == 200);
        rig.await("the added voter votes", () -> flag(removed, "votes"));
        long last = rig.policy(rig.leader()).get("policy").getAsLong();
        rig.awaitDeciding(last, rig.all());
        checkHistory();
    }

    private int removedVoter() throws IOException, InterruptedException {
        for (int i = 0; i < 4; i++) {
            if (flag(i, "removed")) {
                return i;
            }
        }
        throw new IOException("no voter was removed");
    }

    /** A voter other than these two. */
    private static int otherVoter(int first, int second) {
        for (int i = 0; i < 4; i++) {
            if (i != first && i != second) {
                return i;
            }
        }
        throw new IllegalStateException();
    }
}
