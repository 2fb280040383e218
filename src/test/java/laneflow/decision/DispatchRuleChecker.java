package laneflow.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.Group;
import laneflow.decision.Dispatch.JobClass;
import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Dispatch.Worker;

/**
 * Checks one dispatcher's actions against the rules on draining, repeated effects, final answers and cold workers,
 * and against the retry budget. It is independent of {@link Logic}.
 */
final class DispatchRuleChecker {
    /** Assumed work in seconds of a request before any request had a hint. */
    private static final double UNHINTED_WORK = 0.5;

    private static final class Send {
        Worker worker;
        double sentAt;
        boolean outstanding = true;
        boolean mayHaveRun = true;
    }

    private static final class RequestState {
        JobClass type;
        double deadline;
        double slots;
        double hint;
        boolean finished;
        boolean streaming;
        List<Send> sends = new ArrayList<>();
    }

    private final Settings settings;
    private final Map<Long, RequestState> requests = new HashMap<>();
    private final Map<Long, Double> stoppedAt = new HashMap<>();
    private final Map<Long, Worker> known = new HashMap<>();
    private final Map<Long, List<double[]>> coldSends = new HashMap<>();
    private final double[] capacity;
    private int hinted;
    private double hintSum;
    private final List<Double> arrivals = new ArrayList<>();
    private final List<Double> retries = new ArrayList<>();
    /** When each worker that is set down was set down. */
    private final Map<Long, Double> setDownSince = new HashMap<>();
    /** When each worker was last set down and set up again. */
    private final Map<Long, double[]> setDownAndUpAt = new HashMap<>();

    private final Map<Long, Double> closeDueSince = new HashMap<>();
    long sends;
    long closes;

    DispatchRuleChecker(Settings settings, double[] capacityByKind) {
        this.settings = settings;
        this.capacity = capacityByKind;
    }

    private static void fail(String violation, double now, long id) {
        throw new AssertionError(violation + ": request or worker " + id + " at " + now);
    }

    void onListEntry(double now, Worker entry) {
        Worker copy = LogicHarness.worker(entry.id, entry.zone, entry.state, entry.startedAt);
        copy.kind = entry.kind;
        copy.cell = entry.cell;
        known.put(entry.id, copy);
        if (entry.state == Dispatch.State.READY) {
            stoppedAt.remove(entry.id);
        } else {
            if (stoppedAt.putIfAbsent(entry.id, now) == null && entry.state == Dispatch.State.DRAINING) {
                expectClose(now, entry.id);
            }
        }
    }

    void setDown(double now, long worker) {
        setDownSince.putIfAbsent(worker, now);
    }

    void setUp(double now, long worker) {
        Double since = setDownSince.remove(worker);
        if (since != null) {
            setDownAndUpAt.put(worker, new double[] {since, now});
        }
    }

    void onRequest(double now, Dispatch.Request request) {
        arrivals.add(now);
        RequestState state = new RequestState();
        state.type = settings.classes[request.jobClass];
        state.deadline = request.deadline;
        if (!Double.isNaN(request.hint)) {
            hinted++;
            hintSum += request.hint;
        }
        state.slots = request.slots;
        state.hint = request.hint;
        requests.put(request.id, state);
    }

    void onSend(double now, long id, long workerId) {
        sends++;
        RequestState state = requests.get(id);
        Worker worker = known.get(workerId);
        if (state == null || state.finished) {
            fail("sent after the final answer, or unknown", now, id);
        }
        if (worker == null || stoppedAt.containsKey(workerId) && now > stoppedAt.get(workerId) + settings.drainGrace) {
            fail("sent to a draining, gone or unknown worker", now, workerId);
        }
        if (setDownSince.containsKey(workerId)) {
            fail("sent to a worker that is set down", now, workerId);
        }
        if (state.type.kind >= 0 && worker.kind != state.type.kind) {
            fail("sent to a kind that can't run it", now, id);
        }
        if (state.sends.size() >= settings.maxAttempts) {
            fail("too many attempts", now, id);
        }
        if (!state.sends.isEmpty()) {
            checkRetryBudget(now, id);
        }
        for (Send earlier : state.sends) {
            if (earlier.outstanding && !settings.secondCopies) {
                fail("a second copy", now, id);
            }
            if (earlier.mayHaveRun && !mayFollow(state.type, earlier, worker, now)) {
                fail("a second effect", now, id);
            }
        }
        Send send = new Send();
        send.worker = worker;
        send.sentAt = now;
        state.sends.add(send);
        checkColdBudget(now, worker, state);
    }

    /** Checks the budget in the window that ends at this retry; no other window can use more of it. */
    private void checkRetryBudget(double now, long id) {
        double since = now - settings.retryWindow;
        retries.add(now);
        long retryCount = retries.stream().filter(at -> at > since).count();
        long requestCount = arrivals.stream().filter(at -> at > since).count();
        if (settings.retryWindow > 0 && retryCount > settings.retryFree + settings.retryShare * requestCount) {
            fail("a retry beyond the retry budget", now, id);
        }
    }

    /** The worker's idle connections were closed; those that become idle later need another close. */
    void onClose(double now, long worker) {
        if (settings.closeOnDrainWithin == 0 && !setDownSince.containsKey(worker) || !known.containsKey(worker)) {
            fail("connections of a worker closed without a reason", now, worker);
        }
        closeDueSince.remove(worker);
        closes++;
    }

    private void expectClose(double now, long worker) {
        if (settings.closeOnDrainWithin > 0 && stoppedAt.containsKey(worker)) {
            closeDueSince.put(worker, now);
        }
    }

    /** Fails if idle connections to a stopped worker stayed open for longer than the settings allow. */
    void checkClosedInTime(double now) {
        closeDueSince.forEach((worker, at) -> {
            if (now > at + settings.closeOnDrainWithin) {
                fail("idle connections left open", now, worker);
            }
        });
    }

    private static boolean mayFollow(JobClass type, Send earlier, Worker worker, double now) {
        if (type.effect == Effect.SAFE) {
            return true;
        }
        return type.effect == Effect.KEYED
                && now <= earlier.sentAt + type.dedupWindow
                && (type.group == Group.ALL
                        || (type.group == Group.ZONE
                                ? earlier.worker.zone == worker.zone
                                : earlier.worker.cell == worker.cell));
    }

    /**
     * The operators' limit by the true capacity: if the settings allow n requests of mean work, more than
     * n + 2 x sqrt(n) + 2 overload a cold worker. A request without a hint counts as a mean one.
     */
    private void checkColdBudget(double now, Worker worker, RequestState request) {
        double[] downAndUp = setDownAndUpAt.get(worker.id);
        double since = downAndUp == null || worker.startedAt > downAndUp[0]
                ? worker.startedAt
                : Math.max(worker.startedAt, downAndUp[1]);
        double age = now - since;
        if (since <= 0 || age >= settings.coldFor) {
            return;
        }
        double mean = hinted > 0 ? hintSum / hinted : UNHINTED_WORK;
        List<double[]> log = coldSends.computeIfAbsent(worker.id, k -> new ArrayList<>());
        log.add(new double[] {now, request.slots * (Double.isNaN(request.hint) ? mean : request.hint)});
        double sum = 0;
        for (double[] logged : log) {
            sum += logged[0] > now - settings.fallWithin ? logged[1] : 0;
        }
        double share = settings.coldShare + (1 - settings.coldShare) * Math.max(0, age) / settings.coldFor;
        double allowed = settings.fallMultiple * share * capacity[worker.kind] * settings.fallWithin / mean;
        if (sum > (allowed + 2 * Math.sqrt(allowed) + 2) * mean) {
            fail("one dispatcher alone sends a cold worker more than overloads it", now, worker.id);
        }
    }

    void onOutcome(double now, long id, int attempt, Dispatch.Outcome outcome, boolean finished) {
        RequestState state = requests.get(id);
        Send send = state.sends.get(attempt);
        send.outstanding = false;
        switch (outcome) {
            case FULL:
                send.mayHaveRun = settings.fullMayHaveRun;
                break;
            case CONNECT_FAILED:
            case MOOT:
                send.mayHaveRun = false;
                break;
            default:
                break;
        }
        state.finished |= finished;
        expectClose(now, send.worker.id);
    }

    JobClass typeOf(long id) {
        return requests.get(id).type;
    }

    /** Whether a streamed answer has begun: the end of its attempt, whatever the outcome, ends the request. */
    boolean isStream(long id) {
        return requests.get(id).streaming;
    }

    void onStreaming(long id) {
        requests.get(id).streaming = true;
    }

    void onAbandoned(long id) {
        requests.get(id).finished = true;
    }

    void onAnswer(double now, long id, boolean isRefusal) {
        RequestState state = requests.get(id);
        if (state == null || state.finished) {
            fail("a second answer", now, id);
        }
        if (state.streaming && state.sends.stream().anyMatch(send -> send.outstanding)) {
            fail("an answer while a stream is running", now, id);
        }
        if (now > state.deadline) {
            fail("an answer after the client gave up", now, id);
        }
        for (Send earlier : state.sends) {
            boolean harmless = state.type.effect == Effect.SAFE
                    || state.type.effect == Effect.KEYED && state.type.group == Group.ALL;
            if (isRefusal && earlier.mayHaveRun && !harmless) {
                fail("a refusal of a request that may have run", now, id);
            }
        }
        state.finished = true;
    }

    boolean isFinished(long id) {
        return requests.get(id).finished;
    }

    long openRequests() {
        return requests.values().stream().filter(state -> !state.finished).count();
    }
}
