package laneflow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Long runs of random legal events, failures and list changes under random settings, checked by {@link RuleChecker}. */
class PropertyTest {
    private static final double LENGTH = 60;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
    void rulesHold(long seed) {
        RandomDay day = new RandomDay(seed);
        day.run(LENGTH);
        assertTrue(day.checker.sends > 0, "the day sent " + day.checker.sends);
        assertEquals(0, day.checker.openRequests());
    }

    @Test
    void equalEventsGiveEqualActions() {
        for (long seed = 30; seed < 34; seed++) {
            RandomDay one = new RandomDay(seed);
            RandomDay two = new RandomDay(seed);
            one.run(LENGTH);
            two.run(LENGTH);
            assertTrue(one.trace.length() > 1000);
            assertEquals(one.trace.toString(), two.trace.toString());
        }
    }

    @Test
    void randomDaysIncludeStreamsAndClosedConnections() {
        int streams = 0;
        long closes = 0;
        for (long seed = 1; seed < 25; seed++) {
            RandomDay day = new RandomDay(seed);
            day.run(LENGTH);
            streams += day.streams;
            closes += day.checker.closes;
        }
        assertTrue(closes > 100, "closes " + closes);
        assertTrue(streams > 100, "streams " + streams);
    }

    @Test
    void stateIsReleasedWhenWorkersAndRequestsAreGone() throws ReflectiveOperationException {
        // Lets the time after the dispatcher's start pass, in which cold budgets are smaller.
        Rig rig = new Rig(Rig.settings(Dispatch.Effect.SAFE)).advance(2);
        for (long i = 1; i <= 3000; i++) {
            rig.logic.list(
                    rig.now,
                    Dispatch.ListKind.CHANGES,
                    List.of(Rig.worker(i, 0, Dispatch.State.READY, i % 2 == 0 ? rig.now - 15 : 0)));
            rig.submit(i).advance(0.5);
            if (i % 3 > 0) {
                rig.ends(i, 0, i % 3 == 1 ? Dispatch.Outcome.OK : Dispatch.Outcome.FULL);
            }
            rig.logic.list(rig.now, Dispatch.ListKind.CHANGES, List.of(Rig.worker(i, 0, Dispatch.State.GONE, 0)));
            rig.actions.clear();
            if (i % 3 == 0) {
                rig.advance(11);
                rig.logic.outcome(rig.now, i, 0, i, Dispatch.Outcome.TIMEOUT, true, null);
            }
        }
        rig.advance(30);
        rig.logic.list(rig.now, Dispatch.ListKind.CHANGES, List.of());
        assertEquals(0, size(rig.logic, "views"));
        assertEquals(0, size(rig.logic, "jobs"));
    }

    private static int logSize(Logic logic, String field) throws ReflectiveOperationException {
        java.lang.reflect.Field retries = Logic.class.getDeclaredField("retries");
        retries.setAccessible(true);
        java.lang.reflect.Field f = RetryPolicy.class.getDeclaredField(field);
        f.setAccessible(true);
        return ((SendLog) f.get(retries.get(logic))).count(Double.NEGATIVE_INFINITY);
    }

    private static int size(Logic logic, String field) throws ReflectiveOperationException {
        java.lang.reflect.Field f = Logic.class.getDeclaredField(field);
        f.setAccessible(true);
        Object held = f.get(logic);
        return held instanceof Jobs jobs ? jobs.size() : ((java.util.Map<?, ?>) held).size();
    }

    @Test
    void timersStayBoundedOverALongRun() {
        RandomDay day = new RandomDay(50);
        day.run(10 * LENGTH);
        assertTrue(day.mostTimers < 20, "most timers at once " + day.mostTimers);
    }

    /** With hundreds of workers, one busy and several quiet dispatchers, actions and state must depend on own traffic only. */
    @ParameterizedTest
    @ValueSource(ints = {200, 600})
    void actionsAndStateFollowOwnTrafficNotTheFleet(int fleet) throws ReflectiveOperationException {
        for (int index = 0; index < 5; index++) {
            Dispatch.Settings settings = Rig.settings(Dispatch.Effect.SAFE);
            settings.zones = 2;
            settings.dispatchers = 300;
            settings.dispatcherIndex = index;
            settings.reports = Dispatch.ReportSource.PROBES;
            settings.mayProbe = true;
            settings.tellsStart = true;
            Rig rig = new Rig(settings);
            for (long id = 1; id <= fleet; id++) {
                rig.logic.list(
                        rig.now,
                        Dispatch.ListKind.CHANGES,
                        List.of(Rig.worker(id, (int) (id % 2), Dispatch.State.READY, id % 10 == 0 ? rig.now - 1 : 0)));
            }
            int requests = index == 0 ? 3000 : 30;
            for (long id = 1000; id < 1000 + requests; id++) {
                rig.submit(id).advance(0.01);
                for (int n = 0; n < rig.sends(id).size(); n++) {
                    rig.ends(id, n, n == 0 && id % 9 == 0 ? Dispatch.Outcome.FULL : Dispatch.Outcome.OK, Rig.free(2));
                }
                int most = 4 * (1 + settings.maxAttempts) * 2;
                assertTrue(
                        rig.all("probe", 0).size() <= most,
                        "probes of one request " + rig.all("probe", 0).size());
                assertEquals(1, rig.sends(id).size() - (id % 9 == 0 ? 1 : 0), "each request is served once");
                rig.actions.clear();
            }
            rig.advance(20);
            assertTrue(logSize(rig.logic, "requestLog") < 10 && logSize(rig.logic, "retryLog") < 10, "logs are pruned");
            assertEquals(0, size(rig.logic, "jobs"));
            assertTrue(size(rig.logic, "zoneLoads") <= settings.zones, "one load estimate for each zone and kind");
        }
    }
}
