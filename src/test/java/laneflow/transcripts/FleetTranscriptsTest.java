package laneflow.transcripts;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;
import laneflow.cli.CliRun;
import laneflow.lab.rig.Await;
import laneflow.lab.rig.Rig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The view of a fleet in an operator's words, over processes that end and begin. */
@Timeout(300)
class FleetTranscriptsTest {
    private static final String FILE = "zones = [\"z\"]\n[classes.check]\n[endpoints.till]\ndial = \"127.0.0.1:1\"\n";
    private static final Pattern SINCE = Pattern.compile("\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\dZ");
    private static final Pattern MEMBER = Pattern.compile("(?m)^  n\\d ");

    @TempDir
    private Path folder;

    /** How often one asks until it is so is free: recorded is the first answer that is still, and says it. */
    private static void shows(Transcript transcript, Rig rig, int code, String says, int... at) throws Exception {
        StringBuilder addresses = new StringBuilder();
        for (int i : at) {
            addresses.append(addresses.isEmpty() ? "" : ",").append(rig.fleetAddress(i));
        }
        CliRun[] run = new CliRun[1];
        Await.until(
                "fleet show says " + says,
                () -> {
                    run[0] = CliRun.of("fleet", "show", "--at", addresses.toString());
                    String text = said(run[0]);
                    return run[0].code() == code
                            && text.contains(says)
                            && !text.contains("not settled")
                            && !text.contains("draining")
                            && !text.contains("suspect")
                            && MEMBER.matcher(text).results().count() % 3 == 0;
                },
                () -> run[0].text());
        transcript.message(
                "laneflow fleet show --at " + addresses,
                "exit code " + run[0].code(),
                SINCE.matcher(said(run[0])).replaceAll("<instant>"));
    }

    /** How busy the machine is at the moment is no part of the story. */
    private static String said(CliRun run) {
        return run.text().replace("  its loop is late", "");
    }

    @Test
    void crashAndComeback() throws Exception {
        Transcript.of(
                "Three schedulers see each other; one is killed, is seen as dead by both others, and comes back.",
                transcript -> {
                    Path own = Files.createTempDirectory(folder, "fleet");
                    try (Rig rig = new Rig(own, 3, 1, 5, FILE)) {
                        rig.members(5, 250, 0, 1);
                        rig.startAll();
                        shows(transcript, rig, 0, "n2 sees 3 live", 0, 1, 2);
                        transcript.note("n3 is killed");
                        rig.kill(2);
                        shows(transcript, rig, 0, "n2 sees 2 live", 0, 1);
                        shows(transcript, rig, 1, "n1 sees 2 live", 0, 2);
                        transcript.note("n3 is started again");
                        rig.start(2);
                        shows(transcript, rig, 0, "n2 sees 3 live", 0, 1, 2);
                    }
                });
    }
}
