package laneflow.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import laneflow.core.EndpointSet.Entry;
import laneflow.core.FleetSimulation.SentAttempt;
import laneflow.decision.Dispatch.LoadReport;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.State;

/** An endpoint of a {@link FleetSimulation}: it queues and runs jobs, hangs, crashes and restarts cold. */
final class SimulatedEndpoint {
    private static final int QUEUE_PER_SLOT = 6;

    private final FleetSimulation simulation;
    private final RandomSettings settings;
    final Entry entry = new Entry();
    final int slots;
    final double speed;
    final ArrayDeque<SentAttempt> queue = new ArrayDeque<>();
    private final List<SentAttempt> running = new ArrayList<>();
    final ArrayDeque<double[]> coldSends = new ArrayDeque<>();
    private double usedSlots;
    private double usedMemory;
    boolean up = true;
    boolean silent;
    private int incarnation;
    private LoadReport report;
    private long reportedAt;
    private int servedSinceReport;

    SimulatedEndpoint(FleetSimulation simulation, int number, int kind) {
        this.simulation = simulation;
        settings = simulation.settings;
        entry.name = "e" + number;
        entry.kind = kind;
        entry.zone = number % settings.zones;
        entry.cell = number % settings.cells;
        slots = settings.slotsOf(kind);
        speed = settings.speedOf(kind);
        entry.weight = slots * speed;
    }

    double warmShare() {
        double age = (simulation.now - entry.startedAt) / 1e3 / settings.coldMs;
        double coldShare = settings.coldFromPercent / 100.0;
        return entry.startedAt == 0 ? 1 : Math.min(1, coldShare + (1 - coldShare) * age);
    }

    boolean isWarm() {
        return up && !silent && warmShare() == 1;
    }

    void receive(SentAttempt sentAttempt) {
        if (warmShare() < 1) {
            simulation.invariants.checkColdBudget(this, sentAttempt, simulation.now);
        }
        if (!up) {
            return;
        }
        if (queue.size() >= QUEUE_PER_SLOT * slots) {
            simulation.schedule(500, () -> simulation.end(sentAttempt, Outcome.FULL));
            return;
        }
        simulation.changeHeldAttempts(1);
        sentAttempt.heldByEndpoint = true;
        queue.add(sentAttempt);
        startNext();
    }

    /** Its running and queued attempts. */
    Stream<SentAttempt> heldAttempts() {
        return Stream.concat(running.stream(), queue.stream());
    }

    void startNext() {
        while (!queue.isEmpty() && !silent && usedSlots + settings.slotsOf(queue.peek().client.type) <= slots) {
            SentAttempt sentAttempt = queue.poll();
            usedSlots += settings.slotsOf(sentAttempt.client.type);
            usedMemory += sentAttempt.client.request.memory;
            running.add(sentAttempt);
            sentAttempt.running = true;
            int startIncarnation = incarnation;
            long runMicros = (long) (1e6 * sentAttempt.client.work / (speed * warmShare()));
            if (settings.tellsStart && !sentAttempt.ended) {
                simulation.schedule(200, () -> reportProgress(sentAttempt, startIncarnation, 0, 1));
            }
            for (long at = settings.progressMs * 1000L; at > 0 && at < runMicros; at += settings.progressMs * 1000L) {
                long done = at;
                simulation.schedule(at, () -> reportProgress(sentAttempt, startIncarnation, done, runMicros));
            }
            simulation.schedule(runMicros, () -> complete(sentAttempt, startIncarnation));
        }
    }

    private void reportProgress(SentAttempt sentAttempt, int startIncarnation, long done, long total) {
        if (sentAttempt.ended || incarnation != startIncarnation || silent) {
            return;
        }
        if (done == 0) {
            sentAttempt.client.node.scheduler.started(sentAttempt.attempt);
        } else {
            sentAttempt.client.node.scheduler.progress(sentAttempt.attempt, done, total);
        }
    }

    private void complete(SentAttempt sentAttempt, int startIncarnation) {
        if (incarnation != startIncarnation) {
            return;
        }
        if (silent) {
            simulation.schedule(500_000, () -> complete(sentAttempt, startIncarnation));
            return;
        }
        running.remove(sentAttempt);
        release(sentAttempt);
        boolean fails = simulation.withFaults && simulation.random.nextInt(40) == 0;
        servedSinceReport++;
        simulation.end(sentAttempt, fails ? Outcome.ERROR : Outcome.OK);
        startNext();
    }

    void release(SentAttempt sentAttempt) {
        simulation.changeHeldAttempts(-1);
        sentAttempt.heldByEndpoint = false;
        if (sentAttempt.running) {
            usedSlots -= settings.slotsOf(sentAttempt.client.type);
            usedMemory -= sentAttempt.client.request.memory;
        }
    }

    /** Loses all attempts and restarts cold after the given time; if {@code isListed}, it is listed as gone until then. */
    void crash(boolean isListed, long downMicros) {
        if (!up) {
            return;
        }
        up = false;
        incarnation++;
        List<SentAttempt> lost = new ArrayList<>(running);
        lost.addAll(queue);
        running.clear();
        queue.clear();
        lost.forEach(sentAttempt -> {
            release(sentAttempt);
            simulation.schedule(300, () -> simulation.end(sentAttempt, Outcome.RESET));
        });
        if (isListed) {
            announce(State.GONE);
        }
        simulation.schedule(downMicros, () -> {
            up = true;
            silent = false;
            entry.startedAt = simulation.now;
            coldSends.clear();
            announce(State.READY);
        });
    }

    /** Every scheduler receives the new state after a random delay. */
    void announce(State state) {
        entry.state = state;
        Entry announced = entry.withState(state);
        for (FleetSimulation.Node node : simulation.nodes) {
            simulation.schedule(simulation.random.nextInt(800_000), () -> node.receive(announced));
        }
    }

    LoadReport report() {
        if (report == null || simulation.now >= reportedAt + settings.reportEveryMs * 1000L) {
            report = measure();
            reportedAt = simulation.now;
            servedSinceReport = 0;
        }
        return report;
    }

    private LoadReport measure() {
        LoadReport report = new LoadReport();
        report.freeSlots = settings.reports(0) ? Math.max(0, slots - usedSlots) : Double.NaN;
        report.queue = settings.reports(1) ? queue.size() : Double.NaN;
        report.rate = settings.reports(3) && simulation.now > reportedAt
                ? servedSinceReport * 1e6 / (simulation.now - reportedAt)
                : Double.NaN;
        report.freeMemory = settings.reports(2) && settings.memory > 0 ? slots - usedMemory : Double.NaN;
        return report;
    }
}
