package laneflow.transcripts;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import laneflow.lab.rig.Crew;
import laneflow.lab.rig.Rig;
import laneflow.lab.standin.StandInPool;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Capacity gossip between two schedulers, as seen by an operator who queries both. */
@Timeout(600)
class GossipTranscriptsTest {
    private static final Pattern AGE = Pattern.compile("(?<=\"age_ms\":)\\d+");
    /** The sums and their errors vary with the ages of the reports. */
    private static final Pattern SUM = Pattern.compile("(?<=\"(free|error)\":)\\d+\\.\\d+");

    private static final int SHORT_MICROS = 1_000;
    private static final int ENDLESS_MICROS = 100_000_000;
    private static final String CONFIG = "zones = ['z']\n[classes.check]\naim_ms = 1000\ndeadline_ms = 120000\n"
            + "repeat = 'safe'\n[endpoints.e0]\ndial = '127.0.0.1:PORT'\n[capacity]\nround_ms = 50\n";

    @TempDir
    private Path folder;

    /** An operator, and clients that send requests. */
    private static final class Session {
        private final Transcript transcript;
        private final Rig rig;
        private final List<Socket> openRequests = new ArrayList<>();
        private int requests;

        private Session(Transcript transcript, Rig rig) {
            this.transcript = transcript;
            this.rig = rig;
        }

        private Socket openRequest(int i, int micros) throws IOException {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), rig.clientPort(i));
            String id = "j" + requests++;
            String body = id + " " + micros;
            socket.getOutputStream()
                    .write(("POST /check HTTP/1.1\r\nHost: l\r\nConnection: close\r\nReq-Id: " + id
                                    + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.US_ASCII));
            return socket;
        }

        private void completeShortRequest(int i) throws IOException {
            try (Socket socket = openRequest(i, SHORT_MICROS)) {
                socket.getInputStream().readAllBytes();
            }
        }

        private String capacityStatus(int i) throws IOException, InterruptedException {
            HttpResponse<String> answer = rig.ask(i, "/capacity", null);
            if (answer.statusCode() != 200) {
                throw new IOException(answer.body());
            }
            return answer.body();
        }

        /**
         * Sends short requests until a scheduler's report contains the text. They are not recorded, since their
         * number varies.
         */
        private void awaitStatus(int target, int reporter, String expected) throws IOException, InterruptedException {
            rig.await(Rig.name(reporter) + " reports " + expected, () -> {
                completeShortRequest(target);
                return capacityStatus(reporter).contains(expected);
            });
        }

        private void recordStatus() throws IOException, InterruptedException {
            for (int i : rig.all()) {
                transcript.message("operator", Rig.name(i), "GET /capacity");
                String stable = AGE.matcher(capacityStatus(i)).replaceAll("<ms>");
                transcript.message(
                        Rig.name(i),
                        "operator",
                        SUM.matcher(stable)
                                .replaceAll("<slots>")
                                .replace("},\"", "},\n \"")
                                .strip());
            }
        }
    }

    @Test
    void afterAPartitionHeals() throws Exception {
        Transcript.of(
                "Reports of one endpoint at two schedulers: before, during and after a network partition."
                        + " Requests go to n1 only; the schedulers' own datagrams are sealed, and not shown.",
                transcript -> {
                    int port = Crew.port();
                    Path directory = Files.createTempDirectory(folder, "fleet");
                    try (StandInPool pool = new StandInPool(
                                    List.of(port), List.of("z"), 1, new StandInPool.Sort(4, 4, 1, 1, 100, 1));
                            Rig rig = new Rig(
                                    directory,
                                    2,
                                    1,
                                    5,
                                    CONFIG.replace('\'', '"').replace("PORT", "" + port))) {
                        rig.members(5, 100, 0, 1);
                        rig.startAll();
                        rig.awaitSettled(2, rig.all());
                        rig.awaitClients(0);
                        Session session = new Session(transcript, rig);
                        transcript.note("short requests go to n1, one at a time");
                        session.awaitStatus(0, 1, "\"free\":3,");
                        session.recordStatus();
                        transcript.note(
                                "n1 and n2 are partitioned; two long requests go to n1, and short ones beside them");
                        rig.partAll(List.of(0));
                        session.openRequests.add(session.openRequest(0, ENDLESS_MICROS));
                        session.openRequests.add(session.openRequest(0, ENDLESS_MICROS));
                        session.awaitStatus(0, 0, "\"free\":2,");
                        session.recordStatus();
                        transcript.note("the partition is healed; a short request goes to n1");
                        rig.heal();
                        session.awaitStatus(0, 1, "\"free\":2,");
                        session.recordStatus();
                        for (Socket socket : session.openRequests) {
                            socket.close();
                        }
                    }
                });
    }
}
