package laneflow.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import laneflow.decision.Dispatch.Effect;
import laneflow.decision.Dispatch.ListKind;
import laneflow.decision.Dispatch.Note;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.Request;
import laneflow.decision.Dispatch.Settings;
import laneflow.decision.Dispatch.Worker;

/**
 * Simulates all schedulers of a fleet, each with its own {@link Logic}. Some workers start cold at the same time, and
 * demand exceeds their cold budgets. Records the load of cold workers relative to their overload limit.
 */
final class ColdStartSimulation {
    /** Time in seconds at which the cold workers start; schedulers learn from warm ones before it. */
    private static final double START = 1000;
    /** Aim of the jobs in seconds, so long that only the cold budget limits what is sent. */
    private static final double AIM = 1000;
    /** Seconds from a send to an answer 'full'. */
    private static final double FULL_AFTER = 0.005;

    private static final long WARM_WORKER = 1;
    private static final long FIRST_COLD = 2;

    private record Event(double at, long order, Runnable action) {}

    private record Send(double at, double work) {}

    /** One cold worker: the sends within the last {@code fallWithin} seconds, and until when it is busy. */
    private static final class ColdWorker {
        final Worker listEntry;
        final ArrayDeque<Send> sends = new ArrayDeque<>();
        double sum;
        double busyUntil = START;
        double slotsInUse;

        ColdWorker(Worker listEntry) {
            this.listEntry = listEntry;
        }
    }

    private final ColdStartScenario scenario;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final List<ColdWorker> coldWorkers = new ArrayList<>();
    private long order;
    private long lastRequest;
    private double now = START;
    int sends;
    /** The highest ratio of the work sent to a worker within {@code fallWithin} to its overload limit. */
    double maxLoadRatio;
    /** When the highest ratio occurred, in seconds after the start, and the largest job's fraction of that work. */
    double maxLoadAt;

    double largestJobShare;

    ColdStartSimulation(ColdStartScenario scenario) {
        this.scenario = scenario;
        random = new SplittableRandom(scenario.seed ^ 0x5DEECE66DL);
        for (int i = 0; i < scenario.workers; i++) {
            int zone =
                    i == 0 || scenario.spread == ColdStartScenario.Spread.ONE_ZONE ? 0 : random.nextInt(scenario.zones);
            coldWorkers.add(new ColdWorker(LogicHarness.worker(FIRST_COLD + i, zone, Dispatch.State.READY, START)));
        }
    }

    ColdStartSimulation simulate() {
        for (int index = 0; index < scenario.schedulers; index++) {
            new Scheduler(index).initialize();
        }
        double end = START + scenario.seconds;
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            event.action.run();
        }
        return this;
    }

    private void schedule(double time, Runnable action) {
        events.add(new Event(time, order++, action));
    }

    /** Mean jobs that the settings allow a cold worker of that age. */
    private double allowed(double age) {
        double share = Math.min(1, scenario.coldShare + (1 - scenario.coldShare) * age / scenario.coldFor);
        return scenario.fallMultiple
                * scenario.cores
                * scenario.speed
                * share
                * scenario.fallWithin
                / scenario.meanWork;
    }

    private void recordSend(ColdWorker worker, double work) {
        sends++;
        worker.sends.add(new Send(now, work));
        worker.sum += work;
        while (worker.sends.peek().at < now - scenario.fallWithin) {
            worker.sum -= worker.sends.poll().work;
        }
        double allowed = allowed(now - START);
        double loadRatio = worker.sum / scenario.meanWork / (allowed + 2 * Math.sqrt(allowed) + 2);
        if (loadRatio > maxLoadRatio) {
            maxLoadRatio = loadRatio;
            maxLoadAt = now - START;
            largestJobShare =
                    worker.sends.stream().mapToDouble(Send::work).max().getAsDouble() / worker.sum;
        }
    }

    /** One scheduler with its index and traffic; its process may be replaced. */
    private final class Scheduler {
        final int index;
        private Process process;
        private final double rate;

        Scheduler(int index) {
            this.index = index;
            rate = scenario.requestRate(index);
        }

        void initialize() {
            boolean isNew = random.nextDouble() < scenario.newShare;
            if (isNew) {
                double startAt = START + scenario.seconds * random.nextDouble() * 0.7;
                schedule(startAt, () -> replaceProcess(new Process(this, now), true));
            } else {
                process = new Process(this, START - 500);
                process.learn(scenario.warmJobs);
                double listedAt = START + scenario.listDelay * random.nextDouble();
                schedule(listedAt, () -> replaceProcess(process, false));
            }
            if (!isNew && random.nextDouble() < scenario.restartedShare) {
                double startAt = START + scenario.restartAt + scenario.restartWithin * random.nextDouble();
                schedule(startAt, () -> replaceProcess(new Process(this, now), true));
            }
        }

        private void replaceProcess(Process next, boolean isNewProcess) {
            boolean wasRequesting = process != null && process.isRequesting;
            process = next;
            next.listColdWorkers(isNewProcess);
            next.isRequesting = true;
            if (!wasRequesting) {
                submit();
            }
        }

        private void submit() {
            if (rate > 0) {
                process.submit();
                schedule(now - Math.log(1 - random.nextDouble()) / rate, this::submit);
            }
        }
    }

    /** One process of a scheduler, with its own {@link Logic}; answers to a replaced process are lost. */
    private final class Process implements Dispatch.Actions {
        private final Scheduler scheduler;
        private final Settings settings;
        private final Logic logic;
        /** Work and slots of the requests that were sent. */
        private final Map<Long, double[]> requests = new HashMap<>();

        private boolean isRequesting;
        private boolean wasSent;

        Process(Scheduler scheduler, double startsAt) {
            this.scheduler = scheduler;
            settings = settings(scheduler.index);
            logic = new Logic(settings, random.nextLong(), this);
            logic.start(startsAt);
            logic.list(startsAt, ListKind.CACHED, List.of());
        }

        private Settings settings(int index) {
            Settings settings = LogicHarness.settings(Effect.SAFE);
            settings.classes[0].aim = AIM;
            settings.classes[0].deadline = 2 * AIM;
            settings.zones = scenario.zones;
            settings.zone = scenario.zoneOf(index);
            settings.dispatcherIndex = index;
            settings.dispatchers = scenario.schedulers;
            settings.coldFor = scenario.coldFor;
            settings.coldShare = scenario.coldShare;
            settings.fallMultiple = scenario.fallMultiple;
            settings.fallWithin = scenario.fallWithin;
            settings.tellsStart = scenario.tellsStart;
            return settings;
        }

        /** Runs jobs one after another on a warm worker of the same kind, which is then removed. */
        void learn(int jobs) {
            double time = START - 400;
            logic.list(time, ListKind.CHANGES, List.of(LogicHarness.worker(WARM_WORKER, settings.zone)));
            for (int i = 0; i < jobs; i++) {
                double work = scenario.drawWork(random);
                long id = ++lastRequest;
                wasSent = false;
                logic.request(time, request(id, work, 1, time));
                if (!wasSent) {
                    continue;
                }
                if (scenario.tellsStart) {
                    logic.note(time, id, 0, WARM_WORKER, Note.STARTED, 0);
                }
                time += work / scenario.speed;
                logic.outcome(time, id, 0, WARM_WORKER, Outcome.OK, true, LogicHarness.free(scenario.cores));
            }
            logic.list(
                    Math.max(time, START - 1),
                    ListKind.CHANGES,
                    List.of(LogicHarness.worker(WARM_WORKER, settings.zone, Dispatch.State.GONE, 0)));
        }

        private Request request(long id, double work, int slots, double at) {
            Request request = new Request();
            request.id = id;
            request.deadline = at + 2 * AIM;
            request.hint = scenario.hint(work, random);
            request.slots = slots;
            return request;
        }

        void listColdWorkers(boolean isFullList) {
            List<Worker> entries = new ArrayList<>();
            coldWorkers.forEach(worker -> entries.add(worker.listEntry));
            logic.list(now, isFullList ? ListKind.WHOLE : ListKind.CHANGES, entries);
        }

        void submit() {
            long id = ++lastRequest;
            double work = scenario.drawWork(random);
            int slots = scenario.drawSlots(random);
            requests.put(id, new double[] {work, slots});
            wasSent = false;
            logic.request(now, request(id, work, slots, now));
            if (!wasSent) {
                requests.remove(id);
            }
        }

        @Override
        public void send(long request, int attempt, long to) {
            wasSent = true;
            if (to == WARM_WORKER) {
                return;
            }
            ColdWorker worker = coldWorkers.get((int) (to - FIRST_COLD));
            double[] job = requests.get(request);
            double slots = job[1];
            recordSend(worker, job[0] * slots);
            double draw = random.nextDouble();
            if (draw < scenario.silentShare) {
                return;
            }
            if (draw < scenario.silentShare + scenario.fullShare) {
                schedule(now + FULL_AFTER, () -> endAttempt(request, attempt, worker, Outcome.FULL));
                return;
            }
            worker.slotsInUse += slots;
            double currentCapacity = scenario.cores
                    * scenario.speed
                    * Math.min(1, scenario.coldShare + (1 - scenario.coldShare) * (now - START) / scenario.coldFor);
            worker.busyUntil = Math.max(now, worker.busyUntil) + job[0] * slots / currentCapacity;
            schedule(Math.max(worker.busyUntil, now + job[0] / scenario.speed), () -> {
                worker.slotsInUse -= slots;
                endAttempt(request, attempt, worker, Outcome.OK);
            });
        }

        private void endAttempt(long request, int attempt, ColdWorker worker, Outcome outcome) {
            if (scheduler.process == this) {
                double free = Math.max(0, scenario.cores - worker.slotsInUse);
                logic.outcome(
                        now,
                        request,
                        attempt,
                        worker.listEntry.id,
                        outcome,
                        outcome == Outcome.OK,
                        LogicHarness.free(free));
            }
        }

        @Override
        public void refuse(long request, double retryAfter) {}

        @Override
        public void fail(long request) {}

        @Override
        public boolean cancel(long request, int attempt) {
            return false;
        }

        @Override
        public void probe(long worker) {}

        @Override
        public void closeIdle(long worker) {}

        @Override
        public void wake(double delay, long token) {}

        @Override
        public void watchList() {}
    }
}
