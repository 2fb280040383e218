package laneflow.lab.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.nio.file.Path;
import laneflow.lab.rig.ChildProcesses;
import laneflow.lab.rig.Rig;
import laneflow.lab.standin.StandInNodes;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A policy change that makes service worse during its trial is reverted at all schedulers, by a second change. */
@Timeout(300)
class TakenBackStoryTest {
    @TempDir
    private Path folder;

    @Test
    void aHarmfulChangeIsRevertedAtAllSchedulers() throws Exception {
        int node = ChildProcesses.freePort();
        String common = "zones = [\"z\"]\n[classes.check]\nrepeat = \"safe\"\n[classes.capture]\n[endpoints.till]\n"
                + "dial = \"127.0.0.1:" + node
                + "\"\n[policy]\nvoters = VOTERS\ndir = \"FOLDER\"\nprobation_ms = 3000\n";
        try (Rig rig = new Rig(folder, 3, 3, 5, common)) {
            rig.start("nodes", StandInNodes.class, String.valueOf(node), "", "5", "16", "2", "240");
            rig.startAll();
            rig.awaitDeciding(0, rig.all());
            PolicyLoad[] loads = new PolicyLoad[3];
            for (int i : rig.all()) {
                loads[i] = new PolicyLoad(Rig.name(i), rig.clientPort(i), 4, 60);
                loads[i].start();
            }
            rig.await("enough answers for a baseline", () -> loads[0].responses.size() > 300);
            // A change that does no harm stays in force.
            rig.proposeUntilAccepted(0, "harmless", "{\"bans\":[{\"name\":\"nobody\"}]}");
            rig.awaitDeciding(1, rig.all());
            rig.await("the trial of the harmless change is over", () -> loads[0].responses.size() > 900);
            rig.proposeUntilAccepted(0, "worse", "{\"bans\":[{\"name\":\"till\"}]}");
            rig.await("the harmful change is reverted", () -> {
                JsonObject revert = rig.change(0, "worse.taken-back");
                return revert != null && revert.get("state").getAsString().equals("applied");
            });
            rig.awaitDeciding(3, rig.all());
            assertEquals("applied", rig.change(1, "harmless").get("state").getAsString());
            JsonObject revert = rig.change(2, "worse.taken-back");
            assertTrue(revert.get("by").getAsString().startsWith("the trial: "), revert.toString());
            for (PolicyLoad load : loads) {
                load.stop();
                assertEquals(0, load.lost.get());
            }
        }
    }
}
