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
 * A day of requests with schedulers as processes and stand-in endpoints, with news of capacity or without.
 * Amid it endpoints drain and come back, and die and come back cold at their old addresses, at moments drawn
 * from the seed. Behind a day with news one scheduler begins anew, for how long it takes to know all.
 */
final class CapacityProcesses {
    static final int SCHEDULERS = 9;
    static final int ENDPOINTS = 27;
    private static final List<String> ZONES = List.of("a", "b", "c");
    private static final int RACKS = 3;
    private static final StandInPool.Profile SORT = new StandInPool.Profile(4, 4, 0.2, 5, 2, 2);
    private static final double JOB = 1;
    private static final double LOAD = 0.7;
    private static final double WARM = 3;
    private static final double SHORT = 0.02;
    private static final double LONGEST_START = 60;
    private static final int ROUND_MS = 100;
    private static final int PERIOD_MS = 250;
    private static final long MS = 1_000_000;

    /** What one day came to. */
    static final class Day {
        CapacityDay.Outcome outcome;
        int idleRefused;
        double bytes;
        long datagramMost;
        int toDrained;
        int coldFallen;
        double wholeAfterRounds = Double.NaN;
        final Histogram overshoot = new Histogram(3);
        final Histogram age = new Histogram(3);

        double idle() {
            return 100.0 * idleRefused / outcome.asked;
        }
    }

    private final long seed;
    private final boolean news;
    private final double seconds;
    private final Rig rig;
    private final StandInPool pool;
    private final StandInDiscovery discovery;
    private final Day day = new Day();
    private volatile boolean over;

    private CapacityProcesses(
            long seed, boolean news, double seconds, Rig rig, StandInPool pool, StandInDiscovery discovery) {
        this.seed = seed;
        this.news = news;
        this.seconds = seconds;
        this.rig = rig;
        this.pool = pool;
        this.discovery = discovery;
    }

    /** Plays the day of that seed. */
    static Day play(long seed, boolean news, double seconds) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("laneflow-capacity");
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            ports.add(ChildProcesses.freePort());
        }
        try (StandInDiscovery discovery = new StandInDiscovery(ChildProcesses.freePort());
                StandInPool pool = new StandInPool(ports, ZONES, RACKS, SORT);
                Rig rig = new Rig(folder, SCHEDULERS, 1, seed, "")) {
            return new CapacityProcesses(seed, news, seconds, rig, pool, discovery).play();
        } finally {
            FileTree.delete(folder);
        }
    }

    private String file(int i) {
        String zones = String.join("\", \"", ZONES);
        return "zones = [\"" + zones + "\"]\nzone = \"" + ZONES.get(i % ZONES.size()) + "\"\ndiscovery = \""
                + discovery.address() + "\"\n[classes.check]\naim_ms = " + (int) (1000 * CapacityDay.AIM)
                + "\nstretch = " + CapacityDay.STRETCH + "\ndeadline_ms = 8000\nrepeat = \"safe\"\n"
                + "[rules]\ncold_share = " + SORT.coldShare() + "\ncold_ms = "
                + (int) (1000 * SORT.coldSeconds()) + "\nfall_multiple = " + SORT.overloadFactor()
                + "\nfall_ms = " + (int) (1000 * SORT.overloadSeconds()) + "\n"
                + (news ? "[capacity]\nround_ms = " + ROUND_MS + "\n" : "");
    }

    private Day play() throws IOException, InterruptedException {
        for (int i = 0; i < SCHEDULERS; i++) {
            rig.setConfig(i, file(i));
            // Parts of cold budgets follow from how many schedulers there are, which no operators' file says.
            rig.setPlatformFile(i, "{\"settings\":{\"slotNo\":" + i + ",\"siblings\":" + SCHEDULERS + "}}");
        }
        rig.enableGossip(seed, PERIOD_MS, 0, 1);
        discovery.publish(pool.discoveryEntries());
        rig.startAll();
        rig.awaitSettled(SCHEDULERS, rig.all());
        for (int i : rig.all()) {
            rig.await(Rig.name(i) + " has its list", () -> rig.counter(i, "discovery.lists") > 0);
            rig.awaitClients(i);
        }
        double perSecond = LOAD * ENDPOINTS * SORT.slots() / JOB;
        CapacityDay drawn = new CapacityDay(seed, SCHEDULERS, perSecond, JOB, WARM, seconds);
        long bytes = counted("members.bytes");
        long began = System.nanoTime();
        Thread faults = new Thread(this::faults, "faults");
        Thread ages = new Thread(this::ages, "ages");
        faults.start();
        ages.start();
        day.outcome = drawn.play(rig::clientPort);
        day.bytes = (counted("members.bytes") - bytes) * 1e9 / (System.nanoTime() - began) / SCHEDULERS;
        over = true;
        faults.join();
        ages.join();
        judge();
        if (news) {
            newcomer();
        }
        for (int i : rig.all()) {
            day.datagramMost = Math.max(day.datagramMost, rig.counter(i, "members.datagram_most"));
        }
        return day;
    }

    private long counted(String name) throws IOException, InterruptedException {
        long all = 0;
        for (int i : rig.all()) {
            all += rig.counter(i, name);
        }
        return all;
    }

    /** A refusal counts as idle where a ready, warm endpoint in reach had a slot free all the while. */
    private void judge() {
        for (CapacityDay.Refusal refusal : day.outcome.refusals) {
            // All zones are in reach of three on a ring.
            boolean room = pool.endpoints.stream()
                    .anyMatch(node -> node.freeAt(refusal.askedNs()) > 0 && node.freeAt(refusal.answeredNs()) > 0);
            day.idleRefused += room ? 1 : 0;
        }
        pool.queuePositions(day.outcome.beganNs).forEach(day.overshoot::recordValue);
        day.toDrained = pool.sentToDrained();
        day.coldFallen = pool.coldOverloads();
    }

    // ---- what befalls endpoints ----

    private void faults() {
        SplittableRandom random = new SplittableRandom(seed + 1);
        long from = System.nanoTime();
        try {
            double part = seconds / 6;
            for (int i = 0; i < 4; i++) {
                until(from, WARM + part * (i + random.nextDouble() / 2));
                Endpoint node = pool.endpoints.get(random.nextInt(ENDPOINTS));
                if (i % 2 == 0) {
                    node.startDraining();
                    discovery.publish(pool.discoveryEntries());
                    until(from, WARM + part * (i + 1));
                    node.stopDraining();
                } else {
                    node.crash();
                    until(from, WARM + part * (i + 0.75));
                    node.restart();
                }
                discovery.publish(pool.discoveryEntries());
            }
        } catch (IOException e) {
            throw new IllegalStateException("an endpoint's address is gone", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void until(long from, double seconds) throws InterruptedException {
        long left = from + (long) (seconds * 1e9) - System.nanoTime();
        Thread.sleep(Math.max(0, left / MS));
    }

    // ---- what is told ----

    private JsonObject capacity(int i) throws IOException, InterruptedException {
        HttpResponse<String> answer = rig.request(i, "/capacity", null);
        if (answer.statusCode() != 200) {
            throw new IOException(answer.body());
        }
        return JsonParser.parseString(answer.body()).getAsJsonObject();
    }

    /** Ages of what others told, as the schedulers hold it. */
    private void ages() {
        try {
            while (news && !over) {
                for (int i : rig.all()) {
                    JsonObject endpoints = capacity(i).getAsJsonObject("endpoints");
                    for (String name : endpoints.keySet()) {
                        JsonObject one = endpoints.getAsJsonObject(name);
                        if (!one.get("own").getAsBoolean()) {
                            day.age.recordValue(one.get("age_ms").getAsLong());
                        }
                    }
                }
                Thread.sleep(300);
            }
        } catch (IOException e) {
            throw new IllegalStateException("a scheduler does not answer", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One begins anew: rounds from when it answers until it has news of every endpoint. */
    private void newcomer() throws IOException, InterruptedException {
        int one = SCHEDULERS - 1;
        rig.kill(one);
        // What is older than 21 s is not told: some jobs go on at the others.
        CapacityDay thin = new CapacityDay(seed, one, 3 * ENDPOINTS, SHORT, 0, LONGEST_START);
        Thread others = new Thread(
                () -> {
                    try {
                        thin.play(rig::clientPort);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "others");
        others.setDaemon(true);
        others.start();
        rig.start(one);
        rig.await("it answers", () -> rig.fleet(one).has("live"));
        long from = System.nanoTime();
        rig.await("it has news of all", () -> capacity(one).get("known_share").getAsDouble() >= 1);
        day.wholeAfterRounds = (System.nanoTime() - from) / (double) (ROUND_MS * MS);
        others.interrupt();
    }
}
