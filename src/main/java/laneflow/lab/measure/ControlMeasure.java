package laneflow.lab.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import laneflow.lab.rig.Crew;
import laneflow.lab.rig.Rig;
import laneflow.lab.rig.Trash;
import org.HdrHistogram.Histogram;

/**
 * What a storm of control state costs requests: three schedulers that vote and keep a view, clients at one of
 * them, and by turns quiet and a member that tells of thousands of others while changes of policy follow one
 * another. First with all of it on the traffic's thread, then with control state on its own, as in service.
 */
public final class ControlMeasure {
    private static final int SCHEDULERS = 3;
    private static final int PERIOD_MS = 250;
    private static final int PER_SECOND = 400;
    private static final int NEWS_PER_SECOND = 3000;
    private static final int WINDOWS = 4;
    private static final int WINDOW_MS = 3000;
    private static final double AIM_MS = 1;
    private static final String TRAFFIC = "loop I/O-1";
    private static final String FILE = "zones = [\"z\"]\n[limits]\nsockets = 512\n[classes.check]\n"
            + "aim_ms = 200\ndeadline_ms = 5000\nrepeat = \"safe\"\n[classes.capture]\naim_ms = 200\n"
            + "deadline_ms = 5000\n";

    private final long seed;
    private final PrintStream out;
    private final Histogram quiet = new Histogram(3);
    private final Histogram storm = new Histogram(3);
    private ThreadTimes quietTimes = new ThreadTimes(0, 0, 0);
    private ThreadTimes stormTimes = new ThreadTimes(0, 0, 0);
    private long news;
    private int changes;

    private ControlMeasure(long seed, PrintStream out) {
        this.seed = seed;
        this.out = out;
    }

    /** Runs both; 0 if the storm adds less to the p99 than it may. */
    public static int run(long seed, boolean large, PrintStream out) throws IOException, InterruptedException {
        ControlMeasure one = new ControlMeasure(seed, out);
        one.all(true, large);
        ControlMeasure two = new ControlMeasure(seed, out);
        two.all(false, large);
        out.printf(
                Locale.ROOT,
                "control: schedulers=%d requests_per_s=%d news=%d changes=%d"
                        + " one_loop_quiet_p99_ms=%.2f one_loop_storm_p99_ms=%.2f one_loop_added_ms=%.2f"
                        + " two_loops_quiet_p99_ms=%.2f two_loops_storm_p99_ms=%.2f two_loops_added_ms=%.2f"
                        + " one_loop_added_us_at_work=%.0f two_loops_added_us_at_work=%.0f%n",
                SCHEDULERS,
                PER_SECOND,
                two.news,
                two.changes,
                p99(one.quiet),
                p99(one.storm),
                one.added(),
                p99(two.quiet),
                p99(two.storm),
                two.added(),
                one.work(),
                two.work());
        return two.added() < AIM_MS ? 0 : 1;
    }

    private static double p99(Histogram of) {
        return of.getValueAtPercentile(99) / 1000.0;
    }

    /** Microseconds a request. */
    private static double each(long ns, Histogram of) {
        return ns / 1000.0 / Math.max(1, of.getTotalCount());
    }

    private double added() {
        return p99(storm) - p99(quiet);
    }

    /** What the storm adds to what the traffic's thread does itself, in microseconds a request. */
    private double work() {
        return each(stormTimes.ns(), storm) - each(quietTimes.ns(), quiet);
    }

    private void all(boolean oneLoop, boolean large) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("laneflow-control");
        int[] nodes = {Crew.port(), Crew.port(), Crew.port()};
        String file = FILE + Rig.endpoints(nodes) + "[policy]\nvoters = VOTERS\ndir = \"FOLDER\"\n";
        try (Rig rig = new Rig(folder, SCHEDULERS, SCHEDULERS, seed, file)) {
            rig.nodes(nodes, 300);
            rig.members(seed, PERIOD_MS, 0, 1);
            for (int i = 0; i < SCHEDULERS; i++) {
                rig.option(i, "-Dlaneflow.lab.one_loop=" + oneLoop);
            }
            rig.startAll();
            rig.awaitDeciding(0, rig.all());
            String key = Files.readAllLines(rig.keyFile()).get(0);
            InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), rig.memberSocket(0));
            PolicyLoad load = new PolicyLoad(Rig.name(0), rig.clientPort(0), 8, PER_SECOND);
            try (ControlStorm source = new ControlStorm(at, key, PERIOD_MS * 1000L, NEWS_PER_SECOND, seed)) {
                source.begin();
                load.start();
                Thread.sleep(large ? 10_000 : 4000);
                for (int i = 0; i < WINDOWS; i++) {
                    quietTimes = quietTimes.plus(window(rig, load, quiet, () -> {}));
                    source.blow(true);
                    stormTimes = stormTimes.plus(window(rig, load, storm, () -> change(rig)));
                    source.blow(false);
                    // What was told is suspected and buried meanwhile: neither quiet nor the storm.
                    Thread.sleep(WINDOW_MS);
                }
                news = source.sent();
            }
            load.stop();
            long[] known = new long[1];
            rig.await("it tells how many it came to know", () -> {
                known[0] = rig.counter(0, "members.to_alive");
                return true;
            });
            out.printf(
                    Locale.ROOT,
                    "%s: quiet p50 %.2f p99 %.2f most %.1f ms of %d, storm p50 %.2f p99 %.2f"
                            + " most %.1f ms of %d; members known %d%n",
                    oneLoop ? "one loop" : "two loops",
                    quiet.getValueAtPercentile(50) / 1000.0,
                    p99(quiet),
                    quiet.getMaxValue() / 1000.0,
                    quiet.getTotalCount(),
                    storm.getValueAtPercentile(50) / 1000.0,
                    p99(storm),
                    storm.getMaxValue() / 1000.0,
                    storm.getTotalCount(),
                    known[0]);
            out.printf(
                    Locale.ROOT,
                    "%s: the traffic's thread was at work for %.0f us a request in quiet and"
                            + " %.0f in the storm, and waited for a processor for %.0f and %.0f us%n",
                    oneLoop ? "one loop" : "two loops",
                    each(quietTimes.ns(), quiet),
                    each(stormTimes.ns(), storm),
                    each(quietTimes.waitedNs(), quiet),
                    each(stormTimes.waitedNs(), storm));
        } finally {
            Trash.remove(folder);
        }
    }

    /** What is done again and again within a window. */
    private interface Work {
        void once() throws IOException, InterruptedException;
    }

    /** What the traffic's thread has used meanwhile. */
    private static ThreadTimes window(Rig rig, PolicyLoad load, Histogram into, Work work)
            throws IOException, InterruptedException {
        ThreadTimes before = ThreadTimes.of(rig.pid(0)).get(TRAFFIC);
        long from = System.nanoTime();
        long to = from + WINDOW_MS * 1_000_000L;
        while (System.nanoTime() < to) {
            work.once();
            Thread.sleep(20);
        }
        to = System.nanoTime();
        for (PolicyLoad.Response response : load.responses) {
            if (response.sentNs() >= from && response.receivedNs() < to && response.status() == 200) {
                into.recordValue((response.receivedNs() - response.sentNs()) / 1000);
            }
        }
        return ThreadTimes.of(rig.pid(0)).get(TRAFFIC).less(before);
    }

    private void change(Rig rig) throws InterruptedException {
        changes++;
        try {
            rig.propose(0, "change-" + changes, "{\"bans\":[{\"name\":\"till-9" + changes % 2 + "\"}]}");
        } catch (IOException e) {
            // Not answered amid the storm; the next one follows at once.
            return;
        }
    }
}
