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
    private static final long MOST_HELD = 10_000;

    /**
     * The process may be held up for so long, in microseconds, between reading its clock and writing. Deadlines and
     * windows have slack for that by the operators' page; the grace of a drain has to cover it.
     */
    private static final long HELD_UP = 150_000;

    private final Settings settings;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Counters counters;
    private final Doer doer;
    private final Dispatch module;
    private final EndpointSet endpoints = new EndpointSet();
    private final SlotTable<Request> requests = new SlotTable<>();
    private final SlotTable<Attempt> calls = new SlotTable<>();
    /** Events that came up while the module was at work: it must not be called from its own actions. */
    private final ArrayDeque<Runnable> events = new ArrayDeque<>();

    private final Dispatch.Request told = new Dispatch.Request();
    private final Arrivals arrivals = new Arrivals();
    private final Owner owner = new Owner();
    private boolean atWork;
    private int epoch;
    /** Null where nobody else has a say. */
    private AdmissionGate gate;
    /** Endpoints that the policy in force bans, beside those that operators have set down here. */
    private volatile Set<String> banned = Set.of();

    private final long[][] countsByClass;
    /** Null where nobody listens. */
    private AttemptListener ear;

    public Scheduler(Settings settings, long seed, Clock clock, Deadlines deadlines, Counters counters) {
        this.settings = settings;
        this.clock = clock;
        this.deadlines = deadlines;
        this.counters = counters;
        doer = new Doer();
        module = new Logic(settings, seed, doer);
        countsByClass = new long[settings.classes.length][COUNTS_PER_CLASS];
    }

    /** Starts with the list of endpoints last held, or an empty one. */
    public void start(Connector connector, List<EndpointSet.Entry> known) {
        event(() -> module.start(now()));
        List<Dispatch.Worker> workers = endpoints.apply(connector, true, known, clock.micros());
        event(() -> module.list(now(), ListKind.CACHED, workers));
    }

    /** A source's word on its endpoints: changes, or all that it has. */
    public void list(Connector connector, boolean whole, List<EndpointSet.Entry> entries) {
        list(connector, whole, entries, clock.micros());
    }

    /**
     * The same, learned late.
     *
     * @param toldAt since when, in microseconds of the clock, it may count as told: the grace of a drain runs
     *     from there
     */
    public void list(Connector connector, boolean whole, List<EndpointSet.Entry> entries, long toldAt) {
        List<Dispatch.Worker> changes = endpoints.apply(connector, whole, entries, toldAt);
        if (!changes.isEmpty()) {
            event(() -> module.list(now(), ListKind.CHANGES, changes));
            // Replaced endpoints come under new names: kept, the old ones would pile up with every release.
            event(() -> endpoints.forgetGone(changes));
        }
    }

    /** Operators want nothing more sent there, whatever lists say; repeats change nothing. */
    public void setDown(String name) {
        endpoints.down(name, true);
        event(() -> module.setDown(now(), Endpoint.stableId(name)));
    }

    /** This process is that part of the scheduler; the rest is another process's that it takes over from. */
    public void setShare(double part) {
        event(() -> module.share(now(), part));
    }

    /** The endpoint is to be used again. */
    public void setUp(String name) {
        endpoints.down(name, false);
        if (!banned.contains(name)) {
            event(() -> module.setUp(now(), Endpoint.stableId(name)));
        }
    }

    /** Exactly these are banned from now on, besides those that are set down; calls that are out go on. */
    public void ban(Set<String> names) {
        Set<String> before = banned;
        banned = Set.copyOf(names);
        for (String name : names) {
            if (!before.contains(name)) {
                event(() -> module.setDown(now(), Endpoint.stableId(name)));
            }
        }
        for (String name : before) {
            Endpoint back = names.contains(name) ? null : endpoints.get(name);
            if (back != null) {
                // What was known of it before says nothing of what comes back.
                back.unreached = 0;
            }
            if (!names.contains(name) && !endpoints.downNames().contains(name)) {
                event(() -> module.setUp(now(), Endpoint.stableId(name)));
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
            calls.forEach(call -> {
                if (banned.contains(call.endpoint.name)) {
                    names.add(call.endpoint.name);
                }
            });
        }
        return names;
    }

    /** Endpoints to which the last so many calls came to no connection, or more. */
    public Set<String> unreachable(int least) {
        Set<String> names = new HashSet<>();
        endpoints.forEach(endpoint -> {
            if (endpoint.unreached >= least && !banned.contains(endpoint.name)) {
                names.add(endpoint.name);
            }
        });
        return names;
    }

    /**
     * Adds the slots of all requests that are open to what is there, by tenant and class; the last row is
     * that of those whose tenant is not known.
     */
    public void addDemand(double[][] to) {
        requests.forEach(
                request -> to[request.tenant < 0 ? to.length - 1 : request.tenant][request.jobClass] += request.slots);
    }

    /** Hears of every call that goes out, and of its end behind the module. */
    public interface AttemptListener {
        void sent(Endpoint endpoint);

        void ended(Endpoint endpoint, Outcome outcome, LoadReport report);
    }

    public void setAttemptListener(AttemptListener by) {
        ear = by;
    }

    /** Another scheduler's report of an endpoint, so many seconds old and newer than any own one. */
    public void reportFromPeer(long endpoint, double age, LoadReport report) {
        LoadReport copy = new LoadReport();
        copy.freeSlots = report.freeSlots;
        copy.queue = report.queue;
        event(() -> module.probed(now(), endpoint, age, Outcome.MOOT, copy));
    }

    /** From now on requests are decided on only while it lets them be. */
    public void setAdmissionGate(AdmissionGate condition) {
        gate = condition;
    }

    /**
     * A whole set of a source, to be prepared in steps and then adopted at once.
     *
     * @param named the names of all entries
     */
    public StagedUpdate stageUpdate(Connector connector, List<EndpointSet.Entry> entries, Set<String> named) {
        return new StagedUpdate(this, endpoints, connector, entries, named);
    }

    /**
     * What may change of the settings has changed; requests that are open keep what they came under. Returns
     * the number that those to come carry ({@link Request#epoch}).
     */
    public int settingsChanged() {
        event(module::retuned);
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
        if (gate != null && !gate.mayDecide()) {
            long within = gate.microsUntilOpen();
            if (within <= MOST_HELD && !request.held) {
                // It is about to decide: turned away, a client would be away for longer than that takes.
                request.held = true;
                counters.add(request.front.name() + ".held");
                deadlines.at(clock.micros() + within, () -> {
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
            request.front.refused(request.tag, gate.retryAfter());
            return;
        }
        request.held = false;
        request.handle = requests.add(request);
        request.takenAt = clock.micros();
        request.type = settings.classes[request.jobClass];
        request.mostCalls = settings.maxAttempts;
        request.epoch = epoch;
        if (!request.front.usesLeases()) {
            // Durable jobs come as there is room for them: they show nothing of who is away.
            arrivals.add(request.takenAt);
        }
        counters.add(request.front.name() + ".taken");
        countsByClass[request.jobClass][ACCEPTED]++;
        // The module answers in time by itself; this catches what would otherwise stay without an answer.
        request.backstop = deadlines.at(request.deadline, () -> overdue(request));
        event(() -> {
            request.fill(told);
            module.request(now(), told);
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
        close(request);
        event(() -> module.abandoned(now(), request.handle));
        closeUnsent(request);
    }

    /**
     * Nobody waits for the request any more: its call is closed unless its endpoint has the whole of it. That
     * is no cancelling of work, and so not a matter of whether the settings allow it.
     */
    private void closeUnsent(Request request) {
        Attempt call = request.out;
        if (call != null && call.endpoint.connector.closeUnsent(call)) {
            endUnlessEnded(call, Outcome.MOOT);
        }
    }

    /** No call outlives its request's deadline: with cancelling off, a silent endpoint would hold it on. */
    private void overdue(Request request) {
        if (!request.answered) {
            counters.add("core.overdue");
        }
        Attempt call = request.out;
        if (call != null) {
            close(call, Outcome.TIMEOUT);
        }
        if (!request.answered) {
            event(() -> module.abandoned(now(), request.handle));
            if (request.mayHaveRun()) {
                answerFailed(request);
            } else {
                doer.refuse(request.handle, settings.retryAfter ? settings.tick : 0);
            }
        }
    }

    /** True if requests have grown much of late, as where a sibling is away and its clients came here. */
    public boolean hasArrivalSurge() {
        return arrivals.surge(clock.micros());
    }

    /** Gives up what was taken since then and is still open: clients hear so, and may go elsewhere. */
    public void abandonSince(long instant) {
        requests.forEach(request -> {
            if (request.takenAt >= instant) {
                giveUp(request);
            }
        });
    }

    private void giveUp(Request request) {
        counters.add("core.given_up");
        event(() -> module.abandoned(now(), request.handle));
        Attempt call = request.out;
        if (call != null) {
            close(call, Outcome.CANCELLED);
        }
        doer.refuse(request.handle, settings.retryAfter ? settings.tick : 0);
    }

    // ---- from connectors ----

    /**
     * Whether a call's first byte, or its last one where that was held back, may go out at this instant: the
     * connection may have come up late, or the call may have waited to be grabbed.
     */
    public boolean maySend(Attempt call) {
        String kept = forbidsNow(call);
        if (kept != null) {
            counters.add("core.kept." + kept);
        }
        return kept == null;
    }

    /** What has come to speak against a call since it was decided on; null if nothing has. */
    private String forbidsNow(Attempt call) {
        if (calls.get(call.handle) != call || call.request.answered) {
            // Its client has left or has its answer.
            return "answered";
        }
        // In the turn of the decision that was looked at before it.
        if (call.sentAt != clock.micros() && call.request.front.hasLeft(call.request.tag)) {
            return "left";
        }
        if (!maySend(call.endpoint)) {
            return "drain";
        }
        if (clock.currentMicros() >= call.request.deadline) {
            return "spent";
        }
        return mayRepeat(call.request) ? null : "effect";
    }

    /** Sends a call whose lease is on record; false if it has ended meanwhile. */
    public boolean sendLeased(Attempt call) {
        boolean out = calls.get(call.handle) == call;
        if (out) {
            call.endpoint.connector.open(call);
        }
        return out;
    }

    /**
     * A call's lease has run out. What must not run twice is listened to on: its endpoint's late word is all
     * that can still settle it.
     */
    public void leaseExpired(Attempt call) {
        if (calls.get(call.handle) == call) {
            counters.add("lease.expired");
            if (call.request.type.effect != Effect.UNSAFE) {
                call.endpoint.connector.close(call);
            }
            endUnlessEnded(call, Outcome.TIMEOUT);
        }
    }

    /** The endpoint is at it still. */
    public void stillRunning(Attempt call) {
        if (calls.get(call.handle) == call && call.request.front.usesLeases()) {
            call.request.front.stillRunning(call);
        }
    }

    private boolean maySend(Endpoint endpoint) {
        long grace = Math.max(0, (long) (settings.drainGrace * 1e6) - HELD_UP);
        return !isDown(endpoint)
                && (endpoint.drainToldAt == Long.MAX_VALUE || clock.currentMicros() < endpoint.drainToldAt + grace);
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
                        && clock.currentMicros() < request.firstMayHaveRun() + (long) (type.window * 1e6);
    }

    /** The endpoint has started on it. */
    public void started(Attempt call) {
        counters.add("call.started");
        note(call, Note.STARTED, 0);
        stillRunning(call);
        if (!call.request.answered) {
            call.request.front.started(call.request.tag);
        }
    }

    /** The endpoint has done a part of it. */
    public void progress(Attempt call, long done, long of) {
        note(call, Note.PROGRESS, of > 0 ? Math.min(1, Math.max(0, (double) done / of)) : 0);
        stillRunning(call);
        if (!call.request.answered) {
            call.request.front.progress(call.request.tag, done, of);
        }
    }

    /** The first bytes of its final line have come and the rest has not: the endpoint has done the job. */
    public void answering(Attempt call) {
        counters.add("call.answering");
        note(call, Note.ANSWERING, 0);
    }

    private void note(Attempt call, Note note, double share) {
        if (calls.get(call.handle) == call) {
            event(() -> module.note(now(), call.request.handle, call.number, call.endpoint.id, note, share));
        }
    }

    /** How a call ended; the result only where it was served. One that has ended already is passed over. */
    public void ended(Attempt call, Outcome outcome, byte[] result, LoadReport report) {
        Request request = call.request;
        if (calls.get(call.handle) != call) {
            if (request.front.usesLeases()) {
                request.front.lateOutcome(call, outcome, result);
            }
            return;
        }
        release(call);
        counters.add("call." + outcome.name().toLowerCase(Locale.ROOT));
        if (outcome == Outcome.CONNECT_FAILED) {
            countsByClass[request.jobClass][CONNECT_FAILED]++;
            call.endpoint.unreached++;
        } else if (outcome != Outcome.MOOT) {
            call.endpoint.unreached = 0;
        }
        if (mayHaveRun(outcome)) {
            request.mayHaveRun(call.sentAt);
        }
        request.sentOn |= outcome != Outcome.CONNECT_FAILED && outcome != Outcome.MOOT;
        if (request.front.usesLeases()) {
            request.front.attemptEnded(call, outcome);
        }
        boolean over = request.answered;
        if (outcome == Outcome.OK && !over) {
            over = true;
            counters.add(request.front.name() + ".served");
            close(request);
            request.front.served(request.tag, result);
        }
        tell(call, outcome, over, report);
        if (ear != null) {
            ear.ended(call.endpoint, outcome, report);
        }
    }

    /** True unless a call that ended so has not run for certain: these settings may have begun work shed. */
    public boolean mayHaveRun(Outcome outcome) {
        return !outcome.neverRan || outcome == Outcome.FULL && settings.fullMayHaveRun;
    }

    /** How a probe ended. */
    public void probed(Endpoint endpoint, double took, Outcome outcome, LoadReport report) {
        counters.add("probe." + outcome.name().toLowerCase(Locale.ROOT));
        event(() -> module.probed(now(), endpoint.id, took, outcome, report));
    }

    /** Gives a call up, which ended so unless its endpoint never had the whole of it; true if that is so. */
    private boolean close(Attempt call, Outcome how) {
        boolean unsent = call.endpoint.connector.close(call);
        endUnlessEnded(call, unsent ? Outcome.MOOT : how);
        return unsent;
    }

    /** A connector that is told to close a call may find its answer there, and tell of that first. */
    private void endUnlessEnded(Attempt call, Outcome how) {
        if (calls.get(call.handle) == call) {
            ended(call, how, null, null);
        }
    }

    private void release(Attempt call) {
        calls.remove(call.handle);
        if (call.request.out == call) {
            call.request.out = null;
        }
        if (call.request.answered) {
            deadlines.cancel(call.request.backstop);
        }
    }

    private void tell(Attempt call, Outcome outcome, boolean over, LoadReport report) {
        long id = call.request.handle;
        event(() -> module.outcome(now(), id, call.number, call.endpoint.id, outcome, over, report));
    }

    // ---- answers ----

    private void close(Request request) {
        request.answered = true;
        if (request.out == null) {
            deadlines.cancel(request.backstop);
        }
        requests.remove(request.handle);
    }

    private void answerFailed(Request request) {
        close(request);
        closeUnsent(request);
        counters.add(request.front.name() + ".failed");
        if (!request.sentOn) {
            counters.add("clients.failed_unsent");
        }
        countsByClass[request.jobClass][FAILED]++;
        request.front.failed(request.tag);
    }

    // ---- the module's turn ----

    private double now() {
        return Clock.seconds(clock.micros());
    }

    private void event(Runnable event) {
        assert owner.isHere() : "the core is its loop's own";
        events.add(event);
        if (atWork) {
            return;
        }
        atWork = true;
        try {
            for (Runnable next = events.poll(); next != null; next = events.poll()) {
                next.run();
            }
        } finally {
            atWork = false;
        }
    }

    private final class Doer implements Dispatch.Actions {
        @Override
        public void send(long id, int attempt, long worker) {
            Request request = requests.get(id);
            Endpoint endpoint = endpoints.get(worker);
            if (request == null || endpoint == null) {
                counters.add("core.kept.unknown");
                event(() -> module.outcome(now(), id, attempt, worker, Outcome.MOOT, request == null, null));
                return;
            }
            Attempt call = new Attempt(request, endpoint, attempt, clock.micros());
            if (request.calls > 0 && request.front.hasLeft(request.tag)) {
                // Its end may lie unread behind what brought this turn, which a stall can have made late.
                counters.add("core.kept.left");
                withdraw(request);
                tell(call, Outcome.MOOT, true, null);
                return;
            }
            request.calls++;
            String kept = forbids(request, endpoint);
            if (kept != null) {
                counters.add("core.kept." + kept);
                LOG.warn("{} to {} not sent: {}", request.payload.requestId(), endpoint, kept);
                tell(call, Outcome.MOOT, false, null);
                return;
            }
            request.out = call;
            call.handle = calls.add(call);
            counters.add("call.sent");
            if (ear != null) {
                ear.sent(endpoint);
            }
            if (request.front.usesLeases()) {
                request.front.recordLease(call);
            } else {
                endpoint.connector.open(call);
            }
        }

        /** What speaks against this call, whatever the module wants; null if nothing does. */
        private String forbids(Request request, Endpoint endpoint) {
            if (request.out != null) {
                return "second_call";
            }
            if (!maySend(endpoint)) {
                return "drain";
            }
            if (clock.micros() >= request.deadline || request.calls > request.mostCalls) {
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
            boolean apart = type.effect == Effect.KEYED && type.group != Group.ALL && request.mayHaveRun();
            if (apart || !mayRepeat(request)) {
                counters.add("core.kept.refusal");
                answerFailed(request);
                return;
            }
            close(request);
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
            calls.forEach(call -> {
                if (call.request.handle == id && call.number == number) {
                    unsent[0] = close(call, Outcome.CANCELLED);
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
            deadlines.at(at, () -> event(() -> module.timer(now(), token)));
        }

        @Override
        public void watchList() {
            // The sources of the endpoint set watch by themselves.
        }
    }
}
