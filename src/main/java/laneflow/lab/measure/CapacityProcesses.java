package laneflow.lab.measure;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import laneflow.lab.rig.ChildProcesses;
import laneflow.lab.rig.FileTree;
import laneflow.lab.rig.Rig;
import laneflow.lab.standin.StandInDiscovery;
import laneflow.lab.standin.StandInPool;
import laneflow.lab.standin.StandInPool.Endpoint;
import org.HdrHistogram.Histogram;

/**
 * Runs a workload against scheduler processes and stand-in endpoints, with or without exchange of capacity
 * news between the schedulers. During the run endpoints drain and return, or die and return cold at their old
 * addresses, at times drawn from the seed. After a run with news one scheduler is restarted, to measure how
 * long it takes until it has news of every endpoint.
 */
final class CapacityProcesses {
    static final int SCHEDULERS = 9;
    static final int ENDPOINTS = 27;
    private static final List<String> ZONES = List.of("a", "b", "c");
    private static final int RACKS = 3;
    private static final StandInPool.Profile NODE_SPEC = new StandInPool.Profile(4, 4, 0.2, 5, 2, 2);
    private static final double MEAN_RUN_SECONDS = 1;
    private static final double TARGET_UTILIZATION = 0.7;
    private static final double WARMUP_SECONDS = 3;
    private static final double SHORT_RUN_SECONDS = 0.02;
    private static final double START_TIMEOUT_SECONDS = 60;
    private static final int ROUND_MS = 100;
    private static final int PERIOD_MS = 250;
    private static final long NANOS_PER_MS = 1_000_000;

    /** The figures of one run. */
    static final class Result {
        CapacityWorkload.Outcome outcome;
        int refusedWhileIdle;
        double bytesPerSecond;
        long maxDatagramBytes;
        int sentToDrained;
        int coldCollapses;
        double fullViewAfterRounds = Double.NaN;
        final Histogram queuedAhead = new Histogram(3);
        final Histogram newsAgeMs = new Histogram(3);

        double refusedWhileIdlePercent() {
            return 100.0 * refusedWhileIdle / outcome.sent;
        }
    }

    private final long seed;
    private final boolean withNews;
    private final double seconds;
    private final Rig rig;
    private final StandInPool pool;
    private final StandInDiscovery discovery;
    private final Result result = new Result();
    private volatile boolean ended;

    private CapacityProcesses(
            long seed, boolean withNews, double seconds, Rig rig, StandInPool pool, StandInDiscovery discovery) {
        this.seed = seed;
        this.withNews = withNews;
        this.seconds = seconds;
        this.rig = rig;
        this.pool = pool;
        this.discovery = discovery;
    }

    /** Runs the workload of this seed. */
    static Result run(long seed, boolean withNews, double seconds) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("laneflow-capacity");
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            ports.add(ChildProcesses.freePort());
        }
        try (StandInDiscovery discovery = new StandInDiscovery(ChildProcesses.freePort());
                StandInPool pool = new StandInPool(ports, ZONES, RACKS, NODE_SPEC);
                Rig rig = new Rig(folder, SCHEDULERS, 1, seed, "")) {
            return new CapacityProcesses(seed, withNews, seconds, rig, pool, discovery).run();
        } finally {
            FileTree.delete(folder);
        }
    }

    private String schedulerConfig(int index) {
        String zones = String.join("\", \"", ZONES);
        return "zones = [\"" + zones + "\"]\nzone = \"" + ZONES.get(index % ZONES.size()) + "\"\ndiscovery = \""
                + discovery.address() + "\"\n[classes.check]\naim_ms = " + (int) (1000 * CapacityWorkload.AIM_SECONDS)
                + "\nstretch = " + CapacityWorkload.STRETCH + "\ndeadline_ms = 8000\nrepeat = \"safe\"\n"
                + "[rules]\ncold_share = " + NODE_SPEC.coldShare() + "\ncold_ms = "
                + (int) (1000 * NODE_SPEC.coldSeconds()) + "\nfall_multiple = " + NODE_SPEC.overloadFactor()
                + "\nfall_ms = " + (int) (1000 * NODE_SPEC.overloadSeconds()) + "\n"
                + (withNews ? "[capacity]\nround_ms = " + ROUND_MS + "\n" : "");
    }

    private Result run() throws IOException, InterruptedException {
        for (int i = 0; i < SCHEDULERS; i++) {
            rig.setConfig(i, schedulerConfig(i));
            // A scheduler's part of a cold budget depends on the number of schedulers; only the platform states it.
            rig.setPlatformFile(i, "{\"settings\":{\"slotNo\":" + i + ",\"siblings\":" + SCHEDULERS + "}}");
        }
        rig.enableGossip(seed, PERIOD_MS, 0, 1);
        discovery.publish(pool.discoveryEntries());
        rig.startAll();
        rig.awaitSettled(SCHEDULERS, rig.all());
        for (int i : rig.all()) {
            rig.await(Rig.name(i) + " has its endpoint list", () -> rig.counter(i, "discovery.lists") > 0);
            rig.awaitClients(i);
        }
        double perSecond = TARGET_UTILIZATION * ENDPOINTS * NODE_SPEC.slots() / MEAN_RUN_SECONDS;
        CapacityWorkload workload =
                new CapacityWorkload(seed, SCHEDULERS, perSecond, MEAN_RUN_SECONDS, WARMUP_SECONDS, seconds);
        long bytesBefore = sumOfCounters("members.bytes");
        long startNanos = System.nanoTime();
        Thread faultsThread = new Thread(this::injectFaults, "faults");
        Thread agesThread = new Thread(this::sampleNewsAges, "ages");
        faultsThread.start();
        agesThread.start();
        result.outcome = workload.run(rig::clientPort);
        result.bytesPerSecond =
                (sumOfCounters("members.bytes") - bytesBefore) * 1e9 / (System.nanoTime() - startNanos) / SCHEDULERS;
        ended = true;
        faultsThread.join();
        agesThread.join();
        evaluate();
        if (withNews) {
            measureNewcomer();
        }
        for (int i : rig.all()) {
            result.maxDatagramBytes = Math.max(result.maxDatagramBytes, rig.counter(i, "members.datagram_most"));
        }
        return result;
    }

    private long sumOfCounters(String name) throws IOException, InterruptedException {
        long total = 0;
        for (int i : rig.all()) {
            total += rig.counter(i, name);
        }
        return total;
    }

    /** A refusal counts as idle if a ready, warm endpoint in reach had a free slot when it was due and answered. */
    private void evaluate() {
        for (CapacityWorkload.Refusal refusal : result.outcome.refusals) {
            // With three zones on a ring, every zone is in reach.
            boolean slotFree = pool.endpoints.stream()
                    .anyMatch(node -> node.freeAt(refusal.dueNanos()) > 0 && node.freeAt(refusal.answeredNanos()) > 0);
            result.refusedWhileIdle += slotFree ? 1 : 0;
        }
        pool.queuePositions(result.outcome.measuredFromNanos).forEach(result.queuedAhead::recordValue);
        result.sentToDrained = pool.sentToDrained();
        result.coldCollapses = pool.coldOverloads();
    }

    // ---- faults of endpoints ----

    private void injectFaults() {
        SplittableRandom random = new SplittableRandom(seed + 1);
        long startNanos = System.nanoTime();
        try {
            double partSeconds = seconds / 6;
            for (int i = 0; i < 4; i++) {
                sleepUntil(startNanos, WARMUP_SECONDS + partSeconds * (i + random.nextDouble() / 2));
                Endpoint node = pool.endpoints.get(random.nextInt(ENDPOINTS));
                if (i % 2 == 0) {
                    node.startDraining();
                    discovery.publish(pool.discoveryEntries());
                    sleepUntil(startNanos, WARMUP_SECONDS + partSeconds * (i + 1));
                    node.stopDraining();
                } else {
                    node.crash();
                    sleepUntil(startNanos, WARMUP_SECONDS + partSeconds * (i + 0.75));
                    node.restart();
                }
                discovery.publish(pool.discoveryEntries());
            }
        } catch (IOException e) {
            throw new IllegalStateException("an endpoint could not listen on its address again", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleepUntil(long startNanos, double seconds) throws InterruptedException {
        long remainingNanos = startNanos + (long) (seconds * 1e9) - System.nanoTime();
        Thread.sleep(Math.max(0, remainingNanos / NANOS_PER_MS));
    }

    // ---- capacity news ----

    private JsonObject capacity(int i) throws IOException, InterruptedException {
        HttpResponse<String> response = rig.request(i, "/capacity", null);
        if (response.statusCode() != 200) {
            throw new IOException(response.body());
        }
        return JsonParser.parseString(response.body()).getAsJsonObject();
    }

    /** Samples the age of the news that each scheduler holds from others, until the run has ended. */
    private void sampleNewsAges() {
        try {
            while (withNews && !ended) {
                for (int i : rig.all()) {
                    JsonObject endpoints = capacity(i).getAsJsonObject("endpoints");
                    for (String name : endpoints.keySet()) {
                        JsonObject report = endpoints.getAsJsonObject(name);
                        if (!report.get("own").getAsBoolean()) {
                            result.newsAgeMs.recordValue(report.get("age_ms").getAsLong());
                        }
                    }
                }
                Thread.sleep(300);
            }
        } catch (IOException e) {
            throw new IllegalStateException("a scheduler did not answer GET /capacity", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Restarts a scheduler and counts the rounds from its first response until it has news of every endpoint. */
    private void measureNewcomer() throws IOException, InterruptedException {
        int newcomer = SCHEDULERS - 1;
        rig.kill(newcomer);
        // News older than 21 s is not sent, so the other schedulers need some load to have fresh news.
        CapacityWorkload lightWorkload =
                new CapacityWorkload(seed, newcomer, 3 * ENDPOINTS, SHORT_RUN_SECONDS, 0, START_TIMEOUT_SECONDS);
        Thread otherLoad = new Thread(
                () -> {
                    try {
                        lightWorkload.run(rig::clientPort);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "others");
        otherLoad.setDaemon(true);
        otherLoad.start();
        rig.start(newcomer);
        rig.await("the restarted scheduler answers", () -> rig.fleet(newcomer).has("live"));
        long startNanos = System.nanoTime();
        rig.await(
                "the restarted scheduler has news of every endpoint",
                () -> capacity(newcomer).get("known_share").getAsDouble() >= 1);
        result.fullViewAfterRounds = (System.nanoTime() - startNanos) / (double) (ROUND_MS * NANOS_PER_MS);
        otherLoad.interrupt();
    }
}
