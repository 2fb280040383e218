package laneflow.lab.measure;

import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import laneflow.lab.rig.ChildProcesses;
import laneflow.lab.standin.TimedEndpoints;
import laneflow.net.Threads;

/**
 * A scheduler's process on one core, or on a part of one, with endpoints, usual clients, and clients that misbehave;
 * and what the records of all of them say about its rules.
 */
final class FloodScenario implements AutoCloseable {
    static final int ENDPOINTS = 14;
    /** The memory that the scheduler is configured with. */
    static final int MEMORY_MB = 192;

    private static final int HEAP_MB = 72;
    private static final int FLOOD_HEAP_MB = 64;
    /** The longest deadline of a class, at most 3 s, and 0.7 s: a platform kills no earlier after its SIGTERM. */
    private static final long EARLIEST_KILL_MS = 3_700;
    /** Clients may come for so long after a SIGTERM. */
    private static final long LATE_CLIENTS_NS = 400_000_000;

    /** The file descriptors that the scheduler is configured with. */
    static final int SOCKETS = 1024;

    private static final int DESCRIPTOR_SAMPLING_MS = 20;
    /** An attempt may begin this long after its client has closed. */
    private static final long LATE_ATTEMPT_NS = 100_000_000;

    private static final List<String> JVM_OPTIONS = List.of(
            "-Xms24m",
            "-XX:-AlwaysPreTouch",
            "-Xss512k",
            "-XX:MaxDirectMemorySize=8m",
            "-XX:MaxMetaspaceSize=40m",
            "-XX:ReservedCodeCacheSize=24m",
            "-XX:+ExitOnOutOfMemoryError",
            "-Djdk.nio.maxCachedBufferSize=65536");

    /** What a part of a run showed; the quantiles are of requests that were served. */
    record Report(
            int answered,
            int lost,
            int closed,
            int lateAttempts,
            double worstLateMs,
            int ranTwice,
            double p50,
            double p99) {
        boolean holds() {
            return lost == 0 && lateAttempts == 0 && ranTwice == 0;
        }
    }

    private final ChildProcesses processes;
    private final List<Process> burners = new ArrayList<>();
    private final TimedEndpoints endpoints;
    private final Path folder;
    private final String core;
    private final Map<String, Long> closedAt = new HashMap<>();
    private final int port;
    private final String jobClass;
    private final int memoryMb;
    private final Thread descriptorSampler = Threads.daemon(this::sampleDescriptors, "descriptors");
    private volatile Process scheduler;
    private volatile int peakDescriptors;
    /** The longest time that this process, which plays the endpoints, was seen to stand still; nanoseconds. */
    private volatile long longestPauseNs;

    private UsualClients usualClients;
    private final List<Absence> absences = new ArrayList<>();
    private int restarts;
    private int floodCount;

    /**
     * Starts the processes.
     *
     * @param core number of the processor core that the scheduler is held to
     * @param busyProcesses processes that compete with it for that core
     */
    FloodScenario(Path folder, int core, int busyProcesses, String jobClass, TimedEndpoints.Behaviour behaviour)
            throws IOException, InterruptedException {
        this(folder, core, busyProcesses, jobClass, behaviour, MEMORY_MB);
    }

    /** Starts the processes, the scheduler with another limit of memory in its configuration. */
    FloodScenario(
            Path folder, int core, int busyProcesses, String jobClass, TimedEndpoints.Behaviour behaviour, int memoryMb)
            throws IOException, InterruptedException {
        this.memoryMb = memoryMb;
        this.folder = folder;
        this.core = Integer.toString(core);
        this.jobClass = jobClass;
        processes = new ChildProcesses(folder);
        endpoints = new TimedEndpoints(ENDPOINTS, behaviour);
        port = ChildProcesses.freePort();
        for (int i = 0; i < busyProcesses; i++) {
            burners.add(
                    new ProcessBuilder("taskset", "-c", this.core, "timeout", "300", "sh", "-c", "while :; do :; done")
                            .start());
        }
        startScheduler();
        descriptorSampler.start();
    }

    private void sampleDescriptors() {
        try {
            long wokenAt = System.nanoTime();
            while (true) {
                String[] open = new File("/proc/" + pid() + "/fd").list();
                peakDescriptors = Math.max(peakDescriptors, open == null ? 0 : open.length);
                Thread.sleep(DESCRIPTOR_SAMPLING_MS);
                longestPauseNs =
                        Math.max(longestPauseNs, System.nanoTime() - wokenAt - DESCRIPTOR_SAMPLING_MS * 1_000_000L);
                wokenAt = System.nanoTime();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The most file descriptors that the process was seen to hold. */
    int peakDescriptors() {
        return peakDescriptors;
    }

    private void startScheduler() throws IOException, InterruptedException {
        Path config = Files.writeString(folder.resolve("config.json"), configuration());
        Path operators = Files.writeString(folder.resolve("laneflow.toml"), "");
        scheduler =
                processes.startScheduler(0, "scheduler", HEAP_MB, JVM_OPTIONS, operators.toString(), config.toString());
        processes.awaitPort(scheduler, "scheduler", port);
        new ProcessBuilder("taskset", "-acp", core, Long.toString(scheduler.pid()))
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start()
                .waitFor();
    }

    private String configuration() {
        List<String> hosts = new ArrayList<>();
        for (String address : endpoints.addresses()) {
            hosts.add(String.format(
                    "{'host':'e-%s','dial':'%s','site':'a','class':'mid','block':0,"
                            + "'health':'Ready','share':1.0,'born_ms':0}",
                    address, address));
        }
        return ("{'name':'n0','listen':'127.0.0.1:" + port + "','seed':'7','limits':{'sockets':" + SOCKETS
                        + ",'memory_mb':" + memoryMb + "},'known':{'seq':1,'whole':true,'hosts':["
                        + String.join(",", hosts) + "]},"
                        + "'settings':{'areas':['a'],'shapes':['mid'],'classes':["
                        + "{'name':'basket-check','aim':0.2,'hardLimit':5,'semantics':'pure','worth':2},"
                        + "{'name':'card-capture','aim':0.15,'hardLimit':6,'semantics':'side_effect','worth':8},"
                        + "{'name':'points-post','aim':0.25,'hardLimit':6,'semantics':'token','group':'all',"
                        + "'dedupWindow':10,'worth':2}],'familyInfo':{'classStretch':[2,2,2],'tellsStart':true},"
                        + "'limits':{'cancel':true,'connectTimeout':1,'connIdle':10,'maxAttempts':5,'maxRetryAfter':2,"
                        + "'retryAfter':true},'reporting':{'fields':['busy','q','rate','x0'],'source':'answers'},"
                        + "'rules':{'stopSendingWithin':0.5},'tick':0.005}}")
                .replace('\'', '"');
    }

    int port() {
        return port;
    }

    TimedEndpoints endpoints() {
        return endpoints;
    }

    long pid() {
        return scheduler.pid();
    }

    boolean isAlive() {
        return scheduler.isAlive();
    }

    /**
     * Sends SIGTERM, then SIGKILL as early as a platform may, and starts the scheduler again. Requests sent until 0.4 s
     * after the SIGTERM are owed their answers.
     */
    void terminateAndRestart() throws IOException, InterruptedException {
        long now = System.nanoTime();
        scheduler.destroy();
        scheduler.waitFor(EARLIEST_KILL_MS, TimeUnit.MILLISECONDS);
        ChildProcesses.kill(scheduler);
        absences.add(new Absence(now + LATE_CLIENTS_NS, Long.MAX_VALUE));
        restart();
    }

    /** Sends SIGKILL and starts the scheduler again. Requests that are open then are lost with the process. */
    void killAndRestart() throws IOException, InterruptedException {
        long now = System.nanoTime();
        ChildProcesses.kill(scheduler);
        absences.add(new Absence(now - UsualClients.LONGEST_NS, now));
        absences.add(new Absence(now, Long.MAX_VALUE));
        restart();
    }

    private void restart() throws IOException, InterruptedException {
        restarts++;
        startScheduler();
        Absence last = absences.remove(absences.size() - 1);
        absences.add(new Absence(last.from, System.nanoTime()));
    }

    /** Requests that were sent from one instant to another, nanoseconds, were to no process, or died with one. */
    private record Absence(long from, long to) {}

    private boolean isOwed(long sentAt) {
        return absences.stream().noneMatch(absence -> sentAt >= absence.from && sentAt <= absence.to);
    }

    String log() throws IOException {
        return processes.log("scheduler");
    }

    /** Starts clients that keep to the protocol. */
    void startUsualClients(int count) {
        usualClients = new UsualClients(port, count, jobClass);
    }

    /** Clients that misbehave, in a process of their own. */
    record Flood(Process process, Path record) {}

    /** Starts clients that misbehave for this long. */
    Flood startFlood(FloodClient.Kind kind, int count, long seed, int milliseconds) throws IOException {
        String name = "flood-" + ++floodCount;
        Path record = folder.resolve(name + ".record");
        String[] arguments = {
            Integer.toString(port),
            jobClass,
            kind.name(),
            Integer.toString(count),
            Long.toString(seed),
            Integer.toString(milliseconds),
            record.toString()
        };
        return new Flood(processes.start(name, FLOOD_HEAP_MB, FloodProcess.class, arguments), record);
    }

    /** Waits for the end of a flood; returns how many requests it sent. */
    long await(Flood flood) throws IOException, InterruptedException {
        flood.process.waitFor();
        List<String> lines = Files.readAllLines(flood.record);
        for (String line : lines.subList(1, lines.size())) {
            String[] words = line.split(" ");
            closedAt.put(words[0], Long.parseLong(words[1]));
        }
        return Long.parseLong(lines.get(0).substring("sent ".length()));
    }

    /** Waits for the usual clients' last answers. */
    void stopUsualClients() throws InterruptedException {
        if (usualClients != null) {
            usualClients.close();
        }
    }

    /** What happened to requests that were sent from that instant on, nanoseconds. */
    Report reportSince(long nanos) {
        List<UsualClients.Answer> answers = usualClients == null ? List.of() : usualClients.since(nanos);
        double[] times = answers.stream()
                .filter(answer -> answer.ending() == UsualClients.Ending.ANSWERED && answer.status() == 200)
                .mapToDouble(UsualClients.Answer::tookMs)
                .sorted()
                .toArray();
        int answered = 0;
        int lost = 0;
        int closed = 0;
        for (UsualClients.Answer answer : answers) {
            answered += answer.ending() == UsualClients.Ending.ANSWERED ? 1 : 0;
            lost += answer.isLost() && isOwed(answer.sentAt()) ? 1 : 0;
            closed += answer.ending() == UsualClients.Ending.CLOSED_UNANSWERED ? 1 : 0;
        }
        int late = 0;
        int twice = 0;
        double worst = 0;
        for (Map.Entry<String, List<TimedEndpoints.Run>> request :
                endpoints.runs().entrySet()) {
            Long closedNanos = closedAtOf(request.getKey());
            int ran = 0;
            for (TimedEndpoints.Run run : request.getValue()) {
                ran += run.ran() && (isNeverRepeated() || !run.broken()) ? 1 : 0;
                if (isLate(run, closedNanos, nanos)) {
                    late++;
                    worst = Math.max(worst, (run.beganAt() - closedNanos) / 1e6);
                }
            }
            // A process that was killed leaves no ids behind, and its clients' requests may come again.
            twice += ran > 1 && restarts == 0 && isUnique(request.getKey()) ? 1 : 0;
        }
        return new Report(answered, lost, closed, late, worst, twice, quantile(times, 0.5), quantile(times, 0.99));
    }

    /** Whether requests of the class must not run twice even where an endpoint has given no answer. */
    private boolean isNeverRepeated() {
        return jobClass.equals("card-capture");
    }

    /** A line for each usual request that was lost, with when it was sent after that instant, nanoseconds. */
    List<String> describeLostSince(long nanos) {
        return usualClients.since(nanos).stream()
                .filter(answer -> answer.isLost() && isOwed(answer.sentAt()))
                .map(answer -> String.format(
                        Locale.ROOT,
                        "lost: %s sent at %.3f s, ended after %.0f ms, status %d, %s",
                        answer.id(),
                        (answer.sentAt() - nanos) / 1e9,
                        answer.tookMs(),
                        answer.status(),
                        answer.ending()))
                .toList();
    }

    /** False for what a client sends behind its request, all of it under one id. */
    private static boolean isUnique(String id) {
        return !id.endsWith("further");
    }

    private static boolean isLate(TimedEndpoints.Run run, Long closedNanos, long since) {
        return closedNanos != null && run.beganAt() > since && run.beganAt() - closedNanos > LATE_ATTEMPT_NS;
    }

    /** A line for each attempt that began too late after its client had closed, and one for this process. */
    List<String> describeLateSince(long nanos) {
        List<String> lines = new ArrayList<>();
        endpoints.runs().forEach((id, runs) -> {
            Long closedNanos = closedAtOf(id);
            for (TimedEndpoints.Run run : runs) {
                if (isLate(run, closedNanos, nanos)) {
                    lines.add(String.format(
                            Locale.ROOT,
                            "late: %s closed at %.3f s, attempt began at %.3f s",
                            id,
                            (closedNanos - nanos) / 1e9,
                            (run.beganAt() - nanos) / 1e9));
                }
            }
        });
        lines.add(String.format(Locale.ROOT, "longest pause of the endpoints: %.0f ms", longestPauseNs / 1e6));
        return lines;
    }

    /** When the client of an id closed; null if it did not, or if the id comes again and its repeat has a client. */
    private Long closedAtOf(String id) {
        if (id.startsWith("repeats")) {
            return null;
        }
        int end = id.indexOf('_', id.indexOf('.'));
        return end < 0 ? null : closedAt.get(id.substring(0, end + 1));
    }

    private static double quantile(double[] sorted, double share) {
        return sorted.length == 0 ? Double.NaN : sorted[(int) Math.min(sorted.length - 1, share * sorted.length)];
    }

    /** The scheduler's counters, one a line. */
    String counters() throws IOException {
        try (Socket socket = UsualClients.connect(port)) {
            socket.getOutputStream()
                    .write("GET /counters HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    /** The most memory that the process has held so far, in MiB. */
    double peakMemoryMb() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + pid() + "/status"))) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024.0;
            }
        }
        return Double.NaN;
    }

    /** Processor time that the process has used, in milliseconds. */
    double processorMs() throws IOException {
        long ns = 0;
        for (ThreadTimes times : ThreadTimes.of(pid()).values()) {
            ns += times.ns();
        }
        return ns / 1e6;
    }

    static String line(Report report) {
        return String.format(
                Locale.ROOT,
                "answered=%d lost=%d closed=%d late_attempts=%d worst_late_ms=%.0f ran_twice=%d"
                        + " p50_ms=%.0f p99_ms=%.0f",
                report.answered,
                report.lost,
                report.closed,
                report.lateAttempts,
                report.worstLateMs,
                report.ranTwice,
                report.p50,
                report.p99);
    }

    @Override
    public void close() throws IOException, InterruptedException {
        descriptorSampler.interrupt();
        stopUsualClients();
        processes.close();
        for (Process burner : burners) {
            // Not by force: the time limit passes this signal on to the process that it bounds.
            burner.destroy();
            burner.waitFor();
        }
        endpoints.close();
    }
}
