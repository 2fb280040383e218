package laneflow.durable;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import laneflow.core.Attempt;
import laneflow.core.Clock;
import laneflow.core.Counters;
import laneflow.core.Deadlines;
import laneflow.core.DurableJobService;
import laneflow.core.Front;
import laneflow.core.Payload;
import laneflow.core.Request;
import laneflow.core.Scheduler;
import laneflow.decision.Dispatch.JobClass;
import laneflow.decision.Dispatch.Outcome;
import laneflow.durable.decision.AttemptRecord;
import laneflow.durable.decision.AttemptRecord.Known;
import laneflow.durable.decision.Quota;
import laneflow.durable.decision.Settlement;
import laneflow.durable.decision.Settlement.Verdict;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Durable jobs, from the word of acceptance to the end of their retention. To the core this is one more
 * front: each job that is at work is a request of the core's, decided on by the same module under the same
 * rules. What is added: nothing is acknowledged that is not on disk, and no call goes out whose lease is
 * not.
 *
 * <p>A lease is an attempt's number, endpoint and time. It ends with the call's outcome, or runs out; words
 * that come later count by its number. What then becomes of the job is {@link Settlement}'s to say, from
 * what is recorded alone, so it is the same whether this process decides or the next one.
 *
 * <p>Everything here happens on the loop's thread; the disk belongs to {@link Journal}.
 */
public final class DurableJobs implements Front, DurableJobService {
    private static final Logger LOG = LoggerFactory.getLogger(DurableJobs.class);
    /** Attempts that may have run, over a job's whole life; the core's rule holds it within one request. */
    private static final int MOST_ATTEMPTS = 5;

    private static final long SWEEP = 1_000_000;
    private static final int MOST_DROPS = 500;
    private static final long LEASE_FIRST = 1_000_000;
    private static final long STORE_PAUSE = 1_000_000;
    private static final long FIRST_BACKOFF = 50_000;
    private static final long LONGEST_BACKOFF = 5_000_000;
    /** How often it is looked whether live requests are refused. */
    private static final long LOOK = 100_000;
    /** Above this part of the store's room nothing is accepted: leases and results must still find some. */
    private static final double FULL_PART = 0.85;

    private final Clock clock;
    private final Deadlines deadlines;
    private final Scheduler scheduler;
    private final DurableConfig config;
    private final Journal journal;
    private final LongSupplier wall;
    private final Counters counters;
    private final Table table;
    private final Quota quota;
    private final ClassQueue[] lanes;
    private final Deadlines.Deadline pump;
    private long latestMs;
    private long refusedBefore;
    private long lookedAt;
    private long storeFullUntil;
    /** Jobs whose word of acceptance waits for the disk. */
    private int pendingAcks;

    private boolean draining;
    private boolean detached;
    private boolean pumping;

    /** @param wall Unix time in milliseconds */
    public DurableJobs(
            Clock clock,
            Deadlines deadlines,
            Scheduler scheduler,
            DurableConfig config,
            Journal journal,
            LongSupplier wall,
            long seed) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.scheduler = scheduler;
        this.config = config;
        this.journal = journal;
        this.wall = wall;
        counters = scheduler.counters();
        table = new Table(seed);
        quota = new Quota(config);
        lanes = new ClassQueue[config.classes.length];
        for (int i = 0; i < lanes.length; i++) {
            lanes[i] = new ClassQueue(config.mostAtWork);
        }
        pump = deadlines.create(this::pump);
    }

    // ---- the start ----

    /** Takes over what the store holds; once, before anything else. */
    public void recover(List<JobRow> rows, long storedLatestMs) {
        long now = wall.getAsLong();
        latestMs = storedLatestMs;
        if (now < latestMs) {
            LOG.warn(
                    "the wall clock shows {} ms less than the store's latest entry: windows count as over",
                    latestMs - now);
        }
        int[] found = new int[State.values().length];
        int orphans = 0;
        // The first ones must not begin before it is known whose window closes first.
        pumping = true;
        List<DurableJob> over = new ArrayList<>();
        for (JobRow row : rows) {
            DurableJob job = stand(row, over);
            found[row.state().number]++;
            orphans += job.jobClass < 0 ? 1 : 0;
        }
        pumping = false;
        over.sort((a, b) -> Long.compare(a.changedMs, b.changedMs));
        over.forEach(table::end);
        if (orphans > 0) {
            LOG.error("{} jobs are of classes that the settings no longer name: they are kept and not run", orphans);
        }
        LOG.info(
                "durable jobs: {} found, {} queued, {} were at work, {} ended",
                rows.size(),
                found[State.QUEUED.number],
                found[State.RUNNING.number],
                over.size());
        counters.set("durable.recovered", found[State.QUEUED.number] + found[State.RUNNING.number]);
        deadlines.at(clock.micros() + SWEEP, this::sweep);
        pump();
    }

    /** A job that the store holds, at work nowhere now: it goes on from what is on record. */
    private DurableJob stand(JobRow row, List<DurableJob> over) {
        DurableJob job = held(row);
        table.add(job);
        if (job.state.isEnd()) {
            over.add(job);
            return job;
        }
        if (job.jobClass >= 0) {
            quota.add(job.jobClass, row.bodyBytes());
        }
        // Its call died with the process that made it: it may have run.
        for (AttemptRecord attempt : row.attempts()) {
            if (attempt.known() == Known.OUT) {
                job.know(attempt.number(), Known.MAY_HAVE_RUN);
            }
        }
        job.state = State.QUEUED;
        if (job.jobClass >= 0) {
            settle(job, false);
        }
        return job;
    }

    /**
     * Takes over jobs of a store whose scheduler is gone, while this one goes on. Told, on the loop, are the
     * numbers of those that are on disk here then, those among them that were here already; others are asked
     * for again.
     *
     * @param results of those that have ended, by number
     */
    public void adoptJobs(List<JobRow> rows, Map<Long, byte[]> results, Consumer<List<Long>> then) {
        List<Long> here = new ArrayList<>();
        int[] left = {rows.size()};
        Runnable one = () -> {
            if (--left[0] == 0) {
                then.accept(here);
            }
        };
        for (JobRow row : rows) {
            if (table.get(row.id()) != null) {
                here.add(row.id());
                one.run();
                continue;
            }
            JobRow kept = table.get(row.key()) == null ? row : row.withoutKey();
            boolean asked = journal.write(Op.adopt(kept, results.get(row.id())), failed -> {
                if (failed == null) {
                    here.add(row.id());
                    counters.add("durable.taken_over");
                    see(row.changedMs());
                    List<DurableJob> over = new ArrayList<>();
                    stand(table.get(kept.key()) == null ? kept : kept.withoutKey(), over);
                    over.forEach(table::end);
                    pump();
                }
                one.run();
            });
            if (!asked) {
                one.run();
            }
        }
    }

    private DurableJob held(JobRow row) {
        int jobClass = config.classNames.indexOf(row.jobClass());
        return new DurableJob(row, jobClass, jobClass < 0 ? null : config.classes[jobClass]);
    }

    /** A version of the settings: it holds for what comes from now on. Returns what waits for a restart. */
    public List<String> updateConfig(DurableConfig other) {
        List<String> later = config.update(other);
        for (ClassQueue lane : lanes) {
            lane.pacer.most(config.mostAtWork);
        }
        pump();
        return later;
    }

    // ---- taking on ----

    @Override
    public boolean accepts(int jobClass) {
        return config.classes[jobClass].respondAsync;
    }

    @Override
    public void submit(Submission given, Consumer<SubmissionResult> answer) {
        DurableJob same = table.get(given.key());
        if (same != null) {
            boolean other = given.exact() && RowCodec.sum(given.payload().body()) != same.row.bodySum();
            counters.add(other ? "durable.key_conflict" : "durable.same");
            if (!other && same.waiters != null) {
                // Handed in again before the first is on disk: both hear when it is.
                same.waiters.add(answer);
            } else {
                answer.accept(new SubmissionResult(
                        other ? SubmissionOutcome.KEY_CONFLICT : SubmissionOutcome.ACCEPTED, same.id(), 0));
            }
            return;
        }
        byte[] body = given.payload().body();
        if (journal.broken() != null) {
            turnDown(answer, SubmissionOutcome.STORE_BROKEN, 0);
            return;
        }
        if (clock.micros() < storeFullUntil || journal.usedBytes() > FULL_PART * config.maxStoreBytes) {
            turnDown(answer, SubmissionOutcome.FULL, Math.max(1, quota.comeBack()));
            return;
        }
        if (!quota.admits(given.jobClass(), body.length)) {
            turnDown(answer, SubmissionOutcome.FULL, quota.comeBack());
            return;
        }
        long now = wall.getAsLong();
        Payload payload = given.payload();
        JobRow row = new JobRow(
                table.newId(now),
                config.classNames.get(given.jobClass()),
                given.function(),
                given.key(),
                payload.target(),
                payload.requestId(),
                payload.repeatKey(),
                given.hint(),
                given.slots(),
                given.memory(),
                given.subject(),
                given.urgency(),
                now,
                RowCodec.sum(body),
                body.length,
                body,
                State.QUEUED,
                List.of(),
                "",
                now,
                given.notBeforeMs());
        DurableJob job = held(row);
        job.waiters = new ArrayList<>(1);
        job.waiters.add(answer);
        if (!journal.write(Op.accept(row), failure -> accepted(job, failure))) {
            turnDown(answer, SubmissionOutcome.FULL, quota.comeBack());
            return;
        }
        pendingAcks++;
        table.add(job);
        quota.add(job.jobClass, body.length);
    }

    private void turnDown(Consumer<SubmissionResult> answer, SubmissionOutcome why, double comeBack) {
        counters.add("durable.turned_down");
        answer.accept(new SubmissionResult(why, 0, comeBack));
    }

    private void accepted(DurableJob job, StoreException failure) {
        List<Consumer<SubmissionResult>> waiters = job.waiters;
        job.waiters = null;
        pendingAcks--;
        if (failure == null) {
            counters.add("durable.accepted");
            see(job.row.acceptedMs());
            waiters.forEach(waiter -> waiter.accept(new SubmissionResult(SubmissionOutcome.ACCEPTED, job.id(), 0)));
            queue(job);
            return;
        }
        table.remove(job);
        quota.remove(clock.micros(), job.jobClass, job.row.bodyBytes());
        storeTrouble(failure);
        boolean full = failure.kind == StoreException.Kind.FULL;
        waiters.forEach(waiter ->
                turnDown(waiter, full ? SubmissionOutcome.FULL : SubmissionOutcome.STORE_BROKEN, full ? 1 : 0));
    }

    private void storeTrouble(StoreException failure) {
        counters.add(failure.kind == StoreException.Kind.FULL ? "durable.store_full" : "durable.store_broken");
        storeFullUntil = clock.micros() + STORE_PAUSE;
        for (ClassQueue lane : lanes) {
            lane.pacer.hold(storeFullUntil);
        }
    }

    /** The latest instant on record. */
    private void see(long ms) {
        latestMs = Math.max(latestMs, ms);
    }

    // ---- going out ----

    private void queue(DurableJob job) {
        job.state = State.QUEUED;
        waitForItsTime(job);
        if (!job.inQueue) {
            lanes[job.jobClass].add(job, clock.micros());
        }
        pump();
    }

    /** Its instant is the wall clock's, which outlives the process; it is waited for by the loop's. */
    private void waitForItsTime(DurableJob job) {
        long waits = job.row.notBeforeMs() - wall.getAsLong();
        if (job.row.notBeforeMs() > 0 && waits > 0) {
            job.notBefore = Math.max(job.notBefore, clock.micros() + waits * 1000);
        }
    }

    /** Starts what there is room for. */
    private void pump() {
        // A start may end at once and come back here.
        if (pumping || draining || journal.broken() != null) {
            return;
        }
        pumping = true;
        long now = clock.micros();
        lookAtLive(now);
        long again = Long.MAX_VALUE;
        for (ClassQueue lane : lanes) {
            while (lane.pacer.room(now, lane.atWork)) {
                DurableJob job = lane.next(now);
                if (job == null) {
                    break;
                }
                start(lane, job);
            }
            if (!lane.isEmpty()) {
                again = Math.min(again, lane.atWork > 0 ? now + LOOK : Math.max(now + 1000, lane.nextAt(now)));
            }
        }
        pumping = false;
        if (again < Long.MAX_VALUE) {
            deadlines.set(pump, again);
        }
    }

    private void lookAtLive(long now) {
        if (now - lookedAt >= LOOK) {
            long refused = counters.get("http.refused") + counters.get("gearman.refused");
            if (refused > refusedBefore) {
                for (ClassQueue lane : lanes) {
                    lane.pacer.liveRefused(now);
                }
            }
            refusedBefore = refused;
            lookedAt = now;
        }
    }

    private void start(ClassQueue lane, DurableJob job) {
        long nowMs = wall.getAsLong();
        if (job.untilMs < Long.MAX_VALUE && (nowMs >= job.untilMs || nowMs < latestMs)) {
            // Its window closed while it waited for its turn.
            settle(job, false);
            return;
        }
        if (nowMs < job.row.notBeforeMs()) {
            // The wall clock was put back meanwhile.
            waitForItsTime(job);
            lane.add(job, clock.micros());
            return;
        }
        lane.atWork++;
        JobRow row = job.row;
        Payload payload = new Payload("POST", row.target(), row.requestId(), row.repeatKey(), row.body());
        long now = clock.micros();
        // Its lease runs out first: the request's deadline must not end it in the lease's place.
        Request request =
                new Request(this, job.id(), payload, job.jobClass, now + job.terms.longestMs * 1000 + LEASE_FIRST);
        request.hint = row.hint();
        request.slots = row.slots();
        request.memory = row.memory();
        request.urgency = row.urgency();
        request.function = row.function().isEmpty() ? null : row.function();
        // A Gearman job's key is made of its function and its unique.
        request.unique = row.function().isEmpty() || row.key().isEmpty()
                ? null
                : row.key().substring("gearman/".length() + row.function().length() + 1);
        for (AttemptRecord attempt : job.attempts) {
            if (attempt.mayHaveRun()) {
                request.mayHaveRunSince(now - (nowMs - attempt.leasedMs()) * 1000);
            }
        }
        job.request = request;
        job.call = null;
        scheduler.submit(request);
    }

    @Override
    public boolean usesLeases() {
        return true;
    }

    /** The lease goes to disk, and only then the call's first byte out. */
    @Override
    public void recordLease(Attempt call) {
        DurableJob job = table.get(call.request.tag);
        if (job == null
                || job.request != call.request
                || draining
                || job.attempts.stream().filter(AttemptRecord::mayHaveRun).count() >= MOST_ATTEMPTS) {
            scheduler.ended(call, Outcome.MOOT, null, null);
            return;
        }
        long nowMs = Math.max(wall.getAsLong(), latestMs);
        AttemptRecord attempt = new AttemptRecord(
                job.attempts.size() + 1, call.endpoint.name, nowMs, nowMs + job.terms.leaseMs, Known.OUT);
        job.attempts.add(attempt);
        call.lease = attempt.number();
        job.call = call;
        job.opened = false;
        job.heard = false;
        job.state = State.RUNNING;
        job.changedMs = nowMs;
        Op op = Op.move(job.id(), State.RUNNING, job.attempts, nowMs);
        if (!journal.write(op, failure -> leased(job, call, failure))) {
            unleased(job, call);
        }
    }

    private void leased(DurableJob job, Attempt call, StoreException failure) {
        if (failure != null) {
            storeTrouble(failure);
            unleased(job, call);
            return;
        }
        see(job.attempt(call.lease).leasedMs());
        if (job.call != call || detached) {
            return;
        }
        long now = clock.micros();
        job.opened = true;
        job.leasedAt = now;
        job.openedAt = now;
        job.recordedAt = now;
        if (job.lease == null) {
            job.lease = deadlines.create(() -> scheduler.leaseExpired(job.call));
        }
        deadlines.set(job.lease, now + job.terms.leaseMs * 1000);
        counters.add("lease.given");
        scheduler.sendLeased(call);
    }

    private void unleased(DurableJob job, Attempt call) {
        job.know(call.lease, Known.NEVER_RAN);
        scheduler.ended(call, Outcome.MOOT, null, null);
    }

    // ---- at work ----

    @Override
    public void stillRunning(Attempt call) {
        DurableJob job = table.get(call.request.tag);
        if (job == null || job.call != call || !job.opened) {
            return;
        }
        long now = clock.micros();
        if (!job.heard) {
            job.heard = true;
            lanes[job.jobClass].pacer.started(now, now - job.openedAt);
        }
        DurableConfig.OfClass of = config.classes[job.jobClass];
        long until = Math.min(now + of.leaseMs * 1000, job.leasedAt + of.longestMs * 1000);
        deadlines.set(job.lease, until);
        // On disk it need not be exact: a third of a lease late only makes the record read shorter.
        if (now - job.recordedAt > of.leaseMs * 1000 / 3) {
            job.recordedAt = now;
            AttemptRecord attempt = job.attempt(call.lease);
            long nowMs = wall.getAsLong();
            job.attempts.set(call.lease - 1, attempt.until(nowMs + (until - now) / 1000));
            journal.write(Op.move(job.id(), State.RUNNING, job.attempts, nowMs), this::noted);
        }
    }

    /** A record that nobody waits for: without it the next process knows less, and never something false. */
    private void noted(StoreException failure) {
        if (failure != null) {
            storeTrouble(failure);
        }
    }

    @Override
    public void progress(long tag, long done, long of) {
        DurableJob job = table.get(tag);
        if (job != null) {
            job.done = done;
            job.of = of;
        }
    }

    @Override
    public void attemptEnded(Attempt call, Outcome outcome) {
        DurableJob job = table.get(call.request.tag);
        if (job == null || detached || job.call != call || call.lease == 0) {
            return;
        }
        if (job.lease != null) {
            deadlines.cancel(job.lease);
        }
        Known known = !job.opened || outcome.neverRan
                ? Known.NEVER_RAN
                : outcome == Outcome.OK
                        ? Known.DONE
                        : outcome == Outcome.ERROR ? Known.SAID_FAILED : Known.MAY_HAVE_RUN;
        job.know(call.lease, known);
        job.call = null;
        if (known == Known.MAY_HAVE_RUN && outcome == Outcome.TIMEOUT) {
            // Its late word is listened for, and not for ever: a silent endpoint would hold a descriptor.
            deadlines.at(clock.micros() + job.terms.longestMs * 1000, () -> call.endpoint.connector.close(call));
        }
        if (known == Known.NEVER_RAN) {
            // Unrecorded, a crash would leave it as one that may have run.
            journal.write(Op.move(job.id(), State.RUNNING, job.attempts, wall.getAsLong()), this::noted);
        }
    }

    /** A word on an attempt that had ended: it counts by its lease. */
    @Override
    public void lateOutcome(Attempt call, Outcome outcome, byte[] result) {
        if (outcome == Outcome.OK || outcome == Outcome.ERROR) {
            lateOutcome(call.request.tag, call.lease, outcome == Outcome.OK, result);
        }
    }

    @Override
    public boolean lateOutcome(long id, int lease, boolean served, byte[] result) {
        DurableJob job = table.get(id);
        AttemptRecord attempt = job == null ? null : job.attempt(lease);
        if (attempt == null
                || job.jobClass < 0
                || !attempt.mayHaveRun()
                || job.state == State.DONE
                || job.ending == State.DONE
                || detached) {
            counters.add("lease.late_passed_over");
            return attempt != null;
        }
        counters.add("lease.late");
        if (job.isAtWork()) {
            // A newer lease is out: its word decides, and this one counts only if that has no success to
            // tell.
            if (served) {
                job.lateLease = lease;
                job.lateResult = result;
            }
            return true;
        }
        job.know(lease, served ? Known.DONE : Known.SAID_FAILED);
        if (served) {
            end(job, State.DONE, "served, told when its lease had run out", result);
        } else if (job.state.isEnd() || job.ending != null) {
            settle(job, false);
        }
        return true;
    }

    // ---- answers of the core ----

    @Override
    public String name() {
        return "durable";
    }

    private DurableJob over(long tag) {
        DurableJob job = table.get(tag);
        if (job == null || job.request == null || detached) {
            return null;
        }
        job.request = null;
        job.call = null;
        lanes[job.jobClass].atWork--;
        return job;
    }

    @Override
    public void served(long tag, byte[] result) {
        DurableJob job = over(tag);
        if (job != null) {
            lanes[job.jobClass].pacer.served();
            end(job, State.DONE, "served", result);
            pump();
        }
    }

    @Override
    public void refused(long tag, double retryAfter) {
        DurableJob job = over(tag);
        if (job != null) {
            // The time to come back is for clients, who wait anyway; here the pauses double instead.
            lanes[job.jobClass].pacer.refused(clock.micros());
            settle(job, true);
            pump();
        }
    }

    @Override
    public void failed(long tag) {
        DurableJob job = over(tag);
        if (job != null) {
            settle(job, true);
            pump();
        }
    }

    // ---- the end, or again ----

    /** At work nowhere: what becomes of it is decided from the record. */
    private void settle(DurableJob job, boolean backoff) {
        if (job.lateResult != null) {
            job.know(job.lateLease, Known.DONE);
            end(job, State.DONE, "served, told when its lease had run out", job.lateResult);
            return;
        }
        JobClass type = scheduler.settings().classes[job.jobClass];
        long nowMs = wall.getAsLong();
        Verdict verdict = Settlement.decide(
                type.effect, job.attempts, (long) (type.window * 1000), nowMs, latestMs, MOST_ATTEMPTS);
        switch (verdict.kind()) {
            case AGAIN:
                job.untilMs = verdict.untilMs();
                job.reason = job.attempts.isEmpty() ? "" : "again: " + verdict.reason();
                if (backoff) {
                    long pause = Math.min(LONGEST_BACKOFF, FIRST_BACKOFF << Math.min(10, job.refusals++));
                    job.notBefore = clock.micros() + pause;
                }
                if (job.state == State.RUNNING) {
                    journal.write(Op.move(job.id(), State.QUEUED, job.attempts, nowMs), this::noted);
                }
                queue(job);
                break;
            case UNKNOWN:
                end(job, State.UNKNOWN, verdict.reason(), null);
                break;
            default:
                end(job, State.FAILED, verdict.reason(), null);
                break;
        }
    }

    private void end(DurableJob job, State state, String reason, byte[] result) {
        job.ending = state;
        job.reason = reason;
        long nowMs = wall.getAsLong();
        Op op = Op.end(job.id(), state, job.attempts, reason, result, nowMs);
        if (!journal.write(op, failure -> ended(job, state, nowMs, result, failure))) {
            deadlines.at(clock.micros() + STORE_PAUSE, () -> end(job, state, reason, result));
        }
    }

    private void ended(DurableJob job, State state, long nowMs, byte[] result, StoreException failure) {
        if (failure != null) {
            storeTrouble(failure);
            if (failure.kind == StoreException.Kind.FULL && job.ending == state) {
                // It has happened, whether there is room to say so or not: asked again until there is.
                deadlines.at(clock.micros() + STORE_PAUSE, () -> end(job, state, job.reason, result));
            }
            return;
        }
        see(nowMs);
        boolean first = !job.state.isEnd();
        job.state = state;
        job.changedMs = nowMs;
        if (job.ending == state) {
            job.ending = null;
        }
        counters.add("durable." + state.name().toLowerCase(Locale.ROOT));
        if (first) {
            quota.remove(clock.micros(), job.jobClass, job.row.bodyBytes());
            job.row = job.row.withoutBody();
        }
        table.end(job);
    }

    /** Drops what has been kept for long enough, a bounded number a turn. */
    private void sweep() {
        counters.set("durable.commits", journal.batches());
        Histogram took = journal.tookSince();
        if (took.getTotalCount() > 0) {
            counters.set("durable.commit_p50_us", took.getValueAtPercentile(50));
            counters.set("durable.commit_p99_us", took.getValueAtPercentile(99));
        }
        counters.set("durable.open", quota.jobs());
        counters.set("durable.held_bytes", quota.bytes());
        counters.set("durable.store_bytes", journal.usedBytes());
        long nowMs = wall.getAsLong();
        for (int i = 0; i < MOST_DROPS; i++) {
            DurableJob job = table.endedBefore(nowMs - config.retentionMs);
            if (job == null) {
                break;
            }
            if (!journal.write(Op.drop(job.id(), nowMs), this::noted)) {
                table.keep(job);
                break;
            }
            table.remove(job);
            counters.add("durable.dropped");
        }
        deadlines.at(clock.micros() + SWEEP, this::sweep);
    }

    // ---- asking and cancelling ----

    @Override
    public JobView peek(long id) {
        DurableJob job = table.get(id);
        return job == null || job.waiters != null ? null : view(job, null);
    }

    @Override
    public void view(long id, Consumer<JobView> answer) {
        DurableJob job = table.get(id);
        if (job == null || job.waiters != null) {
            answer.accept(null);
        } else if (job.state != State.DONE) {
            answer.accept(view(job, null));
        } else if (!journal.result(id, result -> answer.accept(view(job, result)))) {
            answer.accept(view(job, null));
        }
    }

    private JobView view(DurableJob job, byte[] result) {
        List<AttemptView> tries = new ArrayList<>();
        for (AttemptRecord attempt : job.attempts) {
            tries.add(new AttemptView(
                    attempt.number(),
                    attempt.endpoint(),
                    attempt.leasedMs(),
                    attempt.endMs(),
                    RowCodec.word(attempt.known())));
        }
        return new JobView(
                job.id(),
                job.row.jobClass(),
                job.state.name().toLowerCase(Locale.ROOT),
                job.reason,
                job.row.acceptedMs(),
                job.changedMs,
                tries,
                result,
                job.state.isEnd(),
                job.isAtWork() && job.opened,
                job.done,
                job.of);
    }

    @Override
    public void cancel(long id, Consumer<CancelOutcome> answer) {
        DurableJob job = table.get(id);
        if (job == null || job.waiters != null) {
            answer.accept(CancelOutcome.NOT_FOUND);
        } else if (job.state != State.QUEUED
                || job.ending != null
                || job.isAtWork()
                || job.mayHaveRun()
                || job.jobClass < 0) {
            answer.accept(CancelOutcome.ALREADY_STARTED);
        } else {
            job.ending = State.CANCELLED;
            job.reason = "cancelled";
            long nowMs = wall.getAsLong();
            boolean asked =
                    journal.write(Op.end(id, State.CANCELLED, job.attempts, job.reason, null, nowMs), failure -> {
                        ended(job, State.CANCELLED, nowMs, null, failure);
                        answer.accept(failure == null ? CancelOutcome.CANCELLED : CancelOutcome.BUSY);
                    });
            if (!asked) {
                job.ending = null;
                queue(job);
                answer.accept(CancelOutcome.BUSY);
            }
        }
    }

    // ---- a planned end ----

    /** Begins no further jobs; what is at work goes on, and jobs are still taken on. */
    public void drain() {
        draining = true;
    }

    /** Leaves what is still at work to the record: whoever opens the store next settles it. */
    public void detachRunning() {
        detached = true;
        List<Request> out = new ArrayList<>();
        table.forEach(job -> {
            if (job.request != null) {
                out.add(job.request);
            }
        });
        if (!out.isEmpty()) {
            LOG.info("durable jobs: {} are at work still and stay under their leases", out.size());
        }
        out.forEach(scheduler::withdraw);
    }

    /** Jobs whose word of acceptance is owed still; asked every few milliseconds at a planned end. */
    public int pendingAcknowledgements() {
        return pendingAcks;
    }

    /** Jobs held, ended ones included. */
    public int size() {
        return table.size();
    }
}
