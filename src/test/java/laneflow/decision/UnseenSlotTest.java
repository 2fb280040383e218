package laneflow.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.Settings;
import org.junit.jupiter.api.Test;

/**
 * An endpoint has four slots, and each report that comes with an answer still counts the job just ended, so at most three
 * are ever reported free. While three long jobs run there, short ones are refused although a slot is idle.
 */
class UnseenSlotTest {
    @Test
    void aSlotThatNoReportHasToldFreeIsFound() {
        Settings settings = LogicHarness.settings(Effect.SAFE);
        settings.tellsStart = true;
        settings.classes[0].aim = 1;
        settings.classes[0].deadline = 120;
        LogicHarness harness = new LogicHarness(settings).workers(0, 1);
        harness.submitHinted(10, 0.005).starts(10, 0).advance(0.005).ends(10, 0, Outcome.OK, LogicHarness.free(3));
        for (long id = 1; id <= 3; id++) {
            harness.advance(1).submitHinted(id, 100).starts(id, 0);
        }
        int refused = 0;
        for (long id = 20; id < 220; id++) {
            harness.advance(0.1).submitHinted(id, 0.005);
            if (harness.sends(id).isEmpty()) {
                refused++;
            } else {
                harness.starts(id, 0).advance(0.005).ends(id, 0, Outcome.OK, LogicHarness.free(0));
            }
        }
        assertTrue(refused <= 10, refused + " of 200 short jobs refused in 20 s beside an idle slot");
    }
}
