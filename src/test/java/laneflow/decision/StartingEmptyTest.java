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

/** A dispatcher that starts under load: nothing learned, an old list or none, and requests at once. */
class StartingEmptyTest {
    @Test
    void withoutAListItRefusesAtOnceAndPlacesFromTheFirstListOn() {
        Settings settings = Rig.settings(Effect.UNSAFE);
        settings.retryAfter = true;
        settings.maxRetryAfter = 2;
        Rig rig = new Rig(settings).submit(1);
        assertEquals("refuse", rig.answers(1));
        assertTrue(rig.all("refuse", 1).get(0).value() > 0, "it states when to retry");
        rig.workers(0, 7);
        assertEquals(7, rig.submit(2).sentTo(2), "without any report");
    }

    /** Before the first hint, jobs must not be assumed heavier than they are, or idle workers would stay idle. */
    @Test
    void coldWorkersGetJobsFromTheFirstRequestOn() {
        Settings settings = Rig.settings(Effect.SAFE);
        Rig rig = new Rig(settings);
        rig.logic.list(rig.now, ListKind.CACHED, List.of(Rig.worker(1, 0, State.READY, rig.now - 1)));
        // 0.6 x 3 x 0.28 x 0.5 cores x 2 s allow 0.51 s of work.
        assertEquals(1, rig.advance(2.1).submitHinted(1, 0.3).sentTo(1));
    }

    /** Work in jobs of 0.05 s sent to a cold worker by one dispatcher that has learned about its kind since it started. */
    private static double fill(Settings settings, double startsAt, double coldSince) {
        Rig rig = new Rig(settings, startsAt);
        rig.logic.list(rig.now, ListKind.CHANGES, List.of(Rig.worker(1, 0)));
        rig.submitHinted(1, 0.05).advance(0.05).ends(1, 0, Outcome.OK, Rig.free(4));
        rig.logic.list(
                rig.now,
                ListKind.CHANGES,
                List.of(Rig.worker(1, 0, State.GONE, 0), Rig.worker(2, 0, State.READY, coldSince)));
        return 0.05 * rig.submitBurst(10, 200, 0.05);
    }

    /** What a dispatcher sent before it was killed still counts at the worker, though the new process does not know of it. */
    @Test
    void restartOfAllDispatchersOverloadsNoColdWorker() {
        Settings settings = Rig.settings(Effect.SAFE);
        settings.dispatchers = 4;
        double sent = 0;
        for (double startsAt : new double[] {100, 100.4}) {
            for (settings.dispatcherIndex = 0; settings.dispatcherIndex < 4; settings.dispatcherIndex++) {
                double one = fill(settings, startsAt, 99);
                assertTrue(one > 0, "each dispatcher has a part");
                sent += one;
            }
        }
        double share = settings.coldShare + (1 - settings.coldShare) * 1.45 / settings.coldFor;
        double most = Rig.overloadLimit(settings, share * 4, 0.05);
        assertTrue(sent <= most, sent + " of " + most);
    }

    /** Number of jobs served with an outdated list of eight workers, of which two are gone and two are full. */
    private static int servedOf(Rig rig, long from, int count) {
        int served = 0;
        for (long id = from; id < from + count; id++) {
            rig.submitHinted(id, 0.2);
            int attempts = 0;
            while (rig.sends(id).size() > attempts) {
                long worker = rig.sentTo(id);
                Outcome outcome = worker <= 2 ? Outcome.CONNECT_FAILED : worker <= 4 ? Outcome.FULL : Outcome.OK;
                rig.advance(outcome == Outcome.OK ? 0.05 : 0.005);
                rig.ends(id, attempts++, outcome, worker <= 2 ? null : Rig.free(worker <= 4 ? 0 : 2));
                served += outcome == Outcome.OK ? 1 : 0;
            }
            rig.advance(0.05);
        }
        return served;
    }

    @Test
    void newDispatcherPlacesLikeALongRunningOne() {
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
        // Most of the first jobs are served too: each finds a worker within its attempts or is refused at once.
        assertTrue(servedOf(fresh, 1, 10) >= 8);
        int sentOld = old.actions.size();
        int sentFresh = fresh.actions.size();
        assertEquals(servedOf(old, 2000, 100), servedOf(fresh, 2000, 100));
        assertEquals(old.actions.size() - sentOld, fresh.actions.size() - sentFresh, 15, "failed attempts");
    }
}
