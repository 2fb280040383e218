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
 * demand exceeds what they may take. Records the load of cold workers relative to their overload limit.
 */
final class ColdFleet {
    /** Time in seconds at which the cold workers start; schedulers learn from warm ones before it. */
    private static final double START = 1000;
    /** Aim in seconds of the jobs, so long that only the cold budget limits what is sent. */
    private static final double LONG_AIM = 1000;
    /** Seconds from a send to an answer 'full'. */
    private static final double FULL_AFTER = 0.005;

    private static final long WARM_WORKER = 1;
    private static final long FIRST_COLD = 2;

    private record Event(double at, long order, Runnable what) {}

    private record Send(double at, double work) {}

    /** One cold worker: the sends within the last {@code fallWithin} seconds, and until when it is busy. */
    private static final class ColdWorker {
        final Worker entry;
        final ArrayDeque<Send> sends = new ArrayDeque<>();
        double sum;
        double busyUntil = START;
        double slotsOut;

        ColdWorker(Worker entry) {
            this.entry = entry;
        }
    }

    private final ColdCase drawn;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final List<ColdWorker> cold = new ArrayList<>();
    private long order;
    private long lastRequest;
    private double now = START;
    int sends;
    /** The highest ratio of the work sent to a worker within {@code fallWithin} to its overload limit. */
    double maxLoadRatio;
    /** When the highest ratio occurred, in seconds after the start, and the largest job's fraction of that work. */
    double maxLoadAt;

    double largestJobShare;

    ColdFleet(ColdCase drawn) {
        this.drawn = drawn;
        random = new SplittableRandom(drawn.seed ^ 0x5DEECE66DL);
        for (int i = 0; i < drawn.workers; i++) {
            int zone = i == 0 || drawn.spread == ColdCase.Spread.ONE_ZONE ? 0 : random.nextInt(drawn.zones);
            cold.add(new ColdWorker(Rig.worker(FIRST_COLD + i, zone, Dispatch.State.READY, START)));
        }
    }

    ColdFleet simulate() {
        for (int index = 0; index < drawn.schedulers; index++) {
            new Scheduler(index).open();
        }
        double end = START + drawn.seconds;
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.poll();
            now = event.at;
            event.what.run();
        }
        return this;
    }

    private void at(double time, Runnable what) {
        events.add(new Event(time, order++, what));
    }

    /** Mean jobs that the settings allow a cold worker of that age. */
    private double allowed(double age) {
        double share = Math.min(1, drawn.coldShare + (1 - drawn.coldShare) * age / drawn.coldFor);
        return drawn.fallMultiple * drawn.cores * drawn.speed * share * drawn.fallWithin / drawn.meanWork;
    }

    private void arrived(ColdWorker worker, double work) {
        sends++;
        worker.sends.add(new Send(now, work));
        worker.sum += work;
        while (worker.sends.peek().at < now - drawn.fallWithin) {
            worker.sum -= worker.sends.poll().work;
        }
        double allowed = allowed(now - START);
        double part = worker.sum / drawn.meanWork / (allowed + 2 * Math.sqrt(allowed) + 2);
        if (part > maxLoadRatio) {
            maxLoadRatio = part;
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
            rate = drawn.requestRate(index);
        }

        void open() {
            boolean isNew = random.nextDouble() < drawn.newShare;
            if (isNew) {
                double at = START + drawn.seconds * random.nextDouble() * 0.7;
                at(at, () -> begin(new Process(this, now), true));
            } else {
                process = new Process(this, START - 500);
                process.learn(drawn.warmJobs);
                double listedAt = START + drawn.listDelay * random.nextDouble();
                at(listedAt, () -> begin(process, false));
            }
            if (!isNew && random.nextDouble() < drawn.restartedShare) {
                double at = START + drawn.restartAt + drawn.restartWithin * random.nextDouble();
                at(at, () -> begin(new Process(this, now), true));
            }
        }

        private void begin(Process next, boolean isFresh) {
            boolean wasRequesting = process != null && process.isRequesting;
            process = next;
            next.listColdWorkers(isFresh);
            next.isRequesting = true;
            if (!wasRequesting) {
                submit();
            }
        }

        private void submit() {
            if (rate > 0) {
                process.submit();
                at(now - Math.log(1 - random.nextDouble()) / rate, this::submit);
            }
        }
    }

    /** One process with its own module; answers to a replaced process are lost. */
    private final class Process implements Dispatch.Actions {
        private final Scheduler scheduler;
        private final Settings settings;
        private final Logic logic;
        /** Work and slots of the requests that were sent. */
        private final Map<Long, double[]> requests = new HashMap<>();

        private boolean isRequesting;
        private boolean sent;

        Process(Scheduler scheduler, double startsAt) {
            this.scheduler = scheduler;
            settings = settings(scheduler.index);
            logic = new Logic(settings, random.nextLong(), this);
            logic.start(startsAt);
            logic.list(startsAt, ListKind.CACHED, List.of());
        }

        private Settings settings(int index) {
            Settings s = Rig.settings(Effect.SAFE);
            s.classes[0].aim = LONG_AIM;
            s.classes[0].deadline = 2 * LONG_AIM;
            s.zones = drawn.zones;
            s.zone = drawn.zoneOf(index);
            s.dispatcherIndex = index;
            s.dispatchers = drawn.schedulers;
            s.coldFor = drawn.coldFor;
            s.coldShare = drawn.coldShare;
            s.fallMultiple = drawn.fallMultiple;
            s.fallWithin = drawn.fallWithin;
            s.tellsStart = drawn.tellsStart;
            return s;
        }

        /** Runs jobs one after another on a warm worker of the same kind, which is then removed. */
        void learn(int jobs) {
            double time = START - 400;
            logic.list(time, ListKind.CHANGES, List.of(Rig.worker(WARM_WORKER, settings.zone)));
            for (int i = 0; i < jobs; i++) {
                double work = drawn.drawWork(random);
                long id = ++lastRequest;
                sent = false;
                logic.request(time, request(id, work, 1, time));
                if (!sent) {
                    continue;
                }
                if (drawn.tellsStart) {
                    logic.note(time, id, 0, WARM_WORKER, Note.STARTED, 0);
                }
                time += work / drawn.speed;
                logic.outcome(time, id, 0, WARM_WORKER, Outcome.OK, true, Rig.free(drawn.cores));
            }
            logic.list(
                    Math.max(time, START - 1),
                    ListKind.CHANGES,
                    List.of(Rig.worker(WARM_WORKER, settings.zone, Dispatch.State.GONE, 0)));
        }

        private Request request(long id, double work, int slots, double at) {
            Request r = new Request();
            r.id = id;
            r.deadline = at + 2 * LONG_AIM;
            r.hint = drawn.hint(work, random);
            r.slots = slots;
            return r;
        }

        void listColdWorkers(boolean isWhole) {
            List<Worker> entries = new ArrayList<>();
            cold.forEach(worker -> entries.add(worker.entry));
            logic.list(now, isWhole ? ListKind.WHOLE : ListKind.CHANGES, entries);
        }

        void submit() {
            long id = ++lastRequest;
            double work = drawn.drawWork(random);
            int slots = drawn.drawSlots(random);
            requests.put(id, new double[] {work, slots});
            sent = false;
            logic.request(now, request(id, work, slots, now));
            if (!sent) {
                requests.remove(id);
            }
        }

        @Override
        public void send(long request, int attempt, long to) {
            sent = true;
            if (to == WARM_WORKER) {
                return;
            }
            ColdWorker worker = cold.get((int) (to - FIRST_COLD));
            double[] job = requests.get(request);
            double slots = job[1];
            arrived(worker, job[0] * slots);
            double fate = random.nextDouble();
            if (fate < drawn.silentShare) {
                return;
            }
            if (fate < drawn.silentShare + drawn.fullShare) {
                at(now + FULL_AFTER, () -> ends(request, attempt, worker, Outcome.FULL));
                return;
            }
            worker.slotsOut += slots;
            double present = drawn.cores
                    * drawn.speed
                    * Math.min(1, drawn.coldShare + (1 - drawn.coldShare) * (now - START) / drawn.coldFor);
            worker.busyUntil = Math.max(now, worker.busyUntil) + job[0] * slots / present;
            at(Math.max(worker.busyUntil, now + job[0] / drawn.speed), () -> {
                worker.slotsOut -= slots;
                ends(request, attempt, worker, Outcome.OK);
            });
        }

        private void ends(long request, int attempt, ColdWorker worker, Outcome outcome) {
            if (scheduler.process == this) {
                double free = Math.max(0, drawn.cores - worker.slotsOut);
                logic.outcome(now, request, attempt, worker.entry.id, outcome, outcome == Outcome.OK, Rig.free(free));
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
