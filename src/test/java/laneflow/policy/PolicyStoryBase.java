package laneflow.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import laneflow.lab.measure.PolicyHistory;
import laneflow.lab.rig.Rig;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Endpoint;
import laneflow.net.SchedulerHarness.Peer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/**
 * Common setup of the policy tests that use real processes. Every test must end with a check of its history.
 */
abstract class PolicyStoryBase {
    /** A long deadline: an open call must outlast a policy change on a busy machine. */
    static final String CLASSES = "[classes.check]\naim_ms = 200\ndeadline_ms = 60000\nrepeat = \"safe\"\n";

    static final String POST = "[classes.post]\ndeadline_ms = 5000\nrepeat = \"safe\"\n";

    @TempDir
    Path folder;

    Endpoint endpoint;
    Rig rig;
    final PolicyHistory history = new PolicyHistory();
    boolean historyChecked;

    @BeforeEach
    void startEndpoint() throws IOException {
        endpoint = new Endpoint("till");
    }

    String configText(String classes) {
        return "zones = [\"z\"]\n" + classes + "[endpoints.till]\ndial = \"" + endpoint.dial()
                + "\"\n[policy]\nvoters = VOTERS\ndir = \"FOLDER\"\ntell_policy = true\n";
    }

    void createFleet(int schedulers) throws IOException {
        createFleet(schedulers, "");
    }

    /** Creates the fleet with more lines in the [policy] table. */
    void createFleet(int schedulers, String policy) throws IOException {
        rig = new Rig(folder, schedulers, 3, 7, configText(CLASSES + POST) + policy);
    }

    @AfterEach
    void closeAll() throws Exception {
        try {
            assertTrue(historyChecked, "the test did not check its history");
        } finally {
            rig.close();
            endpoint.close();
        }
    }

    static String bans(String... names) {
        StringBuilder entries = new StringBuilder();
        for (String name : names) {
            entries.append(entries.isEmpty() ? "" : ",")
                    .append("{\"name\":\"")
                    .append(name)
                    .append("\"}");
        }
        return "{\"bans\":[" + entries + "]}";
    }

    /** Reads all logs and outcomes and checks them against the invariants. */
    void checkHistory() throws Exception {
        checkHistoryWith(-1);
    }

    /** Like {@link #checkHistory}, for a test that started one of the schedulers without the rig. */
    void checkHistoryWith(int startedElsewhere) throws Exception {
        historyChecked = true;
        for (int i = 0; i < rig.size(); i++) {
            history.log(Rig.name(i), rig.log(i));
            if (rig.isUp(i) || i == startedElsewhere) {
                int scheduler = i;
                rig.await(
                        "the outcomes are readable",
                        () -> rig.ask(scheduler, "/policy/history", null).statusCode() == 200);
                JsonParser.parseString(rig.ask(i, "/policy/history", null).body())
                        .getAsJsonArray()
                        .forEach(element -> {
                            JsonObject change = element.getAsJsonObject();
                            history.outcome(
                                    change.get("name").getAsString(),
                                    change.get("number").getAsLong(),
                                    change.get("state").getAsString());
                        });
            }
        }
        assertEquals(List.of(), history.check());
    }

    /** Waits until another voter than {@code former} is the leader, and returns it. */
    int awaitNewLeader(int former) throws IOException, InterruptedException {
        int[] found = {-1};
        rig.await("another voter is the leader", () -> {
            for (int i = 0; i < 3; i++) {
                if (i != former && rig.isUp(i) && rig.policy(i).has("leads")) {
                    found[0] = i;
                }
            }
            return found[0] >= 0;
        });
        return found[0];
    }

    String changeState(int i, String name) throws IOException, InterruptedException {
        JsonObject change = rig.change(i, name);
        return change == null ? "unknown" : change.get("state").getAsString();
    }

    void awaitState(int i, String name, String state) throws IOException, InterruptedException {
        rig.await(name + " is " + state, () -> changeState(i, name).equals(state));
    }

    /** A client that has sent a request to a scheduler. */
    Peer sendRequest(int i, String id) throws IOException {
        return sendRequestTo(rig.clientPort(i), id);
    }

    static Peer sendRequestTo(int port, String id) throws IOException {
        return SchedulerHarness.connect("127.0.0.1", port)
                .write("POST /check HTTP/1.1\r\nHost: c\r\nReq-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
    }

    /** Has the endpoint answer a call. */
    static void answer(Peer call, String id) throws IOException {
        call.respond("{'id':'" + id + "','state':'done','result':'ran'}");
    }

    /** The scheduler's answer to a request that the endpoint answers at once. */
    String request(int i, String id) throws Exception {
        try (Peer client = sendRequest(i, id);
                Peer call = endpoint.accept()) {
            call.message();
            answer(call, id);
            return client.message();
        }
    }

    String requestWithoutEndpoint(int i, String id) throws Exception {
        // A scheduler accepts other schedulers before it accepts clients.
        rig.awaitClients(i);
        try (Peer client = sendRequest(i, id)) {
            return client.message();
        }
    }
}
