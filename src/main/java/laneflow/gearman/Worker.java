package laneflow.gearman;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import laneflow.core.Attempt;
import laneflow.core.Deadlines.Deadline;
import laneflow.core.Endpoint;
import laneflow.core.EndpointSet.Entry;
import laneflow.core.Scheduler;
import laneflow.decision.Dispatch.LoadReport;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.State;
import laneflow.gearman.decision.OutputForwarding;
import laneflow.net.MessageBuffer;

/** The worker role of a connection: an endpoint with one slot, from its first ability to its disconnect. */
final class Worker {
    private static final int MAX_UNMAPPED = 1000;
    /** GRAB_JOB packets that wait for one lease; further ones get NO_JOB at once. Workers send one at a time. */
    private static final int MAX_UNANSWERED_GRABS = 16;
    /** Memory for a function's entry beside the text of its name, roughly. */
    private static final int BYTES_PER_NAME = 160;

    private final GearmanFront front;
    private final Scheduler scheduler;
    private final Peer peer;
    private final String name;
    /** Functions that the worker can run, with time limits in seconds, 0 for none. */
    private final Map<String, Integer> abilities = new LinkedHashMap<>();
    /** Announced functions that are not mapped to a class, kept because a later configuration may map them. */
    private final Map<String, Integer> unmapped = new LinkedHashMap<>();
    /** Attempts that wait to be grabbed. */
    private final List<Attempt> queue = new ArrayList<>();

    private final MessageBuffer resultData = new MessageBuffer();
    private final Deadline timeLimitTimer;
    private final Deadline drainTimer;
    private final Deadline grabTimer;
    /** Bytes of memory that the names of its functions take up, roughly. */
    private long nameBytes;

    private boolean registered;
    private boolean asleep;
    /** The handle of the assigned job, kept even after its attempt was abandoned; null if there is none. */
    private String handle;

    private String previousHandle = "";
    private Attempt assigned;
    /** Taken from the queue for a GRAB_JOB that is not answered yet, until its lease is recorded; else null. */
    private Attempt leasing;
    /** The answers that GRAB_JOB packets wait for, as types of JOB_ASSIGN, the first being that of {@link #leasing}. */
    private final ArrayDeque<Integer> unansweredGrabs = new ArrayDeque<>();
    /**
     * The attempt of the assigned job if abandoned or timed out under a lease: a late outcome still counts. Else null.
     */
    private Attempt abandonedAttempt;

    Worker(GearmanFront front, Peer peer, String name) {
        this.front = front;
        this.scheduler = front.scheduler;
        this.peer = peer;
        this.name = name;
        timeLimitTimer = front.loop.deadlines().create(this::timeLimitExceeded);
        drainTimer = front.loop.deadlines().create(() -> returnQueued(Outcome.MOOT, abilities.isEmpty()));
        grabTimer = front.loop.deadlines().create(() -> returnQueued(Outcome.CONNECT_FAILED, true));
    }

    boolean hasFunction(String function) {
        return abilities.containsKey(function);
    }

    boolean isRegistered() {
        return registered;
    }

    /** The bytes of memory that it takes up: the assigned job's result so far, and the names of its functions. */
    long heldBytes() {
        return resultData.capacity() + nameBytes;
    }

    String describeFunctions() {
        StringBuilder names = new StringBuilder();
        abilities.keySet().forEach(function -> names.append(' ').append(function));
        return names.toString();
    }

    // ---- abilities ----

    void canDo(String function, int seconds) {
        if (function.length() > GearmanConfig.MAX_NAME_LENGTH) {
            front.scheduler.counters().add("gearman.name_too_long");
            return;
        }
        if (front.config.function(function) == null && unmapped.size() < MAX_UNMAPPED) {
            unmapped.put(function, seconds);
            updateNameBytes();
        }
        // Unmapped functions are never assigned.
        if (front.config.function(function) != null) {
            if (abilities.put(function, seconds) == null) {
                front.queues.adjustWorkers(function, 1);
            }
            updateNameBytes();
            publish();
            if (asleep && hasRunnable()) {
                wake();
            }
        }
    }

    private static long bytesOf(Set<String> names) {
        return names.stream()
                .mapToLong(function -> function.length() + BYTES_PER_NAME)
                .sum();
    }

    private void updateNameBytes() {
        nameBytes = bytesOf(abilities.keySet()) + bytesOf(unmapped.keySet());
        peer.updateHeldBytes();
    }

    /** Applies a new configuration, which may map functions announced earlier. */
    void functionsChanged() {
        List<String> mapped = new ArrayList<>(unmapped.keySet());
        mapped.removeIf(function -> front.config.function(function) == null);
        mapped.forEach(function -> canDo(function, unmapped.remove(function)));
    }

    void cantDo(String function) {
        unmapped.remove(function);
        updateNameBytes();
        if (abilities.remove(function) != null) {
            front.queues.adjustWorkers(function, -1);
            publish();
            if (abilities.isEmpty()) {
                startDrain();
            } else {
                returnQueued(Outcome.MOOT, false);
            }
        }
    }

    void reset() {
        forgetAbilities();
        unmapped.clear();
        updateNameBytes();
        if (registered) {
            publish();
            startDrain();
        }
    }

    /**
     * Starts a drain once no abilities are left. Client libraries reset and then announce their abilities anew,
     * so queued attempts are returned only after the grace period, those whose functions were not announced again;
     * until then only announced functions are assigned.
     */
    private void startDrain() {
        front.loop.deadlines().cancel(grabTimer);
        long delayMicros = (long) (scheduler.settings().drainGrace * 1e6);
        front.loop.deadlines().set(drainTimer, front.loop.micros() + delayMicros);
    }

    private void forgetAbilities() {
        abilities.keySet().forEach(function -> front.queues.adjustWorkers(function, -1));
        abilities.clear();
    }

    private void publish() {
        if (!registered) {
            registered = true;
            front.connector.add(name, this);
        }
        Entry entry = new Entry();
        entry.name = name;
        entry.zone = front.config.zone;
        entry.kind = -1;
        entry.state = abilities.isEmpty() ? State.DRAINING : State.READY;
        entry.classes = 0;
        for (String function : abilities.keySet()) {
            entry.classes |= 1L << front.config.function(function).jobClass();
        }
        // Without the function ids, jobs would be sent to workers of the class that lack the function, and be returned.
        entry.abilities = abilities.keySet().stream()
                .mapToLong(Endpoint::stableId)
                .sorted()
                .toArray();
        scheduler.list(front.connector, false, List.of(entry));
    }

    /** Returns queued attempts to the scheduler: all, or only those whose function the worker lacks. */
    private void returnQueued(Outcome outcome, boolean includeRunnable) {
        for (Attempt queued : new ArrayList<>(queue)) {
            if (queue.contains(queued) && (includeRunnable || functionFor(queued) == null)) {
                queue.remove(queued);
                scheduler.ended(queued, outcome, null, null);
            }
        }
    }

    // ---- attempts ----

    /** The function under which the worker can run the attempt's request, or null. */
    private String functionFor(Attempt attempt) {
        if (attempt.request.function != null) {
            return hasFunction(attempt.request.function) ? attempt.request.function : null;
        }
        for (String function : abilities.keySet()) {
            if (front.config.function(function).jobClass() == attempt.request.jobClass) {
                return function;
            }
        }
        return null;
    }

    void enqueue(Attempt attempt) {
        if (functionFor(attempt) == null) {
            // The worker lacks the function: the attempt was never sent, and another worker may run it.
            front.loop.later(() -> scheduler.ended(attempt, Outcome.MOOT, null, null));
            return;
        }
        int position = queue.size();
        while (position > 0 && queue.get(position - 1).request.urgency < attempt.request.urgency) {
            position--;
        }
        queue.add(position, attempt);
        if (asleep) {
            wake();
        } else {
            awaitGrab();
        }
    }

    private void wake() {
        asleep = false;
        awaitGrab();
        peer.send(Packet.NOOP);
    }

    /**
     * Starts the timeout, as long as the connect timeout, for an idle awake worker to grab a queued attempt. The
     * connection to a crashed machine need not break, and attempts queued there would wait for their deadline.
     */
    private void awaitGrab() {
        if (!isBusy() && !queue.isEmpty() && !grabTimer.isSet()) {
            long delayMicros = (long) (scheduler.settings().connectTimeout * 1e6);
            front.loop.deadlines().set(grabTimer, front.loop.micros() + delayMicros);
        }
    }

    /** Whether it runs a job, or is about to be assigned one. */
    boolean isBusy() {
        return handle != null || leasing != null;
    }

    boolean canRun(Attempt attempt) {
        return functionFor(attempt) != null;
    }

    /** The attempts of durable jobs that wait to be grabbed. */
    Stream<Attempt> queuedDurable() {
        return queue.stream().filter(attempt -> attempt.request.front.usesLeases());
    }

    /** Abandons the attempt. An assigned job runs on; without a lease its outcome is ignored. */
    void detach(Attempt attempt) {
        removeQueued(attempt);
        if (assigned == attempt) {
            // Under a lease a late outcome still counts.
            abandonedAttempt = attempt.lease > 0 ? attempt : null;
            assigned = null;
            front.loop.deadlines().cancel(timeLimitTimer);
        }
    }

    /** Removes the attempt if it is still queued; one that has been assigned runs on. */
    void removeQueued(Attempt attempt) {
        queue.remove(attempt);
        if (queue.isEmpty()) {
            front.loop.deadlines().cancel(grabTimer);
        }
    }

    void preSleep() {
        asleep = true;
        if (!hasRunnable() && !isBusy()) {
            front.connector.reconsiderLongestWaiting(this);
        }
        if (asleep && hasRunnable()) {
            wake();
        }
    }

    private boolean hasRunnable() {
        return queue.stream().anyMatch(this::canRun);
    }

    /** Assigns the next attempt with this JOB_ASSIGN packet type: _UNIQ adds the unique id, _ALL also the reducer. */
    void grab(int assignType) {
        asleep = false;
        front.loop.deadlines().cancel(grabTimer);
        if (unansweredGrabs.size() >= MAX_UNANSWERED_GRABS) {
            peer.send(Packet.NO_JOB);
            return;
        }
        unansweredGrabs.add(assignType);
        answerGrabs();
    }

    /** Answers the waiting GRAB_JOB packets in order, up to one whose attempt needs a lease first. */
    private void answerGrabs() {
        while (!unansweredGrabs.isEmpty() && leasing == null) {
            Attempt next = isBusy() ? null : nextRunnable();
            if (next == null) {
                unansweredGrabs.remove();
                peer.send(Packet.NO_JOB);
            } else {
                leasing = next;
                front.loop.deadlines().cancel(grabTimer);
                scheduler.lease(next, granted -> onLease(next, granted));
            }
        }
    }

    private Attempt nextRunnable() {
        Attempt next = pollRunnable();
        if (next == null) {
            front.connector.reconsiderLongestWaiting(this);
            next = pollRunnable();
        }
        return next;
    }

    private void onLease(Attempt attempt, boolean granted) {
        if (leasing != attempt) {
            // The worker has left meanwhile, and the attempt has ended.
            return;
        }
        // Writing a lease takes time, in which an attempt may become one that may not be sent.
        if (granted && canRun(attempt) && (attempt.lease == 0 || scheduler.maySend(attempt))) {
            leasing = null;
            assign(attempt, unansweredGrabs.remove());
            answerGrabs();
            return;
        }
        if (granted) {
            scheduler.ended(attempt, Outcome.MOOT, null, null);
        }
        // Not in this call: all queued attempts may be denied their leases, one after the other.
        front.loop.later(() -> {
            if (leasing == attempt) {
                leasing = null;
                answerGrabs();
            }
        });
    }

    private void assign(Attempt next, int assignType) {
        Job job = front.job(next.request);
        String function = functionFor(next);
        assigned = next;
        next.attachment = this;
        abandonedAttempt = null;
        handle = job != null
                ? job.handle
                : next.lease > 0
                        ? String.format("%s%016x.%d", GearmanFront.DURABLE_HANDLE_PREFIX, next.request.tag, next.lease)
                        : GearmanFront.newHandle();
        resultData.reset();
        peer.updateHeldBytes();
        int seconds = abilities.get(function);
        if (seconds > 0) {
            front.loop.deadlines().set(timeLimitTimer, front.loop.micros() + seconds * 1_000_000L);
        }
        byte[] body = next.request.payload.body();
        String unique = job != null
                ? job.unique
                : next.request.unique != null ? next.request.unique : next.request.payload.requestId();
        if (assignType == Packet.JOB_ASSIGN_ALL) {
            peer.send(assignType, handle, function, unique, job != null ? job.reducer : "", body);
        } else if (assignType == Packet.JOB_ASSIGN_UNIQ) {
            peer.send(assignType, handle, function, unique, body);
        } else {
            peer.send(assignType, handle, function, body);
        }
        scheduler.started(next);
    }

    /**
     * Removes and returns the first queued attempt that the worker can run and the core's rules allow, or null. Those
     * that will not be allowed any more are returned to the scheduler: left here, they would wake the worker again and
     * again.
     */
    private Attempt pollRunnable() {
        for (Attempt queued : new ArrayList<>(queue)) {
            if (!queue.contains(queued) || !canRun(queued)) {
                continue;
            }
            if (scheduler.maySend(queued)) {
                queue.remove(queued);
                return queued;
            }
            if (!scheduler.maySendLater(queued)) {
                queue.remove(queued);
                scheduler.ended(queued, Outcome.MOOT, null, null);
            }
        }
        return null;
    }

    // ---- packets about the assigned job ----

    /** Handles a WORK_* packet; false if the handle is not that of the assigned job. */
    boolean handleWork(int type, String jobHandle, byte[] workData) throws Packet.MalformedPacket {
        if (!jobHandle.equals(handle)) {
            // WORK_EXCEPTION already ends the job; libraries send a redundant WORK_FAIL after it.
            return type == Packet.WORK_FAIL && jobHandle.equals(previousHandle)
                    || reportLateOutcome(type, jobHandle, workData);
        }
        switch (type) {
            case Packet.WORK_STATUS:
                status(workData);
                break;
            case Packet.WORK_DATA:
            case Packet.WORK_WARNING:
                if (!forwardOutput(type, workData)) {
                    appendResult(workData);
                }
                break;
            case Packet.WORK_COMPLETE:
                appendResult(workData);
                complete(Outcome.OK);
                break;
            case Packet.WORK_EXCEPTION:
                Job job = assigned == null ? null : front.job(assigned.request);
                if (job != null) {
                    job.exception = workData;
                }
                complete(Outcome.ERROR);
                break;
            default:
                complete(Outcome.ERROR);
                break;
        }
        return true;
    }

    /** Reports the outcome of a lease from another connection, as of a worker that survived a scheduler restart. */
    private boolean reportLateOutcome(int type, String jobHandle, byte[] workData) {
        long[] lease = front.durableJobs == null ? null : GearmanFront.parseLeaseHandle(jobHandle);
        boolean ends = type == Packet.WORK_COMPLETE || type == Packet.WORK_FAIL;
        return lease != null
                && ends
                && front.durableJobs.lateOutcome(lease[0], (int) lease[1], type == Packet.WORK_COMPLETE, workData);
    }

    private void status(byte[] workData) throws Packet.MalformedPacket {
        String[] parts = Packet.text(workData).split("\0", 2);
        if (parts.length < 2 || !parts[0].matches("[0-9]{1,15}") || !parts[1].matches("[0-9]{1,15}")) {
            throw new Packet.MalformedPacket("a status that is no part of a whole");
        }
        if (assigned != null) {
            scheduler.progress(assigned, Long.parseLong(parts[0]), Long.parseLong(parts[1]));
        }
    }

    /** Forwards output to the clients at once where the job can't be retried; false if it must be held. */
    private boolean forwardOutput(int type, byte[] workData) {
        Job job = assigned == null ? null : front.job(assigned.request);
        if (job == null
                || !OutputForwarding.forwardsImmediately(
                        scheduler.settings().classes[assigned.request.jobClass].effect)) {
            return false;
        }
        front.forwardOutput(job, type, workData);
        return true;
    }

    private void appendResult(byte[] workData) {
        if (assigned != null && resultData.size() + workData.length > front.config.maxBodyBytes) {
            finish(Outcome.ERROR, null);
        } else if (assigned != null
                || abandonedAttempt != null && resultData.size() + workData.length <= front.config.maxBodyBytes) {
            resultData.writeBytes(workData);
            peer.updateHeldBytes();
        }
        if (assigned != null) {
            scheduler.stillRunning(assigned);
        }
    }

    private void complete(Outcome outcome) {
        previousHandle = handle;
        handle = null;
        byte[] result = resultData.take();
        peer.updateHeldBytes();
        finish(outcome, outcome == Outcome.OK ? result : null);
        awaitGrab();
    }

    /** The job exceeds the time limit of its CAN_DO_TIMEOUT; under a lease a late outcome still counts. */
    private void timeLimitExceeded() {
        Attempt timedOut = assigned;
        finish(Outcome.TIMEOUT, null);
        abandonedAttempt = timedOut != null && timedOut.lease > 0 ? timedOut : null;
    }

    /** Reports how the attempt ended; the worker may still be running the job. */
    private void finish(Outcome outcome, byte[] result) {
        front.loop.deadlines().cancel(timeLimitTimer);
        Attempt finished = assigned != null ? assigned : abandonedAttempt;
        assigned = null;
        abandonedAttempt = null;
        if (finished != null) {
            scheduler.ended(finished, outcome, result, loadReport());
        }
    }

    /** The load as known from the connection: a worker has one slot. */
    private LoadReport loadReport() {
        LoadReport report = new LoadReport();
        report.freeSlots = isBusy() ? 0 : 1;
        report.queue = queue.size();
        return report;
    }

    /** The connection has ended: the assigned job may have run, queued attempts never ran. */
    void disconnected() {
        front.loop.deadlines().cancel(drainTimer);
        front.loop.deadlines().cancel(grabTimer);
        forgetAbilities();
        if (!registered) {
            return;
        }
        registered = false;
        front.connector.remove(name);
        Entry entry = new Entry();
        entry.name = name;
        entry.zone = front.config.zone;
        entry.state = State.GONE;
        scheduler.list(front.connector, false, List.of(entry));
        handle = null;
        unansweredGrabs.clear();
        finish(Outcome.RESET, null);
        // Not CONNECT_FAILED: three of those make a zone suspect, and workers may disconnect at any time.
        if (leasing != null) {
            Attempt unsent = leasing;
            leasing = null;
            scheduler.ended(unsent, Outcome.MOOT, null, null);
        }
        returnQueued(Outcome.MOOT, true);
    }
}
