package laneflow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.ListKind;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Dispatch.State;
import laneflow.decision.Refusal.Reason;
import org.junit.jupiter.api.Test;

/** A refused request is reported with the check that it did not pass. */
class RefusalReasonTest {
    private static Settings shortAim() {
        Settings settings = Rig.settings(Effect.SAFE);
        settings.classes[0].stretch = 0;
        settings.classes[0].aim = 1.16;
        return settings;
    }

    private static Reason reason(Rig rig, long id) {
        return rig.refusals.get(id).reason();
    }

    @Test
    void noEndpointRunsTheClass() {
        assertEquals(Reason.NO_ENDPOINT, reason(new Rig(shortAim()).submit(5), 5));
    }

    @Test
    void ownRequestsFillTheSlotsKnown() {
        Rig rig = new Rig(shortAim()).workers(0, 1);
        rig.logic.probed(rig.now, 1, 0, Outcome.OK, Rig.free(1));
        rig.submit(5).submit(6);
        assertEquals(Reason.OWN_LOAD, reason(rig, 6));
        Refusal refusal = rig.refusals.get(6L);
        assertEquals(1, refusal.worker());
        assertEquals(1, refusal.ownSlots());
        assertEquals(1, refusal.slots());
        assertEquals(0, refusal.reportAge());
        assertTrue(refusal.foreseenWait() > refusal.mostWait(), refusal.toString());
    }

    @Test
    void otherSchedulersFillTheSlotsKnown() {
        Rig rig = new Rig(shortAim()).workers(0, 1);
        rig.logic.probed(rig.now, 1, 0, Outcome.OK, Rig.free(2));
        for (int i = 0; i < 40; i++) {
            rig.logic.probed(rig.now, 1, 0, Outcome.OK, Rig.free(0));
        }
        assertEquals(Reason.OTHERS_LOAD, reason(rig.submit(5), 5));
        assertTrue(rig.refusals.get(5L).otherSlots() > 1, rig.refusals.toString());
    }

    @Test
    void noEndpointCouldEndItInTime() {
        Rig rig = new Rig(shortAim()).workers(0, 1).submitHinted(5, 3);
        assertEquals(Reason.TOO_LONG, reason(rig, 5));
    }

    @Test
    void startsAreLaterThanTheLoadExplains() {
        Settings settings = shortAim();
        settings.tellsStart = true;
        Rig rig = new Rig(settings).workers(0, 1);
        rig.logic.probed(rig.now, 1, 0, Outcome.OK, Rig.free(4));
        rig.submit(5).advance(1.5).submit(6);
        assertEquals(Reason.LATE_STARTS, reason(rig, 6));
    }

    @Test
    void endpointHasJustDeclined() {
        Rig rig = new Rig(shortAim())
                .workers(0, 1)
                .submit(5)
                .ends(5, 0, Outcome.FULL)
                .submit(6);
        assertEquals(Reason.TRIED, reason(rig, 5));
        assertEquals(Reason.DECLINED, reason(rig, 6));
    }

    @Test
    void failedEndpointIsEjected() {
        Rig rig = new Rig(shortAim())
                .workers(0, 1)
                .submit(5)
                .ends(5, 0, Outcome.ERROR)
                .submit(6);
        assertEquals(Reason.OUTLIER, reason(rig, 6));
    }

    @Test
    void slowStartBudgetIsUsedUp() {
        Rig rig = new Rig(Rig.settings(Effect.SAFE));
        rig.logic.list(rig.now, ListKind.WHOLE, List.of(Rig.worker(1, 0, State.READY, rig.now)));
        rig.logic.probed(rig.now, 1, 0, Outcome.OK, Rig.free(40));
        rig.submitBurst(10, 400, 0.1);
        assertEquals(Reason.SLOW_START, reason(rig, 399));
    }

    @Test
    void whatMayHaveRunIsNotSentAgain() {
        Rig rig =
                new Rig(Rig.settings(Effect.UNSAFE)).workers(0, 1, 2).submit(5).ends(5, 0, Outcome.ERROR);
        assertEquals(Reason.NO_RETRY, reason(rig, 5));
    }

    @Test
    void clientDeadlineIsReached() {
        assertEquals(
                Reason.DEADLINE,
                reason(new Rig(shortAim()).workers(0, 1).submit(5).advance(10), 5));
    }
}
