package laneflow.lab.measure;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import laneflow.lab.rig.Crew;
import laneflow.lab.rig.Trash;
import laneflow.lab.standin.Ledger;
import laneflow.lab.standin.StandInNodes;
import laneflow.lab.standin.StandInWorker;
import laneflow.lab.standin.Wire;
import org.HdrHistogram.Histogram;

/**
 * {@code lab measure durable}: real processes on loopback. First how fast jobs are acknowledged and how fast
 * a hundred thousand of them are taken over, with live requests going on; then schedulers, workers and till
 * nodes are killed at moments drawn from the seed, and what each stand-in's ledger says it ran is held
 * against what the scheduler says of each job. A broken promise is exit code 1.
 */
public final class DurableMeasure {
    private static final String[] FUNCTIONS = {"kcheck", "kcapture", "kpost"};
    private static final long WINDOW_MS = 2000;
    /** A ledger's line and a lease are of two processes: their clock is one, their writing is not. */
    private static final long SLACK_MS = 50;

    private static final int CONNECTIONS = 4;
    private static final int OUTSTANDING = 2000;

    private final SplittableRandom random;
    private final boolean large;
    private final Path folder;
    private final PrintStream out;
    private final Crew crew;
    private final int http = Crew.port();
    private final int gearman = Crew.port();
    private final int[] nodes = {Crew.port(), Crew.port(), Crew.port()};
    /** Acknowledged jobs by name, with their ids. */
    private final Map<String, String> acked = new ConcurrentHashMap<>();

    private volatile boolean submitting = true;
    private int kills;

    private DurableMeasure(long seed, boolean large, Path folder, PrintStream out, Crew crew) throws IOException {
        random = new SplittableRandom(seed);
        this.large = large;
        this.folder = folder;
        this.out = out;
        this.crew = crew;
    }

    /** Runs all of it; 0 if every promise was kept. */
    public static int run(long seed, boolean large, PrintStream out) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("laneflow-durable");
        try (Crew crew = new Crew(folder)) {
            return new DurableMeasure(seed, large, folder, out, crew).all();
        } finally {
            Trash.remove(folder);
        }
    }

    private int all() throws IOException, InterruptedException {
        double[] sync = bareSyncs();
        say("bare fsync of 4 KiB: p50 %.3f ms, p99 %.3f ms", sync[0], sync[1]);
        Process tills = nodes("quiet", "", 4, 20);
        double before = live("before", "empty");
        say("live service without durable jobs: %.2f %%", before * 100);
        String fast = config("fast", "fast", 6000, 250_000, false);
        Process scheduler = scheduler("fast", fast);
        double p99 = latency();
        say("acknowledged at 1,000 a second: p99 %.3f ms, %.1f bare syncs", p99, p99 / sync[1]);
        int jobs = large ? 200_000 : 100_000;
        long syncsBefore = counter("durable.commits");
        long from = System.nanoTime();
        flood(jobs);
        double seconds = (System.nanoTime() - from) / 1e9;
        Thread.sleep(1100);
        double syncs = (counter("durable.commits") - syncsBefore) / seconds;
        say(
                "%d jobs acknowledged in %.2f s, %.0f a second with %.0f commits a second",
                jobs, seconds, jobs / seconds, syncs);
        Crew.kill(scheduler);
        double during = live("recover", "fast");
        Matcher taken = Pattern.compile("(\\d+) taken over in (\\d+) ms").matcher(crew.log("recover"));
        long recovered = taken.find() ? Long.parseLong(taken.group(1)) : -1;
        long recoverMs = recovered < jobs ? -1 : Long.parseLong(taken.group(2));
        say(
                "%d jobs taken over in %d ms; live service meanwhile %.2f %%, %d of them served",
                recovered, recoverMs, during * 100, served);
        Crew.kill(tills);
        Verdict verdict = killing();
        out.printf(
                Locale.ROOT,
                "durable: jobs=%d kills=%d lost=%d unsettled=%d unsafe_twice=%d"
                        + " keyed_twice_outside=%d false_done=%d unknown=%d unknown_wrong=%d key_changed=%d late=%d"
                        + " ack_p99_ms=%.3f ack_p99_syncs=%.1f acks_per_s=%.0f fsyncs_per_s=%.0f recover_100k_ms=%d"
                        + " live_service_loss_points=%.2f%n",
                acked.size(),
                kills,
                verdict.lost,
                verdict.unsettled,
                verdict.unsafeTwice,
                verdict.keyedOutside,
                verdict.falseDone,
                verdict.unknown,
                verdict.unknownWrong,
                verdict.keyChanged,
                verdict.late,
                p99,
                p99 / sync[1],
                jobs / seconds,
                syncs,
                recoverMs,
                (before - during) * 100);
        return verdict.broken() || recoverMs < 0 ? 1 : 0;
    }

    private void say(String form, Object... values) {
        out.printf(Locale.ROOT, form + "%n", values);
    }

    // ---- processes ----

    private String config(String name, String store, int leaseMs, int mostJobs, boolean withNodes) throws IOException {
        StringBuilder text = new StringBuilder("listen = \"127.0.0.1:" + http + "\"\nzones = [\"a\"]\n"
                + "[limits]\nsockets = 4096\n"
                + "[classes.check]\naim_ms = 200\nrepeat = \"safe\"\n[classes.capture]\naim_ms = 200\n"
                + "[classes.post]\naim_ms = 200\nrepeat = \"keyed\"\nwindow_ms = " + WINDOW_MS + "\n"
                + "[gearman]\nlisten = \"127.0.0.1:" + gearman + "\"\n");
        for (String function : FUNCTIONS) {
            text.append("[gearman.functions.")
                    .append(function)
                    .append("]\nclass = \"")
                    .append(function.substring(1))
                    .append("\"\ndurable = true\n");
        }
        for (int i = 0; i < nodes.length && withNodes; i++) {
            text.append("[endpoints.till-")
                    .append(i)
                    .append("]\ndial = \"127.0.0.1:")
                    .append(nodes[i])
                    .append("\"\n");
        }
        text.append("[durable]\ndir = \"")
                .append(folder.resolve(store))
                .append("\"\n")
                .append("most_mib = 256\nmost_jobs = ")
                .append(mostJobs)
                .append("\n");
        for (String function : FUNCTIONS) {
            text.append("[durable.classes.")
                    .append(function.substring(1))
                    .append("]\n")
                    .append("lease_ms = ")
                    .append(leaseMs)
                    .append("\n");
        }
        Path file = folder.resolve(name + ".toml");
        Files.writeString(file, text);
        return file.toString();
    }

    /** Starts a scheduler and waits until clients are let in. */
    private Process scheduler(String name, String config) throws IOException, InterruptedException {
        Process process = crew.scheduler(name, 1024, config);
        long end = System.nanoTime() + 20_000_000_000L;
        while (process.isAlive() && System.nanoTime() < end) {
            try (Wire wire = new Wire(gearman, 1000)) {
                return process;
            } catch (IOException e) {
                Thread.sleep(5);
            }
        }
        throw new IOException("the scheduler did not start: " + crew.log(name));
    }

    private Process nodes(String name, String ledger, int slots, int runMs) throws IOException {
        return crew.start(
                "nodes-" + name,
                256,
                StandInNodes.class,
                nodes[0] + "," + nodes[1] + "," + nodes[2],
                ledger.isEmpty() ? "" : folder.resolve(ledger).toString(),
                "" + random.nextInt(1 << 30),
                "" + slots,
                "" + runMs,
                large ? "600" : "60");
    }

    private Process worker(int number) throws IOException {
        return crew.start(
                "worker-" + number,
                64,
                StandInWorker.class,
                "" + gearman,
                folder.resolve("worker-" + number + ".ledger").toString(),
                "" + random.nextInt(1 << 30),
                "20",
                "0.06",
                "900",
                String.join(",", FUNCTIONS),
                large ? "600" : "60");
    }

    // ---- how fast ----

    private double[] bareSyncs() throws IOException {
        Histogram took = new Histogram(3);
        try (FileChannel file =
                FileChannel.open(folder.resolve("bare"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            for (int i = 0; i < 1000; i++) {
                file.write(ByteBuffer.allocate(4096));
                long from = System.nanoTime();
                file.force(false);
                took.recordValue(System.nanoTime() - from);
            }
        }
        return new double[] {took.getValueAtPercentile(50) / 1e6, took.getValueAtPercentile(99) / 1e6};
    }

    private long served;

    /** Live service of a scheduler on that store, measured behind a short warm-up. */
    private double live(String name, String store) throws IOException, InterruptedException {
        Process scheduler = scheduler(name, config(name, store, 6000, 250_000, true));
        new LiveLoad(http, "check", 32, 250, 200).run(1);
        double share = new LiveLoad(http, "check", 32, 250, 200).run(large ? 20 : 4);
        served = counter("durable.done");
        Crew.kill(scheduler);
        return share;
    }

    /** The p99 of a word of acceptance, at an even thousand a second from a few connections. */
    private double latency() throws IOException, InterruptedException {
        Histogram took = new Histogram(3);
        for (int round = 0; round < 2; round++) {
            // The first round warms up and does not count.
            took.reset();
            Thread[] threads = new Thread[CONNECTIONS];
            int unique = round;
            for (int i = 0; i < CONNECTIONS; i++) {
                int connection = i;
                threads[i] = new Thread(() -> ask(connection, unique, took));
                threads[i].start();
            }
            for (Thread thread : threads) {
                thread.join();
            }
        }
        Thread.sleep(1000);
        say(
                "the commits among that: p50 %.3f ms, p99 %.3f ms",
                counter("durable.commit_p50_us") / 1e3, counter("durable.commit_p99_us") / 1e3);
        say(
                "acknowledgements: p50 %.3f ms, p90 %.3f ms, p99.9 %.3f ms",
                took.getValueAtPercentile(50) / 1e6,
                took.getValueAtPercentile(90) / 1e6,
                took.getValueAtPercentile(99.9) / 1e6);
        return took.getValueAtPercentile(99) / 1e6;
    }

    private void ask(int connection, int round, Histogram took) {
        try (Wire wire = new Wire(gearman, 10_000)) {
            long from = System.nanoTime();
            for (int i = 0; i < 500; i++) {
                long at = from + i * 4_000_000L + connection * 1_000_000L;
                for (long left = at - System.nanoTime(); left > 0; left = at - System.nanoTime()) {
                    // Parks overshoot by 50 us and more, which would be taken for the scheduler's.
                    if (left > 200_000) {
                        LockSupport.parkNanos(left - 150_000);
                    } else {
                        Thread.onSpinWait();
                    }
                }
                wire.send(Wire.SUBMIT_JOB_BG, "kcheck", "l" + round + "-" + connection + "-" + i, "x".repeat(200));
                if (wire.read().type() != Wire.JOB_CREATED) {
                    throw new IOException("turned down");
                }
                synchronized (took) {
                    took.recordValue(System.nanoTime() - at);
                }
            }
        } catch (IOException e) {
            say("latency: %s", e);
        }
    }

    /** So many jobs as fast as they are acknowledged. */
    private void flood(int jobs) throws InterruptedException {
        Thread[] threads = new Thread[CONNECTIONS];
        for (int i = 0; i < CONNECTIONS; i++) {
            int connection = i;
            threads[i] = new Thread(() -> {
                try (Wire wire = new Wire(gearman, 20_000)) {
                    int sent = 0;
                    int count = jobs / CONNECTIONS;
                    for (int got = 0; got < count; got++) {
                        while (sent < count && sent - got < OUTSTANDING) {
                            wire.put(Wire.SUBMIT_JOB_BG, "kcheck", "f" + connection + "-" + sent++, "x".repeat(200));
                        }
                        wire.flush();
                        if (wire.read().type() != Wire.JOB_CREATED) {
                            throw new IOException("turned down after " + got);
                        }
                    }
                } catch (IOException e) {
                    say("flood: %s", e);
                }
            });
            threads[i].start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private long counter(String name) throws IOException {
        for (String line : get("/counters").split("\n")) {
            if (line.startsWith(name + " ")) {
                return Long.parseLong(line.substring(name.length() + 1).strip());
            }
        }
        return 0;
    }

    private String get(String path) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), http)) {
            return get(socket, new BufferedInputStream(socket.getInputStream()), path);
        }
    }

    private static String get(Socket socket, InputStream in, String path) throws IOException {
        socket.setSoTimeout(10_000);
        socket.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\nHost: l\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        return LiveLoad.readResponse(in);
    }

    // ---- what is promised ----

    /** What was found against the promises. */
    private static final class Verdict {
        private int lost;
        private int unsettled;
        private int unsafeTwice;
        private int keyedOutside;
        private int falseDone;
        private int unknown;
        private int unknownWrong;
        private int keyChanged;
        private int late;

        boolean broken() {
            return lost + unsettled + unsafeTwice + keyedOutside + falseDone + unknownWrong + keyChanged > 0;
        }
    }

    private Verdict killing() throws IOException, InterruptedException {
        String config = config("kill", "kill", 600, 250_000, true);
        Process scheduler = scheduler("kill", config);
        Process tills = nodes("kill", "nodes.ledger", 2, 20);
        Process[] workers = new Process[4];
        for (int i = 0; i < workers.length; i++) {
            workers[i] = worker(i);
        }
        Thread[] submitters = new Thread[2];
        for (int i = 0; i < submitters.length; i++) {
            int number = i;
            submitters[i] = new Thread(() -> submit(number));
            submitters[i].start();
        }
        long end = System.nanoTime() + (large ? 180 : 14) * 1_000_000_000L;
        int round = 0;
        while (System.nanoTime() < end) {
            Thread.sleep(300 + random.nextInt(700));
            double draw = random.nextDouble();
            // A whole data centre, once or more; then longer than the key's window.
            boolean everything = ++round % 8 == 5;
            if (everything || draw < 0.5) {
                Crew.kill(scheduler);
                kills++;
            }
            if (everything || draw >= 0.5 && draw < 0.85) {
                for (int i = 0; i < workers.length; i++) {
                    if (everything || i == random.nextInt(workers.length)) {
                        Crew.kill(workers[i]);
                        kills++;
                    }
                }
            }
            if (everything || draw >= 0.85) {
                Crew.kill(tills);
                kills++;
            }
            Thread.sleep(everything ? WINDOW_MS + 500 : random.nextInt(250));
            scheduler = scheduler.isAlive() ? scheduler : scheduler("kill", config);
            tills = tills.isAlive() ? tills : nodes("kill", "nodes.ledger", 2, 20);
            for (int i = 0; i < workers.length; i++) {
                workers[i] = workers[i].isAlive() ? workers[i] : worker(i);
            }
        }
        submitting = false;
        for (Thread submitter : submitters) {
            submitter.join();
        }
        return judge();
    }

    /** Hands jobs in, each until it is acknowledged: what lost its connection is handed in again. */
    private void submit(int number) {
        Wire wire = null;
        for (int i = 0; submitting; i++) {
            String function = FUNCTIONS[i % FUNCTIONS.length];
            String name = function + "-" + number + "-" + i;
            for (boolean taken = false; !taken; ) {
                try {
                    wire = wire == null ? new Wire(gearman, 3000) : wire;
                    wire.send(Wire.SUBMIT_JOB_BG, function, name, name + " body");
                    Wire.Packet said = wire.read();
                    taken = said.type() == Wire.JOB_CREATED;
                    if (taken) {
                        acked.put(name, said.args()[0].substring("H:laneflow:d".length()));
                    }
                    Thread.sleep(taken ? 12 : 50);
                } catch (IOException e) {
                    wire = null;
                    pause();
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Verdict judge() throws IOException, InterruptedException {
        Map<String, JsonObject> found = new HashMap<>();
        Verdict verdict = new Verdict();
        long end = System.nanoTime() + (large ? 60 : 9) * 1_000_000_000L;
        List<String> open = new ArrayList<>(acked.keySet());
        while (!open.isEmpty() && System.nanoTime() < end) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), http)) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                List<String> still = new ArrayList<>();
                for (String name : open) {
                    String said = get(socket, in, "/jobs/" + acked.get(name));
                    if (said.startsWith("HTTP/1.1 200 ")) {
                        JsonObject job = JsonParser.parseString(said.substring(said.indexOf("\r\n\r\n") + 4))
                                .getAsJsonObject();
                        found.put(name, job);
                        String state = job.get("state").getAsString();
                        if (state.equals("queued") || state.equals("running")) {
                            still.add(name);
                        }
                    }
                }
                open = still;
            }
            Thread.sleep(open.isEmpty() ? 0 : 100);
        }
        verdict.unsettled = open.size();
        Map<String, List<Ledger.Line>> ran = ledgers();
        for (String name : acked.keySet()) {
            judge(name, found.get(name), ran.getOrDefault(name, List.of()), verdict);
        }
        sameKeys(verdict);
        return verdict;
    }

    private Map<String, List<Ledger.Line>> ledgers() throws IOException {
        Map<String, List<Ledger.Line>> ran = new HashMap<>();
        for (String file : new String[] {"nodes", "worker-0", "worker-1", "worker-2", "worker-3"}) {
            for (Ledger.Line line : Ledger.read(folder.resolve(file + ".ledger"))) {
                ran.computeIfAbsent(line.job(), none -> new ArrayList<>()).add(line);
            }
        }
        return ran;
    }

    private void judge(String name, JsonObject job, List<Ledger.Line> lines, Verdict verdict) {
        if (job == null) {
            verdict.lost++;
            say("lost: %s", name);
            return;
        }
        List<Long> starts = lines.stream()
                .filter(line -> line.event().equals("start"))
                .map(Ledger.Line::ms)
                .sorted()
                .toList();
        String state = job.get("state").getAsString();
        verdict.late += job.has("reason") && job.get("reason").getAsString().contains("its lease had run out") ? 1 : 0;
        boolean done = lines.stream().anyMatch(line -> line.event().equals("done"));
        if (state.equals("done") && !done) {
            verdict.falseDone++;
            say("done, and nobody ran it: %s %s", name, job);
        }
        if (name.startsWith("kcapture") && starts.size() > 1) {
            verdict.unsafeTwice++;
            say("ran %d times: %s %s", starts.size(), name, job);
        }
        if (name.startsWith("kpost")
                && starts.size() > 1
                && starts.get(starts.size() - 1) - starts.get(0) > WINDOW_MS + SLACK_MS) {
            verdict.keyedOutside++;
            say("ran again %d ms after its first run: %s %s", starts.get(starts.size() - 1) - starts.get(0), name, job);
        }
        if (state.equals("unknown")) {
            verdict.unknown++;
            String reason = job.has("reason") ? job.get("reason").getAsString() : "";
            boolean may = name.startsWith("kcapture")
                    || name.startsWith("kpost") && (reason.contains("window") || reason.contains("attempts"));
            if (!may) {
                verdict.unknownWrong++;
                say("unknown: %s %s", name, job);
            }
        }
    }

    /** A key handed in again, after all those crashes, is the job that it was. */
    private void sameKeys(Verdict verdict) throws IOException {
        try (Wire wire = new Wire(gearman, 3000)) {
            for (Map.Entry<String, String> entry :
                    acked.entrySet().stream().limit(200).toList()) {
                String name = entry.getKey();
                wire.send(Wire.SUBMIT_JOB_BG, name.substring(0, name.indexOf('-')), name, name + " body");
                if (!wire.read().args()[0].endsWith(entry.getValue())) {
                    verdict.keyChanged++;
                }
            }
        }
    }
}
