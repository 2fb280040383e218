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

/** An invalid value from one client, worker or list must not affect the jobs of others. */
class InvalidInputTest {
    /** Two workers of four slots, of which other dispatchers take three, as the reports of twenty jobs show. */
    private static LogicHarness trainedHarness(Settings settings) {
        LogicHarness harness = new LogicHarness(settings).workers(0, 1, 2);
        harness.submit(1)
                .advance(0.1)
                .ends(1, 0, Outcome.OK, LogicHarness.free(4))
                .advance(1);
        for (long id = 2; id <= 20; id++) {
            harness.submit(id)
                    .advance(1)
                    .ends(id, 0, Outcome.OK, LogicHarness.free(1))
                    .advance(1);
        }
        return harness;
    }

    private static int served(LogicHarness harness, long from, int count) {
        int sent = 0;
        for (long id = from; id < from + count; id++) {
            harness.submit(id).advance(0.5);
            if (!harness.sends(id).isEmpty()) {
                sent++;
                harness.ends(id, 0, Outcome.OK, LogicHarness.free(1));
            }
            harness.advance(0.5);
        }
        return sent;
    }

    /** Submits jobs of 1 s at once to a single cold worker; those sent must fit its budget. */
    private static void assertColdBudgetHolds(LogicHarness harness, String after) {
        harness.logic.list(harness.now, ListKind.WHOLE, List.of(LogicHarness.worker(3, 0, State.READY, harness.now)));
        int sent = harness.submitBurst(400, 440, 1);
        double limit = LogicHarness.overloadLimit(harness.settings, harness.settings.coldShare * 4, 1);
        assertTrue(sent <= limit, after + ": a cold worker was sent " + sent);
    }

    @Test
    void absurdCostHintNeitherBlocksOthersNorMakesAWorkerLookFast() {
        for (Outcome outcome : new Outcome[] {Outcome.OK, Outcome.ERROR}) {
            LogicHarness harness = trainedHarness(LogicHarness.settings(Effect.SAFE));
            assertEquals("refuse", harness.submitHinted(199, 1e12).answers(199), "no client waits that long");
            harness.submitHinted(200, 8)
                    .advance(0.1)
                    .ends(200, 0, outcome, LogicHarness.free(1))
                    .advance(10);
            assertEquals(20, served(harness, 300, 20), "after " + outcome);
            assertColdBudgetHolds(harness, "after " + outcome);
        }
    }

    @Test
    void invalidReportNeitherBlocksAKindNorRaisesItsColdBudget() {
        double[] invalid = {Double.POSITIVE_INFINITY, 1e300, 1e9, -1, -1e300};
        for (double value : invalid) {
            for (boolean inQueueField : new boolean[] {false, true}) {
                LogicHarness harness = trainedHarness(LogicHarness.settings(Effect.SAFE));
                LoadReport report = LogicHarness.free(inQueueField ? 1 : value);
                report.queue = inQueueField ? value : Double.NaN;
                harness.submit(50).advance(0.1).ends(50, 0, Outcome.OK, report).advance(5);
                assertEquals(20, served(harness, 100, 20), "after " + value);
                assertColdBudgetHolds(harness, "after " + value);
            }
        }
    }

    /** A list may move a worker to a zone out of range while a job is running there; the job continues normally. */
    @Test
    void workerThatLeavesAllZonesDuringAJobBlocksNothing() {
        for (int zone : new int[] {-1, 1, 200}) {
            Settings settings = LogicHarness.settings(Effect.SAFE);
            LogicHarness harness = new LogicHarness(settings).workers(0, 1).submit(5);
            harness.logic.list(harness.now, ListKind.CHANGES, List.of(LogicHarness.worker(1, zone)));
            harness.starts(5, 0).advance(0.1).ends(5, 0, Outcome.ERROR);
            assertEquals("refuse", harness.answers(5));
            assertEquals("refuse", harness.submit(6).answers(6), "no worker is left in a zone");
            harness.workers(0, 1).advance(5);
            assertEquals(1, harness.submit(7).sentTo(7));
        }
    }
}
