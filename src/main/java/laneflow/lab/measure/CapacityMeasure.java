package laneflow.lab.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Locale;
import laneflow.capacity.decision.LoadEstimator;
import laneflow.lab.world.CapacityWorld;
import laneflow.lab.world.CapacityWorld.Fault;
import laneflow.lab.world.CapacityWorld.Result;
import laneflow.lab.world.CapacityWorld.Scenario;

/**
 * {@code lab measure capacity}: measures what the exchange of capacity news between schedulers gains. It runs
 * the same workload on real processes with and without news, in pairs; then simulations of the capacity
 * module in virtual time: without news, with news, with a scheduler that sends false news, and with a central
 * view of all endpoints. The exit code is 1 if a guarantee is violated.
 */
public final class CapacityMeasure {
    private static final int MAX_DATAGRAM_BYTES = 256;
    private static final int MAX_NEWS_BYTES = 200;
    private static final double NETWORK_DELAY_SECONDS = 0.002;
    /** Whether each run has news; the order spreads a drift of the machine's speed evenly over both kinds. */
    private static final boolean[] NEWS_BY_RUN = {true, false, false, true};

    private final long seed;
    private final PrintStream out;
    private boolean guaranteesHold = true;

    private CapacityMeasure(long seed, PrintStream out) {
        this.seed = seed;
        this.out = out;
    }

    /** Runs the measurement and returns the exit code. */
    public static int run(long seed, boolean large, PrintStream out) throws IOException, InterruptedException {
        CapacityMeasure measurement = new CapacityMeasure(seed, out);
        if (large) {
            measurement.printBytesByFleetSize();
            measurement.runVirtualTime(200, 5000, 9, 4);
        } else {
            measurement.runProcesses(12);
            measurement.runVirtualTime(36, 180, 6, 10);
        }
        return measurement.guaranteesHold ? 0 : 1;
    }

    // ---- processes ----

    private void runProcesses(double seconds) throws IOException, InterruptedException {
        CapacityProcesses.Result[] results = new CapacityProcesses.Result[NEWS_BY_RUN.length];
        double[] servedPercent = new double[2];
        double[] refusedWhileIdlePercent = new double[2];
        double[] bytesPerSecond = new double[2];
        long[] queuedAheadP99 = new long[2];
        int sentToDrained = 0;
        int coldCollapses = 0;
        long maxDatagramBytes = 0;
        for (int i = 0; i < results.length; i++) {
            CapacityProcesses.Result result = CapacityProcesses.run(seed, NEWS_BY_RUN[i], seconds);
            results[i] = result;
            out.printf(
                    Locale.ROOT,
                    "%s: asked=%d points=%.2f refused=%d while_room=%d late=%d failed=%d"
                            + " to_drained=%d cold_fallen=%d%n",
                    NEWS_BY_RUN[i] ? "with news" : "without",
                    result.outcome.sent,
                    result.outcome.servedPercent(),
                    result.outcome.refusals.size(),
                    result.refusedWhileIdle,
                    result.outcome.late,
                    result.outcome.failed,
                    result.sentToDrained,
                    result.coldCollapses);
            int newsIndex = NEWS_BY_RUN[i] ? 1 : 0;
            servedPercent[newsIndex] += result.outcome.servedPercent() * 2 / results.length;
            refusedWhileIdlePercent[newsIndex] += result.refusedWhileIdlePercent() * 2 / results.length;
            bytesPerSecond[newsIndex] += result.bytesPerSecond * 2 / results.length;
            queuedAheadP99[newsIndex] =
                    Math.max(queuedAheadP99[newsIndex], result.queuedAhead.getValueAtPercentile(99));
            // Violations in runs without news are printed above, but not held against the news.
            sentToDrained += NEWS_BY_RUN[i] ? result.sentToDrained : 0;
            coldCollapses += NEWS_BY_RUN[i] ? result.coldCollapses : 0;
            maxDatagramBytes = Math.max(maxDatagramBytes, result.maxDatagramBytes);
        }
        CapacityProcesses.Result last = results[results.length - 1];
        out.printf(
                Locale.ROOT,
                "capacity: schedulers=%d endpoints=%d served_points=%.2f"
                        + " served_points_without=%.2f idle_refused=%.2f idle_refused_without=%.2f overshoot_p99=%d"
                        + " overshoot_p99_without=%d news_age_p50_ms=%d news_age_p99_ms=%d bytes_per_s_member=%.0f"
                        + " bytes_per_s_member_without=%.0f datagram_most=%d to_drained=%d cold_fallen=%d"
                        + " whole_after_rounds=%.1f%n",
                CapacityProcesses.SCHEDULERS,
                CapacityProcesses.ENDPOINTS,
                servedPercent[1],
                servedPercent[0],
                refusedWhileIdlePercent[1],
                refusedWhileIdlePercent[0],
                queuedAheadP99[1],
                queuedAheadP99[0],
                last.newsAgeMs.getValueAtPercentile(50),
                last.newsAgeMs.getValueAtPercentile(99),
                bytesPerSecond[1],
                bytesPerSecond[0],
                maxDatagramBytes,
                sentToDrained,
                coldCollapses,
                last.fullViewAfterRounds);
        guaranteesHold &= sentToDrained == 0 && coldCollapses == 0 && maxDatagramBytes <= MAX_DATAGRAM_BYTES;
    }

    // ---- virtual time ----

    private Result play(
            int schedulers,
            int endpoints,
            int zones,
            double seconds,
            LoadEstimator news,
            boolean central,
            Fault fault) {
        return CapacityWorld.play(new Scenario(
                schedulers, endpoints, zones, 1, 0.7, seconds, seed, news, central, 0, NETWORK_DELAY_SECONDS, fault));
    }

    private static double refusedWhileIdlePercent(Result result) {
        return 100.0 * result.idleRefused / result.submitted;
    }

    /** Prints the bytes per second that a member sends, for fleets of several sizes. */
    private void printBytesByFleetSize() {
        StringBuilder line = new StringBuilder("capacity, virtual time: bytes_per_s_member");
        for (int members : new int[] {9, 36, 100, 200}) {
            double seconds = 2;
            Result result = play(members, 25 * members, 9, seconds, LoadEstimator.SELECTIVE, false, Fault.NONE);
            line.append(String.format(Locale.ROOT, " %d_members=%.0f", members, result.bytes / seconds / members));
        }
        out.println(line);
    }

    private void runVirtualTime(int schedulers, int endpoints, int zones, double seconds) {
        Result without = play(schedulers, endpoints, zones, seconds, null, false, Fault.NONE);
        Result with = play(schedulers, endpoints, zones, seconds, LoadEstimator.SELECTIVE, false, Fault.NONE);
        Result central = play(schedulers, endpoints, zones, seconds, null, true, Fault.NONE);
        double liarLossPoints = 0;
        for (Fault liarFault : new Fault[] {Fault.LIAR_FREE, Fault.LIAR_FULL}) {
            Result withLiar = play(schedulers, endpoints, zones, seconds, LoadEstimator.SELECTIVE, false, liarFault);
            liarLossPoints = Math.max(liarLossPoints, with.points() - withLiar.points());
        }
        out.printf(
                Locale.ROOT,
                "capacity, virtual time: schedulers=%d endpoints=%d served_points=%.2f"
                        + " served_points_without=%.2f served_points_seeing_all=%.2f idle_refused=%.2f"
                        + " idle_refused_without=%.2f overshoot_p99=%d overshoot_p99_without=%d news_age_p50_ms=%d"
                        + " news_age_p99_ms=%d bytes_per_s_member=%.0f cargo_most=%d liar_points_lost=%.2f%n",
                schedulers,
                endpoints,
                with.points(),
                without.points(),
                central.points(),
                refusedWhileIdlePercent(with),
                refusedWhileIdlePercent(without),
                with.overshoot.getValueAtPercentile(99),
                without.overshoot.getValueAtPercentile(99),
                with.age.getValueAtPercentile(50),
                with.age.getValueAtPercentile(99),
                with.bytes / seconds / schedulers,
                with.largestDatagramBytes,
                liarLossPoints);
        guaranteesHold &= with.largestDatagramBytes <= MAX_NEWS_BYTES && liarLossPoints < 1;
    }
}
