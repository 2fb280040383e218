package laneflow.lab.measure;

import com.google.gson.JsonArray;
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
import java.util.Map;
import java.util.SplittableRandom;
import laneflow.control.DestinationType;
import laneflow.control.Message;
import laneflow.lab.rig.Crew;
import laneflow.lab.rig.Trash;
import laneflow.lab.standin.StandInControl;
import laneflow.lab.standin.StandInNodes;
import org.HdrHistogram.Histogram;

/**
 * {@code lab measure config}: four schedulers as processes, a stand-in control service, and a script of
 * versions drawn from the seed: destination sets, classes and limits, whole and as changes, good, bad in form
 * and in sense, with a wrong digest, older, repeated, with 2,000 endpoints, under steady traffic. Each answer
 * is held against what it has to be. Then each scheduler is killed and started again between versions, and a
 * fifth one, with probation, is given a version that breaks service. Exit code 1 for a wrong verdict, an
 * answer that saw two versions, a request without an answer, schedulers that disagree at the end, a damaged
 * file, or a broken version that is not taken back.
 */
public final class ConfigMeasure {
    private static final int SCHEDULERS = 4;
    private static final int NODES = 3;
    private static final int PER_SECOND = 60;
    private static final long PATIENCE = 2_000_000_000L;
    private static final String CLASSES = "type.laneflow/classes";
    private static final String LIMITS = "type.laneflow/limits";

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
    private JsonArray runs = new JsonArray();
    private String classes = "";
    private String limits = "";
    private final HangLoad[] hangs = new HangLoad[SCHEDULERS];
    private long number;
    private int acked;
    private int nacked;
    private int wrong;
    private int disagree;
    private int damaged;
    private long adoptUs;
    private long adoptMostUs;
    private long adoptCpuUs;
    private long stepCpuUs;
    private long stepMostUs;

    private ConfigMeasure(long seed, boolean large, Path folder, PrintStream out, Crew crew) throws IOException {
        random = new SplittableRandom(seed);
        this.large = large;
        this.folder = folder;
        this.out = out;
        this.crew = crew;
    }

    /** Runs all of it; 0 if every promise was kept. */
    public static int run(long seed, boolean large, PrintStream out) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("laneflow-config");
        try (Crew crew = new Crew(folder)) {
            return new ConfigMeasure(seed, large, folder, out, crew).all();
        } finally {
            Trash.remove(folder);
        }
    }

    private void startAll() throws IOException, InterruptedException {
        for (int i = 0; i < NODES; i++) {
            nodes[i] = Crew.port();
        }
        crew.start(
                "nodes",
                256,
                StandInNodes.class,
                nodes[0] + "," + nodes[1] + "," + nodes[2],
                "",
                "5",
                "8",
                "20",
                large ? "600" : "60");
        for (int i = 0; i < SCHEDULERS; i++) {
            ports[i] = Crew.port();
            schedulers[i] = start(i);
            hangs[i] = new HangLoad(ports[i], Map.of());
        }
        await(() -> control.streams() == SCHEDULERS, "streams");
    }

    /** Publishes versions at an even pace while traffic runs; returns the share of it that was served. */
    private double servedDuring(int versions) throws IOException, InterruptedException {
        double[] served = new double[1];
        Thread traffic = new Thread(() -> served[0] = quietLoad(versions * 0.1 + 3));
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
        return served[0];
    }

    /** Counts the schedulers that run another version than the last good one. */
    private void countDisagreements() throws IOException, InterruptedException {
        for (int i = 0; i < SCHEDULERS; i++) {
            JsonObject report = JsonParser.parseString(body(get(i, "/config"))).getAsJsonObject();
            JsonObject types = report.getAsJsonObject("types");
            String version =
                    types.getAsJsonObject(DestinationType.URL).get("version").getAsString();
            disagree += version.equals(running) ? 0 : 1;
        }
    }

    private int all() throws IOException, InterruptedException {
        startAll();
        publish(good(all(NODES)), true, true);
        deadlines(true);
        load(1);
        List<Thread> hanging = hang();
        double before = load(3);
        int versions = large ? 600 : 100;
        double during = servedDuring(versions);
        for (HangLoad load : hangs) {
            load.stop();
        }
        for (Thread thread : hanging) {
            thread.join();
        }
        costs();
        // Apart, since what a kill costs is not the versions' doing.
        for (int i = 0; i < SCHEDULERS; i++) {
            restart(i);
            one(versions + i);
        }
        publish(good(all(NODES)), true, true);
        countDisagreements();
        double rollback = rollback();
        long mixed = 0;
        long checked = 0;
        long across = 0;
        for (HangLoad load : hangs) {
            mixed += load.mixed.get();
            checked += load.checked.get();
            across += load.openAcrossChange.get();
        }
        out.printf(
                Locale.ROOT,
                "config: versions=%d acked=%d nacked=%d wrong_verdicts=%d mixed_answers=%d"
                        + " checked_answers=%d across=%d lost=%d disagree=%d service_before=%.2f"
                        + " service_loss_points=%.2f adopt_p99_ms=%.2f adopt_most_ms=%.2f step_most_ms=%.2f"
                        + " adopt_cpu_ms=%.2f step_cpu_ms=%.2f"
                        + " converge_p99_ms=%.1f"
                        + " rollback_ms=%.0f file_damaged=%d%n",
                number,
                acked,
                nacked,
                wrong,
                mixed,
                checked,
                across,
                lost,
                disagree,
                before * 100,
                (before - during) * 100,
                adoptUs / 1e3,
                adoptMostUs / 1e3,
                stepMostUs / 1e3,
                adoptCpuUs / 1e3,
                stepCpuUs / 1e3,
                converge.getValueAtPercentile(99) / 1e6,
                rollback,
                damaged);
        control.close();
        // A measurement in which no answer could have seen two versions has shown nothing of it.
        return wrong + lost + disagree + damaged + mixed > 0 || rollback < 0 || across == 0 ? 1 : 0;
    }

    // ---- processes and traffic ----

    private Process start(int i) throws IOException, InterruptedException {
        String name = "s" + i;
        Path file = folder.resolve(name + ".toml");
        settings(file, name, ports[i], control, "probation_ms = 0\n");
        Process process = crew.scheduler(name, 128, file.toString());
        crew.awaitPort(process, name, ports[i]);
        return process;
    }

    /** What adopting cost each scheduler until now. */
    private void costs() throws IOException {
        for (int i = 0; i < SCHEDULERS; i++) {
            for (String line : body(get(i, "/counters")).split("\n")) {
                String[] pair = line.strip().split(" ");
                long value = pair.length == 2 ? Long.parseLong(pair[1]) : 0;
                switch (pair[0]) {
                    case "config.adopt_p99_us":
                        adoptUs = Math.max(adoptUs, value);
                        break;
                    case "config.adopt_most_us":
                        adoptMostUs = Math.max(adoptMostUs, value);
                        break;
                    case "config.step_most_us":
                        stepMostUs = Math.max(stepMostUs, value);
                        break;
                    case "config.adopt_cpu_most_us":
                        adoptCpuUs = Math.max(adoptCpuUs, value);
                        break;
                    case "config.step_cpu_most_us":
                        stepCpuUs = Math.max(stepCpuUs, value);
                        break;
                    default:
                        break;
                }
            }
        }
    }

    private void settings(Path file, String name, int port, StandInControl service, String more) throws IOException {
        Files.writeString(
                file,
                "name = \"" + name + "\"\nlisten = \"127.0.0.1:" + port
                        + "\"\nzones = [\"a\"]\n"
                        + "[limits]\nsockets = 2048\n[classes.check]\naim_ms = 200\nrepeat = \"safe\"\n"
                        + "[classes.hang]\naim_ms = 100\n"
                        + "[control]\naddresses = [\"" + service.address() + "\"]\nlast_good_dir = \""
                        + folder.resolve(name) + "\"\nallowed_endpoints = [\"127.0.0.0/8\"]\n"
                        + "tell_versions = true\nfigures_ms = 200\n"
                        + "silence_ms = 60000\nlongest_backoff_ms = 200\n" + more);
    }

    /** Three at a time at each scheduler, all through the script. */
    private List<Thread> hang() {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < SCHEDULERS; i++) {
            for (int k = 0; k < 3; k++) {
                HangLoad load = hangs[i];
                int first = k;
                Thread thread = new Thread(() -> load.run(first));
                thread.start();
                threads.add(thread);
            }
        }
        return threads;
    }

    /**
     * Milliseconds from a version that breaks service to the word that it was taken back, at a scheduler of
     * its own; negative where it was not, or a sound one was, or the broken one is taken again.
     */
    private double rollback() throws IOException, InterruptedException {
        try (StandInControl service = new StandInControl()) {
            int port = Crew.port();
            Path file = folder.resolve("r0.toml");
            settings(file, "r0", port, service, "probation_ms = 2000\n");
            crew.scheduler("r0", 128, file.toString());
            await(() -> service.has("r0"), "r0");
            service.publish(line(DestinationType.URL, "1-aa", "b1", good(all(NODES))), true);
            await(() -> service.reply("r0", "b1") != null, "r0's first word");
            LiveLoad load = new LiveLoad(port, "check", 8, 100, 200);
            Thread traffic = new Thread(() -> {
                try {
                    load.run(7);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            traffic.start();
            Thread.sleep(1200);
            service.publish(line(DestinationType.URL, "2-aa", "b2", good(List.of(0, 1))), true);
            Thread.sleep(2600);
            boolean kept = !service.takenBack.containsKey("r0");
            long from = System.nanoTime();
            // Well formed and sound, and nobody listens there.
            service.publish(
                    line(
                            DestinationType.URL,
                            "3-aa",
                            "b3",
                            List.of(endpoint(0, "").replaceFirst("127.0.0.1:[0-9]+", "127.0.0.1:9"), hangNode())),
                    true);
            while (!service.takenBack.containsKey("r0") && System.nanoTime() - from < 2 * PATIENCE) {
                Thread.sleep(1);
            }
            Long back = service.takenBack.get("r0");
            service.publish(line(DestinationType.URL, "3-aa", "b4", good(all(NODES))), false);
            await(() -> service.reply("r0", "b4") != null, "r0's last word");
            boolean refused = service.reply("r0", "b4").error() != null
                    && service.reply("r0", "b4").version().equals("2-aa");
            traffic.join();
            lost += load.timedOut();
            if (!kept || back == null || !refused) {
                out.println("r0: kept=" + kept + " taken back=" + back + " refused again=" + refused + "\n"
                        + crew.log("r0"));
            }
            return kept && back != null && refused ? (back - from) / 1e6 : -1;
        }
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
        return "{\"name\":\"till-" + node + "\",\"dial\":\"127.0.0.1:" + nodes[node] + "\",\"zone\":\"a\"" + more + "}";
    }

    private List<String> good(List<Integer> live) {
        List<String> resources = new ArrayList<>();
        live.forEach(node -> resources.add(endpoint(node, "")));
        resources.add(hangNode());
        return resources;
    }

    private String hangNode() {
        return endpoint(0, ",\"classes\":[\"hang\"]").replace("till-0", "hang-0");
    }

    /**
     * Classes whose deadline for hanging requests is another one, or a version of them that makes no sense.
     */
    private void deadlines(boolean good) throws InterruptedException {
        int deadline = 150 + 100 * random.nextInt(4);
        String check = "{\"name\":\"check\",\"aim_ms\":200,\"repeat\":\"safe\"}";
        String hang = "{\"name\":\"hang\",\"aim_ms\":100,\"deadline_ms\":" + deadline + "}";
        String[] bad = {
            check,
            hang,
            check + "," + hang.replace("100,", "100,\"repeat\":\"safe\","),
            check + "," + hang.replace("\"aim_ms\":100", "\"aim_ms\":900"),
            check + "," + hang + "," + check,
            check + "," + hang.replace("deadline_ms", "dead_line"),
            check.replace("200", "\"200\"") + "," + hang
        };
        number++;
        String version = number + "-" + Long.toHexString(random.nextLong() >>> 8);
        if (good) {
            for (HangLoad load : hangs) {
                load.addVersion(version, deadline);
            }
        }
        String was = classes;
        classes = good ? version : was;
        send(
                CLASSES,
                version,
                line(
                        CLASSES,
                        version,
                        "n" + version,
                        List.of(good ? check + "," + hang : bad[random.nextInt(bad.length)])),
                "n" + version,
                good,
                good,
                was);
    }

    private void limits(boolean good) throws InterruptedException {
        String sound = "{\"name\":\"limits\",\"sockets\":2048,\"attempts\":" + (2 + random.nextInt(4)) + "}";
        String[] bad = {
            sound.replace("2048", "1000000000"),
            sound.replace("attempts", "attemps"),
            sound.replaceFirst("\"attempts\":[0-9]", "\"attempts\":0"),
            sound + "," + sound
        };
        number++;
        String version = number + "-" + Long.toHexString(random.nextLong() >>> 8);
        String was = limits;
        limits = good ? version : was;
        send(
                LIMITS,
                version,
                line(LIMITS, version, "n" + version, List.of(good ? sound : bad[random.nextInt(bad.length)])),
                "n" + version,
                good,
                good,
                was);
    }

    /** A change of what runs: one endpoint leaves or comes back; or one that does not fit. */
    private void change(boolean good) throws InterruptedException {
        int node = random.nextInt(NODES);
        boolean there = runs.toString().contains("\"till-" + node + "\"");
        int live = 0;
        for (int i = 0; i < NODES; i++) {
            live += runs.toString().contains("\"till-" + i + "\"") ? 1 : 0;
        }
        boolean remove = there && live > 1;
        JsonArray whole = new JsonArray();
        runs.forEach(one -> {
            if (!one.getAsJsonObject().get("name").getAsString().equals("till-" + node)) {
                whole.add(one);
            }
        });
        if (!remove) {
            whole.add(JsonParser.parseString(endpoint(node, "")));
        }
        number++;
        String digest = Message.digest(whole);
        boolean wrongBase = !good && random.nextBoolean();
        String version = number + "-" + (good || wrongBase ? digest : "0".repeat(64));
        String nonce = "n" + version;
        String text = "{\"type_url\":\"" + DestinationType.URL + "\",\"system_version_info\":\"" + version
                + "\",\"from_version\":\"" + (wrongBase ? "1-00" : running) + "\",\"nonce\":\"" + nonce
                + "\","
                + (remove
                        ? "\"removed_resources\":[\"till-" + node + "\"]"
                        : "\"resources\":[{\"name\":\"till-" + node + "\",\"resource\":" + endpoint(node, "") + "}]")
                + "}";
        String was = running;
        if (good) {
            running = version;
            runs = whole;
            // One that comes later is sent the whole.
            control.newest(line(DestinationType.URL, version, nonce, List.of(strip(whole))));
        }
        send(DestinationType.URL, version, text, nonce, good, false, was);
    }

    private static String strip(JsonArray all) {
        String text = all.toString();
        return text.substring(1, text.length() - 1);
    }

    private static String line(String type, String version, String nonce, List<String> resources) {
        return "{\"type_url\":\"" + type + "\",\"version_info\":\"" + version + "\",\"nonce\":\"" + nonce
                + "\",\"resources\":[" + String.join(",", resources) + "]}";
    }

    /** One message of the script. */
    private void one(int i) throws InterruptedException {
        double draw = random.nextDouble();
        List<String> resources = good(all(NODES));
        if (i % 3 == 1) {
            double kind = random.nextDouble();
            boolean sound = draw < 0.7;
            if (kind < 0.5) {
                deadlines(sound);
            } else if (kind < 0.7) {
                limits(sound);
            } else {
                change(sound);
            }
        } else if (draw < 0.45) {
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
            String[] bad = {
                endpoint(0, ",\"state\":\"draining\""),
                endpoint(0, ",\"weight\":0"),
                endpoint(0, ",\"colour\":1"),
                endpoint(0, "").replace("127.0.0.1", "10.0.0.1"),
                endpoint(0, "") + "," + endpoint(0, ""),
                endpoint(0, "").replace("\"a\"", "\"b\""),
                "7"
            };
            publish(List.of(bad[random.nextInt(bad.length)]), false, false);
        }
    }

    private void publish(List<String> resources, boolean good, boolean keep) throws InterruptedException {
        number++;
        send(number + "-" + Long.toHexString(random.nextLong() >>> 8), resources, good, keep);
    }

    private void send(String version, List<String> resources, boolean good, boolean keep) throws InterruptedException {
        String nonce = "n" + random.nextInt(1 << 30);
        String was = running;
        if (keep) {
            running = version;
            runs = JsonParser.parseString("[" + String.join(",", resources) + "]")
                    .getAsJsonArray();
        }
        send(
                DestinationType.URL,
                version,
                line(DestinationType.URL, version, nonce, resources),
                nonce,
                good,
                keep,
                was);
    }

    private void send(String type, String version, String text, String nonce, boolean good, boolean keep, String was)
            throws InterruptedException {
        long from = System.nanoTime();
        control.publish(text, keep);
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
                out.println("s" + i + " to " + type + " " + version + ": " + reply);
            } else if (good) {
                converge.recordValue(reply.nanos() - from);
            }
        }
    }

    private String get(int scheduler, String path) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), ports[scheduler])) {
            socket.setSoTimeout(5000);
            socket.getOutputStream()
                    .write(("GET " + path + " HTTP/1.1\r\nHost: l\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            return LiveLoad.readResponse(new BufferedInputStream(socket.getInputStream()));
        }
    }

    private static String body(String answer) {
        return answer.substring(answer.indexOf("\r\n\r\n") + 4);
    }
}
