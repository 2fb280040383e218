package laneflow.transcripts;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import laneflow.assembly.Serve;
import laneflow.assembly.Setup;
import laneflow.cli.CliRun;
import laneflow.lab.rig.Await;
import laneflow.lab.rig.Crew;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Endpoint;
import laneflow.net.SchedulerHarness.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A task that changes holders, as seen by the receiver of its calls and by an operator. */
@Timeout(120)
class TaskTranscriptsTest {
    private static final String DONE = "HTTP/1.1 204 Done\r\nContent-Length: 0\r\n\r\n";
    private static final String STALE = "HTTP/1.1 409 Stale\r\nContent-Length: 0\r\n\r\n";
    /** Calls are cut off after half a lease. */
    private static final int LEASE_MS = 2000;

    private static final int HEAP_MB = 64;
    private static final int DAY_MS = 86_400_000;

    @TempDir
    private Path folder;

    /** A fleet in which n1 is the only voter and makes no calls; the others are candidates for one hook. */
    private final class TestFleet implements AutoCloseable {
        private final Transcript transcript;
        private final Endpoint receiver = new Endpoint("receiver");
        private final int leaderPort = Crew.port();
        private final Path files = Files.createTempDirectory(folder, "fleet");
        private final Serve voter;

        private TestFleet(Transcript transcript) throws Exception {
            this.transcript = transcript;
            voter = new Serve(Setup.fromOperatorsFile(file("n1", leaderPort, ""), null, null));
        }

        private Path file(String name, int port, String hooks) throws IOException {
            return Files.writeString(
                    files.resolve(name + ".toml"),
                    "name = '" + name + "'\nlisten = '127.0.0.1:0'\n"
                            + "zones = ['z']\n[classes.check]\n[endpoints.e1]\ndial = '127.0.0.1:1'\n[policy]\n"
                            + "voters = ['n1']\nlease_ms = " + LEASE_MS + "\ndir = '" + files.resolve(name + "-votes")
                            + "'\n[tasks]\n" + hooks
                            + "[fleet]\nlisten = '127.0.0.1:" + port + "'\n[fleet.peers]\nn1 = '127.0.0.1:" + leaderPort
                            + "'\n");
        }

        Serve startCandidate(String name, int everyMs) throws Exception {
            return new Serve(Setup.fromOperatorsFile(candidateFile(name, everyMs), null, null));
        }

        Path candidateFile(String name, int everyMs) throws IOException {
            return file(
                    name,
                    Crew.port(),
                    "[tasks.hooks.tidy]\nat = '" + receiver.dial() + "'\npath = '/tidy'\n" + "every_ms = " + everyMs
                            + "\nmost_ms = " + LEASE_MS / 2 + "\nlate_calls = 'checked'\n");
        }

        void answerCall(String caller, String answer) throws IOException {
            try (RecordedPeer call = new RecordedPeer(transcript, "receiver", caller, receiver.accept())) {
                call.message();
                call.write(answer);
            }
        }

        /** Polls without recording until the report contains the part, then records one report. */
        void showTasks(String part) throws Exception {
            Await.until("the report contains " + part, () -> tasksReport().contains(part), this::tasksReport);
            String text =
                    CliRun.of("task", "show", "--at", "127.0.0.1:" + leaderPort).text();
            transcript.message(
                    "laneflow task show --at 127.0.0.1:" + leaderPort,
                    "operator",
                    text.replaceAll("(?m)( \\d+) +\\d+  ", "$1 <ms left>  "));
        }

        private String tasksReport() throws IOException {
            try (Peer peer = SchedulerHarness.connect("127.0.0.1", leaderPort)) {
                return peer.write("GET /tasks HTTP/1.1\r\nHost: f\r\n\r\n").message();
            }
        }

        @Override
        public void close() throws Exception {
            voter.halt();
            receiver.close();
        }
    }

    @Test
    void handedOverOnDrain() throws Exception {
        Transcript.of("A holder shuts down; another candidate gets its task with the next token.", transcript -> {
            try (TestFleet fleet = new TestFleet(transcript)) {
                Serve holder = fleet.startCandidate("n2", DAY_MS);
                fleet.answerCall("n2", DONE);
                fleet.showTasks("\"holder\":\"n2#");
                Serve next = fleet.startCandidate("n3", DAY_MS);
                fleet.showTasks("\"n3#");
                transcript.note("SIGTERM to n2");
                holder.stop();
                fleet.answerCall("n3", DONE);
                fleet.showTasks("\"holder\":\"n3#");
                next.halt();
                holder.halt();
            }
        });
    }

    @Test
    void holderKilled() throws Exception {
        Transcript.of(
                "A holder is killed; once its lease has ended another candidate gets the task with the next token.",
                transcript -> {
                    try (TestFleet fleet = new TestFleet(transcript);
                            Crew crew = new Crew(fleet.files)) {
                        Process holder = crew.scheduler(
                                "n2", HEAP_MB, fleet.candidateFile("n2", DAY_MS).toString());
                        fleet.answerCall("n2", DONE);
                        Process next = crew.scheduler(
                                "n3", HEAP_MB, fleet.candidateFile("n3", DAY_MS).toString());
                        fleet.showTasks("\"n3#");
                        transcript.note("n2 is killed");
                        Crew.kill(holder);
                        fleet.answerCall("n3", DONE);
                        fleet.showTasks("\"holder\":\"n3#");
                        transcript.note("n3 is killed too");
                        Crew.kill(next);
                        fleet.showTasks("\"holder\":\"\"");
                    }
                });
    }

    @Test
    void rejectedByItsReceiver() throws Exception {
        Transcript.of(
                "A receiver that has seen a higher token rejects a call; it is repeated a period later.",
                transcript -> {
                    try (TestFleet fleet = new TestFleet(transcript)) {
                        Serve holder = fleet.startCandidate("n2", 1000);
                        fleet.answerCall("n2", STALE);
                        fleet.answerCall("n2", DONE);
                        holder.halt();
                    }
                });
    }
}
