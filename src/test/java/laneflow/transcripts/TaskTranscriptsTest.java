package laneflow.transcripts;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import laneflow.assembly.Serve;
import laneflow.assembly.Setup;
import laneflow.cli.CliRun;
import laneflow.lab.rig.Await;
import laneflow.lab.rig.Crew;
import laneflow.net.Stand;
import laneflow.net.Stand.Endpoint;
import laneflow.net.Stand.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A task that changes hands, as the receiver of its calls and an operator see it. */
@Timeout(120)
class TaskTranscriptsTest {
    private static final String DONE = "HTTP/1.1 204 Done\r\nContent-Length: 0\r\n\r\n";
    private static final String STALE = "HTTP/1.1 409 Stale\r\nContent-Length: 0\r\n\r\n";
    /** A call is cut off after half of it. */
    private static final int LEASE_MS = 2000;

    private static final int HEAP_MB = 64;
    private static final int DAY_MS = 86_400_000;

    @TempDir
    private Path folder;

    /** n1 votes alone and does no task; the others want one. */
    private final class Some implements AutoCloseable {
        private final Transcript transcript;
        private final Endpoint receiver = new Endpoint("receiver");
        private final int leader = Crew.port();
        private final Path own = Files.createTempDirectory(folder, "fleet");
        private final Serve first;

        private Some(Transcript transcript) throws Exception {
            this.transcript = transcript;
            first = new Serve(Setup.operators(file("n1", leader, ""), null, null));
        }

        private Path file(String name, int fleet, String hooks) throws IOException {
            return Files.writeString(
                    own.resolve(name + ".toml"),
                    "name = '" + name + "'\nlisten = '127.0.0.1:0'\n"
                            + "zones = ['z']\n[classes.check]\n[endpoints.e1]\ndial = '127.0.0.1:1'\n[policy]\n"
                            + "voters = ['n1']\nlease_ms = " + LEASE_MS + "\ndir = '" + own.resolve(name + "-votes")
                            + "'\n[tasks]\n" + hooks
                            + "[fleet]\nlisten = '127.0.0.1:" + fleet + "'\n[fleet.peers]\nn1 = '127.0.0.1:" + leader
                            + "'\n");
        }

        Serve wants(String name, int everyMs) throws Exception {
            return new Serve(Setup.operators(wanting(name, everyMs), null, null));
        }

        Path wanting(String name, int everyMs) throws IOException {
            return file(
                    name,
                    Crew.port(),
                    "[tasks.hooks.tidy]\nat = '" + receiver.dial() + "'\npath = '/tidy'\n" + "every_ms = " + everyMs
                            + "\nmost_ms = " + LEASE_MS / 2 + "\nlate_calls = 'checked'\n");
        }

        void called(String by, String answer) throws IOException {
            try (RecordedPeer call = new RecordedPeer(transcript, "receiver", by, receiver.accept())) {
                call.message();
                call.write(answer);
            }
        }

        /** Waits, unrecorded, since how often one asks is free; then shows it once. */
        void shows(String part) throws Exception {
            Await.until("it is told: " + part, () -> raw().contains(part), this::raw);
            String text =
                    CliRun.of("task", "show", "--at", "127.0.0.1:" + leader).text();
            transcript.message(
                    "laneflow task show --at 127.0.0.1:" + leader,
                    "operator",
                    text.replaceAll("(?m)( \\d+) +\\d+  ", "$1 <ms left>  "));
        }

        private String raw() throws IOException {
            try (Peer peer = Stand.peer("127.0.0.1", leader)) {
                return peer.write("GET /tasks HTTP/1.1\r\nHost: f\r\n\r\n").message();
            }
        }

        @Override
        public void close() throws Exception {
            first.halt();
            receiver.close();
        }
    }

    @Test
    void handedOverAtADrain() throws Exception {
        Transcript.of(
                "A task is taken; another waits for it; its holder ends in order, and the other has it by the next token.",
                transcript -> {
                    try (Some fleet = new Some(transcript)) {
                        Serve holder = fleet.wants("n2", DAY_MS);
                        fleet.called("n2", DONE);
                        fleet.shows("\"holder\":\"n2#");
                        Serve next = fleet.wants("n3", DAY_MS);
                        fleet.shows("\"n3#");
                        transcript.note("SIGTERM to n2");
                        holder.stop();
                        fleet.called("n3", DONE);
                        fleet.shows("\"holder\":\"n3#");
                        next.halt();
                        holder.halt();
                    }
                });
    }

    @Test
    void lostWithItsHolder() throws Exception {
        Transcript.of(
                "A holder is gone without a word: once its lease is over the other has the task, by the next token.",
                transcript -> {
                    try (Some fleet = new Some(transcript);
                            Crew crew = new Crew(fleet.own)) {
                        Process holder = crew.scheduler(
                                "n2", HEAP_MB, fleet.wanting("n2", DAY_MS).toString());
                        fleet.called("n2", DONE);
                        Process next = crew.scheduler(
                                "n3", HEAP_MB, fleet.wanting("n3", DAY_MS).toString());
                        fleet.shows("\"n3#");
                        transcript.note("n2 is killed");
                        Crew.kill(holder);
                        fleet.called("n3", DONE);
                        fleet.shows("\"holder\":\"n3#");
                        transcript.note("n3 is killed, too");
                        Crew.kill(next);
                        fleet.shows("\"holder\":\"\"");
                    }
                });
    }

    @Test
    void turnedDownByItsReceiver() throws Exception {
        Transcript.of(
                "A receiver that has seen a higher token turns a call down; a period later it is made again.",
                transcript -> {
                    try (Some fleet = new Some(transcript)) {
                        Serve holder = fleet.wants("n2", 1000);
                        fleet.called("n2", STALE);
                        fleet.called("n2", DONE);
                        holder.halt();
                    }
                });
    }
}
