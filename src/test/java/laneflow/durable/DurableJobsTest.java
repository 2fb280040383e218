package laneflow.durable;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
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
import laneflow.core.Payload;
import laneflow.core.Scheduler;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.Group;
import laneflow.decision.Dispatch.JobClass;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.Settings;
import laneflow.durable.decision.AttemptRecord;
import laneflow.durable.decision.AttemptRecord.Known;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The order of disk and wire, with a disk that writes when the test lets it, and a clock and wire that it holds. */
@Timeout(30)
class DurableJobsTest implements Connector, Journal.Disk {
    private static final int UNSAFE = 2;
    private long now = 1_000_000_000L;
    private long wallMs = 50_000;
    private final Deadlines deadlines = new Deadlines();
    private final Counters counters = new Counters();
    private final Scheduler scheduler = new Scheduler(settings(), 7, () -> now, deadlines, counters);
    private final LinkedBlockingQueue<Runnable> news = new LinkedBlockingQueue<>();
    private final Semaphore writes = new Semaphore(0);
    private final List<Op> written = new ArrayList<>();
    private final List<Attempt> calls = new ArrayList<>();
    private final List<SubmissionResult> words = new ArrayList<>();
    private volatile StoreException.Kind fails;
    private final Journal journal = new Journal(this, news::add, 64);
    private final DurableJobs jobs = jobs();

    private static Settings settings() {
        Settings settings = new Settings();
        settings.classes = new JobClass[3];
        for (Effect effect : Effect.values()) {
            JobClass type = settings.classes[effect.ordinal()] = new JobClass();
            type.effect = effect;
            type.group = Group.ALL;
            type.window = 10;
            type.stretch = 2;
            type.deadline = 5;
        }
        settings.maxAttempts = 5;
        settings.mayCancel = true;
        settings.drainGrace = 0.5;
        return settings;
    }

    private DurableJobs jobs() {
        Findings findings = new Findings("test");
        DurableConfig config = DurableConfig.read(
                Table.parse("dir = 'x'\n", findings), scheduler.settings(), List.of("check", "post", "capture"));
        findings.throwIfAny();
        Entry entry = new Entry();
        entry.name = "e1";
        scheduler.start(this, List.of(entry));
        return new DurableJobs(() -> now, deadlines, scheduler, config, journal, () -> wallMs, 7);
    }

    @AfterEach
    void end() throws InterruptedException {
        writes.release(1000);
        journal.close();
    }

    // ---- the disk ----

    @Override
    public void write(List<Op> ops) throws StoreException {
        writes.acquireUninterruptibly();
        if (fails != null) {
            throw new StoreException(fails, "as told");
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
    public void tidy() {}

    @Override
    public void close() {}

    /** Lets one batch through and hands its news to the loop. */
    private void disk() throws InterruptedException {
        writes.release();
        news.poll(10, TimeUnit.SECONDS).run();
    }

    // ---- the wire ----

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
        jobs.submit(new Submission(jobClass, "", key, true, payload, Double.NaN, 1, 0, 0, 0), words::add);
    }

    private static JobRow row(long id, String jobClass, AttemptRecord... attempts) {
        byte[] body = {1};
        return new JobRow(
                id,
                jobClass,
                "",
                "",
                "/c",
                "r",
                null,
                Double.NaN,
                1,
                0,
                0,
                0,
                1000,
                RowCodec.sum(body),
                1,
                body,
                State.RUNNING,
                List.of(attempts),
                "",
                1000,
                0);
    }

    @Test
    void noWordBeforeTheDiskAndNoByteBeforeTheLease() throws Exception {
        submit(UNSAFE, "k");
        submit(UNSAFE, "k");
        assertEquals(0, words.size());
        assertEquals(0, calls.size());
        disk();
        assertEquals(2, words.size());
        assertEquals(SubmissionOutcome.ACCEPTED, words.get(0).outcome());
        assertEquals(words.get(0).id(), words.get(1).id());
        // It has been decided where it goes, and nothing has gone out: its lease is not on disk yet.
        assertEquals(0, calls.size());
        disk();
        assertEquals(1, calls.size());
        synchronized (written) {
            Op lease = written.get(1);
            assertEquals(State.RUNNING, lease.state());
            assertEquals(
                    new AttemptRecord(1, "e1", 50_000, 55_000, Known.OUT),
                    lease.attempts().get(0));
        }
        // Its end is told as one only once that is on disk.
        scheduler.ended(calls.get(0), Outcome.OK, new byte[0], null);
        assertEquals("running", jobs.peek(words.get(0).id()).state());
        disk();
        assertEquals("done", jobs.peek(words.get(0).id()).state());
    }

    @Test
    void aLeaseThatCannotBeWrittenSendsNothing() throws Exception {
        submit(UNSAFE, "");
        disk();
        fails = StoreException.Kind.FULL;
        // What is no acceptance is tried alone once more.
        writes.release();
        disk();
        assertEquals(0, calls.size());
        fails = null;
        // Back in the queue, and out once the store has had its pause.
        for (int i = 0; i < 400 && calls.isEmpty(); i++) {
            now += 10_000;
            deadlines.runDue(now);
            writes.release();
            for (Runnable run = news.poll(2, TimeUnit.MILLISECONDS); run != null; run = news.poll()) {
                run.run();
            }
        }
        assertEquals(1, calls.size());
        assertTrue(calls.get(0).lease > 1);
    }

    @Test
    void anAcceptanceThatFailsIsSaidAndForgotten() throws Exception {
        fails = StoreException.Kind.BROKEN;
        submit(UNSAFE, "k");
        disk();
        assertEquals(SubmissionOutcome.STORE_BROKEN, words.get(0).outcome());
        fails = null;
        // Nothing more is asked of that disk.
        submit(UNSAFE, "k");
        assertEquals(SubmissionOutcome.STORE_BROKEN, words.get(1).outcome());
        assertEquals(0, jobs.size());
    }

    @Test
    void recoveryDecidesByTheRecordAndTheClock() throws Exception {
        AttemptRecord old = new AttemptRecord(1, "e1", 39_000, 40_000, Known.OUT);
        AttemptRecord young = new AttemptRecord(1, "e1", 45_000, 46_000, Known.OUT);
        jobs.recover(
                List.of(
                        row(1, "capture", young),
                        row(2, "post", old),
                        row(3, "post", young),
                        row(4, "capture", young.with(Known.NEVER_RAN)),
                        row(5, "check", old),
                        row(6, "gone", old)),
                46_000);
        List<Long> out = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            writes.release();
            for (Runnable run = news.poll(50, TimeUnit.MILLISECONDS); run != null; run = news.poll()) {
                run.run();
            }
            for (Attempt call : new ArrayList<>(calls)) {
                if (!out.contains(call.request.tag)) {
                    out.add(call.request.tag);
                    scheduler.ended(call, Outcome.OK, new byte[0], null);
                }
            }
            now += 100_000;
            deadlines.runDue(now);
        }
        assertTrue(out.contains(3L) && out.contains(4L) && out.contains(5L), out.toString());
        assertEquals(3, out.size());
        assertEquals("unknown", jobs.peek(1).state());
        assertEquals("unknown", jobs.peek(2).state());
        // Of a class that the settings no longer name: kept, and a late word on it breaks nothing.
        assertEquals("queued", jobs.peek(6).state());
        jobs.lateOutcome(6, 1, true, new byte[0]);
        writes.release();
        for (Runnable run = news.poll(100, TimeUnit.MILLISECONDS); run != null; run = news.poll()) {
            run.run();
        }
        assertEquals("queued", jobs.peek(6).state());
    }

    @Test
    void aClockThatWentBackClosesEveryWindow() throws Exception {
        jobs.recover(List.of(row(3, "post", new AttemptRecord(1, "e1", 45_000, 46_000, Known.OUT))), 50_001);
        disk();
        assertEquals("unknown", jobs.peek(3).state());
        assertTrue(
                jobs.peek(3).reason().contains("went back by 1 ms"),
                jobs.peek(3).reason());
        assertEquals(0, calls.size());
    }
}
