package laneflow.maintenance.decision;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Two weeks of requests generated from a seed, over an inventory with spare capacity at night and little by
 * day.
 */
final class RandomPlanInput {
    static final long HOUR = 3_600_000;
    static final long FROM = 1_800_000_000_000L / HOUR * HOUR;

    final Fairness fairness;
    final RandomInventory generated;
    final Forecast forecast;
    final List<Request> requests = new ArrayList<>();

    RandomPlanInput(long seed, int racks, int tenants, int count, double busy) {
        generated = new RandomInventory(seed, racks, tenants, true);
        fairness = new Fairness(generated.inventory, Fairness.Limits.defaults());
        List<double[][]> week = new ArrayList<>();
        double[][] base = generated.demand(1);
        SplittableRandom random = new SplittableRandom(seed + 1);
        for (int hour = 0; hour < 168; hour++) {
            double day = 0.5 - 0.5 * Math.cos(2 * Math.PI * (hour % 24 - 3) / 24.0);
            double load = (busy + 0.3 * day) * (hour / 24 > 4 ? 0.93 : 1) * (0.98 + 0.04 * random.nextDouble());
            double[][] demand = new double[tenants][2];
            for (int t = 0; t < tenants; t++) {
                for (int k = 0; k < 2; k++) {
                    demand[t][k] = base[t][k] * load;
                }
            }
            week.add(demand);
        }
        forecast = new Forecast(FROM, HOUR, week);
        for (int i = 0; i < count; i++) {
            Set<String> rackNames = new HashSet<>();
            int rackCount = 1 + random.nextInt(Math.max(1, racks / 9));
            int first = random.nextInt(racks);
            for (int r = 0; r < rackCount; r++) {
                rackNames.add("r" + (first + 4 * r) % racks);
            }
            long work = HOUR * (1 + random.nextInt(7));
            long earliest = FROM + HOUR * random.nextInt(11 * 24);
            long latest = Math.min(FROM + 14 * 24 * HOUR, earliest + work + HOUR * (20 + random.nextInt(72)));
            Set<String> apart = random.nextInt(4) == 0 ? Set.of("power-" + random.nextInt(5)) : Set.of();
            List<String> after = List.of();
            if (i > 5 && random.nextInt(8) == 0) {
                Request before = requests.get(i - 5);
                boolean inTime =
                        Math.max(before.earliestMs(), FROM + 24 * HOUR) + before.workMs() + work + 24 * HOUR < latest;
                after = inTime ? List.of(before.name()) : after;
            }
            requests.add(new Request(
                    "w" + i,
                    "ops",
                    rackNames.stream().sorted().toList(),
                    work,
                    earliest,
                    latest,
                    24 * HOUR,
                    work / 2,
                    apart,
                    after));
        }
    }

    Planner.Input input(List<Request> requested, Plan previous, List<Plan.Freeze> freezes, List<String> lost) {
        return new Planner.Input(
                new Planner.Parameters(FROM, HOUR / 4, 14 * 24 * 4, HOUR / 4, HOUR / 4, 0.02, 1500),
                forecast,
                requested,
                List.of(),
                previous,
                freezes,
                lost,
                FROM + 24 * HOUR,
                null);
    }

    Planner.Input input() {
        return input(requests, null, List.of(), List.of());
    }
}
