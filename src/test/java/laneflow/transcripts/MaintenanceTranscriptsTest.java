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
import laneflow.lab.rig.Crew;
import laneflow.maintenance.decision.MaintenanceJson;
import laneflow.maintenance.decision.Request;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Endpoint;
import laneflow.net.SchedulerHarness.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Maintenance windows from request to end, as seen by the owner, the crew, a client and the endpoints of a single
 * scheduler, which is the only voter.
 */
@Timeout(300)
class MaintenanceTranscriptsTest {
    private static final long LATER_MS = 40_000;
    /** Far enough ahead that the planned time can be kept even if the machine stalls for a while. */
    private static final long SOON_MS = 3000;

    @TempDir
    private Path folder;

    /** A scenario at a coordinating scheduler, with one endpoint in each of two racks. */
    private interface Scenario {
        void run(Operator operator, int clientPort, Endpoint a, Endpoint b) throws Exception;
    }

    private void runScenario(Transcript transcript, Scenario scenario) throws Exception {
        runScenario(transcript, 60_000, scenario);
    }

    private void runScenario(Transcript transcript, int beginMs, Scenario scenario) throws Exception {
        Path nodeFolder = Files.createTempDirectory(folder, "n1");
        Endpoint a = new Endpoint("e1");
        Endpoint b = new Endpoint("e2");
        int fleetPort = Crew.port();
        Path file = Files.writeString(
                nodeFolder.resolve("n1.toml"),
                "name = 'n1'\nlisten = '127.0.0.1:0'\nzones = ['z']\n"
                        + "[classes.capture]\ndeadline_ms = 20000\n[tenants.shops]\n[endpoints.e1]\ndial = '" + a.dial()
                        + "'\nrack = 'a'\nslots = 4\n[endpoints.e2]\ndial = '" + b.dial()
                        + "'\nrack = 'b'\nslots = 4\n[policy]\nvoters = ['n1']\ndir = '" + nodeFolder
                        + "'\nlease_ms = 3000\n[fleet]\nlisten = '127.0.0.1:"
                        + fleetPort + "'\n[fleet.peers]\nn1 = '127.0.0.1:" + fleetPort
                        + "'\n[tasks]\n[maintenance]\nstep_ms = 1000\n"
                        + "ahead_ms = 120000\ndrain_ms = 2000\nreturn_ms = 200\nearly_ms = 5000\nlate_ms = 30000\nlook_ms = 20\n"
                        + "silent_ms = 0\nbegin_ms = " + beginMs + "\noverrun_ms = 100\ndemand = 0.3\n");
        Serve serve = new Serve(Setup.fromOperatorsFile(file, null, null));
        try {
            Await.until(
                    "n1 coordinates",
                    () -> get(fleetPort, "/maintenance").contains("\"coordinator\":\"n1#"),
                    () -> get(fleetPort, "/maintenance"));
            scenario.run(
                    new Operator(transcript, fleetPort), serve.front().address().getPort(), a, b);
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

    /** Sends requests as the owner or the crew of a window, one per connection. */
    private record Operator(Transcript transcript, int fleetPort) {
        void submitRequest(String name, long workMs, long abortMs, long fromMs, String... racks) throws IOException {
            long now = System.currentTimeMillis();
            JsonArray requests = new JsonArray();
            requests.add(MaintenanceJson.write(new Request(
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
            body.add("requests", requests);
            post("owner", "/maintenance/requests", body.toString());
        }

        void sendCommand(String role, String command, String name) throws IOException {
            post(role, "/maintenance/windows/" + name, "{\"do\":\"" + command + "\"}");
        }

        private void post(String role, String path, String body) throws IOException {
            send(role, "POST " + path + " HTTP/1.1\r\nHost: f\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }

        /**
         * Polls until the window is in that state, without recording, since the number of polls varies; then records
         * one report.
         */
        void awaitState(String name, String state) throws Exception {
            Await.until(name + " is " + state, () -> state(name).equals(state), () -> get(fleetPort, "/maintenance"));
            send("owner", "GET /maintenance HTTP/1.1\r\nHost: f\r\n\r\n");
        }

        private String state(String name) throws IOException {
            String response = get(fleetPort, "/maintenance");
            JsonObject report = JsonParser.parseString(response.substring(response.indexOf("\r\n\r\n")))
                    .getAsJsonObject();
            for (JsonElement element : report.getAsJsonArray("windows")) {
                if (element.getAsJsonObject().get("name").getAsString().equals(name)) {
                    return element.getAsJsonObject().get("state").getAsString();
                }
            }
            return "unknown";
        }

        private void send(String role, String request) throws IOException {
            try (RecordedPeer operator =
                    new RecordedPeer(transcript, role, SchedulerHarness.connect("127.0.0.1", fleetPort))) {
                operator.write(request).message();
            }
        }
    }

    /** A client's request and the resulting call at the expected endpoint. */
    private static void serveRequest(Transcript transcript, int clientPort, String id, Endpoint endpoint)
            throws IOException {
        try (RecordedPeer client =
                new RecordedPeer(transcript, "client", SchedulerHarness.connect("127.0.0.1", clientPort))) {
            client.post("capture", id, "Req-Owner: shops\r\n", "pay");
            RecordedPeer call = new RecordedPeer(transcript, endpoint.name, endpoint.accept());
            call.message();
            call.reply("{'id':'" + id + "','state':'done','result':'paid'}");
            client.message();
        }
    }

    @Test
    void fromRequestToReturn() throws Exception {
        Transcript.of(
                "A window from request to return: no leave while it is planned; no request is sent to its rack.",
                transcript -> runScenario(transcript, (operator, clientPort, a, b) -> {
                    operator.submitRequest("w", 500, 500, 8000, "a");
                    operator.awaitState("w", "planned");
                    operator.sendCommand("crew", "begin", "w");
                    operator.awaitState("w", "down");
                    operator.sendCommand("crew", "begin", "w");
                    serveRequest(transcript, clientPort, "1", b);
                    operator.sendCommand("crew", "finish", "w");
                    operator.awaitState("w", "done");
                    operator.sendCommand("crew", "begin", "w");
                }));
    }

    @Test
    void turnedDown() throws Exception {
        Transcript.of(
                "Windows that are refused, with the reasons; and requests that are invalid.",
                transcript -> runScenario(transcript, (operator, clientPort, a, b) -> {
                    operator.submitRequest("both", 300, 0, 0, "a", "b");
                    operator.awaitState("both", "refused");
                    operator.submitRequest("w x", 0, 5, 0, "a", "a", "c");
                    operator.post("owner", "/maintenance/requests", "no JSON");
                    operator.post("owner", "/maintenance/windows/both", "{\"do\":\"dance\"}");
                    operator.sendCommand("crew", "begin", "none");
                    operator.sendCommand("crew", "begin", "both");
                }));
    }

    @Test
    void overrun() throws Exception {
        Transcript.of(
                "A crew that does not report its finish: the window is shown as overrun until the crew reports it.",
                transcript -> runScenario(transcript, 3000, (operator, clientPort, a, b) -> {
                    operator.submitRequest("w", 300, 300, SOON_MS, "a");
                    operator.awaitState("w", "down");
                    operator.sendCommand("crew", "begin", "w");
                    operator.awaitState("w", "overrun");
                    operator.sendCommand("owner", "abort", "w");
                    operator.sendCommand("crew", "finish", "w");
                    operator.awaitState("w", "done");
                }));
    }

    @Test
    void calledOff() throws Exception {
        Transcript.of(
                "Windows that are aborted: one that is planned, and one whose rack is down without a crew at work.",
                transcript -> runScenario(transcript, (operator, clientPort, a, b) -> {
                    operator.submitRequest("later", 300, 300, LATER_MS, "a");
                    operator.awaitState("later", "planned");
                    operator.sendCommand("owner", "abort", "later");
                    operator.sendCommand("owner", "abort", "later");
                    operator.submitRequest("now", 300, 300, SOON_MS, "b");
                    operator.awaitState("now", "down");
                    operator.sendCommand("owner", "abort", "now");
                    operator.awaitState("now", "aborted");
                    operator.sendCommand("crew", "begin", "now");
                }));
    }

    @Test
    void abortedPastItsPoint() throws Exception {
        Transcript.of(
                "A crew at work: an abort before the abort point takes effect at the finish; a later one is refused.",
                transcript -> runScenario(transcript, (operator, clientPort, a, b) -> {
                    operator.submitRequest("early", 30_000, 30_000, SOON_MS, "a");
                    operator.awaitState("early", "down");
                    operator.sendCommand("crew", "begin", "early");
                    operator.sendCommand("owner", "abort", "early");
                    operator.sendCommand("crew", "finish", "early");
                    operator.awaitState("early", "aborted");
                    operator.submitRequest("past", 30_000, 0, SOON_MS, "a");
                    operator.awaitState("past", "down");
                    operator.sendCommand("crew", "begin", "past");
                    operator.sendCommand("owner", "abort", "past");
                    operator.sendCommand("crew", "finish", "past");
                    operator.awaitState("past", "done");
                }));
    }
}
