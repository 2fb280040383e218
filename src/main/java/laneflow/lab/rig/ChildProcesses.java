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

/** The processes of a measurement: started from this program's own jar, and ended by it, whatever happens. */
public final class ChildProcesses implements AutoCloseable {
    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 32_000;
    private static final int PORT_TRIES = 1000;
    private static final int KIB = 1024;
    /** The program as users start it: by its name, since nothing here may depend on the command line. */
    private static final String PROGRAM = "laneflow.Main";

    private static final Set<Integer> GIVEN = ConcurrentHashMap.newKeySet();
    /** A byte for each port, locked until its taker ends: others on this machine pass it over. */
    private static FileChannel taken;

    private final Path folder;
    private final String classPath;
    private final List<Process> all = new CopyOnWriteArrayList<>();

    public ChildProcesses(Path folder) {
        this.folder = folder;
        classPath = System.getProperty("java.class.path");
        // Also where the measurement itself is ended early.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> all.forEach(Process::destroyForcibly)));
    }

    /**
     * A port of the loopback interface that is free now, and that the system gives to nobody by itself: a
     * process that is killed must find its own again.
     */
    public static int freePort() throws IOException {
        for (int i = 0; i < PORT_TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                if (GIVEN.add(port) && take(port)) {
                    return socket.getLocalPort();
                }
            } catch (BindException e) {
                // Somebody else's: another one.
                continue;
            }
        }
        throw new IOException("no free port between " + FIRST_PORT + " and " + LAST_PORT);
    }

    private static synchronized boolean take(int port) throws IOException {
        if (taken == null) {
            taken = FileChannel.open(
                    Path.of(System.getProperty("java.io.tmpdir"), "laneflow-ports-" + System.getProperty("user.name")),
                    StandardOpenOption.CREATE,
                    StandardOpenOption.WRITE);
        }
        // Never released here: the system does it when this process ends.
        return taken.tryLock(port, 1, false) != null;
    }

    /** Starts a class of this program; its output goes to a file of that name. */
    public Process start(String name, int heapMb, Class<?> main, String... args) throws IOException {
        return start(name, heapMb, List.of(), main, args);
    }

    /** The same with further options of the virtual machine. */
    public Process start(String name, int heapMb, List<String> options, Class<?> main, String... args)
            throws IOException {
        return start(0, name, heapMb, options, main.getName(), "", args);
    }

    /** Starts a scheduler by the operators' file of that name. */
    public Process startScheduler(String name, int heapMb, String file) throws IOException {
        return startScheduler(0, name, heapMb, List.of(), file);
    }

    /** The same for a process none of whose files may grow beyond so many bytes; 0: no limit. */
    public Process startScheduler(long mostBytes, String name, int heapMb, List<String> options, String file)
            throws IOException {
        return startScheduler(mostBytes, name, heapMb, options, file, "");
    }

    /** The same with the platform's file beside the operators', unless that is empty. */
    public Process startScheduler(
            long mostBytes, String name, int heapMb, List<String> options, String file, String platform)
            throws IOException {
        return start(mostBytes, name, heapMb, options, PROGRAM, platform, "serve", "--config", file);
    }

    private Process start(
            long mostBytes, String name, int heapMb, List<String> options, String main, String platform, String... args)
            throws IOException {
        List<String> line = new ArrayList<>();
        if (mostBytes > 0) {
            line.addAll(List.of("bash", "-c", "ulimit -f " + mostBytes / KIB + "; exec \"$@\"", "limited"));
        }
        line.addAll(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:+AlwaysPreTouch",
                "-XX:-UsePerfData",
                "-Xms" + heapMb + "m",
                "-Xmx" + heapMb + "m",
                "-Xshare:auto"));
        line.addAll(options);
        line.addAll(List.of("-cp", classPath, main));
        line.addAll(List.of(args));
        File log = folder.resolve(name + ".log").toFile();
        ProcessBuilder builder = new ProcessBuilder(line)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        if (!platform.isEmpty()) {
            builder.environment().put("ROUTER_CONFIG", platform);
        }
        Process process = builder.start();
        all.add(process);
        return process;
    }

    /** Waits until a process that was started under that name listens there. */
    public void awaitPort(Process process, String name, int port) throws IOException, InterruptedException {
        for (int i = 0; i < 2000 && process.isAlive(); i++) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                return;
            } catch (IOException e) {
                Thread.sleep(10);
            }
        }
        throw new IOException(name + " did not come up at port " + port + ": " + log(name));
    }

    public String log(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    /** SIGKILL, and waits until it is gone. */
    public static void kill(Process process) throws InterruptedException {
        process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws InterruptedException {
        for (Process process : all) {
            kill(process);
        }
    }
}
