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
 * {@code lab measure idle}: what a scheduler costs that nobody asks, a minute after its start, by itself,
 * with a view of the others, and with policy besides; for each thread the processor time and how often it
 * woke. Ticks of 10 ms say nothing of 2 ms a second.
 */
public final class IdleMeasure {
    private static final int SCHEDULERS = 4;
    private static final int VOTERS = 3;
    private static final int PERIOD_MS = 250;
    private static final double AIM_MS = 2;
    private static final String FILE = "zones = [\"z\"]\n[limits]\nsockets = 512\n[classes.check]\n"
            + "aim_ms = 200\ndeadline_ms = 5000\nrepeat = \"safe\"\n";

    private final PrintStream out;
    private final int age;
    private final int span;

    private IdleMeasure(boolean large, PrintStream out) {
        this.out = out;
        age = large ? 120 : 60;
        span = large ? 60 : 20;
    }

    /** Runs all three beside each other; 0 if a process with view and policy needs no more than it may. */
    public static int run(long seed, boolean large, PrintStream out) throws IOException, InterruptedException {
        return new IdleMeasure(large, out).all(seed);
    }

    private int all(long seed) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("laneflow-idle");
        List<Rig> rigs = new ArrayList<>();
        String[] kinds = {"alone", "view", "policy and view"};
        int[] nodes = {ChildProcesses.freePort(), ChildProcesses.freePort(), ChildProcesses.freePort()};
        try {
            for (int kind = 0; kind < kinds.length; kind++) {
                Path here = Files.createDirectory(folder.resolve("kind-" + kind));
                String policy = kind < 2 ? "" : "[policy]\nvoters = VOTERS\ndir = \"FOLDER\"\n";
                Rig rig = new Rig(here, SCHEDULERS, VOTERS, seed, FILE + Rig.endpointTables(nodes) + policy);
                rigs.add(rig);
                if (kind > 0) {
                    rig.enableGossip(seed, PERIOD_MS, 0, 1);
                }
                rig.startAll();
            }
            rigs.get(1).awaitSettled(SCHEDULERS, rigs.get(1).all());
            rigs.get(2).awaitDeciding(0, rigs.get(2).all());
            Thread.sleep(age * 1000L);
            List<List<Map<String, ThreadTimes>>> before = used(rigs);
            long from = System.nanoTime();
            Thread.sleep(span * 1000L);
            List<List<Map<String, ThreadTimes>>> after = used(rigs);
            double seconds = (System.nanoTime() - from) / 1e9;
            double[] means = new double[kinds.length];
            StringBuilder each = new StringBuilder();
            for (int kind = 0; kind < kinds.length; kind++) {
                for (int i = 0; i < SCHEDULERS; i++) {
                    double one = tell(
                            kinds[kind] + ", " + Rig.name(i),
                            before.get(kind).get(i),
                            after.get(kind).get(i),
                            seconds);
                    means[kind] += one / SCHEDULERS;
                    each.append(kind < 2 ? "" : String.format(Locale.ROOT, " %s_ms=%.2f", Rig.name(i), one));
                }
            }
            out.printf(
                    Locale.ROOT,
                    "idle: schedulers=%d voters=%d age_s=%d alone_ms_per_s=%.2f"
                            + " view_ms_per_s=%.2f policy_view_ms_per_s=%.2f%s%n",
                    SCHEDULERS,
                    VOTERS,
                    age,
                    means[0],
                    means[1],
                    means[2],
                    each);
            return means[2] - means[0] <= AIM_MS ? 0 : 1;
        } finally {
            for (Rig rig : rigs) {
                rig.close();
            }
            FileTree.delete(folder);
        }
    }

    private double tell(String who, Map<String, ThreadTimes> before, Map<String, ThreadTimes> after, double seconds) {
        StringBuilder line = new StringBuilder();
        double all = 0;
        for (Map.Entry<String, ThreadTimes> thread : after.entrySet()) {
            ThreadTimes used = thread.getValue().less(before.get(thread.getKey()));
            double ms = used.ns() / 1e6 / seconds;
            all += ms;
            if (ms >= 0.05) {
                line.append(String.format(
                        Locale.ROOT, "; %s %.2f ms, %.1f wakes", thread.getKey(), ms, used.wakes() / seconds));
            }
        }
        out.printf(Locale.ROOT, "%s: %.2f ms a second%s%n", who, all, line);
        return all;
    }

    private static List<List<Map<String, ThreadTimes>>> used(List<Rig> rigs) throws IOException {
        List<List<Map<String, ThreadTimes>>> all = new ArrayList<>();
        for (Rig rig : rigs) {
            List<Map<String, ThreadTimes>> some = new ArrayList<>();
            for (int i : rig.all()) {
                some.add(ThreadTimes.of(rig.pid(i)));
            }
            all.add(some);
        }
        return all;
    }
}
