package laneflow.decision;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import laneflow.decision.Job.Attempt;
import laneflow.decision.Refusal.Reason;
import org.agrona.collections.Long2ObjectHashMap;

/**
 * Makes every decision of a dispatcher; its types, events and actions are defined in {@link Dispatch}.
 *
 * <p>A request goes to the least-loaded worker of its home zone that is not considered full. If all are full, it goes
 * to a random neighbour with room on the ring of zones, or it is refused. Safeguards are the answer deadline, effect
 * rules, slow start and outlier detection. See docs/design.md for reasons, docs/on-call.md to operate it.
 */
public final class Logic implements Dispatch {
    private static final double AIM_SHARE = 0.9; // Usable fraction of a job's aim: hints and speeds are estimates.
    /** Largest guessed hint as a fraction of the longest work in time: with more, short aims are always refused. */
    private static final double UNHINTED_SHARE = 0.5;
    /** Fraction of the wait its aim allows that a class gets however little it is worth, so that none starves. */
    private static final double MIN_WAIT_SHARE = 0.2;
    /** Fraction of the time until a slot becomes free that work of low worth may wait; this builds no queue. */
    private static final double SLOT_WAIT_SHARE = 0.5;
    /** A job's longest wait as a multiple of its class's mean slack: heavy jobs could wait longer, light ones not. */
    private static final double OWN_SLACK_FACTOR = 1.5;
    /** Fraction of its running time that a late job may wait on the kind its class is tied to, which others avoid. */
    private static final double LATE_WAIT_SHARE = 0.3;
    /** Assumed minimum of queued jobs per slot of a worker that answers 'full'. */
    private static final double FULL_QUEUE_PER_SLOT = 1;

    /** Seconds after a report or probe during which a worker is not probed. */
    private static final double PROBE_INTERVAL = 0.5;
    /** Longest time in seconds that a job waits for reports: about a probe's round trip and some ticks. */
    private static final double REPORT_WAIT = 0.01;

    private static final int PROBES_PER_REQUEST = 4; // Limited because probes cost workers time.
    private static final double LIST_RETRY = 1; // Minimum in seconds: discovery serves all dispatchers.
    private static final double ANSWER_MARGIN_TICKS = 2; // From the final answer until the client gives up.
    /** Capacity in standard cores of an unknown worker; low, so that a cold one is not overestimated. */
    static final double UNKNOWN_CAPACITY = 0.5;

    static final double WAIT_MEAN_GAIN = 0.05; // Weight of a start note in the mean waits.
    private static final double SLACK_GAIN = 0.05; // Weight of a request in its class's mean slack.
    private static final double RETRY_DELAY_SHARE = 0.15; // Fraction of the time left used as Retry-After.

    private static final long ANSWER_DEADLINE = 1;
    private static final long RESUBSCRIBE = 2;
    private static final long REPORTS_OVERDUE = 3;
    private static final long CLOSE_AGAIN = 4;

    private final Settings settings;
    private final Actions out;
    private final SplittableRandom random;
    private final Long2ObjectHashMap<WorkerView> views = new Long2ObjectHashMap<>();
    private final Jobs jobs = new Jobs();
    private final Long2ObjectHashMap<KindEstimates> kinds = new Long2ObjectHashMap<>();
    private final Long2ObjectHashMap<ZoneLoad> zoneLoads = new Long2ObjectHashMap<>();
    private final Pool[] pools; // The ready workers of each zone; the last one, for no zone, stays empty.
    private final ArrayDeque<Job> held = new ArrayDeque<>(); // Jobs waiting for reports, in order of arrival.
    private final DeadlineHeap deadlines = new DeadlineHeap();
    /** Workers that stopped being ready and whose idle connections are to be closed a second time. */
    private final ArrayDeque<WorkerView> closing = new ArrayDeque<>();

    private final MeanHint meanHint = new MeanHint();
    private final TimeEstimates times = new TimeEstimates(meanHint);
    private final RetryPolicy retries;
    private final SlowStart slowStart;
    private final OutlierDetection outliers;
    private double armedDeadline = Double.POSITIVE_INFINITY;
    private int listRound;
    private boolean resubscribePending;
    private double highestWorth;
    private final TenantShares shares;
    private final double[] meanSlack; // Mean time that each class's jobs can wait and still be in time.
    private double now = Double.NEGATIVE_INFINITY;

    /** Creates a dispatcher with these settings and this random seed; actions go to {@code out}. */
    public Logic(Settings settings, long seed, Actions out) {
        if (settings.classes.length == 0
                || settings.zones < 1
                || settings.dispatchers < 1
                || settings.zone < 0
                || settings.zone >= settings.zones
                || settings.maxAttempts < 1) {
            throw new IllegalArgumentException(
                    "settings need a class, a zone within range, a dispatcher and an attempt");
        }
        this.settings = settings;
        this.out = out;
        this.random = new SplittableRandom(seed);
        retries = new RetryPolicy(settings);
        slowStart = new SlowStart(settings, meanHint);
        outliers = new OutlierDetection(settings, random);
        pools = new Pool[settings.zones + 1];
        Arrays.setAll(pools, zone -> new Pool(random.nextInt()));
        shares = new TenantShares(settings);
        meanSlack = new double[settings.classes.length];
        Arrays.fill(meanSlack, Double.POSITIVE_INFINITY);
        settingsChanged();
    }

    // ---- events ----

    @Override
    public void start(double at) {
        advanceClock(at);
        slowStart.start(now);
        if (settings.listNeedsSubscription) {
            out.watchList();
        }
    }

    @Override
    public void list(double at, ListKind kind, List<Worker> entries) {
        advanceClock(at);
        if (kind == ListKind.FAILED) {
            // A failed subscription delivers nothing more: without a new one the old list would be used for good.
            if (settings.listNeedsSubscription && !resubscribePending) {
                resubscribePending = true;
                out.wake(LIST_RETRY * (1 + random.nextDouble()), RESUBSCRIBE);
            }
            return;
        }
        listRound++;
        for (int i = 0; i < entries.size(); i++) {
            updateWorker(entries.get(i));
        }
        if (kind != ListKind.CHANGES) {
            // A worker missing from a full list is gone: sending to it would disturb its drain.
            for (WorkerView view : views.values()) {
                if (view.listRound != listRound && view.state != State.GONE) {
                    view.state = State.GONE;
                    closeIdle(view);
                }
            }
        }
        removeIneligible();
    }

    @Override
    public void setDown(double at, long worker) {
        advanceClock(at);
        WorkerView view = views.computeIfAbsent(worker, id -> new WorkerView(id, settings));
        view.downAt = view.down ? view.downAt : now;
        view.down = true;
        removeIneligible();
        out.closeIdle(worker);
    }

    @Override
    public void setUp(double at, long worker) {
        advanceClock(at);
        WorkerView view = views.get(worker);
        if (view != null && view.down) {
            view.down = false;
            view.upAt = now;
            view.clearReport();
            addIfEligible(view);
        }
    }

    @Override
    public void budgetShare(double at, double of) {
        advanceClock(at);
        slowStart.setBudgetShare(of);
    }

    @Override
    public void settingsChanged() {
        highestWorth = 0;
        for (JobClass type : settings.classes) {
            highestWorth = Math.max(highestWorth, type.worth);
        }
    }

    @Override
    public void request(double at, Request request) {
        advanceClock(at);
        if (request.jobClass < 0 || request.jobClass >= settings.classes.length) {
            throw new IllegalArgumentException("class " + request.jobClass + " is out of range");
        }
        if (jobs.get(request.id) != null) {
            return;
        }
        retries.requestTaken(now);
        Job job = open(request);
        if (job.answerDeadline <= now) {
            finish(job, Refusal.of(Reason.DEADLINE));
            return;
        }
        deadlines.push(job);
        armDeadlineTimer();
        recordSlack(request.jobClass, timeLeft(job) - job.hint);
        if (!holdForReports(job)) {
            place(job);
        }
    }

    @Override
    public void abandoned(double at, long request) {
        advanceClock(at);
        Job job = jobs.get(request);
        if (job != null && job.live) {
            end(job);
        }
    }

    @Override
    public void timer(double at, long token) {
        advanceClock(at);
        if (token == ANSWER_DEADLINE) {
            expireRequests();
        } else if (token == REPORTS_OVERDUE) {
            placeHeld(Double.NaN);
        } else if (token == RESUBSCRIBE) {
            resubscribePending = false;
            out.watchList();
        } else if (token == CLOSE_AGAIN) {
            out.closeIdle(closing.poll().id);
        }
    }

    @Override
    public void outcome(
            double at, long request, int number, long worker, Outcome outcome, boolean over, LoadReport report) {
        advanceClock(at);
        Job job = jobs.get(request);
        Attempt attempt = job == null ? null : job.outstanding(number);
        if (attempt == null) {
            return;
        }
        WorkerView view = attempt.view;
        // Must precede settling: a report taken before the job ended counts it, and it is no other dispatcher's job.
        if (report != null) {
            view.recordReport(report, attempt, meanHint.mean(), now);
        }
        settle(attempt, outcome);
        recordOutcome(view, outcome);
        closeIdle(view);
        if (!job.live) {
            jobs.release(job);
        } else if (over || outcome == Outcome.OK) {
            end(job);
        } else if (job.outstanding == 0) {
            retryOrFinish(job);
        }
    }

    @Override
    public void probed(double at, long worker, double took, Outcome outcome, LoadReport report) {
        advanceClock(at);
        WorkerView view = views.get(worker);
        if (view != null && report != null) {
            view.recordReport(report, null, meanHint.mean(), outcome == Outcome.MOOT ? now - took : now);
        }
        placeHeld(view == null || outcome == Outcome.MOOT ? Double.NaN : view.probedAt);
    }

    @Override
    public void streaming(double at, long request, int number) {
        advanceClock(at);
        Job job = jobs.get(request);
        if (job != null) {
            job.streaming = true;
        }
    }

    @Override
    public void note(double at, long request, int number, long worker, Note note, double share) {
        advanceClock(at);
        Job job = jobs.get(request);
        Attempt attempt = job == null ? null : job.outstanding(number);
        if (attempt != null) {
            attempt.heardAt = now;
            pools[attempt.view.zone].outlier.clear();
            if (Double.isNaN(attempt.startedAt)) {
                // Where starts are not reported, the first progress note comes some time after the start. Taken for
                // the start, it would make every worker look fast, and cold ones would get too much.
                double before = note == Note.PROGRESS ? settings.progressInterval : 0;
                attempt.startedAt = Math.max(attempt.sentAt, now - before);
                attempt.view.recordWait(attempt, now);
                markOvertakenLost(attempt);
            }
            if (note == Note.ANSWERING && settings.progressInterval == 0 && !attempt.lost) {
                // The worker has finished the job, however slowly the network delivers the answer.
                attempt.answeredAt = now;
                attempt.view.markLost(attempt);
            }
            if (note == Note.PROGRESS) {
                attempt.progress = share;
            }
        }
    }

    // ---- placement: home zone, worker, neighbour zone, refusal ----

    private void place(Job job) {
        WorkerView view = chooseWorker(job);
        if (view != null) {
            send(job, view);
        } else if (job.probedBeforeRefusal || !probeBeforeRefusal(job)) {
            finish(job, refusal(job));
        }
    }

    /** Before a job is refused, workers without a recent report are probed: they may have room by now. */
    private boolean probeBeforeRefusal(Job job) {
        job.probedBeforeRefusal = true;
        int home = homeZone(job);
        for (int i = 0; home >= 0 && i < settings.zones && job.pendingReports == 0; i++) {
            await(job, probeStale(job, pools[(home + i) % settings.zones]));
        }
        return job.pendingReports > 0;
    }

    private WorkerView chooseWorker(Job job) {
        int home = homeZone(job);
        WorkerView view = home < 0 ? null : pickSparingSoleHosts(job, home);
        if (view == null && home >= 0) {
            view = pickNeighbour(job, home);
        }
        // No worker can finish it in time, but a late answer has some worth: it may take a slot that is free now.
        if (view == null && home >= 0 && (job.type.lateWorth > 0 || job.background)) {
            job.acceptLate = true;
            view = pickSparingSoleHosts(job, home);
            job.acceptLate = false;
        }
        return view;
    }

    /** This zone, or the nearest on the ring with a ready worker for the job; -1 if there is none. */
    private int homeZone(Job job) {
        int n = settings.zones;
        for (int i = 0; i <= n; i++) {
            int zone = (settings.zone + (i % 2 == 1 ? i / 2 + 1 : n - i / 2)) % n;
            if (serves(zone, job)) {
                return zone;
            }
        }
        return -1;
    }

    private boolean serves(int zone, Job job) {
        for (int i = 0; i < pools[zone].count; i++) {
            if (canRun(pools[zone].ready[i], job)) {
                return true;
            }
        }
        return false;
    }

    private static boolean canRun(WorkerView view, Job job) {
        return (job.type.kind < 0 || job.type.kind == view.kind)
                && (view.classes & job.classBit) != 0
                && (job.ability == 0
                        || view.abilities == null
                        || Arrays.binarySearch(view.abilities, job.ability) >= 0);
    }

    /** A job that any kind can run avoids the kinds that some class depends on while others have room. */
    private WorkerView pickSparingSoleHosts(Job job, int zone) {
        if (settings.reports == ReportSource.PROBES && (job.attempts > 0 || zone != settings.zone)) {
            probeStale(job, pools[zone]);
        }
        WorkerView view = job.type.kind < 0 ? pick(job, zone, true) : null;
        return view != null ? view : pick(job, zone, false);
    }

    /**
     * The non-full worker of the zone with the least own work outstanding, measured as time there. The expected wait
     * for other dispatchers' jobs is added: it tells workers apart when each of many has hardly any work out.
     */
    private WorkerView pick(Job job, int zone, boolean skipSoleHosts) {
        WorkerView best = null;
        double least = Double.POSITIVE_INFINITY;
        int ties = 0;
        Pool pool = pools[zone];
        // By the same old reports all dispatchers would choose the same worker. So own work alone decides, with
        // twice the probability of an answer 'full'.
        boolean ignoreWaits = random.nextDouble() < 2 * pool.fullShare;
        for (int i = 0; i < pool.count && !outliers.isEjected(pool, now); i++) {
            WorkerView view = pool.ready[i];
            if (!canRun(view, job)
                    || skipSoleHosts && view.kindEstimates.soleHost
                    || job.tried(view)
                    || outliers.isEjected(view, now)
                    || isFull(view, job)
                    || !retries.effectAllows(job, view)
                    || now < view.warmAt && !slowStart.allows(view, job, now)) {
                continue;
            }
            double speed = view.speed(now);
            double time = (view.ownRemainingWork(now, speed) + job.work()) / (view.kindEstimates.slots() * speed)
                    + (ignoreWaits ? 0 : times.wait(view, job, now));
            if (time < least) {
                best = view;
                least = time;
                ties = 1;
            } else if (time == least && random.nextInt(++ties) == 0) {
                best = view;
            }
        }
        return best;
    }

    /** Picks in one neighbour zone at random, or else in the other; zones that can't run the job are skipped. */
    private WorkerView pickNeighbour(Job job, int home) {
        int step = random.nextDouble() < job.crossEachWay ? 1 : settings.zones - 1;
        WorkerView view = pickInDirection(job, home, step);
        return view != null ? view : pickInDirection(job, home, settings.zones - step);
    }

    private WorkerView pickInDirection(Job job, int home, int step) {
        int zone = (home + step) % settings.zones;
        while (zone != home && !serves(zone, job)) {
            zone = (zone + step) % settings.zones;
        }
        return zone == home ? null : pickSparingSoleHosts(job, zone);
    }

    /** Whether the worker recently answered 'full', lacks the memory, or can't finish the job within its aim. */
    private boolean isFull(WorkerView view, Job job) {
        if (now < view.fullUntil || lacksMemory(view, job)) {
            return true;
        }
        double run = job.hint / view.speed(now);
        if (job.acceptLate) {
            // Start notes always arrive slightly late: without a margin a tied class never finds a slot on its kind.
            double most = job.type.kind < 0 && !job.background ? 0 : LATE_WAIT_SHARE * run;
            return times.wait(view, job, now) > most || now + run > job.answerDeadline;
        }
        return times.wait(view, job, now) > maxWait(job, timeLeft(job) - run, view.kindEstimates.slotTime());
    }

    private boolean lacksMemory(WorkerView view, Job job) {
        return now - view.reportAt <= WorkerView.REPORT_HALF_LIFE
                && view.freeMemory + view.memoryInReport - view.ownMemory < job.memory;
    }

    /** Seconds that the job can still take and be in time. */
    private double timeLeft(Job job) {
        return AIM_SHARE * job.aim - (now - job.arrivedAt);
    }

    /** Fraction of its time left that a job may wait: the lower its worth, the shorter its wait under load. */
    private double waitShare(Job job) {
        return MIN_WAIT_SHARE + (1 - MIN_WAIT_SHARE) * job.worth / highestWorth;
    }

    /**
     * The longest acceptable wait of a job. Jobs that can wait long must not build queues in which urgent jobs of
     * the same or a higher worth, or light jobs of the same class, can't be in time. A class tied to a kind need not
     * yield. A job may wait as long as others of equal worth, or light jobs would starve.
     */
    private double maxWait(Job job, double left, double slotTime) {
        double longestWait = left;
        double most = left;
        for (int i = 0; i < meanSlack.length; i++) {
            JobClass other = settings.classes[i];
            double worth = other.worth;
            if (worth == job.worth && other != job.type && meanSlack[i] < Double.POSITIVE_INFINITY) {
                longestWait = Math.max(longestWait, meanSlack[i]);
            }
            if (worth >= job.worth && job.type.kind < 0) {
                most = Math.min(most, worth > job.worth ? meanSlack[i] : OWN_SLACK_FACTOR * meanSlack[i]);
            }
        }
        return Math.min(
                most, Math.max(waitShare(job) * longestWait, Math.min(longestWait, SLOT_WAIT_SHARE * slotTime)));
    }

    /** Jobs that can't be in time even if started at once don't count: no wait of others is short enough for them. */
    private void recordSlack(int jobClass, double left) {
        if (left > 0) {
            double mean = meanSlack[jobClass];
            meanSlack[jobClass] = mean < Double.POSITIVE_INFINITY ? mean + SLACK_GAIN * (left - mean) : left;
        }
    }

    private void send(Job job, WorkerView view) {
        Attempt attempt = job.nextAttempt();
        attempt.view = view;
        attempt.sentAt = now;
        attempt.startedAt = Double.NaN;
        attempt.heardAt = now;
        attempt.progress = 0;
        attempt.queueWait = times.queueWait(view, job, now);
        attempt.expectedWait = times.wait(view, job, now);
        // A silent machine shows only in what is overdue: a start, or an end where starts are not reported.
        attempt.dueAt = now + attempt.expectedWait + (settings.tellsStart ? 0 : job.hint / view.speed(now));
        attempt.lost = false;
        attempt.answeredAt = Double.POSITIVE_INFINITY;
        attempt.outstanding = true;
        attempt.mayHaveRun = true;
        job.outstanding++;
        if (job.attempts > 1) {
            retries.attemptedAgain(now);
        }
        view.add(attempt);
        outliers.tried(view, pools[view.zone], now);
        slowStart.sent(view, job, now);
        out.send(job.id, attempt.number, view.id);
    }

    /** Retries after an attempt that did not serve the request, or gives the final answer. */
    private void retryOrFinish(Job job) {
        if (job.streaming || now >= job.answerDeadline || !retries.allowsAnother(job, now)) {
            finish(job, Refusal.of(now >= job.answerDeadline ? Reason.DEADLINE : Reason.NO_RETRY));
        } else {
            place(job);
        }
    }

    // ---- the final answer ----

    private void finish(Job job, Refusal refusal) {
        end(job);
        out.explainRefusal(job.id, refusal);
        if (retries.mayRefuse(job, now)) {
            out.refuse(job.id, job.sendRetryAfter ? retryDelay(job) : 0);
        } else {
            out.fail(job.id);
        }
    }

    /** Why a job could not be placed, by the worker of its home zone that passed the most checks. */
    private Refusal refusal(Job job) {
        int home = homeZone(job);
        Refusal nearest = Refusal.of(Reason.NO_ENDPOINT);
        for (int i = 0; home >= 0 && i < pools[home].count; i++) {
            WorkerView view = pools[home].ready[i];
            Reason reason = canRun(view, job) ? rejectionReason(view, job) : Reason.NO_ENDPOINT;
            if (reason.compareTo(nearest.reason()) > 0) {
                double most = maxWait(job, timeLeft(job) - job.hint / view.speed(now), view.kindEstimates.slotTime());
                double slots = view.kindEstimates.slots();
                nearest = new Refusal(
                        reason,
                        view.id,
                        view.ownSlots,
                        view.otherSlots(now),
                        slots,
                        now - view.reportAt,
                        times.wait(view, job, now),
                        most);
            }
        }
        return nearest;
    }

    private Reason rejectionReason(WorkerView view, Job job) {
        if (job.tried(view)) {
            return Reason.TRIED;
        }
        if (outliers.isEjected(pools[view.zone], now) || outliers.isEjected(view, now)) {
            return Reason.OUTLIER;
        }
        if (now < view.fullUntil) {
            return Reason.DECLINED;
        }
        if (isFull(view, job)) {
            return overloadReason(view, job);
        }
        return retries.effectAllows(job, view) ? Reason.SLOW_START : Reason.EFFECT;
    }

    private Reason overloadReason(WorkerView view, Job job) {
        if (lacksMemory(view, job)) {
            return Reason.MEMORY;
        }
        if (timeLeft(job) < job.hint / view.speed(now)) {
            return Reason.TOO_LONG;
        }
        if (view.ownSlots + job.slots > view.kindEstimates.slots()) {
            return Reason.OWN_LOAD;
        }
        return times.queueWait(view, job, now) > view.extraWait(now) ? Reason.OTHERS_LOAD : Reason.LATE_STARTS;
    }

    /**
     * Seconds after which a refused client should retry: at once if a home worker has room and only the attempts
     * are used up, otherwise after a fraction of the job's time left, in which other jobs end.
     */
    private double retryDelay(Job job) {
        int home = homeZone(job);
        for (int i = 0; home >= 0 && i < pools[home].count && !outliers.isEjected(pools[home], now); i++) {
            WorkerView view = pools[home].ready[i];
            if (canRun(view, job) && !outliers.isEjected(view, now) && !isFull(view, job)) {
                return settings.tick;
            }
        }
        return home < 0
                ? job.maxRetryAfter
                : Math.min(job.maxRetryAfter, Math.max(settings.tick, RETRY_DELAY_SHARE * timeLeft(job)));
    }

    private void end(Job job) {
        job.live = false;
        if (job.pendingReports > 0) {
            held.remove(job);
        }
        // An attempt whose answer is not needed any more would occupy a slot that others could use.
        for (int i = 0; i < job.attempts && settings.mayCancel; i++) {
            if (job.attempt[i].outstanding) {
                job.attempt[i].mayHaveRun &= !out.cancel(job.id, i);
            }
        }
        jobs.release(job);
    }

    /** Answers requests whose deadline has come, such as those with an attempt that never ends. */
    private void expireRequests() {
        // A timer superseded by one for an earlier deadline still expires; it must not arm another.
        if (now >= armedDeadline - settings.tick / 2) {
            armedDeadline = Double.POSITIVE_INFINITY;
        }
        while (deadlines.first() != null && (!deadlines.first().live || deadlines.first().answerDeadline <= now)) {
            Job job = deadlines.pop();
            if (job.live && !job.streaming) {
                finish(job, Refusal.of(Reason.DEADLINE));
            }
            jobs.release(job);
        }
        armDeadlineTimer();
    }

    private void armDeadlineTimer() {
        Job job = deadlines.first();
        if (job != null && job.answerDeadline < armedDeadline) {
            armedDeadline = job.answerDeadline;
            out.wake(Math.max(0, armedDeadline - now), ANSWER_DEADLINE);
        }
    }

    // ---- outlier detection ----

    private void recordOutcome(WorkerView view, Outcome outcome) {
        Pool pool = pools[view.zone];
        pool.fullShare += WorkerView.MEAN_GAIN * ((outcome == Outcome.FULL ? 1 : 0) - pool.fullShare);
        if (outcome == Outcome.OK || outcome == Outcome.FULL) {
            view.fullUntil = outcome == Outcome.FULL ? now + view.kindEstimates.fullSeconds() : view.fullUntil;
            if (outcome == Outcome.FULL && !view.kindEstimates.reportsQueue) {
                // The only sign of a queue: a worker assumed to have none would be tried in vain again and again.
                view.recordOthers((1 + FULL_QUEUE_PER_SLOT) * view.kindEstimates.slots(), now);
            }
            view.outlier.clear();
            pool.outlier.clear();
        } else if (outcome == Outcome.RESET || outcome == Outcome.TIMEOUT) {
            outliers.connectionLost(view, now);
        } else if (outcome == Outcome.CONNECT_FAILED) {
            outliers.connectFailed(view, pool, now);
        } else if (outcome == Outcome.ERROR) {
            outliers.answeredWithError(view, now);
        }
    }

    /**
     * If a worker starts jobs in order of arrival, a job overtaken by a later one is lost or its connection is
     * silent. Still counted, it would make the worker look blocked until its client gives up. A job that may be
     * repeated is cancelled, so that it goes elsewhere at once.
     */
    private void markOvertakenLost(Attempt started) {
        WorkerView view = started.view;
        for (int i = 0; i < view.ownCount && settings.headOfLineBlocking; i++) {
            Attempt attempt = view.own[i];
            if (Double.isNaN(attempt.startedAt)
                    && attempt.sentAt < started.sentAt - settings.connectTimeout
                    && !attempt.lost) {
                view.markLost(attempt);
                if (settings.mayCancel && attempt.job.live && retries.mayRepeat(attempt.job, now)) {
                    out.cancel(attempt.job.id, attempt.number);
                }
            }
        }
    }

    // ---- connections to draining workers ----

    /**
     * A draining worker waits for its connections to close. If the settings state a time, idle ones are closed when
     * the worker stops being ready and after each attempt. A connection that is still being opened becomes idle only
     * later, so closing is repeated after half that time.
     */
    private void closeIdle(WorkerView view) {
        if (settings.closeOnDrainWithin > 0 && view.state != State.READY) {
            out.closeIdle(view.id);
            closing.add(view);
            out.wake(settings.closeOnDrainWithin / 2, CLOSE_AGAIN);
        }
    }

    // ---- worker list ----

    private void updateWorker(Worker entry) {
        WorkerView view = views.get(entry.id);
        if (view == null) {
            if (entry.state == State.GONE) {
                return;
            }
            view = new WorkerView(entry.id, settings);
            views.put(entry.id, view);
        }
        if (entry.startedAt > view.startedAt && view.listRound > 0) {
            view.clearReport();
        }
        view.listRound = listRound;
        int zone = entry.zone >= 0 && entry.zone < settings.zones ? entry.zone : settings.zones;
        if (view.indexed && zone != view.zone) {
            pools[view.zone].remove(view);
        }
        view.zone = zone;
        view.kind = entry.kind;
        view.kindEstimates = kindOf(entry);
        view.zoneLoad = zoneLoads.computeIfAbsent((long) entry.kind << 32 | entry.zone, key -> new ZoneLoad());
        view.cell = entry.cell;
        view.classes = entry.classes;
        view.abilities = entry.abilities;
        view.startedAt = Math.max(view.startedAt, entry.startedAt);
        if (entry.state != view.state) {
            view.state = entry.state;
            closeIdle(view);
        }
        view.kindEstimates.maxWeight = Math.max(view.kindEstimates.maxWeight, entry.weight);
        // A zone without jobs sends no reports: assumed empty, it would attract all blocked jobs at once. So the load
        // follows from the weight, taking a core for a slot. A weight of 0 would corrupt the mean for good.
        if (settings.weights == WeightSource.LIVE
                && view.zone != settings.zone
                && now >= view.warmAt
                && entry.weight > 0) {
            view.zoneLoad.update(view.kindEstimates.maxWeight / entry.weight - 1, now);
        }
        addIfEligible(view);
    }

    private void addIfEligible(WorkerView view) {
        double since = view.coldSince();
        view.warmAt = since > 0 ? since + settings.coldFor : Double.NEGATIVE_INFINITY;
        if (view.isEligible() && !view.indexed && view.zone < settings.zones) {
            pools[view.zone].add(view);
        }
    }

    /** Removes ineligible workers from the pools, and forgets workers that are gone and no longer needed. */
    private void removeIneligible() {
        for (Pool pool : pools) {
            for (int i = pool.count - 1; i >= 0; i--) {
                if (!pool.ready[i].isEligible()) {
                    pool.remove(pool.ready[i]);
                }
            }
        }
        views.values().removeIf(this::isForgettable);
    }

    /** Not while its slow-start budget is partly used: a flapping list would let the budget be used twice. */
    private boolean isForgettable(WorkerView view) {
        return view.state == State.GONE
                && view.ownCount == 0
                && !view.down
                && now >= view.warmAt
                && view.coldSends.since(now - settings.fallWithin) == 0;
    }

    /** Estimates are kept per kind, and per size where weights are nominal: workers of different sizes differ. */
    private KindEstimates kindOf(Worker entry) {
        long size = settings.weights == WeightSource.NOMINAL ? Float.floatToIntBits((float) entry.weight) : 0;
        long key = (long) entry.kind << 32 | size;
        KindEstimates kind = kinds.get(key);
        if (kind == null) {
            kind = new KindEstimates();
            for (JobClass type : settings.classes) {
                kind.soleHost |= type.kind == entry.kind;
            }
            kinds.put(key, kind);
        }
        return kind;
    }

    // ---- probes ----

    /**
     * Probes workers that can run the job and have no recent report, in round-robin order; returns how many.
     * Probing every worker continually would cost a large fleet more than its jobs, so probes follow own traffic.
     */
    private int probeStale(Job job, Pool pool) {
        int asked = 0;
        boolean may = settings.reports != ReportSource.NONE && settings.mayProbe;
        for (int i = 0; i < pool.count && asked < PROBES_PER_REQUEST && may; i++) {
            WorkerView view = pool.next();
            if (canRun(view, job) && now - Math.max(view.probedAt, view.reportAt) >= PROBE_INTERVAL) {
                view.probedAt = now;
                out.probe(view.id);
                asked++;
            }
        }
        return asked;
    }

    /** In a large pool hardly any report is fresh when a job arrives, so it briefly waits for those it requests. */
    private boolean holdForReports(Job job) {
        int home = homeZone(job);
        if (home >= 0 && settings.reports == ReportSource.PROBES) {
            await(job, probeStale(job, pools[home]));
        }
        return job.pendingReports > 0;
    }

    private void await(Job job, int reports) {
        job.pendingReports = reports;
        if (reports > 0) {
            job.heldAt = now;
            held.add(job);
            out.wake(REPORT_WAIT, REPORTS_OVERDUE);
        }
    }

    /** Places the held jobs that have now received all their reports or have waited long enough. */
    private void placeHeld(double askedAt) {
        for (int i = held.size(); i > 0; i--) {
            Job job = held.poll();
            if (job.heldAt == askedAt) {
                job.pendingReports--;
            }
            if (job.pendingReports == 0 || now >= job.heldAt + REPORT_WAIT - settings.tick / 2) {
                job.pendingReports = 0;
                place(job);
            } else {
                held.add(job);
            }
        }
    }

    // ---- bookkeeping ----

    private void advanceClock(double at) {
        now = Math.max(now, at);
    }

    private Job open(Request request) {
        // Hints are capped at the class's deadline, as no worker finishes a longer job in time. Uncapped, one absurd
        // hint would distort the mean for hundreds of jobs, and all workers would look full.
        JobClass type = settings.classes[request.jobClass];
        double answerDeadline = request.deadline - ANSWER_MARGIN_TICKS * settings.tick;
        double aim = Math.min(type.aim / Math.max(0, 1 - AIM_SHARE * type.stretch), answerDeadline - now);
        double guess =
                Math.min(meanHint.mean() > 0 ? meanHint.mean() : 1, UNHINTED_SHARE * Math.max(settings.tick, aim));
        double hint = Math.min(request.hint > 0 ? request.hint : guess, type.deadline);
        meanHint.add(hint);
        return jobs.open(request.id).open(request, settings, shares, now, answerDeadline, hint);
    }

    private void settle(Attempt attempt, Outcome outcome) {
        attempt.outstanding = false;
        // If workers also shed jobs that they had begun, a retry after 'full' could take effect twice.
        attempt.mayHaveRun = !outcome.neverRan || outcome == Outcome.FULL && settings.fullMayHaveRun;
        attempt.job.outstanding--;
        WorkerView view = attempt.view;
        view.remove(attempt);
        boolean startReported = !Double.isNaN(attempt.startedAt);
        if (outcome == Outcome.OK && (startReported || !settings.tellsStart) && now >= view.warmAt) {
            double took =
                    startReported ? Math.min(now, attempt.answeredAt) - attempt.startedAt : times.runTime(attempt, now);
            view.kindEstimates.recordRun(attempt.job.hint, took);
            view.recordRun(attempt.job.hint, took);
        }
    }
}
