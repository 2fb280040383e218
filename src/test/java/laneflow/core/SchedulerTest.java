package laneflow.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import laneflow.core.EndpointSet.Entry;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.Group;
import laneflow.decision.Dispatch.JobClass;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Dispatch.State;
import org.junit.jupiter.api.Test;

/** Unit tests of {@link Scheduler}, on a simulated clock, with a front and a connector that record their calls. */
class SchedulerTest implements RecordingFront, Connector {
    static final int SAFE = 0;
    static final int KEYED = 1;
    static final int UNSAFE = 2;

    private long now = 1_000_000_000L;
    private final Deadlines deadlines = new Deadlines();
    private final Counters counters = new Counters();
    private final List<Attempt> attempts = new ArrayList<>();
    private final List<Attempt> closed = new ArrayList<>();
    private final List<String> answers = new ArrayList<>();
    private Runnable onOpen = () -> {};
    private Runnable onClose = () -> {};
    /** How long the current turn has taken, in microseconds. */
    private long turnMicros;

    private final Clock clock = new Clock() {
        @Override
        public long micros() {
            return now;
        }

        @Override
        public long currentMicros() {
            return now + turnMicros;
        }
    };
    private final Scheduler scheduler = new Scheduler(settings(), 7, clock, deadlines, counters);

    static Settings settings() {
        Settings settings = new Settings();
        settings.classes = new JobClass[3];
        for (Effect effect : Effect.values()) {
            JobClass type = settings.classes[effect.ordinal()] = new JobClass();
            type.effect = effect;
            type.group = Group.ALL;
            type.dedupWindow = 10;
            type.stretch = 2;
        }
        settings.maxAttempts = 5;
        settings.mayCancel = true;
        settings.retryAfter = true;
        settings.maxRetryAfter = 2;
        settings.drainGrace = 0.5;
        settings.tellsStart = true;
        return settings;
    }

    private static Entry entry(String name, State state) {
        Entry entry = new Entry();
        entry.name = name;
        entry.state = state;
        return entry;
    }

    private void endpoints(String... names) {
        List<Entry> entries = new ArrayList<>();
        for (String name : names) {
            entries.add(entry(name, State.READY));
        }
        scheduler.start(this, entries);
    }

    private Request submit(int jobClass) {
        Request request = new Request(
                this, answers.size(), new Payload("", "", "r", null, new byte[0]), jobClass, now + 5_000_000);
        scheduler.submit(request);
        return request;
    }

    private void advance(long micros) {
        now += micros;
        deadlines.runDue(now);
    }

    @Test
    void noAttemptIsSentAfterTheDrainGrace() {
        endpoints("a");
        submit(UNSAFE);
        assertTrue(scheduler.maySend(attempts.get(0)));
        scheduler.list(this, false, List.of(entry("a", State.DRAINING)));
        // The process may stall for 0.15 s between this check and the write, so 0.35 s of the grace of 0.5 s are left.
        advance(349_000);
        assertTrue(scheduler.maySend(attempts.get(0)));
        // A second notice of the same drain does not restart the grace.
        scheduler.list(this, false, List.of(entry("a", State.GONE)));
        advance(1_000);
        assertFalse(scheduler.maySend(attempts.get(0)));
        assertEquals(1, counters.get("core.kept.drain"));
    }

    @Test
    void theDrainGraceRunsFromReceiptHoweverLateTheListIsRead() {
        endpoints("a", "b");
        submit(UNSAFE);
        submit(UNSAFE);
        scheduler.list(this, false, List.of(entry(attempts.get(0).endpoint.name, State.DRAINING)), now - 300_000);
        scheduler.list(this, false, List.of(entry(attempts.get(1).endpoint.name, State.GONE)), now - 350_000);
        assertTrue(scheduler.maySend(attempts.get(0)));
        assertFalse(scheduler.maySend(attempts.get(1)));
        advance(50_000);
        assertFalse(scheduler.maySend(attempts.get(0)));
    }

    /** What this front answers when asked whether the client has left. */
    private boolean clientHasLeft;

    @Override
    public ClientState clientState(long tag) {
        return clientHasLeft ? ClientState.LEFT : ClientState.PRESENT;
    }

    /**
     * The client's disconnect is still unread when the first attempt fails: the client is checked before the next
     * attempt.
     */
    @Test
    void noFurtherAttemptForAClientThatHasLeft() {
        endpoints("a", "b");
        submit(SAFE);
        clientHasLeft = true;
        scheduler.ended(attempts.get(0), Outcome.RESET, null, null);
        assertEquals(1, attempts.size());
        assertEquals(List.of(), answers);
        assertEquals(0, scheduler.openRequests());
        assertEquals(1, counters.get("core.kept.left"));
        assertEquals(1, counters.get("http.withdrawn"));
    }

    /** The connection opens in a later turn than the decision's, so the client may have left in the meantime. */
    @Test
    void aLateConnectionSendsNothingForAClientThatHasLeft() {
        endpoints("a");
        submit(UNSAFE);
        clientHasLeft = true;
        assertTrue(scheduler.maySend(attempts.get(0)), "it was checked in this very turn");
        advance(1_000);
        assertFalse(scheduler.maySend(attempts.get(0)));
        assertEquals(1, counters.get("core.kept.left"));
    }

    /** To operators such a failure is like a refusal, so it has its own counter. */
    @Test
    void aFailureWithoutAnyAttemptIsCounted() {
        endpoints("a");
        Request request = new Request(this, 0, new Payload("", "", "r", null, new byte[0]), UNSAFE, now + 5_000_000);
        request.mayHaveRunSince(now - 1);
        scheduler.submit(request);
        advance(5_000_000);
        assertEquals(List.of("failed"), answers);
        assertEquals(1, counters.get("clients.failed_unsent"));
    }

    @Test
    void aRequestThatMayHaveRunIsRepeatedOnlyAsItsClassAllows() {
        endpoints("a", "b", "c", "d", "e");
        submit(UNSAFE);
        scheduler.ended(attempts.get(0), Outcome.CONNECT_FAILED, null, null);
        assertEquals(2, attempts.size());
        scheduler.ended(attempts.get(1), Outcome.RESET, null, null);
        assertEquals(List.of("failed"), answers);
        assertEquals(0, counters.get("clients.failed_unsent"));
        submit(SAFE);
        scheduler.ended(attempts.get(2), Outcome.RESET, null, null);
        assertEquals(4, attempts.size());
        // A second report of the first attempt's end changes nothing.
        scheduler.ended(attempts.get(2), Outcome.OK, new byte[0], null);
        scheduler.ended(attempts.get(3), Outcome.OK, new byte[0], null);
        scheduler.ended(attempts.get(3), Outcome.OK, new byte[0], null);
        assertEquals(List.of("failed", "served"), answers);
        assertEquals(0, scheduler.openRequests());
    }

    /** A change of the settings applies to later requests; an open one keeps the settings it arrived under. */
    @Test
    void aRequestKeepsTheSettingsItArrivedUnder() {
        endpoints("a", "b", "c", "d", "e");
        Settings settings = scheduler.settings();
        submit(SAFE);
        int epoch = scheduler.settingsChanged();
        settings.maxAttempts = 1;
        JobClass other = new JobClass();
        other.effect = Effect.SAFE;
        other.group = Group.ALL;
        other.stretch = 2;
        settings.classes[SAFE] = other;
        assertEquals(epoch + 1, scheduler.settingsChanged());
        // It still has five attempts, as on its arrival.
        scheduler.ended(attempts.get(0), Outcome.RESET, null, null);
        assertEquals(2, attempts.size());
        scheduler.ended(attempts.get(1), Outcome.RESET, null, null);
        assertEquals(3, attempts.size());
        assertTrue(attempts.get(2).request.type != other);
        // The next request has one.
        Request next = submit(SAFE);
        assertEquals(epoch + 1, next.epoch());
        assertTrue(next.type == other);
        assertEquals(4, attempts.size());
        scheduler.ended(attempts.get(3), Outcome.RESET, null, null);
        assertEquals(4, attempts.size());
        assertEquals(List.of("refused"), answers);
    }

    @Test
    void everyRequestIsAnsweredOnceBeforeItsDeadline() {
        endpoints("a");
        submit(UNSAFE);
        submit(KEYED);
        advance(4_999_000);
        assertEquals(List.of("failed", "refused"), answers);
        assertEquals(attempts.size(), closed.size());
        advance(10_000_000);
        assertEquals(2, answers.size());
        assertEquals(0, counters.get("core.overdue"));
    }

    @Test
    void abandonedRequestsAreAnsweredAtOnceAndEarlierOnesGoOn() {
        endpoints("a", "b", "c", "d");
        submit(UNSAFE);
        advance(10_000);
        long since = now;
        submit(UNSAFE);
        submit(SAFE);
        scheduler.abandonSince(since);
        assertEquals(List.of("failed", "refused"), answers);
        assertEquals(attempts.subList(1, 3), closed);
        scheduler.ended(attempts.get(0), Outcome.OK, new byte[0], null);
        assertEquals(List.of("failed", "refused", "served"), answers);
        assertEquals(0, scheduler.openRequests());
    }

    /** An attempt at a silent endpoint must not keep its connection and its state in the decision module forever. */
    @Test
    void noAttemptOutlivesItsDeadlineThoughCancellingIsOff() {
        scheduler.settings().mayCancel = false;
        endpoints("a", "b");
        submit(UNSAFE);
        scheduler.withdraw(submit(SAFE));
        assertEquals(List.of(), closed);
        advance(5_000_000);
        assertEquals(List.of("failed"), answers);
        assertEquals(List.copyOf(attempts), List.copyOf(closed));
        assertEquals(Long.MAX_VALUE, deadlines.next());
        assertEquals(0, counters.get("core.overdue"));
    }

    /**
     * The module sends an attempt for a request that was withdrawn while the module ran: the attempt must not stay
     * in the module's accounts, which would keep its endpoint from getting requests.
     */
    @Test
    void anAttemptForAWithdrawnRequestIsSettledUnderItsOwnNumber() {
        endpoints("a", "b");
        Request leaving = submit(SAFE);
        onOpen = () -> {
            scheduler.ended(attempts.get(0), Outcome.CONNECT_FAILED, null, null);
            scheduler.withdraw(leaving);
        };
        submit(SAFE);
        assertEquals(1, counters.get("core.kept.unknown"));
        scheduler.ended(attempts.get(1), Outcome.OK, new byte[0], null);
        advance(9_000_000);
        Set<String> used = new HashSet<>();
        for (int i = 2; i < 42; i++) {
            submit(SAFE);
            used.add(attempts.get(i).endpoint.name);
            scheduler.ended(attempts.get(i), Outcome.OK, new byte[0], null);
        }
        assertEquals(Set.of("a", "b"), used);
    }

    @Test
    void aSurgeIsDetectedAndASteadyOrLowRateIsNot() {
        Arrivals arrivals = new Arrivals();
        long at = now;
        for (; at < now + 9_000_000; at += 50_000) {
            arrivals.add(at);
            // At the start there is no earlier rate to compare with.
            assertFalse(arrivals.isSurge(at));
        }
        for (; at < now + 11_500_000; at += 25_000) {
            arrivals.add(at);
        }
        assertTrue(arrivals.isSurge(at));
        // A long pause, then a single request.
        at += 30_000_000;
        arrivals.add(at);
        assertFalse(arrivals.isSurge(at));
    }

    @Test
    void anUnsafeRequestThatWasNeverSentIsRefusedAtItsDeadline() {
        endpoints("a");
        closesUnsent = true;
        submit(UNSAFE);
        advance(5_000_000);
        assertEquals(List.of("refused"), answers);
        closesUnsent = false;
        submit(UNSAFE);
        advance(5_000_000);
        assertEquals(List.of("refused", "failed"), answers);
    }

    @Test
    void aWithdrawnRequestGetsNoAnswer() {
        endpoints("a");
        Request request = submit(UNSAFE);
        scheduler.withdraw(request);
        assertEquals(attempts, closed);
        scheduler.ended(attempts.get(0), Outcome.OK, new byte[0], null);
        advance(10_000_000);
        assertEquals(List.of(), answers);
        assertEquals(1, counters.get("http.withdrawn"));
    }

    @Test
    void aFullListReplacesItsOwnSourceOnly() {
        endpoints("a");
        Connector other = new SchedulerTest();
        scheduler.list(other, false, List.of(entry("w", State.READY)));
        scheduler.list(this, true, List.of(entry("b", State.READY)));
        assertNull(scheduler.endpoints().get("a"));
        assertEquals(State.READY, scheduler.endpoints().get("w").state());
        // A source cannot change an endpoint of another source.
        scheduler.list(other, false, List.of(entry("b", State.GONE)));
        assertEquals(State.READY, scheduler.endpoints().get("b").state());
    }

    /** The core is not synchronized: its use from a thread other than the owner's must be detected in tests. */
    @Test
    void useFromAnotherThreadIsDetected() throws Exception {
        endpoints("a");
        submit(SAFE);
        List<Runnable> uses = List.of(
                () -> scheduler.setDown("a"),
                () -> deadlines.at(now, () -> {}),
                () -> counters.add("x"),
                () -> scheduler.probed(null, 0, Outcome.OK, null));
        for (Runnable use : uses) {
            Throwable[] thrownError = new Throwable[1];
            Thread other = new Thread(use);
            other.setUncaughtExceptionHandler((thread, thrown) -> thrownError[0] = thrown);
            other.start();
            other.join();
            assertEquals(AssertionError.class, thrownError[0] == null ? null : thrownError[0].getClass());
        }
    }

    @Test
    void handlesOfRemovedItemsFindNothing() {
        SlotTable<String> table = new SlotTable<>();
        long first = table.add("x");
        assertSame("x", table.remove(first));
        long second = table.add("y");
        assertEquals((int) first, (int) second);
        assertNull(table.get(first));
        assertNull(table.remove(first));
        assertSame("y", table.get(second));
        assertNull(table.get(0));
    }

    @Test
    void deadlinesRunInOrderAfterCancellations() {
        List<Integer> ran = new ArrayList<>();
        List<Deadlines.Deadline> created = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            int number = i;
            created.add(deadlines.at(i * 37 % 200, () -> ran.add(number * 37 % 200)));
        }
        List<Integer> expected = new ArrayList<>();
        for (int at = 0; at < 200; at++) {
            expected.add(at);
        }
        for (int i = 0; i < 200; i += 3) {
            deadlines.cancel(created.get(i));
            expected.remove(Integer.valueOf(i * 37 % 200));
        }
        assertEquals((long) expected.get(0), deadlines.next());
        deadlines.runDue(200);
        assertEquals(expected, ran);
        assertEquals(Long.MAX_VALUE, deadlines.next());
    }

    @Override
    public List<String> answers() {
        return answers;
    }

    @Override
    public void refused(long tag, double retryAfter) {
        answers.add("refused");
    }

    /** Whether this connector reports closed attempts as not sent to their last byte. */
    private boolean closesUnsent;

    @Override
    public void open(Attempt attempt) {
        attempts.add(attempt);
        Runnable action = onOpen;
        onOpen = () -> {};
        action.run();
    }

    @Override
    public boolean close(Attempt attempt) {
        closed.add(attempt);
        onClose.run();
        return closesUnsent;
    }

    @Override
    public boolean closeUnsent(Attempt attempt) {
        if (closesUnsent) {
            closed.add(attempt);
        }
        return closesUnsent;
    }

    @Override
    public void probe(Endpoint endpoint) {
        throw new AssertionError("no probes in these settings");
    }

    @Override
    public void closeIdle(Endpoint endpoint) {
        throw new AssertionError("no such rule in these settings");
    }

    /** Without cancelling, the connector keeps the attempt, so its connection may open after the client has left. */
    @Test
    void noAttemptIsSentOnceItsClientHasLeftThoughCancellingIsOff() {
        scheduler.settings().mayCancel = false;
        endpoints("a");
        Request request = submit(SAFE);
        assertTrue(scheduler.maySend(attempts.get(0)));
        scheduler.withdraw(request);
        assertFalse(scheduler.maySend(attempts.get(0)));
        assertEquals(1, counters.get("core.kept.answered"));
    }

    @Test
    void anUnsentAttemptIsClosedWhenItsClientLeavesThoughCancellingIsOff() {
        scheduler.settings().mayCancel = false;
        endpoints("a", "b");
        closesUnsent = true;
        for (int jobClass : new int[] {SAFE, KEYED, UNSAFE}) {
            scheduler.withdraw(submit(jobClass));
        }
        assertEquals(attempts, closed);
        assertEquals(3, counters.get("call.moot"));
        assertEquals(0, scheduler.openRequests());
        closesUnsent = false;
        // An attempt that may be running goes on until the client's deadline.
        scheduler.withdraw(submit(SAFE));
        assertEquals(3, closed.size());
        advance(5_000_000);
        assertEquals(4, closed.size());
        assertEquals(Long.MAX_VALUE, deadlines.next());
    }

    /** The request is answered two ticks before its deadline; an attempt not sent by then must not be sent later. */
    @Test
    void anUnsentAttemptIsClosedWithTheAnswerThoughCancellingIsOff() {
        scheduler.settings().mayCancel = false;
        endpoints("a");
        closesUnsent = true;
        submit(SAFE);
        advance(4_999_000);
        assertEquals(List.of("refused"), answers);
        assertEquals(attempts, closed);
        assertFalse(scheduler.maySend(attempts.get(0)));
    }

    @Test
    void aHeldRequestIsNotDecidedOnOnceItsClientHasLeft() {
        endpoints("a");
        boolean[] mayDecide = new boolean[1];
        scheduler.setAdmissionGate(new AdmissionGate() {
            @Override
            public boolean mayDecide() {
                return mayDecide[0];
            }

            @Override
            public long microsUntilOpen() {
                return 5_000;
            }

            @Override
            public double retryAfter() {
                return 1;
            }
        });
        Request leaving = submit(SAFE);
        submit(SAFE);
        advance(1_000);
        scheduler.withdraw(leaving);
        mayDecide[0] = true;
        advance(9_000);
        assertEquals(1, attempts.size());
        assertTrue(attempts.get(0).request != leaving);
        assertEquals(List.of(), answers);
    }

    /** A turn may take long, as when the process is stopped during it: the checks must use the current time. */
    @Test
    void sendChecksReadTheClockAndNotTheStartOfTheTurn() {
        endpoints("a", "b", "c");
        submit(UNSAFE);
        scheduler.list(this, false, List.of(entry(attempts.get(0).endpoint.name, State.DRAINING)));
        turnMicros = 349_000;
        assertTrue(scheduler.maySend(attempts.get(0)));
        turnMicros = 350_000;
        assertFalse(scheduler.maySend(attempts.get(0)));
        turnMicros = 0;
        submit(SAFE);
        turnMicros = 4_999_999;
        assertTrue(scheduler.maySend(attempts.get(1)));
        turnMicros = 5_000_000;
        assertFalse(scheduler.maySend(attempts.get(1)));
        assertEquals(1, counters.get("core.kept.spent"));
    }

    @Test
    void anAnswerFoundAtTheDeadlineIsServed() {
        endpoints("a", "b");
        for (int jobClass : new int[] {SAFE, KEYED, UNSAFE}) {
            submit(jobClass);
            Attempt attempt = attempts.get(jobClass);
            onClose = () -> scheduler.ended(attempt, Outcome.OK, new byte[0], null);
            advance(5_000_000);
            assertEquals("served", answers.get(jobClass));
        }
        advance(5_000_000);
        assertEquals(3, answers.size());
        assertEquals(3, counters.get("call.ok"));
        assertEquals(0, counters.get("call.cancelled") + counters.get("call.timeout"));
        assertEquals(0, scheduler.openRequests());
    }

    /** If endpoints may have started a shed attempt, the key's window runs from that attempt on. */
    @Test
    void aShedAttemptMayHaveRunIfTheSettingsSaySo() {
        for (boolean fullMayHaveRun : new boolean[] {false, true}) {
            SchedulerTest other = new SchedulerTest();
            other.scheduler.settings().fullMayHaveRun = fullMayHaveRun;
            // Endpoints of two kinds: load shed by one says nothing about the other.
            Entry second = entry("b", State.READY);
            second.kind = 1;
            other.scheduler.start(other, List.of(entry("a", State.READY), second));
            other.submit(KEYED);
            other.scheduler.ended(other.attempts.get(0), Outcome.FULL, null, null);
            other.scheduler.settings().classes[KEYED].dedupWindow = 1;
            other.advance(999_000);
            assertTrue(other.scheduler.maySend(other.attempts.get(1)));
            other.advance(1_000);
            assertEquals(!fullMayHaveRun, other.scheduler.maySend(other.attempts.get(1)));
        }
    }

    @Test
    void theKeyWindowIsCheckedAgainBeforeTheFirstByte() {
        endpoints("e1", "e2");
        Request request = new Request(this, 0, new Payload("", "", "r", "k", new byte[0]), KEYED, now + 60_000_000);
        scheduler.submit(request);
        scheduler.ended(attempts.get(0), Outcome.RESET, null, null);
        Attempt again = attempts.get(1);
        now += 9_900_000;
        assertTrue(scheduler.maySend(again));
        // The connection opens, or the worker grabs the job, when endpoints no longer detect a repeat.
        now += 100_000;
        assertFalse(scheduler.maySend(again));
        assertEquals(1, counters.get("core.kept.effect"));
    }
}
