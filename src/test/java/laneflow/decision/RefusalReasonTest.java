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
        Settings settings = LogicHarness.settings(Effect.SAFE);
        settings.classes[0].stretch = 0;
        settings.classes[0].aim = 1.16;
        return settings;
    }

    private static Reason reason(LogicHarness harness, long id) {
        return harness.refusals.get(id).reason();
    }

    @Test
    void noEndpointRunsTheClass() {
        assertEquals(Reason.NO_ENDPOINT, reason(new LogicHarness(shortAim()).submit(5), 5));
    }

    @Test
    void ownRequestsFillTheKnownSlots() {
        LogicHarness harness = new LogicHarness(shortAim()).workers(0, 1);
        harness.logic.probed(harness.now, 1, 0, Outcome.OK, LogicHarness.free(1));
        harness.submit(5).submit(6);
        assertEquals(Reason.OWN_LOAD, reason(harness, 6));
        Refusal refusal = harness.refusals.get(6L);
        assertEquals(1, refusal.worker());
        assertEquals(1, refusal.ownSlots());
        assertEquals(1, refusal.slots());
        assertEquals(0, refusal.reportAge());
        assertTrue(refusal.foreseenWait() > refusal.mostWait(), refusal.toString());
    }

    @Test
    void otherSchedulersFillTheKnownSlots() {
        LogicHarness harness = new LogicHarness(shortAim()).workers(0, 1);
        harness.logic.probed(harness.now, 1, 0, Outcome.OK, LogicHarness.free(2));
        for (int i = 0; i < 40; i++) {
            harness.logic.probed(harness.now, 1, 0, Outcome.OK, LogicHarness.free(0));
        }
        assertEquals(Reason.OTHERS_LOAD, reason(harness.submit(5), 5));
        assertTrue(harness.refusals.get(5L).otherSlots() > 1, harness.refusals.toString());
    }

    @Test
    void noEndpointCouldFinishInTime() {
        LogicHarness harness = new LogicHarness(shortAim()).workers(0, 1).submitHinted(5, 3);
        assertEquals(Reason.TOO_LONG, reason(harness, 5));
    }

    @Test
    void startsAreLaterThanTheLoadExplains() {
        Settings settings = shortAim();
        settings.tellsStart = true;
        LogicHarness harness = new LogicHarness(settings).workers(0, 1);
        harness.logic.probed(harness.now, 1, 0, Outcome.OK, LogicHarness.free(4));
        harness.submit(5).advance(1.5).submit(6);
        assertEquals(Reason.LATE_STARTS, reason(harness, 6));
    }

    @Test
    void endpointHasJustDeclined() {
        LogicHarness harness = new LogicHarness(shortAim())
                .workers(0, 1)
                .submit(5)
                .ends(5, 0, Outcome.FULL)
                .submit(6);
        assertEquals(Reason.TRIED, reason(harness, 5));
        assertEquals(Reason.DECLINED, reason(harness, 6));
    }

    @Test
    void failedEndpointIsEjected() {
        LogicHarness harness = new LogicHarness(shortAim())
                .workers(0, 1)
                .submit(5)
                .ends(5, 0, Outcome.ERROR)
                .submit(6);
        assertEquals(Reason.OUTLIER, reason(harness, 6));
    }

    @Test
    void slowStartBudgetIsUsedUp() {
        LogicHarness harness = new LogicHarness(LogicHarness.settings(Effect.SAFE));
        harness.logic.list(harness.now, ListKind.WHOLE, List.of(LogicHarness.worker(1, 0, State.READY, harness.now)));
        harness.logic.probed(harness.now, 1, 0, Outcome.OK, LogicHarness.free(40));
        harness.submitBurst(10, 400, 0.1);
        assertEquals(Reason.SLOW_START, reason(harness, 399));
    }

    @Test
    void requestThatMayHaveRunIsNotSentAgain() {
        LogicHarness harness = new LogicHarness(LogicHarness.settings(Effect.UNSAFE))
                .workers(0, 1, 2)
                .submit(5)
                .ends(5, 0, Outcome.ERROR);
        assertEquals(Reason.NO_RETRY, reason(harness, 5));
    }

    @Test
    void clientDeadlineIsReached() {
        assertEquals(
                Reason.DEADLINE,
                reason(new LogicHarness(shortAim()).workers(0, 1).submit(5).advance(10), 5));
    }
}
