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

/** A change that makes service worse is taken back at all schedulers, by a change of its own. */
@Timeout(300)
class TakenBackStoryTest {
    @TempDir
    private Path folder;

    @Test
    void whatMakesServiceWorseIsTakenBackEverywhere() throws Exception {
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
            rig.await("the usual state is known", () -> loads[0].responses.size() > 300);
            // One that harms nobody stays.
            rig.proposeUntilAccepted(0, "harmless", "{\"bans\":[{\"name\":\"nobody\"}]}");
            rig.awaitDeciding(1, rig.all());
            rig.await("its trial is over", () -> loads[0].responses.size() > 900);
            rig.proposeUntilAccepted(0, "worse", "{\"bans\":[{\"name\":\"till\"}]}");
            rig.await("it is taken back", () -> {
                JsonObject back = rig.change(0, "worse.taken-back");
                return back != null && back.get("state").getAsString().equals("applied");
            });
            rig.awaitDeciding(3, rig.all());
            assertEquals("applied", rig.change(1, "harmless").get("state").getAsString());
            JsonObject back = rig.change(2, "worse.taken-back");
            assertTrue(back.get("by").getAsString().startsWith("the trial: "), back.toString());
            for (PolicyLoad load : loads) {
                load.stop();
                assertEquals(0, load.lost.get());
            }
        }
    }
}
