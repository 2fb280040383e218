package laneflow.transcripts;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import laneflow.assembly.Setup;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Endpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Events that affect the whole scheduler: discovery lists and silence, reload, shutdown and operator commands. */
@Timeout(300)
class SchedulerTranscriptsTest {
    @TempDir
    private Path folder;

    private static RecordedPeer client(Transcript transcript, SchedulerHarness harness) throws IOException {
        return new RecordedPeer(transcript, "client", harness.http());
    }

    private static RecordedPeer watch(Transcript transcript, String name, Endpoint discovery) throws IOException {
        RecordedPeer watch = new RecordedPeer(transcript, name, discovery.accept());
        watch.head();
        return watch;
    }

    @Test
    void drainOfAnEndpoint() throws Exception {
        Transcript.of(
                "Discovery lists an endpoint as terminating: its attempt goes on, new ones go elsewhere.",
                transcript -> {
                    Endpoint discovery = new Endpoint("discovery");
                    Endpoint first = new Endpoint("e1");
                    Endpoint second = new Endpoint("e2");
                    try (SchedulerHarness harness = new SchedulerHarness(discovery, first);
                            RecordedPeer client = client(transcript, harness);
                            RecordedPeer other = new RecordedPeer(transcript, "another client", harness.http())) {
                        RecordedPeer watch = watch(transcript, "discovery", discovery);
                        client.post("card-capture", "1", "", "pay");
                        RecordedPeer command = new RecordedPeer(transcript, "e1", first.accept());
                        command.message();
                        watch.write(SchedulerHarness.watchResponse(
                                SchedulerHarness.hostList(2, false, first.host("Terminating"), second.host("Ready"))));
                        harness.awaitCounter("discovery.lists", 1);
                        other.post("card-capture", "2", "", "pay");
                        RecordedPeer next = new RecordedPeer(transcript, "e2", second.accept());
                        next.message();
                        command.reply("{'id':'1','state':'done','result':'paid'}");
                        client.message();
                        next.reply("{'id':'2','state':'done','result':'paid'}");
                        other.message();
                    }
                });
    }

    @Test
    void watchThatEndsOrIsMalformed() throws Exception {
        Transcript.of(
                "A watch that ends resumes at the last version; after a malformed one the full list is asked for.",
                transcript -> {
                    Endpoint discovery = new Endpoint("discovery");
                    Endpoint endpoint = new Endpoint("e1");
                    try (SchedulerHarness harness = new SchedulerHarness(discovery, endpoint)) {
                        RecordedPeer first = watch(transcript, "discovery", discovery);
                        first.reply(SchedulerHarness.hostList(2, false, endpoint.host("Ready"))
                                .replace('"', '\''));
                        RecordedPeer second = watch(transcript, "discovery, 2nd watch", discovery);
                        second.reply("no list at all");
                        RecordedPeer third = watch(transcript, "discovery, 3rd watch", discovery);
                        third.write(SchedulerHarness.watchResponse(
                                SchedulerHarness.hostList(9, true, endpoint.host("Ready"))));
                        harness.awaitCounter("discovery.lists", 2);
                    }
                });
    }

    @Test
    void silentWatch() throws Exception {
        Transcript.of(
                "No heartbeat for 2.5 s: the watch resumes at the last version, and the list stays in use.",
                transcript -> {
                    Endpoint discovery = new Endpoint("discovery");
                    Endpoint endpoint = new Endpoint("e1");
                    try (SchedulerHarness harness = new SchedulerHarness(discovery, endpoint)) {
                        RecordedPeer first = watch(transcript, "discovery", discovery);
                        first.write(SchedulerHarness.watchResponse(
                                SchedulerHarness.hostList(2, true, endpoint.host("Ready"))));
                        harness.awaitCounter("discovery.lists", 1);
                        watch(transcript, "discovery, 2nd watch", discovery);
                        RecordedPeer client = client(transcript, harness);
                        client.post("card-capture", "1", "", "pay");
                        RecordedPeer command = new RecordedPeer(transcript, "e1", endpoint.accept());
                        command.message();
                        command.reply("{'id':'1','state':'done','result':'paid'}");
                        client.message();
                    }
                });
    }

    @Test
    void readyAfterTheFirstList() throws Exception {
        Transcript.of(
                "Without known endpoints the scheduler is live, but not ready until discovery sends a list.",
                transcript -> {
                    Endpoint discovery = new Endpoint("discovery");
                    try (SchedulerHarness harness = new SchedulerHarness(discovery);
                            RecordedPeer client = client(transcript, harness)) {
                        RecordedPeer watch = watch(transcript, "discovery", discovery);
                        client.write("GET /health/live HTTP/1.1\r\n\r\n").message();
                        client.write("GET /health/ready HTTP/1.1\r\n\r\n").message();
                        watch.write(SchedulerHarness.watchResponse(SchedulerHarness.hostList(2, true)));
                        harness.awaitCounter("discovery.lists", 1);
                        client.write("GET /health/ready HTTP/1.1\r\n\r\n").message();
                    }
                });
    }

    @Test
    void movedDiscovery() throws Exception {
        Transcript.of(
                "SIGHUP moves discovery: the old address counts until the new one sends a list; bad files are ignored.",
                transcript -> {
                    Endpoint first = new Endpoint("d1");
                    Endpoint second = new Endpoint("d2");
                    Endpoint endpoint = new Endpoint("e1");
                    try (SchedulerHarness harness = new SchedulerHarness(first, endpoint)) {
                        RecordedPeer old = watch(transcript, "discovery", first);
                        for (String bad :
                                new String[] {"{\"disco", SchedulerHarness.configWithDiscovery("discovery.svc")}) {
                            transcript.note("SIGHUP with an invalid file: malformed, or without a usable address");
                            reload(harness, bad);
                        }
                        transcript.note("SIGHUP with another address");
                        reload(harness, SchedulerHarness.configWithDiscovery(second.dial()));
                        RecordedPeer next = watch(transcript, "discovery, moved", second);
                        old.write(SchedulerHarness.watchResponse(
                                SchedulerHarness.hostList(8, false, endpoint.host("Terminating"))));
                        harness.awaitCounter("discovery.lists", 1);
                        next.write(SchedulerHarness.watchResponse(
                                SchedulerHarness.hostList(3, true, endpoint.host("Ready"))));
                        harness.awaitCounter("discovery.lists", 2);
                        old.expectEnd();
                        transcript.note("moves: " + harness.counter("discovery.moves"));
                    }
                });
    }

    @Test
    void plannedShutdown() throws Exception {
        Transcript.of("SIGTERM: open requests are answered, then the connections are closed.", transcript -> {
            Endpoint endpoint = new Endpoint("e1");
            try (SchedulerHarness harness = new SchedulerHarness(null, endpoint);
                    RecordedPeer client = client(transcript, harness);
                    RecordedPeer idle = new RecordedPeer(transcript, "idle client", harness.http())) {
                idle.write("GET /health/ready HTTP/1.1\r\n\r\n").message();
                client.post("card-capture", "1", "", "pay");
                RecordedPeer command = new RecordedPeer(transcript, "e1", endpoint.accept());
                command.message();
                transcript.note("SIGTERM");
                Thread stop = new Thread(harness.serve::stop);
                stop.start();
                idle.expectEnd();
                command.reply("{'id':'1','state':'done','result':'paid'}");
                client.message();
                client.expectEnd();
                stop.join(30_000);
                transcript.note(stop.isAlive() ? "still running" : "stopped");
            }
        });
    }

    @Test
    void operatorCommands() throws Exception {
        Transcript.of(
                "Operator commands: a worker is set down and up again, and invalid commands are rejected.",
                transcript -> {
                    Endpoint endpoint = new Endpoint("e1");
                    Path ownFolder = Files.createTempDirectory(folder, "stand");
                    try (SchedulerHarness harness = SchedulerHarness.withOpsPort(ownFolder, endpoint)) {
                        for (String command : new String[] {
                            "check", "", "checks", "check now", "set-down", "set-down e9", "drain-on 3", "set-down e1"
                        }) {
                            sendOperatorCommand(transcript, harness, command);
                        }
                        try (RecordedPeer client = client(transcript, harness)) {
                            client.post("card-capture", "1", "", "pay");
                            client.message();
                            sendOperatorCommand(transcript, harness, "set-up e1");
                            client.post("card-capture", "2", "", "pay");
                            RecordedPeer command = new RecordedPeer(transcript, "e1", endpoint.accept());
                            command.message();
                            command.reply("{'id':'2','state':'done','result':'paid'}");
                            client.message();
                        }
                    }
                });
    }

    /** Reloads with a file of its own for each call: the files are read later, one after the other. */
    private void reload(SchedulerHarness harness, String text) throws IOException {
        Path file = Files.writeString(Files.createTempFile(folder, "config", ".json"), text);
        harness.serve.reload(() -> Setup.fromPlatformFile(file, null, null));
    }

    private static void sendOperatorCommand(Transcript transcript, SchedulerHarness harness, String command)
            throws IOException {
        try (RecordedPeer operator = new RecordedPeer(transcript, "operator", harness.opsClient())) {
            operator.write(command + "\n");
            operator.line();
            operator.expectEnd();
        }
    }
}
