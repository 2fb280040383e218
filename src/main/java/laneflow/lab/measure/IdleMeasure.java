package laneflow.lab.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import laneflow.lab.rig.ChildProcesses;
import laneflow.lab.rig.FileTree;
import laneflow.lab.rig.Rig;

/**
 * {@code lab measure idle}: processor time and wake-ups, by thread, of schedulers without load a minute after
 * their start, in three setups: alone, with membership, and with membership and policy. Uses the times of
 * {@link ThreadTimes}, since clock ticks of 10 ms are too coarse for 2 ms per second.
 */
public final class IdleMeasure {
    private static final int SCHEDULERS = 4;
    private static final int VOTERS = 3;
    private static final int PERIOD_MS = 250;
    private static final double MAX_EXTRA_MS_PER_SECOND = 2;
    private static final String COMMON_SETTINGS = "zones = [\"z\"]\n[limits]\nsockets = 512\n[classes.check]\n"
            + "aim_ms = 200\ndeadline_ms = 5000\nrepeat = \"safe\"\n";

    private final PrintStream out;
    private final int ageSeconds;
    private final int spanSeconds;

    private IdleMeasure(boolean large, PrintStream out) {
        this.out = out;
        ageSeconds = large ? 120 : 60;
        spanSeconds = large ? 60 : 20;
    }

    /** Runs all setups at the same time; 0 if membership and policy add no more processor time than permitted. */
    public static int run(long seed, boolean large, PrintStream out) throws IOException, InterruptedException {
        return new IdleMeasure(large, out).runAll(seed);
    }

    private int runAll(long seed) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("laneflow-idle");
        List<Rig> rigs = new ArrayList<>();
        String[] setups = {"alone", "view", "policy and view"};
        int[] nodes = {ChildProcesses.freePort(), ChildProcesses.freePort(), ChildProcesses.freePort()};
        try {
            for (int setup = 0; setup < setups.length; setup++) {
                Path setupFolder = Files.createDirectory(folder.resolve("kind-" + setup));
                String policy = setup < 2 ? "" : "[policy]\nvoters = VOTERS\ndir = \"FOLDER\"\n";
                Rig rig = new Rig(
                        setupFolder, SCHEDULERS, VOTERS, seed, COMMON_SETTINGS + Rig.endpointTables(nodes) + policy);
                rigs.add(rig);
                if (setup > 0) {
                    rig.enableGossip(seed, PERIOD_MS, 0, 1);
                }
                rig.startAll();
            }
            rigs.get(1).awaitSettled(SCHEDULERS, rigs.get(1).all());
            rigs.get(2).awaitDeciding(0, rigs.get(2).all());
            Thread.sleep(ageSeconds * 1000L);
            List<List<Map<String, ThreadTimes>>> before = threadTimes(rigs);
            long from = System.nanoTime();
            Thread.sleep(spanSeconds * 1000L);
            List<List<Map<String, ThreadTimes>>> after = threadTimes(rigs);
            double seconds = (System.nanoTime() - from) / 1e9;
            double[] means = new double[setups.length];
            StringBuilder perScheduler = new StringBuilder();
            for (int setup = 0; setup < setups.length; setup++) {
                for (int i = 0; i < SCHEDULERS; i++) {
                    double msPerSecond = report(
                            setups[setup] + ", " + Rig.name(i),
                            before.get(setup).get(i),
                            after.get(setup).get(i),
                            seconds);
                    means[setup] += msPerSecond / SCHEDULERS;
                    perScheduler.append(
                            setup < 2 ? "" : String.format(Locale.ROOT, " %s_ms=%.2f", Rig.name(i), msPerSecond));
                }
            }
            out.printf(
                    Locale.ROOT,
                    "idle: schedulers=%d voters=%d age_s=%d alone_ms_per_s=%.2f"
                            + " view_ms_per_s=%.2f policy_view_ms_per_s=%.2f%s%n",
                    SCHEDULERS,
                    VOTERS,
                    ageSeconds,
                    means[0],
                    means[1],
                    means[2],
                    perScheduler);
            return means[2] - means[0] <= MAX_EXTRA_MS_PER_SECOND ? 0 : 1;
        } finally {
            for (Rig rig : rigs) {
                rig.close();
            }
            FileTree.delete(folder);
        }
    }

    private double report(
            String label, Map<String, ThreadTimes> before, Map<String, ThreadTimes> after, double seconds) {
        StringBuilder threadDetails = new StringBuilder();
        double totalMs = 0;
        for (Map.Entry<String, ThreadTimes> thread : after.entrySet()) {
            ThreadTimes used = thread.getValue().less(before.get(thread.getKey()));
            double ms = used.ns() / 1e6 / seconds;
            totalMs += ms;
            if (ms >= 0.05) {
                threadDetails.append(String.format(
                        Locale.ROOT, "; %s %.2f ms, %.1f wakes", thread.getKey(), ms, used.wakes() / seconds));
            }
        }
        out.printf(Locale.ROOT, "%s: %.2f ms per second%s%n", label, totalMs, threadDetails);
        return totalMs;
    }

    private static List<List<Map<String, ThreadTimes>>> threadTimes(List<Rig> rigs) throws IOException {
        List<List<Map<String, ThreadTimes>>> timesByRig = new ArrayList<>();
        for (Rig rig : rigs) {
            List<Map<String, ThreadTimes>> timesByScheduler = new ArrayList<>();
            for (int i : rig.all()) {
                timesByScheduler.add(ThreadTimes.of(rig.pid(i)));
            }
            timesByRig.add(timesByScheduler);
        }
        return timesByRig;
    }
}
