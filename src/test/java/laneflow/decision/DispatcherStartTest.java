package laneflow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.ListKind;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Dispatch.State;
import laneflow.decision.Dispatch.Worker;
import org.junit.jupiter.api.Test;

/** A dispatcher that starts under load, without learned estimates and with an outdated list of workers or none. */
class DispatcherStartTest {
    @Test
    void withoutAListItRefusesAtOnceAndPlacesFromTheFirstListOn() {
        Settings settings = LogicHarness.settings(Effect.UNSAFE);
        settings.retryAfter = true;
        settings.maxRetryAfter = 2;
        LogicHarness harness = new LogicHarness(settings).submit(1);
        assertEquals("refuse", harness.answers(1));
        assertTrue(harness.actions("refuse", 1).get(0).value() > 0, "it states when to retry");
        harness.workers(0, 7);
        assertEquals(7, harness.submit(2).sentTo(2), "without any report");
    }

    /** Before the first hint, jobs must not be assumed heavier than they are, or idle workers would stay idle. */
    @Test
    void coldWorkersGetJobsFromTheFirstRequestOn() {
        Settings settings = LogicHarness.settings(Effect.SAFE);
        LogicHarness harness = new LogicHarness(settings);
        harness.logic.list(
                harness.now, ListKind.CACHED, List.of(LogicHarness.worker(1, 0, State.READY, harness.now - 1)));
        // 0.6 x 3 x 0.28 x 0.5 cores x 2 s allow 0.51 s of work.
        assertEquals(1, harness.advance(2.1).submitHinted(1, 0.3).sentTo(1));
    }

    /** Work in jobs of 0.05 s sent to a cold worker by one dispatcher that has learned about its kind since it started. */
    private static double workSentToColdWorker(Settings settings, double startsAt, double coldSince) {
        LogicHarness harness = new LogicHarness(settings, startsAt);
        harness.logic.list(harness.now, ListKind.CHANGES, List.of(LogicHarness.worker(1, 0)));
        harness.submitHinted(1, 0.05).advance(0.05).ends(1, 0, Outcome.OK, LogicHarness.free(4));
        harness.logic.list(
                harness.now,
                ListKind.CHANGES,
                List.of(LogicHarness.worker(1, 0, State.GONE, 0), LogicHarness.worker(2, 0, State.READY, coldSince)));
        return 0.05 * harness.submitBurst(10, 200, 0.05);
    }

    /** The new processes do not know what the killed ones sent, but the worker still runs it. */
    @Test
    void restartOfAllDispatchersOverloadsNoColdWorker() {
        Settings settings = LogicHarness.settings(Effect.SAFE);
        settings.dispatchers = 4;
        double sent = 0;
        for (double startsAt : new double[] {100, 100.4}) {
            for (settings.dispatcherIndex = 0; settings.dispatcherIndex < 4; settings.dispatcherIndex++) {
                double sentByOne = workSentToColdWorker(settings, startsAt, 99);
                assertTrue(sentByOne > 0, "each dispatcher has a share of the budget");
                sent += sentByOne;
            }
        }
        double share = settings.coldShare + (1 - settings.coldShare) * 1.45 / settings.coldFor;
        double limit = LogicHarness.overloadLimit(settings, share * 4, 0.05);
        assertTrue(sent <= limit, sent + " of " + limit);
    }

    /** Submits jobs while two of the eight listed workers are gone and two are full; returns the number served. */
    private static int serve(LogicHarness harness, long from, int count) {
        int served = 0;
        for (long id = from; id < from + count; id++) {
            harness.submitHinted(id, 0.2);
            int attempts = 0;
            while (harness.sends(id).size() > attempts) {
                long worker = harness.sentTo(id);
                Outcome outcome = worker <= 2 ? Outcome.CONNECT_FAILED : worker <= 4 ? Outcome.FULL : Outcome.OK;
                harness.advance(outcome == Outcome.OK ? 0.05 : 0.005);
                harness.ends(id, attempts++, outcome, worker <= 2 ? null : LogicHarness.free(worker <= 4 ? 0 : 2));
                served += outcome == Outcome.OK ? 1 : 0;
            }
            harness.advance(0.05);
        }
        return served;
    }

    @Test
    void newDispatcherPlacesLikeALongRunningOne() {
        Settings settings = LogicHarness.settings(Effect.UNSAFE);
        List<Worker> known = new ArrayList<>();
        for (long id = 1; id <= 8; id++) {
            known.add(LogicHarness.worker(id, 0));
        }
        LogicHarness longRunning = new LogicHarness(settings);
        longRunning.logic.list(longRunning.now, ListKind.CACHED, known);
        serve(longRunning, 1000, 600);
        LogicHarness fresh = new LogicHarness(settings, longRunning.now);
        fresh.logic.list(fresh.now, ListKind.CACHED, known);
        // Most of the first jobs are served too, though the new dispatcher has no reports yet.
        assertTrue(serve(fresh, 1, 10) >= 8);
        int actionsBefore = longRunning.actions.size();
        int freshActionsBefore = fresh.actions.size();
        assertEquals(serve(longRunning, 2000, 100), serve(fresh, 2000, 100));
        assertEquals(
                longRunning.actions.size() - actionsBefore,
                fresh.actions.size() - freshActionsBefore,
                15,
                "failed attempts");
    }
}
