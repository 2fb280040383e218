package laneflow.lab.measure;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import laneflow.lab.rig.ChildProcesses;
import laneflow.lab.rig.FileTree;
import laneflow.lab.standin.GearmanConnection;
import laneflow.lab.standin.RunLog;
import laneflow.lab.standin.StandInWorkerGroup;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * {@code lab measure gearman}: a scheduler as a process, a thousand stand-in workers with two of 200
 * functions each, and clients that ask one job after the other. First with workers that fail, vanish, and
 * half of them at once; what each client was told is held against the workers' ledger. Then without
 * failures, for the cost of a job. The suite of the protocol's cases is played too. Exit code 1 for a job
 * without an answer, one that must not run twice and did, an answer that is not what happened, or a case
 * that fails.
 */
public final class GearmanMeasure {
    private static final int FUNCTIONS = 200;
    private static final int CLIENTS = 16;
    private static final int PATIENCE_MS = 10_000;
    /** Ticks of the kernel's clock in a second, by which it counts a process's time. */
    private static final double TICKS = 100;

    private final long seed;
    private final int workers;
    private final int seconds;
    private final Path folder;
    private final PrintStream out;
    private final ChildProcesses crew;
    private final AtomicInteger names = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    /** What clients were told of each job: its function's number, and whether it was served. */
    private final Map<String, Told> told = new ConcurrentHashMap<>();

    private final ConcurrentHistogram latency = new ConcurrentHistogram(3);
    private int port;

    private record Told(int function, boolean served) {}

    private GearmanMeasure(long seed, boolean large, Path folder, PrintStream out, ChildProcesses crew) {
        this.seed = seed;
        workers = large ? 5000 : 1000;
        seconds = large ? 60 : 8;
        this.folder = folder;
        this.out = out;
        this.crew = crew;
    }

    /** Runs all of it; 0 if every promise was kept. */
    public static int run(long seed, boolean large, PrintStream out) throws IOException, InterruptedException {
        Conformance.Result cases = Conformance.run(out, "");
        Path folder = Files.createTempDirectory("laneflow-gearman");
        try (ChildProcesses crew = new ChildProcesses(folder)) {
            return new GearmanMeasure(seed, large, folder, out, crew).all(cases);
        } finally {
            FileTree.delete(folder);
        }
    }

    private int all(Conformance.Result cases) throws IOException, InterruptedException {
        port = ChildProcesses.freePort();
        int http = ChildProcesses.freePort();
        Process scheduler = crew.startScheduler("scheduler", 256, settings(http).toString());
        crew.awaitPort(scheduler, "scheduler", http);
        long before = liveBytes(scheduler);
        // Failures: a share of jobs fail or lose their worker, and once half of the workers vanish.
        Process crowd = crowd("rough", 10, 0.02, 0.02, seconds / 2 * 1000L + 2000, seconds + 5);
        awaitWorkers(workers);
        double perWorker = before < 0 ? -1 : (liveBytes(scheduler) - before) / (double) workers;
        ask(seconds);
        crowd.waitFor(30, TimeUnit.SECONDS);
        Verdict verdict = judge("rough");
        told.clear();
        // Without: the cost of a job.
        awaitWorkers(0);
        crowd = crowd("calm", 1, 0, 0, 0, seconds + 6);
        awaitWorkers(workers);
        ask(2);
        latency.reset();
        told.clear();
        double cpu = cpuSeconds(scheduler);
        double took = ask(seconds);
        double used = cpuSeconds(scheduler) - cpu;
        int jobs = told.size();
        crowd.waitFor(30, TimeUnit.SECONDS);
        verdict.add(judge("calm"));
        double noops = noops("calm");
        int all = names.get();
        out.printf(
                Locale.ROOT,
                "gearman: jobs=%d lost=%d twice=%d misreported=%d cut=%d refused=%d conformance=%d/%d"
                        + " workers=%d functions=%d jobs_per_s=%.0f p99_ms=%.2f cpu_us_per_job=%.1f"
                        + " bytes_per_idle_worker=%.0f noops_per_job=%.2f%n",
                all,
                lost.get(),
                verdict.twice,
                verdict.misreported,
                verdict.cut,
                verdict.refused,
                cases.passed(),
                cases.played(),
                workers,
                FUNCTIONS,
                jobs / took,
                latency.getValueAtPercentile(99) / 1e3,
                used * 1e6 / Math.max(1, jobs),
                perWorker,
                noops);
        return lost.get()
                                + verdict.twice
                                + verdict.misreported
                                + cases.failures().size()
                        > 0
                ? 1
                : 0;
    }

    // ---- processes ----

    private Path settings(int http) throws IOException {
        StringBuilder text = new StringBuilder("listen = \"127.0.0.1:" + http
                + "\"\nzones = [\"a\"]\n[limits]\n"
                + "sockets = 16384\n[classes.safe]\naim_ms = 500\ndeadline_ms = 5000\nrepeat = \"safe\"\n"
                + "[classes.never]\naim_ms = 500\ndeadline_ms = 5000\n[gearman]\nlisten = \"127.0.0.1:" + port
                + "\"\n");
        for (int i = 0; i < FUNCTIONS; i++) {
            text.append("[gearman.functions.f")
                    .append(i)
                    .append("]\nclass = \"")
                    .append(neverTwice(i) ? "never" : "safe")
                    .append("\"\n");
        }
        Path file = folder.resolve("laneflow.toml");
        Files.writeString(file, text);
        return file;
    }

    private static boolean neverTwice(int function) {
        return function % 2 == 1;
    }

    private Process crowd(String name, int runMs, double failing, double vanishing, long atOnceMs, int forSeconds)
            throws IOException {
        return crew.start(
                name,
                256,
                StandInWorkerGroup.class,
                "" + port,
                folder.resolve(name + ".ledger").toString(),
                "" + seed,
                "" + workers,
                "" + FUNCTIONS,
                "" + runMs,
                "" + failing,
                "" + vanishing,
                "" + forSeconds,
                "" + atOnceMs);
    }

    private double noops(String name) throws IOException {
        long runs = RunLog.read(folder.resolve(name + ".ledger")).stream()
                .filter(line -> line.event().equals("start"))
                .count();
        String log = crew.log(name);
        int at = log.lastIndexOf("noops=");
        return at < 0 ? -1 : Long.parseLong(log.substring(at + 6).strip()) / (double) Math.max(1, runs);
    }

    /** Until so many workers are connected, by the text protocol. */
    private void awaitWorkers(int wanted) throws IOException, InterruptedException {
        int there = -1;
        for (int i = 0; i < 400 && there != wanted; i++) {
            Thread.sleep(50);
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(PATIENCE_MS);
                socket.getOutputStream().write("workers\n".getBytes(StandardCharsets.US_ASCII));
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                StringBuilder text = new StringBuilder();
                while (text.length() < 2
                        || !text.substring(text.length() - 2).equals(".\n")
                        || text.length() > 2 && text.charAt(text.length() - 3) != '\n') {
                    text.append((char) in.read());
                }
                there = (int) text.toString()
                        .lines()
                        .filter(line -> line.contains(" : f"))
                        .count();
            }
        }
        if (there != wanted) {
            throw new IOException(there + " workers came of " + wanted);
        }
    }

    /** Bytes of live objects, after a full collection; below 0 where the JDK's own tool for it is missing. */
    private static long liveBytes(Process process) throws IOException, InterruptedException {
        Path tool = Path.of(System.getProperty("java.home"), "bin", "jcmd");
        if (!Files.isExecutable(tool)) {
            return -1;
        }
        Process asked = new ProcessBuilder(tool.toString(), "" + process.pid(), "GC.class_histogram")
                .redirectErrorStream(true)
                .start();
        String text = new String(asked.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        asked.waitFor();
        for (String line : text.split("\n")) {
            if (line.startsWith("Total")) {
                return Long.parseLong(line.strip().split(" +")[2]);
            }
        }
        return -1;
    }

    /** User and system time of a process, all its threads, as the kernel has it. */
    private static double cpuSeconds(Process process) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / TICKS;
    }

    // ---- clients ----

    /** Clients that ask one job after the other for so long; returns the seconds that it took. */
    private double ask(int forSeconds) throws InterruptedException {
        long from = System.nanoTime();
        long end = from + forSeconds * 1_000_000_000L;
        Thread[] threads = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            SplittableRandom random = new SplittableRandom(seed * 1000 + i + names.get());
            threads[i] = new Thread(() -> client(random, end));
            threads[i].start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return (System.nanoTime() - from) / 1e9;
    }

    private void client(SplittableRandom random, long end) {
        try (GearmanConnection wire = new GearmanConnection(port, PATIENCE_MS)) {
            while (System.nanoTime() < end) {
                int function = random.nextInt(FUNCTIONS);
                String name = "j" + names.incrementAndGet();
                long at = System.nanoTime();
                wire.send(GearmanConnection.SUBMIT_JOB, "f" + function, "", name);
                int type = 0;
                while (type != GearmanConnection.WORK_COMPLETE && type != GearmanConnection.WORK_FAIL) {
                    type = wire.readPacket().type();
                }
                latency.recordValue((System.nanoTime() - at) / 1000);
                told.put(name, new Told(function, type == GearmanConnection.WORK_COMPLETE));
            }
        } catch (SocketTimeoutException e) {
            lost.incrementAndGet();
        } catch (IOException e) {
            // The scheduler is not killed here: a connection that breaks has lost its job.
            lost.incrementAndGet();
        }
    }

    // ---- what happened ----

    private static final class Verdict {
        private int twice;
        private int misreported;
        private int refused;
        private int cut;

        void add(Verdict other) {
            twice += other.twice;
            misreported += other.misreported;
            refused += other.refused;
            cut += other.cut;
        }
    }

    private Verdict judge(String crowdName) throws IOException {
        Map<String, int[]> ran = new HashMap<>();
        List<RunLog.Entry> lines = RunLog.read(folder.resolve(crowdName + ".ledger"));
        for (RunLog.Entry line : lines) {
            int[] counts = ran.computeIfAbsent(line.job(), name -> new int[3]);
            counts[0] += line.event().equals("start") ? 1 : 0;
            counts[1] += line.event().equals("done") ? 1 : 0;
            counts[2] += line.event().equals("cut") ? 1 : 0;
        }
        Verdict verdict = new Verdict();
        told.forEach((name, said) -> {
            int[] counts = ran.getOrDefault(name, new int[3]);
            verdict.twice += neverTwice(said.function()) && counts[0] > 1 || counts[0] > 5 ? 1 : 0;
            // A job that was done and reported as failed is as wrong as one that was not and reported as
            // done, but where the word on it was lost with its connection: a failure says it may have run.
            boolean wrong = said.served() ? counts[1] == 0 : counts[1] > 0 && counts[2] == 0;
            verdict.misreported += wrong ? 1 : 0;
            verdict.cut += !said.served() && counts[1] > 0 && counts[2] > 0 ? 1 : 0;
            verdict.refused += !said.served() && counts[0] == 0 ? 1 : 0;
        });
        return verdict;
    }
}
