package laneflow.lab.world;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import laneflow.membership.decision.SwimTimings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Plots the rounds until all members hold one view against the size of the fleet, in virtual time. Run by
 * {@code make plot}.
 */
@EnabledIfSystemProperty(named = "plot", matches = ".+")
class SettlePlotTest {
    private static final long PERIOD_MICROS = 250_000;
    private static final int SEEDS = 5;

    private final List<Double> sizes = new ArrayList<>();
    private final List<List<Double>> meanRounds = List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());

    private static double rounds(long micros) {
        assertTrue(micros >= 0, "the fleet did not settle in time");
        return micros / (double) PERIOD_MICROS;
    }

    private static double[] measure(int members, long seed) {
        MemberWorld world = new MemberWorld(members, new SwimTimings(PERIOD_MICROS), seed);
        for (int i = 0; i < members; i++) {
            world.start(i, 0, 1, 2);
        }
        double started = rounds(world.runUntil(world::isSettled, 120_000_000, 20_000));
        world.runFor(20_000_000);
        world.crash(members - 1);
        double crashed = rounds(world.runUntil(() -> world.agree(i -> true), 60_000_000, 20_000));
        int half = members / 2;
        world.cut((from, to) -> from < half != to < half);
        world.runFor(20_000_000);
        world.cut((from, to) -> false);
        double healed = rounds(world.runUntil(() -> world.agree(i -> true), 60_000_000, 20_000));
        return new double[] {started, crashed, healed};
    }

    @Test
    void draws() throws IOException {
        for (int members : new int[] {4, 8, 16, 32, 64, 128, 256, 512}) {
            double[] sum = new double[3];
            for (long seed = 1; seed <= SEEDS; seed++) {
                double[] rounds = measure(members, seed);
                for (int i = 0; i < 3; i++) {
                    sum[i] += rounds[i] / SEEDS;
                }
            }
            sizes.add((double) members);
            for (int i = 0; i < 3; i++) {
                meanRounds.get(i).add(sum[i]);
            }
            System.out.printf("%d members: %.1f %.1f %.1f rounds%n", members, sum[0], sum[1], sum[2]);
        }
        XYChart chart = new XYChartBuilder()
                .width(800)
                .height(480)
                .title("Rounds until all members hold one view (mean of " + SEEDS + " seeds, virtual time)")
                .xAxisTitle("members")
                .yAxisTitle("rounds of 250 ms")
                .build();
        chart.getStyler().setXAxisLogarithmic(true);
        chart.getStyler().setYAxisMin(0.0);
        String[] seriesNames = {
            "all members start at once", "one member crashes", "a partition into halves heals after 20 s"
        };
        for (int i = 0; i < seriesNames.length; i++) {
            chart.addSeries(seriesNames[i], sizes, meanRounds.get(i)).setMarker(SeriesMarkers.CIRCLE);
        }
        BitmapEncoder.saveBitmap(chart, Path.of(System.getProperty("plot")).toString(), BitmapFormat.PNG);
    }
}
