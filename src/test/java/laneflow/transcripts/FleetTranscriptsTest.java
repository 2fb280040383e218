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

/** Output of {@code laneflow fleet show} while schedulers crash and restart. */
@Timeout(300)
class FleetTranscriptsTest {
    private static final String CONFIG = "zones = [\"z\"]\n[classes.check]\n[endpoints.till]\ndial = \"127.0.0.1:1\"\n";
    private static final Pattern INSTANT = Pattern.compile("\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\dZ");
    private static final Pattern MEMBER_LINE = Pattern.compile("(?m)^  n\\d ");

    @TempDir
    private Path folder;

    /** Repeats the command until its output is settled and contains the expected text, then records it. */
    private static void recordFleetShow(Transcript transcript, Rig rig, int exitCode, String expected, int... targets)
            throws Exception {
        StringBuilder addresses = new StringBuilder();
        for (int i : targets) {
            addresses.append(addresses.isEmpty() ? "" : ",").append(rig.fleetAddress(i));
        }
        CliRun[] run = new CliRun[1];
        Await.until(
                "fleet show prints " + expected,
                () -> {
                    run[0] = CliRun.of("fleet", "show", "--at", addresses.toString());
                    String text = stableText(run[0]);
                    return run[0].code() == exitCode
                            && text.contains(expected)
                            && !text.contains("not settled")
                            && !text.contains("draining")
                            && !text.contains("suspect")
                            && MEMBER_LINE.matcher(text).results().count() % 3 == 0;
                },
                () -> run[0].text());
        transcript.message(
                "laneflow fleet show --at " + addresses,
                "exit code " + run[0].code(),
                INSTANT.matcher(stableText(run[0])).replaceAll("<instant>"));
    }

    /** Removes the late-loop note, which depends on the load of the machine. */
    private static String stableText(CliRun run) {
        return run.text().replace("  its loop is late", "");
    }

    @Test
    void crashAndComeback() throws Exception {
        Transcript.of(
                "Three schedulers see each other; one is killed, is seen as dead by both others, and comes back.",
                transcript -> {
                    Path fleetFolder = Files.createTempDirectory(folder, "fleet");
                    try (Rig rig = new Rig(fleetFolder, 3, 1, 5, CONFIG)) {
                        rig.members(5, 250, 0, 1);
                        rig.startAll();
                        recordFleetShow(transcript, rig, 0, "n2 sees 3 live", 0, 1, 2);
                        transcript.note("n3 is killed");
                        rig.kill(2);
                        recordFleetShow(transcript, rig, 0, "n2 sees 2 live", 0, 1);
                        recordFleetShow(transcript, rig, 1, "n1 sees 2 live", 0, 2);
                        transcript.note("n3 is started again");
                        rig.start(2);
                        recordFleetShow(transcript, rig, 0, "n2 sees 3 live", 0, 1, 2);
                    }
                });
    }
}
