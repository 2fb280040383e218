package laneflow.lab.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import laneflow.lab.rig.ChildProcesses;
import laneflow.lab.rig.FileTree;
import laneflow.lab.rig.Rig;
import laneflow.lab.world.MemberWorld;
import laneflow.membership.decision.Seal;
import laneflow.membership.decision.State;
import laneflow.membership.decision.SwimTimings;
import org.HdrHistogram.Histogram;

/**
 * {@code lab measure fleet}: runs scheduler processes with membership under steady traffic, while members
 * join, crash, leave, stall, and are partitioned in both directions or in one; then large fleets in virtual
 * time. The cost is the difference to the same processes without membership. The exit code is 1 if a
 * healthy member was declared dead, if the views of the members stay different, or if the two sides of a
 * healed partition do not merge.
 */
public final class FleetMeasure {
    private static final int REQUESTS_PER_SECOND = 30;
    private static final long SECOND = 1_000_000_000L;
    private static final long PERIOD_US = 250_000;
    private static final int STEADY_LOAD_SECONDS = 3;
    private static final Pattern STATE_CHANGE = Pattern.compile("member (n\\d+) life=\\d+ (\\w+) to (\\w+) ns=(\\d+)");
    private static final String COMMON_CONFIG = "zones = [\"z\"]\n[limits]\nsockets = 512\n[classes.check]\n"
            + "aim_ms = 200\ndeadline_ms = 5000\nrepeat = \"safe\"\n[classes.capture]\naim_ms = 200\n"
            + "deadline_ms = 5000\n";

    private final SplittableRandom random;
    private final boolean large;
    private final int members;
    private final PrintStream out;
    private final Rig rig;
    private final PolicyLoad[] loads;
    private final Histogram settleMs = new Histogram(3);
    private final Histogram detectMs = new Histogram(3);
    private final Set<String> mayBeDeclaredDead = new HashSet<>();
    private final int[] logOffsets;
    private int joins;
    private int crashes;
    private int partitions;
    private int stalls;
    private int expectedEvents;
    private int settledEvents;
    private int mergedPartitions;
    private int falseDeaths;
    private int splitViews;

    private FleetMeasure(long seed, boolean large, PrintStream out, Rig rig) {
        random = new SplittableRandom(seed);
        this.large = large;
        this.out = out;
        this.rig = rig;
        members = rig.size();
        loads = new PolicyLoad[members];
        logOffsets = new int[members];
    }

    /** Runs the measurement and returns the exit code. */
    public static int run(long seed, boolean large, PrintStream out) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("laneflow-fleet");
        int[] nodes = {ChildProcesses.freePort(), ChildProcesses.freePort(), ChildProcesses.freePort()};
        try (Rig rig = new Rig(folder, large ? 32 : 12, 1, seed, COMMON_CONFIG + Rig.endpointTables(nodes))) {
            rig.startNodes(nodes, large ? 900 : 300);
            return new FleetMeasure(seed, large, out, rig).measure(seed);
        } finally {
            FileTree.delete(folder);
        }
    }

    private int measure(long seed) throws IOException, InterruptedException {
        // The baseline: the same processes without membership.
        rig.startAll();
        double shareWithout = servedUnderSteadyLoad(false);
        double idleCpuWithout = idleCpuMsPerSecond();
        for (int i = 0; i < members; i++) {
            rig.kill(i);
        }
        rig.enableGossip(seed, (int) (PERIOD_US / 1000), 0, 1);
        long startNanos = System.nanoTime();
        rig.startAll();
        joins += members;
        rig.await(
                "the last member sees a live member",
                () -> rig.fleet(members - 1).get("live").getAsInt() > 0);
        awaitOneView("all members join", startNanos, rig.all());
        double shareWith = servedUnderSteadyLoad(true);
        // Without any event, no member may change its state.
        rig.awaitSettled(members, rig.all());
        long changesBefore = countStateChanges();
        long bytesBefore = membershipBytes();
        long idleStartNanos = System.nanoTime();
        double idleCpuWith = idleCpuMsPerSecond();
        double bytesPerSecond =
                (membershipBytes() - bytesBefore) * 1e9 / (System.nanoTime() - idleStartNanos) / members;
        long changesInIdle = countStateChanges() - changesBefore;
        runCrashes();
        runStalls();
        runPartitions();
        runLeave();
        int maxDatagramBytes = 0;
        double maxTurnUs = 0;
        for (int i : rig.all()) {
            maxDatagramBytes = (int) Math.max(maxDatagramBytes, rig.counter(i, "members.datagram_most"));
            maxTurnUs = Math.max(maxTurnUs, rig.fleet(i).get("turn_us").getAsDouble());
        }
        out.printf(Locale.ROOT, "mean time of a membership turn at the slowest member: %.0f us%n", maxTurnUs);
        String virtualFigures = measureVirtualTime(seed);
        double lossPoints = (shareWithout - shareWith) * 100;
        out.printf(
                Locale.ROOT,
                "served in time without membership %.4f, with it %.4f; idle processor time"
                        + " %.2f and %.2f ms a second%n",
                shareWithout,
                shareWith,
                idleCpuWithout,
                idleCpuWith);
        out.printf(
                Locale.ROOT,
                "fleet: members=%d joins=%d crashes=%d cuts=%d stalls=%d settled=%d/%d"
                        + " settle_p99_rounds=%.1f settle_most_ms=%.0f false_burials=%d split_views=%d"
                        + " flaps_in_idle=%d"
                        + " found_again=%d/%d bytes_per_s_member=%.0f datagram_most=%d idle_cpu_ms_per_s=%.2f %s"
                        + " service_loss_points=%.2f%n",
                members,
                joins,
                crashes,
                partitions,
                stalls,
                settledEvents,
                expectedEvents,
                settleMs.getValueAtPercentile(99) * 1000.0 / PERIOD_US,
                settleMs.getMaxValue() * 1.0,
                falseDeaths,
                splitViews,
                changesInIdle,
                mergedPartitions,
                partitions,
                bytesPerSecond,
                maxDatagramBytes,
                Math.max(0, idleCpuWith - idleCpuWithout),
                virtualFigures,
                lossPoints);
        return falseDeaths == 0
                        && splitViews == 0
                        && changesInIdle == 0
                        && settledEvents == expectedEvents
                        && mergedPartitions == partitions
                        && maxDatagramBytes <= Seal.MAX_DATAGRAM_BYTES
                ? 0
                : 1;
    }

    // ---- service ----

    /** Returns the share of requests served in time under steady load, after a warm-up. */
    private double servedUnderSteadyLoad(boolean withMembership) throws IOException, InterruptedException {
        for (int i = 0; i < members; i++) {
            int index = i;
            rig.await(
                    "the scheduler answers HTTP requests",
                    () -> rig.request(index, "/counters", null).statusCode() > 0);
            loads[i] = new PolicyLoad(Rig.name(i), rig.clientPort(i), 4, REQUESTS_PER_SECOND);
            loads[i].start();
        }
        Thread.sleep(large ? 10_000 : 2000);
        long startNanos = System.nanoTime();
        Thread.sleep(STEADY_LOAD_SECONDS * 1000L);
        long endNanos = System.nanoTime();
        double servedShare = PolicyLoad.served(loads, startNanos, endNanos);
        for (PolicyLoad load : loads) {
            load.stop();
        }
        out.printf(
                Locale.ROOT, "%s membership: %.4f served in time%n", withMembership ? "with" : "without", servedShare);
        return servedShare;
    }

    /** Returns the processor time per second in ms, the mean of all members, without requests. */
    private double idleCpuMsPerSecond() throws IOException, InterruptedException {
        Thread.sleep(large ? 20_000 : 500);
        return Arrays.stream(rig.cpuMillisPerSecond(4000)).average().orElse(0);
    }

    private long membershipBytes() throws IOException, InterruptedException {
        long total = 0;
        for (int i = 0; i < members; i++) {
            total += rig.counter(i, "members.bytes");
        }
        return total;
    }

    // ---- events ----

    /** Waits until the view of each of these members is exactly this set, and records how long that took. */
    private void awaitOneView(String description, long fromNs, int... expectedMembers)
            throws IOException, InterruptedException {
        expectedEvents++;
        try {
            rig.await(
                    "all members agree: " + description,
                    () -> rig.haveSameView(expectedMembers.length, expectedMembers));
            settledEvents++;
            long elapsedMs = (System.nanoTime() - fromNs) / 1_000_000;
            settleMs.recordValue(elapsedMs);
            out.println(description + ": one view of " + expectedMembers.length + " after " + elapsedMs + " ms");
        } catch (IOException e) {
            splitViews++;
            out.println(e.getMessage());
        }
        countFalseDeaths();
    }

    /** Reads the new part of all logs and counts the members that were declared dead while healthy. */
    private void countFalseDeaths() throws IOException {
        for (int i = 0; i < members; i++) {
            String log = rig.log(i);
            Matcher matcher = STATE_CHANGE.matcher(log.substring(logOffsets[i]));
            while (matcher.find()) {
                if (matcher.group(3).equals(State.DEAD.name())
                        && !mayBeDeclaredDead.contains(matcher.group(1))
                        && !mayBeDeclaredDead.contains(Rig.name(i))) {
                    falseDeaths++;
                    out.println(Rig.name(i) + " declared dead " + matcher.group(1) + ", which was healthy");
                }
            }
            logOffsets[i] = log.length();
        }
    }

    /** Returns the number of state changes in the logs of all members so far. */
    private long countStateChanges() throws IOException {
        long total = 0;
        for (int i = 0; i < members; i++) {
            Matcher matcher = STATE_CHANGE.matcher(rig.log(i));
            while (matcher.find()) {
                total++;
            }
        }
        return total;
    }

    private void runCrashes() throws IOException, InterruptedException {
        for (int round = 0; round < (large ? 10 : 3); round++) {
            // One member crashes in each round but the third, in which a third of all crash at once.
            Set<Integer> crashed = new HashSet<>();
            while (crashed.size() < (round == 2 ? members / 3 : 1)) {
                crashed.add(2 + random.nextInt(members - 2));
            }
            crashed.forEach(i -> mayBeDeclaredDead.add(Rig.name(i)));
            int[] logLengths = new int[members];
            for (int i : rig.all()) {
                logLengths[i] = rig.log(i).length();
            }
            long startNanos = System.nanoTime();
            for (int i : crashed) {
                rig.kill(i);
                crashes++;
            }
            awaitOneView(crashed.size() + " crashed", startNanos, rig.allExcept(crashed));
            for (int i : rig.allExcept(crashed)) {
                Matcher matcher = STATE_CHANGE.matcher(rig.log(i).substring(logLengths[i]));
                while (matcher.find()) {
                    if (matcher.group(3).equals(State.DEAD.name())) {
                        detectMs.recordValue(Math.max(0, (Long.parseLong(matcher.group(4)) - startNanos) / 1_000_000));
                    }
                }
            }
            startNanos = System.nanoTime();
            for (int i : crashed) {
                rig.start(i);
                joins++;
            }
            awaitOneView("the crashed members restarted", startNanos, rig.all());
            mayBeDeclaredDead.clear();
        }
    }

    private void runStalls() throws IOException, InterruptedException {
        for (int round = 0; round < (large ? 8 : 3); round++) {
            int stalled = 2 + random.nextInt(members - 2);
            boolean expectDead = round == 1;
            if (expectDead) {
                mayBeDeclaredDead.add(Rig.name(stalled));
            }
            long startNanos = System.nanoTime();
            rig.suspend(stalled);
            stalls++;
            if (expectDead) {
                awaitOneView("a member stalls until it is declared dead", startNanos, rig.allExcept(Set.of(stalled)));
            } else {
                // Well under the shortest suspicion timeout.
                Thread.sleep(500);
            }
            startNanos = System.nanoTime();
            rig.resume(stalled);
            awaitOneView("the stalled member resumes", startNanos, rig.all());
            mayBeDeclaredDead.clear();
        }
    }

    private void runPartitions() throws IOException, InterruptedException {
        for (int round = 0; round < (large ? 6 : 2); round++) {
            List<Integer> group = new ArrayList<>();
            int groupSize = round == 0 ? members / 2 : 1 + random.nextInt(members / 2);
            while (group.size() < groupSize) {
                int member = random.nextInt(members);
                if (!group.contains(member)) {
                    group.add(member);
                }
            }
            for (int i : rig.all()) {
                mayBeDeclaredDead.add(Rig.name(i));
            }
            long startNanos = System.nanoTime();
            rig.isolate(group);
            partitions++;
            int[] groupMembers = group.stream().mapToInt(Integer::intValue).toArray();
            awaitOneView("a group of " + groupSize + " is partitioned off", startNanos, groupMembers);
            awaitOneView("the other side of the partition", startNanos, rig.allExcept(new HashSet<>(group)));
            startNanos = System.nanoTime();
            rig.heal();
            int settledBefore = settledEvents;
            awaitOneView("the partition healed", startNanos, rig.all());
            mergedPartitions += settledEvents - settledBefore;
            mayBeDeclaredDead.clear();
        }
        // Cut from member 1 to member 2 only; the others reach both.
        rig.cut(1, 2);
        Thread.sleep(3000);
        long startNanos = System.nanoTime();
        rig.heal();
        awaitOneView("a one-way cut between two members healed", startNanos, rig.all());
    }

    private void runLeave() throws IOException, InterruptedException {
        int member = members - 1;
        mayBeDeclaredDead.add(Rig.name(member));
        long startNanos = System.nanoTime();
        rig.signalTerm(member);
        awaitOneView("a member leaves", startNanos, rig.allExcept(Set.of(member)));
        rig.awaitExit(member);
        rig.start(member);
        joins++;
        awaitOneView("the member that left restarted", System.nanoTime(), rig.all());
    }

    // ---- large fleets ----

    private static String settleFigure(int size, double rounds) {
        return String.format(Locale.ROOT, " settle_rounds_%d=%.0f", size, rounds);
    }

    private String measureVirtualTime(long seed) {
        StringBuilder figures = new StringBuilder();
        int[] sizes = large ? new int[] {200, 1000, 5000} : new int[] {200, 1000};
        Histogram detectionMs = new Histogram(3);
        for (int size : sizes) {
            MemberWorld world = new MemberWorld(size, new SwimTimings(PERIOD_US), seed);
            for (int i = 0; i < size; i++) {
                world.start(i, 0, 1, 2);
            }
            long settleUs = world.runUntil(world::isSettled, 120_000_000, 50_000);
            double rounds = settleUs * 1.0 / PERIOD_US;
            if (size > 200 && !large) {
                out.printf(
                        Locale.ROOT,
                        "%d members in virtual time: started at once, one view after %.0f" + " rounds%n",
                        size,
                        rounds);
                figures.append(settleFigure(size, rounds));
                continue;
            }
            world.runFor(20_000_000);
            int crashCount = size == 200 ? 30 : 2;
            long longestDetectionUs = 0;
            for (int crash = 0; crash < crashCount; crash++) {
                int crashed = 3 + random.nextInt(size - 3);
                long[] crashedAtUs = {world.now()};
                world.onChange((by, before, now) -> {
                    if (now.state() == State.DEAD && world.indexOf(now.instance()) == crashed) {
                        long elapsedMs = (world.now() - crashedAtUs[0]) / 1000;
                        if (size == 200) {
                            detectionMs.recordValue(elapsedMs);
                        }
                    }
                });
                world.crash(crashed);
                longestDetectionUs =
                        Math.max(longestDetectionUs, world.runUntil(() -> world.agree(i -> true), 60_000_000, 20_000));
                world.onChange((by, before, now) -> {});
                world.start(crashed, 0, 1, 2);
                world.runUntil(world::isSettled, 60_000_000, 50_000);
                world.runFor(2_000_000);
            }
            world.runFor(20_000_000);
            long bytesBefore = world.bytesSent();
            world.runFor(10_000_000);
            out.printf(
                    Locale.ROOT,
                    "%d members in virtual time: started at once, one view after %.0f rounds,"
                            + " a crash seen by all within %d ms, %.0f bytes a second in idle%n",
                    size,
                    rounds,
                    longestDetectionUs / 1000,
                    (world.bytesSent() - bytesBefore) / 10.0 / size);
            figures.append(settleFigure(size, rounds));
        }
        return figures.substring(1) + " detect_p99_ms=" + detectionMs.getValueAtPercentile(99);
    }
}
