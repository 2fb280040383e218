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
 * {@code lab fleet}: five schedulers as processes on this machine, racks of stand-in endpoints, tenants that
 * ask them, and files for maintenance windows, to try by hand what {@code docs/operating-maintenance.md} has.
 * A scheduler that is killed is started again, as a supervisor would.
 */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = "Runs five schedulers with stand-in racks and tenants, until it is ended.")
final class LocalFleet implements Callable<Integer> {
    private static final int SCHEDULERS = 5;
    private static final int VOTERS = 3;
    private static final int RACKS = 8;
    private static final int EACH = 2;
    private static final int RUN_MS = 60;
    private static final int PAUSE_MS = 60;
    private static final int HEAP_MB = 64;
    private static final int AGAIN_MS = 10_000;
    private static final int LOOK_MS = 200;
    private static final String MARK = "made-by-lab-fleet";

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
    private final Map<String, Integer> endpoints = new TreeMap<>();
    private final int[] clients = new int[SCHEDULERS];
    private final int[] links = new int[SCHEDULERS];
    private final int[] views = new int[SCHEDULERS];

    @Override
    public Integer call() throws Exception {
        clear();
        for (int i = 0; i < SCHEDULERS; i++) {
            clients[i] = ChildProcesses.freePort();
            links[i] = ChildProcesses.freePort();
            views[i] = ChildProcesses.freePort();
        }
        for (int i = 0; i < RACKS * EACH; i++) {
            endpoints.put(rack(i / EACH) + "-" + (i % EACH + 1), ChildProcesses.freePort());
        }
        Files.writeString(folder.resolve("members.key"), "the-key-of-this-fleet-1\n");
        requests();
        try (StandInRacks racks = new StandInRacks(endpoints, RUN_MS, false);
                ChildProcesses crew = new ChildProcesses(folder);
                StandInTenants tenants = new StandInTenants(clients, PAUSE_MS, false)) {
            Process[] all = new Process[SCHEDULERS];
            for (int i = 0; i < SCHEDULERS; i++) {
                start(crew, all, i);
            }
            for (int i = 0; i < SCHEDULERS; i++) {
                crew.awaitPort(all[i], name(i), clients[i]);
            }
            tenants.setClients("shops", "basket-check", 12);
            tenants.setClients("web", "basket-check", 6);
            tell(all);
            watch(crew, all);
            return 0;
        }
    }

    /** Only a folder of its own is emptied. */
    private void clear() throws IOException {
        if (Files.isDirectory(folder) && !Files.exists(folder.resolve(MARK))) {
            try (Stream<Path> there = Files.list(folder)) {
                if (there.findAny().isPresent()) {
                    throw new IOException(folder + ": is not empty, and no fleet of this command wrote" + " there");
                }
            }
        } else if (Files.isDirectory(folder)) {
            FileTree.delete(folder);
        }
        Files.createDirectories(folder);
        Files.writeString(folder.resolve(MARK), "emptied at the next start\n");
    }

    private static String name(int i) {
        return "n" + (i + 1);
    }

    /** Four of each zone. */
    private static String rack(int i) {
        return (i < RACKS / 2 ? "a" : "b") + (i % (RACKS / 2) + 1);
    }

    private void start(ChildProcesses crew, Process[] all, int i) throws IOException {
        Path file = folder.resolve(name(i) + ".toml");
        Files.writeString(file, file(i));
        all[i] = crew.startScheduler(name(i), HEAP_MB, file.toString());
        Files.writeString(folder.resolve(name(i) + ".pid"), all[i].pid() + "\n");
    }

    private String file(int i) {
        StringBuilder all = new StringBuilder("name = \"" + name(i) + "\"\nlisten = \"127.0.0.1:" + clients[i]
                + "\"\nzones = [\"a\", \"b\"]\nzone = \"" + (i % 2 == 0 ? "a" : "b")
                + "\"\n\n[classes.basket-check]\naim_ms = 200\ndeadline_ms = 5000\nrepeat = \"safe\"\n\n"
                + "[tenants.shops]\nshare = 2\n[tenants.web]\nshare = 1\nzones = [\"a\"]\n\n");
        endpoints.forEach((name, port) -> all.append(String.format(
                "[endpoints.%s]\ndial = \"127.0.0.1:%d\"\n" + "zone = \"%s\"\nrack = \"%s\"\nslots = 4\n",
                name, port, name.charAt(0), name.substring(0, 2))));
        all.append("\n[fleet]\nlisten = \"127.0.0.1:").append(links[i]).append("\"\n[fleet.peers]\n");
        for (int k = 0; k < SCHEDULERS; k++) {
            all.append(name(k)).append(" = \"127.0.0.1:").append(links[k]).append("\"\n");
        }
        all.append("\n[members]\nlisten = \"127.0.0.1:")
                .append(views[i])
                .append("\"\nseeds = [\"127.0.0.1:")
                .append(views[(i + 1) % SCHEDULERS])
                .append("\", \"127.0.0.1:")
                .append(views[(i + 2) % SCHEDULERS])
                .append("\"]\nallowed = [\"127.0.0.0/8\"]\nkey_file = \"")
                .append(folder.resolve("members.key"))
                .append("\"\n\n[policy]\nvoters = [");
        for (int k = 0; k < VOTERS; k++) {
            all.append(k == 0 ? "\"" : ", \"").append(name(k)).append('"');
        }
        return all.append("]\ndir = \"")
                .append(folder.resolve(name(i) + "-votes"))
                .append("\"\n"
                        + "lease_ms = 1500\ncut_off = \"stop\"\n\n[tasks]\n\n"
                        + "# Times for trying; those left out are for real work.\n"
                        + "[maintenance]\nstep_ms = 1000\nahead_ms = 3600000\ndrain_ms = 10000\nreturn_ms = 5000\n"
                        + "late_ms = 60000\nearly_ms = 1000\nlook_ms = 200\ndemand = 0.5\ndemand_half_ms = 3000\n")
                .toString();
    }

    /** Files that ask for windows within the hour, in this machine's time zone. */
    private void requests() throws IOException {
        LocalDateTime now = LocalDateTime.now().truncatedTo(ChronoUnit.MINUTES);
        String form = "name = \"%s\"\nowner = \"power crew\"\nracks = [%s]\nwork_minutes = 1\n"
                + "abort_minutes = 1\ntime_zone = \"" + ZoneId.systemDefault() + "\"\nearliest = \"" + now
                + "\"\nlatest = \""
                + now.plusMinutes(50) + "\"\n";
        Files.writeString(folder.resolve("power-a1.toml"), String.format(form, "power-a1", "\"a1\""));
        Files.writeString(folder.resolve("power-b2.toml"), String.format(form, "power-b2", "\"b2\""));
        Files.writeString(
                folder.resolve("too-much.toml"), String.format(form, "too-much", "\"a1\", \"a2\", \"a3\", \"a4\""));
    }

    private void tell(Process[] all) throws IOException {
        StringBuilder at = new StringBuilder();
        for (int i = 0; i < SCHEDULERS; i++) {
            at.append(i == 0 ? "" : ",").append("127.0.0.1:").append(links[i]);
            out.printf(
                    "%s  clients at 127.0.0.1:%d, operators at 127.0.0.1:%d, pid %d%n",
                    name(i), clients[i], links[i], all[i].pid());
        }
        Files.writeString(folder.resolve("at"), at + "\n");
        out.printf("%d racks, %d endpoints; tenants shops and web ask all the time%n", RACKS, RACKS * EACH);
        out.printf("files, logs and process ids: %s; operators' addresses: %s%n", folder, folder.resolve("at"));
        out.println("it runs until " + (seconds == 0 ? "Ctrl-C" : seconds + " s have passed"));
        out.flush();
    }

    private void watch(ChildProcesses crew, Process[] all) throws IOException, InterruptedException {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        long[] since = new long[SCHEDULERS];
        while (seconds == 0 || System.nanoTime() < end) {
            for (int i = 0; i < SCHEDULERS; i++) {
                if (all[i].isAlive()) {
                    continue;
                }
                if (since[i] == 0) {
                    since[i] = System.nanoTime();
                    out.println(name(i) + " has ended; it is started again in " + AGAIN_MS / 1000 + " s");
                } else if (System.nanoTime() - since[i] > AGAIN_MS * 1_000_000L) {
                    since[i] = 0;
                    start(crew, all, i);
                    out.println(name(i) + " is started again, pid " + all[i].pid());
                }
                out.flush();
            }
            Thread.sleep(LOOK_MS);
        }
    }
}
