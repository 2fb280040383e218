import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What every case needs: a temporary folder, free ports, the record, and schedulers started as processes of their own
 * by the deploy file's run line. Ends all that it started.
 */
final class Host implements AutoCloseable {
    /** The case could not run. */
    static final class NotRun extends Exception {
        private static final long serialVersionUID = 1;

        NotRun(String message) {
            super(message);
        }
    }

    /** What a case does; true if the rule held. */
    interface Body {
        boolean run(Host host, boolean trouble) throws Exception;
    }

    private static final long TIME_LIMIT_MS = 110_000;
    static final long START = System.nanoTime();

    final Path dir;
    private final BufferedWriter record;
    private final List<Process> processes = new ArrayList<>();

    private Host(Path caseDir) throws IOException {
        dir = Files.createTempDirectory("laneflow-case");
        record = Files.newBufferedWriter(caseDir.resolve("record.txt"));
    }

    /** Runs a case and exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void main(String[] args, Body body) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Host host = new Host(Path.of(args[0]))) {
            Thread limit = new Thread(() -> {
                try {
                    Thread.sleep(TIME_LIMIT_MS);
                    host.say("the time limit of the case is over");
                    host.endProcesses();
                } catch (InterruptedException e) {
                    return;
                }
                Runtime.getRuntime().halt(2);
            });
            limit.setDaemon(true);
            limit.start();
            Runtime.getRuntime().addShutdownHook(new Thread(host::endProcesses));
            host.say("trouble: " + (trouble ? "yes" : "no"));
            try {
                boolean held = body.run(host, trouble);
                host.say(held ? "the rule held" : "THE RULE WAS BROKEN");
                code = held ? 0 : 1;
            } catch (Exception e) {
                host.say("the case could not run: " + e);
                e.printStackTrace();
            }
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    /** Writes a line to the record and to standard output. */
    synchronized void say(String line) {
        String text = String.format("%9.3f %s", (System.nanoTime() - START) / 1e9, line);
        System.out.println(text);
        try {
            record.write(text + "\n");
            record.flush();
        } catch (IOException e) {
            System.err.println("record: " + e);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Starts a scheduler by the deploy file's run line with an operators' file, and waits until it is ready. */
    Process startScheduler(String name, String operatorsFile, int port) throws Exception {
        Process process = launch(name, operatorsFile, Map.of());
        awaitReady(name, process, port);
        return process;
    }

    Process launch(String name, String operatorsFile, Map<String, String> environment) throws Exception {
        Path file = dir.resolve(name + ".toml");
        Files.writeString(file, operatorsFile);
        String run = null;
        for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                run = line.substring(7, line.lastIndexOf('"'));
            }
        }
        if (run == null) {
            throw new NotRun("deploy/balancer.toml has no run line");
        }
        Path log = dir.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run + " --config " + file);
        Path scratch = Files.createDirectories(dir.resolve(name + "-tmp"));
        builder.environment().put("TMPDIR", scratch.toString());
        builder.environment().remove("ROUTER_CONFIG");
        builder.environment().putAll(environment);
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        say("scheduler " + name + " started, process " + process.pid());
        return process;
    }

    void awaitReady(String name, Process process, int port) throws Exception {
        for (int i = 0; i < 300; i++) {
            if (!process.isAlive()) {
                throw new NotRun("scheduler " + name + " ended at its start: " + log(name));
            }
            try {
                if (Http.call(port, "GET", "/health/ready", Map.of(), new byte[0], 1000).status == 200) {
                    say("scheduler " + name + " is ready");
                    return;
                }
            } catch (IOException e) {
                // Not listening yet.
            }
            Thread.sleep(100);
        }
        throw new NotRun("scheduler " + name + " is not ready after 30 s: " + log(name));
    }

    String log(String name) throws IOException {
        Path log = dir.resolve(name + ".log");
        return Files.exists(log) ? Files.readString(log) : "";
    }

    /** Kills a process that the case started, as SIGKILL. */
    void kill(String name, Process process) throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
        say("scheduler " + name + " killed (SIGKILL)");
    }

    /** Sends a signal to a process that the case started. */
    void signal(String signal, Process process) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        say("signal " + signal + " to process " + process.pid());
    }

    private void endProcesses() {
        synchronized (processes) {
            for (Process process : processes) {
                process.descendants().forEach(ProcessHandle::destroyForcibly);
                process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        synchronized (processes) {
            for (Process process : processes) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        try (Stream<Path> all = Files.walk(dir)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(path);
            }
        } catch (IOException e) {
            say("temporary folder not removed: " + e);
        }
    }

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
        socket.setTcpNoDelay(true);
        return socket;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** The settings of a small deployment, as in deploy/laneflow.toml. */
    static String settings(int port) {
        return "listen = \"127.0.0.1:" + port + "\"\n"
                + "zones = [\"celje-1\"]\nzone = \"celje-1\"\n"
                + "[limits]\nsockets = 1024\nconnect_timeout_ms = 1000\nendpoint_idle_ms = 10000\nattempts = 5\n"
                + "longest_retry_after_ms = 2000\n"
                + "[rules]\ndrain_grace_ms = 500\ncold_share = 0.13\ncold_ms = 24000\nfall_multiple = 3\nfall_ms = 1500\n"
                + "[classes.basket-check]\naim_ms = 200\nstretch = 2\ndeadline_ms = 5000\nworth = 2\nrepeat = \"safe\"\n"
                + "[classes.card-capture]\naim_ms = 150\nstretch = 2\ndeadline_ms = 6000\nworth = 8\nrepeat = \"never\"\n"
                + "[classes.points-post]\naim_ms = 250\nstretch = 2\ndeadline_ms = 6000\nworth = 2\nrepeat = \"keyed\"\n"
                + "window_ms = 10000\n";
    }

    static String gearman(int port) {
        return gearman(port, true);
    }

    static String gearman(int port, boolean durable) {
        return "[gearman]\nlisten = \"127.0.0.1:" + port + "\"\n"
                + "[gearman.functions.basket_check]\nclass = \"basket-check\"\n"
                + "[gearman.functions.card_capture]\nclass = \"card-capture\"\ndurable = " + durable + "\n"
                + "[gearman.functions.points_post]\nclass = \"points-post\"\ndurable = " + durable + "\n";
    }

    static String durable(Path dir) {
        return "[durable]\ndir = \"" + dir + "\"\nstore_mib = 64\nmost_jobs = 10000\nmost_mib = 8\n"
                + "retention_s = 3600\nmost_at_work = 64\n"
                + "[durable.classes.card-capture]\nlease_ms = 6000\nlongest_ms = 60000\n"
                + "[durable.classes.points-post]\nlease_ms = 3000\nlongest_ms = 30000\n";
    }

    static String endpoints(int... ports) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < ports.length; i++) {
            text.append("[endpoints.till-").append(i + 1).append("]\ndial = \"127.0.0.1:").append(ports[i]).append("\"\n");
        }
        return text.toString();
    }
}
