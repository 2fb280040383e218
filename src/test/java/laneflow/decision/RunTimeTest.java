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

    /** Number of jobs a cold endpoint gets at once after reports of {@code freeSlots} free slots and jobs that took {@code took}. */
    private static int coldSends(double freeSlots, double took) {
        Settings settings = Rig.settings(Effect.SAFE);
        Rig rig = new Rig(settings).workers(0, 1);
        rig.logic.probed(rig.now, 1, 0, Outcome.OK, Rig.free(2));
        for (long id = 10; id < 40; id++) {
            rig.logic.probed(rig.now, 1, 0, Outcome.OK, Rig.free(freeSlots));
            rig.submitHinted(id, HINT).advance(took).ends(id, 0, Outcome.OK);
        }
        rig.logic.list(rig.now, ListKind.WHOLE, List.of(Rig.worker(2, 0, State.READY, rig.now)));
        return rig.submitBurst(100, 200, HINT);
    }

    @Test
    void jobThatEndedEarlierThanExpectedDidNotRunInNoTime() {
        int sent = coldSends(2, HINT);
        assertEquals(sent, coldSends(0, HINT), "a wait was expected but did not occur");
    }
}
