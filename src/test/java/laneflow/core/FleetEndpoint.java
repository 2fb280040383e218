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
final class FleetEndpoint {
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
    private int served; // Since the last report.

    FleetEndpoint(FleetSimulation simulation, int number, int kind) {
        this.simulation = simulation;
        settings = simulation.drawn;
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
        double from = settings.coldFromPercent / 100.0;
        return entry.startedAt == 0 ? 1 : Math.min(1, from + (1 - from) * age);
    }

    boolean isWarm() {
        return up && !silent && warmShare() == 1;
    }

    void receive(SentAttempt sent) {
        if (warmShare() < 1) {
            simulation.rules.checkColdBudget(this, sent, simulation.now);
        }
        if (!up) {
            return;
        }
        if (queue.size() >= QUEUE_PER_SLOT * slots) {
            simulation.schedule(500, () -> simulation.end(sent, Outcome.FULL));
            return;
        }
        simulation.changeBusy(1);
        sent.heldByWorker = true;
        queue.add(sent);
        startNext();
    }

    /** The attempts it holds, running or queued. */
    Stream<SentAttempt> held() {
        return Stream.concat(running.stream(), queue.stream());
    }

    void startNext() {
        while (!queue.isEmpty() && !silent && usedSlots + settings.slotsOf(queue.peek().client.type) <= slots) {
            SentAttempt sent = queue.poll();
            usedSlots += settings.slotsOf(sent.client.type);
            usedMemory += sent.client.request.memory;
            running.add(sent);
            sent.running = true;
            int startedIn = incarnation;
            long runMicros = (long) (1e6 * sent.client.work / (speed * warmShare()));
            if (settings.tellsStart && !sent.ended) {
                simulation.schedule(200, () -> reportProgress(sent, startedIn, 0, 1));
            }
            for (long at = settings.progressMs * 1000L; at > 0 && at < runMicros; at += settings.progressMs * 1000L) {
                long done = at;
                simulation.schedule(at, () -> reportProgress(sent, startedIn, done, runMicros));
            }
            simulation.schedule(runMicros, () -> complete(sent, startedIn));
        }
    }

    private void reportProgress(SentAttempt sent, int startedIn, long done, long total) {
        if (sent.ended || incarnation != startedIn || silent) {
            return;
        }
        if (done == 0) {
            sent.client.node.scheduler.started(sent.attempt);
        } else {
            sent.client.node.scheduler.progress(sent.attempt, done, total);
        }
    }

    private void complete(SentAttempt sent, int startedIn) {
        if (incarnation != startedIn) {
            return;
        }
        if (silent) {
            simulation.schedule(500_000, () -> complete(sent, startedIn));
            return;
        }
        running.remove(sent);
        release(sent);
        boolean fails = simulation.rough && simulation.random.nextInt(40) == 0;
        served++;
        simulation.end(sent, fails ? Outcome.ERROR : Outcome.OK);
        startNext();
    }

    void release(SentAttempt sent) {
        simulation.changeBusy(-1);
        sent.heldByWorker = false;
        if (sent.running) {
            usedSlots -= settings.slotsOf(sent.client.type);
            usedMemory -= sent.client.request.memory;
        }
    }

    /** Loses all attempts and restarts cold after the given time; until then it is listed as gone if so asked. */
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
        lost.forEach(sent -> {
            release(sent);
            simulation.schedule(300, () -> simulation.end(sent, Outcome.RESET));
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
            served = 0;
        }
        return report;
    }

    private LoadReport measure() {
        LoadReport report = new LoadReport();
        report.freeSlots = settings.reports(0) ? Math.max(0, slots - usedSlots) : Double.NaN;
        report.queue = settings.reports(1) ? queue.size() : Double.NaN;
        report.rate = settings.reports(3) && simulation.now > reportedAt
                ? served * 1e6 / (simulation.now - reportedAt)
                : Double.NaN;
        report.freeMemory = settings.reports(2) && settings.memory > 0 ? slots - usedMemory : Double.NaN;
        return report;
    }
}
