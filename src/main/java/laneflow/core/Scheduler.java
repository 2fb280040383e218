package laneflow.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
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
 * The core: handles every request from arrival to answer, whatever its protocol. It reports events to the
 * decision module, carries out the module's actions, and enforces these rules itself, whatever the module asks
 * for: one final answer, one attempt at a time, no attempt to an endpoint once the grace after the notice of its
 * drain has passed, and no repeat of a request that may have run unless its class allows it. Not thread-safe:
 * one thread owns it.
 */
public final class Scheduler {
    private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);
    /** Indices of the counts of a class in {@link #countsByClass}. */
    public static final int ACCEPTED = 0;

    public static final int FAILED = 1;
    public static final int CONNECT_FAILED = 2;
    public static final int REFUSED = 3;
    public static final int COUNTS_PER_CLASS = 4;
    /** The longest a request waits, in microseconds, for the admission gate to open. */
    private static final long MAX_HOLD_MICROS = 10_000;

    /**
     * How long the process may stall, in microseconds, between reading its clock and writing. Deadlines and key
     * windows have slack for such stalls; the grace of a drain has none, so this is subtracted from it.
     */
    private static final long MAX_STALL_MICROS = 150_000;

    /**
     * How long a client that was seen to be present counts as present, in microseconds: far less than the time after
     * its close in which an attempt may still begin.
     */
    private static final long CLIENT_SEEN_MICROS = 20_000;

    /** Why an attempt is not sent whose client can't be looked at now, as a counter's suffix. */
    private static final String CLIENT_UNSEEN = "unseen";

    /** Memory that the core, the module and a front need for an open request beside its body, roughly. */
    private static final long REQUEST_OVERHEAD_BYTES = 1024;

    /** When a client that was refused for lack of memory should come back, in seconds. */
    private static final double MEMORY_RETRY_AFTER = 0.5;

    private final Settings settings;
    private final Clock clock;
    private final Deadlines deadlines;
    private final Counters counters;
    private final ModuleActions actions;
    private final Dispatch module;
    private final EndpointSet endpoints = new EndpointSet();
    private final SlotTable<Request> requests = new SlotTable<>();
    private final SlotTable<Attempt> attempts = new SlotTable<>();
    /** Events raised while the module runs: it must not be called from its own actions. */
    private final ArrayDeque<Runnable> pendingEvents = new ArrayDeque<>();

    private final Dispatch.Request requestView = new Dispatch.Request();
    private final Arrivals arrivals = new Arrivals();
    private final OwnerThread owner = new OwnerThread();
    private boolean dispatching;
    private int epoch;
    /** Null if there is no gate: the scheduler always decides. */
    private AdmissionGate admissionGate;
    /** Bounds the memory of open requests. */
    private MessageMemory.Admission memory = new MessageMemory(Long.MAX_VALUE).openRequests();

    private RequestIds requestIds = new RequestIds(Integer.MAX_VALUE);
    /** Endpoints banned by the policy in force, apart from those that operators have set down here. */
    private volatile Set<String> banned = Set.of();

    private final long[][] countsByClass;
    /** Null if none is set. */
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

    /** Starts with the endpoints known from the last run, or with none. */
    public void start(Connector connector, List<EndpointSet.Entry> known) {
        dispatch(() -> module.start(now()));
        List<Dispatch.Worker> workers = endpoints.apply(connector, true, known, clock.micros());
        dispatch(() -> module.list(now(), ListKind.CACHED, workers));
    }

    /** Applies a source's list of its endpoints: changes, or its full list. */
    public void list(Connector connector, boolean fullList, List<EndpointSet.Entry> entries) {
        list(connector, fullList, entries, clock.micros());
    }

    /**
     * Applies a list that is read later than it was received.
     *
     * @param notifiedAt the instant, in microseconds of the clock, at which the list counts as received; the
     *     grace of a drain runs from there
     */
    public void list(Connector connector, boolean fullList, List<EndpointSet.Entry> entries, long notifiedAt) {
        List<Dispatch.Worker> changes = endpoints.apply(connector, fullList, entries, notifiedAt);
        if (!changes.isEmpty()) {
            dispatch(() -> module.list(now(), ListKind.CHANGES, changes));
            // Replacements come under new names: if kept, the old endpoints would pile up with every release.
            dispatch(() -> endpoints.removeGone(changes));
        }
    }

    /** Stops sending to an endpoint on an operator's command, whatever lists say; idempotent. */
    public void setDown(String name) {
        endpoints.setDown(name, true);
        dispatch(() -> module.setDown(now(), Endpoint.stableId(name)));
        returnQueued();
    }

    /** Sets the share of the scheduler's work that this process does; the rest is still with its predecessor. */
    public void setShare(double share) {
        dispatch(() -> module.budgetShare(now(), share));
    }

    /** Allows sending to an endpoint that was set down; a ban by the policy stays. */
    public void setUp(String name) {
        endpoints.setDown(name, false);
        if (!banned.contains(name)) {
            dispatch(() -> module.setUp(now(), Endpoint.stableId(name)));
        }
    }

    /** Sets the banned endpoints, apart from those that are set down; open attempts go on. */
    public void ban(Set<String> names) {
        Set<String> before = banned;
        banned = Set.copyOf(names);
        for (String name : names) {
            if (!before.contains(name)) {
                dispatch(() -> module.setDown(now(), Endpoint.stableId(name)));
            }
        }
        returnQueued();
        for (String name : before) {
            Endpoint returning = names.contains(name) ? null : endpoints.get(name);
            if (returning != null) {
                // Failures from before the ban say nothing about the endpoint that returns.
                returning.connectFailures = 0;
            }
            if (!names.contains(name) && !endpoints.downNames().contains(name)) {
                dispatch(() -> module.setUp(now(), Endpoint.stableId(name)));
            }
        }
    }

    /** Ends the attempts that wait in queues of endpoints that are down now: they never ran, and go elsewhere. */
    private void returnQueued() {
        List<Attempt> blocked = new ArrayList<>();
        attempts.forEach(attempt -> {
            if (attempt.endpoint.connector.queuesAttempts() && isDown(attempt.endpoint)) {
                blocked.add(attempt);
            }
        });
        blocked.forEach(this::endIfUnsent);
    }

    /** The banned endpoints; may be called on any thread. */
    public Set<String> banned() {
        return banned;
    }

    /** The banned endpoints that still have an open attempt. */
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

    /** Endpoints at which at least so many attempts in a row failed to connect, without the banned ones. */
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
     * Adds the slots of all open requests to the totals, by tenant and class; the last row is for requests of
     * an unknown tenant.
     */
    public void addDemand(double[][] totals) {
        requests.forEach(request ->
                totals[request.tenant < 0 ? totals.length - 1 : request.tenant][request.jobClass] += request.slots);
    }

    /** Is notified of every attempt sent and, after the module, of its end. */
    public interface AttemptListener {
        void sent(Endpoint endpoint);

        void ended(Endpoint endpoint, Outcome outcome, LoadReport report);
    }

    public void setAttemptListener(AttemptListener listener) {
        attemptListener = listener;
    }

    /** Passes on another scheduler's load report of an endpoint, which is newer than any of this one's. */
    public void reportFromPeer(long endpoint, double ageSeconds, LoadReport report) {
        LoadReport copy = new LoadReport();
        copy.freeSlots = report.freeSlots;
        copy.queue = report.queue;
        dispatch(() -> module.probed(now(), endpoint, ageSeconds, Outcome.MOOT, copy));
    }

    /** Sets the gate that says whether requests may be decided on. */
    public void setAdmissionGate(AdmissionGate gate) {
        admissionGate = gate;
    }

    /** Sets the memory that open requests may take up; without it there is no bound. */
    public void setMemory(MessageMemory.Admission openRequests) {
        memory = openRequests;
    }

    /** Sets the table of request ids; without it there is no bound on their number. */
    public void setRequestIds(RequestIds ids) {
        requestIds = ids;
    }

    public RequestIds requestIds() {
        return requestIds;
    }

    /**
     * Takes the id under which a request must not run twice; it is held until the request can't run any more, and for a
     * while after that. Called before {@link #submit}, or {@link #idNotUsed} is called if it isn't submitted.
     */
    public RequestIds.Admission takeId(Request request, String id) {
        RequestIds.Admission admission = requestIds.take(id, clock.micros(), request.deadline);
        if (admission == RequestIds.Admission.TAKEN) {
            request.heldId = id;
        } else {
            counters.add(
                    request.front.name() + (admission == RequestIds.Admission.FULL ? ".ids_full" : ".id_repeated"));
        }
        return admission;
    }

    /** Takes an id that may be used again once its client has the answer, as names that clients give to their jobs. */
    public RequestIds.Admission takeReusableId(Request request, String id) {
        request.isIdReusable = true;
        return takeId(request, id);
    }

    /** Forgets the id of a request that was not submitted or never ran. */
    public void idNotUsed(Request request) {
        if (request.heldId != null) {
            requestIds.forget(request.heldId);
            request.heldId = null;
        }
    }

    /** The id of a request that another component runs from here on is held as if it had run. */
    public void idHandedOver(Request request) {
        endId(request);
    }

    private void endId(Request request) {
        if (request.heldId != null) {
            requestIds.end(request.heldId, request.deadline, keyedUntil(request));
            request.heldId = null;
        }
    }

    /** The end of the time in which endpoints drop repeats of the request by its key; 0 without one. */
    private static long keyedUntil(Request request) {
        return request.type != null && request.type.effect == Effect.KEYED && request.mayHaveRun()
                ? request.firstMayHaveRunAt() + (long) (request.type.dedupWindow * 1e6)
                : 0;
    }

    /** Whether there is memory for a request with a body of this length; else it would be refused. */
    public boolean hasMemoryFor(int bodyBytes) {
        return memory.hasRoomFor(REQUEST_OVERHEAD_BYTES + bodyBytes);
    }

    /** Seconds after which a client that was refused for lack of memory should come back; 0: it is not told. */
    public double memoryRetryAfter() {
        return settings.retryAfter ? Math.min(MEMORY_RETRY_AFTER, settings.maxRetryAfter) : 0;
    }

    /**
     * Creates an update that replaces all endpoints of a source: prepared in steps, then adopted at once.
     *
     * @param names the names of all entries
     */
    public StagedUpdate stageUpdate(Connector connector, List<EndpointSet.Entry> entries, Set<String> names) {
        return new StagedUpdate(this, endpoints, connector, entries, names);
    }

    /**
     * Must be called after a change of the settings; open requests keep the settings they arrived under. Returns
     * the epoch of the requests that arrive from now on ({@link Request#epoch}).
     */
    public int settingsChanged() {
        dispatch(module::settingsChanged);
        return ++epoch;
    }

    /** Counts by class since the start; the array is live, not a copy. */
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

    /** The number of accepted requests without an answer. */
    public int openRequests() {
        return requests.size();
    }

    // ---- from fronts ----

    /** Accepts a request; the answer may come before this returns. */
    public void submit(Request request) {
        if (admissionGate != null && !admissionGate.mayDecide()) {
            long wait = admissionGate.microsUntilOpen();
            if (wait <= MAX_HOLD_MICROS && !request.held) {
                // The gate is about to open: a refused client would come back later than that.
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
            idNotUsed(request);
            // No settings applied to it: no decision was made.
            request.epoch = -1;
            counters.add(request.front.name() + ".fenced");
            request.front.refused(request.tag, admissionGate.retryAfter());
            return;
        }
        request.held = false;
        // The body of a leased job is held, and counted, by its front.
        int bodyBytes = request.front.usesLeases() ? 0 : request.payload.body().length;
        if (!hasMemoryFor(bodyBytes)) {
            request.answered = true;
            idNotUsed(request);
            // No settings applied to it: no decision was made.
            request.epoch = -1;
            counters.add(request.front.name() + ".no_memory");
            request.front.refused(request.tag, memoryRetryAfter());
            return;
        }
        request.heldBytes = REQUEST_OVERHEAD_BYTES + bodyBytes;
        memory.hold(request.heldBytes);
        request.handle = requests.add(request);
        request.acceptedAt = clock.micros();
        // The front has just looked.
        request.clientSeenAt = clock.currentMicros();
        request.type = settings.classes[request.jobClass];
        request.maxAttempts = settings.maxAttempts;
        request.epoch = epoch;
        if (!request.front.usesLeases()) {
            // Durable jobs are submitted as there is room for them: they say nothing about other schedulers.
            arrivals.add(request.acceptedAt);
        }
        counters.add(request.front.name() + ".taken");
        countsByClass[request.jobClass][ACCEPTED]++;
        // Backstop: the module is expected to answer before the deadline.
        request.backstop = deadlines.at(request.deadline, () -> deadlinePassed(request));
        dispatch(() -> {
            request.copyTo(requestView);
            module.request(now(), requestView);
        });
    }

    /** Withdraws a request whose client has disconnected. */
    public void withdraw(Request request) {
        if (request.answered) {
            return;
        }
        request.withdrawn = true;
        counters.add(request.front.name() + ".withdrawn");
        if (request.held) {
            request.answered = true;
            idNotUsed(request);
            return;
        }
        finish(request);
        dispatch(() -> module.abandoned(now(), request.handle));
        closeUnsent(request);
    }

    /**
     * Closes the attempt of a request that nobody waits for any more, unless its endpoint has received all of
     * it. This cancels no work, so it does not depend on whether the settings allow cancelling.
     */
    private void closeUnsent(Request request) {
        if (request.openAttempt != null) {
            endIfUnsent(request.openAttempt);
        }
    }

    private void endIfUnsent(Attempt attempt) {
        if (attempt.endpoint.connector.closeUnsent(attempt)) {
            endIfOpen(attempt, Outcome.MOOT);
        }
    }

    /** Closes the attempt at the deadline: with cancelling off, a silent endpoint would keep it open. */
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

    /** True if the arrival rate has jumped, as when another scheduler is down and its clients have moved here. */
    public boolean hasArrivalSurge() {
        return arrivals.isSurge(clock.micros());
    }

    /** Ends the open requests accepted since that instant: their clients get an answer and may retry elsewhere. */
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
     * Whether an attempt's first byte, or its last byte if that was held back, may be sent now: the connection
     * may have opened late, or the attempt may have waited for a worker to grab it.
     */
    public boolean maySend(Attempt attempt) {
        String reason = blockReasonNow(attempt);
        if (reason != null) {
            counters.add("core.kept." + reason);
            return false;
        }
        attempt.sentAt = clock.currentMicros();
        if (attempt.request.front.usesLeases()) {
            attempt.request.front.sending(attempt);
        }
        return true;
    }

    /** Whether an attempt that may not be sent now may be later; else it never ran here and must go elsewhere. */
    public boolean maySendLater(Attempt attempt) {
        String reason = blockReasonNow(attempt);
        return reason == null || reason.equals(CLIENT_UNSEEN);
    }

    /** Why an attempt may not be sent any more, as a counter's suffix; null if it may. */
    private String blockReasonNow(Attempt attempt) {
        if (attempts.get(attempt.handle) != attempt || attempt.request.answered) {
            // The client has left or has been answered.
            return "answered";
        }
        ClientState client = clientState(attempt.request, attempt.handedOverAt == clock.micros());
        if (client != ClientState.PRESENT) {
            return client == ClientState.LEFT ? "left" : CLIENT_UNSEEN;
        }
        if (!maySend(attempt.endpoint)) {
            return "drain";
        }
        if (clock.currentMicros() >= attempt.request.deadline) {
            return "spent";
        }
        return mayRepeat(attempt.request, attempt.endpoint) ? null : "effect";
    }

    /**
     * Whether anything may begin for the client of a request.
     *
     * @param lookedAt whether the client was looked at in this turn; that is enough unless the turn has become long
     */
    private ClientState clientState(Request request, boolean lookedAt) {
        long now = clock.currentMicros();
        if (lookedAt && now - request.clientSeenAt < CLIENT_SEEN_MICROS) {
            return ClientState.PRESENT;
        }
        ClientState state = request.front.clientState(request.tag);
        if (state == ClientState.PRESENT) {
            request.clientSeenAt = now;
        }
        return state;
    }

    /**
     * Asks for the lease of an attempt that is about to be sent.
     *
     * @param answer gets true if the attempt may be sent, at once if its front uses no leases; false if it has ended
     */
    public void lease(Attempt attempt, Consumer<Boolean> answer) {
        if (!attempt.request.front.usesLeases()) {
            answer.accept(true);
            return;
        }
        attempt.request.front.recordLease(
                attempt, granted -> answer.accept(granted && attempts.get(attempt.handle) == attempt));
    }

    /** Tells that an endpoint has room for an attempt that waits unsent at another one. */
    public void reconsider(Attempt attempt) {
        if (attempts.get(attempt.handle) == attempt && !attempt.request.answered) {
            attempt.request.front.reconsider(attempt.request.tag);
        }
    }

    /**
     * Ends an attempt whose lease has expired: as moot if it was never sent. For a class that must not run twice the
     * connection stays open once it was sent: only a late result from the endpoint can still settle the job.
     */
    public void leaseExpired(Attempt attempt) {
        if (attempts.get(attempt.handle) != attempt) {
            return;
        }
        counters.add("lease.expired");
        if (attempt.request.type.effect != Effect.UNSAFE) {
            close(attempt, Outcome.TIMEOUT);
            return;
        }
        endIfUnsent(attempt);
        endIfOpen(attempt, Outcome.TIMEOUT);
    }

    /** The endpoint is still working on the attempt. */
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

    /** True if the endpoint is set down or banned: attempts must go elsewhere. */
    public boolean isDown(Endpoint endpoint) {
        return endpoints.isDown(endpoint) || banned.contains(endpoint.name);
    }

    private boolean mayRepeat(Request request) {
        JobClass type = request.type;
        return !request.mayHaveRun()
                || type.effect == Effect.SAFE
                || type.effect == Effect.KEYED
                        && clock.currentMicros() < request.firstMayHaveRunAt() + (long) (type.dedupWindow * 1e6);
    }

    private boolean mayRepeat(Request request, Endpoint endpoint) {
        return mayRepeat(request) && request.isKnownAt(endpoint);
    }

    /** The endpoint has started the job. */
    public void started(Attempt attempt) {
        counters.add("call.started");
        reportNote(attempt, Note.STARTED, 0);
        stillRunning(attempt);
        if (!attempt.request.answered) {
            attempt.request.front.started(attempt.request.tag);
        }
    }

    /** The endpoint has done a part of the job. */
    public void progress(Attempt attempt, long done, long total) {
        reportNote(attempt, Note.PROGRESS, total > 0 ? Math.min(1, Math.max(0, (double) done / total)) : 0);
        stillRunning(attempt);
        if (!attempt.request.answered) {
            attempt.request.front.progress(attempt.request.tag, done, total);
        }
    }

    /** The first bytes of the final line have arrived, but not all of it: the endpoint has completed the job. */
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

    /**
     * Reports the end of an attempt, with a result only if it was served. If the attempt has ended already, only
     * a front that uses leases is notified.
     */
    public void ended(Attempt attempt, Outcome outcome, byte[] result, LoadReport report) {
        Request request = attempt.request;
        if (attempts.get(attempt.handle) != attempt) {
            if (request.front.usesLeases()) {
                request.front.lateOutcome(attempt, outcome, result);
            }
            return;
        }
        if (mayHaveRun(outcome)) {
            request.markMayHaveRun(attempt.sentAt, attempt.run());
        }
        remove(attempt);
        counters.add("call." + outcome.name().toLowerCase(Locale.ROOT));
        if (outcome == Outcome.CONNECT_FAILED) {
            countsByClass[request.jobClass][CONNECT_FAILED]++;
            attempt.endpoint.connectFailures++;
        } else if (outcome != Outcome.MOOT) {
            attempt.endpoint.connectFailures = 0;
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

    /** False if an attempt with this outcome cannot have run: with some settings even a shed one may have. */
    public boolean mayHaveRun(Outcome outcome) {
        return !outcome.neverRan || outcome == Outcome.FULL && settings.fullMayHaveRun;
    }

    /** Reports the end of a probe. */
    public void probed(Endpoint endpoint, double seconds, Outcome outcome, LoadReport report) {
        counters.add("probe." + outcome.name().toLowerCase(Locale.ROOT));
        dispatch(() -> module.probed(now(), endpoint.id, seconds, outcome, report));
    }

    /**
     * Closes an attempt and ends it with the outcome, or as moot if its endpoint did not receive all of it.
     *
     * @return true in the latter case
     */
    private boolean close(Attempt attempt, Outcome outcome) {
        boolean unsent = attempt.endpoint.connector.close(attempt);
        endIfOpen(attempt, unsent ? Outcome.MOOT : outcome);
        return unsent;
    }

    /** Ends the attempt unless its connector, while closing it, found the answer and reported that. */
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
        releaseIfOver(attempt.request);
    }

    /** Releases what is kept for a request that has its answer and no attempt at an endpoint. */
    private void releaseIfOver(Request request) {
        if (request.answered && request.openAttempt == null) {
            deadlines.cancel(request.backstop);
            memory.release(request.heldBytes);
            request.heldBytes = 0;
            boolean mayRunUnseen = !request.isIdReusable || request.withdrawn;
            if (request.mayHaveRun() && mayRunUnseen) {
                endId(request);
            } else {
                idNotUsed(request);
            }
        }
    }

    private void reportOutcome(Attempt attempt, Outcome outcome, boolean answered, LoadReport report) {
        long id = attempt.request.handle;
        dispatch(() -> module.outcome(now(), id, attempt.number, attempt.endpoint.id, outcome, answered, report));
    }

    // ---- answers ----

    private void finish(Request request) {
        request.answered = true;
        requests.remove(request.handle);
        releaseIfOver(request);
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

    // ---- calls into the module ----

    private double now() {
        return Clock.seconds(clock.micros());
    }

    private void dispatch(Runnable event) {
        assert owner.isCurrent() : "scheduler used outside its loop's thread";
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
            ClientState client =
                    clientState(request, request.attemptCount == 0 && request.acceptedAt == clock.micros());
            if (client != ClientState.PRESENT) {
                endWithoutAttempt(attempt, client);
                return;
            }
            request.attemptCount++;
            String reason = blockReason(request, endpoint);
            if (reason != null) {
                counters.add("core.kept." + reason);
                LOG.warn("request {} not sent to {}: {}", request.payload.requestId(), endpoint, reason);
                reportOutcome(attempt, Outcome.MOOT, false, null);
                return;
            }
            request.openAttempt = attempt;
            attempt.handle = attempts.add(attempt);
            counters.add("call.sent");
            if (attemptListener != null) {
                attemptListener.sent(endpoint);
            }
            if (endpoint.connector.queuesAttempts()) {
                endpoint.connector.open(attempt);
                return;
            }
            lease(attempt, mayOpen -> {
                if (mayOpen) {
                    endpoint.connector.open(attempt);
                }
            });
        }

        /** Ends a request whose client has left, or may have: the latter gets its answer. */
        private void endWithoutAttempt(Attempt attempt, ClientState client) {
            Request request = attempt.request;
            if (client == ClientState.LEFT) {
                counters.add("core.kept.left");
                withdraw(request);
            } else {
                counters.add("core.kept.unseen");
                dispatch(() -> module.abandoned(now(), request.handle));
                refuse(request.handle, memoryRetryAfter());
            }
            reportOutcome(attempt, Outcome.MOOT, true, null);
        }

        /** Why this attempt may not be sent, whatever the module asks for; null if it may. */
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
            return mayRepeat(request, endpoint) ? null : "effect";
        }

        @Override
        public void refuse(long id, double retryAfter) {
            Request request = requests.get(id);
            if (request == null) {
                return;
            }
            // A refusal invites a retry: a request that may have run must not be retried elsewhere.
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
        public void explainRefusal(long id, Refusal refusal) {
            counters.add("turned_away." + refusal.reason().name().toLowerCase(Locale.ROOT));
            Request request = requests.get(id);
            if (LOG.isDebugEnabled() && request != null) {
                LOG.debug("request {} refused: {}", request.payload.requestId(), refusal);
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
            // An answered request is not in the table, but the attempt of a withdrawn one may still be open.
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
            // The sources of the endpoint set watch on their own.
        }
    }
}
