package laneflow.decision;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import laneflow.decision.Job.Attempt;
import laneflow.decision.Refusal.Reason;
import org.agrona.collections.Long2ObjectHashMap;

/**
 * Every decision of a dispatcher; its types, events and actions are in {@code Dispatch.java}.
 *
 * <p>A request goes to the least-loaded worker of its home pool that is not judged full; from a full pool
 * a coin sends it to a ring neighbour with room, or it is refused. Around that path stand guards: the last
 * call, effects, cold budgets, suspicion. docs/design.md says why; docs/on-call.md what to do at night.
 */
public final class Logic implements Dispatch {
    private static final double IN_TIME = 0.9; // Share of a job's aim to fill: hints and speeds are guesses.
    /** Of the longest work that can be in time, for one untold: hurried classes would be refused for ever. */
    private static final double UNHINTED_PART = 0.5;
    /** Part of the wait its aim leaves that a class is given however little it is worth: none starves. */
    private static final double LEAST_WAIT = 0.2;
    /** Part of the time in which a slot comes free that work of little worth may wait: no queue grows so. */
    private static final double SLOT_WAIT = 0.5;
    /** Times its own class's mean slack that a job may wait: heavy ones could bear more, light ones not. */
    private static final double OWN_SLACK = 1.5;
    /** Part of its running time that a late job may wait on the kind it is tied to, which others spare. */
    private static final double LATE_WAIT_PART = 0.3;
    /** Jobs waiting for each slot of a worker that answers 'full', at least: its waiting room is taken. */
    private static final double FULL_QUEUE = 1;

    private static final double PROBE_EVERY = 0.5; // Seconds for which a report is fresh: no probe then.
    /** Seconds that a job waits at most for reports: about a probe's way there and back, and some ticks. */
    private static final double REPORT_WAIT = 0.01;

    private static final int PROBES_EACH = 4; // For each request placed: probes cost workers time.
    private static final double LIST_RETRY = 1; // Seconds at least: discovery serves all dispatchers.
    private static final double LAST_CALL_TICKS = 2; // From the final answer to the client's giving up.
    /** Capacity of a worker nothing is known of, standard cores: a cold one must not be overestimated. */
    static final double UNKNOWN_CAPACITY = 0.5;

    static final double WAIT_MEMORY = 0.05; // Say of a start note in the waits seen and foreseen.
    private static final double SLACK_GAIN = 0.05; // Say of a request in its class's mean wait.
    private static final double RETRY_PART = 0.15; // Of the time left, after which a refused job comes back.

    private static final long LAST_CALL = 1;
    private static final long ASK_LIST = 2;
    private static final long REPORTS_OVERDUE = 3;
    private static final long CLOSE_AGAIN = 4;

    private final Settings settings;
    private final Actions out;
    private final SplittableRandom random;
    private final Long2ObjectHashMap<WorkerView> views = new Long2ObjectHashMap<>();
    private final Jobs jobs = new Jobs();
    private final Long2ObjectHashMap<KindEstimates> kinds = new Long2ObjectHashMap<>();
    private final Long2ObjectHashMap<ZoneLoad> crowds = new Long2ObjectHashMap<>();
    private final Pool[] pools; // The ready workers of each zone; the last, for no zone, stays empty.
    private final ArrayDeque<Job> held = new ArrayDeque<>(); // Wait for reports, in order of arrival.
    private final DeadlineHeap calls = new DeadlineHeap();
    /** Workers told to drain whose connections are to be closed once more. */
    private final ArrayDeque<WorkerView> closing = new ArrayDeque<>();

    private final MeanHint meanHint = new MeanHint();
    private final TimeEstimates times = new TimeEstimates(meanHint);
    private final RetryPolicy retries;
    private final SlowStart slowStart;
    private final OutlierDetection outliers;
    private double callArmed = Double.POSITIVE_INFINITY;
    private int listRound;
    private boolean askPending;
    private double highestWorth;
    private final Shares shares;
    private final double[] slack; // Mean wait that each class's jobs can bear.
    private double now = Double.NEGATIVE_INFINITY;

    /** A dispatcher with these settings and this seed; actions go to {@code out}. */
    public Logic(Settings settings, long seed, Actions out) {
        if (settings.classes.length == 0
                || settings.zones < 1
                || settings.dispatchers < 1
                || settings.zone < 0
                || settings.zone >= settings.zones
                || settings.maxAttempts < 1) {
            throw new IllegalArgumentException("no class, a zone out of range, no dispatcher or no attempt");
        }
        this.settings = settings;
        this.out = out;
        this.random = new SplittableRandom(seed);
        retries = new RetryPolicy(settings);
        slowStart = new SlowStart(settings, meanHint);
        outliers = new OutlierDetection(settings, random);
        pools = new Pool[settings.zones + 1];
        Arrays.setAll(pools, zone -> new Pool(random.nextInt()));
        shares = new Shares(settings);
        slack = new double[settings.classes.length];
        Arrays.fill(slack, Double.POSITIVE_INFINITY);
        settingsChanged();
    }

    // ---- events ----

    @Override
    public void start(double at) {
        clock(at);
        slowStart.start(now);
        if (settings.listNeedsSubscription) {
            out.watchList();
        }
    }

    @Override
    public void list(double at, ListKind kind, List<Worker> entries) {
        clock(at);
        if (kind == ListKind.FAILED) {
            // A broken subscription is silent from here on: an old list would be followed for ever.
            if (settings.listNeedsSubscription && !askPending) {
                askPending = true;
                out.wake(LIST_RETRY * (1 + random.nextDouble()), ASK_LIST);
            }
            return;
        }
        listRound++;
        for (int i = 0; i < entries.size(); i++) {
            learn(entries.get(i));
        }
        if (kind != ListKind.CHANGES) {
            // A worker missing from a whole list is gone: sending on would break its drain.
            for (WorkerView view : views.values()) {
                if (view.listRound != listRound && view.state != State.GONE) {
                    view.state = State.GONE;
                    closeIdle(view);
                }
            }
        }
        index();
    }

    @Override
    public void setDown(double at, long worker) {
        clock(at);
        WorkerView view = views.computeIfAbsent(worker, id -> new WorkerView(id, settings));
        view.downAt = view.down ? view.downAt : now;
        view.down = true;
        index();
        out.closeIdle(worker);
    }

    @Override
    public void setUp(double at, long worker) {
        clock(at);
        WorkerView view = views.get(worker);
        if (view != null && view.down) {
            view.down = false;
            view.backAt = now;
            view.forgetReport();
            admit(view);
        }
    }

    @Override
    public void budgetShare(double at, double of) {
        clock(at);
        slowStart.share(of);
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
        clock(at);
        if (request.jobClass < 0 || request.jobClass >= settings.classes.length) {
            throw new IllegalArgumentException("class " + request.jobClass + " is out of range");
        }
        if (jobs.get(request.id) != null) {
            return;
        }
        retries.requestTaken(now);
        Job job = open(request);
        if (job.lastCall <= now) {
            finish(job, Refusal.of(Reason.DEADLINE));
            return;
        }
        calls.push(job);
        armCall();
        learnSlack(request.jobClass, patience(job) - job.hint);
        if (!held(job)) {
            place(job);
        }
    }

    @Override
    public void abandoned(double at, long request) {
        clock(at);
        Job job = jobs.get(request);
        if (job != null && job.live) {
            end(job);
        }
    }

    @Override
    public void timer(double at, long token) {
        clock(at);
        if (token == LAST_CALL) {
            lastCalls();
        } else if (token == REPORTS_OVERDUE) {
            placeHeld(Double.NaN);
        } else if (token == ASK_LIST) {
            askPending = false;
            out.watchList();
        } else if (token == CLOSE_AGAIN) {
            out.closeIdle(closing.poll().id);
        }
    }

    @Override
    public void outcome(
            double at, long request, int number, long worker, Outcome outcome, boolean over, LoadReport report) {
        clock(at);
        Job job = jobs.get(request);
        Attempt attempt = job == null ? null : job.outstanding(number);
        if (attempt == null) {
            return;
        }
        WorkerView view = attempt.view;
        // Before it is settled: a report older than the job's end still counts it, and is not the siblings'.
        if (report != null) {
            view.take(report, attempt, meanHint.mean(), now);
        }
        settle(attempt, outcome);
        judge(view, outcome);
        closeIdle(view);
        if (!job.live) {
            jobs.release(job);
        } else if (over || outcome == Outcome.OK) {
            end(job);
        } else if (job.outstanding == 0) {
            next(job);
        }
    }

    @Override
    public void probed(double at, long worker, double took, Outcome outcome, LoadReport report) {
        clock(at);
        WorkerView view = views.get(worker);
        if (view != null && report != null) {
            view.take(report, null, meanHint.mean(), outcome == Outcome.MOOT ? now - took : now);
        }
        placeHeld(view == null || outcome == Outcome.MOOT ? Double.NaN : view.probedAt);
    }

    @Override
    public void streaming(double at, long request, int number) {
        clock(at);
        Job job = jobs.get(request);
        if (job != null) {
            job.streaming = true;
        }
    }

    @Override
    public void note(double at, long request, int number, long worker, Note note, double share) {
        clock(at);
        Job job = jobs.get(request);
        Attempt attempt = job == null ? null : job.outstanding(number);
        if (attempt != null) {
            attempt.heardAt = now;
            pools[attempt.view.zone].outlier.clear();
            if (Double.isNaN(attempt.startedAt)) {
                // Where no start is told, the first word comes a while after it: read as the start it would
                // make every worker look fast, and cold ones be sent too much.
                double before = note == Note.PROGRESS ? settings.progressInterval : 0;
                attempt.startedAt = Math.max(attempt.sentAt, now - before);
                attempt.view.waited(attempt, now);
                loseOvertaken(attempt);
            }
            if (note == Note.ANSWERING && settings.progressInterval == 0 && !attempt.lost) {
                // However slowly the network brings the answer, the worker has done the job.
                attempt.answeredAt = now;
                attempt.view.lose(attempt);
            }
            if (note == Note.PROGRESS) {
                attempt.share = share;
            }
        }
    }

    // ---- the placement path: home, pick, coin, refuse ----

    private void place(Job job) {
        WorkerView view = choose(job);
        if (view != null) {
            send(job, view);
        } else if (job.lastLook || !looksOnceMore(job)) {
            finish(job, refusal(job));
        }
    }

    /** Before a job is turned away, workers unheard of lately are asked: by now they may have room. */
    private boolean looksOnceMore(Job job) {
        job.lastLook = true;
        int home = homeZone(job);
        for (int i = 0; home >= 0 && i < settings.zones && job.awaited == 0; i++) {
            await(job, refresh(job, pools[(home + i) % settings.zones]));
        }
        return job.awaited > 0;
    }

    private WorkerView choose(Job job) {
        int home = homeZone(job);
        WorkerView view = home < 0 ? null : pickSparing(job, home);
        if (view == null && home >= 0) {
            view = coin(job, home);
        }
        // Nobody can end it in time, but late has some worth: it may take a slot that is free now.
        if (view == null && home >= 0 && job.type.lateWorth > 0) {
            job.late = true;
            view = pickSparing(job, home);
            job.late = false;
        }
        return view;
    }

    /** This zone, or the nearest on the ring with a ready worker for the class; -1 if there is none. */
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
            if (runs(pools[zone].ready[i], job)) {
                return true;
            }
        }
        return false;
    }

    private static boolean runs(WorkerView view, Job job) {
        return (job.type.kind < 0 || job.type.kind == view.kind)
                && (view.classes & job.classBit) != 0
                && (job.ability == 0
                        || view.abilities == null
                        || Arrays.binarySearch(view.abilities, job.ability) >= 0);
    }

    /** A job that runs anywhere spares the kinds that some class depends on, while others have room. */
    private WorkerView pickSparing(Job job, int zone) {
        if (settings.reports == ReportSource.PROBES && (job.attempts > 0 || zone != settings.zone)) {
            refresh(job, pools[zone]);
        }
        WorkerView view = job.type.kind < 0 ? pick(job, zone, true) : null;
        return view != null ? view : pick(job, zone, false);
    }

    /**
     * The zone's worker not judged full with least work outstanding from here, in time taken there. Where
     * many dispatchers have next to nothing out each, the wait foreseen for siblings' jobs tells them apart.
     */
    private WorkerView pick(Job job, int zone, boolean sparing) {
        WorkerView best = null;
        double least = Double.POSITIVE_INFINITY;
        int ties = 0;
        Pool pool = pools[zone];
        // Told of the same room by old reports all herd: twice as often as told 'full', own work decides.
        boolean blind = random.nextDouble() < 2 * pool.fullShare;
        for (int i = 0; i < pool.count && !outliers.isEjected(pool, now); i++) {
            WorkerView view = pool.ready[i];
            if (!runs(view, job)
                    || sparing && view.peers.soleHost
                    || job.tried(view)
                    || outliers.isEjected(view, now)
                    || full(view, job)
                    || !retries.effectAllows(job, view)
                    || now < view.warmAt && !slowStart.allows(view, job, now)) {
                continue;
            }
            double speed = view.speed(now);
            double time = (view.ownRemaining(now, speed) + job.work()) / (view.peers.slots() * speed)
                    + (blind ? 0 : times.wait(view, job, now));
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

    /** A full pool's coin: either neighbour on the ring of zones that serve the class, of those with room. */
    private WorkerView coin(Job job, int home) {
        int step = random.nextDouble() < job.crossEachWay ? 1 : settings.zones - 1;
        WorkerView view = neighbour(job, home, step);
        return view != null ? view : neighbour(job, home, settings.zones - step);
    }

    private WorkerView neighbour(Job job, int home, int step) {
        int zone = (home + step) % settings.zones;
        while (zone != home && !serves(zone, job)) {
            zone = (zone + step) % settings.zones;
        }
        return zone == home ? null : pickSparing(job, zone);
    }

    /** Full: the worker answered 'full', lacks the memory, or could not end the job within its aim. */
    private boolean full(WorkerView view, Job job) {
        if (now < view.fullUntil || lacksMemory(view, job)) {
            return true;
        }
        double run = job.hint / view.speed(now);
        if (job.late) {
            // Start notes always come a little late: on its own kind a tied class would never find a slot.
            double most = job.type.kind < 0 ? 0 : LATE_WAIT_PART * run;
            return times.wait(view, job, now) > most || now + run > job.lastCall;
        }
        return times.wait(view, job, now) > mostWait(job, patience(job) - run, view.peers.slotTime());
    }

    private boolean lacksMemory(WorkerView view, Job job) {
        return now - view.reportAt <= WorkerView.REPORT_AGE
                && view.freeMemory + view.memoryInReport - view.ownMemory < job.memory;
    }

    /** Seconds the job can still take and be in time. */
    private double patience(Job job) {
        return IN_TIME * job.aim - (now - job.arrivedAt);
    }

    /** Where work must wait, worth goes first: a class waits the less the less its work is worth. */
    private double waitShare(Job job) {
        return LEAST_WAIT + (1 - LEAST_WAIT) * job.worth / highestWorth;
    }

    /**
     * Patient work must not build queues in which hurried work as dear, or light jobs of its own class, can't
     * be in time. A class tied to its kind need not yield. Of equal worth the light one would starve.
     */
    private double mostWait(Job job, double left, double slotTime) {
        double patience = left;
        double most = left;
        for (int i = 0; i < slack.length; i++) {
            JobClass other = settings.classes[i];
            double worth = other.worth;
            if (worth == job.worth && other != job.type && slack[i] < Double.POSITIVE_INFINITY) {
                patience = Math.max(patience, slack[i]);
            }
            if (worth >= job.worth && job.type.kind < 0) {
                most = Math.min(most, worth > job.worth ? slack[i] : OWN_SLACK * slack[i]);
            }
        }
        return Math.min(most, Math.max(waitShare(job) * patience, Math.min(patience, SLOT_WAIT * slotTime)));
    }

    /** Jobs that can't be in time even at once don't count: nobody could yield enough for them. */
    private void learnSlack(int jobClass, double left) {
        if (left > 0) {
            double mean = slack[jobClass];
            slack[jobClass] = mean < Double.POSITIVE_INFINITY ? mean + SLACK_GAIN * (left - mean) : left;
        }
    }

    private void send(Job job, WorkerView view) {
        Attempt attempt = job.nextAttempt();
        attempt.view = view;
        attempt.sentAt = now;
        attempt.startedAt = Double.NaN;
        attempt.heardAt = now;
        attempt.share = 0;
        attempt.queueWait = times.queueWait(view, job, now);
        attempt.wait = times.wait(view, job, now);
        // A silent machine shows only in what is overdue: a start, or the end where starts are not told.
        attempt.dueAt = now + attempt.wait + (settings.tellsStart ? 0 : job.hint / view.speed(now));
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

    /** What follows an attempt that did not serve the request. */
    private void next(Job job) {
        if (job.streaming || now >= job.lastCall || !retries.allowsAnother(job, now)) {
            finish(job, Refusal.of(now >= job.lastCall ? Reason.DEADLINE : Reason.NO_RETRY));
        } else {
            place(job);
        }
    }

    // ---- the final answer ----

    private void finish(Job job, Refusal refusal) {
        end(job);
        out.explainRefusal(job.id, refusal);
        if (retries.mayRefuse(job, now)) {
            out.refuse(job.id, job.toldWhen ? comeBack(job) : 0);
        } else {
            out.fail(job.id);
        }
    }

    /** What kept a job that was placed nowhere from the home endpoint that passed most of the checks. */
    private Refusal refusal(Job job) {
        int home = homeZone(job);
        Refusal nearest = Refusal.of(Reason.NO_ENDPOINT);
        for (int i = 0; home >= 0 && i < pools[home].count; i++) {
            WorkerView view = pools[home].ready[i];
            Reason reason = runs(view, job) ? obstacle(view, job) : Reason.NO_ENDPOINT;
            if (reason.compareTo(nearest.reason()) > 0) {
                double most = mostWait(job, patience(job) - job.hint / view.speed(now), view.peers.slotTime());
                double slots = view.peers.slots();
                nearest = new Refusal(
                        reason,
                        view.id,
                        view.ownSlots,
                        view.others(now),
                        slots,
                        now - view.reportAt,
                        times.wait(view, job, now),
                        most);
            }
        }
        return nearest;
    }

    private Reason obstacle(WorkerView view, Job job) {
        if (job.tried(view)) {
            return Reason.TRIED;
        }
        if (outliers.isEjected(pools[view.zone], now) || outliers.isEjected(view, now)) {
            return Reason.OUTLIER;
        }
        if (now < view.fullUntil) {
            return Reason.DECLINED;
        }
        if (full(view, job)) {
            return overload(view, job);
        }
        return retries.effectAllows(job, view) ? Reason.SLOW_START : Reason.EFFECT;
    }

    private Reason overload(WorkerView view, Job job) {
        if (lacksMemory(view, job)) {
            return Reason.MEMORY;
        }
        if (patience(job) < job.hint / view.speed(now)) {
            return Reason.TOO_LONG;
        }
        if (view.ownSlots + job.slots > view.peers.slots()) {
            return Reason.OWN_LOAD;
        }
        return times.queueWait(view, job, now) > view.unseenWait(now) ? Reason.OTHERS_LOAD : Reason.LATE_STARTS;
    }

    /**
     * Seconds after which a refused client should come back: at once where a home worker has room and only
     * attempts are used up, else after a part of the time its job still has, in which others end.
     */
    private double comeBack(Job job) {
        int home = homeZone(job);
        for (int i = 0; home >= 0 && i < pools[home].count && !outliers.isEjected(pools[home], now); i++) {
            WorkerView view = pools[home].ready[i];
            if (runs(view, job) && !outliers.isEjected(view, now) && !full(view, job)) {
                return settings.tick;
            }
        }
        return home < 0
                ? job.longestRetryAfter
                : Math.min(job.longestRetryAfter, Math.max(settings.tick, RETRY_PART * patience(job)));
    }

    private void end(Job job) {
        job.live = false;
        if (job.awaited > 0) {
            held.remove(job);
        }
        // An attempt nobody waits for any more would hold a slot that others could use.
        for (int i = 0; i < job.attempts && settings.mayCancel; i++) {
            if (job.attempt[i].outstanding) {
                job.attempt[i].mayHaveRun &= !out.cancel(job.id, i);
            }
        }
        jobs.release(job);
    }

    /** An attempt that never answers would leave its client without one: every request has a last call. */
    private void lastCalls() {
        // A timer that an earlier deadline has overtaken runs out too: it must not arm a further one.
        if (now >= callArmed - settings.tick / 2) {
            callArmed = Double.POSITIVE_INFINITY;
        }
        while (calls.first() != null && (!calls.first().live || calls.first().lastCall <= now)) {
            Job job = calls.pop();
            if (job.live && !job.streaming) {
                finish(job, Refusal.of(Reason.DEADLINE));
            }
            jobs.release(job);
        }
        armCall();
    }

    private void armCall() {
        Job job = calls.first();
        if (job != null && job.lastCall < callArmed) {
            callArmed = job.lastCall;
            out.wake(Math.max(0, callArmed - now), LAST_CALL);
        }
    }

    // ---- guard: outlier detection ----

    private void judge(WorkerView view, Outcome outcome) {
        Pool pool = pools[view.zone];
        pool.fullShare += WorkerView.OTHERS_GAIN * ((outcome == Outcome.FULL ? 1 : 0) - pool.fullShare);
        if (outcome == Outcome.OK || outcome == Outcome.FULL) {
            view.fullUntil = outcome == Outcome.FULL ? now + view.peers.fullFor() : view.fullUntil;
            if (outcome == Outcome.FULL && !view.peers.tellsQueue) {
                // The only word of a queue: a worker believed to have none is tried in vain again and again.
                view.taken((1 + FULL_QUEUE) * view.peers.slots(), now);
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
     * Where a worker starts jobs in the order of their coming, one that a later one has overtaken is lost, or
     * its connection has fallen silent. Counted on, it would make the worker look blocked until its client
     * gives up; what may be repeated goes elsewhere at once.
     */
    private void loseOvertaken(Attempt started) {
        WorkerView view = started.view;
        for (int i = 0; i < view.ownCount && settings.headOfLineBlocking; i++) {
            Attempt attempt = view.own[i];
            if (Double.isNaN(attempt.startedAt)
                    && attempt.sentAt < started.sentAt - settings.connectTimeout
                    && !attempt.lost) {
                view.lose(attempt);
                if (settings.mayCancel && attempt.job.live && retries.mayRepeat(attempt.job, now)) {
                    out.cancel(attempt.job.id, attempt.number);
                }
            }
        }
    }

    // ---- guard: connections to workers that drain ----

    /**
     * A worker that drains waits for its connections: where a time is stated the idle ones are closed at the
     * notice and after each attempt's end. One still being opened then is idle only later: once more for it.
     */
    private void closeIdle(WorkerView view) {
        if (settings.closeOnDrainWithin > 0 && view.state != State.READY) {
            out.closeIdle(view.id);
            closing.add(view);
            out.wake(settings.closeOnDrainWithin / 2, CLOSE_AGAIN);
        }
    }

    // ---- following the list ----

    private void learn(Worker entry) {
        WorkerView view = views.get(entry.id);
        if (view == null) {
            if (entry.state == State.GONE) {
                return;
            }
            view = new WorkerView(entry.id, settings);
            views.put(entry.id, view);
        }
        if (entry.startedAt > view.startedAt && view.listRound > 0) {
            view.forgetReport();
        }
        view.listRound = listRound;
        int zone = entry.zone >= 0 && entry.zone < settings.zones ? entry.zone : settings.zones;
        if (view.indexed && zone != view.zone) {
            pools[view.zone].remove(view);
        }
        view.zone = zone;
        view.kind = entry.kind;
        view.peers = kindOf(entry);
        view.crowd = crowds.computeIfAbsent((long) entry.kind << 32 | entry.zone, key -> new ZoneLoad());
        view.cell = entry.cell;
        view.classes = entry.classes;
        view.abilities = entry.abilities;
        view.startedAt = Math.max(view.startedAt, entry.startedAt);
        if (entry.state != view.state) {
            view.state = entry.state;
            closeIdle(view);
        }
        view.peers.sizeSeen = Math.max(view.peers.sizeSeen, entry.weight);
        // No report comes from a zone without jobs: held empty, it would draw all blocked jobs at once.
        // A core is taken for a slot. A weight of nothing would spoil the mean for good.
        if (settings.weights == WeightSource.LIVE
                && view.zone != settings.zone
                && now >= view.warmAt
                && entry.weight > 0) {
            view.crowd.reported(view.peers.sizeSeen / entry.weight - 1, now);
        }
        admit(view);
    }

    private void admit(WorkerView view) {
        double since = view.coldSince();
        view.warmAt = since > 0 ? since + settings.coldFor : Double.NEGATIVE_INFINITY;
        if (view.isEligible() && !view.indexed && view.zone < settings.zones) {
            pools[view.zone].add(view);
        }
    }

    /** Drops from the pools those that drain, are gone or set down; forgets the gone with nothing out. */
    private void index() {
        for (Pool pool : pools) {
            for (int i = pool.count - 1; i >= 0; i--) {
                if (!pool.ready[i].isEligible()) {
                    pool.remove(pool.ready[i]);
                }
            }
        }
        views.values().removeIf(this::forgettable);
    }

    /** Not while its cold budget is partly spent: a list that flaps would let it be spent twice. */
    private boolean forgettable(WorkerView view) {
        return view.state == State.GONE
                && view.ownCount == 0
                && !view.down
                && now >= view.warmAt
                && view.coldLog.since(now - settings.fallWithin) == 0;
    }

    /** Workers of a kind registered with different sizes are not alike: each size learns for itself. */
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
     * Asks workers that the job may go to for reports, in turn; returns how many. Probing every worker all
     * the time would cost a large fleet more than its jobs do: what is asked follows from own traffic.
     */
    private int refresh(Job job, Pool pool) {
        int asked = 0;
        boolean may = settings.reports != ReportSource.NONE && settings.mayProbe;
        for (int i = 0; i < pool.count && asked < PROBES_EACH && may; i++) {
            WorkerView view = pool.next();
            if (runs(view, job) && now - Math.max(view.probedAt, view.reportAt) >= PROBE_EVERY) {
                view.probedAt = now;
                out.probe(view.id);
                asked++;
            }
        }
        return asked;
    }

    /** In a large pool hardly a report is fresh when a job comes: it waits a moment for those it asks for. */
    private boolean held(Job job) {
        int home = homeZone(job);
        if (home >= 0 && settings.reports == ReportSource.PROBES) {
            await(job, refresh(job, pools[home]));
        }
        return job.awaited > 0;
    }

    private void await(Job job, int reports) {
        job.awaited = reports;
        if (reports > 0) {
            job.heldAt = now;
            held.add(job);
            out.wake(REPORT_WAIT, REPORTS_OVERDUE);
        }
    }

    /** Places the held jobs that have all reports asked for, with the one now here, or waited long enough. */
    private void placeHeld(double askedAt) {
        for (int i = held.size(); i > 0; i--) {
            Job job = held.poll();
            if (job.heldAt == askedAt) {
                job.awaited--;
            }
            if (job.awaited == 0 || now >= job.heldAt + REPORT_WAIT - settings.tick / 2) {
                job.awaited = 0;
                place(job);
            } else {
                held.add(job);
            }
        }
    }

    // ---- book-keeping ----

    private void clock(double at) {
        now = Math.max(now, at);
    }

    private Job open(Request request) {
        // No worker ends in time what runs longer than its class waits: as told, one absurd hint would spoil
        // the mean for hundreds of jobs, and all workers would look full.
        JobClass type = settings.classes[request.jobClass];
        double call = request.deadline - LAST_CALL_TICKS * settings.tick;
        double aim = Math.min(type.aim / Math.max(0, 1 - IN_TIME * type.stretch), call - now);
        double guess =
                Math.min(meanHint.mean() > 0 ? meanHint.mean() : 1, UNHINTED_PART * Math.max(settings.tick, aim));
        double hint = Math.min(request.hint > 0 ? request.hint : guess, type.deadline);
        meanHint.add(hint);
        return jobs.open(request.id).open(request, settings, shares, now, call, hint);
    }

    private void settle(Attempt attempt, Outcome outcome) {
        attempt.outstanding = false;
        // Where workers also shed what they had begun, a repeat after 'full' could be a second effect.
        attempt.mayHaveRun = !outcome.neverRan || outcome == Outcome.FULL && settings.fullMayHaveRun;
        attempt.job.outstanding--;
        WorkerView view = attempt.view;
        view.remove(attempt);
        boolean told = !Double.isNaN(attempt.startedAt);
        if (outcome == Outcome.OK && (told || !settings.tellsStart) && now >= view.warmAt) {
            double took = told ? Math.min(now, attempt.answeredAt) - attempt.startedAt : times.run(attempt, now);
            view.peers.ran(attempt.job.hint, took);
            view.ran(attempt.job.hint, took);
        }
    }
}
