package laneflow.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.JobClass;
import laneflow.decision.Dispatch.ListKind;
import laneflow.decision.Dispatch.LoadReport;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.Request;
import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Dispatch.State;
import laneflow.decision.Dispatch.Worker;

/** A test harness around the module that records its actions and offers shorthand methods for events. */
final class Rig implements Dispatch.Actions {
    /** One recorded action. */
    record Action(String what, double at, long request, long worker, double value) {}

    private record Timer(double at, long order, long token) {}

    final Settings settings;
    final Logic logic;
    final List<Action> actions = new ArrayList<>();
    final Map<Long, Refusal> refusals = new HashMap<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private long order;
    double now;

    Rig(Settings settings) {
        this(settings, 100);
    }

    Rig(Settings settings, double now) {
        this.settings = settings;
        this.now = now;
        logic = new Logic(settings, 7, this);
        logic.start(now);
        logic.list(now, ListKind.CACHED, List.of());
    }

    /** Settings with one zone, one class of that effect, reports in answers and generous limits. */
    static Settings settings(Effect effect) {
        Settings s = new Settings();
        JobClass c = new JobClass();
        c.effect = effect;
        c.aim = 2;
        c.stretch = 2;
        c.deadline = 10;
        c.dedupWindow = 3;
        c.group = Dispatch.Group.ALL;
        s.classes = new JobClass[] {c};
        s.maxAttempts = 4;
        s.reports = Dispatch.ReportSource.ANSWERS;
        s.drainGrace = 0.5;
        s.coldFor = 20;
        s.coldShare = 0.15;
        s.fallMultiple = 3;
        s.fallWithin = 2;
        s.tick = 0.001;
        return s;
    }

    /** Work within {@code fallWithin} above which a cold worker with that many cores at present is overloaded. */
    static double overloadLimit(Settings settings, double cores, double meanWork) {
        double allowed = settings.fallMultiple * cores * settings.fallWithin / meanWork;
        return (allowed + 2 * Math.sqrt(allowed) + 2) * meanWork;
    }

    static Worker worker(long id, int zone) {
        Worker w = new Worker();
        w.id = id;
        w.zone = zone;
        w.cell = (int) id;
        return w;
    }

    static Worker worker(long id, int zone, State state, double startedAt) {
        Worker w = worker(id, zone);
        w.state = state;
        w.startedAt = startedAt;
        return w;
    }

    Rig workers(int zone, long... ids) {
        List<Worker> entries = new ArrayList<>();
        for (long id : ids) {
            entries.add(worker(id, zone));
        }
        logic.list(now, ListKind.CHANGES, entries);
        return this;
    }

    Request request(long id) {
        Request r = new Request();
        r.id = id;
        r.deadline = now + settings.classes[0].deadline;
        r.hint = 1;
        return r;
    }

    Rig submit(long id) {
        logic.request(now, request(id));
        return this;
    }

    /** Submits a job with that cost hint. */
    Rig submitHinted(long id, double hint) {
        Request r = request(id);
        r.hint = hint;
        logic.request(now, r);
        return this;
    }

    /** Submits jobs {@code from} to {@code to} (exclusive) with that cost hint at once; returns the number of sends. */
    int submitBurst(long from, long to, double hint) {
        int sent = 0;
        for (long id = from; id < to; id++) {
            sent += submitHinted(id, hint).sends(id).size();
        }
        return sent;
    }

    Rig submit(long id, int jobClass) {
        Request r = request(id);
        r.jobClass = jobClass;
        logic.request(now, r);
        return this;
    }

    Rig ends(long id, int attempt, Outcome outcome) {
        return ends(id, attempt, outcome, null);
    }

    Rig ends(long id, int attempt, Outcome outcome, LoadReport report) {
        logic.outcome(now, id, attempt, sends(id).get(attempt).worker, outcome, outcome == Outcome.OK, report);
        return this;
    }

    Rig starts(long id, int attempt) {
        logic.note(now, id, attempt, sends(id).get(attempt).worker, Dispatch.Note.STARTED, 0);
        return this;
    }

    Rig progress(long id, int attempt, double share) {
        logic.note(now, id, attempt, sends(id).get(attempt).worker, Dispatch.Note.PROGRESS, share);
        return this;
    }

    static LoadReport free(double slots) {
        LoadReport report = new LoadReport();
        report.freeSlots = slots;
        return report;
    }

    /** Advances the clock and fires the timers that expire on the way. */
    Rig advance(double seconds) {
        double until = now + seconds;
        while (!timers.isEmpty() && timers.peek().at <= until) {
            Timer timer = timers.poll();
            now = Math.max(now, timer.at);
            logic.timer(now, timer.token);
        }
        now = until;
        return this;
    }

    List<Action> all(String what, long request) {
        List<Action> found = new ArrayList<>();
        for (Action a : actions) {
            if (a.what.equals(what) && a.request == request) {
                found.add(a);
            }
        }
        return found;
    }

    List<Action> sends(long request) {
        return all("send", request);
    }

    long sentTo(long request) {
        List<Action> sends = sends(request);
        return sends.isEmpty() ? 0 : sends.get(sends.size() - 1).worker;
    }

    /** The final answers given to a request, in order. */
    String answers(long request) {
        StringBuilder found = new StringBuilder();
        for (Action a : actions) {
            if (a.request == request && (a.what.equals("refuse") || a.what.equals("fail"))) {
                found.append(a.what).append(' ');
            }
        }
        return found.toString().trim();
    }

    private void note(String what, long request, long worker, double value) {
        actions.add(new Action(what, now, request, worker, value));
    }

    @Override
    public void send(long request, int attempt, long worker) {
        note("send", request, worker, attempt);
    }

    @Override
    public void refuse(long request, double retryAfter) {
        note("refuse", request, 0, retryAfter);
    }

    @Override
    public void explainRefusal(long request, Refusal refusal) {
        refusals.put(request, refusal);
    }

    @Override
    public void fail(long request) {
        note("fail", request, 0, 0);
    }

    @Override
    public boolean cancel(long request, int attempt) {
        note("cancel", request, 0, attempt);
        return false;
    }

    @Override
    public void probe(long worker) {
        note("probe", 0, worker, 0);
    }

    @Override
    public void closeIdle(long worker) {
        note("close", 0, worker, 0);
    }

    @Override
    public void wake(double delay, long token) {
        timers.add(new Timer(now + delay, order++, token));
    }

    @Override
    public void watchList() {
        note("watch", 0, 0, 0);
    }
}
