package laneflow.lab.measure;

import java.io.PrintStream;
import java.util.Locale;
import laneflow.capacity.decision.Weighing;
import laneflow.lab.world.CapacityWorld;
import laneflow.lab.world.CapacityWorld.Day;
import laneflow.lab.world.CapacityWorld.Fault;
import laneflow.lab.world.CapacityWorld.Result;

/**
 * {@code lab measure capacity}: the same drawn days in virtual time, with the module itself deciding, without
 * news of capacity, with it, with a liar, and with one that sees all at once. Exit code 1 where a datagram is
 * too long or a liar costs a point.
 */
public final class CapacityMeasure {
    private static final int MOST_BYTES = 200;
    private static final double WIRE_SECONDS = 0.002;

    private CapacityMeasure() {
    }

    private static Result play(int schedulers, int endpoints, int zones, double load, double seconds,
            long seed, Weighing news, boolean central, Fault fault) {
        return CapacityWorld.play(new Day(schedulers, endpoints, zones, 1, load, seconds, seed, news, central,
                0, WIRE_SECONDS, fault));
    }

    private static double idle(Result result) {
        return 100.0 * result.idleRefused / result.asked;
    }

    /** Runs all of it; 0 if every promise was kept. */
    public static int run(long seed, boolean large, PrintStream out) {
        int schedulers = large ? 200 : 36;
        int endpoints = large ? 5000 : 180;
        int zones = large ? 9 : 6;
        double seconds = large ? 4 : 10;
        double load = 0.7;
        Result without = play(schedulers, endpoints, zones, load, seconds, seed, null, false, Fault.NONE);
        Result with = play(schedulers, endpoints, zones, load, seconds, seed, Weighing.SPARING, false,
                Fault.NONE);
        Result central = play(schedulers, endpoints, zones, load, seconds, seed, null, true, Fault.NONE);
        double lost = 0;
        for (Fault lie : new Fault[] {Fault.LIAR_FREE, Fault.LIAR_FULL}) {
            Result lied = play(schedulers, endpoints, zones, load, seconds, seed, Weighing.SPARING, false,
                    lie);
            lost = Math.max(lost, with.points() - lied.points());
        }
        out.printf(Locale.ROOT, "capacity: schedulers=%d endpoints=%d served_points=%.2f"
                + " served_points_without=%.2f served_points_seeing_all=%.2f idle_refused=%.2f"
                + " idle_refused_without=%.2f overshoot_p99=%d overshoot_p99_without=%d news_age_p50_ms=%d"
                + " news_age_p99_ms=%d bytes_per_s_member=%.0f cargo_most=%d liar_points_lost=%.2f%n",
                schedulers, endpoints, with.points(), without.points(), central.points(), idle(with),
                idle(without), with.overshoot.getValueAtPercentile(99),
                without.overshoot.getValueAtPercentile(99), with.age.getValueAtPercentile(50),
                with.age.getValueAtPercentile(99), with.bytes / seconds / schedulers, with.mostBytes, lost);
        return with.mostBytes <= MOST_BYTES && lost < 1 ? 0 : 1;
    }
}
