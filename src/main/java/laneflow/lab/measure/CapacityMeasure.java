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
 * {@code lab measure capacity}: with real processes the same drawn day without news of capacity and with it,
 * in pairs; behind it days in virtual time, with the module itself deciding, without news, with it, with a
 * liar, and with one that sees all at once. Exit code 1 where a promise is broken.
 */
public final class CapacityMeasure {
    private static final int DATAGRAM = 256;
    private static final int MOST_BYTES = 200;
    private static final double WIRE_SECONDS = 0.002;
    /** In which order days are played: what the machine does meanwhile falls on both. */
    private static final boolean[] PAIRS = {true, false, false, true};

    private final long seed;
    private final PrintStream out;
    private boolean kept = true;

    private CapacityMeasure(long seed, PrintStream out) {
        this.seed = seed;
        this.out = out;
    }

    /** Runs all of it; 0 if every promise was kept. */
    public static int run(long seed, boolean large, PrintStream out) throws IOException, InterruptedException {
        CapacityMeasure measure = new CapacityMeasure(seed, out);
        if (large) {
            measure.sizes();
            measure.virtual(200, 5000, 9, 4);
        } else {
            measure.processes(12);
            measure.virtual(36, 180, 6, 10);
        }
        return measure.kept ? 0 : 1;
    }

    // ---- processes ----

    private void processes(double seconds) throws IOException, InterruptedException {
        CapacityProcesses.Day[] all = new CapacityProcesses.Day[PAIRS.length];
        double[] points = new double[2];
        double[] idle = new double[2];
        double[] bytes = new double[2];
        long[] overshoot = new long[2];
        int toDrained = 0;
        int coldFallen = 0;
        long most = 0;
        for (int i = 0; i < all.length; i++) {
            CapacityProcesses.Day day = CapacityProcesses.play(seed, PAIRS[i], seconds);
            all[i] = day;
            out.printf(
                    Locale.ROOT,
                    "%s: asked=%d points=%.2f refused=%d while_room=%d late=%d failed=%d"
                            + " to_drained=%d cold_fallen=%d%n",
                    PAIRS[i] ? "with news" : "without",
                    day.outcome.asked,
                    day.outcome.points(),
                    day.outcome.refusals.size(),
                    day.idleRefused,
                    day.outcome.late,
                    day.outcome.failed,
                    day.toDrained,
                    day.coldFallen);
            int of = PAIRS[i] ? 1 : 0;
            points[of] += day.outcome.points() * 2 / all.length;
            idle[of] += day.idle() * 2 / all.length;
            bytes[of] += day.bytes * 2 / all.length;
            overshoot[of] = Math.max(overshoot[of], day.overshoot.getValueAtPercentile(99));
            // What goes wrong without news is told above; it is not the news'.
            toDrained += PAIRS[i] ? day.toDrained : 0;
            coldFallen += PAIRS[i] ? day.coldFallen : 0;
            most = Math.max(most, day.datagramMost);
        }
        CapacityProcesses.Day last = all[all.length - 1];
        out.printf(
                Locale.ROOT,
                "capacity: schedulers=%d endpoints=%d served_points=%.2f"
                        + " served_points_without=%.2f idle_refused=%.2f idle_refused_without=%.2f overshoot_p99=%d"
                        + " overshoot_p99_without=%d news_age_p50_ms=%d news_age_p99_ms=%d bytes_per_s_member=%.0f"
                        + " bytes_per_s_member_without=%.0f datagram_most=%d to_drained=%d cold_fallen=%d"
                        + " whole_after_rounds=%.1f%n",
                CapacityProcesses.SCHEDULERS,
                CapacityProcesses.ENDPOINTS,
                points[1],
                points[0],
                idle[1],
                idle[0],
                overshoot[1],
                overshoot[0],
                last.age.getValueAtPercentile(50),
                last.age.getValueAtPercentile(99),
                bytes[1],
                bytes[0],
                most,
                toDrained,
                coldFallen,
                last.wholeAfterRounds);
        kept &= toDrained == 0 && coldFallen == 0 && most <= DATAGRAM;
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
                schedulers, endpoints, zones, 1, 0.7, seconds, seed, news, central, 0, WIRE_SECONDS, fault));
    }

    private static double idle(Result result) {
        return 100.0 * result.idleRefused / result.submitted;
    }

    /** What a member sends a second, over the size of the fleet. */
    private void sizes() {
        StringBuilder line = new StringBuilder("capacity, virtual time: bytes_per_s_member");
        for (int members : new int[] {9, 36, 100, 200}) {
            double seconds = 2;
            Result day = play(members, 25 * members, 9, seconds, LoadEstimator.SELECTIVE, false, Fault.NONE);
            line.append(String.format(Locale.ROOT, " %d_members=%.0f", members, day.bytes / seconds / members));
        }
        out.println(line);
    }

    private void virtual(int schedulers, int endpoints, int zones, double seconds) {
        Result without = play(schedulers, endpoints, zones, seconds, null, false, Fault.NONE);
        Result with = play(schedulers, endpoints, zones, seconds, LoadEstimator.SELECTIVE, false, Fault.NONE);
        Result central = play(schedulers, endpoints, zones, seconds, null, true, Fault.NONE);
        double lost = 0;
        for (Fault lie : new Fault[] {Fault.LIAR_FREE, Fault.LIAR_FULL}) {
            Result lied = play(schedulers, endpoints, zones, seconds, LoadEstimator.SELECTIVE, false, lie);
            lost = Math.max(lost, with.points() - lied.points());
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
                idle(with),
                idle(without),
                with.overshoot.getValueAtPercentile(99),
                without.overshoot.getValueAtPercentile(99),
                with.age.getValueAtPercentile(50),
                with.age.getValueAtPercentile(99),
                with.bytes / seconds / schedulers,
                with.largestDatagramBytes,
                lost);
        kept &= with.largestDatagramBytes <= MOST_BYTES && lost < 1;
    }
}
