package laneflow.lab.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import laneflow.lab.rig.ChildProcesses;
import laneflow.lab.rig.FileTree;
import laneflow.lab.rig.Rig;
import laneflow.lab.standin.StandInReceiver;
import org.HdrHistogram.Histogram;

/**
 * {@code lab measure task}: schedulers as processes, three of which vote, that call a receiver once a period
 * for the fleet, for many tasks. Quiet first, for what it costs; then holders are killed one at a time and a
 * third at once, stopped for three leases, cut off both ways and one way, their leader killed, a path made
 * lossy. The receiver is not told of any of it. Exit code 1 where a promise is broken.
 */
public final class TaskMeasure {
    private static final int SCHEDULERS = 9;
    private static final int VOTERS = 3;
    private static final int LEASE_MS = 1000;
    private static final int EVERY_MS = 200;
    private static final int WORK_MS = 15;
    /** A look reads all calls. */
    private static final int LOOK_MS = 50;

    private static final long MS = 1_000_000;

    /** What befell some, and when: their tasks are to be called for by others. */
    private record Fault(String what, Set<String> names, long atNs, boolean leaderWell) {}

    private final SplittableRandom random;
    private final int tasks;
    private final long windowNs;
    private final PrintStream out;
    private final Rig rig;
    private final StandInReceiver receiver;
    private final List<Fault> faults = new ArrayList<>();
    private final List<long[]> calm = new ArrayList<>();
    private int kills;
    private int stalls;
    private int cuts;
    private long lost;
    private double syncs;
    private double cpu;

    private TaskMeasure(long seed, int tasks, int everyMs, PrintStream out, Rig rig, StandInReceiver receiver) {
        random = new SplittableRandom(seed);
        this.tasks = tasks;
        // Behind a look at all calls each task must have been called for since.
        windowNs = Math.max(3L * EVERY_MS, everyMs + LEASE_MS) * MS;
        this.out = out;
        this.rig = rig;
        this.receiver = receiver;
    }

    /** Runs all of it; 0 if every promise was kept. */
    public static int run(long seed, boolean large, PrintStream out) throws IOException, InterruptedException {
        int tasks = large ? 1000 : 45;
        int every = large ? 5000 : EVERY_MS;
        Path folder = Files.createTempDirectory("laneflow-task");
        try (StandInReceiver receiver = new StandInReceiver(ChildProcesses.freePort(), WORK_MS);
                Rig rig = new Rig(folder, SCHEDULERS, VOTERS, seed, file(receiver.port(), tasks, every))) {
            RecoveryMeasure recovery = RecoveryMeasure.run(seed, folder);
            return new TaskMeasure(seed, tasks, every, out, rig, receiver).all(large, recovery);
        } finally {
            FileTree.delete(folder);
        }
    }

    /** The operators' file of each: every third call's receiver checks tokens. */
    public static String file(int port, int tasks) {
        return file(port, tasks, EVERY_MS);
    }

    private static String file(int port, int tasks, int everyMs) {
        StringBuilder all = new StringBuilder("zones = [\"z\"]\n[classes.check]\naim_ms = 200\ndeadline_ms ="
                + " 5000\n[endpoints.none]\ndial = \"127.0.0.1:1\"\n[policy]\nvoters = VOTERS\n"
                + "dir = \"FOLDER\""
                + "\nlease_ms = " + LEASE_MS + "\n");
        for (int i = 0; i < tasks; i++) {
            boolean checked = i % 3 == 0;
            all.append(hook("h" + i, port, checked ? "/checked" : "/call", everyMs, checked));
        }
        return all.toString();
    }

    /** A hook's table: calls of at most 200 ms. */
    public static String hook(String name, int port, String path, int everyMs, boolean checked) {
        return "[tasks.hooks." + name + "]\nat = \"127.0.0.1:" + port + "\"\npath = \"" + path
                + "\"\nevery_ms = " + everyMs + "\nmost_ms = 200\nlate_calls = \""
                + (checked ? "checked" : "harmless") + "\"\n";
    }

    private int all(boolean large, RecoveryMeasure recovery) throws IOException, InterruptedException {
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        quiet(Set.of());
        costs();
        for (int i = 0; i < (large ? 1 : 3); i++) {
            int one = another(Set.of(rig.leader()));
            kill("a holder killed", true, Set.of(one));
        }
        int leader = rig.leader();
        Set<Integer> third = new HashSet<>();
        while (third.size() < SCHEDULERS / 3) {
            int one = another(Set.of(leader));
            // Without a majority of voters nobody acts.
            if (one >= VOTERS || third.stream().noneMatch(other -> other < VOTERS)) {
                third.add(one);
            }
        }
        kill("a third killed", true, third);
        kill("the leader killed", false, Set.of(rig.leader()));
        if (large) {
            return tell(recovery);
        }
        kill("the leader killed", false, Set.of(rig.leader()));
        stall();
        cut();
        rig.disturb(0.3, 0.1, 300);
        Thread.sleep(4000);
        rig.heal();
        quiet(Set.of());
        return tell(recovery);
    }

    private Fault fault(String what, Set<Integer> these, boolean leaderWell) {
        Fault fault = new Fault(what, names(these), System.nanoTime(), leaderWell);
        faults.add(fault);
        return fault;
    }

    /** Waits until others call for all that these have called for, before anything else is done to them. */
    private void takenUp(Fault fault) throws IOException, InterruptedException {
        rig.await("others call for what they held: " + fault, () -> {
            Thread.sleep(LOOK_MS);
            TaskHistory history = new TaskHistory(receiver.calls());
            return fault.names().stream()
                    .flatMap(name -> history.heldBy(name, fault.atNs()).stream())
                    .allMatch(task -> history.takenUp(task, fault.names(), fault.atNs()) >= 0);
        });
    }

    private int another(Set<Integer> but) {
        int one = random.nextInt(SCHEDULERS);
        while (but.contains(one)) {
            one = random.nextInt(SCHEDULERS);
        }
        return one;
    }

    private static Set<String> names(Set<Integer> these) {
        Set<String> names = new HashSet<>();
        these.forEach(i -> names.add(Rig.name(i)));
        return names;
    }

    /** Waits until every task is called for by one who is not down, evenly, and some more. */
    private void quiet(Set<Integer> down) throws IOException, InterruptedException {
        int live = SCHEDULERS - down.size();
        rig.await("all tasks are called for, evenly, by " + live, () -> {
            Thread.sleep(LOOK_MS);
            long now = System.nanoTime();
            TaskHistory history = new TaskHistory(receiver.calls());
            long recent = receiver.calls().stream()
                    .filter(call -> call.beganNs() > now - windowNs)
                    .map(StandInReceiver.Call::task)
                    .distinct()
                    .count();
            return recent == tasks && history.fair(live, now - windowNs, now) <= 1.3;
        });
        long from = System.nanoTime();
        Thread.sleep(1500);
        calm.add(new long[] {from, System.nanoTime(), live});
    }

    /** What it costs while nothing changes: entries of the log, and processor time. */
    private void costs() throws IOException, InterruptedException {
        long before = counted("task.logged");
        long words = counted("fleet.sent");
        double[] used = rig.cpuMillisPerSecond(4000);
        long renewals = counted("fleet.sent") - words;
        syncs = (counted("task.logged") - before) / (double) Math.max(1, renewals);
        for (double one : used) {
            cpu += one / used.length;
        }
    }

    private long counted(String name) throws IOException, InterruptedException {
        long all = 0;
        for (int i : rig.all()) {
            all += rig.counter(i, name);
        }
        return all;
    }

    private void kill(String what, boolean leaderWell, Set<Integer> these) throws IOException, InterruptedException {
        Fault fault = fault(what, these, leaderWell);
        for (int i : these) {
            kills++;
            rig.kill(i);
        }
        takenUp(fault);
        quiet(these);
        for (int i : these) {
            rig.start(i);
        }
        rig.awaitDeciding(0, rig.all());
        quiet(Set.of());
    }

    /** Stopped for three leases, among them a leader, and woken. */
    private void stall() throws IOException, InterruptedException {
        for (int i = 0; i < 4; i++) {
            int leader = rig.leader();
            int one = i == 3 ? leader : another(Set.of(leader));
            fault("stopped for three leases", Set.of(one), i < 3);
            stalls++;
            rig.suspend(one);
            Thread.sleep(3 * LEASE_MS);
            rig.resume(one);
            rig.awaitDeciding(0, rig.all());
            quiet(Set.of());
        }
    }

    private void cut() throws IOException, InterruptedException {
        int leader = rig.leader();
        int both = another(Set.of(leader));
        Fault fault = fault("cut off", Set.of(both), true);
        cuts++;
        rig.isolate(List.of(both));
        takenUp(fault);
        quiet(Set.of(both));
        rig.heal();
        rig.awaitDeciding(0, rig.all());
        quiet(Set.of());
        int deaf = VOTERS + random.nextInt(SCHEDULERS - VOTERS);
        fault = fault("hears nothing", Set.of(deaf), true);
        cuts++;
        for (int i = 0; i < VOTERS; i++) {
            rig.cut(i, deaf);
        }
        takenUp(fault);
        quiet(Set.of(deaf));
        rig.heal();
        rig.awaitDeciding(0, rig.all());
        quiet(Set.of());
    }

    private int tell(RecoveryMeasure recovery) throws IOException, InterruptedException {
        // Counted first: what is counted as done was seen before.
        long done = counted("task.calls");
        List<StandInReceiver.Call> calls = receiver.calls();
        TaskHistory history = new TaskHistory(calls);
        List<String> found = history.check();
        Set<String> living = new HashSet<>();
        for (int i : rig.all()) {
            living.add(Rig.name(i) + "#" + rig.policy(i).get("life").getAsString());
        }
        long seen = calls.stream()
                .filter(call -> call.accepted() && living.contains(call.holder()))
                .count();
        lost = Math.max(0, done - seen);
        Histogram unheld = new Histogram(3);
        long unheldMost = 0;
        int never = 0;
        for (Fault fault : faults) {
            long most = 0;
            int moved = 0;
            for (String name : fault.names()) {
                for (String task : history.heldBy(name, fault.atNs())) {
                    long ns = history.takenUp(task, fault.names(), fault.atNs());
                    never += ns < 0 ? 1 : 0;
                    most = Math.max(most, ns / MS);
                    moved++;
                    if (fault.leaderWell() && ns >= 0) {
                        unheld.recordValue(ns / MS);
                    }
                }
            }
            unheldMost = Math.max(unheldMost, most);
            out.printf(Locale.ROOT, "%s: %d tasks moved, the last after %d ms%n", fault.what(), moved, most);
        }
        double fair = 0;
        for (long[] span : calm) {
            fair = Math.max(fair, history.fair((int) span[2], span[0], span[1]));
        }
        found.forEach(out::println);
        out.printf(
                Locale.ROOT,
                "recovery: jobs=%d kills=%d stores_adopted=%d ran=%d ended_unsure=%d%n",
                recovery.jobs(),
                recovery.kills(),
                recovery.adopted(),
                recovery.ran(),
                recovery.unsure());
        kills += recovery.kills();
        lost += recovery.lost();
        out.printf(
                Locale.ROOT,
                "task: schedulers=%d tasks=%d acts=%d kills=%d stalls=%d cuts=%d two_at_once=%d"
                        + " past_cut_off=%d stale_accepted=%d turned_down=%d acts_lost=%d run_twice=%d"
                        + " unheld_p99_ms=%d unheld_most_ms=%d moved_fair=%.2f syncs_per_renewal=%s"
                        + " idle_cpu_ms_per_s=%.1f%n",
                SCHEDULERS,
                tasks,
                calls.size(),
                kills,
                stalls,
                cuts,
                history.twoAtOnce(),
                history.pastCutOff(),
                history.staleAccepted(),
                history.turnedDown(),
                lost,
                recovery.twice(),
                unheld.getValueAtPercentile(99),
                unheldMost,
                fair,
                syncs == 0 ? "0" : String.format(Locale.ROOT, "%.4f", syncs),
                cpu);
        return found.isEmpty() && lost == 0 && never == 0 && recovery.twice() == 0 ? 0 : 1;
    }
}
