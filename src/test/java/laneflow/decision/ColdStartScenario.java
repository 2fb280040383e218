package laneflow.decision;

import java.util.SplittableRandom;

/** Parameters of a {@link ColdStartSimulation}, drawn from a seed: fleet, traffic, jobs, settings and faults. */
final class ColdStartScenario {
    /** How schedulers are distributed over the zones; the first cold worker is in zone 0. */
    enum Spread {
        EVENLY,
        ONE_ZONE,
        UNEVENLY
    }

    /** How requests are distributed over the schedulers. */
    enum Traffic {
        EVEN,
        UNEVEN,
        FEW
    }

    /** How well hints state the work of jobs. */
    enum Hints {
        EXACT,
        ROUGH,
        ABSENT
    }

    /** Standard deviation of the natural logarithm of a rough hint's error. */
    private static final double ROUGH_SIGMA = 0.5;

    private static final double PARETO_ALPHA = 2.1;
    /** The heavy-tailed distribution's longest job as a multiple of its shortest. */
    private static final double PARETO_MAX_RATIO = 200;
    /** Limit on the mean jobs that a cold worker may take within {@code fallWithin}; it keeps the tests fast. */
    private static final double MAX_ALLOWED_JOBS = 600;
    /** Number of schedulers that receive all traffic, for {@link Traffic#FEW}. */
    private static final int FEW_SCHEDULERS = 5;

    private static final double MAX_WEIGHT = 50;
    private static final double BUSY_WEIGHT = 4;

    final long seed;
    final int schedulers;
    final int zones;
    final Spread spread;
    final Traffic traffic;
    final Hints hints;
    final int workers;
    final double cores;
    final double speed;
    final double coldShare;
    final double coldFor;
    final double fallMultiple;
    final double fallWithin;
    final double meanWork;
    final double variation;
    final boolean heavyTail;
    final boolean manySlots;
    final boolean tellsStart;
    /** Jobs that each scheduler has seen completed by a warm worker of the same kind. */
    final int warmJobs;

    final double newShare;
    final double restartedShare;
    final double restartAt;
    final double restartWithin;
    final double listDelay;
    final double silentShare;
    final double fullShare;
    final double seconds;
    private final double[] weight;
    private final int[] zone;

    ColdStartScenario(long seed) {
        this(seed, null, null);
    }

    /** Uses the given traffic and hints instead of random ones where they are not null. */
    ColdStartScenario(long seed, Traffic fixedTraffic, Hints fixedHints) {
        this.seed = seed;
        SplittableRandom random = new SplittableRandom(seed);
        int[] sizes = {1, 2, 3, 4 + random.nextInt(6), 10 + random.nextInt(40), 50 + random.nextInt(151), 200};
        schedulers = sizes[random.nextInt(sizes.length)];
        zones = 1 + random.nextInt(4);
        spread = Spread.values()[random.nextInt(3)];
        Traffic randomTraffic = random.nextBoolean() ? Traffic.EVEN : Traffic.UNEVEN;
        traffic = fixedTraffic != null ? fixedTraffic : randomTraffic;
        Hints randomHints = random.nextInt(2) == 0 ? Hints.EXACT : Hints.values()[1 + random.nextInt(2)];
        hints = fixedHints != null ? fixedHints : randomHints;
        workers = random.nextInt(3) > 0 ? 1 : 2 + random.nextInt(3);
        cores = 1 + random.nextInt(random.nextBoolean() ? 4 : 16);
        speed = random.nextInt(3) == 0 ? 1 : 0.5 * Math.pow(4, random.nextDouble());
        coldShare = random.nextDouble(0.05, 0.6);
        coldFor = random.nextDouble(3, 24);
        fallMultiple = random.nextDouble(2, 4);
        fallWithin = random.nextDouble(0.8, 2);
        double work = 0.03 * Math.pow(50, random.nextDouble());
        meanWork = Math.max(work, fallMultiple * cores * speed * fallWithin / MAX_ALLOWED_JOBS);
        variation = new double[] {0, 0.5, 1, 2.5}[random.nextInt(4)];
        heavyTail = random.nextInt(4) == 0;
        manySlots = random.nextInt(3) == 0;
        tellsStart = random.nextBoolean();
        warmJobs = new int[] {0, 3, 20, 100, 100}[random.nextInt(5)];
        newShare = new double[] {0, 0, 0.2, 1}[random.nextInt(4)];
        restartedShare = new double[] {0, 0, 0.1, 0.5, 1}[random.nextInt(5)];
        restartAt = random.nextDouble(0.1, 3);
        restartWithin = random.nextBoolean() ? 0.3 : 2;
        listDelay = random.nextBoolean() ? 0 : 0.5;
        silentShare = new double[] {0, 0.1, 1}[random.nextInt(3)];
        fullShare = silentShare == 1 ? 0 : new double[] {0, 0.2, 0.8}[random.nextInt(3)];
        // A warm worker is not overloaded and gets what it is estimated to have room for.
        seconds = Math.min(coldFor, random.nextDouble(4, 8));
        weight = weights(random);
        zone = zoneNumbers(random);
    }

    private double[] weights(SplittableRandom random) {
        double[] values = new double[schedulers];
        for (int i = 0; i < schedulers; i++) {
            boolean isBusy = traffic == Traffic.UNEVEN && random.nextInt(10) == 0;
            values[i] = traffic == Traffic.FEW ? 0 : isBusy ? BUSY_WEIGHT : traffic == Traffic.UNEVEN ? 0.5 : 1;
        }
        if (traffic == Traffic.UNEVEN) {
            values[random.nextInt(schedulers)] = Math.min(MAX_WEIGHT, schedulers);
        }
        for (int i = 0; traffic == Traffic.FEW && i < FEW_SCHEDULERS; i++) {
            values[random.nextInt(schedulers)] = Math.max(1, schedulers / (double) FEW_SCHEDULERS);
        }
        return values;
    }

    private int[] zoneNumbers(SplittableRandom random) {
        int[] values = new int[schedulers];
        for (int i = 0; i < schedulers; i++) {
            int uneven = Math.min(random.nextInt(zones), random.nextInt(zones));
            values[i] = spread == Spread.EVENLY ? i % zones : spread == Spread.ONE_ZONE ? 0 : uneven;
        }
        return values;
    }

    int zoneOf(int scheduler) {
        return zone[scheduler];
    }

    /** Mean jobs that the settings allow a cold worker of that age. */
    double allowedAt(double age) {
        double share = Math.min(1, coldShare + (1 - coldShare) * age / coldFor);
        return fallMultiple * cores * speed * share * fallWithin / meanWork;
    }

    /** Requests per second: several times the most that this scheduler could use of the budget. */
    double requestRate(int scheduler) {
        double allowed = allowedAt(seconds);
        double limit = allowed + 2 * Math.sqrt(allowed) + 2;
        return weight[scheduler] * 4 * workers * Math.max(2.5, 1.5 * limit / schedulers) / fallWithin;
    }

    /** Random work of a job, in seconds on a standard core. */
    double drawWork(SplittableRandom random) {
        double uniform = 1 - random.nextDouble();
        if (heavyTail) {
            double minWork = meanWork / boundedParetoMean();
            double truncation = 1 - Math.pow(PARETO_MAX_RATIO, -PARETO_ALPHA);
            return minWork * Math.pow(1 - (1 - uniform) * truncation, -1 / PARETO_ALPHA);
        }
        double sigma = Math.sqrt(Math.log(1 + variation * variation));
        return meanWork * Math.exp(sigma * normal(random) - sigma * sigma / 2);
    }

    private static double boundedParetoMean() {
        double truncation = 1 - Math.pow(PARETO_MAX_RATIO, -PARETO_ALPHA);
        return PARETO_ALPHA / (PARETO_ALPHA - 1) * (1 - Math.pow(PARETO_MAX_RATIO, 1 - PARETO_ALPHA)) / truncation;
    }

    int drawSlots(SplittableRandom random) {
        return manySlots ? Math.min(1 << random.nextInt(3), (int) cores) : 1;
    }

    double hint(double work, SplittableRandom random) {
        return switch (hints) {
            case EXACT -> work;
            case ROUGH -> work * Math.exp(ROUGH_SIGMA * normal(random));
            case ABSENT -> Double.NaN;
        };
    }

    private static double normal(SplittableRandom random) {
        double radius = Math.sqrt(-2 * Math.log(1 - random.nextDouble()));
        return radius * Math.cos(2 * Math.PI * random.nextDouble());
    }

    @Override
    public String toString() {
        return String.format(
                "seed %d: %d schedulers %s in %d zones, traffic %s, hints %s, %d workers of %.0f cores"
                        + " at speed %.2f, cold share %.2f for %.1f s, multiple %.1f within %.2f s, mean work %.3f cv %.1f%s%s,"
                        + " learned from %d jobs, new %.1f, restarted %.1f from %.1f s within %.1f s, list delay %.1f,"
                        + " never %.1f, full %.1f, N at start %.1f",
                seed,
                schedulers,
                spread,
                zones,
                traffic,
                hints,
                workers,
                cores,
                speed,
                coldShare,
                coldFor,
                fallMultiple,
                fallWithin,
                meanWork,
                variation,
                heavyTail ? " Pareto" : "",
                manySlots ? " slots 1/2/4" : "",
                warmJobs,
                newShare,
                restartedShare,
                restartAt,
                restartWithin,
                listDelay,
                silentShare,
                fullShare,
                allowedAt(0));
    }
}
