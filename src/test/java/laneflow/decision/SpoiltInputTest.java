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

/** What one peer says, however absurd, must not decide what becomes of everybody else's jobs. */
class SpoiltInputTest {
    /** Two workers of four slots, of which siblings have three, as the reports of twenty jobs have shown. */
    private static Rig inService(Settings settings) {
        Rig rig = new Rig(settings).workers(0, 1, 2);
        rig.ask(1).pass(0.1).ends(1, 0, Outcome.OK, Rig.free(4)).pass(1);
        for (long id = 2; id <= 20; id++) {
            rig.ask(id).pass(1).ends(id, 0, Outcome.OK, Rig.free(1)).pass(1);
        }
        return rig;
    }

    private static int served(Rig rig, long from, int count) {
        int sent = 0;
        for (long id = from; id < from + count; id++) {
            rig.ask(id).pass(0.5);
            if (!rig.sends(id).isEmpty()) {
                sent++;
                rig.ends(id, 0, Outcome.OK, Rig.free(1));
            }
            rig.pass(0.5);
        }
        return sent;
    }

    /** Jobs of 1 that a cold worker gets at once when it is the only one: all must fit its budget. */
    private static void holdsColdBudget(Rig rig, String after) {
        rig.logic.list(rig.now, ListKind.WHOLE, List.of(Rig.worker(3, 0, State.READY, rig.now)));
        int sent = rig.callsAtOnce(400, 440, 1);
        double most = Rig.fells(rig.settings, rig.settings.coldShare * 4, 1);
        assertTrue(sent <= most, after + ": a cold worker was sent " + sent);
    }

    @Test
    void oneAbsurdCostHintNeitherShutsOthersOutNorMakesAWorkerLookFast() {
        for (Outcome outcome : new Outcome[] {Outcome.OK, Outcome.ERROR}) {
            Rig rig = inService(Rig.settings(Effect.SAFE));
            assertEquals("refuse", rig.askHinted(199, 1e12).answers(199), "nobody waits for it so long");
            rig.askHinted(200, 8).pass(0.1).ends(200, 0, outcome, Rig.free(1)).pass(10);
            assertEquals(20, served(rig, 300, 20), "after " + outcome);
            holdsColdBudget(rig, "after " + outcome);
        }
    }

    @Test
    void aSpoiltReportNeitherShutsAKindOutNorLiftsItsColdBudget() {
        double[] spoilt = {Double.POSITIVE_INFINITY, 1e300, 1e9, -1, -1e300};
        for (double value : spoilt) {
            for (boolean queue : new boolean[] {false, true}) {
                Rig rig = inService(Rig.settings(Effect.SAFE));
                LoadReport report = Rig.free(queue ? 1 : value);
                report.queue = queue ? value : Double.NaN;
                rig.ask(50).pass(0.1).ends(50, 0, Outcome.OK, report).pass(5);
                assertEquals(20, served(rig, 100, 20), "after " + value);
                holdsColdBudget(rig, "after " + value);
            }
        }
    }

    /** A list may move a worker to where no zone is while a job is out there: the job goes on as any other. */
    @Test
    void aWorkerThatLeavesAllZonesAmidAJobHoldsUpNobody() {
        for (int zone : new int[] {-1, 1, 200}) {
            Settings settings = Rig.settings(Effect.SAFE);
            Rig rig = new Rig(settings).workers(0, 1).ask(5);
            rig.logic.list(rig.now, ListKind.CHANGES, List.of(Rig.worker(1, zone)));
            rig.starts(5, 0).pass(0.1).ends(5, 0, Outcome.ERROR);
            assertEquals("refuse", rig.answers(5));
            assertEquals("refuse", rig.ask(6).answers(6), "nobody is left in a zone");
            rig.workers(0, 1).pass(5);
            assertEquals(1, rig.ask(7).sentTo(7));
        }
    }
}
