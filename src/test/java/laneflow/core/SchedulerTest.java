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

/** The core's rules, with a clock that the test sets, and a front and a connector that write down. */
class SchedulerTest implements RecordingFront, Connector {
    static final int SAFE = 0;
    static final int KEYED = 1;
    static final int UNSAFE = 2;

    private long now = 1_000_000_000L;
    private final Deadlines deadlines = new Deadlines();
    private final Counters counters = new Counters();
    private final List<Attempt> calls = new ArrayList<>();
    private final List<Attempt> closed = new ArrayList<>();
    private final List<String> answers = new ArrayList<>();
    private Runnable onOpen = () -> {};
    private Runnable onClose = () -> {};
    /** Microseconds that the present turn has lasted. */
    private long lasted;

    private final Clock clock = new Clock() {
        @Override
        public long micros() {
            return now;
        }

        @Override
        public long currentMicros() {
            return now + lasted;
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
            type.window = 10;
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

    private void pass(long micros) {
        now += micros;
        deadlines.runDue(now);
    }

    @Test
    void aCallThatComesUpAfterTheGraceMustNotBegin() {
        endpoints("a");
        submit(UNSAFE);
        assertTrue(scheduler.maySend(calls.get(0)));
        scheduler.list(this, false, List.of(entry("a", State.DRAINING)));
        // The process may be held up for 0.15 s between this and the write: the grace of 0.5 s has to cover that.
        pass(349_000);
        assertTrue(scheduler.maySend(calls.get(0)));
        // A second word of the same drain does not start the grace again.
        scheduler.list(this, false, List.of(entry("a", State.GONE)));
        pass(1_000);
        assertFalse(scheduler.maySend(calls.get(0)));
        assertEquals(1, counters.get("core.kept.drain"));
    }

    @Test
    void theGraceRunsFromWhenADrainCountsAsToldHoweverLateItIsRead() {
        endpoints("a", "b");
        submit(UNSAFE);
        submit(UNSAFE);
        scheduler.list(this, false, List.of(entry(calls.get(0).endpoint.name, State.DRAINING)), now - 300_000);
        scheduler.list(this, false, List.of(entry(calls.get(1).endpoint.name, State.GONE)), now - 350_000);
        assertTrue(scheduler.maySend(calls.get(0)));
        assertFalse(scheduler.maySend(calls.get(1)));
        pass(50_000);
        assertFalse(scheduler.maySend(calls.get(0)));
    }

    /** What its front says of its client. */
    private boolean clientHasLeft;

    @Override
    public boolean hasLeft(long tag) {
        return clientHasLeft;
    }

    /** Its end lies unread behind the failure of the first attempt: the client is looked at before the next one. */
    @Test
    void noFurtherAttemptBeginsForAClientThatHasGoneByThen() {
        endpoints("a", "b");
        submit(SAFE);
        clientHasLeft = true;
        scheduler.ended(calls.get(0), Outcome.RESET, null, null);
        assertEquals(1, calls.size());
        assertEquals(List.of(), answers);
        assertEquals(0, scheduler.openRequests());
        assertEquals(1, counters.get("core.kept.left"));
        assertEquals(1, counters.get("http.withdrawn"));
    }

    /** The connection comes up in a later turn than the decision's: the client may have gone meanwhile. */
    @Test
    void aCallThatComesUpLaterDoesNotBeginForAClientThatHasGone() {
        endpoints("a");
        submit(UNSAFE);
        clientHasLeft = true;
        assertTrue(scheduler.maySend(calls.get(0)), "it was looked at in this very turn");
        pass(1_000);
        assertFalse(scheduler.maySend(calls.get(0)));
        assertEquals(1, counters.get("core.kept.left"));
    }

    /** The operators price it as a refusal. */
    @Test
    void whatWasNeverSentOnAndFailsIsCountedApart() {
        endpoints("a");
        Request request = new Request(this, 0, new Payload("", "", "r", null, new byte[0]), UNSAFE, now + 5_000_000);
        request.mayHaveRunSince(now - 1);
        scheduler.submit(request);
        pass(5_000_000);
        assertEquals(List.of("failed"), answers);
        assertEquals(1, counters.get("clients.failed_unsent"));
    }

    @Test
    void whatMayHaveRunIsRepeatedOnlyAsItsClassAllows() {
        endpoints("a", "b", "c", "d", "e");
        submit(UNSAFE);
        scheduler.ended(calls.get(0), Outcome.CONNECT_FAILED, null, null);
        assertEquals(2, calls.size());
        scheduler.ended(calls.get(1), Outcome.RESET, null, null);
        assertEquals(List.of("failed"), answers);
        assertEquals(0, counters.get("clients.failed_unsent"));
        submit(SAFE);
        scheduler.ended(calls.get(2), Outcome.RESET, null, null);
        assertEquals(4, calls.size());
        // The first call's end told again changes nothing.
        scheduler.ended(calls.get(2), Outcome.OK, new byte[0], null);
        scheduler.ended(calls.get(3), Outcome.OK, new byte[0], null);
        scheduler.ended(calls.get(3), Outcome.OK, new byte[0], null);
        assertEquals(List.of("failed", "served"), answers);
        assertEquals(0, scheduler.openRequests());
    }

    /** What a version changes holds for requests that come behind it; one that is open keeps what it came under. */
    @Test
    void aRequestKeepsTheLimitsThatItCameUnder() {
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
        // It has five attempts, as when it came.
        scheduler.ended(calls.get(0), Outcome.RESET, null, null);
        assertEquals(2, calls.size());
        scheduler.ended(calls.get(1), Outcome.RESET, null, null);
        assertEquals(3, calls.size());
        assertTrue(calls.get(2).request.type != other);
        // The one behind it has one.
        Request next = submit(SAFE);
        assertEquals(epoch + 1, next.epoch());
        assertTrue(next.type == other);
        assertEquals(4, calls.size());
        scheduler.ended(calls.get(3), Outcome.RESET, null, null);
        assertEquals(4, calls.size());
        assertEquals(List.of("refused"), answers);
    }

    @Test
    void everyRequestIsAnsweredOnceBeforeItsDeadline() {
        endpoints("a");
        submit(UNSAFE);
        submit(KEYED);
        pass(4_999_000);
        assertEquals(List.of("failed", "refused"), answers);
        assertEquals(calls.size(), closed.size());
        pass(10_000_000);
        assertEquals(2, answers.size());
        assertEquals(0, counters.get("core.overdue"));
    }

    @Test
    void whatIsGivenUpIsAnsweredAtOnceAndWhatCameBeforeGoesOn() {
        endpoints("a", "b", "c", "d");
        submit(UNSAFE);
        pass(10_000);
        long since = now;
        submit(UNSAFE);
        submit(SAFE);
        scheduler.abandonSince(since);
        assertEquals(List.of("failed", "refused"), answers);
        assertEquals(calls.subList(1, 3), closed);
        scheduler.ended(calls.get(0), Outcome.OK, new byte[0], null);
        assertEquals(List.of("failed", "refused", "served"), answers);
        assertEquals(0, scheduler.openRequests());
    }

    /** A silent endpoint must not hold a connection, and its place in the module's books, for ever. */
    @Test
    void noCallOutlivesItsRequestsDeadlineThoughCancellingIsOff() {
        scheduler.settings().mayCancel = false;
        endpoints("a", "b");
        submit(UNSAFE);
        scheduler.withdraw(submit(SAFE));
        assertEquals(List.of(), closed);
        pass(5_000_000);
        assertEquals(List.of("failed"), answers);
        assertEquals(List.copyOf(calls), List.copyOf(closed));
        assertEquals(Long.MAX_VALUE, deadlines.next());
        assertEquals(0, counters.get("core.overdue"));
    }

    /** What the module sends on for a request that left while it was at work must not stay in its books. */
    @Test
    void aCallForARequestThatHasJustLeftIsSettledUnderItsOwnNumber() {
        endpoints("a", "b");
        Request leaving = submit(SAFE);
        onOpen = () -> {
            scheduler.ended(calls.get(0), Outcome.CONNECT_FAILED, null, null);
            scheduler.withdraw(leaving);
        };
        submit(SAFE);
        assertEquals(1, counters.get("core.kept.unknown"));
        scheduler.ended(calls.get(1), Outcome.OK, new byte[0], null);
        pass(9_000_000);
        Set<String> used = new HashSet<>();
        for (int i = 2; i < 42; i++) {
            submit(SAFE);
            used.add(calls.get(i).endpoint.name);
            scheduler.ended(calls.get(i), Outcome.OK, new byte[0], null);
        }
        assertEquals(Set.of("a", "b"), used);
    }

    @Test
    void aSurgeIsSeenAndEvenOrFewRequestsAreNone() {
        Arrivals arrivals = new Arrivals();
        long at = now;
        for (; at < now + 9_000_000; at += 50_000) {
            arrivals.add(at);
            // Not at its start either, where there was nothing before.
            assertFalse(arrivals.surge(at));
        }
        for (; at < now + 11_500_000; at += 25_000) {
            arrivals.add(at);
        }
        assertTrue(arrivals.surge(at));
        // Long gone, and then a handful.
        at += 30_000_000;
        arrivals.add(at);
        assertFalse(arrivals.surge(at));
    }

    @Test
    void aCaptureThatNeverBeganIsRefusedWhenItsTimeIsOver() {
        endpoints("a");
        neverSent = true;
        submit(UNSAFE);
        pass(5_000_000);
        assertEquals(List.of("refused"), answers);
        neverSent = false;
        submit(UNSAFE);
        pass(5_000_000);
        assertEquals(List.of("refused", "failed"), answers);
    }

    @Test
    void aWithdrawnRequestIsOwedNothing() {
        endpoints("a");
        Request request = submit(UNSAFE);
        scheduler.withdraw(request);
        assertEquals(calls, closed);
        scheduler.ended(calls.get(0), Outcome.OK, new byte[0], null);
        pass(10_000_000);
        assertEquals(List.of(), answers);
        assertEquals(1, counters.get("http.withdrawn"));
    }

    @Test
    void aWholeListSpeaksForItsOwnSourceOnly() {
        endpoints("a");
        Connector other = new SchedulerTest();
        scheduler.list(other, false, List.of(entry("w", State.READY)));
        scheduler.list(this, true, List.of(entry("b", State.READY)));
        assertNull(scheduler.endpoints().get("a"));
        assertEquals(State.READY, scheduler.endpoints().get("w").state());
        // Nobody takes over another source's name.
        scheduler.list(other, false, List.of(entry("b", State.GONE)));
        assertEquals(State.READY, scheduler.endpoints().get("b").state());
    }

    /** Nothing of the core is locked: a call from another thread than its owner's must not pass unseen in tests. */
    @Test
    void aCallFromAnotherThreadIsSeen() throws Exception {
        endpoints("a");
        submit(SAFE);
        List<Runnable> calls = List.of(
                () -> scheduler.setDown("a"),
                () -> deadlines.at(now, () -> {}),
                () -> counters.add("x"),
                () -> scheduler.probed(null, 0, Outcome.OK, null));
        for (Runnable call : calls) {
            Throwable[] seen = new Throwable[1];
            Thread other = new Thread(call);
            other.setUncaughtExceptionHandler((thread, thrown) -> seen[0] = thrown);
            other.start();
            other.join();
            assertEquals(AssertionError.class, seen[0] == null ? null : seen[0].getClass());
        }
    }

    @Test
    void handlesOfWhatHasLeftFindNothing() {
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
    void deadlinesRunInOrderHoweverTheyAreMoved() {
        List<Integer> ran = new ArrayList<>();
        List<Deadlines.Deadline> all = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            int number = i;
            all.add(deadlines.at(i * 37 % 200, () -> ran.add(number * 37 % 200)));
        }
        List<Integer> wanted = new ArrayList<>();
        for (int at = 0; at < 200; at++) {
            wanted.add(at);
        }
        for (int i = 0; i < 200; i += 3) {
            deadlines.cancel(all.get(i));
            wanted.remove(Integer.valueOf(i * 37 % 200));
        }
        assertEquals((long) wanted.get(0), deadlines.next());
        deadlines.runDue(200);
        assertEquals(wanted, ran);
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

    /** What this connector says of calls that are given up: that their last byte never went out. */
    private boolean neverSent;

    @Override
    public void open(Attempt call) {
        calls.add(call);
        Runnable then = onOpen;
        onOpen = () -> {};
        then.run();
    }

    @Override
    public boolean close(Attempt call) {
        closed.add(call);
        onClose.run();
        return neverSent;
    }

    @Override
    public boolean closeUnsent(Attempt call) {
        if (neverSent) {
            closed.add(call);
        }
        return neverSent;
    }

    @Override
    public void probe(Endpoint endpoint) {
        throw new AssertionError("no probes in these settings");
    }

    @Override
    public void closeIdle(Endpoint endpoint) {
        throw new AssertionError("no such rule in these settings");
    }

    /** This connector leaves the call where it is: its connection comes up when nobody waits any more. */
    @Test
    void noCallBeginsOnceItsClientHasLeftThoughCancellingIsOff() {
        scheduler.settings().mayCancel = false;
        endpoints("a");
        Request request = submit(SAFE);
        assertTrue(scheduler.maySend(calls.get(0)));
        scheduler.withdraw(request);
        assertFalse(scheduler.maySend(calls.get(0)));
        assertEquals(1, counters.get("core.kept.answered"));
    }

    @Test
    void aCallThatWasNotSentIsClosedWithItsClientsLeavingThoughCancellingIsOff() {
        scheduler.settings().mayCancel = false;
        endpoints("a", "b");
        neverSent = true;
        for (int jobClass : new int[] {SAFE, KEYED, UNSAFE}) {
            scheduler.withdraw(submit(jobClass));
        }
        assertEquals(calls, closed);
        assertEquals(3, counters.get("call.moot"));
        assertEquals(0, scheduler.openRequests());
        neverSent = false;
        // One that may be at work goes on, to its client's time.
        scheduler.withdraw(submit(SAFE));
        assertEquals(3, closed.size());
        pass(5_000_000);
        assertEquals(4, closed.size());
        assertEquals(Long.MAX_VALUE, deadlines.next());
    }

    /** Its last call is answered two ticks before its time; what was not sent then must not be after it. */
    @Test
    void aCallThatWasNotSentIsClosedWithItsAnswerThoughCancellingIsOff() {
        scheduler.settings().mayCancel = false;
        endpoints("a");
        neverSent = true;
        submit(SAFE);
        pass(4_999_000);
        assertEquals(List.of("refused"), answers);
        assertEquals(calls, closed);
        assertFalse(scheduler.maySend(calls.get(0)));
    }

    @Test
    void aRequestHeldForAPolicyIsNotDecidedOnOnceItsClientHasLeft() {
        endpoints("a");
        boolean[] may = new boolean[1];
        scheduler.setAdmissionGate(new AdmissionGate() {
            @Override
            public boolean mayDecide() {
                return may[0];
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
        pass(1_000);
        scheduler.withdraw(leaving);
        may[0] = true;
        pass(9_000);
        assertEquals(1, calls.size());
        assertTrue(calls.get(0).request != leaving);
        assertEquals(List.of(), answers);
    }

    /** A turn may last, as where the process was stopped amid it: what holds then is what counts. */
    @Test
    void whatMayBeginIsToldByTheClockAsItIsAndNotAsTheTurnBegan() {
        endpoints("a", "b", "c");
        submit(UNSAFE);
        scheduler.list(this, false, List.of(entry(calls.get(0).endpoint.name, State.DRAINING)));
        lasted = 349_000;
        assertTrue(scheduler.maySend(calls.get(0)));
        lasted = 350_000;
        assertFalse(scheduler.maySend(calls.get(0)));
        lasted = 0;
        submit(SAFE);
        lasted = 4_999_999;
        assertTrue(scheduler.maySend(calls.get(1)));
        lasted = 5_000_000;
        assertFalse(scheduler.maySend(calls.get(1)));
        assertEquals(1, counters.get("core.kept.spent"));
    }

    @Test
    void anAnswerThatIsThereWhenItsTimeIsOverIsServed() {
        endpoints("a", "b");
        for (int jobClass : new int[] {SAFE, KEYED, UNSAFE}) {
            submit(jobClass);
            Attempt call = calls.get(jobClass);
            onClose = () -> scheduler.ended(call, Outcome.OK, new byte[0], null);
            pass(5_000_000);
            assertEquals("served", answers.get(jobClass));
        }
        pass(5_000_000);
        assertEquals(3, answers.size());
        assertEquals(3, counters.get("call.ok"));
        assertEquals(0, counters.get("call.cancelled") + counters.get("call.timeout"));
        assertEquals(0, scheduler.openRequests());
    }

    /** Where endpoints may have begun what they shed, a key's window runs from that call on. */
    @Test
    void whatWasShedMayHaveRunWhereTheSettingsSaySo() {
        for (boolean may : new boolean[] {false, true}) {
            SchedulerTest other = new SchedulerTest();
            other.scheduler.settings().fullMayHaveRun = may;
            // Of two kinds: what is shed by one says nothing of the other.
            Entry second = entry("b", State.READY);
            second.kind = 1;
            other.scheduler.start(other, List.of(entry("a", State.READY), second));
            other.submit(KEYED);
            other.scheduler.ended(other.calls.get(0), Outcome.FULL, null, null);
            other.scheduler.settings().classes[KEYED].window = 1;
            other.pass(999_000);
            assertTrue(other.scheduler.maySend(other.calls.get(1)));
            other.pass(1_000);
            assertEquals(!may, other.scheduler.maySend(other.calls.get(1)));
        }
    }

    @Test
    void aKeysWindowIsLookedAtAgainBeforeTheFirstByte() {
        endpoints("e1", "e2");
        Request request = new Request(this, 0, new Payload("", "", "r", "k", new byte[0]), KEYED, now + 60_000_000);
        scheduler.submit(request);
        scheduler.ended(calls.get(0), Outcome.RESET, null, null);
        Attempt again = calls.get(1);
        now += 9_900_000;
        assertTrue(scheduler.maySend(again));
        // Its connection comes up, or its worker grabs it, when endpoints no longer drop a repeat.
        now += 100_000;
        assertFalse(scheduler.maySend(again));
        assertEquals(1, counters.get("core.kept.effect"));
    }
}
