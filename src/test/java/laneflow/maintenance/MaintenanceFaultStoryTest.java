package laneflow.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.util.List;
import laneflow.lab.rig.Rig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Windows under failures of coordinators, connections, crews and racks. */
@Timeout(120)
class MaintenanceFaultStoryTest extends MaintenanceStorySupport {
    @Override
    String extraSettings() {
        return "begin_ms = 3000\n";
    }

    @Test
    void aDrainWhoseCoordinatorIsKilledContinuesFromTheLedger() throws Exception {
        startClients();
        awaitCalls("b");
        int first = coordinator();
        long token = report().get("token").getAsLong();
        // Open calls delay the drain long enough for the coordinator to be killed in it.
        backends.setJobMillis(900);
        request(window("power-b", 300, "b"));
        await("power-b", "draining");
        rig.kill(first);
        backends.setJobMillis(20);
        int next = coordinator();
        assertNotEquals(first, next);
        assertTrue(report().get("token").getAsLong() > token);
        completeWork("power-b", "b");
        await("power-b", "done");
        awaitCalls("b");
    }

    @Test
    void aCoordinatorThatIsCutOffMovesNothingAndTheOthersKeepTheBans() throws Exception {
        startClients();
        awaitCalls("c");
        request(window("power-c", 300, "c"));
        await("power-c", "down");
        assertEquals(200, command("power-c", "begin").statusCode());
        long startNs = System.nanoTime();
        int cut = coordinator();
        rig.partAll(List.of(cut));
        rig.await("another scheduler coordinates", () -> {
            int other = rig.leader();
            return other >= 0
                    && other != cut
                    && !rig.ask(other, "/maintenance", null).body().contains("\"coordinator\":\"" + Rig.name(cut) + "#")
                    && rig.ask(other, "/maintenance", null).body().contains("\"coordinator\":\"n");
        });
        rig.heal();
        rig.awaitDeciding(rig.policy((cut + 1) % 3).get("policy").getAsLong(), rig.all());
        assertEquals("down", state("power-c"));
        long endNs = System.nanoTime();
        assertEquals(200, command("power-c", "finish").statusCode());
        assertNoCalls(startNs, endNs, "c");
        await("power-c", "done");
        awaitCalls("c");
    }

    @Test
    void aWindowWithoutAFinishReportIsShownAndItsRacksStayBanned() throws Exception {
        startClients();
        awaitCalls("d");
        request(window("power-d", 200, "d"), window("late-b", 200, "b"));
        await("power-d", "down");
        assertEquals(200, command("power-d", "begin").statusCode());
        long startNs = System.nanoTime();
        // A window whose crew never begins is cancelled: its rack returns, since no work has started.
        await("late-b", "down");
        await("late-b", "returning", "postponed", "refused", "planned");
        assertEquals(409, command("late-b", "begin").statusCode());
        assertEquals(200, command("late-b", "abort").statusCode());
        await("power-d", "overrun");
        JsonObject window = windowReport("power-d");
        assertTrue(window.get("reasons").toString().contains("not finished in time"), window.toString());
        assertEquals(409, command("power-d", "abort").statusCode());
        long endNs = System.nanoTime();
        assertEquals(200, command("power-d", "finish").statusCode());
        assertNoCalls(startNs, endNs, "d");
        await("power-d", "done");
        awaitCalls("d");
    }

    @Test
    void lossOfOtherRacksCancelsADrainAndReturnsItsRacks() throws Exception {
        startClients();
        awaitCalls("a");
        // Open calls delay the drain.
        backends.setJobMillis(1200);
        request(window("power-a", 300, "a"));
        await("power-a", "draining");
        backends.fail("till-2");
        backends.fail("till-3");
        await("power-a", "returning", "postponed", "refused", "planned");
        assertTrue(
                windowReport("power-a").get("reasons").toString().contains("short"),
                windowReport("power-a").toString());
        assertEquals(409, command("power-a", "begin").statusCode());
        backends.setJobMillis(20);
        awaitCalls("a");
        await("power-a", "refused", "postponed", "planned");
    }
}
