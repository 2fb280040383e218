package laneflow.gearman;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import laneflow.core.Attempt;
import laneflow.core.Deadlines.Deadline;
import laneflow.core.Endpoint;
import laneflow.core.EndpointSet.Entry;
import laneflow.core.Scheduler;
import laneflow.decision.Dispatch.LoadReport;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.State;
import laneflow.gearman.decision.Passing;

/** The worker's side of a connection: an endpoint with one slot, from its first ability to its leaving. */
final class Worker {
    private static final int MOST_UNMAPPED = 1000;

    private final GearmanFront front;
    private final Scheduler scheduler;
    private final Peer peer;
    private final String name;
    /** Functions and their time limits in seconds, 0 for none. */
    private final Map<String, Integer> abilities = new LinkedHashMap<>();
    /** What it has named that no class stands for here; a later version may map it. */
    private final Map<String, Integer> unmapped = new LinkedHashMap<>();
    /** Calls that wait to be grabbed. */
    private final List<Attempt> queue = new ArrayList<>();

    private final ByteArrayOutputStream data = new ByteArrayOutputStream();
    private final Deadline limit;
    private final Deadline grace;
    private final Deadline wake;
    private boolean listed;
    private boolean asleep;
    /** The handle of the job at work, also once nobody waits for it any more; null if there is none. */
    private String handle;

    private String lastHandle = "";
    private Attempt call;
    /** The call of the job at work, where its lease has run out; null if there is none such. */
    private Attempt outlived;

    Worker(GearmanFront front, Peer peer, String name) {
        this.front = front;
        this.scheduler = front.scheduler;
        this.peer = peer;
        this.name = name;
        limit = front.loop.deadlines().create(this::overLimit);
        grace = front.loop.deadlines().create(() -> handBack(Outcome.MOOT, true));
        wake = front.loop.deadlines().create(() -> handBack(Outcome.CONNECT_FAILED, true));
    }

    boolean can(String function) {
        return abilities.containsKey(function);
    }

    boolean isWorker() {
        return listed;
    }

    String functions() {
        StringBuilder all = new StringBuilder();
        abilities.keySet().forEach(function -> all.append(' ').append(function));
        return all.toString();
    }

    // ---- abilities ----

    void canDo(String function, int seconds) {
        if (front.config.function(function) == null && unmapped.size() < MOST_UNMAPPED) {
            unmapped.put(function, seconds);
        }
        // A function that no class stands for is never asked of it.
        if (front.config.function(function) != null) {
            if (abilities.put(function, seconds) == null) {
                front.queues.worker(function, 1);
            }
            front.loop.deadlines().cancel(grace);
            list();
        }
    }

    /** What it has named before may be mapped by now. */
    void functionsChanged() {
        List<String> named = new ArrayList<>(unmapped.keySet());
        named.removeIf(function -> front.config.function(function) == null);
        named.forEach(function -> canDo(function, unmapped.remove(function)));
    }

    void cantDo(String function) {
        unmapped.remove(function);
        if (abilities.remove(function) != null) {
            front.queues.worker(function, -1);
            list();
            if (abilities.isEmpty()) {
                drains();
            } else {
                handBack(Outcome.MOOT, false);
            }
        }
    }

    void reset() {
        forgetAbilities();
        unmapped.clear();
        if (listed) {
            list();
            drains();
        }
    }

    /**
     * Without abilities it drains. Clients of the protocol reset before they name their abilities anew: what
     * waits here is given back only when the grace is over, and until then only a named function is assigned.
     */
    private void drains() {
        front.loop.deadlines().cancel(wake);
        long within = (long) (scheduler.settings().drainGrace * 1e6);
        front.loop.deadlines().set(grace, front.loop.micros() + within);
    }

    private void forgetAbilities() {
        abilities.keySet().forEach(function -> front.queues.worker(function, -1));
        abilities.clear();
    }

    private void list() {
        if (!listed) {
            listed = true;
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
        // Which of a class's functions it has: sent to one that has not, a job would come back unbegun.
        entry.abilities = abilities.keySet().stream()
                .mapToLong(Endpoint::stableId)
                .sorted()
                .toArray();
        scheduler.list(front.connector, false, List.of(entry));
    }

    /** Gives back what waits here: all of it, or what it has no function for. */
    private void handBack(Outcome outcome, boolean all) {
        for (Attempt waiting : new ArrayList<>(queue)) {
            if (queue.contains(waiting) && (all || function(waiting) == null)) {
                queue.remove(waiting);
                scheduler.ended(waiting, outcome, null, null);
            }
        }
    }

    // ---- calls ----

    /** The function under which it can run the call's request, or null. */
    private String function(Attempt of) {
        if (of.request.function != null) {
            return can(of.request.function) ? of.request.function : null;
        }
        for (String function : abilities.keySet()) {
            if (front.config.function(function).jobClass() == of.request.jobClass) {
                return function;
            }
        }
        return null;
    }

    void offer(Attempt offered) {
        if (function(offered) == null) {
            // Another function of the same class: it was never sent, and another worker may have it.
            front.loop.later(() -> scheduler.ended(offered, Outcome.MOOT, null, null));
            return;
        }
        int at = queue.size();
        while (at > 0 && queue.get(at - 1).request.urgency < offered.request.urgency) {
            at--;
        }
        queue.add(at, offered);
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
     * Awake and at no job it comes for what waits within the time that a connection has to come up. A
     * vanished machine says nothing, and what waits there would wait for its client's deadline.
     */
    private void awaitGrab() {
        if (handle == null && !queue.isEmpty() && !wake.isSet()) {
            long within = (long) (scheduler.settings().connectTimeout * 1e6);
            front.loop.deadlines().set(wake, front.loop.micros() + within);
        }
    }

    /** Nobody waits for this call any more; what has been assigned runs on, unheard. */
    boolean drop(Attempt given) {
        boolean waited = dropWaiting(given);
        if (call == given) {
            // Under a lease its late word still counts.
            outlived = given.lease > 0 ? given : null;
            call = null;
            front.loop.deadlines().cancel(limit);
        }
        return waited;
    }

    /** The same, unless it has been assigned: then it goes on, and this is false. */
    boolean dropWaiting(Attempt given) {
        boolean waited = queue.remove(given);
        if (queue.isEmpty()) {
            front.loop.deadlines().cancel(wake);
        }
        return waited;
    }

    void preSleep() {
        asleep = queue.isEmpty();
        if (!asleep) {
            wake();
        }
    }

    /** Assigns what waits in the form asked for: each has one argument more than the one before. */
    void grab(int form) {
        asleep = false;
        front.loop.deadlines().cancel(wake);
        Attempt next = handle == null ? next() : null;
        if (next == null) {
            peer.send(Packet.NO_JOB);
            return;
        }
        Job job = front.job(next.request);
        String function = function(next);
        call = next;
        outlived = null;
        handle = job != null
                ? job.handle
                : next.lease > 0
                        ? String.format("%s%016x.%d", GearmanFront.KEPT, next.request.tag, next.lease)
                        : "H:laneflow:c" + Long.toHexString(next.handle());
        data.reset();
        int seconds = abilities.get(function);
        if (seconds > 0) {
            front.loop.deadlines().set(limit, front.loop.micros() + seconds * 1_000_000L);
        }
        byte[] body = next.request.payload.body();
        String unique = job != null
                ? job.unique
                : next.request.unique != null ? next.request.unique : next.request.payload.requestId();
        if (form == Packet.JOB_ASSIGN_ALL) {
            peer.send(form, handle, function, unique, job != null ? job.reducer : "", body);
        } else if (form == Packet.JOB_ASSIGN_UNIQ) {
            peer.send(form, handle, function, unique, body);
        } else {
            peer.send(form, handle, function, body);
        }
        scheduler.started(next);
    }

    /** The first call waiting that it can run now, under the rule on drains. */
    private Attempt next() {
        for (Attempt waiting : queue) {
            if (function(waiting) != null && scheduler.maySend(waiting)) {
                queue.remove(waiting);
                return waiting;
            }
        }
        return null;
    }

    // ---- words on the job at work ----

    /** False if it speaks of a job that it does not have. */
    boolean work(int type, String of, byte[] said) throws Packet.Malformed {
        if (!of.equals(handle)) {
            // An exception ends a job here; the failure that libraries send behind it says nothing new.
            return type == Packet.WORK_FAIL && of.equals(lastHandle) || late(type, of, said);
        }
        switch (type) {
            case Packet.WORK_STATUS:
                status(said);
                break;
            case Packet.WORK_DATA:
            case Packet.WORK_WARNING:
                if (!passOn(type, said)) {
                    append(said);
                }
                break;
            case Packet.WORK_COMPLETE:
                append(said);
                over(Outcome.OK);
                break;
            case Packet.WORK_EXCEPTION:
                Job job = call == null ? null : front.job(call.request);
                if (job != null) {
                    job.exception = said;
                }
                over(Outcome.ERROR);
                break;
            default:
                over(Outcome.ERROR);
                break;
        }
        return true;
    }

    /** A word on a lease of another connection, as of a worker that outlived a scheduler. */
    private boolean late(int type, String of, byte[] said) {
        long[] lease = front.keeper == null ? null : GearmanFront.lease(of);
        boolean ends = type == Packet.WORK_COMPLETE || type == Packet.WORK_FAIL;
        return lease != null
                && ends
                && front.keeper.lateOutcome(lease[0], (int) lease[1], type == Packet.WORK_COMPLETE, said);
    }

    private void status(byte[] said) throws Packet.Malformed {
        String[] parts = Packet.text(said).split("\0", 2);
        if (parts.length < 2 || !parts[0].matches("[0-9]{1,15}") || !parts[1].matches("[0-9]{1,15}")) {
            throw new Packet.Malformed("a status that is no part of a whole");
        }
        if (call != null) {
            scheduler.progress(call, Long.parseLong(parts[0]), Long.parseLong(parts[1]));
        }
    }

    /** Where it can't be said twice, the clients hear it now. */
    private boolean passOn(int type, byte[] said) {
        Job job = call == null ? null : front.job(call.request);
        if (job == null || !Passing.passesOn(scheduler.settings().classes[call.request.jobClass].effect)) {
            return false;
        }
        front.said(job, type, said);
        return true;
    }

    private void append(byte[] said) {
        if (call != null && data.size() + said.length > front.config.maxBodyBytes) {
            finish(Outcome.ERROR, null);
        } else if (call != null || outlived != null && data.size() + said.length <= front.config.maxBodyBytes) {
            data.writeBytes(said);
        }
        if (call != null) {
            scheduler.stillRunning(call);
        }
    }

    private void over(Outcome outcome) {
        lastHandle = handle;
        handle = null;
        finish(outcome, outcome == Outcome.OK ? data.toByteArray() : null);
        awaitGrab();
    }

    /** It takes longer than it said it would; under a lease a late word still counts. */
    private void overLimit() {
        Attempt slow = call;
        finish(Outcome.TIMEOUT, null);
        outlived = slow != null && slow.lease > 0 ? slow : null;
    }

    /** Tells how the call at work ended; the worker may be at it still. */
    private void finish(Outcome outcome, byte[] result) {
        front.loop.deadlines().cancel(limit);
        Attempt ended = call != null ? call : outlived;
        call = null;
        outlived = null;
        if (ended != null) {
            scheduler.ended(ended, outcome, result, report());
        }
    }

    /** What its connection shows of its load: it has one slot. */
    private LoadReport report() {
        LoadReport report = new LoadReport();
        report.freeSlots = handle == null ? 1 : 0;
        report.queue = queue.size();
        return report;
    }

    /** Its connection has ended: what it was assigned it may have run, what waits for it never ran. */
    void gone() {
        front.loop.deadlines().cancel(grace);
        front.loop.deadlines().cancel(wake);
        forgetAbilities();
        if (!listed) {
            return;
        }
        listed = false;
        front.connector.remove(name);
        Entry entry = new Entry();
        entry.name = name;
        entry.zone = front.config.zone;
        entry.state = State.GONE;
        scheduler.list(front.connector, false, List.of(entry));
        handle = null;
        finish(Outcome.RESET, null);
        for (Attempt waiting : new ArrayList<>(queue)) {
            queue.remove(waiting);
            // Not a connect that failed: three of those make a zone suspect, and workers leave as they like.
            scheduler.ended(waiting, Outcome.MOOT, null, null);
        }
    }
}
