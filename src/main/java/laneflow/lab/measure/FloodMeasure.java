package laneflow.lab.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import laneflow.lab.rig.FileTree;
import laneflow.lab.standin.TimedEndpoints.Behaviour;

/**
 * {@code lab measure flood}: usual clients at a scheduler's process, first alone and then beside two kinds of clients
 * that misbehave. Drawn from the seed are these, how the endpoints behave, whether the process has a whole core or a
 * quarter of one, and how it ends: by a SIGTERM amid the flood, by a SIGKILL and a start, or not at all.
 */
public final class FloodMeasure {
    private static final int ROUNDS = 4;
    private static final int LARGE_ROUNDS = 12;
    private static final int USUAL_CLIENTS = 40;
    private static final int WARM_UP_MS = 1_500;
    private static final int CALM_MS = 2_500;
    private static final int FLOOD_MS = 5_000;
    private static final int BUSY_PROCESSES = 3;
    /** The aim for the usual clients' p99 beside a flood, with a whole core: twice the calm median, and this. */
    private static final double AIM_SLACK_MS = 50;

    private static final List<String> CLASSES = List.of("basket-check", "card-capture", "points-post");
    private static final List<Behaviour> BEHAVIOURS = List.of(
            Behaviour.serving(50),
            Behaviour.serving(200),
            new Behaviour(50, 0.5, 0, 0),
            new Behaviour(50, 0.1, 0.05, 0),
            new Behaviour(50, 0, 0, 0.02));

    /** What happens to the process halfway through the flood. */
    enum Event {
        NONE,
        TERMINATED,
        KILLED
    }

    /** What was drawn for a round. */
    private record Round(
            FloodClient.Kind first,
            FloodClient.Kind second,
            int firstCount,
            int secondCount,
            boolean quarter,
            String jobClass,
            Behaviour behaviour,
            Event event) {}

    private final PrintStream out;
    private final long seed;
    private final SplittableRandom random;
    private final int core;

    private FloodMeasure(long seed, PrintStream out) {
        this.seed = seed;
        this.out = out;
        random = new SplittableRandom(seed);
        int cores = Runtime.getRuntime().availableProcessors();
        core = cores - 1 - Math.floorMod(seed, Math.max(1, cores / 2));
    }

    /** Runs the rounds of a seed; 0 if all rules held in each, and each did what was drawn for it. */
    public static int run(long seed, boolean large, PrintStream out) throws IOException, InterruptedException {
        FloodMeasure measure = new FloodMeasure(seed, out);
        int broken = 0;
        int rounds = large ? LARGE_ROUNDS : ROUNDS;
        for (int round = 0; round < rounds; round++) {
            broken += measure.play(measure.draw()) ? 0 : 1;
        }
        out.printf(Locale.ROOT, "flood: seed=%d rounds=%d broken=%d%n", seed, rounds, broken);
        return broken == 0 ? 0 : 1;
    }

    private Round draw() {
        FloodClient.Kind[] kinds = FloodClient.Kind.values();
        FloodClient.Kind first = kinds[random.nextInt(kinds.length)];
        FloodClient.Kind second = kinds[random.nextInt(kinds.length)];
        return new Round(
                first,
                second,
                drawCount(first),
                drawCount(second),
                random.nextBoolean(),
                CLASSES.get(random.nextInt(CLASSES.size())),
                BEHAVIOURS.get(random.nextInt(BEHAVIOURS.size())),
                Event.values()[random.nextInt(Event.values().length)]);
    }

    private int drawCount(FloodClient.Kind kind) {
        return kind.staysIdle() ? 50 + random.nextInt(150) : 4 + random.nextInt(9);
    }

    private boolean play(Round round) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("laneflow-flood");
        try (FloodScenario scenario =
                new FloodScenario(folder, core, round.quarter ? BUSY_PROCESSES : 0, round.jobClass, round.behaviour)) {
            scenario.startUsualClients(USUAL_CLIENTS);
            Thread.sleep(WARM_UP_MS);
            long calmFrom = System.nanoTime();
            double calmProcessorMs = scenario.processorMs();
            Thread.sleep(CALM_MS);
            FloodScenario.Report calm = scenario.reportSince(calmFrom);
            double calmMsPerSecond = (scenario.processorMs() - calmProcessorMs) * 1000 / CALM_MS;
            long from = System.nanoTime();
            double processorMs = scenario.processorMs();
            FloodScenario.Flood first = scenario.startFlood(round.first, round.firstCount, seed, FLOOD_MS);
            FloodScenario.Flood second = scenario.startFlood(round.second, round.secondCount, seed + 1, FLOOD_MS);
            Thread.sleep(FLOOD_MS / 2);
            double usedMs = scenario.processorMs() - processorMs - calmMsPerSecond * FLOOD_MS / 2000;
            double peakMb = scenario.peakMemoryMb();
            double idsHalfway = scenario.endpoints().runs().size();
            happen(scenario, round.event);
            List<Long> sent = new ArrayList<>();
            sent.add(scenario.await(first));
            sent.add(scenario.await(second));
            scenario.stopUsualClients();
            peakMb = Math.max(peakMb, scenario.peakMemoryMb());
            FloodScenario.Report report = scenario.reportSince(from);
            boolean exercised = sent.stream().allMatch(count -> count > 0) && idsHalfway > 0 && report.answered() > 0;
            boolean holds = report.holds()
                    && exercised
                    && scenario.isAlive()
                    && peakMb < FloodScenario.MEMORY_MB
                    && scenario.peakDescriptors() < FloodScenario.SOCKETS;
            double aimMs = 2 * calm.p50() + AIM_SLACK_MS;
            out.printf(
                    Locale.ROOT,
                    "%s beside=%d %s + %d %s core=%s class=%s %s event=%s calm_p50_ms=%.0f calm_p99_ms=%.0f %s"
                            + " us_per_bad_request=%.1f peak_mb=%.0f descriptors=%d aim=%s%n",
                    holds ? "held" : exercised ? "BROKEN" : "NOT EXERCISED",
                    round.firstCount,
                    round.first,
                    round.secondCount,
                    round.second,
                    round.quarter ? "quarter" : "whole",
                    round.jobClass,
                    round.behaviour,
                    round.event,
                    calm.p50(),
                    calm.p99(),
                    FloodScenario.line(report),
                    Math.max(0, usedMs) * 2000 / Math.max(1, sent.get(0) + sent.get(1)) / 2,
                    peakMb,
                    scenario.peakDescriptors(),
                    round.quarter || round.event != Event.NONE ? "none" : report.p99() < aimMs ? "met" : "missed");
            if (!holds) {
                scenario.describeLostSince(from).forEach(out::println);
                scenario.describeLateSince(from).forEach(out::println);
                out.println(scenario.log());
            }
            return holds;
        } finally {
            FileTree.delete(folder);
        }
    }

    private static void happen(FloodScenario scenario, Event event) throws IOException, InterruptedException {
        switch (event) {
            case TERMINATED:
                scenario.terminateAndRestart();
                break;
            case KILLED:
                scenario.killAndRestart();
                break;
            default:
                break;
        }
    }
}
