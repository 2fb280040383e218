package laneflow.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Long runs of random valid events under random settings, checked by {@link DispatchRuleChecker}. */
class PropertyTest {
    private static final double LENGTH = 60;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
    void rulesHold(long seed) {
        RandomEventDriver driver = new RandomEventDriver(seed);
        driver.run(LENGTH);
        assertTrue(driver.checker.sends > 0, "sends " + driver.checker.sends);
        assertEquals(0, driver.checker.openRequests());
    }

    @Test
    void equalEventsGiveEqualActions() {
        for (long seed = 30; seed < 34; seed++) {
            RandomEventDriver first = new RandomEventDriver(seed);
            RandomEventDriver second = new RandomEventDriver(seed);
            first.run(LENGTH);
            second.run(LENGTH);
            assertTrue(first.trace.length() > 1000);
            assertEquals(first.trace.toString(), second.trace.toString());
        }
    }

    @Test
    void randomRunsIncludeStreamsAndClosedConnections() {
        int streams = 0;
        long closes = 0;
        for (long seed = 1; seed < 25; seed++) {
            RandomEventDriver driver = new RandomEventDriver(seed);
            driver.run(LENGTH);
            streams += driver.streams;
            closes += driver.checker.closes;
        }
        assertTrue(closes > 100, "closes " + closes);
        assertTrue(streams > 100, "streams " + streams);
    }

    @Test
    void stateIsReleasedWhenWorkersAndRequestsAreGone() throws ReflectiveOperationException {
        // Lets the time after the dispatcher's start pass, in which cold budgets are smaller.
        LogicHarness harness = new LogicHarness(LogicHarness.settings(Dispatch.Effect.SAFE)).advance(2);
        for (long i = 1; i <= 3000; i++) {
            harness.logic.list(
                    harness.now,
                    Dispatch.ListKind.CHANGES,
                    List.of(LogicHarness.worker(i, 0, Dispatch.State.READY, i % 2 == 0 ? harness.now - 15 : 0)));
            harness.submit(i).advance(0.5);
            if (i % 3 > 0) {
                harness.ends(i, 0, i % 3 == 1 ? Dispatch.Outcome.OK : Dispatch.Outcome.FULL);
            }
            harness.logic.list(
                    harness.now, Dispatch.ListKind.CHANGES, List.of(LogicHarness.worker(i, 0, Dispatch.State.GONE, 0)));
            harness.actions.clear();
            if (i % 3 == 0) {
                harness.advance(11);
                harness.logic.outcome(harness.now, i, 0, i, Dispatch.Outcome.TIMEOUT, true, null);
            }
        }
        harness.advance(30);
        harness.logic.list(harness.now, Dispatch.ListKind.CHANGES, List.of());
        assertEquals(0, size(harness.logic, "views"));
        assertEquals(0, size(harness.logic, "jobs"));
    }

    private static int logSize(Logic logic, String field) throws ReflectiveOperationException {
        java.lang.reflect.Field retries = Logic.class.getDeclaredField("retries");
        retries.setAccessible(true);
        java.lang.reflect.Field declared = RetryPolicy.class.getDeclaredField(field);
        declared.setAccessible(true);
        return ((SendLog) declared.get(retries.get(logic))).count(Double.NEGATIVE_INFINITY);
    }

    private static int size(Logic logic, String field) throws ReflectiveOperationException {
        java.lang.reflect.Field declared = Logic.class.getDeclaredField(field);
        declared.setAccessible(true);
        Object value = declared.get(logic);
        return value instanceof Jobs jobs ? jobs.size() : ((java.util.Map<?, ?>) value).size();
    }

    @Test
    void timersStayBoundedOverALongRun() {
        RandomEventDriver driver = new RandomEventDriver(50);
        driver.run(10 * LENGTH);
        assertTrue(driver.maxTimers < 20, "timers set at once: " + driver.maxTimers);
    }

    /** A dispatcher's actions and state must grow with its own traffic, not with the number of workers. */
    @ParameterizedTest
    @ValueSource(ints = {200, 600})
    void actionsAndStateFollowOwnTrafficNotTheFleet(int fleet) throws ReflectiveOperationException {
        for (int index = 0; index < 5; index++) {
            Dispatch.Settings settings = LogicHarness.settings(Dispatch.Effect.SAFE);
            settings.zones = 2;
            settings.dispatchers = 300;
            settings.dispatcherIndex = index;
            settings.reports = Dispatch.ReportSource.PROBES;
            settings.mayProbe = true;
            settings.tellsStart = true;
            LogicHarness harness = new LogicHarness(settings);
            for (long id = 1; id <= fleet; id++) {
                harness.logic.list(
                        harness.now,
                        Dispatch.ListKind.CHANGES,
                        List.of(LogicHarness.worker(
                                id, (int) (id % 2), Dispatch.State.READY, id % 10 == 0 ? harness.now - 1 : 0)));
            }
            int requests = index == 0 ? 3000 : 30;
            for (long id = 1000; id < 1000 + requests; id++) {
                harness.submit(id).advance(0.01);
                for (int n = 0; n < harness.sends(id).size(); n++) {
                    harness.ends(
                            id,
                            n,
                            n == 0 && id % 9 == 0 ? Dispatch.Outcome.FULL : Dispatch.Outcome.OK,
                            LogicHarness.free(2));
                }
                int limit = 4 * (1 + settings.maxAttempts) * 2;
                assertTrue(
                        harness.actions("probe", 0).size() <= limit,
                        "probes of one request " + harness.actions("probe", 0).size());
                assertEquals(1, harness.sends(id).size() - (id % 9 == 0 ? 1 : 0), "each request is served once");
                harness.actions.clear();
            }
            harness.advance(20);
            assertTrue(
                    logSize(harness.logic, "requestLog") < 10 && logSize(harness.logic, "retryLog") < 10,
                    "logs are pruned");
            assertEquals(0, size(harness.logic, "jobs"));
            assertTrue(size(harness.logic, "zoneLoads") <= settings.zones, "one load estimate for each zone and kind");
        }
    }
}
