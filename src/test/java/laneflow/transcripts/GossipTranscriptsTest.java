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

/** Free capacity told between two schedulers, as an operator sees it who asks both. */
@Timeout(600)
class GossipTranscriptsTest {
    private static final Pattern AGE = Pattern.compile("(?<=\"age_ms\":)\\d+");
    /** Sums and their errors move with the ages of what they are made of. */
    private static final Pattern SUM = Pattern.compile("(?<=\"(free|error)\":)\\d+\\.\\d+");

    private static final int QUICK = 1_000;
    private static final int UNTIL_THE_END = 100_000_000;
    private static final String FILE = "zones = ['z']\n[classes.check]\naim_ms = 1000\ndeadline_ms = 120000\n"
            + "repeat = 'safe'\n[endpoints.e0]\ndial = '127.0.0.1:PORT'\n[capacity]\nround_ms = 50\n";

    @TempDir
    private Path folder;

    /** An operator, and clients whose jobs are told in a word. */
    private static final class Teller {
        private final Transcript transcript;
        private final Rig rig;
        private final List<Socket> open = new ArrayList<>();
        private int jobs;

        private Teller(Transcript transcript, Rig rig) {
            this.transcript = transcript;
            this.rig = rig;
        }

        private Socket asks(int i, int micros) throws IOException {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), rig.clientPort(i));
            String id = "j" + jobs++;
            String body = id + " " + micros;
            socket.getOutputStream()
                    .write(("POST /check HTTP/1.1\r\nHost: l\r\nConnection: close\r\nReq-Id: " + id
                                    + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                            .getBytes(StandardCharsets.US_ASCII));
            return socket;
        }

        private void quick(int i) throws IOException {
            try (Socket socket = asks(i, QUICK)) {
                socket.getInputStream().readAllBytes();
            }
        }

        private String held(int i) throws IOException, InterruptedException {
            HttpResponse<String> answer = rig.ask(i, "/capacity", null);
            if (answer.statusCode() != 200) {
                throw new IOException(answer.body());
            }
            return answer.body();
        }

        /** Short jobs at one, unrecorded, since how many it takes is free, until another holds that. */
        private void until(int at, int holder, String what) throws IOException, InterruptedException {
            rig.await(Rig.name(holder) + " holds " + what, () -> {
                quick(at);
                return held(holder).contains(what);
            });
        }

        private void looks() throws IOException, InterruptedException {
            for (int i : rig.all()) {
                transcript.message("operator", Rig.name(i), "GET /capacity");
                String plain = AGE.matcher(held(i)).replaceAll("<ms>");
                transcript.message(
                        Rig.name(i),
                        "operator",
                        SUM.matcher(plain)
                                .replaceAll("<slots>")
                                .replace("},\"", "},\n \"")
                                .strip());
            }
        }
    }

    @Test
    void afterAHeal() throws Exception {
        Transcript.of(
                "News of one endpoint at two schedulers: before a cut, amid it, and behind the heal. Jobs come to n1"
                        + " only; the schedulers' own datagrams are sealed, and not shown.",
                transcript -> {
                    int port = Crew.port();
                    Path own = Files.createTempDirectory(folder, "fleet");
                    try (StandInPool pool = new StandInPool(
                                    List.of(port), List.of("z"), 1, new StandInPool.Sort(4, 4, 1, 1, 100, 1));
                            Rig rig = new Rig(
                                    own, 2, 1, 5, FILE.replace('\'', '"').replace("PORT", "" + port))) {
                        rig.members(5, 100, 0, 1);
                        rig.startAll();
                        rig.awaitSettled(2, rig.all());
                        rig.awaitClients(0);
                        Teller teller = new Teller(transcript, rig);
                        transcript.note("short jobs come to n1, one at a time");
                        teller.until(0, 1, "\"free\":3,");
                        teller.looks();
                        transcript.note(
                                "n1 and n2 can't hear each other; two long jobs come to n1, and short ones beside them");
                        rig.partAll(List.of(0));
                        teller.open.add(teller.asks(0, UNTIL_THE_END));
                        teller.open.add(teller.asks(0, UNTIL_THE_END));
                        teller.until(0, 0, "\"free\":2,");
                        teller.looks();
                        transcript.note("the cut is healed; a short job comes to n1");
                        rig.heal();
                        teller.until(0, 1, "\"free\":2,");
                        teller.looks();
                        for (Socket socket : teller.open) {
                            socket.close();
                        }
                    }
                });
    }
}
