package laneflow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.ListKind;
import laneflow.decision.Dispatch.LoadReport;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Dispatch.State;
import org.junit.jupiter.api.Test;

/** An absurd value from a single peer must not affect the jobs of others. */
class SpoiltInputTest {
    /** Two workers of four slots, of which other dispatchers take three, as the reports of twenty jobs show. */
    private static Rig inService(Settings settings) {
        Rig rig = new Rig(settings).workers(0, 1, 2);
        rig.submit(1).advance(0.1).ends(1, 0, Outcome.OK, Rig.free(4)).advance(1);
        for (long id = 2; id <= 20; id++) {
            rig.submit(id).advance(1).ends(id, 0, Outcome.OK, Rig.free(1)).advance(1);
        }
        return rig;
    }

    private static int served(Rig rig, long from, int count) {
        int sent = 0;
        for (long id = from; id < from + count; id++) {
            rig.submit(id).advance(0.5);
            if (!rig.sends(id).isEmpty()) {
                sent++;
                rig.ends(id, 0, Outcome.OK, Rig.free(1));
            }
            rig.advance(0.5);
        }
        return sent;
    }

    /** Submits jobs of 1 s at once to a single cold worker; those sent must fit its budget. */
    private static void assertColdBudgetHolds(Rig rig, String after) {
        rig.logic.list(rig.now, ListKind.WHOLE, List.of(Rig.worker(3, 0, State.READY, rig.now)));
        int sent = rig.submitBurst(400, 440, 1);
        double most = Rig.overloadLimit(rig.settings, rig.settings.coldShare * 4, 1);
        assertTrue(sent <= most, after + ": a cold worker was sent " + sent);
    }

    @Test
    void absurdCostHintNeitherBlocksOthersNorMakesAWorkerLookFast() {
        for (Outcome outcome : new Outcome[] {Outcome.OK, Outcome.ERROR}) {
            Rig rig = inService(Rig.settings(Effect.SAFE));
            assertEquals("refuse", rig.submitHinted(199, 1e12).answers(199), "no client waits that long");
            rig.submitHinted(200, 8)
                    .advance(0.1)
                    .ends(200, 0, outcome, Rig.free(1))
                    .advance(10);
            assertEquals(20, served(rig, 300, 20), "after " + outcome);
            assertColdBudgetHolds(rig, "after " + outcome);
        }
    }

    @Test
    void invalidReportNeitherBlocksAKindNorRaisesItsColdBudget() {
        double[] invalid = {Double.POSITIVE_INFINITY, 1e300, 1e9, -1, -1e300};
        for (double value : invalid) {
            for (boolean queue : new boolean[] {false, true}) {
                Rig rig = inService(Rig.settings(Effect.SAFE));
                LoadReport report = Rig.free(queue ? 1 : value);
                report.queue = queue ? value : Double.NaN;
                rig.submit(50).advance(0.1).ends(50, 0, Outcome.OK, report).advance(5);
                assertEquals(20, served(rig, 100, 20), "after " + value);
                assertColdBudgetHolds(rig, "after " + value);
            }
        }
    }

    /** A list may move a worker to a zone out of range while a job is running there; the job continues normally. */
    @Test
    void workerThatLeavesAllZonesDuringAJobBlocksNothing() {
        for (int zone : new int[] {-1, 1, 200}) {
            Settings settings = Rig.settings(Effect.SAFE);
            Rig rig = new Rig(settings).workers(0, 1).submit(5);
            rig.logic.list(rig.now, ListKind.CHANGES, List.of(Rig.worker(1, zone)));
            rig.starts(5, 0).advance(0.1).ends(5, 0, Outcome.ERROR);
            assertEquals("refuse", rig.answers(5));
            assertEquals("refuse", rig.submit(6).answers(6), "no worker is left in a zone");
            rig.workers(0, 1).advance(5);
            assertEquals(1, rig.submit(7).sentTo(7));
        }
    }
}
