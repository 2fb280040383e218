package laneflow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.Group;
import laneflow.decision.Dispatch.ListKind;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Dispatch.Worker;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** No job takes effect twice: retries and final answers for every outcome and effect, written out by hand. */
class EffectTest {
    private static final List<Outcome> NEVER_RAN = List.of(Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT);

    static Stream<Arguments> table() {
        List<Arguments> rows = new ArrayList<>();
        for (Outcome outcome : Outcome.values()) {
            if (outcome == Outcome.OK) {
                continue;
            }
            boolean never = NEVER_RAN.contains(outcome);
            rows.add(Arguments.of(outcome, Effect.SAFE, true, "refuse"));
            rows.add(Arguments.of(outcome, Effect.KEYED, true, "refuse"));
            rows.add(Arguments.of(outcome, Effect.UNSAFE, never, never ? "refuse" : "fail"));
        }
        return rows.stream();
    }

    @ParameterizedTest
    @MethodSource("table")
    void retriesAndAnswersAsTheEffectAllows(Outcome outcome, Effect effect, boolean retries, String answerWhenAlone) {
        LogicHarness two =
                new LogicHarness(LogicHarness.settings(effect)).workers(0, 1, 2).submit(5);
        two.advance(0.1).ends(5, 0, outcome);
        assertEquals(retries ? 2 : 1, two.sends(5).size());
        assertEquals(retries ? "" : "fail", two.answers(5));

        LogicHarness one =
                new LogicHarness(LogicHarness.settings(effect)).workers(0, 1).submit(5);
        one.advance(0.1).ends(5, 0, outcome);
        assertEquals(1, one.sends(5).size());
        assertEquals(answerWhenAlone, one.answers(5));
    }

    @ParameterizedTest
    @MethodSource("table")
    void answersAtTheLastAttemptAsTheEffectAllows(Outcome outcome, Effect effect, boolean retries, String answer) {
        Settings settings = LogicHarness.settings(effect);
        settings.maxAttempts = 1;
        LogicHarness harness = new LogicHarness(settings)
                .workers(0, 1, 2)
                .submit(5)
                .advance(0.1)
                .ends(5, 0, outcome);
        assertEquals(1, harness.sends(5).size());
        assertEquals(answer, harness.answers(5));
    }

    @Test
    void earlierAttemptThatMayHaveRunOutweighsLaterOnes() {
        LogicHarness harness = new LogicHarness(LogicHarness.settings(Effect.UNSAFE))
                .workers(0, 1, 2)
                .submit(5);
        harness.advance(0.1).ends(5, 0, Outcome.FULL).advance(0.1).ends(5, 1, Outcome.RESET);
        assertEquals("fail", harness.answers(5));
    }

    @Test
    void keyedWindowCountsFromTheEarliestAttemptThatMayHaveRun() {
        LogicHarness harness = new LogicHarness(LogicHarness.settings(Effect.KEYED))
                .workers(0, 1, 2, 3)
                .submit(5);
        harness.advance(2).ends(5, 0, Outcome.ERROR);
        assertEquals(2, harness.sends(5).size());
        harness.advance(1.5).ends(5, 1, Outcome.FULL);
        assertEquals(2, harness.sends(5).size());
        assertEquals("fail", harness.answers(5));
    }

    @Test
    void attemptsThatNeverRanDoNotOpenTheWindow() {
        Settings settings = LogicHarness.settings(Effect.KEYED);
        settings.classes[0].aim = 8;
        LogicHarness harness = new LogicHarness(settings).workers(0, 1, 2, 3).submit(5);
        harness.advance(3.5).ends(5, 0, Outcome.FULL);
        assertEquals(2, harness.sends(5).size());
    }

    @Test
    void keyedStaysInItsZone() {
        Settings settings = LogicHarness.settings(Effect.KEYED);
        settings.zones = 2;
        settings.classes[0].group = Group.ZONE;
        LogicHarness harness =
                new LogicHarness(settings).workers(0, 1).workers(1, 2).submit(5);
        harness.advance(0.1).ends(5, 0, Outcome.ERROR);
        assertEquals(1, harness.sends(5).size());
        assertEquals("fail", harness.answers(5));
        harness.submit(6).advance(0.1);
        assertEquals(2, harness.sentTo(6));
        harness.ends(6, 0, Outcome.FULL);
        assertEquals("refuse", harness.answers(6));
    }

    @Test
    void keyedStaysInItsCell() {
        Settings settings = LogicHarness.settings(Effect.KEYED);
        settings.classes[0].group = Group.CELL;
        LogicHarness harness = new LogicHarness(settings);
        List<Worker> entries = new ArrayList<>();
        for (int id = 1; id <= 4; id++) {
            Worker worker = LogicHarness.worker(id, 0);
            worker.cell = id % 2;
            entries.add(worker);
        }
        harness.logic.list(harness.now, ListKind.CHANGES, entries);
        harness.submit(5);
        long first = harness.sentTo(5);
        harness.advance(0.1).ends(5, 0, Outcome.TIMEOUT);
        assertEquals(2, harness.sends(5).size());
        assertEquals(first % 2, harness.sentTo(5) % 2);
        harness.advance(0.1).ends(5, 1, Outcome.FULL);
        assertEquals("fail", harness.answers(5));
    }
}
