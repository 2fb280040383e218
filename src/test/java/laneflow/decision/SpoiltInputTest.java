package laneflow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.ListKind;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.Settings;
import org.junit.jupiter.api.Test;

/** What one peer says, however absurd, must not decide what becomes of everybody else's jobs. */
class SpoiltInputTest {
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
