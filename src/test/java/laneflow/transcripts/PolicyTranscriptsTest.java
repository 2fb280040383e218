package laneflow.transcripts;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import laneflow.assembly.Serve;
import laneflow.assembly.Setup;
import laneflow.lab.rig.Await;
import laneflow.lab.rig.Crew;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Endpoint;
import laneflow.net.SchedulerHarness.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Policy changes as seen by an operator and a client of a scheduler that is the only voter. */
@Timeout(120)
class PolicyTranscriptsTest {
    @TempDir
    private Path folder;

    /** The exchanges with a scheduler that decides by its first policy. */
    private interface Scenario {
        void run(Operator operator, RecordedPeer client, Endpoint endpoint) throws Exception;
    }

    private void withDecidingScheduler(Transcript transcript, Scenario scenario) throws Exception {
        Path nodeFolder = Files.createTempDirectory(folder, "n1");
        Endpoint endpoint = new Endpoint("e1");
        int fleetPort = Crew.port();
        Path file = Files.writeString(
                nodeFolder.resolve("n1.toml"),
                "name = 'n1'\nlisten = '127.0.0.1:0'\nzones = ['z']\n"
                        + "[classes.check]\nrepeat = 'safe'\n[classes.capture]\n[endpoints.e1]\ndial = '"
                        + endpoint.dial()
                        + "'\n[policy]\nvoters = ['n1']\ndir = '" + nodeFolder
                        + "'\ntell_policy = true\n[fleet]\nlisten = '127.0.0.1:"
                        + fleetPort + "'\n[fleet.peers]\nn1 = '127.0.0.1:" + fleetPort + "'\n");
        Serve serve = new Serve(Setup.fromOperatorsFile(file, null, null));
        try {
            Await.until(
                    "n1 decides",
                    () -> getUnrecorded(fleetPort, "/policy").contains("\"state\":\"deciding\""),
                    () -> getUnrecorded(fleetPort, "/policy"));
            try (RecordedPeer client = new RecordedPeer(
                    transcript,
                    "client",
                    SchedulerHarness.connect(
                            "127.0.0.1", serve.front().address().getPort()))) {
                scenario.run(new Operator(transcript, fleetPort), client, endpoint);
            }
        } finally {
            serve.halt();
            endpoint.close();
        }
    }

    private static String getUnrecorded(int port, String path) throws IOException {
        try (Peer peer = SchedulerHarness.connect("127.0.0.1", port)) {
            return peer.write("GET " + path + " HTTP/1.1\r\nHost: f\r\n\r\n").message();
        }
    }

    /** Sends requests to the fleet address, one per connection. */
    private record Operator(Transcript transcript, int fleetPort) {
        void propose(String body) throws IOException {
            send("POST /policy/changes HTTP/1.1\r\nHost: f\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }

        /**
         * Polls until the change is in that state, without recording, since the number of polls varies; then records
         * one report.
         */
        void awaitState(String name, String state) throws Exception {
            String path = "/policy/changes/" + name;
            Await.until(
                    name + " is " + state,
                    () -> getUnrecorded(fleetPort, path).contains("\"" + state + "\""),
                    () -> getUnrecorded(fleetPort, path));
            get(path);
        }

        /**
         * Waits until the scheduler decides by the policy. That is later than the change being applied, since the
         * lease delays it.
         */
        void awaitPolicy(int policy) throws Exception {
            Await.until(
                    "n1 decides by " + policy,
                    () -> getUnrecorded(fleetPort, "/policy").contains("\"policy\":" + policy + ","),
                    () -> getUnrecorded(fleetPort, "/policy"));
        }

        void get(String path) throws IOException {
            send("GET " + path + " HTTP/1.1\r\nHost: f\r\n\r\n");
        }

        private void send(String request) throws IOException {
            try (RecordedPeer operator =
                    new RecordedPeer(transcript, "operator", SchedulerHarness.connect("127.0.0.1", fleetPort))) {
                operator.write(request).message();
            }
        }
    }

    @Test
    void applied() throws Exception {
        Transcript.of(
                "A policy change is applied: it bans an endpoint, and the next change lifts the ban.",
                transcript -> withDecidingScheduler(transcript, (operator, client, endpoint) -> {
                    operator.propose("{\"name\":\"ban\",\"types\":{\"bans\":[{\"name\":\"e1\"}]}}");
                    operator.awaitState("ban", "applied");
                    operator.awaitPolicy(1);
                    client.post("capture", "1", "", "pay");
                    client.message();
                    operator.propose("{\"name\":\"no-bans\",\"types\":{\"bans\":[]}}");
                    operator.awaitState("no-bans", "applied");
                    operator.awaitPolicy(2);
                    client.post("capture", "2", "", "pay");
                    RecordedPeer call = new RecordedPeer(transcript, "e1", endpoint.accept());
                    call.message();
                    call.reply("{'id':'2','state':'done','result':'paid'}");
                    client.message();
                }));
    }

    @Test
    void abandoned() throws Exception {
        Transcript.of(
                "A change that a scheduler rejects is abandoned with its reasons; the policy in force stays.",
                transcript -> withDecidingScheduler(transcript, (operator, client, endpoint) -> {
                    operator.propose("{\"name\":\"capture-safe\",\"types\":{\"classes\":[{\"name\":\"check\","
                            + "\"repeat\":\"safe\"},{\"name\":\"capture\",\"repeat\":\"safe\"}]}}");
                    operator.awaitState("capture-safe", "abandoned");
                    client.post("capture", "1", "", "pay");
                    RecordedPeer call = new RecordedPeer(transcript, "e1", endpoint.accept());
                    call.message();
                    call.reply("{'id':'1','state':'done','result':'paid'}");
                    client.message();
                }));
    }

    @Test
    void rejected() throws Exception {
        Transcript.of(
                "Invalid changes and a different change under a used name are rejected with a reason.",
                transcript -> withDecidingScheduler(transcript, (operator, client, endpoint) -> {
                    operator.propose("{\"name\":\"ban\",\"types\":{\"bans\":[{\"name\":\"e9\"}]}}");
                    operator.awaitState("ban", "applied");
                    for (String body : new String[] {
                        "{\"name\":\"ban\",\"types\":{\"bans\":[]}}",
                        "no JSON",
                        "{}",
                        "{\"name\":\"a b\",\"types\":{\"bans\":[]}}",
                        "{\"name\":\"a\",\"types\":{}}",
                        "{\"name\":\"a\",\"types\":{\"colours\":[]}}",
                        "{\"name\":\"a\",\"types\":{\"bans\":{}}}",
                        "{\"name\":\"a\",\"types\":{\"bans\":[]},\"by\":\"maintenance\"}"
                    }) {
                        operator.propose(body);
                    }
                    for (String path : new String[] {"/policy/changes/unknown", "/policy/nothing"}) {
                        operator.get(path);
                    }
                }));
    }
}
