package laneflow.transcripts;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import laneflow.assembly.Serve;
import laneflow.assembly.Setup;
import laneflow.lab.rig.Await;
import laneflow.lab.rig.Crew;
import laneflow.net.Stand;
import laneflow.net.Stand.Endpoint;
import laneflow.net.Stand.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Changes of policy, as an operator and a client of one scheduler that votes alone see them. */
@Timeout(120)
class PolicyTranscriptsTest {
    @TempDir
    private Path folder;

    /** What happens at a scheduler that decides by its first policy. */
    private interface Story {
        void tell(Operator operator, RecordedPeer client, Endpoint endpoint) throws Exception;
    }

    private void decided(Transcript transcript, Story story) throws Exception {
        Path own = Files.createTempDirectory(folder, "n1");
        Endpoint endpoint = new Endpoint("e1");
        int fleet = Crew.port();
        Path file = Files.writeString(
                own.resolve("n1.toml"),
                "name = 'n1'\nlisten = '127.0.0.1:0'\nzones = ['z']\n"
                        + "[classes.check]\nrepeat = 'safe'\n[classes.capture]\n[endpoints.e1]\ndial = '"
                        + endpoint.dial()
                        + "'\n[policy]\nvoters = ['n1']\ndir = '" + own
                        + "'\ntell_policy = true\n[fleet]\nlisten = '127.0.0.1:"
                        + fleet + "'\n[fleet.peers]\nn1 = '127.0.0.1:" + fleet + "'\n");
        Serve serve = new Serve(Setup.operators(file, null, null));
        try {
            Await.until(
                    "it decides",
                    () -> raw(fleet, "/policy").contains("\"state\":\"deciding\""),
                    () -> raw(fleet, "/policy"));
            try (RecordedPeer client = new RecordedPeer(
                    transcript,
                    "client",
                    Stand.peer("127.0.0.1", serve.front().address().getPort()))) {
                story.tell(new Operator(transcript, fleet), client, endpoint);
            }
        } finally {
            serve.halt();
            endpoint.close();
        }
    }

    private static String raw(int port, String path) throws IOException {
        try (Peer peer = Stand.peer("127.0.0.1", port)) {
            return peer.write("GET " + path + " HTTP/1.1\r\nHost: f\r\n\r\n").message();
        }
    }

    /** Asks the fleet's address, one question a connection. */
    private record Operator(Transcript transcript, int fleet) {
        void proposes(String body) throws IOException {
            asks("POST /policy/changes HTTP/1.1\r\nHost: f\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }

        /** Waits until it is decided, unrecorded, since how often one asks is free; then asks once more. */
        void awaits(String name, String state) throws Exception {
            String path = "/policy/changes/" + name;
            Await.until(
                    name + " is " + state,
                    () -> raw(fleet, path).contains("\"" + state + "\""),
                    () -> raw(fleet, path));
            looks(path);
        }

        /** Applied is what the voters say; a scheduler decides by it a little later, when its lease says so. */
        void decidesBy(int policy) throws Exception {
            Await.until(
                    "it decides by " + policy,
                    () -> raw(fleet, "/policy").contains("\"policy\":" + policy + ","),
                    () -> raw(fleet, "/policy"));
        }

        void looks(String path) throws IOException {
            asks("GET " + path + " HTTP/1.1\r\nHost: f\r\n\r\n");
        }

        private void asks(String request) throws IOException {
            try (RecordedPeer operator = new RecordedPeer(transcript, "operator", Stand.peer("127.0.0.1", fleet))) {
                operator.write(request).message();
            }
        }
    }

    @Test
    void applied() throws Exception {
        Transcript.of(
                "A change of policy is applied: the endpoint is banned, and given back by the next change.",
                transcript -> decided(transcript, (operator, client, endpoint) -> {
                    operator.proposes("{\"name\":\"ban\",\"types\":{\"bans\":[{\"name\":\"e1\"}]}}");
                    operator.awaits("ban", "applied");
                    operator.decidesBy(1);
                    client.post("capture", "1", "", "pay");
                    client.message();
                    operator.proposes("{\"name\":\"no-bans\",\"types\":{\"bans\":[]}}");
                    operator.awaits("no-bans", "applied");
                    operator.decidesBy(2);
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
                "A change that a scheduler turns down is abandoned with its reasons; what held holds on.",
                transcript -> decided(transcript, (operator, client, endpoint) -> {
                    operator.proposes("{\"name\":\"capture-safe\",\"types\":{\"classes\":[{\"name\":\"check\","
                            + "\"repeat\":\"safe\"},{\"name\":\"capture\",\"repeat\":\"safe\"}]}}");
                    operator.awaits("capture-safe", "abandoned");
                    client.post("capture", "1", "", "pay");
                    RecordedPeer call = new RecordedPeer(transcript, "e1", endpoint.accept());
                    call.message();
                    call.reply("{'id':'1','state':'done','result':'paid'}");
                    client.message();
                }));
    }

    @Test
    void noChange() throws Exception {
        Transcript.of(
                "What is no change, or another one under a name that is taken: turned down in words.",
                transcript -> decided(transcript, (operator, client, endpoint) -> {
                    operator.proposes("{\"name\":\"ban\",\"types\":{\"bans\":[{\"name\":\"e9\"}]}}");
                    operator.awaits("ban", "applied");
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
                        operator.proposes(body);
                    }
                    for (String path : new String[] {"/policy/changes/unknown", "/policy/nothing"}) {
                        operator.looks(path);
                    }
                }));
    }
}
