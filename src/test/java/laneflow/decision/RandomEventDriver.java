package laneflow.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.Group;
import laneflow.decision.Dispatch.JobClass;
import laneflow.decision.Dispatch.ListKind;
import laneflow.decision.Dispatch.LoadReport;
import laneflow.decision.Dispatch.Note;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.ReportSource;
import laneflow.decision.Dispatch.Request;
import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Dispatch.State;
import laneflow.decision.Dispatch.Worker;

/** Drives one {@link Logic} with random settings and random valid events; it does not model real workers. */
final class RandomEventDriver implements Dispatch.Actions {
    private record Event(double at, long order, Runnable action) {}

    private final Random random;
    private final Settings settings = new Settings();
    private final List<Worker> workers = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final Logic logic;
    private final java.util.Map<Long, Integer> attempts = new java.util.HashMap<>();
    private final java.util.Map<Long, Double> hints = new java.util.HashMap<>();
    private final List<long[]> outstanding = new ArrayList<>();
    private long order;
    private long nextId = 1;
    private double now = 10;
    private int timers;
    private boolean withoutHints;
    final DispatchRuleChecker checker;
    final StringBuilder trace = new StringBuilder();
    int maxTimers;
    int streams;

    RandomEventDriver(long seed) {
        random = new Random(seed);
        int kinds = 1 + random.nextInt(3);
        settings.zones = 1 + random.nextInt(random.nextBoolean() ? 2 : 6);
        settings.zone = random.nextInt(settings.zones);
        settings.dispatchers = 1 + random.nextInt(10);
        settings.maxAttempts = 1 + random.nextInt(6);
        settings.secondCopies = random.nextBoolean();
        settings.mayCancel = random.nextBoolean();
        settings.mayProbe = random.nextBoolean();
        settings.tellsStart = random.nextBoolean();
        settings.progressInterval = random.nextBoolean() ? 0.5 : 0;
        settings.listNeedsSubscription = random.nextBoolean();
        settings.reports = ReportSource.values()[random.nextInt(3)];
        settings.weights = Dispatch.WeightSource.values()[random.nextInt(4)];
        settings.drainGrace = 0.2;
        settings.coldFor = 10 + random.nextInt(20);
        settings.coldShare = 0.1 + 0.3 * random.nextDouble();
        settings.fallMultiple = 2 + 2 * random.nextDouble();
        settings.fallWithin = 1 + 2 * random.nextDouble();
        settings.fullMayHaveRun = random.nextBoolean();
        settings.retryWindow = random.nextBoolean() ? 0 : 1 + random.nextInt(5);
        settings.retryFree = random.nextInt(4);
        settings.retryShare = 0.2 * random.nextDouble();
        settings.closeOnDrainWithin = random.nextBoolean() ? 0 : 0.3;
        classes(kinds);
        double[] capacity = new double[kinds];
        java.util.Arrays.fill(capacity, 4);
        checker = new DispatchRuleChecker(settings, capacity);
        int n = random.nextInt(8) == 0 ? 1 : 2 + random.nextInt(15);
        for (int i = 0; i < n; i++) {
            Worker w = LogicHarness.worker(1000 + i, random.nextInt(settings.zones));
            w.kind = random.nextInt(kinds);
            w.cell = i % 3;
            w.weight = 1 + random.nextInt(3);
            workers.add(w);
        }
        logic = new Logic(settings, seed, this);
    }

    private void classes(int kinds) {
        settings.classes = new JobClass[1 + random.nextInt(5)];
        for (int i = 0; i < settings.classes.length; i++) {
            JobClass c = new JobClass();
            c.effect = Effect.values()[random.nextInt(3)];
            c.group = Group.values()[random.nextInt(3)];
            c.dedupWindow = 0.5 + 3 * random.nextDouble();
            c.aim = 0.5 + random.nextDouble();
            c.stretch = 3 * random.nextDouble();
            c.deadline = 2 + 8 * random.nextDouble();
            c.worth = 1 + random.nextInt(8);
            c.lateWorth = random.nextBoolean() ? 0 : 0.3;
            c.kind = random.nextInt(4) == 0 ? random.nextInt(kinds) : -1;
            c.stream = random.nextInt(4) == 0;
            withoutHints |= i == 0 && random.nextInt(4) == 0;
            settings.classes[i] = c;
        }
    }

    void run(double length) {
        logic.start(now);
        fullList(ListKind.CACHED);
        double end = now + length;
        arrivals(end);
        listEvents(end);
        while (!events.isEmpty() && events.peek().at <= end + 15) {
            Event event = events.poll();
            now = Math.max(now, event.at);
            checker.checkClosedInTime(now);
            event.action.run();
        }
    }

    private void schedule(double time, Runnable action) {
        events.add(new Event(time, order++, action));
    }

    private void arrivals(double end) {
        if (now < end) {
            submitRandom();
            schedule(now + 0.002 + 0.08 * random.nextDouble(), () -> arrivals(end));
        }
    }

    private void listEvents(double end) {
        if (now < end) {
            changeList();
            schedule(now + 1.5 * random.nextDouble(), () -> listEvents(end));
        }
    }

    private void submitRandom() {
        Request r = new Request();
        r.id = nextId++;
        r.jobClass = random.nextInt(settings.classes.length);
        r.deadline = now + settings.classes[r.jobClass].deadline * (0.2 + 0.8 * random.nextDouble());
        r.hint = withoutHints || random.nextInt(5) == 0 ? Double.NaN : 0.05 + random.nextDouble();
        r.slots = 1 + random.nextInt(2);
        r.memory = random.nextDouble();
        hints.put(r.id, r.hint > 0 ? r.hint : 0.5);
        checker.onRequest(now, r);
        logic.request(now, r);
        if (random.nextInt(60) == 0 && !checker.isFinished(r.id)) {
            checker.onAbandoned(r.id);
            logic.abandoned(now, r.id);
        }
    }

    private void changeList() {
        int choice = random.nextInt(10);
        Worker w = workers.get(random.nextInt(workers.size()));
        if (choice == 8) {
            checker.setDown(now, w.id);
            logic.setDown(now, w.id);
        } else if (choice == 9) {
            Worker other = workers.get(random.nextInt(workers.size()));
            checker.setUp(now, other.id);
            logic.setUp(now, other.id);
        } else if (choice == 0) {
            logic.list(now, ListKind.FAILED, List.of());
        } else if (choice == 1) {
            fullList(ListKind.WHOLE);
        } else {
            w.state = choice < 4 ? State.values()[random.nextInt(3)] : State.READY;
            if (choice == 4 && w.startedAt < now - 1) {
                w.startedAt = now - random.nextInt(3);
            }
            checker.onListEntry(now, w);
            logic.list(now, ListKind.CHANGES, List.of(w));
        }
    }

    /** Sends a full list, which omits workers that are gone. */
    private void fullList(ListKind kind) {
        List<Worker> present = new ArrayList<>();
        for (Worker w : workers) {
            checker.onListEntry(now, w);
            if (w.state != State.GONE) {
                present.add(w);
            }
        }
        logic.list(now, kind, present);
    }

    private void beginStream(long id, int attempt) {
        if (!checker.isFinished(id) && outstanding.stream().anyMatch(sent -> sent[0] == id && sent[1] == attempt)) {
            streams++;
            checker.onStreaming(id);
            logic.streaming(now, id, attempt);
        }
    }

    private void endAttempt(long id, int attempt, long worker, Outcome outcome) {
        if (outstanding.removeIf(sent -> sent[0] == id && sent[1] == attempt)) {
            boolean finished = outcome == Outcome.OK || checker.isFinished(id) || checker.isStream(id);
            checker.onOutcome(now, id, attempt, outcome, finished);
            logic.outcome(now, id, attempt, worker, outcome, finished, random.nextBoolean() ? report() : null);
        }
    }

    private LoadReport report() {
        LoadReport report = new LoadReport();
        report.freeSlots = random.nextInt(5);
        report.queue = random.nextBoolean() ? Double.NaN : random.nextInt(3);
        report.freeMemory = random.nextBoolean() ? Double.NaN : 4 * random.nextDouble();
        return report;
    }

    @Override
    public void send(long id, int number, long worker) {
        trace.append("send ")
                .append(id)
                .append(' ')
                .append(worker)
                .append(' ')
                .append(now)
                .append('\n');
        checker.onSend(now, id, worker);
        int attempt = attempts.merge(id, 1, Integer::sum) - 1;
        if (attempt != number) {
            throw new AssertionError("attempt " + attempt + " is numbered " + number);
        }
        outstanding.add(new long[] {id, attempt});
        double runTime = random.nextInt(6) == 0 ? 30 : 0.01 + hints.get(id) * (0.7 + 0.6 * random.nextDouble());
        Outcome[] outcomes = Outcome.values();
        Outcome outcome = random.nextInt(3) > 0 ? Outcome.OK : outcomes[random.nextInt(outcomes.length)];
        if (settings.tellsStart && random.nextBoolean()) {
            schedule(now + 0.01, () -> logic.note(now, id, attempt, worker, Note.STARTED, 0));
            schedule(now + runTime / 2, () -> logic.note(now, id, attempt, worker, Note.PROGRESS, 0.5));
        }
        if (checker.typeOf(id).stream && runTime < 5) {
            schedule(now + 0.6 * runTime, () -> beginStream(id, attempt));
        }
        schedule(now + runTime, () -> endAttempt(id, attempt, worker, outcome));
    }

    @Override
    public void refuse(long id, double retryAfter) {
        trace.append("refuse ").append(id).append(' ').append(now).append('\n');
        checker.onAnswer(now, id, true);
    }

    @Override
    public void fail(long id) {
        trace.append("fail ").append(id).append(' ').append(now).append('\n');
        checker.onAnswer(now, id, false);
    }

    @Override
    public boolean cancel(long id, int attempt) {
        trace.append("cancel ").append(id).append(' ').append(attempt).append('\n');
        if (!settings.mayCancel || attempt >= attempts.getOrDefault(id, 0)) {
            throw new AssertionError("cancel of " + id + " " + attempt);
        }
        schedule(
                now + 0.01,
                () -> outstanding.stream()
                        .filter(sent -> sent[0] == id && sent[1] == attempt)
                        .findFirst()
                        .ifPresent(sent -> endAttempt(id, attempt, 0, Outcome.CANCELLED)));
        return false;
    }

    @Override
    public void probe(long worker) {
        if (!settings.mayProbe) {
            throw new AssertionError("probe of " + worker);
        }
        schedule(now + 0.02, () -> logic.probed(now, worker, 0.02, Outcome.OK, report()));
    }

    @Override
    public void closeIdle(long worker) {
        checker.onClose(now, worker);
    }

    @Override
    public void wake(double delay, long token) {
        maxTimers = Math.max(maxTimers, ++timers);
        schedule(now + delay, () -> {
            timers--;
            logic.timer(now, token);
        });
    }

    @Override
    public void watchList() {
        trace.append("watch\n");
    }
}
