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
import laneflow.lab.rig.ChildProcesses;
import laneflow.lab.rig.FileTree;
import laneflow.lab.standin.GearmanConnection;
import laneflow.lab.standin.RunLog;
import laneflow.lab.standin.StandInNodes;
import laneflow.lab.standin.StandInWorker;
import org.HdrHistogram.Histogram;

/**
 * {@code lab measure durable}: measures durable jobs with real processes on loopback. First it measures how
 * fast jobs are acknowledged, and how fast a restarted scheduler recovers 100,000 of them while it serves
 * live requests. Then it kills schedulers, workers and till nodes at times drawn from the seed, and compares
 * the runs in each stand-in's ledger with the state that the scheduler reports for each job. The exit code
 * is 1 if a guarantee is violated.
 */
public final class DurableMeasure {
    private static final String[] FUNCTIONS = {"kcheck", "kcapture", "kpost"};
    private static final long WINDOW_MS = 2000;
    /** Ledger lines and leases are written by two processes, at slightly different times of the same clock. */
    private static final long CLOCK_TOLERANCE_MS = 50;

    private static final int CONNECTIONS = 4;
    private static final int MAX_UNACKNOWLEDGED = 2000;

    private final SplittableRandom random;
    private final boolean large;
    private final Path folder;
    private final PrintStream out;
    private final ChildProcesses crew;
    private final int httpPort = ChildProcesses.freePort();
    private final int gearmanPort = ChildProcesses.freePort();
    private final int[] nodePorts = {ChildProcesses.freePort(), ChildProcesses.freePort(), ChildProcesses.freePort()};
    /** The ids of the acknowledged jobs. */
    private final Map<String, String> jobIdsByName = new ConcurrentHashMap<>();

    private volatile boolean submitting = true;
    private int kills;

    private DurableMeasure(long seed, boolean large, Path folder, PrintStream out, ChildProcesses crew)
            throws IOException {
        random = new SplittableRandom(seed);
        this.large = large;
        this.folder = folder;
        this.out = out;
        this.crew = crew;
    }

    /** Runs the measurement and returns the exit code. */
    public static int run(long seed, boolean large, PrintStream out) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("laneflow-durable");
        try (ChildProcesses crew = new ChildProcesses(folder)) {
            return new DurableMeasure(seed, large, folder, out, crew).measure();
        } finally {
            FileTree.delete(folder);
        }
    }

    private int measure() throws IOException, InterruptedException {
        double[] bareSyncMs = measureBareSyncs();
        print("bare fsync of 4 KiB: p50 %.3f ms, p99 %.3f ms", bareSyncMs[0], bareSyncMs[1]);
        Process tills = startNodes("quiet", "", 4, 20);
        double shareBefore = liveServedShare("before", "empty");
        print("live service without durable jobs: %.2f %%", shareBefore * 100);
        String configFile = config("fast", "fast", 6000, 250_000, false);
        Process scheduler = startScheduler("fast", configFile);
        double ackP99Ms = measureAckLatency();
        print("acknowledged at 1,000 a second: p99 %.3f ms, %.1f bare syncs", ackP99Ms, ackP99Ms / bareSyncMs[1]);
        int jobs = large ? 200_000 : 100_000;
        long commitsBefore = counter("durable.commits");
        long startNanos = System.nanoTime();
        submitUnpaced(jobs);
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        Thread.sleep(1100);
        double commitsPerSecond = (counter("durable.commits") - commitsBefore) / seconds;
        print(
                "%d jobs acknowledged in %.2f s, %.0f a second with %.0f commits a second",
                jobs, seconds, jobs / seconds, commitsPerSecond);
        ChildProcesses.kill(scheduler);
        double shareDuring = liveServedShare("recover", "fast");
        Matcher recoveryLine = Pattern.compile("(\\d+) taken over in (\\d+) ms").matcher(crew.log("recover"));
        long recovered = recoveryLine.find() ? Long.parseLong(recoveryLine.group(1)) : -1;
        long recoverMs = recovered < jobs ? -1 : Long.parseLong(recoveryLine.group(2));
        print(
                "%d jobs recovered in %d ms; live service meanwhile %.2f %%, %d of them served",
                recovered, recoverMs, shareDuring * 100, servedJobs);
        ChildProcesses.kill(tills);
        Verdict verdict = runWithKills();
        out.printf(
                Locale.ROOT,
                "durable: jobs=%d kills=%d lost=%d unsettled=%d unsafe_twice=%d"
                        + " keyed_twice_outside=%d false_done=%d unknown=%d unknown_wrong=%d key_changed=%d late=%d"
                        + " ack_p99_ms=%.3f ack_p99_syncs=%.1f acks_per_s=%.0f fsyncs_per_s=%.0f recover_100k_ms=%d"
                        + " live_service_loss_points=%.2f%n",
                jobIdsByName.size(),
                kills,
                verdict.lost,
                verdict.unsettled,
                verdict.unsafeRunTwice,
                verdict.keyedRunOutsideWindow,
                verdict.falseDone,
                verdict.unknown,
                verdict.unknownWrong,
                verdict.keyChanged,
                verdict.late,
                ackP99Ms,
                ackP99Ms / bareSyncMs[1],
                jobs / seconds,
                commitsPerSecond,
                recoverMs,
                (shareBefore - shareDuring) * 100);
        return verdict.isBroken() || recoverMs < 0 ? 1 : 0;
    }

    private void print(String format, Object... values) {
        out.printf(Locale.ROOT, format + "%n", values);
    }

    // ---- processes ----

    private String config(String name, String store, int leaseMs, int maxJobs, boolean withNodes) throws IOException {
        StringBuilder text = new StringBuilder("listen = \"127.0.0.1:" + httpPort + "\"\nzones = [\"a\"]\n"
                + "[limits]\nsockets = 4096\n"
                + "[classes.check]\naim_ms = 200\nrepeat = \"safe\"\n[classes.capture]\naim_ms = 200\n"
                + "[classes.post]\naim_ms = 200\nrepeat = \"keyed\"\nwindow_ms = " + WINDOW_MS + "\n"
                + "[gearman]\nlisten = \"127.0.0.1:" + gearmanPort + "\"\n");
        for (String function : FUNCTIONS) {
            text.append("[gearman.functions.")
                    .append(function)
                    .append("]\nclass = \"")
                    .append(function.substring(1))
                    .append("\"\ndurable = true\n");
        }
        for (int i = 0; i < nodePorts.length && withNodes; i++) {
            text.append("[endpoints.till-")
                    .append(i)
                    .append("]\ndial = \"127.0.0.1:")
                    .append(nodePorts[i])
                    .append("\"\n");
        }
        text.append("[durable]\ndir = \"")
                .append(folder.resolve(store))
                .append("\"\n")
                .append("most_mib = 256\nmost_jobs = ")
                .append(maxJobs)
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

    /** Starts a scheduler and waits until its Gearman front accepts connections. */
    private Process startScheduler(String name, String config) throws IOException, InterruptedException {
        Process process = crew.startScheduler(name, 1024, config);
        long deadlineNanos = System.nanoTime() + 20_000_000_000L;
        while (process.isAlive() && System.nanoTime() < deadlineNanos) {
            try (GearmanConnection wire = new GearmanConnection(gearmanPort, 1000)) {
                return process;
            } catch (IOException e) {
                Thread.sleep(5);
            }
        }
        throw new IOException("the scheduler did not start: " + crew.log(name));
    }

    private Process startNodes(String name, String ledger, int slots, int runMs) throws IOException {
        return crew.start(
                "nodes-" + name,
                256,
                StandInNodes.class,
                nodePorts[0] + "," + nodePorts[1] + "," + nodePorts[2],
                ledger.isEmpty() ? "" : folder.resolve(ledger).toString(),
                "" + random.nextInt(1 << 30),
                "" + slots,
                "" + runMs,
                large ? "600" : "60");
    }

    private Process startWorker(int number) throws IOException {
        return crew.start(
                "worker-" + number,
                64,
                StandInWorker.class,
                "" + gearmanPort,
                folder.resolve("worker-" + number + ".ledger").toString(),
                "" + random.nextInt(1 << 30),
                "20",
                "0.06",
                "900",
                String.join(",", FUNCTIONS),
                large ? "600" : "60");
    }

    // ---- latency and throughput ----

    private double[] measureBareSyncs() throws IOException {
        Histogram syncNanos = new Histogram(3);
        try (FileChannel file =
                FileChannel.open(folder.resolve("bare"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            for (int i = 0; i < 1000; i++) {
                file.write(ByteBuffer.allocate(4096));
                long startNanos = System.nanoTime();
                file.force(false);
                syncNanos.recordValue(System.nanoTime() - startNanos);
            }
        }
        return new double[] {syncNanos.getValueAtPercentile(50) / 1e6, syncNanos.getValueAtPercentile(99) / 1e6};
    }

    private long servedJobs;

    /** Returns the share of live requests served in time by a scheduler on that store, after a warm-up. */
    private double liveServedShare(String name, String store) throws IOException, InterruptedException {
        Process scheduler = startScheduler(name, config(name, store, 6000, 250_000, true));
        new LiveLoad(httpPort, "check", 32, 250, 200).run(1);
        double share = new LiveLoad(httpPort, "check", 32, 250, 200).run(large ? 20 : 4);
        servedJobs = counter("durable.done");
        ChildProcesses.kill(scheduler);
        return share;
    }

    /** Returns the p99 of the acknowledgement latency in ms, at a steady 1,000 jobs per second. */
    private double measureAckLatency() throws IOException, InterruptedException {
        Histogram latencyNanos = new Histogram(3);
        for (int round = 0; round < 2; round++) {
            // The first round is a warm-up and is not counted.
            latencyNanos.reset();
            Thread[] threads = new Thread[CONNECTIONS];
            int roundNumber = round;
            for (int i = 0; i < CONNECTIONS; i++) {
                int connection = i;
                threads[i] = new Thread(() -> submitPaced(connection, roundNumber, latencyNanos));
                threads[i].start();
            }
            for (Thread thread : threads) {
                thread.join();
            }
        }
        Thread.sleep(1000);
        print(
                "commits during this: p50 %.3f ms, p99 %.3f ms",
                counter("durable.commit_p50_us") / 1e3, counter("durable.commit_p99_us") / 1e3);
        print(
                "acknowledgements: p50 %.3f ms, p90 %.3f ms, p99.9 %.3f ms",
                latencyNanos.getValueAtPercentile(50) / 1e6,
                latencyNanos.getValueAtPercentile(90) / 1e6,
                latencyNanos.getValueAtPercentile(99.9) / 1e6);
        return latencyNanos.getValueAtPercentile(99) / 1e6;
    }

    private void submitPaced(int connection, int round, Histogram latencyNanos) {
        try (GearmanConnection wire = new GearmanConnection(gearmanPort, 10_000)) {
            long startNanos = System.nanoTime();
            for (int index = 0; index < 500; index++) {
                long dueNanos = startNanos + index * 4_000_000L + connection * 1_000_000L;
                for (long remainingNanos = dueNanos - System.nanoTime();
                        remainingNanos > 0;
                        remainingNanos = dueNanos - System.nanoTime()) {
                    // parkNanos overshoots by 50 us and more, which would count as latency of the scheduler.
                    if (remainingNanos > 200_000) {
                        LockSupport.parkNanos(remainingNanos - 150_000);
                    } else {
                        Thread.onSpinWait();
                    }
                }
                wire.send(
                        GearmanConnection.SUBMIT_JOB_BG,
                        "kcheck",
                        "l" + round + "-" + connection + "-" + index,
                        "x".repeat(200));
                if (wire.readPacket().type() != GearmanConnection.JOB_CREATED) {
                    throw new IOException("the scheduler did not accept the job");
                }
                synchronized (latencyNanos) {
                    latencyNanos.recordValue(System.nanoTime() - dueNanos);
                }
            }
        } catch (IOException e) {
            print("latency: %s", e);
        }
    }

    /** Submits this many jobs as fast as they are acknowledged. */
    private void submitUnpaced(int jobs) throws InterruptedException {
        Thread[] threads = new Thread[CONNECTIONS];
        for (int i = 0; i < CONNECTIONS; i++) {
            int connection = i;
            threads[i] = new Thread(() -> {
                try (GearmanConnection wire = new GearmanConnection(gearmanPort, 20_000)) {
                    int sent = 0;
                    int count = jobs / CONNECTIONS;
                    for (int acknowledged = 0; acknowledged < count; acknowledged++) {
                        while (sent < count && sent - acknowledged < MAX_UNACKNOWLEDGED) {
                            wire.writePacket(
                                    GearmanConnection.SUBMIT_JOB_BG,
                                    "kcheck",
                                    "f" + connection + "-" + sent++,
                                    "x".repeat(200));
                        }
                        wire.flush();
                        if (wire.readPacket().type() != GearmanConnection.JOB_CREATED) {
                            throw new IOException("the scheduler rejected a job; acknowledged before: " + acknowledged);
                        }
                    }
                } catch (IOException e) {
                    print("throughput: %s", e);
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
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), httpPort)) {
            return get(socket, new BufferedInputStream(socket.getInputStream()), path);
        }
    }

    private static String get(Socket socket, InputStream in, String path) throws IOException {
        socket.setSoTimeout(10_000);
        socket.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\nHost: l\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        return LiveLoad.readResponse(in);
    }

    // ---- guarantees ----

    /** Counts of violated guarantees, and of jobs that ended unknown or late. */
    private static final class Verdict {
        private int lost;
        private int unsettled;
        private int unsafeRunTwice;
        private int keyedRunOutsideWindow;
        private int falseDone;
        private int unknown;
        private int unknownWrong;
        private int keyChanged;
        private int late;

        boolean isBroken() {
            return lost + unsettled + unsafeRunTwice + keyedRunOutsideWindow + falseDone + unknownWrong + keyChanged
                    > 0;
        }
    }

    private Verdict runWithKills() throws IOException, InterruptedException {
        String config = config("kill", "kill", 600, 250_000, true);
        Process scheduler = startScheduler("kill", config);
        Process nodes = startNodes("kill", "nodes.ledger", 2, 20);
        Process[] workers = new Process[4];
        for (int i = 0; i < workers.length; i++) {
            workers[i] = startWorker(i);
        }
        Thread[] submitters = new Thread[2];
        for (int i = 0; i < submitters.length; i++) {
            int number = i;
            submitters[i] = new Thread(() -> submit(number));
            submitters[i].start();
        }
        long endNanos = System.nanoTime() + (large ? 180 : 14) * 1_000_000_000L;
        int round = 0;
        while (System.nanoTime() < endNanos) {
            Thread.sleep(300 + random.nextInt(700));
            double draw = random.nextDouble();
            // Every eighth round kills all processes, and keeps them down for longer than the window of the keys.
            boolean killAll = ++round % 8 == 5;
            if (killAll || draw < 0.5) {
                ChildProcesses.kill(scheduler);
                kills++;
            }
            if (killAll || draw >= 0.5 && draw < 0.85) {
                for (int i = 0; i < workers.length; i++) {
                    if (killAll || i == random.nextInt(workers.length)) {
                        ChildProcesses.kill(workers[i]);
                        kills++;
                    }
                }
            }
            if (killAll || draw >= 0.85) {
                ChildProcesses.kill(nodes);
                kills++;
            }
            Thread.sleep(killAll ? WINDOW_MS + 500 : random.nextInt(250));
            scheduler = scheduler.isAlive() ? scheduler : startScheduler("kill", config);
            nodes = nodes.isAlive() ? nodes : startNodes("kill", "nodes.ledger", 2, 20);
            for (int i = 0; i < workers.length; i++) {
                workers[i] = workers[i].isAlive() ? workers[i] : startWorker(i);
            }
        }
        submitting = false;
        for (Thread submitter : submitters) {
            submitter.join();
        }
        return judge();
    }

    /** Submits jobs one by one, and repeats each on a new connection until it is acknowledged. */
    private void submit(int number) {
        GearmanConnection wire = null;
        for (int i = 0; submitting; i++) {
            String function = FUNCTIONS[i % FUNCTIONS.length];
            String name = function + "-" + number + "-" + i;
            for (boolean accepted = false; !accepted; ) {
                try {
                    wire = wire == null ? new GearmanConnection(gearmanPort, 3000) : wire;
                    wire.send(GearmanConnection.SUBMIT_JOB_BG, function, name, name + " body");
                    GearmanConnection.Packet response = wire.readPacket();
                    accepted = response.type() == GearmanConnection.JOB_CREATED;
                    if (accepted) {
                        jobIdsByName.put(name, response.args()[0].substring("H:laneflow:d".length()));
                    }
                    Thread.sleep(accepted ? 12 : 50);
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
        Map<String, JsonObject> jobsByName = new HashMap<>();
        Verdict verdict = new Verdict();
        long deadlineNanos = System.nanoTime() + (large ? 60 : 9) * 1_000_000_000L;
        List<String> unsettledNames = new ArrayList<>(jobIdsByName.keySet());
        while (!unsettledNames.isEmpty() && System.nanoTime() < deadlineNanos) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), httpPort)) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                List<String> remaining = new ArrayList<>();
                for (String name : unsettledNames) {
                    String response = get(socket, in, "/jobs/" + jobIdsByName.get(name));
                    if (response.startsWith("HTTP/1.1 200 ")) {
                        JsonObject job = JsonParser.parseString(response.substring(response.indexOf("\r\n\r\n") + 4))
                                .getAsJsonObject();
                        jobsByName.put(name, job);
                        String state = job.get("state").getAsString();
                        if (state.equals("queued") || state.equals("running")) {
                            remaining.add(name);
                        }
                    }
                }
                unsettledNames = remaining;
            }
            Thread.sleep(unsettledNames.isEmpty() ? 0 : 100);
        }
        verdict.unsettled = unsettledNames.size();
        Map<String, List<RunLog.Entry>> ledgerLinesByName = readLedgers();
        for (String name : jobIdsByName.keySet()) {
            judge(name, jobsByName.get(name), ledgerLinesByName.getOrDefault(name, List.of()), verdict);
        }
        resubmitKeys(verdict);
        return verdict;
    }

    private Map<String, List<RunLog.Entry>> readLedgers() throws IOException {
        Map<String, List<RunLog.Entry>> linesByName = new HashMap<>();
        for (String file : new String[] {"nodes", "worker-0", "worker-1", "worker-2", "worker-3"}) {
            for (RunLog.Entry line : RunLog.read(folder.resolve(file + ".ledger"))) {
                linesByName
                        .computeIfAbsent(line.job(), none -> new ArrayList<>())
                        .add(line);
            }
        }
        return linesByName;
    }

    private void judge(String name, JsonObject job, List<RunLog.Entry> lines, Verdict verdict) {
        if (job == null) {
            verdict.lost++;
            print("lost: %s", name);
            return;
        }
        List<Long> startTimesMs = lines.stream()
                .filter(line -> line.event().equals("start"))
                .map(RunLog.Entry::ms)
                .sorted()
                .toList();
        String state = job.get("state").getAsString();
        verdict.late += job.has("reason") && job.get("reason").getAsString().contains("its lease had run out") ? 1 : 0;
        boolean completed = lines.stream().anyMatch(line -> line.event().equals("done"));
        if (state.equals("done") && !completed) {
            verdict.falseDone++;
            print("reported done, but no ledger has a completed run: %s %s", name, job);
        }
        if (name.startsWith("kcapture") && startTimesMs.size() > 1) {
            verdict.unsafeRunTwice++;
            print("ran %d times: %s %s", startTimesMs.size(), name, job);
        }
        if (name.startsWith("kpost")
                && startTimesMs.size() > 1
                && startTimesMs.get(startTimesMs.size() - 1) - startTimesMs.get(0) > WINDOW_MS + CLOCK_TOLERANCE_MS) {
            verdict.keyedRunOutsideWindow++;
            print(
                    "ran again %d ms after its first run: %s %s",
                    startTimesMs.get(startTimesMs.size() - 1) - startTimesMs.get(0), name, job);
        }
        if (state.equals("unknown")) {
            verdict.unknown++;
            String reason = job.has("reason") ? job.get("reason").getAsString() : "";
            boolean mayBeUnknown = name.startsWith("kcapture")
                    || name.startsWith("kpost") && (reason.contains("window") || reason.contains("attempts"));
            if (!mayBeUnknown) {
                verdict.unknownWrong++;
                print("unknown without a permitted reason: %s %s", name, job);
            }
        }
    }

    /** After all the crashes, a key that is submitted again must name the same job. */
    private void resubmitKeys(Verdict verdict) throws IOException {
        try (GearmanConnection wire = new GearmanConnection(gearmanPort, 3000)) {
            for (Map.Entry<String, String> entry :
                    jobIdsByName.entrySet().stream().limit(200).toList()) {
                String name = entry.getKey();
                wire.send(GearmanConnection.SUBMIT_JOB_BG, name.substring(0, name.indexOf('-')), name, name + " body");
                if (!wire.readPacket().args()[0].endsWith(entry.getValue())) {
                    verdict.keyChanged++;
                }
            }
        }
    }
}
