package laneflow.lab.rig;

import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** Starts child processes with this program's class path, and kills them on close or at shutdown. */
public final class ChildProcesses implements AutoCloseable {
    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 32_000;
    private static final int PORT_TRIES = 1000;
    private static final int KIB = 1024;
    /** Main class of a scheduler; a string because this package must not depend on the command line. */
    private static final String SCHEDULER_MAIN_CLASS = "laneflow.Main";

    private static final Set<Integer> RESERVED_PORTS = ConcurrentHashMap.newKeySet();
    /** Lock file with one byte for each port, so that concurrent runs on this machine choose different ports. */
    private static FileChannel portLocks;

    private final Path folder;
    private final String classPath;
    private final List<Process> processes = new CopyOnWriteArrayList<>();

    public ChildProcesses(Path folder) {
        this.folder = folder;
        classPath = System.getProperty("java.class.path");
        // Kills the children also when this process is ended before close().
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
    }

    /**
     * Reserves a free port on the loopback interface, below the range of ephemeral ports, so that a process
     * that is killed can bind the same port again after a restart.
     */
    public static int freePort() throws IOException {
        for (int i = 0; i < PORT_TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                if (RESERVED_PORTS.add(port) && lockPort(port)) {
                    return socket.getLocalPort();
                }
            } catch (BindException e) {
                // The port is in use: try another one.
                continue;
            }
        }
        throw new IOException("no free port between " + FIRST_PORT + " and " + LAST_PORT);
    }

    private static synchronized boolean lockPort(int port) throws IOException {
        if (portLocks == null) {
            portLocks = FileChannel.open(
                    Path.of(System.getProperty("java.io.tmpdir"), "laneflow-ports-" + System.getProperty("user.name")),
                    StandardOpenOption.CREATE,
                    StandardOpenOption.WRITE);
        }
        // The lock is held until the operating system releases it at the end of this process.
        return portLocks.tryLock(port, 1, false) != null;
    }

    /** Starts a main class of this program; its output is appended to {@code NAME.log}. */
    public Process start(String name, int heapMb, Class<?> main, String... args) throws IOException {
        return start(name, heapMb, List.of(), main, args);
    }

    /** Starts a main class of this program with additional JVM options. */
    public Process start(String name, int heapMb, List<String> jvmOptions, Class<?> main, String... args)
            throws IOException {
        return start(0, name, heapMb, jvmOptions, main.getName(), "", args);
    }

    /** Starts a scheduler with this operators' file. */
    public Process startScheduler(String name, int heapMb, String configFile) throws IOException {
        return startScheduler(0, name, heapMb, List.of(), configFile);
    }

    /** Starts a scheduler whose files cannot grow beyond {@code maxFileBytes}; 0 means no limit. */
    public Process startScheduler(
            long maxFileBytes, String name, int heapMb, List<String> jvmOptions, String configFile) throws IOException {
        return startScheduler(maxFileBytes, name, heapMb, jvmOptions, configFile, "");
    }

    /** Starts a scheduler with a platform file besides the operators' file; an empty name means none. */
    public Process startScheduler(
            long maxFileBytes, String name, int heapMb, List<String> jvmOptions, String configFile, String platformFile)
            throws IOException {
        return start(
                maxFileBytes,
                name,
                heapMb,
                jvmOptions,
                SCHEDULER_MAIN_CLASS,
                platformFile,
                "serve",
                "--config",
                configFile);
    }

    private Process start(
            long maxFileBytes,
            String name,
            int heapMb,
            List<String> jvmOptions,
            String main,
            String platformFile,
            String... args)
            throws IOException {
        List<String> command = new ArrayList<>();
        if (maxFileBytes > 0) {
            command.addAll(List.of("bash", "-c", "ulimit -f " + maxFileBytes / KIB + "; exec \"$@\"", "limited"));
        }
        command.addAll(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:+AlwaysPreTouch",
                "-XX:-UsePerfData",
                "-Xms" + heapMb + "m",
                "-Xmx" + heapMb + "m",
                "-Xshare:auto"));
        command.addAll(jvmOptions);
        command.addAll(List.of("-cp", classPath, main));
        command.addAll(List.of(args));
        File log = folder.resolve(name + ".log").toFile();
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        if (!platformFile.isEmpty()) {
            builder.environment().put("ROUTER_CONFIG", platformFile);
        }
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    /** Waits until the process accepts connections on the port; fails with its log otherwise. */
    public void awaitPort(Process process, String name, int port) throws IOException, InterruptedException {
        for (int i = 0; i < 2000 && process.isAlive(); i++) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                return;
            } catch (IOException e) {
                Thread.sleep(10);
            }
        }
        throw new IOException(name + " does not listen on port " + port + ": " + log(name));
    }

    public String log(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    /** Sends SIGKILL and waits up to 10 seconds for the process to end. */
    public static void kill(Process process) throws InterruptedException {
        process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws InterruptedException {
        for (Process process : processes) {
            kill(process);
        }
    }
}
