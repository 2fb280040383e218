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

/** An independent reading of the four rules over what one dispatcher is told and does. */
final class Checker {
    /** Seconds of work of a request while no request of the day has had a hint. */
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
    private final Map<Long, Double> toldToStop = new HashMap<>();
    private final Map<Long, Worker> known = new HashMap<>();
    private final Map<Long, List<double[]>> coldSends = new HashMap<>();
    private final double[] capacity;
    private int hinted;
    private double hintSum;
    private final List<Double> taken = new ArrayList<>();
    private final List<Double> further = new ArrayList<>();
    /** Set down by operators, and when. */
    private final Map<Long, Double> down = new HashMap<>();
    /** The last time that each was set down, and up again. */
    private final Map<Long, double[]> back = new HashMap<>();

    private final Map<Long, Double> toClose = new HashMap<>();
    long sends;
    long closes;

    Checker(Settings settings, double[] capacityByKind) {
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
            toldToStop.remove(entry.id);
        } else {
            if (toldToStop.putIfAbsent(entry.id, now) == null && entry.state == Dispatch.State.DRAINING) {
                mustClose(now, entry.id);
            }
        }
    }

    void setDown(double now, long worker) {
        down.putIfAbsent(worker, now);
    }

    void setUp(double now, long worker) {
        Double since = down.remove(worker);
        if (since != null) {
            back.put(worker, new double[] {since, now});
        }
    }

    void asked(double now, Dispatch.Request request) {
        taken.add(now);
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
            fail("sent after the end, or unknown", now, id);
        }
        if (worker == null
                || toldToStop.containsKey(workerId) && now > toldToStop.get(workerId) + settings.drainGrace) {
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
            further(now, id);
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
        cold(now, worker, open);
    }

    /** Kept at every further attempt, the budget is kept in every window. */
    private void further(double now, long id) {
        double since = now - settings.retryWindow;
        further.add(now);
        long made = further.stream().filter(at -> at > since).count();
        long asked = taken.stream().filter(at -> at > since).count();
        if (settings.retryWindow > 0 && made > settings.retryFree + settings.retryShare * asked) {
            fail("a further attempt beyond the budget", now, id);
        }
    }

    /** The worker's connections are closed: what is idle there from now on needs a later word. */
    void closed(double now, long worker) {
        if (settings.closeOnDrainWithin == 0 && !down.containsKey(worker) || !known.containsKey(worker)) {
            fail("a worker's connections closed unasked", now, worker);
        }
        toClose.remove(worker);
        closes++;
    }

    private void mustClose(double now, long worker) {
        if (settings.closeOnDrainWithin > 0 && toldToStop.containsKey(worker)) {
            toClose.put(worker, now);
        }
    }

    /** Nothing is idle at a worker told to stop for longer than its time. */
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
     * The operators' limit, reckoned with the true capacity: of n requests of mean work that the settings allow,
     * more than n + 2 x root of n + 2 fell a cold worker. One without a hint counts as a mean one.
     */
    private void cold(double now, Worker worker, Open request) {
        double[] away = back.get(worker.id);
        double since =
                away == null || worker.startedAt > away[0] ? worker.startedAt : Math.max(worker.startedAt, away[1]);
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
            fail("a cold worker is sent more than fells it from one dispatcher alone", now, worker.id);
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
        mustClose(now, sent.worker.id);
    }

    JobClass typeOf(long id) {
        return requests.get(id).type;
    }

    /** An answer begun: its end, however it comes, is the request's. */
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
            fail("an answer over a stream that runs", now, id);
        }
        if (now > open.deadline) {
            fail("an answer after the client gave up", now, id);
        }
        for (Sent earlier : open.sends) {
            boolean harmless =
                    open.type.effect == Effect.SAFE || open.type.effect == Effect.KEYED && open.type.group == Group.ALL;
            if (refusal && earlier.mayHaveRun && !harmless) {
                fail("a refusal of what may have run", now, id);
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
