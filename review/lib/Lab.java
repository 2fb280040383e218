package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What every case needs: a temporary folder, free ports, the record, and schedulers as separate processes, started by
 * the run command of deploy/balancer.toml. All of it ends with {@link #close}.
 */
public final class Lab implements AutoCloseable {
    /** Exit codes of a case's script. */
    public static final int HELD = 0;

    public static final int BROKEN = 1;
    public static final int COULD_NOT_RUN = 2;
    /** A case ends by itself after this long, whatever hangs. */
    private static final long MAX_SECONDS = 115;

    /** False with TROUBLE=0: the same run without the disruption. */
    public final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    /** Of {@code --seed N}, 1 if it is left out; what a case draws follows from it. */
    public final long seed;

    public final Path root;
    public final Path folder;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private final Set<Integer> ports = new HashSet<>();

    /** Arguments: the case's folder, and the seed if there is one. */
    private Lab(String[] args) throws IOException {
        Path caseFolder = Path.of(args[0]).toAbsolutePath();
        seed = args.length > 2 && args[1].equals("--seed") ? Long.parseLong(args[2]) : 1;
        root = caseFolder.getParent().getParent();
        folder = Files.createTempDirectory("review-");
        record = new PrintWriter(
                Files.newBufferedWriter(caseFolder.resolve("record.txt"), StandardCharsets.UTF_8), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        Thread guard = new Thread(
                () -> {
                    try {
                        Thread.sleep(MAX_SECONDS * 1000);
                        record("the case did not end by itself in " + MAX_SECONDS + " s");
                    } catch (InterruptedException e) {
                        return;
                    }
                    System.exit(COULD_NOT_RUN);
                },
                "guard");
        guard.setDaemon(true);
        guard.start();
        record("trouble=" + (trouble ? 1 : 0) + " seed=" + seed);
    }

    /** Runs a case and exits with its verdict. */
    public static void run(String[] args, Case body) {
        int code = COULD_NOT_RUN;
        try (Lab lab = new Lab(args)) {
            try {
                code = body.run(lab) ? HELD : BROKEN;
            } catch (Exception e) {
                lab.record("the case could not run: " + e);
                e.printStackTrace();
                lab.keepLogs();
            }
            lab.record(code == HELD ? "VERDICT held" : code == BROKEN ? "VERDICT broken" : "VERDICT none");
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    /** A case's test; true if the rule held. */
    public interface Case {
        boolean run(Lab lab) throws Exception;
    }

    /** Writes a line to the record, with the milliseconds since the start, and prints it. */
    public void record(String text) {
        System.out.println(note(text));
    }

    /** Writes a line to the record only; returns it. */
    public String note(String text) {
        String line = String.format("%8.1f  %s", (System.nanoTime() - startNanos) / 1e6, text);
        synchronized (record) {
            record.println(line);
        }
        return line;
    }

    /** A free port on loopback, below the ephemeral ones, so that a restarted process can bind it again. */
    public synchronized int freePort() throws IOException {
        for (int i = 0; i < 1000; i++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                if (ports.add(probe.getLocalPort())) {
                    return port;
                }
            } catch (IOException e) {
                continue;
            }
        }
        throw new IOException("no free port");
    }

    /** The command of this name in deploy/balancer.toml. */
    public String deployCommand(String name) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(name + " = \"")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml names no " + name);
    }

    /**
     * Starts a scheduler by the run command of the deploy file, with the operators' file.
     *
     * @param variables further environment variables, such as ROUTER_CONFIG
     */
    public Process startScheduler(String name, Path operatorsFile, Map<String, String> variables) throws IOException {
        Path scratch = Files.createDirectories(folder.resolve(name + "-tmp"));
        ProcessBuilder builder = new ProcessBuilder(
                "/bin/sh", "-c", deployCommand("run") + (operatorsFile == null ? "" : " --config " + operatorsFile));
        builder.directory(root.toFile());
        builder.environment().remove("ROUTER_CONFIG");
        builder.environment().put("TMPDIR", scratch.toString());
        builder.environment().putAll(variables);
        return start(name, builder);
    }

    /** Starts a process; its output goes to a log in the temporary folder. */
    public Process start(String name, ProcessBuilder builder) throws IOException {
        builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve(name + ".log").toFile()));
        Process process = builder.start();
        processes.add(process);
        record("started " + name + ", process " + process.pid());
        return process;
    }

    /** Ends a process with SIGKILL. */
    public void kill(String name, Process process) throws InterruptedException {
        process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
        record("killed " + name + " (SIGKILL)");
    }

    public String log(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    /** Waits until the call returns true. */
    public void await(String what, long seconds, Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        while (true) {
            boolean met;
            try {
                met = condition.call();
            } catch (IOException e) {
                met = false;
            }
            if (met) {
                return;
            }
            if (System.nanoTime() > end) {
                throw new IOException("not within " + seconds + " s: " + what);
            }
            Thread.sleep(10);
        }
    }

    /** Waits until the scheduler at this port is ready for clients. */
    public void awaitReady(int port) throws Exception {
        await("ready at " + port, 30, () -> Http.get(port, "/health/ready").status() == 200);
    }

    private void endProcesses() {
        processes.forEach(Process::destroyForcibly);
    }

    private void keepLogs() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path log : files.filter(path -> path.toString().endsWith(".log")).toList()) {
                record("log of " + log.getFileName() + ":\n" + Files.readString(log));
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (Process process : processes) {
            try {
                process.waitFor(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        List<Path> all = new ArrayList<>();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(all::add);
        }
        for (Path path : all) {
            Files.deleteIfExists(path);
        }
        record.close();
    }
}
