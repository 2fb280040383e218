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

/** A dispatcher that begins amid a rough day: nothing learned, an old list or none, requests at once. */
class StartingEmptyTest {
    @Test
    void withNoListItRefusesAtOnceAndPlacesFromTheFirstListOn() {
        Settings settings = Rig.settings(Effect.UNSAFE);
        settings.retryAfter = true;
        settings.maxRetryAfter = 2;
        Rig rig = new Rig(settings).ask(1);
        assertEquals("refuse", rig.answers(1));
        assertTrue(rig.all("refuse", 1).get(0).value() > 0, "it says when to come back");
        rig.workers(0, 7);
        assertEquals(7, rig.ask(2).sentTo(2), "without any report");
    }

    /** Before it has seen a hint it must not take its jobs for heavier than they are: idle workers stay idle. */
    @Test
    void coldWorkersGetJobsOfTheSizeThatComesFromTheFirstRequestOn() {
        Settings settings = Rig.settings(Effect.SAFE);
        Rig rig = new Rig(settings);
        rig.logic.list(rig.now, ListKind.CACHED, List.of(Rig.worker(1, 0, State.READY, rig.now - 1)));
        // 0.6 x 3 x 0.28 x 0.5 cores x 2 s hold 0.51.
        assertEquals(1, rig.pass(2.1).askHinted(1, 0.3).sentTo(1));
    }

    /** Sends of 0.05 to a cold worker, by one dispatcher that has learned of its kind since it started. */
    private static double fill(Settings settings, double startsAt, double coldSince) {
        Rig rig = new Rig(settings, startsAt);
        rig.logic.list(rig.now, ListKind.CHANGES, List.of(Rig.worker(1, 0)));
        rig.askHinted(1, 0.05).pass(0.05).ends(1, 0, Outcome.OK, Rig.free(4));
        rig.logic.list(
                rig.now,
                ListKind.CHANGES,
                List.of(Rig.worker(1, 0, State.GONE, 0), Rig.worker(2, 0, State.READY, coldSince)));
        return 0.05 * rig.callsAtOnce(10, 200, 0.05);
    }

    /** What a dispatcher sent before it was killed still counts at the worker; only its own books are empty. */
    @Test
    void allDispatchersKilledAndStartedAnewOverwhelmNoColdWorker() {
        Settings settings = Rig.settings(Effect.SAFE);
        settings.dispatchers = 4;
        double sent = 0;
        for (double startsAt : new double[] {100, 100.4}) {
            for (settings.dispatcherIndex = 0; settings.dispatcherIndex < 4; settings.dispatcherIndex++) {
                double one = fill(settings, startsAt, 99);
                assertTrue(one > 0, "each has a part");
                sent += one;
            }
        }
        double share = settings.coldShare + (1 - settings.coldShare) * 1.45 / settings.coldFor;
        double most = Rig.fells(settings, share * 4, 0.05);
        assertTrue(sent <= most, sent + " of " + most);
    }

    /** Eight workers of which two are gone, two full and the list old: how many jobs a dispatcher serves. */
    private static int servedOf(Rig rig, long from, int count) {
        int served = 0;
        for (long id = from; id < from + count; id++) {
            rig.askHinted(id, 0.2);
            int attempts = 0;
            while (rig.sends(id).size() > attempts) {
                long worker = rig.sentTo(id);
                Outcome outcome = worker <= 2 ? Outcome.CONNECT_FAILED : worker <= 4 ? Outcome.FULL : Outcome.OK;
                rig.pass(outcome == Outcome.OK ? 0.05 : 0.005);
                rig.ends(id, attempts++, outcome, worker <= 2 ? null : Rig.free(worker <= 4 ? 0 : 2));
                served += outcome == Outcome.OK ? 1 : 0;
            }
            rig.pass(0.05);
        }
        return served;
    }

    @Test
    void withinASecondItPlacesLikeOneThatHasRunOn() {
        Settings settings = Rig.settings(Effect.UNSAFE);
        List<Worker> known = new ArrayList<>();
        for (long id = 1; id <= 8; id++) {
            known.add(Rig.worker(id, 0));
        }
        Rig old = new Rig(settings);
        old.logic.list(old.now, ListKind.CACHED, known);
        servedOf(old, 1000, 600);
        Rig fresh = new Rig(settings, old.now);
        fresh.logic.list(fresh.now, ListKind.CACHED, known);
        // Even the first ones: each finds a worker among its attempts, or says at once that it has none.
        assertTrue(servedOf(fresh, 1, 10) >= 8);
        int sentOld = old.actions.size();
        int sentFresh = fresh.actions.size();
        assertEquals(servedOf(old, 2000, 100), servedOf(fresh, 2000, 100));
        assertEquals(old.actions.size() - sentOld, fresh.actions.size() - sentFresh, 15, "calls in vain");
    }
}
