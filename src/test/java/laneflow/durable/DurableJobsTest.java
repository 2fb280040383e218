package laneflow.durable;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import laneflow.config.Findings;
import laneflow.config.Table;
import laneflow.core.Attempt;
import laneflow.core.Connector;
import laneflow.core.Counters;
import laneflow.core.Deadlines;
import laneflow.core.DurableJobService.Submission;
import laneflow.core.DurableJobService.SubmissionOutcome;
import laneflow.core.DurableJobService.SubmissionResult;
import laneflow.core.Endpoint;
import laneflow.core.EndpointSet.Entry;
import laneflow.core.MessageMemory;
import laneflow.core.Payload;
import laneflow.core.Scheduler;
import laneflow.decision.Dispatch;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.Group;
import laneflow.decision.Dispatch.JobClass;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.Settings;
import laneflow.durable.decision.AttemptRecord;
import laneflow.durable.decision.AttemptRecord.Known;
import laneflow.durable.decision.AttemptRecord.Place;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the order of disk writes and calls, with a storage, a clock and a connector that the test controls. */
@Timeout(30)
class DurableJobsTest implements Connector, Journal.Storage {
    private static final int KEYED = 1;
    private static final int UNSAFE = 2;
    private long now = 1_000_000_000L;
    private long wallMs = 50_000;
    private final Deadlines deadlines = new Deadlines();
    private final Counters counters = new Counters();
    private final MessageMemory.Admission memory = new MessageMemory(1 << 20).durableJobs();
    private final Scheduler scheduler = new Scheduler(settings(), 7, () -> now, deadlines, counters);
    private final LinkedBlockingQueue<Runnable> callbacks = new LinkedBlockingQueue<>();
    private final Semaphore writes = new Semaphore(0);
    private final List<Op> written = new ArrayList<>();
    private final List<Attempt> calls = new ArrayList<>();
    private final List<SubmissionResult> results = new ArrayList<>();
    private volatile StoreException.Kind failure;
    private final Journal journal = new Journal(this, callbacks::add, 64);
    private final DurableJobs jobs = jobs();

    static Settings settings() {
        Settings settings = new Settings();
        settings.classes = new JobClass[3];
        for (Effect effect : Effect.values()) {
            JobClass type = settings.classes[effect.ordinal()] = new JobClass();
            type.effect = effect;
            type.group = Group.ALL;
            type.dedupWindow = 10;
            type.stretch = 2;
            type.deadline = 5;
        }
        settings.maxAttempts = 5;
        settings.zones = 2;
        settings.mayCancel = true;
        settings.drainGrace = 0.5;
        return settings;
    }

    private DurableJobs jobs() {
        Findings findings = new Findings("test");
        DurableConfig config = DurableConfig.read(
                Table.parse("dir = 'x'\n", findings), scheduler.settings(), List.of("check", "post", "capture"));
        findings.throwIfAny();
        scheduler.start(this, List.of(entry("e1", 0)));
        return new DurableJobs(
                () -> now,
                deadlines,
                scheduler,
                config,
                journal,
                () -> wallMs,
                memory,
                new ZoneNames(List.of("a", "b")),
                7);
    }

    private static Entry entry(String name, int zone) {
        Entry entry = new Entry();
        entry.name = name;
        entry.zone = zone;
        entry.cell = zone;
        return entry;
    }

    private void setState(String name, int zone, Dispatch.State state) {
        Entry entry = entry(name, zone);
        entry.state = state;
        scheduler.list(this, false, List.of(entry));
    }

    @AfterEach
    void closeJournal() throws InterruptedException {
        writes.release(1000);
        journal.close();
    }

    // ---- storage ----

    @Override
    public void write(List<Op> ops) throws StoreException {
        writes.acquireUninterruptibly();
        if (failure != null) {
            throw new StoreException(failure, "injected failure");
        }
        synchronized (written) {
            written.addAll(ops);
        }
    }

    @Override
    public byte[] result(long id) {
        return null;
    }

    @Override
    public long usedBytes() {
        return 0;
    }

    @Override
    public void vacuumIncrementally() {}

    @Override
    public void close() {}

    /** Lets the storage write one batch, and runs its callbacks. */
    private void completeWrite() throws InterruptedException {
        writes.release();
        callbacks.poll(10, TimeUnit.SECONDS).run();
    }

    // ---- connector ----

    @Override
    public void open(Attempt call) {
        calls.add(call);
    }

    @Override
    public boolean close(Attempt call) {
        return false;
    }

    @Override
    public void probe(Endpoint endpoint) {}

    @Override
    public void closeIdle(Endpoint endpoint) {}

    private void submit(int jobClass, String key) {
        Payload payload = new Payload("POST", "/c", "r", null, new byte[] {1});
        jobs.submit(new Submission(jobClass, "", key, true, payload, Double.NaN, 1, 0, 0, 0), results::add);
    }

    private static JobRow row(long id, String jobClass, AttemptRecord... attempts) {
        return row(id, jobClass, "", "r", null, attempts);
    }

    private static JobRow row(
            long id, String jobClass, String function, String requestId, String repeatKey, AttemptRecord... attempts) {
        byte[] body = {1};
        return new JobRow(
                id,
                jobClass,
                function,
                "",
                "/c",
                requestId,
                repeatKey,
                Double.NaN,
                1,
                0,
                0,
                0,
                1000,
                RowCodec.checksum(body),
                1,
                body,
                State.RUNNING,
                List.of(attempts),
                "",
                1000,
                0);
    }

    @Test
    void acknowledgesAfterTheWriteAndSendsAfterTheLeaseIsWritten() throws Exception {
        submit(UNSAFE, "k");
        submit(UNSAFE, "k");
        assertEquals(0, results.size());
        assertEquals(0, calls.size());
        completeWrite();
        assertEquals(2, results.size());
        assertEquals(SubmissionOutcome.ACCEPTED, results.get(0).outcome());
        assertEquals(results.get(0).id(), results.get(1).id());
        // The endpoint is chosen, but nothing is sent because the lease is not on disk yet.
        assertEquals(0, calls.size());
        completeWrite();
        assertEquals(1, calls.size());
        synchronized (written) {
            Op lease = written.get(1);
            assertEquals(State.RUNNING, lease.state());
            assertEquals(
                    new AttemptRecord(1, "e1", 50_000, 55_000, Known.OUT, new Place("a", 0)),
                    lease.attempts().get(0));
        }
        // The end becomes visible only once it is on disk.
        scheduler.ended(calls.get(0), Outcome.OK, new byte[0], null);
        assertEquals("running", jobs.peek(results.get(0).id()).state());
        completeWrite();
        assertEquals("done", jobs.peek(results.get(0).id()).state());
    }

    @Test
    void nothingIsSentWhenTheLeaseCannotBeWritten() throws Exception {
        submit(UNSAFE, "");
        completeWrite();
        failure = StoreException.Kind.FULL;
        // Ops other than acceptances are retried on their own.
        writes.release();
        completeWrite();
        assertEquals(0, calls.size());
        failure = null;
        // The job is requeued, and sent after the pause that follows a store failure.
        for (int i = 0; i < 400 && calls.isEmpty(); i++) {
            now += 10_000;
            deadlines.runDue(now);
            writes.release();
            for (Runnable run = callbacks.poll(2, TimeUnit.MILLISECONDS); run != null; run = callbacks.poll()) {
                run.run();
            }
        }
        assertEquals(1, calls.size());
        assertTrue(calls.get(0).lease > 1);
    }

    @Test
    void failedAcceptanceIsReportedAndTheJobDiscarded() throws Exception {
        failure = StoreException.Kind.BROKEN;
        submit(UNSAFE, "k");
        completeWrite();
        assertEquals(SubmissionOutcome.STORE_BROKEN, results.get(0).outcome());
        failure = null;
        // The broken storage is not used again.
        submit(UNSAFE, "k");
        assertEquals(SubmissionOutcome.STORE_BROKEN, results.get(1).outcome());
        assertEquals(0, jobs.size());
    }

    @Test
    void recoverySettlesJobsByRecordAndClock() throws Exception {
        AttemptRecord old = new AttemptRecord(1, "e1", 39_000, 40_000, Known.OUT);
        AttemptRecord young = new AttemptRecord(1, "e1", 45_000, 46_000, Known.OUT);
        jobs.recover(
                List.of(
                        row(1, "capture", young),
                        row(2, "post", old),
                        row(3, "post", young),
                        row(4, "capture", young.withKnown(Known.NEVER_RAN)),
                        row(5, "check", old),
                        row(6, "gone", old)),
                46_000);
        List<Long> sentJobs = serveAll();
        assertTrue(sentJobs.contains(3L) && sentJobs.contains(4L) && sentJobs.contains(5L), sentJobs.toString());
        assertEquals(3, sentJobs.size());
        assertEquals("unknown", jobs.peek(1).state());
        assertEquals("unknown", jobs.peek(2).state());
        // A job whose class is no longer configured is kept, and a late outcome for it does no harm.
        assertEquals("queued", jobs.peek(6).state());
        jobs.lateOutcome(6, 1, true, new byte[0]);
        writes.release();
        for (Runnable run = callbacks.poll(100, TimeUnit.MILLISECONDS); run != null; run = callbacks.poll()) {
            run.run();
        }
        assertEquals("queued", jobs.peek(6).state());
    }

    /** Serves every call for a while; returns the jobs in the order in which they were sent. */
    private List<Long> serveAll() throws InterruptedException {
        List<Long> sentJobs = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            runFor(1);
            for (Attempt call : new ArrayList<>(calls)) {
                if (!sentJobs.contains(call.request.tag)) {
                    sentJobs.add(call.request.tag);
                    scheduler.ended(call, Outcome.OK, new byte[0], null);
                }
            }
        }
        return sentJobs;
    }

    /** Lets so many tenths of a second pass, in which all writes succeed. */
    private void runFor(int tenths) throws InterruptedException {
        for (int i = 0; i < tenths; i++) {
            now += 100_000;
            deadlines.runDue(now);
            writes.release();
            for (Runnable run = callbacks.poll(20, TimeUnit.MILLISECONDS); run != null; run = callbacks.poll()) {
                run.run();
            }
        }
    }

    /** Guards against a second run where the group of endpoints that knows the key is lost before it has answered. */
    @ParameterizedTest
    @EnumSource(
            value = Group.class,
            names = {"ZONE", "CELL"})
    void keyedJobThatMayHaveRunStaysInItsGroup(Group group) throws Exception {
        scheduler.settings().classes[KEYED].group = group;
        submit(KEYED, "k");
        completeWrite();
        completeWrite();
        assertEquals("e1", calls.get(0).endpoint.name);
        setState("e2", 1, Dispatch.State.READY);
        scheduler.ended(calls.get(0), Outcome.RESET, null, null);
        setState("e1", 0, Dispatch.State.GONE);
        runFor(12);
        assertEquals(1, calls.size());
        // Its group returns within the window.
        setState("e3", 0, Dispatch.State.READY);
        runFor(60);
        assertEquals("e3", calls.get(1).endpoint.name);
    }

    /** Guards against the same behind a restart, also where the record is from a build that noted no place. */
    @Test
    void recoveredKeyedJobStaysInItsGroup() throws Exception {
        scheduler.settings().classes[KEYED].group = Group.ZONE;
        setState("e2", 1, Dispatch.State.READY);
        AttemptRecord attempt = new AttemptRecord(1, "gone", 45_000, 46_000, Known.OUT, new Place("a", 0));
        jobs.recover(
                List.of(
                        row(1, "post", attempt),
                        row(2, "post", new AttemptRecord(1, "e2", 45_000, 46_000, Known.OUT)),
                        row(3, "post", new AttemptRecord(1, "gone", 45_000, 46_000, Known.OUT))),
                46_000);
        serveAll();
        serveAll();
        Map<Long, String> endpoints = new HashMap<>();
        calls.forEach(call -> endpoints.put(call.request.tag, call.endpoint.name));
        assertEquals(Map.of(1L, "e1", 2L, "e2"), endpoints);
        wallMs += 10_000;
        runFor(12);
        assertEquals("unknown", jobs.peek(3).state());
    }

    /** Guards against jobs of an earlier build's store that have each other's keys, after an upgrade or a takeover. */
    @Test
    void keysThatAnEarlierBuildDrewFromItsSeedAreReplacedOrNotUsedAgain() throws Exception {
        String seeded = "63cbe1e459320dd7";
        AttemptRecord young = new AttemptRecord(1, "e1", 45_000, 46_000, Known.OUT);
        jobs.recover(
                List.of(
                        row(1, "post", "kpost", seeded, seeded),
                        row(2, "post", "kpost", seeded, seeded, young.withKnown(Known.NEVER_RAN)),
                        row(3, "post", "kpost", seeded, seeded, young),
                        row(4, "post", "kpost", seeded, "receipt-4", young),
                        row(5, "post", "", seeded, seeded, young)),
                46_000);
        List<Long> sentJobs = serveAll();
        assertEquals(Set.of(1L, 2L, 4L, 5L), new HashSet<>(sentJobs));
        Map<Long, String> keys = new HashMap<>();
        calls.forEach(call -> keys.put(call.request.tag, call.request.payload.repeatKey()));
        assertEquals("receipt-4", keys.get(4L));
        // An HTTP client's own key.
        assertEquals(seeded, keys.get(5L));
        assertEquals(4, new HashSet<>(keys.values()).size(), keys.toString());
        assertEquals("unknown", jobs.peek(3).state());
    }

    @Test
    void clockSetBackExpiresEveryDeduplicationWindow() throws Exception {
        jobs.recover(List.of(row(3, "post", new AttemptRecord(1, "e1", 45_000, 46_000, Known.OUT))), 50_001);
        completeWrite();
        assertEquals("unknown", jobs.peek(3).state());
        assertTrue(
                jobs.peek(3).reason().contains("went back by 1 ms"),
                jobs.peek(3).reason());
        assertEquals(0, calls.size());
    }
}
