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
 * All schedulers of a fleet, each with its own {@link Logic}, before workers that start cold at one instant
 * while more is asked for than these may take. Records how much of what fells a cold worker it is sent.
 */
final class ColdFleet {
    /** Seconds at which the cold workers start; warm ones are learned from before. */
    private static final double START = 1000;
    /** A class whose jobs may wait that long, so that only the cold budget limits what is sent. */
    private static final double PATIENT = 1000;
    /** Seconds from a send to an answer 'full'. */
    private static final double FULL_AFTER = 0.005;

    private static final long WARM_WORKER = 1;
    private static final long FIRST_COLD = 2;

    private record Event(double at, long order, Runnable what) {}

    private record Send(double at, double work) {}

    /** One cold worker: what it was sent of late, and until when it is busy. */
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
    /** The greatest part of what fells a worker that any of them was sent within the time named. */
    double greatest;
    /** Seconds after the start at which that was, and the part of it that one job alone made up. */
    double greatestAt;

    double greatestJob;

    ColdFleet(ColdCase drawn) {
        this.drawn = drawn;
        random = new SplittableRandom(drawn.seed ^ 0x5DEECE66DL);
        for (int i = 0; i < drawn.workers; i++) {
            int zone = i == 0 || drawn.spread == ColdCase.Spread.ONE_ZONE ? 0 : random.nextInt(drawn.zones);
            cold.add(new ColdWorker(Rig.worker(FIRST_COLD + i, zone, Dispatch.State.READY, START)));
        }
    }

    ColdFleet play() {
        for (int me = 0; me < drawn.schedulers; me++) {
            new Seat(me).open();
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

    /** Mean jobs that the settings allow a cold worker now. */
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
        if (part > greatest) {
            greatest = part;
            greatestAt = now - START;
            greatestJob = worker.sends.stream().mapToDouble(Send::work).max().getAsDouble() / worker.sum;
        }
    }

    /** One scheduler's number with its traffic; its process may be replaced. */
    private final class Seat {
        final int me;
        private Process process;
        private final double rate;

        Seat(int me) {
            this.me = me;
            rate = drawn.requestRate(me);
        }

        void open() {
            boolean isNew = random.nextDouble() < drawn.newPart;
            if (isNew) {
                double at = START + drawn.seconds * random.nextDouble() * 0.7;
                at(at, () -> begin(new Process(this, now), true));
            } else {
                process = new Process(this, START - 500);
                process.learn(drawn.warmJobs);
                double told = START + drawn.listDelay * random.nextDouble();
                at(told, () -> begin(process, false));
            }
            if (!isNew && random.nextDouble() < drawn.restartedPart) {
                double at = START + drawn.restartAt + drawn.restartWithin * random.nextDouble();
                at(at, () -> begin(new Process(this, now), true));
            }
        }

        private void begin(Process next, boolean isFresh) {
            boolean asksAlready = process != null && process.isAsked;
            process = next;
            next.toldOfCold(isFresh);
            next.isAsked = true;
            if (!asksAlready) {
                ask();
            }
        }

        private void ask() {
            if (rate > 0) {
                process.ask();
                at(now - Math.log(1 - random.nextDouble()) / rate, this::ask);
            }
        }
    }

    /** One process with its own module; what comes back to one that has been replaced is lost. */
    private final class Process implements Dispatch.Actions {
        private final Seat seat;
        private final Settings settings;
        private final Logic logic;
        /** Work and slots of the requests that were sent on. */
        private final Map<Long, double[]> asked = new HashMap<>();

        private boolean isAsked;
        private boolean sent;

        Process(Seat seat, double startsAt) {
            this.seat = seat;
            settings = settings(seat.me);
            logic = new Logic(settings, random.nextLong(), this);
            logic.start(startsAt);
            logic.list(startsAt, ListKind.CACHED, List.of());
        }

        private Settings settings(int me) {
            Settings s = Rig.settings(Effect.SAFE);
            s.classes[0].aim = PATIENT;
            s.classes[0].deadline = 2 * PATIENT;
            s.zones = drawn.zones;
            s.zone = drawn.zoneOf(me);
            s.dispatcherIndex = me;
            s.dispatchers = drawn.schedulers;
            s.coldFor = drawn.coldFor;
            s.coldShare = drawn.coldShare;
            s.fallMultiple = drawn.fallMultiple;
            s.fallWithin = drawn.fallWithin;
            s.tellsStart = drawn.tellsStart;
            return s;
        }

        /** Runs jobs one after another on a warm worker of the same kind, which then goes. */
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
            r.deadline = at + 2 * PATIENT;
            r.hint = drawn.hint(work, random);
            r.slots = slots;
            return r;
        }

        void toldOfCold(boolean isWhole) {
            List<Worker> entries = new ArrayList<>();
            cold.forEach(worker -> entries.add(worker.entry));
            logic.list(now, isWhole ? ListKind.WHOLE : ListKind.CHANGES, entries);
        }

        void ask() {
            long id = ++lastRequest;
            double work = drawn.drawWork(random);
            int slots = drawn.drawSlots(random);
            asked.put(id, new double[] {work, slots});
            sent = false;
            logic.request(now, request(id, work, slots, now));
            if (!sent) {
                asked.remove(id);
            }
        }

        @Override
        public void send(long request, int attempt, long to) {
            sent = true;
            if (to == WARM_WORKER) {
                return;
            }
            ColdWorker worker = cold.get((int) (to - FIRST_COLD));
            double[] job = asked.get(request);
            double slots = job[1];
            arrived(worker, job[0] * slots);
            double fate = random.nextDouble();
            if (fate < drawn.neverPart) {
                return;
            }
            if (fate < drawn.neverPart + drawn.fullPart) {
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
            if (seat.process == this) {
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
