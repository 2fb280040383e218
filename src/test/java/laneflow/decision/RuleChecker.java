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
final class RuleChecker {
    /** Assumed work in seconds of a request before any request had a hint. */
    private static final double UNHINTED_WORK = 0.5;

    private static final class Sent {
        Worker worker;
        double at;
        boolean out = true;
        boolean mayHaveRun = true;
    }

    private static final class Open {
        JobClass type;
        double deadline;
        double slots;
        double hint;
        boolean over;
        boolean streams;
        List<Sent> sends = new ArrayList<>();
    }

    private final Settings settings;
    private final Map<Long, Open> requests = new HashMap<>();
    private final Map<Long, Double> stoppedAt = new HashMap<>();
    private final Map<Long, Worker> known = new HashMap<>();
    private final Map<Long, List<double[]>> coldSends = new HashMap<>();
    private final double[] capacity;
    private int hinted;
    private double hintSum;
    private final List<Double> arrivals = new ArrayList<>();
    private final List<Double> retries = new ArrayList<>();
    /** Workers set down by operators, with the time. */
    private final Map<Long, Double> down = new HashMap<>();
    /** When each worker was last set down and set up again. */
    private final Map<Long, double[]> setDownAndUpAt = new HashMap<>();

    private final Map<Long, Double> toClose = new HashMap<>();
    long sends;
    long closes;

    RuleChecker(Settings settings, double[] capacityByKind) {
        this.settings = settings;
        this.capacity = capacityByKind;
    }

    private static void fail(String what, double now, long id) {
        throw new AssertionError(what + ": request or worker " + id + " at " + now);
    }

    void listed(double now, Worker entry) {
        Worker copy = Rig.worker(entry.id, entry.zone, entry.state, entry.startedAt);
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
        down.putIfAbsent(worker, now);
    }

    void setUp(double now, long worker) {
        Double since = down.remove(worker);
        if (since != null) {
            setDownAndUpAt.put(worker, new double[] {since, now});
        }
    }

    void requested(double now, Dispatch.Request request) {
        arrivals.add(now);
        Open open = new Open();
        open.type = settings.classes[request.jobClass];
        open.deadline = request.deadline;
        if (!Double.isNaN(request.hint)) {
            hinted++;
            hintSum += request.hint;
        }
        open.slots = request.slots;
        open.hint = request.hint;
        requests.put(request.id, open);
    }

    void sent(double now, long id, long workerId) {
        sends++;
        Open open = requests.get(id);
        Worker worker = known.get(workerId);
        if (open == null || open.over) {
            fail("sent after the final answer, or unknown", now, id);
        }
        if (worker == null || stoppedAt.containsKey(workerId) && now > stoppedAt.get(workerId) + settings.drainGrace) {
            fail("sent to a draining, gone or unknown worker", now, workerId);
        }
        if (down.containsKey(workerId)) {
            fail("sent to a worker that is set down", now, workerId);
        }
        if (open.type.kind >= 0 && worker.kind != open.type.kind) {
            fail("sent to a kind that can't run it", now, id);
        }
        if (open.sends.size() >= settings.maxAttempts) {
            fail("too many attempts", now, id);
        }
        if (!open.sends.isEmpty()) {
            checkRetryBudget(now, id);
        }
        for (Sent earlier : open.sends) {
            if (earlier.out && !settings.secondCopies) {
                fail("a second copy", now, id);
            }
            if (earlier.mayHaveRun && !mayFollow(open.type, earlier, worker, now)) {
                fail("a second effect", now, id);
            }
        }
        Sent sent = new Sent();
        sent.worker = worker;
        sent.at = now;
        open.sends.add(sent);
        checkColdBudget(now, worker, open);
    }

    /** If the budget holds at every retry, it holds in every window. */
    private void checkRetryBudget(double now, long id) {
        double since = now - settings.retryWindow;
        retries.add(now);
        long made = retries.stream().filter(at -> at > since).count();
        long requested = arrivals.stream().filter(at -> at > since).count();
        if (settings.retryWindow > 0 && made > settings.retryFree + settings.retryShare * requested) {
            fail("a retry beyond the retry budget", now, id);
        }
    }

    /** The worker's idle connections were closed; those that become idle later need another close. */
    void closed(double now, long worker) {
        if (settings.closeOnDrainWithin == 0 && !down.containsKey(worker) || !known.containsKey(worker)) {
            fail("connections of a worker closed without a reason", now, worker);
        }
        toClose.remove(worker);
        closes++;
    }

    private void expectClose(double now, long worker) {
        if (settings.closeOnDrainWithin > 0 && stoppedAt.containsKey(worker)) {
            toClose.put(worker, now);
        }
    }

    /** Fails if idle connections to a stopped worker stayed open for longer than the settings allow. */
    void closedInTime(double now) {
        toClose.forEach((worker, at) -> {
            if (now > at + settings.closeOnDrainWithin) {
                fail("idle connections left open", now, worker);
            }
        });
    }

    private static boolean mayFollow(JobClass type, Sent earlier, Worker worker, double now) {
        if (type.effect == Effect.SAFE) {
            return true;
        }
        return type.effect == Effect.KEYED
                && now <= earlier.at + type.dedupWindow
                && (type.group == Group.ALL
                        || (type.group == Group.ZONE
                                ? earlier.worker.zone == worker.zone
                                : earlier.worker.cell == worker.cell));
    }

    /**
     * The operators' limit by the true capacity: if the settings allow n requests of mean work, more than
     * n + 2 x sqrt(n) + 2 overload a cold worker. A request without a hint counts as a mean one.
     */
    private void checkColdBudget(double now, Worker worker, Open request) {
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
        for (double[] one : log) {
            sum += one[0] > now - settings.fallWithin ? one[1] : 0;
        }
        double share = settings.coldShare + (1 - settings.coldShare) * Math.max(0, age) / settings.coldFor;
        double allowed = settings.fallMultiple * share * capacity[worker.kind] * settings.fallWithin / mean;
        if (sum > (allowed + 2 * Math.sqrt(allowed) + 2) * mean) {
            fail("one dispatcher alone sends a cold worker more than overloads it", now, worker.id);
        }
    }

    void ended(double now, long id, int attempt, Dispatch.Outcome outcome, boolean over) {
        Open open = requests.get(id);
        Sent sent = open.sends.get(attempt);
        sent.out = false;
        switch (outcome) {
            case FULL:
                sent.mayHaveRun = settings.fullMayHaveRun;
                break;
            case CONNECT_FAILED:
            case MOOT:
                sent.mayHaveRun = false;
                break;
            default:
                break;
        }
        open.over |= over;
        expectClose(now, sent.worker.id);
    }

    JobClass typeOf(long id) {
        return requests.get(id).type;
    }

    /** Whether a streamed answer has begun: the end of its attempt, whatever the outcome, ends the request. */
    boolean isStream(long id) {
        return requests.get(id).streams;
    }

    void streams(long id) {
        requests.get(id).streams = true;
    }

    void left(long id) {
        requests.get(id).over = true;
    }

    void answered(double now, long id, boolean refusal) {
        Open open = requests.get(id);
        if (open == null || open.over) {
            fail("a second answer", now, id);
        }
        if (open.streams && open.sends.stream().anyMatch(sent -> sent.out)) {
            fail("an answer while a stream is running", now, id);
        }
        if (now > open.deadline) {
            fail("an answer after the client gave up", now, id);
        }
        for (Sent earlier : open.sends) {
            boolean harmless =
                    open.type.effect == Effect.SAFE || open.type.effect == Effect.KEYED && open.type.group == Group.ALL;
            if (refusal && earlier.mayHaveRun && !harmless) {
                fail("a refusal of a request that may have run", now, id);
            }
        }
        open.over = true;
    }

    boolean isOver(long id) {
        return requests.get(id).over;
    }

    long openRequests() {
        return requests.values().stream().filter(open -> !open.over).count();
    }
}
