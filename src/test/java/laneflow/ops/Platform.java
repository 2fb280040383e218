package laneflow.ops;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import laneflow.lab.rig.ChildProcesses;
import laneflow.net.SchedulerHarness;
import laneflow.net.SchedulerHarness.Peer;

/** A stand-in for the platform in upgrades: it holds the clients' socket and starts schedulers that inherit it. */
public final class Platform implements AutoCloseable {
    /** The port that clients connect to. */
    public final int port;

    private final Process process;
    private final BufferedReader output;
    private final List<SchedulerProcess> schedulers = new ArrayList<>();

    /** A scheduler's process and its ops port. */
    public record SchedulerProcess(ProcessHandle handle, int opsPort) {
        void kill() throws Exception {
            handle.destroyForcibly();
            awaitExit();
        }

        public void awaitExit() throws Exception {
            handle.onExit().get(60, TimeUnit.SECONDS);
        }

        /** Sends a command to the ops port and returns the reply. */
        public String call(String line) throws IOException {
            try (Peer caller = SchedulerHarness.connect("127.0.0.1", opsPort)) {
                return caller.write(line + "\n").readTo("\n").strip();
            }
        }
    }

    /** Opens the clients' socket without starting a scheduler; the schedulers log to the file. */
    public Platform(Path folder, Path log, Map<String, String> environment, String... arguments)
            throws IOException, URISyntaxException {
        Path script = Path.of(Platform.class.getResource("platform.pl").toURI());
        List<String> command = new ArrayList<>(List.of(
                "perl",
                script.toString(),
                ProcessHandle.current().info().command().orElseThrow(),
                "-XX:TieredStopAtLevel=1",
                "-Xmx72m",
                "-cp",
                System.getProperty("java.class.path"),
                "laneflow.Main"));
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().putAll(environment);
        builder.environment().put("TMPDIR", folder.toString());
        builder.redirectError(log.toFile());
        process = builder.start();
        output = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.US_ASCII));
        port = Integer.parseInt(output.readLine().substring(5));
    }

    /** Starts a scheduler without waiting until it can serve. */
    public SchedulerProcess launch() throws IOException {
        // Not an ephemeral port: another test's connection could take it before the process listens.
        int opsPort = ChildProcesses.freePort();
        process.getOutputStream().write(("start 127.0.0.1:" + opsPort + "\n").getBytes(StandardCharsets.US_ASCII));
        process.getOutputStream().flush();
        long pid = Long.parseLong(output.readLine().substring(4));
        SchedulerProcess scheduler = new SchedulerProcess(ProcessHandle.of(pid).orElseThrow(), opsPort);
        schedulers.add(scheduler);
        return scheduler;
    }

    @Override
    public void close() throws IOException, InterruptedException {
        schedulers.forEach(each -> each.handle.destroyForcibly());
        process.getOutputStream().close();
        process.waitFor();
    }
}
