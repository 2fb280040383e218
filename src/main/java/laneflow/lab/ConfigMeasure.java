package laneflow.lab;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import laneflow.Main;
import laneflow.control.DestinationType;
import org.HdrHistogram.Histogram;

/**
 * {@code lab measure config}: four schedulers as processes, a stand-in control service, and a script of
 * versions drawn from the seed: good, bad in form and in sense, older, repeated, with 2,000 endpoints, under
 * steady traffic. Each answer is held against what it has to be. One scheduler is killed twice on the way.
 * Exit code 1 for a wrong verdict, a request without an answer, schedulers that disagree at the end, or a
 * damaged file.
 */
final class ConfigMeasure {
    private static final int SCHEDULERS = 4;
    private static final int NODES = 3;
    private static final int PER_SECOND = 60;
    private static final long PATIENCE = 2_000_000_000L;

    private final SplittableRandom random;
    private final boolean large;
    private final Path folder;
    private final PrintStream out;
    private final Crew crew;
    private final StandInControl control = new StandInControl();
    private final int[] ports = new int[SCHEDULERS];
    private final int[] nodes = new int[NODES];
    private final Process[] schedulers = new Process[SCHEDULERS];
    private final Histogram converge = new Histogram(3);
    private String running = "";
    private long number;
    private int acked;
    private int nacked;
    private int wrong;
    private int disagree;
    private int damaged;
    private long adoptUs;

    private ConfigMeasure(long seed, boolean large, Path folder, PrintStream out,
            Crew crew) throws IOException {
        random = new SplittableRandom(seed);
        this.large = large;
        this.folder = folder;
        this.out = out;
        this.crew = crew;
    }

    /** Runs all of it; 0 if every promise was kept. */
    static int run(long seed, boolean large, PrintStream out) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("laneflow-config");
        try (Crew crew = new Crew(folder)) {
            return new ConfigMeasure(seed, large, folder, out, crew).all();
        } finally {
            Trash.remove(folder);
        }
    }

    private int all() throws IOException, InterruptedException {
        for (int i = 0; i < NODES; i++) {
            nodes[i] = Crew.port();
        }
        crew.start("nodes", 256, StandInNodes.class, nodes[0] + "," + nodes[1] + "," + nodes[2], "", "5", "8",
                "20",
                large ? "600" : "60");
        for (int i = 0; i < SCHEDULERS; i++) {
            ports[i] = Crew.port();
            schedulers[i] = start(i);
        }
        await(() -> control.streams() == SCHEDULERS, "streams");
        publish(good(all(NODES)), true, true);
        load(1);
        double before = load(3);
        int versions = large ? 600 : 100;
        double[] during = new double[1];
        Thread traffic = new Thread(() -> during[0] = quietLoad(versions * 0.1 + 3));
        traffic.start();
        long spacing = 100_000_000L;
        long from = System.nanoTime();
        for (int i = 0; i < versions; i++) {
            long wait = from + i * spacing - System.nanoTime();
            if (wait > 0) {
                Thread.sleep(wait / 1_000_000);
            }
            one(i);
        }
        traffic.join();
        // Apart, since what a kill costs is not the versions' doing.
        for (int i = 0; i < SCHEDULERS; i++) {
            restart(i);
            one(versions + i);
        }
        publish(good(all(NODES)), true, true);
        for (int i = 0; i < SCHEDULERS; i++) {
            JsonObject report = JsonParser.parseString(body(get(i, "/config"))).getAsJsonObject();
            JsonObject types = report.getAsJsonObject("types");
            String version = types.getAsJsonObject(DestinationType.URL).get("version")
                    .getAsString();
            disagree += version.equals(running) ? 0 : 1;
            for (String line : body(get(i, "/counters")).split("\n")) {
                adoptUs = line.startsWith("config.adopt_most_us ") ? Math.max(adoptUs,
                        Long.parseLong(line.substring(21).strip())) : adoptUs;
            }
        }
        out.printf(Locale.ROOT, "config: versions=%d acked=%d nacked=%d wrong_verdicts=%d lost=%d disagree=%d"
                + " service_before=%.2f service_loss_points=%.2f adopt_most_ms=%.2f converge_p99_ms=%.1f"
                + " file_damaged=%d%n", versions + 2 + SCHEDULERS, acked, nacked, wrong, lost, disagree,
                before * 100, (before - during[0]) * 100, adoptUs / 1e3,
                converge.getValueAtPercentile(99) / 1e6, damaged);
        control.close();
        return wrong + lost + disagree + damaged > 0 ? 1 : 0;
    }

    // ---- processes and traffic ----

    private Process start(int i) throws IOException, InterruptedException {
        String name = "s" + i;
        Path file = folder.resolve(name + ".toml");
        Files.writeString(file, "name = \"" + name + "\"\nlisten = \"127.0.0.1:" + ports[i]
                + "\"\nzones = [\"a\"]\n"
                + "[limits]\nsockets = 2048\n[classes.check]\naim_ms = 200\nrepeat = \"safe\"\n"
                + "[control]\naddresses = [\"" + control.address() + "\"]\nlast_good_dir = \""
                + folder.resolve(name) + "\"\nallowed_endpoints = [\"127.0.0.0/8\"]\nprobation_ms = 0\n"
                + "silence_ms = 60000\nlongest_backoff_ms = 200\n");
        Process process = crew.start(name, 128, Main.class, "serve", "--config", file.toString());
        await(() -> {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), ports[i])) {
                return true;
            } catch (IOException e) {
                return false;
            }
        }, name);
        return process;
    }

    private interface Condition {
        boolean holds() throws IOException;
    }

    private static void await(Condition condition, String what) throws IOException, InterruptedException {
        long end = System.nanoTime() + 10 * PATIENCE;
        while (!condition.holds()) {
            if (System.nanoTime() > end) {
                throw new IOException("waited in vain for " + what);
            }
            Thread.sleep(5);
        }
    }

    /** Killed and started again: it runs the last good version, and the newest as soon as it is told. */
    private void restart(int i) throws IOException, InterruptedException {
        Crew.kill(schedulers[i]);
        control.forget("s" + i);
        schedulers[i] = start(i);
        await(() -> control.has("s" + i), "its stream");
        await(() -> body(get(i, "/config")).contains("\"" + running + "\""), "the newest version at s" + i);
        if (crew.log("s" + i).contains("is passed over")) {
            damaged++;
        }
    }

    private double quietLoad(double seconds) {
        try {
            return load(seconds);
        } catch (InterruptedException e) {
            return 0;
        }
    }

    private int lost;

    /**
     * Steady requests at each scheduler; one that is killed owes the requests of that time to nobody here.
     */
    private double load(double seconds) throws InterruptedException {
        LiveLoad[] loads = new LiveLoad[SCHEDULERS];
        double[] shares = new double[SCHEDULERS];
        Thread[] threads = new Thread[SCHEDULERS];
        for (int i = 0; i < SCHEDULERS; i++) {
            int at = i;
            loads[i] = new LiveLoad(ports[i], "check", 8, PER_SECOND, 200);
            threads[i] = new Thread(() -> {
                try {
                    shares[at] = loads[at].run(seconds);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            threads[i].start();
        }
        double sum = 0;
        for (int i = 0; i < SCHEDULERS; i++) {
            threads[i].join();
            sum += shares[i];
            lost += loads[i].timedOut();
        }
        return sum / SCHEDULERS;
    }

    // ---- versions ----

    private static List<Integer> all(int count) {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(i);
        }
        return all;
    }

    private String endpoint(int node, String more) {
        return "{\"name\":\"till-" + node + "\",\"dial\":\"127.0.0.1:" + nodes[node] + "\",\"zone\":\"a\""
                + more + "}";
    }

    private List<String> good(List<Integer> live) {
        List<String> resources = new ArrayList<>();
        live.forEach(node -> resources.add(endpoint(node, "")));
        return resources;
    }

    /** One message of the script. */
    private void one(int i) throws InterruptedException {
        double draw = random.nextDouble();
        List<String> resources = good(all(NODES));
        if (draw < 0.45) {
            // Two of three stay: the third drains, and comes back with a later version.
            resources.remove(random.nextInt(NODES));
            publish(resources, true, true);
        } else if (draw < 0.55) {
            // A large set: two thousand that drain beside those that serve.
            for (int n = 0; n < 2000; n++) {
                resources.add("{\"name\":\"spare-" + n
                        + "\",\"dial\":\"127.1.0.1:9\",\"zone\":\"a\",\"state\":"
                        + "\"draining\"}");
            }
            publish(resources, true, true);
        } else if (draw < 0.65) {
            send(running, resources, true, false);
        } else if (draw < 0.75) {
            long runs = Long.parseLong(running.substring(0, running.indexOf('-')));
            send(Math.max(0, runs - 1 - random.nextInt(5)) + "-00", resources, false, false);
        } else {
            String[] bad = {endpoint(0, ",\"state\":\"draining\""), endpoint(0, ",\"weight\":0"),
                endpoint(0, ",\"colour\":1"), endpoint(0, "").replace("127.0.0.1", "10.0.0.1"),
                endpoint(0, "") + "," + endpoint(0, ""), endpoint(0, "").replace("\"a\"", "\"b\""), "7"};
            publish(List.of(bad[random.nextInt(bad.length)]), false, false);
        }
    }

    private void publish(List<String> resources, boolean good, boolean keep) throws InterruptedException {
        number++;
        send(number + "-" + Long.toHexString(random.nextLong() >>> 8), resources, good, keep);
    }

    private void send(String version, List<String> resources, boolean good, boolean keep)
            throws InterruptedException {
        String nonce = "n" + random.nextInt(1 << 30);
        String was = running;
        running = keep ? version : running;
        long from = System.nanoTime();
        control.publish("{\"type_url\":\"" + DestinationType.URL + "\",\"version_info\":\"" + version
                + "\",\"nonce\":\"" + nonce + "\",\"resources\":[" + String.join(",", resources) + "]}",
                keep);
        for (int i = 0; i < SCHEDULERS; i++) {
            StandInControl.Reply reply = control.reply("s" + i, nonce);
            while (reply == null && System.nanoTime() - from < PATIENCE) {
                Thread.sleep(0, 200_000);
                reply = control.reply("s" + i, nonce);
            }
            boolean ack = reply != null && reply.error() == null;
            acked += ack ? 1 : 0;
            nacked += ack ? 0 : 1;
            // Turned down, it echoes what runs.
            if (reply == null || ack != good || !reply.version().equals(good ? version : was)) {
                wrong++;
                out.println("s" + i + " to " + version + ": " + reply);
            } else if (keep) {
                converge.recordValue(reply.nanos() - from);
            }
        }
    }

    private String get(int scheduler, String path) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), ports[scheduler])) {
            socket.setSoTimeout(5000);
            socket.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: l\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            return LiveLoad.answer(new BufferedInputStream(socket.getInputStream()));
        }
    }

    private static String body(String answer) {
        return answer.substring(answer.indexOf("\r\n\r\n") + 4);
    }
}
