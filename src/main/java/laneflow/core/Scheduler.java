package laneflow.core;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import laneflow.decision.Dispatch;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.Group;
import laneflow.decision.Dispatch.JobClass;
import laneflow.decision.Dispatch.ListKind;
import laneflow.decision.Dispatch.LoadReport;
import laneflow.decision.Dispatch.Note;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Logic;
import laneflow.decision.Refusal;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The core: the life of every request, whichever wire it came on. It reports events to the module, carries
 * out the module's actions, and holds the rules itself whatever is asked of it: one final answer, one
 * attempt at a time, none to an endpoint later than the grace after the word of its drain, no
 * repeat of what may have run. Not thread-safe: one thread owns it.
 */
public final class Scheduler {
    private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);
    /** What {@link #countsByClass} counts of each class. */
    public static final int ACCEPTED = 0;

    public static final int FAILED = 1;
    public static final int CONNECT_FAILED = 2;
    public static final int REFUSED = 3;
    public static final int COUNTS_PER_CLASS = 4;
    /** So long, in microseconds, a request waits for a policy that is about to begin; no longer. */
    private static final long MAX_HOLD_MICROS = 10_000;

    /**
     * The process may be held up for so long, in microseconds, between reading its clock and writing. Deadlines and
     * windows have slack for that by the operators' page; the grace of a drain has to cover it.
     */
    private static final long MAX_STALL_MICROS = 150_000;

    private final Settings settings;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Counters counters;
    private final ModuleActions actions;
    private final Dispatch module;
    private final EndpointSet endpoints = new EndpointSet();
    private final SlotTable<Request> requests = new SlotTable<>();
    private final SlotTable<Attempt> attempts = new SlotTable<>();
    /** Events that came up while the module was at work: it must not be called from its own actions. */
    private final ArrayDeque<Runnable> pendingEvents = new ArrayDeque<>();

    private final Dispatch.Request requestView = new Dispatch.Request();
    private final ArrivalRate arrivalRate = new ArrivalRate();
    private final OwnerThread owner = new OwnerThread();
    private boolean dispatching;
    private int epoch;
    /** Null where nobody else has a say. */
    private AdmissionGate admissionGate;
    /** Endpoints that the policy in force bans, beside those that operators have set down here. */
    private volatile Set<String> banned = Set.of();

    private final long[][] countsByClass;
    /** Null where nobody listens. */
    private AttemptListener attemptListener;

    public Scheduler(Settings settings, long seed, Clock clock, Deadlines deadlines, Counters counters) {
        this.settings = settings;
        this.clock = clock;
        this.deadlines = deadlines;
        this.counters = counters;
        actions = new ModuleActions();
        module = new Logic(settings, seed, actions);
        countsByClass = new long[settings.classes.length][COUNTS_PER_CLASS];
    }

    /** Starts with the list of endpoints last held, or an empty one. */
    public void start(Connector connector, List<EndpointSet.Entry> known) {
        dispatch(() -> module.start(now()));
        List<Dispatch.Worker> workers = endpoints.apply(connector, true, known, clock.micros());
        dispatch(() -> module.list(now(), ListKind.CACHED, workers));
    }

    /** A source's word on its endpoints: changes, or all that it has. */
    public void list(Connector connector, boolean fullList, List<EndpointSet.Entry> entries) {
        list(connector, fullList, entries, clock.micros());
    }

    /**
     * The same, learned late.
     *
     * @param notifiedAt since when, in microseconds of the clock, it may count as told: the grace of a drain runs
     *     from there
     */
    public void list(Connector connector, boolean fullList, List<EndpointSet.Entry> entries, long notifiedAt) {
        List<Dispatch.Worker> changes = endpoints.apply(connector, fullList, entries, notifiedAt);
        if (!changes.isEmpty()) {
            dispatch(() -> module.list(now(), ListKind.CHANGES, changes));
            // Replaced endpoints come under new names: kept, the old ones would pile up with every release.
            dispatch(() -> endpoints.removeGone(changes));
        }
    }

    /** Operators want nothing more sent there, whatever lists say; repeats change nothing. */
    public void setDown(String name) {
        endpoints.setDown(name, true);
        dispatch(() -> module.setDown(now(), Endpoint.stableId(name)));
    }

    /** This process is that part of the scheduler; the rest is another process's that it takes over from. */
    public void setShare(double share) {
        dispatch(() -> module.share(now(), share));
    }

    /** The endpoint is to be used again. */
    public void setUp(String name) {
        endpoints.setDown(name, false);
        if (!banned.contains(name)) {
            dispatch(() -> module.setUp(now(), Endpoint.stableId(name)));
        }
    }

    /** Exactly these are banned from now on, besides those that are set down; calls that are out go on. */
    public void ban(Set<String> names) {
        Set<String> before = banned;
        banned = Set.copyOf(names);
        for (String name : names) {
            if (!before.contains(name)) {
                dispatch(() -> module.setDown(now(), Endpoint.stableId(name)));
            }
        }
        for (String name : before) {
            Endpoint returning = names.contains(name) ? null : endpoints.get(name);
            if (returning != null) {
                // What was known of it before says nothing of what comes back.
                returning.connectFailures = 0;
            }
            if (!names.contains(name) && !endpoints.downNames().contains(name)) {
                dispatch(() -> module.setUp(now(), Endpoint.stableId(name)));
            }
        }
    }

    /** Those that are banned so; on any thread. */
    public Set<String> banned() {
        return banned;
    }

    /** Those of them to which a call is out still. */
    public Set<String> bannedWithOpenAttempts() {
        Set<String> names = new HashSet<>();
        if (!banned.isEmpty()) {
            attempts.forEach(attempt -> {
                if (banned.contains(attempt.endpoint.name)) {
                    names.add(attempt.endpoint.name);
                }
            });
        }
        return names;
    }

    /** Endpoints to which the last so many calls came to no connection, or more. */
    public Set<String> unreachable(int minFailures) {
        Set<String> names = new HashSet<>();
        endpoints.forEach(endpoint -> {
            if (endpoint.connectFailures >= minFailures && !banned.contains(endpoint.name)) {
                names.add(endpoint.name);
            }
        });
        return names;
    }

    /**
     * Adds the slots of all requests that are open to what is there, by tenant and class; the last row is
     * that of those whose tenant is not known.
     */
    public void addDemand(double[][] totals) {
        requests.forEach(request ->
                totals[request.tenant < 0 ? totals.length - 1 : request.tenant][request.jobClass] += request.slots);
    }

    /** Hears of every call that goes out, and of its end behind the module. */
    public interface AttemptListener {
        void sent(Endpoint endpoint);

        void ended(Endpoint endpoint, Outcome outcome, LoadReport report);
    }

    public void setAttemptListener(AttemptListener listener) {
        attemptListener = listener;
    }

    /** Another scheduler's report of an endpoint, so many seconds old and newer than any own one. */
    public void reportFromPeer(long endpoint, double ageSeconds, LoadReport report) {
        LoadReport copy = new LoadReport();
        copy.freeSlots = report.freeSlots;
        copy.queue = report.queue;
        dispatch(() -> module.probed(now(), endpoint, ageSeconds, Outcome.MOOT, copy));
    }

    /** From now on requests are decided on only while it lets them be. */
    public void setAdmissionGate(AdmissionGate gate) {
        admissionGate = gate;
    }

    /**
     * A whole set of a source, to be prepared in steps and then adopted at once.
     *
     * @param names the names of all entries
     */
    public StagedUpdate stageUpdate(Connector connector, List<EndpointSet.Entry> entries, Set<String> names) {
        return new StagedUpdate(this, endpoints, connector, entries, names);
    }

    /**
     * What may change of the settings has changed; requests that are open keep what they came under. Returns
     * the number that those to come carry ({@link Request#epoch}).
     */
    public int settingsChanged() {
        dispatch(module::retuned);
        return ++epoch;
    }

    /** Counts by class since the start; the array is the core's own and changes. */
    public long[][] countsByClass() {
        return countsByClass;
    }

    public EndpointSet endpoints() {
        return endpoints;
    }

    public Settings settings() {
        return settings;
    }

    public Counters counters() {
        return counters;
    }

    /** Requests taken that have no answer yet. */
    public int openRequests() {
        return requests.size();
    }

    // ---- from fronts ----

    /** Takes a request in; the answer may come before this returns. */
    public void submit(Request request) {
        if (admissionGate != null && !admissionGate.mayDecide()) {
            long wait = admissionGate.microsUntilOpen();
            if (wait <= MAX_HOLD_MICROS && !request.held) {
                // It is about to decide: turned away, a client would be away for longer than that takes.
                request.held = true;
                counters.add(request.front.name() + ".held");
                deadlines.at(clock.micros() + wait, () -> {
                    if (!request.answered) {
                        submit(request);
                    }
                });
                return;
            }
            request.answered = true;
            // It came under no state of the settings: nothing decided on it.
            request.epoch = -1;
            counters.add(request.front.name() + ".fenced");
            request.front.refused(request.tag, admissionGate.retryAfter());
            return;
        }
        request.held = false;
        request.handle = requests.add(request);
        request.acceptedAt = clock.micros();
        request.type = settings.classes[request.jobClass];
        request.maxAttempts = settings.maxAttempts;
        request.epoch = epoch;
        if (!request.front.usesLeases()) {
            // Durable jobs come as there is room for them: they show nothing of who is away.
            arrivalRate.add(request.acceptedAt);
        }
        counters.add(request.front.name() + ".taken");
        countsByClass[request.jobClass][ACCEPTED]++;
        // The module answers in time by itself; this catches what would otherwise stay without an answer.
        request.backstop = deadlines.at(request.deadline, () -> deadlinePassed(request));
        dispatch(() -> {
            request.copyTo(requestView);
            module.request(now(), requestView);
        });
    }

    /** The client has left: its request is withdrawn. */
    public void withdraw(Request request) {
        if (request.answered) {
            return;
        }
        counters.add(request.front.name() + ".withdrawn");
        if (request.held) {
            request.answered = true;
            return;
        }
        finish(request);
        dispatch(() -> module.abandoned(now(), request.handle));
        closeUnsent(request);
    }

    /**
     * Nobody waits for the request any more: its call is closed unless its endpoint has the whole of it. That
     * is no cancelling of work, and so not a matter of whether the settings allow it.
     */
    private void closeUnsent(Request request) {
        Attempt attempt = request.openAttempt;
        if (attempt != null && attempt.endpoint.connector.closeUnsent(attempt)) {
            endIfOpen(attempt, Outcome.MOOT);
        }
    }

    /** No call outlives its request's deadline: with cancelling off, a silent endpoint would hold it on. */
    private void deadlinePassed(Request request) {
        if (!request.answered) {
            counters.add("core.overdue");
        }
        Attempt attempt = request.openAttempt;
        if (attempt != null) {
            close(attempt, Outcome.TIMEOUT);
        }
        if (!request.answered) {
            dispatch(() -> module.abandoned(now(), request.handle));
            if (request.mayHaveRun()) {
                answerFailed(request);
            } else {
                actions.refuse(request.handle, settings.retryAfter ? settings.tick : 0);
            }
        }
    }

    /** True if requests have grown much of late, as where a sibling is away and its clients came here. */
    public boolean hasArrivalSurge() {
        return arrivalRate.isSurge(clock.micros());
    }

    /** Gives up what was taken since then and is still open: clients hear so, and may go elsewhere. */
    public void abandonSince(long instant) {
        requests.forEach(request -> {
            if (request.acceptedAt >= instant) {
                abandon(request);
            }
        });
    }

    private void abandon(Request request) {
        counters.add("core.given_up");
        dispatch(() -> module.abandoned(now(), request.handle));
        Attempt attempt = request.openAttempt;
        if (attempt != null) {
            close(attempt, Outcome.CANCELLED);
        }
        actions.refuse(request.handle, settings.retryAfter ? settings.tick : 0);
    }

    // ---- from connectors ----

    /**
     * Whether a call's first byte, or its last one where that was held back, may go out at this instant: the
     * connection may have come up late, or the call may have waited to be grabbed.
     */
    public boolean maySend(Attempt attempt) {
        String reason = blockReasonNow(attempt);
        if (reason != null) {
            counters.add("core.kept." + reason);
        }
        return reason == null;
    }

    /** What has come to speak against a call since it was decided on; null if nothing has. */
    private String blockReasonNow(Attempt attempt) {
        if (attempts.get(attempt.handle) != attempt || attempt.request.answered) {
            // Its client has left or has its answer.
            return "answered";
        }
        // In the turn of the decision that was looked at before it.
        if (attempt.sentAt != clock.micros() && attempt.request.front.hasLeft(attempt.request.tag)) {
            return "left";
        }
        if (!maySend(attempt.endpoint)) {
            return "drain";
        }
        if (clock.currentMicros() >= attempt.request.deadline) {
            return "spent";
        }
        return mayRepeat(attempt.request) ? null : "effect";
    }

    /** Sends a call whose lease is on record; false if it has ended meanwhile. */
    public boolean sendLeased(Attempt attempt) {
        boolean open = attempts.get(attempt.handle) == attempt;
        if (open) {
            attempt.endpoint.connector.open(attempt);
        }
        return open;
    }

    /**
     * A call's lease has run out. What must not run twice is listened to on: its endpoint's late word is all
     * that can still settle it.
     */
    public void leaseExpired(Attempt attempt) {
        if (attempts.get(attempt.handle) == attempt) {
            counters.add("lease.expired");
            if (attempt.request.type.effect != Effect.UNSAFE) {
                attempt.endpoint.connector.close(attempt);
            }
            endIfOpen(attempt, Outcome.TIMEOUT);
        }
    }

    /** The endpoint is at it still. */
    public void stillRunning(Attempt attempt) {
        if (attempts.get(attempt.handle) == attempt && attempt.request.front.usesLeases()) {
            attempt.request.front.stillRunning(attempt);
        }
    }

    private boolean maySend(Endpoint endpoint) {
        long grace = Math.max(0, (long) (settings.drainGrace * 1e6) - MAX_STALL_MICROS);
        return !isDown(endpoint)
                && (endpoint.drainNotifiedAt == Long.MAX_VALUE
                        || clock.currentMicros() < endpoint.drainNotifiedAt + grace);
    }

    /** True if operators want nothing sent there: what was about to go there goes elsewhere. */
    public boolean isDown(Endpoint endpoint) {
        return endpoints.isDown(endpoint) || banned.contains(endpoint.name);
    }

    private boolean mayRepeat(Request request) {
        JobClass type = request.type;
        return !request.mayHaveRun()
                || type.effect == Effect.SAFE
                || type.effect == Effect.KEYED
                        && clock.currentMicros() < request.firstMayHaveRunAt() + (long) (type.window * 1e6);
    }

    /** The endpoint has started on it. */
    public void started(Attempt attempt) {
        counters.add("call.started");
        reportNote(attempt, Note.STARTED, 0);
        stillRunning(attempt);
        if (!attempt.request.answered) {
            attempt.request.front.started(attempt.request.tag);
        }
    }

    /** The endpoint has done a part of it. */
    public void progress(Attempt attempt, long done, long total) {
        reportNote(attempt, Note.PROGRESS, total > 0 ? Math.min(1, Math.max(0, (double) done / total)) : 0);
        stillRunning(attempt);
        if (!attempt.request.answered) {
            attempt.request.front.progress(attempt.request.tag, done, total);
        }
    }

    /** The first bytes of its final line have come and the rest has not: the endpoint has done the job. */
    public void answering(Attempt attempt) {
        counters.add("call.answering");
        reportNote(attempt, Note.ANSWERING, 0);
    }

    private void reportNote(Attempt attempt, Note note, double share) {
        if (attempts.get(attempt.handle) == attempt) {
            dispatch(
                    () -> module.note(now(), attempt.request.handle, attempt.number, attempt.endpoint.id, note, share));
        }
    }

    /** How a call ended; the result only where it was served. One that has ended already is passed over. */
    public void ended(Attempt attempt, Outcome outcome, byte[] result, LoadReport report) {
        Request request = attempt.request;
        if (attempts.get(attempt.handle) != attempt) {
            if (request.front.usesLeases()) {
                request.front.lateOutcome(attempt, outcome, result);
            }
            return;
        }
        remove(attempt);
        counters.add("call." + outcome.name().toLowerCase(Locale.ROOT));
        if (outcome == Outcome.CONNECT_FAILED) {
            countsByClass[request.jobClass][CONNECT_FAILED]++;
            attempt.endpoint.connectFailures++;
        } else if (outcome != Outcome.MOOT) {
            attempt.endpoint.connectFailures = 0;
        }
        if (mayHaveRun(outcome)) {
            request.markMayHaveRun(attempt.sentAt);
        }
        request.forwarded |= outcome != Outcome.CONNECT_FAILED && outcome != Outcome.MOOT;
        if (request.front.usesLeases()) {
            request.front.attemptEnded(attempt, outcome);
        }
        boolean answered = request.answered;
        if (outcome == Outcome.OK && !answered) {
            answered = true;
            counters.add(request.front.name() + ".served");
            finish(request);
            request.front.served(request.tag, result);
        }
        reportOutcome(attempt, outcome, answered, report);
        if (attemptListener != null) {
            attemptListener.ended(attempt.endpoint, outcome, report);
        }
    }

    /** True unless a call that ended so has not run for certain: these settings may have begun work shed. */
    public boolean mayHaveRun(Outcome outcome) {
        return !outcome.neverRan || outcome == Outcome.FULL && settings.fullMayHaveRun;
    }

    /** How a probe ended. */
    public void probed(Endpoint endpoint, double seconds, Outcome outcome, LoadReport report) {
        counters.add("probe." + outcome.name().toLowerCase(Locale.ROOT));
        dispatch(() -> module.probed(now(), endpoint.id, seconds, outcome, report));
    }

    /** Gives a call up, which ended so unless its endpoint never had the whole of it; true if that is so. */
    private boolean close(Attempt attempt, Outcome outcome) {
        boolean unsent = attempt.endpoint.connector.close(attempt);
        endIfOpen(attempt, unsent ? Outcome.MOOT : outcome);
        return unsent;
    }

    /** A connector that is told to close a call may find its answer there, and tell of that first. */
    private void endIfOpen(Attempt attempt, Outcome outcome) {
        if (attempts.get(attempt.handle) == attempt) {
            ended(attempt, outcome, null, null);
        }
    }

    private void remove(Attempt attempt) {
        attempts.remove(attempt.handle);
        if (attempt.request.openAttempt == attempt) {
            attempt.request.openAttempt = null;
        }
        if (attempt.request.answered) {
            deadlines.cancel(attempt.request.backstop);
        }
    }

    private void reportOutcome(Attempt attempt, Outcome outcome, boolean answered, LoadReport report) {
        long id = attempt.request.handle;
        dispatch(() -> module.outcome(now(), id, attempt.number, attempt.endpoint.id, outcome, answered, report));
    }

    // ---- answers ----

    private void finish(Request request) {
        request.answered = true;
        if (request.openAttempt == null) {
            deadlines.cancel(request.backstop);
        }
        requests.remove(request.handle);
    }

    private void answerFailed(Request request) {
        finish(request);
        closeUnsent(request);
        counters.add(request.front.name() + ".failed");
        if (!request.forwarded) {
            counters.add("clients.failed_unsent");
        }
        countsByClass[request.jobClass][FAILED]++;
        request.front.failed(request.tag);
    }

    // ---- the module's turn ----

    private double now() {
        return Clock.seconds(clock.micros());
    }

    private void dispatch(Runnable event) {
        assert owner.isCurrent() : "the core is its loop's own";
        pendingEvents.add(event);
        if (dispatching) {
            return;
        }
        dispatching = true;
        try {
            for (Runnable next = pendingEvents.poll(); next != null; next = pendingEvents.poll()) {
                next.run();
            }
        } finally {
            dispatching = false;
        }
    }

    private final class ModuleActions implements Dispatch.Actions {
        @Override
        public void send(long id, int number, long worker) {
            Request request = requests.get(id);
            Endpoint endpoint = endpoints.get(worker);
            if (request == null || endpoint == null) {
                counters.add("core.kept.unknown");
                dispatch(() -> module.outcome(now(), id, number, worker, Outcome.MOOT, request == null, null));
                return;
            }
            Attempt attempt = new Attempt(request, endpoint, number, clock.micros());
            if (request.attemptCount > 0 && request.front.hasLeft(request.tag)) {
                // Its end may lie unread behind what brought this turn, which a stall can have made late.
                counters.add("core.kept.left");
                withdraw(request);
                reportOutcome(attempt, Outcome.MOOT, true, null);
                return;
            }
            request.attemptCount++;
            String reason = blockReason(request, endpoint);
            if (reason != null) {
                counters.add("core.kept." + reason);
                LOG.warn("{} to {} not sent: {}", request.payload.requestId(), endpoint, reason);
                reportOutcome(attempt, Outcome.MOOT, false, null);
                return;
            }
            request.openAttempt = attempt;
            attempt.handle = attempts.add(attempt);
            counters.add("call.sent");
            if (attemptListener != null) {
                attemptListener.sent(endpoint);
            }
            if (request.front.usesLeases()) {
                request.front.recordLease(attempt);
            } else {
                endpoint.connector.open(attempt);
            }
        }

        /** What speaks against this call, whatever the module wants; null if nothing does. */
        private String blockReason(Request request, Endpoint endpoint) {
            if (request.openAttempt != null) {
                return "second_call";
            }
            if (!maySend(endpoint)) {
                return "drain";
            }
            if (clock.micros() >= request.deadline || request.attemptCount > request.maxAttempts) {
                return "spent";
            }
            return mayRepeat(request) ? null : "effect";
        }

        @Override
        public void refuse(long id, double retryAfter) {
            Request request = requests.get(id);
            if (request == null) {
                return;
            }
            // A refusal asks the client back: what may have run must not be asked for again.
            JobClass type = request.type;
            boolean elsewhere = type.effect == Effect.KEYED && type.group != Group.ALL && request.mayHaveRun();
            if (elsewhere || !mayRepeat(request)) {
                counters.add("core.kept.refusal");
                answerFailed(request);
                return;
            }
            finish(request);
            closeUnsent(request);
            counters.add(request.front.name() + ".refused");
            countsByClass[request.jobClass][REFUSED]++;
            request.front.refused(request.tag, retryAfter);
        }

        @Override
        public void turnedAway(long id, Refusal refusal) {
            counters.add("turned_away." + refusal.reason().name().toLowerCase(Locale.ROOT));
            Request request = requests.get(id);
            if (LOG.isDebugEnabled() && request != null) {
                LOG.debug("{} turned away: {}", request.payload.requestId(), refusal);
            }
        }

        @Override
        public void fail(long id) {
            Request request = requests.get(id);
            if (request != null) {
                answerFailed(request);
            }
        }

        @Override
        public boolean cancel(long id, int number) {
            boolean[] unsent = new boolean[1];
            // An answered request is off the table, but the call of one that was withdrawn is still out.
            attempts.forEach(attempt -> {
                if (attempt.request.handle == id && attempt.number == number) {
                    unsent[0] = close(attempt, Outcome.CANCELLED);
                }
            });
            return unsent[0];
        }

        @Override
        public void probe(long worker) {
            Endpoint endpoint = endpoints.get(worker);
            if (endpoint != null) {
                counters.add("probe.sent");
                endpoint.connector.probe(endpoint);
            }
        }

        @Override
        public void closeIdle(long worker) {
            Endpoint endpoint = endpoints.get(worker);
            if (endpoint != null) {
                endpoint.connector.closeIdle(endpoint);
            }
        }

        @Override
        public void wake(double delay, long token) {
            long at = clock.micros() + (long) Math.ceil(delay * 1e6);
            deadlines.at(at, () -> dispatch(() -> module.timer(now(), token)));
        }

        @Override
        public void watchList() {
            // The sources of the endpoint set watch by themselves.
        }
    }
}
