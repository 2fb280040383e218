package laneflow.maintenance;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import java.util.List;
import laneflow.lab.rig.Rig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Windows amid what goes wrong: coordinators, paths, crews and racks. */
@Timeout(120)
class MaintenanceFaultStoryTest extends MaintenanceStories {
    @Override
    String more() {
        return "begin_ms = 3000\n";
    }

    @Test
    void theCoordinatorIsKilledAmidADrainAndTheNextOneGoesOnFromTheLedger() throws Exception {
        traffic();
        served("b");
        int first = coordinator();
        long token = show().get("token").getAsLong();
        // Calls that are out hold the drain up long enough to be met in it.
        tills.run(900);
        request(window("power-b", 300, "b"));
        await("power-b", "draining");
        rig.kill(first);
        tills.run(20);
        int next = coordinator();
        assertNotEquals(first, next);
        assertTrue(show().get("token").getAsLong() > token);
        work("power-b", "b");
        await("power-b", "done");
        served("b");
    }

    @Test
    void aCoordinatorThatIsCutOffMovesNothingAndTheOthersKeepTheBans() throws Exception {
        traffic();
        served("c");
        request(window("power-c", 300, "c"));
        await("power-c", "down");
        assertEquals(200, order("power-c", "begin").statusCode());
        long from = System.nanoTime();
        int cut = coordinator();
        rig.partAll(List.of(cut));
        rig.await("another coordinates", () -> {
            int other = rig.leader();
            return other >= 0
                    && other != cut
                    && !rig.ask(other, "/maintenance", null).body().contains("\"coordinator\":\"" + Rig.name(cut) + "#")
                    && rig.ask(other, "/maintenance", null).body().contains("\"coordinator\":\"n");
        });
        rig.heal();
        rig.awaitDeciding(rig.policy((cut + 1) % 3).get("policy").getAsLong(), rig.all());
        assertEquals("down", state("power-c"));
        long to = System.nanoTime();
        assertEquals(200, order("power-c", "finish").statusCode());
        quiet(from, to, "c");
        await("power-c", "done");
        served("c");
    }

    @Test
    void aCrewThatNeverSaysFinishIsShownAndNothingComesBackBeforeItDoes() throws Exception {
        traffic();
        served("d");
        request(window("power-d", 200, "d"), window("late-b", 200, "b"));
        await("power-d", "down");
        assertEquals(200, order("power-d", "begin").statusCode());
        long from = System.nanoTime();
        // Whose crew never comes at all is turned back: nobody is at work there.
        await("late-b", "down");
        await("late-b", "returning", "postponed", "refused", "planned");
        assertEquals(409, order("late-b", "begin").statusCode());
        assertEquals(200, order("late-b", "abort").statusCode());
        await("power-d", "overrun");
        JsonObject shown = shown("power-d");
        assertTrue(shown.get("reasons").toString().contains("not finished in time"), shown.toString());
        assertEquals(409, order("power-d", "abort").statusCode());
        long to = System.nanoTime();
        assertEquals(200, order("power-d", "finish").statusCode());
        quiet(from, to, "d");
        await("power-d", "done");
        served("d");
    }

    @Test
    void racksThatAreLostTurnADrainBackAndGiveItsRacksToThoseWhoNeedThem() throws Exception {
        traffic();
        served("a");
        // Calls that are out hold the drain up.
        tills.run(1200);
        request(window("power-a", 300, "a"));
        await("power-a", "draining");
        tills.lose("till-2");
        tills.lose("till-3");
        await("power-a", "returning", "postponed", "refused", "planned");
        assertTrue(
                shown("power-a").get("reasons").toString().contains("short"),
                shown("power-a").toString());
        assertEquals(409, order("power-a", "begin").statusCode());
        tills.run(20);
        served("a");
        await("power-a", "refused", "postponed", "planned");
    }
}
