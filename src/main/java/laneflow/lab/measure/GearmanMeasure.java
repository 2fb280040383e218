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
 * {@code lab measure gearman}: runs a scheduler process with a thousand stand-in workers, each with two of
 * 200 functions, and clients that submit one job after the other. In the first phase workers fail or vanish,
 * half of them at once, and the result that each client received is compared with the workers' ledger. The
 * second phase has no failures and measures the cost of a job. The protocol's conformance suite runs too.
 * Exit code 1 for a job without a result, a job that ran twice and must not, a wrong result, or a failed
 * conformance case.
 */
public final class GearmanMeasure {
    private static final int FUNCTIONS = 200;
    private static final int CLIENTS = 16;
    private static final int READ_TIMEOUT_MS = 10_000;
    /** Unit of the processor times in {@code /proc/PID/stat}: clock ticks per second. */
    private static final double CLOCK_TICKS_PER_SECOND = 100;

    private final long seed;
    private final int workers;
    private final int seconds;
    private final Path folder;
    private final PrintStream out;
    private final ChildProcesses crew;
    private final AtomicInteger jobCounter = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    /** The result that the client received, by job: the function's number and whether the job was completed. */
    private final Map<String, Outcome> outcomes = new ConcurrentHashMap<>();

    private final ConcurrentHistogram latency = new ConcurrentHistogram(3);
    private int port;

    private record Outcome(int function, boolean served) {}

    private GearmanMeasure(long seed, boolean large, Path folder, PrintStream out, ChildProcesses crew) {
        this.seed = seed;
        workers = large ? 5000 : 1000;
        seconds = large ? 60 : 8;
        this.folder = folder;
        this.out = out;
        this.crew = crew;
    }

    /** Runs the measurement and returns the exit code: 0 if every guarantee was kept. */
    public static int run(long seed, boolean large, PrintStream out) throws IOException, InterruptedException {
        Conformance.Result cases = Conformance.run(out, "");
        Path folder = Files.createTempDirectory("laneflow-gearman");
        try (ChildProcesses crew = new ChildProcesses(folder)) {
            return new GearmanMeasure(seed, large, folder, out, crew).runAll(cases);
        } finally {
            FileTree.delete(folder);
        }
    }

    private int runAll(Conformance.Result cases) throws IOException, InterruptedException {
        port = ChildProcesses.freePort();
        int http = ChildProcesses.freePort();
        Process scheduler =
                crew.startScheduler("scheduler", 256, writeSettings(http).toString());
        crew.awaitPort(scheduler, "scheduler", http);
        long bytesBefore = liveBytes(scheduler);
        // Phase with failures: a share of the jobs fail or lose their worker, and once half of the workers vanish.
        Process workersProcess = startWorkers("rough", 10, 0.02, 0.02, seconds / 2 * 1000L + 2000, seconds + 5);
        awaitWorkers(workers);
        double bytesPerWorker = bytesBefore < 0 ? -1 : (liveBytes(scheduler) - bytesBefore) / (double) workers;
        runClients(seconds);
        workersProcess.waitFor(30, TimeUnit.SECONDS);
        Verdict verdict = compareWithLedger("rough");
        outcomes.clear();
        // Phase without failures: the cost of a job.
        awaitWorkers(0);
        workersProcess = startWorkers("calm", 1, 0, 0, 0, seconds + 6);
        awaitWorkers(workers);
        runClients(2);
        latency.reset();
        outcomes.clear();
        double cpuBefore = cpuSeconds(scheduler);
        double elapsedSeconds = runClients(seconds);
        double cpuUsed = cpuSeconds(scheduler) - cpuBefore;
        int jobs = outcomes.size();
        workersProcess.waitFor(30, TimeUnit.SECONDS);
        verdict.add(compareWithLedger("calm"));
        double noopsPerJob = noopsPerJob("calm");
        int allJobs = jobCounter.get();
        out.printf(
                Locale.ROOT,
                "gearman: jobs=%d lost=%d twice=%d misreported=%d cut=%d refused=%d conformance=%d/%d"
                        + " workers=%d functions=%d jobs_per_s=%.0f p99_ms=%.2f cpu_us_per_job=%.1f"
                        + " bytes_per_idle_worker=%.0f noops_per_job=%.2f%n",
                allJobs,
                lost.get(),
                verdict.twice,
                verdict.misreported,
                verdict.cut,
                verdict.refused,
                cases.passed(),
                cases.played(),
                workers,
                FUNCTIONS,
                jobs / elapsedSeconds,
                latency.getValueAtPercentile(99) / 1e3,
                cpuUsed * 1e6 / Math.max(1, jobs),
                bytesPerWorker,
                noopsPerJob);
        return lost.get()
                                + verdict.twice
                                + verdict.misreported
                                + cases.failures().size()
                        > 0
                ? 1
                : 0;
    }

    // ---- processes ----

    private Path writeSettings(int http) throws IOException {
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

    private Process startWorkers(
            String name, int runMs, double failureRate, double vanishRate, long massVanishMs, int durationSeconds)
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
                "" + failureRate,
                "" + vanishRate,
                "" + durationSeconds,
                "" + massVanishMs);
    }

    private double noopsPerJob(String name) throws IOException {
        long runs = RunLog.read(folder.resolve(name + ".ledger")).stream()
                .filter(line -> line.event().equals("start"))
                .count();
        String log = crew.log(name);
        int at = log.lastIndexOf("noops=");
        return at < 0 ? -1 : Long.parseLong(log.substring(at + 6).strip()) / (double) Math.max(1, runs);
    }

    /** Waits until the given number of workers is connected, as the text protocol's command {@code workers} reports. */
    private void awaitWorkers(int expected) throws IOException, InterruptedException {
        int connected = -1;
        for (int i = 0; i < 400 && connected != expected; i++) {
            Thread.sleep(50);
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(READ_TIMEOUT_MS);
                socket.getOutputStream().write("workers\n".getBytes(StandardCharsets.US_ASCII));
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                StringBuilder text = new StringBuilder();
                while (text.length() < 2
                        || !text.substring(text.length() - 2).equals(".\n")
                        || text.length() > 2 && text.charAt(text.length() - 3) != '\n') {
                    text.append((char) in.read());
                }
                connected = (int) text.toString()
                        .lines()
                        .filter(line -> line.contains(" : f"))
                        .count();
            }
        }
        if (connected != expected) {
            throw new IOException(connected + " workers are connected, expected " + expected);
        }
    }

    /** Bytes of live objects after a full collection; -1 if the JDK's {@code jcmd} is missing. */
    private static long liveBytes(Process process) throws IOException, InterruptedException {
        Path tool = Path.of(System.getProperty("java.home"), "bin", "jcmd");
        if (!Files.isExecutable(tool)) {
            return -1;
        }
        Process jcmd = new ProcessBuilder(tool.toString(), "" + process.pid(), "GC.class_histogram")
                .redirectErrorStream(true)
                .start();
        String text = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        jcmd.waitFor();
        for (String line : text.split("\n")) {
            if (line.startsWith("Total")) {
                return Long.parseLong(line.strip().split(" +")[2]);
            }
        }
        return -1;
    }

    /** User and system time of all threads of a process, in seconds. */
    private static double cpuSeconds(Process process) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / CLOCK_TICKS_PER_SECOND;
    }

    // ---- clients ----

    /** Runs clients that submit one job after the other; returns the elapsed seconds. */
    private double runClients(int durationSeconds) throws InterruptedException {
        long from = System.nanoTime();
        long end = from + durationSeconds * 1_000_000_000L;
        Thread[] threads = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            SplittableRandom random = new SplittableRandom(seed * 1000 + i + jobCounter.get());
            threads[i] = new Thread(() -> client(random, end));
            threads[i].start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return (System.nanoTime() - from) / 1e9;
    }

    private void client(SplittableRandom random, long end) {
        try (GearmanConnection wire = new GearmanConnection(port, READ_TIMEOUT_MS)) {
            while (System.nanoTime() < end) {
                int function = random.nextInt(FUNCTIONS);
                String name = "j" + jobCounter.incrementAndGet();
                long at = System.nanoTime();
                wire.send(GearmanConnection.SUBMIT_JOB, "f" + function, "", name);
                int type = 0;
                while (type != GearmanConnection.WORK_COMPLETE && type != GearmanConnection.WORK_FAIL) {
                    type = wire.readPacket().type();
                }
                latency.recordValue((System.nanoTime() - at) / 1000);
                outcomes.put(name, new Outcome(function, type == GearmanConnection.WORK_COMPLETE));
            }
        } catch (SocketTimeoutException e) {
            lost.incrementAndGet();
        } catch (IOException e) {
            // The scheduler is not killed in this measurement, so a broken connection means a lost job.
            lost.incrementAndGet();
        }
    }

    // ---- comparison with the ledger ----

    private static final class Verdict {
        private int twice;
        private int misreported;
        /** Jobs reported as failed that never ran. */
        private int refused;
        /** Jobs that were completed but reported as failed, as the connection broke before the result. */
        private int cut;

        void add(Verdict other) {
            twice += other.twice;
            misreported += other.misreported;
            refused += other.refused;
            cut += other.cut;
        }
    }

    private Verdict compareWithLedger(String ledgerName) throws IOException {
        Map<String, int[]> countsByJob = new HashMap<>();
        List<RunLog.Entry> lines = RunLog.read(folder.resolve(ledgerName + ".ledger"));
        for (RunLog.Entry line : lines) {
            int[] counts = countsByJob.computeIfAbsent(line.job(), name -> new int[3]);
            counts[0] += line.event().equals("start") ? 1 : 0;
            counts[1] += line.event().equals("done") ? 1 : 0;
            counts[2] += line.event().equals("cut") ? 1 : 0;
        }
        Verdict verdict = new Verdict();
        outcomes.forEach((name, outcome) -> {
            int[] counts = countsByJob.getOrDefault(name, new int[3]);
            verdict.twice += neverTwice(outcome.function()) && counts[0] > 1 || counts[0] > 5 ? 1 : 0;
            // A completed job reported as failed is as wrong as the reverse, unless the worker's result was
            // lost with its connection: a reported failure does not exclude that the job ran.
            boolean isMisreported = outcome.served() ? counts[1] == 0 : counts[1] > 0 && counts[2] == 0;
            verdict.misreported += isMisreported ? 1 : 0;
            verdict.cut += !outcome.served() && counts[1] > 0 && counts[2] > 0 ? 1 : 0;
            verdict.refused += !outcome.served() && counts[0] == 0 ? 1 : 0;
        });
        return verdict;
    }
}
