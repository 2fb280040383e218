package laneflow.durable;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import laneflow.config.Findings;
import laneflow.config.Table;
import laneflow.core.Attempt;
import laneflow.core.Connector;
import laneflow.core.Counters;
import laneflow.core.Deadlines;
import laneflow.core.DurableJobService.Submission;
import laneflow.core.Endpoint;
import laneflow.core.EndpointSet.Entry;
import laneflow.core.MessageMemory;
import laneflow.core.Payload;
import laneflow.core.Scheduler;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.Outcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Plays random orders of what can happen to a durable job at a worker that takes one job at a time. After each event a
 * job that was never sent must be queued or cancelled, and one that must not repeat must not have been sent twice.
 */
@Timeout(60)
class LeaseOrderTest implements Connector, Journal.Storage {
    private static final int ORDERS = 500;
    private static final int EVENTS = 14;
    private static final long WINDOW_MICROS = 10_000_000;

    private enum Event {
        SUBMIT,
        GRAB,
        GRAB_AND_KILL,
        HEARTBEAT,
        LEASE_OVER,
        FINISH,
        FAIL,
        WORKER_GONE,
        SET_DOWN,
        CANCEL,
        KILL,
        TAKEOVER
    }

    private long now = 1_000_000_000L;
    private final Map<Long, JobRow> rows = new TreeMap<>();
    private final LinkedBlockingQueue<Runnable> callbacks = new LinkedBlockingQueue<>();
    private final Semaphore reads = new Semaphore(0);
    private int opsWritten;
    private final Journal journal = new Journal(this, callbacks::add, 64);
    private Scheduler scheduler;
    private Deadlines deadlines;
    private DurableJobs jobs;
    private final List<Attempt> queue = new ArrayList<>();
    private Attempt running;
    /** When each job was first sent, and how often. */
    private final Map<Long, Long> firstSent = new HashMap<>();

    private final Map<Long, Integer> sends = new HashMap<>();
    /** Jobs whose process died between the write of their lease and the call: they may have run. */
    private final Set<Long> killedBeforeSend = new HashSet<>();

    @AfterEach
    void closeJournal() throws InterruptedException {
        journal.close();
    }

    @ParameterizedTest
    @EnumSource
    void whatWasNeverSentIsNeverUnknown(Effect effect) throws Exception {
        for (int order = 0; order < ORDERS; order++) {
            Random random = new Random(order);
            sends.clear();
            firstSent.clear();
            killedBeforeSend.clear();
            startProcess(Map.of());
            List<Event> played = new ArrayList<>();
            for (int i = 0; i < EVENTS; i++) {
                Event event = Event.values()[random.nextInt(Event.values().length)];
                played.add(event);
                play(event, effect);
                awaitWrites();
                check(effect, "order " + order + " " + played);
            }
        }
    }

    private void play(Event event, Effect effect) throws InterruptedException {
        now += 100_000;
        switch (event) {
            case SUBMIT:
                Payload payload = new Payload("POST", "/c", "r", null, new byte[] {1});
                jobs.submit(
                        new Submission(effect.ordinal(), "", "", true, payload, Double.NaN, 1, 0, 0, 0), answer -> {});
                break;
            case GRAB:
                grab();
                break;
            case GRAB_AND_KILL:
                if (running == null && !queue.isEmpty()) {
                    killedBeforeSend.add(queue.get(0).request.tag);
                }
                grab();
                startProcess(rows);
                break;
            case HEARTBEAT:
                if (running != null) {
                    scheduler.stillRunning(running);
                }
                break;
            case LEASE_OVER:
                now += 5_000_000;
                break;
            case FINISH:
                end(Outcome.OK);
                break;
            case FAIL:
                end(Outcome.ERROR);
                break;
            case WORKER_GONE:
                end(Outcome.RESET);
                List.copyOf(queue).forEach(attempt -> scheduler.ended(attempt, Outcome.MOOT, null, null));
                queue.clear();
                break;
            case SET_DOWN:
                scheduler.setDown("w");
                assertEquals(List.of(), queue);
                scheduler.setUp("w");
                break;
            case CANCEL:
                rows.keySet().stream().findFirst().ifPresent(id -> jobs.cancel(id, answer -> {}));
                break;
            case KILL:
                startProcess(rows);
                break;
            default:
                flush();
                List<JobRow> adopted = List.copyOf(rows.values());
                startProcess(Map.of());
                Adoption adoption = jobs.adoption();
                adoption.adopt(
                        adoption.reserve(adopted.stream()
                                .map(row -> new Adoption.Head(row, 0))
                                .toList()),
                        adopted,
                        Map.of(),
                        stored -> {});
                break;
        }
        deadlines.runDue(now);
    }

    private void grab() {
        if (running == null && !queue.isEmpty()) {
            Attempt next = queue.remove(0);
            scheduler.lease(next, granted -> {
                if (granted && scheduler.maySend(next)) {
                    running = next;
                    next.attachment = this;
                    firstSent.putIfAbsent(next.request.tag, now);
                    sends.merge(next.request.tag, 1, Integer::sum);
                } else {
                    scheduler.ended(next, Outcome.MOOT, null, null);
                }
            });
        }
    }

    private void end(Outcome outcome) {
        if (running != null) {
            Attempt ended = running;
            running = null;
            scheduler.ended(ended, outcome, new byte[0], null);
        }
    }

    private void check(Effect effect, String order) {
        for (JobRow row : rows.values()) {
            boolean neverSent = !sends.containsKey(row.id()) && !killedBeforeSend.contains(row.id());
            String state = jobs.peek(row.id()).state();
            assertTrue(!neverSent || state.equals("queued") || state.equals("cancelled"), order + ": " + state);
            assertTrue(effect != Effect.UNSAFE || sends.getOrDefault(row.id(), 0) < 2, order);
            assertTrue(!state.equals("done") || sends.containsKey(row.id()), order);
            if (effect == Effect.KEYED
                    && state.equals("unknown")
                    && row.attempts().size() < 5) {
                long since = firstSent.getOrDefault(row.id(), 0L);
                assertTrue(now >= since + WINDOW_MICROS, order + ": its window is open");
            }
        }
    }

    // ---- processes ----

    private void startProcess(Map<Long, JobRow> found) throws InterruptedException {
        flush();
        callbacks.clear();
        List<JobRow> stored = List.copyOf(found.values());
        rows.keySet().retainAll(found.keySet());
        queue.clear();
        running = null;
        deadlines = new Deadlines();
        scheduler = new Scheduler(DurableJobsTest.settings(), 7, () -> now, deadlines, new Counters());
        Findings findings = new Findings("test");
        DurableConfig config = DurableConfig.read(
                Table.parse("dir = 'x'\n", findings), scheduler.settings(), List.of("check", "post", "capture"));
        Entry worker = new Entry();
        worker.name = "w";
        scheduler.start(this, List.of(worker));
        jobs = new DurableJobs(
                () -> now,
                deadlines,
                scheduler,
                config,
                journal,
                () -> now / 1000,
                new MessageMemory(1 << 20).durableJobs(),
                new ZoneNames(List.of("a", "b")),
                now);
        jobs.recover(stored, 0);
    }

    /** Runs the callbacks of all writes, and of those that they cause. */
    private void awaitWrites() throws InterruptedException {
        for (int before = -1; before < opsWritten; ) {
            before = opsWritten;
            flush();
            for (Runnable next = callbacks.poll(); next != null; next = callbacks.poll()) {
                next.run();
            }
            flush();
            deadlines.runDue(now);
        }
    }

    /** Waits until all ops are on disk and their callbacks in the queue: the journal reads only after that. */
    private void flush() throws InterruptedException {
        for (int i = 0; i < 2; i++) {
            journal.result(0, result -> {});
            reads.acquire();
        }
    }

    // ---- connector ----

    @Override
    public boolean queuesAttempts() {
        return true;
    }

    @Override
    public void open(Attempt attempt) {
        queue.add(attempt);
    }

    @Override
    public boolean close(Attempt attempt) {
        return closeUnsent(attempt);
    }

    @Override
    public boolean closeUnsent(Attempt attempt) {
        queue.remove(attempt);
        return attempt.attachment == null;
    }

    @Override
    public void probe(Endpoint endpoint) {}

    @Override
    public void closeIdle(Endpoint endpoint) {}

    // ---- storage ----

    @Override
    public void write(List<Op> ops) {
        for (Op op : ops) {
            JobRow row = op.kind() == Op.Kind.ACCEPT ? op.row() : rows.get(op.id());
            opsWritten++;
            rows.put(op.id(), row.withState(op.state(), op.attempts(), op.reason(), op.atMs()));
        }
    }

    @Override
    public byte[] result(long id) {
        reads.release();
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
}
