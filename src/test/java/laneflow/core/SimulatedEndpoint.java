package laneflow.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import laneflow.core.EndpointSet.Entry;
import laneflow.core.FleetSimulation.Out;
import laneflow.decision.Dispatch.LoadReport;
import laneflow.decision.Dispatch.Outcome;
import laneflow.decision.Dispatch.State;

/** An endpoint of a {@link FleetSimulation}: it queues, runs, falls silent, dies with all that it has, and comes back cold. */
final class SimulatedEndpoint {
    private static final int QUEUE_EACH_SLOT = 6;

    private final FleetSimulation day;
    private final RandomSettings drawn;
    final Entry entry = new Entry();
    final int slots;
    final double speed;
    final ArrayDeque<Out> queue = new ArrayDeque<>();
    private final List<Out> running = new ArrayList<>();
    final ArrayDeque<double[]> cold = new ArrayDeque<>();
    private double used;
    private double memory;
    boolean up = true;
    boolean hangs;
    private int life;
    private LoadReport report;
    private long reportedAt;
    private int served; // Since then.

    SimulatedEndpoint(FleetSimulation day, int number, int kind) {
        this.day = day;
        drawn = day.drawn;
        entry.name = "e" + number;
        entry.kind = kind;
        entry.zone = number % drawn.zones;
        entry.cell = number % drawn.cells;
        slots = drawn.slotsOf(kind);
        speed = drawn.speedOf(kind);
        entry.weight = slots * speed;
    }

    double share() {
        double age = (day.now - entry.startedAt) / 1e3 / drawn.coldMs;
        double from = drawn.coldFromPercent / 100.0;
        return entry.startedAt == 0 ? 1 : Math.min(1, from + (1 - from) * age);
    }

    boolean isWarm() {
        return up && !hangs && share() == 1;
    }

    void take(Out out) {
        if (share() < 1) {
            day.rules.cold(this, out, day.now);
        }
        if (!up) {
            return;
        }
        if (queue.size() >= QUEUE_EACH_SLOT * slots) {
            day.after(500, () -> day.ends(out, Outcome.FULL));
            return;
        }
        day.busy(1);
        out.there = true;
        queue.add(out);
        startNext();
    }

    /** What it has, running or not. */
    Stream<Out> at() {
        return Stream.concat(running.stream(), queue.stream());
    }

    void startNext() {
        while (!queue.isEmpty() && !hangs && used + drawn.slotsOf(queue.peek().ask.type) <= slots) {
            Out out = queue.poll();
            used += drawn.slotsOf(out.ask.type);
            memory += out.ask.request.memory;
            running.add(out);
            out.running = true;
            int since = life;
            long took = (long) (1e6 * out.ask.work / (speed * share()));
            if (drawn.tellsStart && !out.over) {
                day.after(200, () -> told(out, since, 0, 1));
            }
            for (long at = drawn.progressMs * 1000L; at > 0 && at < took; at += drawn.progressMs * 1000L) {
                long done = at;
                day.after(at, () -> told(out, since, done, took));
            }
            day.after(took, () -> ran(out, since));
        }
    }

    private void told(Out out, int since, long done, long of) {
        if (out.over || life != since || hangs) {
            return;
        }
        if (done == 0) {
            out.ask.node.scheduler.started(out.call);
        } else {
            out.ask.node.scheduler.progress(out.call, done, of);
        }
    }

    private void ran(Out out, int since) {
        if (life != since) {
            return;
        }
        if (hangs) {
            day.after(500_000, () -> ran(out, since));
            return;
        }
        running.remove(out);
        gone(out);
        boolean fails = day.rough && day.random.nextInt(40) == 0;
        served++;
        day.ends(out, fails ? Outcome.ERROR : Outcome.OK);
        startNext();
    }

    void gone(Out out) {
        day.busy(-1);
        out.there = false;
        if (out.running) {
            used -= drawn.slotsOf(out.ask.type);
            memory -= out.ask.request.memory;
        }
    }

    /** Dies with all that it has; comes back cold. */
    void crash(boolean lists, long back) {
        if (!up) {
            return;
        }
        up = false;
        life++;
        List<Out> lost = new ArrayList<>(running);
        lost.addAll(queue);
        running.clear();
        queue.clear();
        lost.forEach(out -> {
            gone(out);
            day.after(300, () -> day.ends(out, Outcome.RESET));
        });
        if (lists) {
            tell(State.GONE);
        }
        day.after(back, () -> {
            up = true;
            hangs = false;
            entry.startedAt = day.now;
            cold.clear();
            tell(State.READY);
        });
    }

    /** Each scheduler hears of it in its own time. */
    void tell(State state) {
        entry.state = state;
        Entry word = entry.in(state);
        for (FleetSimulation.Node node : day.nodes) {
            day.after(day.random.nextInt(800_000), () -> node.hear(word));
        }
    }

    LoadReport report() {
        if (report == null || day.now >= reportedAt + drawn.reportEveryMs * 1000L) {
            report = taken();
            reportedAt = day.now;
            served = 0;
        }
        return report;
    }

    private LoadReport taken() {
        LoadReport report = new LoadReport();
        report.freeSlots = drawn.tells(0) ? Math.max(0, slots - used) : Double.NaN;
        report.queue = drawn.tells(1) ? queue.size() : Double.NaN;
        report.rate = drawn.tells(3) && day.now > reportedAt ? served * 1e6 / (day.now - reportedAt) : Double.NaN;
        report.freeMemory = drawn.tells(2) && drawn.memory > 0 ? slots - memory : Double.NaN;
        return report;
    }
}
