package laneflow.transcripts;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import laneflow.assembly.Serve;
import laneflow.assembly.Setup;
import laneflow.lab.rig.Await;
import laneflow.lab.rig.ChildProcesses;
import laneflow.maintenance.decision.MaintenanceJson;
import laneflow.maintenance.decision.Request;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Endpoint;
import laneflow.net.SchedulerHarness.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The life of a window as its owner, its crew, a client and endpoints see it, at a single scheduler that is
 * the only voter.
 */
@Timeout(300)
class MaintenanceTranscriptsTest {
    private static final long LATER = 40_000;
    /** Far enough ahead that the planned time can be kept even if the machine stalls for a while. */
    private static final long SOON = 3000;

    @TempDir
    private Path folder;

    /** A scenario at a coordinating scheduler, with one endpoint in each of two racks. */
    private interface Scenario {
        void run(Operator operator, int clients, Endpoint a, Endpoint b) throws Exception;
    }

    private void runScenario(Transcript transcript, Scenario scenario) throws Exception {
        runScenario(transcript, 60_000, scenario);
    }

    private void runScenario(Transcript transcript, int beginMs, Scenario scenario) throws Exception {
        Path own = Files.createTempDirectory(folder, "n1");
        Endpoint a = new Endpoint("e1");
        Endpoint b = new Endpoint("e2");
        int fleet = ChildProcesses.freePort();
        Path file = Files.writeString(
                own.resolve("n1.toml"),
                "name = 'n1'\nlisten = '127.0.0.1:0'\nzones = ['z']\n"
                        + "[classes.capture]\ndeadline_ms = 20000\n[tenants.shops]\n[endpoints.e1]\ndial = '" + a.dial()
                        + "'\nrack = 'a'\nslots = 4\n[endpoints.e2]\ndial = '" + b.dial()
                        + "'\nrack = 'b'\nslots = 4\n[policy]\nvoters = ['n1']\ndir = '" + own
                        + "'\nlease_ms = 3000\n[fleet]\nlisten = '127.0.0.1:"
                        + fleet + "'\n[fleet.peers]\nn1 = '127.0.0.1:" + fleet
                        + "'\n[tasks]\n[maintenance]\nstep_ms = 1000\n"
                        + "ahead_ms = 120000\ndrain_ms = 2000\nreturn_ms = 200\nearly_ms = 5000\nlate_ms = 30000\nlook_ms = 20\n"
                        + "silent_ms = 0\nbegin_ms = " + beginMs + "\noverrun_ms = 100\ndemand = 0.3\n");
        Serve serve = new Serve(Setup.operators(file, null, null));
        try {
            Await.until(
                    "it coordinates",
                    () -> get(fleet, "/maintenance").contains("\"coordinator\":\"n1#"),
                    () -> get(fleet, "/maintenance"));
            scenario.run(
                    new Operator(transcript, fleet), serve.front().address().getPort(), a, b);
        } finally {
            serve.halt();
            a.close();
            b.close();
        }
    }

    private static String get(int port, String path) throws IOException {
        try (Peer peer = SchedulerHarness.connect("127.0.0.1", port)) {
            return peer.write("GET " + path + " HTTP/1.1\r\nHost: f\r\n\r\n").message();
        }
    }

    /** An owner or a crew, with one request per connection. */
    private record Operator(Transcript transcript, int fleet) {
        void requests(String name, long workMs, long abortMs, long fromMs, String... racks) throws IOException {
            long now = System.currentTimeMillis();
            JsonArray all = new JsonArray();
            all.add(MaintenanceJson.write(new Request(
                    name,
                    "power crew",
                    List.of(racks),
                    workMs,
                    now + fromMs,
                    now + 67_000 + fromMs,
                    0,
                    abortMs,
                    Set.of(),
                    List.of())));
            JsonObject body = new JsonObject();
            body.add("requests", all);
            posts("owner", "/maintenance/requests", body.toString());
        }

        void orders(String who, String what, String name) throws IOException {
            posts(who, "/maintenance/windows/" + name, "{\"do\":\"" + what + "\"}");
        }

        private void posts(String who, String path, String body) throws IOException {
            sends(who, "POST " + path + " HTTP/1.1\r\nHost: f\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }

        /**
         * Waits until the window is in that state, without recording since the number of polls varies; then
         * asks once more, recorded.
         */
        void awaits(String name, String state) throws Exception {
            Await.until(name + " is " + state, () -> state(name).equals(state), () -> get(fleet, "/maintenance"));
            sends("owner", "GET /maintenance HTTP/1.1\r\nHost: f\r\n\r\n");
        }

        private String state(String name) throws IOException {
            String said = get(fleet, "/maintenance");
            JsonObject all = JsonParser.parseString(said.substring(said.indexOf("\r\n\r\n")))
                    .getAsJsonObject();
            for (JsonElement one : all.getAsJsonArray("windows")) {
                if (one.getAsJsonObject().get("name").getAsString().equals(name)) {
                    return one.getAsJsonObject().get("state").getAsString();
                }
            }
            return "unknown";
        }

        private void sends(String who, String request) throws IOException {
            try (RecordedPeer operator =
                    new RecordedPeer(transcript, who, SchedulerHarness.connect("127.0.0.1", fleet))) {
                operator.write(request).message();
            }
        }
    }

    /** A client's request and the resulting call at the expected endpoint. */
    private static void served(Transcript transcript, int clients, String id, Endpoint at) throws IOException {
        try (RecordedPeer client =
                new RecordedPeer(transcript, "client", SchedulerHarness.connect("127.0.0.1", clients))) {
            client.post("capture", id, "Req-Owner: shops\r\n", "pay");
            RecordedPeer call = new RecordedPeer(transcript, at.name, at.accept());
            call.message();
            call.reply("{'id':'" + id + "','state':'done','result':'paid'}");
            client.message();
        }
    }

    @Test
    void fromRequestToReturn() throws Exception {
        Transcript.of(
                "A window from request to return: no leave while it is planned; nobody is sent to its rack.",
                transcript -> runScenario(transcript, (operator, clients, a, b) -> {
                    operator.requests("w", 500, 500, 8000, "a");
                    operator.awaits("w", "planned");
                    operator.orders("crew", "begin", "w");
                    operator.awaits("w", "down");
                    operator.orders("crew", "begin", "w");
                    served(transcript, clients, "1", b);
                    operator.orders("crew", "finish", "w");
                    operator.awaits("w", "done");
                    operator.orders("crew", "begin", "w");
                }));
    }

    @Test
    void turnedDown() throws Exception {
        Transcript.of(
                "Windows that are turned down, with who stands against them; and what is no request.",
                transcript -> runScenario(transcript, (operator, clients, a, b) -> {
                    operator.requests("both", 300, 0, 0, "a", "b");
                    operator.awaits("both", "refused");
                    operator.requests("w x", 0, 5, 0, "a", "a", "c");
                    operator.posts("owner", "/maintenance/requests", "no JSON");
                    operator.posts("owner", "/maintenance/windows/both", "{\"do\":\"dance\"}");
                    operator.orders("crew", "begin", "none");
                    operator.orders("crew", "begin", "both");
                }));
    }

    @Test
    void overrun() throws Exception {
        Transcript.of(
                "A crew that does not say that it has finished: shown as overrun, ended by its word alone.",
                transcript -> runScenario(transcript, 3000, (operator, clients, a, b) -> {
                    operator.requests("w", 300, 300, SOON, "a");
                    operator.awaits("w", "down");
                    operator.orders("crew", "begin", "w");
                    operator.awaits("w", "overrun");
                    operator.orders("owner", "abort", "w");
                    operator.orders("crew", "finish", "w");
                    operator.awaits("w", "done");
                }));
    }

    @Test
    void calledOff() throws Exception {
        Transcript.of(
                "Windows that are called off: one that is planned, and one whose rack is down and no crew there.",
                transcript -> runScenario(transcript, (operator, clients, a, b) -> {
                    operator.requests("later", 300, 300, LATER, "a");
                    operator.awaits("later", "planned");
                    operator.orders("owner", "abort", "later");
                    operator.orders("owner", "abort", "later");
                    operator.requests("now", 300, 300, SOON, "b");
                    operator.awaits("now", "down");
                    operator.orders("owner", "abort", "now");
                    operator.awaits("now", "aborted");
                    operator.orders("crew", "begin", "now");
                }));
    }

    @Test
    void abortedPastItsPoint() throws Exception {
        Transcript.of(
                "A crew at work: called off within the abort point it ends with the crew's word; past it, not at all.",
                transcript -> runScenario(transcript, (operator, clients, a, b) -> {
                    operator.requests("early", 30_000, 30_000, SOON, "a");
                    operator.awaits("early", "down");
                    operator.orders("crew", "begin", "early");
                    operator.orders("owner", "abort", "early");
                    operator.orders("crew", "finish", "early");
                    operator.awaits("early", "aborted");
                    operator.requests("past", 30_000, 0, SOON, "a");
                    operator.awaits("past", "down");
                    operator.orders("crew", "begin", "past");
                    operator.orders("owner", "abort", "past");
                    operator.orders("crew", "finish", "past");
                    operator.awaits("past", "done");
                }));
    }
}
