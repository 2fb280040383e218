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

/** Drives one {@link Logic} on a simulated clock, with shorthand methods for events, and records its actions. */
final class LogicHarness implements Dispatch.Actions {
    /** One recorded action. */
    record Action(String kind, double at, long request, long worker, double value) {}

    private record Timer(double at, long order, long token) {}

    final Settings settings;
    final Logic logic;
    final List<Action> actions = new ArrayList<>();
    final Map<Long, Refusal> refusals = new HashMap<>();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private long order;
    double now;

    LogicHarness(Settings settings) {
        this(settings, 100);
    }

    LogicHarness(Settings settings, double now) {
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

    LogicHarness workers(int zone, long... ids) {
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

    LogicHarness submit(long id) {
        logic.request(now, request(id));
        return this;
    }

    /** Submits a job with that cost hint. */
    LogicHarness submitHinted(long id, double hint) {
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

    LogicHarness submit(long id, int jobClass) {
        Request r = request(id);
        r.jobClass = jobClass;
        logic.request(now, r);
        return this;
    }

    LogicHarness ends(long id, int attempt, Outcome outcome) {
        return ends(id, attempt, outcome, null);
    }

    LogicHarness ends(long id, int attempt, Outcome outcome, LoadReport report) {
        logic.outcome(now, id, attempt, sends(id).get(attempt).worker, outcome, outcome == Outcome.OK, report);
        return this;
    }

    LogicHarness starts(long id, int attempt) {
        logic.note(now, id, attempt, sends(id).get(attempt).worker, Dispatch.Note.STARTED, 0);
        return this;
    }

    LogicHarness progress(long id, int attempt, double share) {
        logic.note(now, id, attempt, sends(id).get(attempt).worker, Dispatch.Note.PROGRESS, share);
        return this;
    }

    static LoadReport free(double slots) {
        LoadReport report = new LoadReport();
        report.freeSlots = slots;
        return report;
    }

    /** Advances the clock and fires the timers that expire on the way. */
    LogicHarness advance(double seconds) {
        double until = now + seconds;
        while (!timers.isEmpty() && timers.peek().at <= until) {
            Timer timer = timers.poll();
            now = Math.max(now, timer.at);
            logic.timer(now, timer.token);
        }
        now = until;
        return this;
    }

    List<Action> actions(String kind, long request) {
        List<Action> matching = new ArrayList<>();
        for (Action action : actions) {
            if (action.kind.equals(kind) && action.request == request) {
                matching.add(action);
            }
        }
        return matching;
    }

    List<Action> sends(long request) {
        return actions("send", request);
    }

    long sentTo(long request) {
        List<Action> sends = sends(request);
        return sends.isEmpty() ? 0 : sends.get(sends.size() - 1).worker;
    }

    /** The final answers given to a request, in order. */
    String answers(long request) {
        StringBuilder answers = new StringBuilder();
        for (Action action : actions) {
            if (action.request == request && (action.kind.equals("refuse") || action.kind.equals("fail"))) {
                answers.append(action.kind).append(' ');
            }
        }
        return answers.toString().trim();
    }

    private void recordAction(String kind, long request, long worker, double value) {
        actions.add(new Action(kind, now, request, worker, value));
    }

    @Override
    public void send(long request, int attempt, long worker) {
        recordAction("send", request, worker, attempt);
    }

    @Override
    public void refuse(long request, double retryAfter) {
        recordAction("refuse", request, 0, retryAfter);
    }

    @Override
    public void explainRefusal(long request, Refusal refusal) {
        refusals.put(request, refusal);
    }

    @Override
    public void fail(long request) {
        recordAction("fail", request, 0, 0);
    }

    @Override
    public boolean cancel(long request, int attempt) {
        recordAction("cancel", request, 0, attempt);
        return false;
    }

    @Override
    public void probe(long worker) {
        recordAction("probe", 0, worker, 0);
    }

    @Override
    public void closeIdle(long worker) {
        recordAction("close", 0, worker, 0);
    }

    @Override
    public void wake(double delay, long token) {
        timers.add(new Timer(now + delay, order++, token));
    }

    @Override
    public void watchList() {
        recordAction("watch", 0, 0, 0);
    }
}
