package laneflow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.ListKind;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Dispatch.State;
import org.junit.jupiter.api.Test;

/** Estimated running times of jobs whose starts are not reported. */
class RunTimeTest {
    private static final double HINT = 0.2;

    /** Jobs sent at once to a cold endpoint, after jobs of this run time at one that reported this many free slots. */
    private static int coldSends(double freeSlots, double runTime) {
        Settings settings = LogicHarness.settings(Effect.SAFE);
        LogicHarness harness = new LogicHarness(settings).workers(0, 1);
        harness.logic.probed(harness.now, 1, 0, Outcome.OK, LogicHarness.free(2));
        for (long id = 10; id < 40; id++) {
            harness.logic.probed(harness.now, 1, 0, Outcome.OK, LogicHarness.free(freeSlots));
            harness.submitHinted(id, HINT).advance(runTime).ends(id, 0, Outcome.OK);
        }
        harness.logic.list(harness.now, ListKind.WHOLE, List.of(LogicHarness.worker(2, 0, State.READY, harness.now)));
        return harness.submitBurst(100, 200, HINT);
    }

    @Test
    void jobThatEndedEarlierThanExpectedDidNotRunInNoTime() {
        int sent = coldSends(2, HINT);
        assertEquals(sent, coldSends(0, HINT), "the same run times after reports of a full worker");
    }
}
