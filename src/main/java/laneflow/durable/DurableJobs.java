package laneflow.durable;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import laneflow.core.Attempt;
import laneflow.core.Clock;
import laneflow.core.Counters;
import laneflow.core.Deadlines;
import laneflow.core.DurableJobService;
import laneflow.core.Endpoint;
import laneflow.core.Front;
import laneflow.core.MessageMemory;
import laneflow.core.Payload;
import laneflow.core.Request;
import laneflow.core.Scheduler;
import laneflow.core.UniqueIds;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.JobClass;
import laneflow.decision.Dispatch.Outcome;
import laneflow.durable.decision.AttemptRecord;
import laneflow.durable.decision.AttemptRecord.Known;
import laneflow.durable.decision.AttemptRecord.Place;
import laneflow.durable.decision.Quota;
import laneflow.durable.decision.Settlement;
import laneflow.durable.decision.Settlement.Verdict;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Manages durable jobs from acceptance to the end of their retention. To the core this is one more front: each
 * running job is a request of the core, dispatched by the same module under the same rules. In addition, a job
 * is acknowledged only after it is on disk, and a call is sent only after its lease is on disk.
 *
 * <p>A lease consists of an attempt's number, endpoint and time. It measures work: it is recorded when the call is
 * about to be sent, however long the call has waited for its endpoint, and a call without one has not run. It ends with
 * the outcome of the call, or expires; an outcome that arrives later is matched by the lease's number.
 * {@link Settlement} then decides what
 * happens to the job from the stored record alone, so this process and the next one decide the same.
 *
 * <p>Runs on the loop's thread; {@link Journal} does the disk I/O. Times are in microseconds of the loop's clock,
 * or in milliseconds of Unix time where the name ends in Ms.
 */
public final class DurableJobs implements Front, DurableJobService {
    private static final Logger LOG = LoggerFactory.getLogger(DurableJobs.class);
    /** Limit on the attempts that may have run over a job's lifetime; the core limits them per request. */
    private static final int MAX_ATTEMPTS = 5;

    private static final long SWEEP_INTERVAL = 1_000_000;
    private static final int MAX_DROPS_PER_SWEEP = 500;
    private static final long DEADLINE_MARGIN = 1_000_000;
    private static final long STORE_RETRY_DELAY = 1_000_000;
    private static final long MIN_BACKOFF = 50_000;
    private static final long MAX_BACKOFF = 5_000_000;
    /** How often the counters are checked for refused live requests. */
    private static final long REFUSAL_CHECK_INTERVAL = 100_000;
    /** Above this fraction of the store's size no jobs are accepted: the rest is left for leases and results. */
    private static final double ACCEPT_FILL_LIMIT = 0.85;

    private final Clock clock;
    private final Deadlines deadlines;
    private final Scheduler scheduler;
    private final DurableConfig config;
    private final Journal journal;
    private final LongSupplier wallClock;
    private final MessageMemory.Admission memory;
    private final ZoneNames zones;
    private final Counters counters;
    private final JobTable table;
    private final Adoption adoption;
    private final Quota quota;
    private final ClassQueue[] classQueues;
    private final Deadlines.Deadline startTimer;
    private long latestMs;
    private long lastLiveRefusals;
    private long refusalsCheckedAt;
    private long storePausedUntil;
    /** Jobs not acknowledged yet because they are being written to disk. */
    private int pendingAcks;

    private boolean draining;
    private boolean detached;
    private boolean starting;

    /**
     * Creates the service without jobs.
     *
     * @param wallClock Unix time in milliseconds
     * @param memory bounds the memory of open jobs, beside the limits of the configuration
     * @param zones the names of the zones, by which attempts record where they were sent
     */
    public DurableJobs(
            Clock clock,
            Deadlines deadlines,
            Scheduler scheduler,
            DurableConfig config,
            Journal journal,
            LongSupplier wallClock,
            MessageMemory.Admission memory,
            ZoneNames zones,
            long seed) {
        this.clock = clock;
        this.deadlines = deadlines;
        this.scheduler = scheduler;
        this.config = config;
        this.journal = journal;
        this.wallClock = wallClock;
        this.memory = memory;
        this.zones = zones;
        counters = scheduler.counters();
        table = new JobTable(seed);
        adoption = new Adoption(this, journal, memory);
        quota = new Quota(config);
        classQueues = new ClassQueue[config.classes.length];
        for (int i = 0; i < classQueues.length; i++) {
            classQueues[i] = new ClassQueue(config.maxRunning);
        }
        startTimer = deadlines.create(this::startReady);
    }

    // ---- startup and recovery ----

    /** Restores the jobs of the store; called once, before anything else. */
    public void recover(List<JobRow> rows, long storedLatestMs) {
        long now = wallClock.getAsLong();
        latestMs = storedLatestMs;
        if (now < latestMs) {
            LOG.warn(
                    "the wall clock is {} ms behind the store's latest entry: deduplication windows count as expired",
                    latestMs - now);
        }
        int[] countByState = new int[State.values().length];
        int orphans = 0;
        // No job may start before all are queued: those whose window ends first have priority.
        starting = true;
        List<DurableJob> endedJobs = new ArrayList<>();
        for (JobRow row : rows) {
            DurableJob job = restore(row, endedJobs);
            countByState[row.state().number]++;
            orphans += job.jobClass < 0 ? 1 : 0;
        }
        starting = false;
        endedJobs.sort((a, b) -> Long.compare(a.changedMs, b.changedMs));
        endedJobs.forEach(table::addEnded);
        if (orphans > 0) {
            LOG.error("{} jobs belong to classes that are no longer configured: they are kept but not run", orphans);
        }
        LOG.info(
                "durable jobs: {} found: {} queued, {} running, {} ended",
                rows.size(),
                countByState[State.QUEUED.number],
                countByState[State.RUNNING.number],
                endedJobs.size());
        counters.set("durable.recovered", countByState[State.QUEUED.number] + countByState[State.RUNNING.number]);
        deadlines.at(clock.micros() + SWEEP_INTERVAL, this::sweep);
        startReady();
    }

    /** Restores a stored job, which is not running anywhere, and continues it according to its record. */
    private DurableJob restore(JobRow row, List<DurableJob> endedJobs) {
        boolean neverSent = row.attempts().stream().noneMatch(AttemptRecord::mayHaveRun);
        DurableJob job = newJob(row.hasSeededKey() && neverSent ? row.withRepeatKey(UniqueIds.next()) : row);
        table.add(job);
        if (job.state.isEnd()) {
            endedJobs.add(job);
            return job;
        }
        if (job.jobClass >= 0) {
            hold(job);
        }
        // The call was lost with the process that sent it, so the attempt may have run.
        for (AttemptRecord attempt : row.attempts()) {
            if (attempt.known() == Known.OUT) {
                job.setKnown(attempt.number(), Known.MAY_HAVE_RUN);
            }
        }
        job.state = State.QUEUED;
        if (job.jobClass >= 0) {
            settle(job, false);
        }
        return job;
    }

    /** Takes over jobs of other schedulers' stores. */
    public Adoption adoption() {
        return adoption;
    }

    boolean has(long id) {
        return table.get(id) != null;
    }

    /** The job without its key if another job here has that key. */
    JobRow withFreeKey(JobRow row) {
        return table.get(row.key()) == null ? row : row.withoutKey();
    }

    /** Adds a job that is on disk here now, and continues it. */
    void addAdopted(JobRow row) {
        counters.add("durable.taken_over");
        recordTimestamp(row.changedMs());
        List<DurableJob> endedJobs = new ArrayList<>();
        restore(withFreeKey(row), endedJobs);
        endedJobs.forEach(table::addEnded);
        startReady();
    }

    void countRejected() {
        counters.add("durable.turned_down");
    }

    /** Creates the state of a job, however it came here; one that has ended is held without its body. */
    private DurableJob newJob(JobRow row) {
        int jobClass = config.classNames.indexOf(row.jobClass());
        JobRow held = row.state().isEnd() ? row.withoutBody() : row;
        return new DurableJob(held, jobClass, jobClass < 0 ? null : config.classes[jobClass]);
    }

    /** Applies new settings to jobs submitted from now on. Returns the changes that need a restart. */
    public List<String> updateConfig(DurableConfig other) {
        List<String> restartNeeded = config.update(other);
        for (ClassQueue classQueue : classQueues) {
            classQueue.limiter.setLimit(config.maxRunning);
        }
        startReady();
        return restartNeeded;
    }

    // ---- submission ----

    @Override
    public boolean accepts(int jobClass) {
        return config.classes[jobClass].respondAsync;
    }

    @Override
    public void submit(Submission submission, Consumer<SubmissionResult> answer) {
        DurableJob existing = table.get(submission.key());
        if (existing != null) {
            boolean conflict =
                    submission.exact() && RowCodec.checksum(submission.payload().body()) != existing.row.bodySum();
            counters.add(conflict ? "durable.key_conflict" : "durable.same");
            if (!conflict && existing.waiters != null) {
                // Resubmitted before the first is on disk: both are answered once it is.
                existing.waiters.add(answer);
            } else {
                answer.accept(new SubmissionResult(
                        conflict ? SubmissionOutcome.KEY_CONFLICT : SubmissionOutcome.ACCEPTED, existing.id(), 0));
            }
            return;
        }
        byte[] body = submission.payload().body();
        if (journal.broken() != null) {
            reject(answer, SubmissionOutcome.STORE_BROKEN, 0);
            return;
        }
        if (clock.micros() < storePausedUntil || journal.usedBytes() > ACCEPT_FILL_LIMIT * config.maxStoreBytes) {
            reject(answer, SubmissionOutcome.FULL, Math.max(1, quota.retryAfterSeconds()));
            return;
        }
        long now = wallClock.getAsLong();
        Payload payload = submission.payload();
        JobRow row = new JobRow(
                table.newId(now),
                config.classNames.get(submission.jobClass()),
                submission.function(),
                submission.key(),
                payload.target(),
                payload.requestId(),
                payload.repeatKey(),
                submission.hint(),
                submission.slots(),
                submission.memory(),
                submission.subject(),
                submission.urgency(),
                now,
                RowCodec.checksum(body),
                body.length,
                body,
                State.QUEUED,
                List.of(),
                "",
                now,
                submission.notBeforeMs());
        if (!quota.admits(submission.jobClass(), body.length) || !memory.hasRoomFor(row.openBytes())) {
            reject(answer, SubmissionOutcome.FULL, quota.retryAfterSeconds());
            return;
        }
        DurableJob job = newJob(row);
        job.waiters = new ArrayList<>(1);
        job.waiters.add(answer);
        if (!journal.write(Op.accept(row), failure -> onAcceptWritten(job, failure))) {
            reject(answer, SubmissionOutcome.FULL, quota.retryAfterSeconds());
            return;
        }
        pendingAcks++;
        table.add(job);
        hold(job);
    }

    /** Counts an open job against the limits; recovered jobs are counted even beyond them. */
    private void hold(DurableJob job) {
        quota.add(job.jobClass, job.row.bodyBytes());
        job.heldBytes = job.row.openBytes();
        memory.hold(job.heldBytes);
    }

    private void release(DurableJob job) {
        quota.remove(clock.micros(), job.jobClass, job.row.bodyBytes());
        memory.release(job.heldBytes);
        job.heldBytes = 0;
    }

    private void reject(Consumer<SubmissionResult> answer, SubmissionOutcome outcome, double retryAfter) {
        countRejected();
        answer.accept(new SubmissionResult(outcome, 0, retryAfter));
    }

    private void onAcceptWritten(DurableJob job, StoreException failure) {
        List<Consumer<SubmissionResult>> waiters = job.waiters;
        job.waiters = null;
        pendingAcks--;
        if (failure == null) {
            counters.add("durable.accepted");
            recordTimestamp(job.row.acceptedMs());
            waiters.forEach(waiter -> waiter.accept(new SubmissionResult(SubmissionOutcome.ACCEPTED, job.id(), 0)));
            enqueue(job);
            return;
        }
        table.remove(job);
        release(job);
        onStoreFailure(failure);
        boolean full = failure.kind == StoreException.Kind.FULL;
        waiters.forEach(
                waiter -> reject(waiter, full ? SubmissionOutcome.FULL : SubmissionOutcome.STORE_BROKEN, full ? 1 : 0));
    }

    private void onStoreFailure(StoreException failure) {
        counters.add(failure.kind == StoreException.Kind.FULL ? "durable.store_full" : "durable.store_broken");
        storePausedUntil = clock.micros() + STORE_RETRY_DELAY;
        for (ClassQueue classQueue : classQueues) {
            classQueue.limiter.pauseUntil(storePausedUntil);
        }
    }

    /** Advances the latest recorded timestamp. */
    private void recordTimestamp(long ms) {
        latestMs = Math.max(latestMs, ms);
    }

    // ---- starting ----

    private void enqueue(DurableJob job) {
        job.state = State.QUEUED;
        applyNotBefore(job);
        if (!job.inQueue) {
            classQueues[job.jobClass].add(job, clock.micros());
        }
        startReady();
    }

    /** Converts the job's wall-clock start time, which survives restarts, to the loop's clock. */
    private void applyNotBefore(DurableJob job) {
        long waitMs = job.row.notBeforeMs() - wallClock.getAsLong();
        if (job.row.notBeforeMs() > 0 && waitMs > 0) {
            job.notBefore = Math.max(job.notBefore, clock.micros() + waitMs * 1000);
        }
    }

    /** Starts as many queued jobs as the concurrency limiters allow. */
    private void startReady() {
        // Starting a job may end it at once and call this method again.
        if (starting || draining || journal.broken() != null) {
            return;
        }
        starting = true;
        long now = clock.micros();
        checkLiveRefusals(now);
        long nextStartAt = Long.MAX_VALUE;
        for (ClassQueue classQueue : classQueues) {
            while (classQueue.limiter.mayStart(now, classQueue.running)) {
                DurableJob job = classQueue.next(now);
                if (job == null) {
                    break;
                }
                start(classQueue, job);
            }
            if (!classQueue.isEmpty()) {
                nextStartAt = Math.min(
                        nextStartAt,
                        classQueue.running > 0
                                ? now + REFUSAL_CHECK_INTERVAL
                                : Math.max(now + 1000, classQueue.nextAt(now)));
            }
        }
        starting = false;
        if (nextStartAt < Long.MAX_VALUE) {
            deadlines.set(startTimer, nextStartAt);
        }
    }

    private void checkLiveRefusals(long now) {
        if (now - refusalsCheckedAt >= REFUSAL_CHECK_INTERVAL) {
            long refused = counters.get("http.refused") + counters.get("gearman.refused");
            if (refused > lastLiveRefusals) {
                for (ClassQueue classQueue : classQueues) {
                    classQueue.limiter.onLiveRefused(now);
                }
            }
            lastLiveRefusals = refused;
            refusalsCheckedAt = now;
        }
    }

    private void start(ClassQueue classQueue, DurableJob job) {
        long nowMs = wallClock.getAsLong();
        if (job.untilMs < Long.MAX_VALUE && (nowMs >= job.untilMs || nowMs < latestMs)) {
            // Its deduplication window ended while it was queued, or the clock was set back.
            settle(job, false);
            return;
        }
        if (nowMs < job.row.notBeforeMs()) {
            // The wall clock was set back meanwhile.
            applyNotBefore(job);
            classQueue.add(job, clock.micros());
            return;
        }
        classQueue.running++;
        JobRow row = job.row;
        Payload payload = new Payload("POST", row.target(), row.requestId(), row.repeatKey(), row.body());
        long now = clock.micros();
        // Time for the longest wait, which is shorter than the longest lease, and for a whole lease behind it.
        long deadline = now + 2 * job.classConfig.maxLeaseMs * 1000 + DEADLINE_MARGIN;
        Request request = new Request(this, job.id(), payload, job.jobClass, deadline);
        request.hint = row.hint();
        request.slots = row.slots();
        request.memory = row.memory();
        request.urgency = row.urgency();
        request.function = row.function().isEmpty() ? null : row.function();
        // A Gearman job's key consists of the prefix gearman/, the function and the unique id.
        request.unique = row.function().isEmpty() || row.key().isEmpty()
                ? null
                : row.key().substring("gearman/".length() + row.function().length() + 1);
        for (AttemptRecord attempt : job.attempts) {
            if (attempt.mayHaveRun()) {
                addEarlierRun(request, attempt, now - (nowMs - attempt.leasedMs()) * 1000);
            }
        }
        job.request = request;
        job.call = null;
        job.sent = false;
        limitWait(job);
        scheduler.submit(request);
    }

    /** Queues the job again, to be placed anew, if none of its calls is sent for as long as a lease. */
    private void limitWait(DurableJob job) {
        setTimer(job, clock.micros() + job.classConfig.leaseMs * 1000);
    }

    private void setTimer(DurableJob job, long at) {
        if (job.timer == null) {
            job.timer = deadlines.create(() -> timeUp(job));
        }
        deadlines.set(job.timer, at);
    }

    private void timeUp(DurableJob job) {
        if (job.call != null) {
            scheduler.leaseExpired(job.call);
        } else if (job.isWaiting() && !detached) {
            requeue(job);
        }
    }

    /** Takes a job back that has a request but no call with a lease: nothing of it is under way. */
    private void takeBack(DurableJob job) {
        Request request = job.request;
        finishRequest(job.id());
        scheduler.withdraw(request);
    }

    private void requeue(DurableJob job) {
        counters.add("durable.requeued_unsent");
        takeBack(job);
        settle(job, false);
        startReady();
    }

    @Override
    public void reconsider(long tag) {
        DurableJob job = table.get(tag);
        if (job != null && job.isWaiting() && !detached && !draining) {
            requeue(job);
        }
    }

    /** Tells the core where an attempt may have run: a keyed job may run again only where its key is known. */
    private void addEarlierRun(Request request, AttemptRecord attempt, long sentAt) {
        Endpoint endpoint = scheduler.endpoints().get(attempt.endpoint());
        if (attempt.place() != null) {
            request.mayHaveRunSince(
                    sentAt,
                    zones.number(attempt.place().zone()),
                    attempt.place().cell());
        } else if (endpoint != null) {
            // Earlier builds recorded the name only. An endpoint keeps its name and its place.
            request.mayHaveRunSince(sentAt, endpoint.zone, endpoint.cell);
        } else {
            request.mayHaveRunSince(sentAt);
        }
    }

    @Override
    public boolean usesLeases() {
        return true;
    }

    /** Writes the lease to disk; the call's first byte is sent only after that. */
    @Override
    public void recordLease(Attempt call, Consumer<Boolean> answer) {
        DurableJob job = table.get(call.request.tag);
        if (job == null
                || job.request != call.request
                || draining
                || job.attempts.stream().filter(AttemptRecord::mayHaveRun).count() >= MAX_ATTEMPTS) {
            scheduler.ended(call, Outcome.MOOT, null, null);
            answer.accept(false);
            return;
        }
        if (clock.micros() + job.classConfig.maxLeaseMs * 1000 + DEADLINE_MARGIN > call.request.deadline) {
            // The request's deadline would cut the lease short: a new request has time for a whole one.
            requeue(job);
            scheduler.ended(call, Outcome.MOOT, null, null);
            answer.accept(false);
            return;
        }
        job.leaseAskedAt = clock.micros();
        long nowMs = Math.max(wallClock.getAsLong(), latestMs);
        AttemptRecord attempt = new AttemptRecord(
                job.attempts.size() + 1,
                call.endpoint.name,
                nowMs,
                nowMs + job.classConfig.leaseMs,
                Known.OUT,
                new Place(zones.name(call.endpoint.zone), call.endpoint.cell));
        job.attempts.add(attempt);
        call.lease = attempt.number();
        job.call = call;
        job.sent = false;
        job.heartbeatSeen = false;
        job.state = State.RUNNING;
        job.changedMs = nowMs;
        Op op = Op.update(job.id(), State.RUNNING, job.attempts, nowMs);
        if (job.timer != null) {
            deadlines.cancel(job.timer);
        }
        if (!journal.write(op, failure -> onLeaseWritten(job, call, failure, answer))) {
            abortUnleased(job, call, answer);
        }
    }

    private void onLeaseWritten(DurableJob job, Attempt call, StoreException failure, Consumer<Boolean> answer) {
        if (failure != null) {
            onStoreFailure(failure);
            abortUnleased(job, call, answer);
            return;
        }
        recordTimestamp(job.attempt(call.lease).leasedMs());
        if (job.call != call || detached) {
            answer.accept(false);
            return;
        }
        long now = clock.micros();
        job.sent = true;
        job.leaseWriteMicros = now - job.leaseAskedAt;
        job.leaseRecordedAt = now;
        beginLease(job, now);
        counters.add("lease.given");
        answer.accept(true);
    }

    private void beginLease(DurableJob job, long now) {
        job.leasedAt = now;
        setTimer(job, now + job.classConfig.leaseMs * 1000);
    }

    /** The call goes out now: what it took to connect is not part of its lease. */
    @Override
    public void sending(Attempt call) {
        DurableJob job = table.get(call.request.tag);
        if (job != null && job.call == call && job.sent && !job.heartbeatSeen) {
            beginLease(job, clock.micros());
        }
    }

    private void abortUnleased(DurableJob job, Attempt call, Consumer<Boolean> answer) {
        job.setKnown(call.lease, Known.NEVER_RAN);
        scheduler.ended(call, Outcome.MOOT, null, null);
        answer.accept(false);
    }

    // ---- running ----

    @Override
    public void stillRunning(Attempt call) {
        DurableJob job = table.get(call.request.tag);
        if (job == null || job.call != call || !job.sent) {
            return;
        }
        long now = clock.micros();
        if (!job.heartbeatSeen) {
            job.heartbeatSeen = true;
            // Waits at the endpoint count, the disk's write does not.
            classQueues[job.jobClass].limiter.onStarted(now, now - call.handedOverAt - job.leaseWriteMicros);
        }
        DurableConfig.ClassConfig classConfig = config.classes[job.jobClass];
        long until = Math.min(now + classConfig.leaseMs * 1000, job.leasedAt + classConfig.maxLeaseMs * 1000);
        setTimer(job, until);
        // The recorded end may lag by a third of a lease: the record then only shows a shorter lease.
        if (now - job.leaseRecordedAt > classConfig.leaseMs * 1000 / 3) {
            job.leaseRecordedAt = now;
            AttemptRecord attempt = job.attempt(call.lease);
            long nowMs = wallClock.getAsLong();
            job.attempts.set(call.lease - 1, attempt.withEndMs(nowMs + (until - now) / 1000));
            journal.write(Op.update(job.id(), State.RUNNING, job.attempts, nowMs), this::onUnawaitedWrite);
        }
    }

    /** Completes a write that nothing waits for: if it is lost, the stored record is incomplete but not wrong. */
    private void onUnawaitedWrite(StoreException failure) {
        if (failure != null) {
            onStoreFailure(failure);
        }
    }

    @Override
    public void progress(long tag, long done, long of) {
        DurableJob job = table.get(tag);
        if (job != null) {
            job.progressDone = done;
            job.progressTotal = of;
        }
    }

    @Override
    public void attemptEnded(Attempt call, Outcome outcome) {
        DurableJob job = table.get(call.request.tag);
        if (job == null || detached || job.call != call || call.lease == 0) {
            return;
        }
        Known known = !job.sent || outcome.neverRan
                ? Known.NEVER_RAN
                : outcome == Outcome.OK
                        ? Known.DONE
                        : outcome == Outcome.ERROR ? Known.SAID_FAILED : Known.MAY_HAVE_RUN;
        job.setKnown(call.lease, known);
        job.call = null;
        job.sent = false;
        limitWait(job);
        if (known == Known.MAY_HAVE_RUN && outcome == Outcome.TIMEOUT) {
            // Wait for a late outcome, but not forever: a silent endpoint would hold a file descriptor.
            deadlines.at(clock.micros() + job.classConfig.maxLeaseMs * 1000, () -> call.endpoint.connector.close(call));
        }
        if (known == Known.NEVER_RAN) {
            // If this is not recorded, after a crash the attempt counts as one that may have run.
            journal.write(
                    Op.update(job.id(), State.RUNNING, job.attempts, wallClock.getAsLong()), this::onUnawaitedWrite);
        }
    }

    /** Handles an outcome that arrives after its attempt has ended, matched by the lease. */
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
                || job.pendingEnd == State.DONE
                || detached) {
            counters.add("lease.late_passed_over");
            return attempt != null;
        }
        counters.add("lease.late");
        if (served && job.isWaiting()) {
            // A newer attempt has not been sent: there is no need for it.
            takeBack(job);
        }
        if (job.hasRequest()) {
            // A newer attempt is running and its outcome takes precedence; this one counts only if that
            // attempt does not succeed.
            if (served) {
                job.lateLease = lease;
                job.lateResult = result;
            }
            return true;
        }
        job.setKnown(lease, served ? Known.DONE : Known.SAID_FAILED);
        if (served) {
            end(job, State.DONE, "served, told when its lease had run out", result);
        } else if (job.state.isEnd() || job.pendingEnd != null) {
            settle(job, false);
        }
        return true;
    }

    // ---- results from the core ----

    @Override
    public String name() {
        return "durable";
    }

    private DurableJob finishRequest(long tag) {
        DurableJob job = table.get(tag);
        if (job == null || job.request == null || detached) {
            return null;
        }
        job.request = null;
        job.call = null;
        if (job.timer != null) {
            deadlines.cancel(job.timer);
        }
        classQueues[job.jobClass].running--;
        return job;
    }

    @Override
    public void served(long tag, byte[] result) {
        DurableJob job = finishRequest(tag);
        if (job != null) {
            classQueues[job.jobClass].limiter.onServed();
            end(job, State.DONE, "served", result);
            startReady();
        }
    }

    @Override
    public void refused(long tag, double retryAfter) {
        DurableJob job = finishRequest(tag);
        if (job != null) {
            // The retry time is meant for clients, which wait anyway; here the limiter's doubling pauses apply.
            classQueues[job.jobClass].limiter.onRefused(clock.micros());
            settle(job, true);
            startReady();
        }
    }

    @Override
    public void failed(long tag) {
        DurableJob job = finishRequest(tag);
        if (job != null) {
            settle(job, true);
            startReady();
        }
    }

    // ---- settlement and retention ----

    /** Decides from its record what happens to a job that is not running. */
    private void settle(DurableJob job, boolean backoff) {
        if (job.lateResult != null) {
            job.setKnown(job.lateLease, Known.DONE);
            end(job, State.DONE, "served, told when its lease had run out", job.lateResult);
            return;
        }
        JobClass type = scheduler.settings().classes[job.jobClass];
        long nowMs = wallClock.getAsLong();
        // Endpoints may know a seeded key from another job, whose result they would return for this one.
        Effect effect = job.row.hasSeededKey() ? Effect.UNSAFE : type.effect;
        Verdict verdict = Settlement.decide(
                effect, job.attempts, (long) (type.dedupWindow * 1000), nowMs, latestMs, MAX_ATTEMPTS);
        switch (verdict.kind()) {
            case REQUEUE:
                job.untilMs = verdict.untilMs();
                job.reason = job.attempts.isEmpty() ? "" : "again: " + verdict.reason();
                if (backoff) {
                    long pause = Math.min(MAX_BACKOFF, MIN_BACKOFF << Math.min(10, job.backoffs++));
                    job.notBefore = clock.micros() + pause;
                }
                if (job.state == State.RUNNING) {
                    journal.write(Op.update(job.id(), State.QUEUED, job.attempts, nowMs), this::onUnawaitedWrite);
                }
                enqueue(job);
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
        job.pendingEnd = state;
        job.reason = reason;
        long nowMs = wallClock.getAsLong();
        Op op = Op.end(job.id(), state, job.attempts, reason, result, nowMs);
        if (!journal.write(op, failure -> onEndWritten(job, state, nowMs, result, failure))) {
            deadlines.at(clock.micros() + STORE_RETRY_DELAY, () -> end(job, state, reason, result));
        }
    }

    private void onEndWritten(DurableJob job, State state, long nowMs, byte[] result, StoreException failure) {
        if (failure != null) {
            onStoreFailure(failure);
            if (failure.kind == StoreException.Kind.FULL && job.pendingEnd == state) {
                // The job has ended even if there is no room to record it: retried until there is.
                deadlines.at(clock.micros() + STORE_RETRY_DELAY, () -> end(job, state, job.reason, result));
            }
            return;
        }
        recordTimestamp(nowMs);
        boolean firstEnd = !job.state.isEnd();
        job.state = state;
        job.changedMs = nowMs;
        if (job.pendingEnd == state) {
            job.pendingEnd = null;
        }
        counters.add("durable." + state.name().toLowerCase(Locale.ROOT));
        if (firstEnd) {
            release(job);
            job.row = job.row.withoutBody();
        }
        table.addEnded(job);
    }

    /** Updates the counters and drops jobs whose retention has expired, at most a fixed number per run. */
    private void sweep() {
        counters.set("durable.commits", journal.batches());
        Histogram commitTimes = journal.commitTimesSinceLast();
        if (commitTimes.getTotalCount() > 0) {
            counters.set("durable.commit_p50_us", commitTimes.getValueAtPercentile(50));
            counters.set("durable.commit_p99_us", commitTimes.getValueAtPercentile(99));
        }
        counters.set("durable.open", quota.jobs());
        counters.set("durable.held_bytes", quota.bytes());
        counters.set("durable.store_bytes", journal.usedBytes());
        long nowMs = wallClock.getAsLong();
        for (int i = 0; i < MAX_DROPS_PER_SWEEP; i++) {
            DurableJob job = table.pollEndedBefore(nowMs - config.retentionMs);
            if (job == null) {
                break;
            }
            if (!journal.write(Op.drop(job.id(), nowMs), this::onUnawaitedWrite)) {
                table.putBack(job);
                break;
            }
            table.remove(job);
            counters.add("durable.dropped");
        }
        deadlines.at(clock.micros() + SWEEP_INTERVAL, this::sweep);
    }

    // ---- queries and cancellation ----

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
        List<AttemptView> attempts = new ArrayList<>();
        for (AttemptRecord attempt : job.attempts) {
            attempts.add(new AttemptView(
                    attempt.number(),
                    attempt.endpoint(),
                    attempt.leasedMs(),
                    attempt.endMs(),
                    RowCodec.knownName(attempt.known())));
        }
        return new JobView(
                job.id(),
                job.row.jobClass(),
                job.state.name().toLowerCase(Locale.ROOT),
                job.reason,
                job.row.acceptedMs(),
                job.changedMs,
                attempts,
                result,
                job.state.isEnd(),
                job.hasRequest() && job.sent,
                job.progressDone,
                job.progressTotal);
    }

    @Override
    public void cancel(long id, Consumer<CancelOutcome> answer) {
        DurableJob job = table.get(id);
        if (job == null || job.waiters != null) {
            answer.accept(CancelOutcome.NOT_FOUND);
        } else if (job.state.isEnd()
                || job.pendingEnd != null
                || job.call != null
                || job.mayHaveRun()
                || job.jobClass < 0) {
            answer.accept(CancelOutcome.ALREADY_STARTED);
        } else {
            if (job.isWaiting()) {
                takeBack(job);
            }
            job.pendingEnd = State.CANCELLED;
            job.reason = "cancelled";
            long nowMs = wallClock.getAsLong();
            boolean queued =
                    journal.write(Op.end(id, State.CANCELLED, job.attempts, job.reason, null, nowMs), failure -> {
                        onEndWritten(job, State.CANCELLED, nowMs, null, failure);
                        answer.accept(failure == null ? CancelOutcome.CANCELLED : CancelOutcome.BUSY);
                    });
            if (!queued) {
                job.pendingEnd = null;
                enqueue(job);
                answer.accept(CancelOutcome.BUSY);
            }
        }
    }

    // ---- graceful shutdown ----

    /** Starts no further jobs; running ones continue, and new ones are still accepted. */
    public void drain() {
        draining = true;
    }

    /** Withdraws running jobs without recording an outcome: the process that opens the store next settles them. */
    public void detachRunning() {
        detached = true;
        List<Request> running = new ArrayList<>();
        table.forEach(job -> {
            if (job.request != null) {
                running.add(job.request);
            }
        });
        if (!running.isEmpty()) {
            LOG.info("durable jobs: {} still running; left under their leases", running.size());
        }
        running.forEach(scheduler::withdraw);
    }

    /** Jobs not acknowledged yet; polled every few milliseconds during a graceful shutdown. */
    public int pendingAcknowledgements() {
        return pendingAcks;
    }

    /** The number of jobs held, including ended ones. */
    public int size() {
        return table.size();
    }
}
