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
import laneflow.lab.rig.Crew;
import laneflow.lab.rig.Rig;
import laneflow.lab.rig.Trash;
import laneflow.lab.world.MemberWorld;
import laneflow.membership.decision.Seal;
import laneflow.membership.decision.State;
import laneflow.membership.decision.SwimTimings;
import org.HdrHistogram.Histogram;

/**
 * {@code lab measure fleet}: schedulers as processes that keep a view of each other, under steady traffic,
 * while members come, crash, leave, stand still, and are cut off both ways and one way; then large fleets in
 * virtual time. What it costs is measured beside the same processes without a view. Exit code 1 where a
 * member that was well was buried, views stay apart, or a part of the fleet is not found again.
 */
public final class FleetMeasure {
    private static final int PER_SECOND = 30;
    private static final long SECOND = 1_000_000_000L;
    private static final long PERIOD_US = 250_000;
    private static final int CALM_S = 3;
    private static final Pattern CHANGE = Pattern.compile("member (n\\d+) life=\\d+ (\\w+) to (\\w+) ns=(\\d+)");
    private static final String FILE = "zones = [\"z\"]\n[limits]\nsockets = 512\n[classes.check]\n"
            + "aim_ms = 200\ndeadline_ms = 5000\nrepeat = \"safe\"\n[classes.capture]\naim_ms = 200\n"
            + "deadline_ms = 5000\n";

    private final SplittableRandom random;
    private final boolean large;
    private final int members;
    private final PrintStream out;
    private final Rig rig;
    private final PolicyLoad[] loads;
    private final Histogram settle = new Histogram(3);
    private final Histogram detect = new Histogram(3);
    private final Set<String> mayBeBuried = new HashSet<>();
    private final int[] read;
    private int joins;
    private int crashes;
    private int cuts;
    private int stalls;
    private int events;
    private int settled;
    private int found;
    private int falseBurials;
    private int splitViews;

    private FleetMeasure(long seed, boolean large, PrintStream out, Rig rig) {
        random = new SplittableRandom(seed);
        this.large = large;
        this.out = out;
        this.rig = rig;
        members = rig.size();
        loads = new PolicyLoad[members];
        read = new int[members];
    }

    /** Runs all of it; 0 if every promise was kept. */
    public static int run(long seed, boolean large, PrintStream out) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("laneflow-fleet");
        int[] nodes = {Crew.port(), Crew.port(), Crew.port()};
        try (Rig rig = new Rig(folder, large ? 32 : 12, 1, seed, FILE + Rig.endpoints(nodes))) {
            rig.nodes(nodes, large ? 900 : 300);
            return new FleetMeasure(seed, large, out, rig).all(seed);
        } finally {
            Trash.remove(folder);
        }
    }

    private int all(long seed) throws IOException, InterruptedException {
        // First as it is without a view, to know what that costs.
        rig.startAll();
        double without = calm(false);
        double idleWithout = idle();
        for (int i = 0; i < members; i++) {
            rig.kill(i);
        }
        rig.members(seed, (int) (PERIOD_US / 1000), 0, 1);
        long from = System.nanoTime();
        rig.startAll();
        joins += members;
        rig.await("all stand", () -> rig.fleet(members - 1).get("live").getAsInt() > 0);
        event("all join", from, rig.all());
        double with = calm(true);
        // Quiet: nothing may move.
        rig.awaitSettled(members, rig.all());
        long changesBefore = changes();
        long bytesBefore = bytes();
        long quietFrom = System.nanoTime();
        double idle = idle();
        double bytes = (bytes() - bytesBefore) * 1e9 / (System.nanoTime() - quietFrom) / members;
        long flaps = changes() - changesBefore;
        crashes();
        stalls();
        cuts();
        leaves();
        int most = 0;
        double turn = 0;
        for (int i : rig.all()) {
            most = (int) Math.max(most, rig.counter(i, "members.datagram_most"));
            turn = Math.max(turn, rig.fleet(i).get("turn_us").getAsDouble());
        }
        out.printf(Locale.ROOT, "a turn takes %.0f us in the mean at the slowest member%n", turn);
        String virtual = virtual(seed);
        double loss = (without - with) * 100;
        out.printf(
                Locale.ROOT,
                "served in time without a view %.4f, with it %.4f; idle processor time"
                        + " %.2f and %.2f ms a second%n",
                without,
                with,
                idleWithout,
                idle);
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
                cuts,
                stalls,
                settled,
                events,
                settle.getValueAtPercentile(99) * 1000.0 / PERIOD_US,
                settle.getMaxValue() * 1.0,
                falseBurials,
                splitViews,
                flaps,
                found,
                cuts,
                bytes,
                most,
                Math.max(0, idle - idleWithout),
                virtual,
                loss);
        return falseBurials == 0
                        && splitViews == 0
                        && flaps == 0
                        && settled == events
                        && found == cuts
                        && most <= Seal.MAX_DATAGRAM_BYTES
                ? 0
                : 1;
    }

    // ---- service ----

    /** The share served in time under load, with young processes left out. */
    private double calm(boolean view) throws IOException, InterruptedException {
        for (int i = 0; i < members; i++) {
            int one = i;
            rig.await("it serves", () -> rig.ask(one, "/counters", null).statusCode() > 0);
            loads[i] = new PolicyLoad(Rig.name(i), rig.clientPort(i), 4, PER_SECOND);
            loads[i].begin();
        }
        Thread.sleep(large ? 10_000 : 2000);
        long from = System.nanoTime();
        Thread.sleep(CALM_S * 1000L);
        long to = System.nanoTime();
        double served = PolicyLoad.served(loads, from, to);
        for (PolicyLoad load : loads) {
            load.end();
        }
        out.printf(Locale.ROOT, "%s view: %.4f served in time%n", view ? "with a" : "without a", served);
        return served;
    }

    /** Milliseconds of processor time a second in the mean of all, while nobody asks. */
    private double idle() throws IOException, InterruptedException {
        Thread.sleep(large ? 20_000 : 500);
        return Arrays.stream(rig.cpu(4000)).average().orElse(0);
    }

    private long bytes() throws IOException, InterruptedException {
        long all = 0;
        for (int i = 0; i < members; i++) {
            all += rig.counter(i, "members.bytes");
        }
        return all;
    }

    // ---- events ----

    /** Waits until all of these hold one view, of exactly themselves, and notes how long that took. */
    private void event(String what, long fromNs, int... these) throws IOException, InterruptedException {
        events++;
        try {
            rig.await("all agree: " + what, () -> rig.agree(these.length, these));
            settled++;
            long ms = (System.nanoTime() - fromNs) / 1_000_000;
            settle.recordValue(ms);
            out.println(what + ": one view of " + these.length + " after " + ms + " ms");
        } catch (IOException e) {
            splitViews++;
            out.println(e.getMessage());
        }
        burials();
    }

    /** Reads on in all logs: who was buried that was well? */
    private void burials() throws IOException {
        for (int i = 0; i < members; i++) {
            String log = rig.log(i);
            Matcher change = CHANGE.matcher(log.substring(read[i]));
            while (change.find()) {
                if (change.group(3).equals(State.DEAD.name())
                        && !mayBeBuried.contains(change.group(1))
                        && !mayBeBuried.contains(Rig.name(i))) {
                    falseBurials++;
                    out.println(Rig.name(i) + " buried " + change.group(1) + ", which was well");
                }
            }
            read[i] = log.length();
        }
    }

    /** Changes of anybody's view so far. */
    private long changes() throws IOException {
        long all = 0;
        for (int i = 0; i < members; i++) {
            Matcher change = CHANGE.matcher(rig.log(i));
            while (change.find()) {
                all++;
            }
        }
        return all;
    }

    private void crashes() throws IOException, InterruptedException {
        for (int round = 0; round < (large ? 10 : 3); round++) {
            // One, then a third of all at one moment.
            Set<Integer> down = new HashSet<>();
            while (down.size() < (round == 2 ? members / 3 : 1)) {
                down.add(2 + random.nextInt(members - 2));
            }
            down.forEach(i -> mayBeBuried.add(Rig.name(i)));
            int[] logs = new int[members];
            for (int i : rig.all()) {
                logs[i] = rig.log(i).length();
            }
            long from = System.nanoTime();
            for (int i : down) {
                rig.kill(i);
                crashes++;
            }
            event(down.size() + " crashed", from, rig.without(down));
            for (int i : rig.without(down)) {
                Matcher change = CHANGE.matcher(rig.log(i).substring(logs[i]));
                while (change.find()) {
                    if (change.group(3).equals(State.DEAD.name())) {
                        detect.recordValue(Math.max(0, (Long.parseLong(change.group(4)) - from) / 1_000_000));
                    }
                }
            }
            from = System.nanoTime();
            for (int i : down) {
                rig.start(i);
                joins++;
            }
            event("they came back", from, rig.all());
            mayBeBuried.clear();
        }
    }

    private void stalls() throws IOException, InterruptedException {
        for (int round = 0; round < (large ? 8 : 3); round++) {
            int still = 2 + random.nextInt(members - 2);
            boolean burial = round == 1;
            if (burial) {
                mayBeBuried.add(Rig.name(still));
            }
            long from = System.nanoTime();
            rig.stall(still);
            stalls++;
            if (burial) {
                event("one stands still for long", from, rig.without(Set.of(still)));
            } else {
                // Well under the shortest suspicion.
                Thread.sleep(500);
            }
            from = System.nanoTime();
            rig.wake(still);
            event("it is awake", from, rig.all());
            mayBeBuried.clear();
        }
    }

    private void cuts() throws IOException, InterruptedException {
        for (int round = 0; round < (large ? 6 : 2); round++) {
            List<Integer> part = new ArrayList<>();
            int size = round == 0 ? members / 2 : 1 + random.nextInt(members / 2);
            while (part.size() < size) {
                int one = random.nextInt(members);
                if (!part.contains(one)) {
                    part.add(one);
                }
            }
            for (int i : rig.all()) {
                mayBeBuried.add(Rig.name(i));
            }
            long from = System.nanoTime();
            rig.partAll(part);
            cuts++;
            int[] here = part.stream().mapToInt(Integer::intValue).toArray();
            event("a part of " + size + " is cut off", from, here);
            event("and the others", from, rig.without(new HashSet<>(part)));
            from = System.nanoTime();
            rig.heal();
            int before = settled;
            event("healed", from, rig.all());
            found += settled - before;
            mayBeBuried.clear();
        }
        // One way between two: others reach both.
        rig.cut(1, 2);
        Thread.sleep(3000);
        long from = System.nanoTime();
        rig.heal();
        event("cut one way, and healed", from, rig.all());
    }

    private void leaves() throws IOException, InterruptedException {
        int one = members - 1;
        mayBeBuried.add(Rig.name(one));
        long from = System.nanoTime();
        rig.term(one);
        event("one leaves", from, rig.without(Set.of(one)));
        rig.ended(one);
        rig.start(one);
        joins++;
        event("and comes back", System.nanoTime(), rig.all());
    }

    // ---- large fleets ----

    private static String rounds(int size, double rounds) {
        return String.format(Locale.ROOT, " settle_rounds_%d=%.0f", size, rounds);
    }

    private String virtual(long seed) {
        StringBuilder all = new StringBuilder();
        int[] sizes = large ? new int[] {200, 1000, 5000} : new int[] {200, 1000};
        Histogram seen = new Histogram(3);
        for (int size : sizes) {
            MemberWorld world = new MemberWorld(size, new SwimTimings(PERIOD_US), seed);
            for (int i = 0; i < size; i++) {
                world.start(i, 0, 1, 2);
            }
            long took = world.runUntil(world::isSettled, 120_000_000, 50_000);
            double rounds = took * 1.0 / PERIOD_US;
            if (size > 200 && !large) {
                out.printf(
                        Locale.ROOT,
                        "%d members in virtual time: begun at once one view after %.0f" + " rounds%n",
                        size,
                        rounds);
                all.append(rounds(size, rounds));
                continue;
            }
            world.runFor(20_000_000);
            int crashesThere = size == 200 ? 30 : 2;
            long longest = 0;
            for (int k = 0; k < crashesThere; k++) {
                int one = 3 + random.nextInt(size - 3);
                long[] at = {world.now()};
                world.onChange((by, before, now) -> {
                    if (now.state() == State.DEAD && world.indexOf(now.instance()) == one) {
                        long ms = (world.now() - at[0]) / 1000;
                        if (size == 200) {
                            seen.recordValue(ms);
                        }
                    }
                });
                world.crash(one);
                longest = Math.max(longest, world.runUntil(() -> world.agree(i -> true), 60_000_000, 20_000));
                world.onChange((by, before, now) -> {});
                world.start(one, 0, 1, 2);
                world.runUntil(world::isSettled, 60_000_000, 50_000);
                world.runFor(2_000_000);
            }
            world.runFor(20_000_000);
            long bytes = world.bytesSent();
            world.runFor(10_000_000);
            out.printf(
                    Locale.ROOT,
                    "%d members in virtual time: begun at once one view after %.0f rounds,"
                            + " a crash seen by all within %d ms, %.0f bytes a second in idle%n",
                    size,
                    rounds,
                    longest / 1000,
                    (world.bytesSent() - bytes) / 10.0 / size);
            all.append(rounds(size, rounds));
        }
        return all.substring(1) + " detect_p99_ms=" + seen.getValueAtPercentile(99);
    }
}
