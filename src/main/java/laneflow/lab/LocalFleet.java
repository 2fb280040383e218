package laneflow.lab;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.temporal.ChronoUnit;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import laneflow.lab.rig.ChildProcesses;
import laneflow.lab.rig.FileTree;
import laneflow.lab.standin.StandInRacks;
import laneflow.lab.standin.StandInTenants;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * {@code lab fleet}: runs five scheduler processes, racks of stand-in endpoints and tenants that send
 * requests, and writes request files for maintenance windows, to try by hand what
 * {@code docs/operating-maintenance.md} describes. A scheduler that is killed is restarted, as a supervisor
 * would do.
 */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = "Runs five schedulers with stand-in racks and tenants, until it is ended.")
final class LocalFleet implements Callable<Integer> {
    private static final int SCHEDULERS = 5;
    private static final int VOTERS = 3;
    private static final int RACKS = 8;
    private static final int ENDPOINTS_PER_RACK = 2;
    private static final int JOB_RUN_MS = 60;
    private static final int TENANT_PAUSE_MS = 60;
    private static final int HEAP_MB = 64;
    private static final int RESTART_DELAY_MS = 10_000;
    private static final int POLL_INTERVAL_MS = 200;
    private static final String MARKER_FILE = "made-by-lab-fleet";

    @Option(
            names = "--folder",
            paramLabel = "DIR",
            description = "Where its files are written, anew at each start (default: ${DEFAULT-VALUE}).")
    private Path folder = Path.of("target/fleet");

    @Option(
            names = "--seconds",
            paramLabel = "N",
            description = "End after so long; 0: at Ctrl-C (default: ${DEFAULT-VALUE}).")
    private long seconds;

    private final PrintStream out = System.out;
    private final Map<String, Integer> endpointPorts = new TreeMap<>();
    private final int[] clientPorts = new int[SCHEDULERS];
    private final int[] fleetPorts = new int[SCHEDULERS];
    private final int[] memberPorts = new int[SCHEDULERS];

    @Override
    public Integer call() throws Exception {
        prepareFolder();
        for (int i = 0; i < SCHEDULERS; i++) {
            clientPorts[i] = ChildProcesses.freePort();
            fleetPorts[i] = ChildProcesses.freePort();
            memberPorts[i] = ChildProcesses.freePort();
        }
        for (int i = 0; i < RACKS * ENDPOINTS_PER_RACK; i++) {
            endpointPorts.put(
                    rackName(i / ENDPOINTS_PER_RACK) + "-" + (i % ENDPOINTS_PER_RACK + 1), ChildProcesses.freePort());
        }
        Files.writeString(folder.resolve("members.key"), "the-key-of-this-fleet-1\n");
        writeWindowRequests();
        try (StandInRacks racks = new StandInRacks(endpointPorts, JOB_RUN_MS, false);
                ChildProcesses crew = new ChildProcesses(folder);
                StandInTenants tenants = new StandInTenants(clientPorts, TENANT_PAUSE_MS, false)) {
            Process[] schedulers = new Process[SCHEDULERS];
            for (int i = 0; i < SCHEDULERS; i++) {
                start(crew, schedulers, i);
            }
            for (int i = 0; i < SCHEDULERS; i++) {
                crew.awaitPort(schedulers[i], schedulerName(i), clientPorts[i]);
            }
            tenants.setClients("shops", "basket-check", 12);
            tenants.setClients("web", "basket-check", 6);
            printAddresses(schedulers);
            restartWhenEnded(crew, schedulers);
            return 0;
        }
    }

    /** Creates the folder, or empties it if an earlier run of this command wrote it. */
    private void prepareFolder() throws IOException {
        if (Files.isDirectory(folder) && !Files.exists(folder.resolve(MARKER_FILE))) {
            try (Stream<Path> files = Files.list(folder)) {
                if (files.findAny().isPresent()) {
                    throw new IOException(folder + ": the folder is not empty, and was not written by" + " lab fleet");
                }
            }
        } else if (Files.isDirectory(folder)) {
            FileTree.delete(folder);
        }
        Files.createDirectories(folder);
        Files.writeString(folder.resolve(MARKER_FILE), "emptied at the next start\n");
    }

    private static String schedulerName(int i) {
        return "n" + (i + 1);
    }

    /** Returns the rack's name: its zone and a number; half of the racks are in each zone. */
    private static String rackName(int i) {
        return (i < RACKS / 2 ? "a" : "b") + (i % (RACKS / 2) + 1);
    }

    private void start(ChildProcesses crew, Process[] schedulers, int index) throws IOException {
        Path configFile = folder.resolve(schedulerName(index) + ".toml");
        Files.writeString(configFile, configText(index));
        schedulers[index] = crew.startScheduler(schedulerName(index), HEAP_MB, configFile.toString());
        Files.writeString(folder.resolve(schedulerName(index) + ".pid"), schedulers[index].pid() + "\n");
    }

    private String configText(int index) {
        StringBuilder text =
                new StringBuilder("name = \"" + schedulerName(index) + "\"\nlisten = \"127.0.0.1:" + clientPorts[index]
                        + "\"\nzones = [\"a\", \"b\"]\nzone = \"" + (index % 2 == 0 ? "a" : "b")
                        + "\"\n\n[classes.basket-check]\naim_ms = 200\ndeadline_ms = 5000\nrepeat = \"safe\"\n\n"
                        + "[tenants.shops]\nshare = 2\n[tenants.web]\nshare = 1\nzones = [\"a\"]\n\n");
        endpointPorts.forEach((name, port) -> text.append(String.format(
                "[endpoints.%s]\ndial = \"127.0.0.1:%d\"\n" + "zone = \"%s\"\nrack = \"%s\"\nslots = 4\n",
                name, port, name.charAt(0), name.substring(0, 2))));
        text.append("\n[fleet]\nlisten = \"127.0.0.1:")
                .append(fleetPorts[index])
                .append("\"\n[fleet.peers]\n");
        for (int other = 0; other < SCHEDULERS; other++) {
            text.append(schedulerName(other))
                    .append(" = \"127.0.0.1:")
                    .append(fleetPorts[other])
                    .append("\"\n");
        }
        text.append("\n[members]\nlisten = \"127.0.0.1:")
                .append(memberPorts[index])
                .append("\"\nseeds = [\"127.0.0.1:")
                .append(memberPorts[(index + 1) % SCHEDULERS])
                .append("\", \"127.0.0.1:")
                .append(memberPorts[(index + 2) % SCHEDULERS])
                .append("\"]\nallowed = [\"127.0.0.0/8\"]\nkey_file = \"")
                .append(folder.resolve("members.key"))
                .append("\"\n\n[policy]\nvoters = [");
        for (int other = 0; other < VOTERS; other++) {
            text.append(other == 0 ? "\"" : ", \"").append(schedulerName(other)).append('"');
        }
        return text.append("]\ndir = \"")
                .append(folder.resolve(schedulerName(index) + "-votes"))
                .append("\"\n"
                        + "lease_ms = 1500\ncut_off = \"stop\"\n\n[tasks]\n\n"
                        + "# Times for trying; those left out are for real work.\n"
                        + "[maintenance]\nstep_ms = 1000\nahead_ms = 3600000\ndrain_ms = 10000\nreturn_ms = 5000\n"
                        + "late_ms = 60000\nearly_ms = 1000\nlook_ms = 200\ndemand = 0.5\ndemand_half_ms = 3000\n")
                .toString();
    }

    /** Writes files that request maintenance windows within the next hour, in the local time zone. */
    private void writeWindowRequests() throws IOException {
        LocalDateTime now = LocalDateTime.now().truncatedTo(ChronoUnit.MINUTES);
        String format = "name = \"%s\"\nowner = \"power crew\"\nracks = [%s]\nwork_minutes = 1\n"
                + "abort_minutes = 1\ntime_zone = \"" + ZoneId.systemDefault() + "\"\nearliest = \"" + now
                + "\"\nlatest = \""
                + now.plusMinutes(50) + "\"\n";
        Files.writeString(folder.resolve("power-a1.toml"), String.format(format, "power-a1", "\"a1\""));
        Files.writeString(folder.resolve("power-b2.toml"), String.format(format, "power-b2", "\"b2\""));
        Files.writeString(
                folder.resolve("too-much.toml"), String.format(format, "too-much", "\"a1\", \"a2\", \"a3\", \"a4\""));
    }

    private void printAddresses(Process[] schedulers) throws IOException {
        StringBuilder operatorAddresses = new StringBuilder();
        for (int i = 0; i < SCHEDULERS; i++) {
            operatorAddresses.append(i == 0 ? "" : ",").append("127.0.0.1:").append(fleetPorts[i]);
            out.printf(
                    "%s  clients at 127.0.0.1:%d, operators at 127.0.0.1:%d, pid %d%n",
                    schedulerName(i), clientPorts[i], fleetPorts[i], schedulers[i].pid());
        }
        Files.writeString(folder.resolve("at"), operatorAddresses + "\n");
        out.printf(
                "%d racks, %d endpoints; tenants shops and web send requests continuously%n",
                RACKS, RACKS * ENDPOINTS_PER_RACK);
        out.printf("files, logs and process ids: %s; operators' addresses: %s%n", folder, folder.resolve("at"));
        out.println("runs until " + (seconds == 0 ? "Ctrl-C" : seconds + " s have passed"));
        out.flush();
    }

    private void restartWhenEnded(ChildProcesses crew, Process[] schedulers) throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + seconds * 1_000_000_000L;
        long[] endedAtNanos = new long[SCHEDULERS];
        while (seconds == 0 || System.nanoTime() < endNanos) {
            for (int i = 0; i < SCHEDULERS; i++) {
                if (schedulers[i].isAlive()) {
                    continue;
                }
                if (endedAtNanos[i] == 0) {
                    endedAtNanos[i] = System.nanoTime();
                    out.println(
                            schedulerName(i) + " has ended; it will be restarted in " + RESTART_DELAY_MS / 1000 + " s");
                } else if (System.nanoTime() - endedAtNanos[i] > RESTART_DELAY_MS * 1_000_000L) {
                    endedAtNanos[i] = 0;
                    start(crew, schedulers, i);
                    out.println(schedulerName(i) + " was restarted, pid " + schedulers[i].pid());
                }
                out.flush();
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }
}
