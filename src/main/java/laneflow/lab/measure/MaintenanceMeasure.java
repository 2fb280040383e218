package laneflow.lab.measure;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.PrintStream;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import laneflow.lab.measure.MaintenanceHistory.Call;
import laneflow.lab.measure.MaintenanceHistory.Loss;
import laneflow.lab.measure.MaintenanceHistory.Shown;
import laneflow.lab.measure.MaintenanceHistory.Work;
import laneflow.lab.rig.ChildProcesses;
import laneflow.lab.rig.FileTree;
import laneflow.lab.rig.Rig;
import laneflow.lab.standin.StandInRacks;
import laneflow.lab.standin.StandInTenants;
import laneflow.maintenance.decision.Fairness;
import laneflow.maintenance.decision.Forecast;
import laneflow.maintenance.decision.Inventory;
import laneflow.maintenance.decision.MaintenanceJson;
import laneflow.maintenance.decision.Planner;
import laneflow.maintenance.decision.Request;

/**
 * {@code lab measure maintenance}: five schedulers as processes, three of which vote, stand-in racks and
 * tenants that know nothing of windows, and a crew for each window that asks for leave early and works. In
 * between coordinators and the leader are killed, schedulers cut off, a rack is lost, demand doubled, one
 * crew late, one not there at first, one window called off. Exit code 1 where a promise is broken.
 */
public final class MaintenanceMeasure {
    private static final int SCHEDULERS = 5;
    private static final int VOTERS = 3;
    private static final int RACKS = 8;
    private static final int EACH = 2;
    private static final int RUN_MS = 80;
    private static final int PAUSE_MS = 40;
    private static final long MS = 1_000_000;
    private static final long STEP_MS = 500;
    private static final long DRAIN_MS = 4000;
    private static final long RETURN_MS = 1000;
    private static final long WORK_MS = 1500;
    private static final long AHEAD_MS = 240_000;
    /** A window that is not over so long behind its end is stuck. */
    private static final long STUCK_MS = 30_000;

    private static final double DEMAND = 0.7;
    private static final double TOLERANCE = 0.02;
    private static final List<String> CLASSES = List.of("check", "capture");
    private static final Map<String, Integer> CLASS_OF = Map.of("shops", 0, "web", 0, "mail", 1);
    private static final Map<String, Integer> CLIENTS = Map.of("shops", 8, "web", 3, "mail", 5);
    private static final Set<String> OVER = Set.of("done", "refused", "aborted");

    private final SplittableRandom random;
    private final PrintStream out;
    private final Rig rig;
    private final StandInRacks racks;
    private final StandInTenants tenants;
    private final int windows;
    private final List<Work> works = new CopyOnWriteArrayList<>();
    private final List<Shown> shown = new CopyOnWriteArrayList<>();
    private final Map<String, Shown> now = new ConcurrentHashMap<>();
    private final Map<String, String> why = new ConcurrentHashMap<>();
    private final List<Loss> losses = new ArrayList<>();
    private final List<Long> befell = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean over;
    private int kills;
    private int cuts;
    private long planMs;

    private MaintenanceMeasure(
            long seed, int windows, PrintStream out, Rig rig, StandInRacks racks, StandInTenants tenants) {
        random = new SplittableRandom(seed);
        this.windows = windows;
        this.out = out;
        this.rig = rig;
        this.racks = racks;
        this.tenants = tenants;
    }

    /** Runs all of it; 0 if every promise was kept. */
    public static int run(long seed, boolean large, PrintStream out) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("laneflow-maintenance");
        Map<String, Integer> ports = new TreeMap<>();
        for (int i = 0; i < RACKS * EACH; i++) {
            ports.put(rack(i / EACH) + "-" + (i % EACH + 1), ChildProcesses.freePort());
        }
        try (StandInRacks racks = new StandInRacks(ports, RUN_MS, true);
                Rig rig = new Rig(folder, SCHEDULERS, VOTERS, seed, file(ports))) {
            int[] clients = new int[SCHEDULERS];
            for (int i = 0; i < SCHEDULERS; i++) {
                clients[i] = rig.clientPort(i);
            }
            try (StandInTenants tenants = new StandInTenants(clients, PAUSE_MS, true)) {
                return new MaintenanceMeasure(seed, large ? 3 * RACKS : 2 * RACKS, out, rig, racks, tenants).all();
            }
        } finally {
            FileTree.delete(folder);
        }
    }

    private static String rack(int i) {
        return (i < RACKS / 2 ? "a" : "b") + (i % (RACKS / 2) + 1);
    }

    private static String file(Map<String, Integer> ports) {
        StringBuilder all = new StringBuilder("zones = [\"a\", \"b\"]\n[classes.check]\ndeadline_ms = 3000\n"
                + "repeat = \"safe\"\n[classes.capture]\ndeadline_ms = 3000\n[tenants.shops]\nshare = 2\n"
                + "[tenants.web]\nzones = [\"a\"]\n[tenants.mail]\n");
        ports.forEach((name, port) -> all.append(String.format(
                "[endpoints.%s]\ndial = \"127.0.0.1:%d\"\n" + "zone = \"%s\"\nrack = \"%s\"\nslots = 1\n",
                name, port, name.charAt(0), MaintenanceHistory.rack(name))));
        return all + "[policy]\nvoters = VOTERS\ndir = \"FOLDER\"\nlease_ms = 1000\n[tasks]\n[maintenance]\n"
                + "step_ms = " + STEP_MS + "\nahead_ms = " + AHEAD_MS + "\ndrain_ms = " + DRAIN_MS
                + "\nreturn_ms = " + RETURN_MS + "\ndemand = " + DEMAND + "\ntolerance = " + TOLERANCE
                + "\nlate_ms = 6000\nearly_ms = 500\nlook_ms = 50\nbegin_ms = 4000\noverrun_ms = 1000\n"
                + "give_back_ms = 5000\nlost_ms = 10000\ndemand_half_ms = 1000\naccounts_ms = 1000\n";
    }

    private static Fairness fairness() {
        List<Inventory.Rack> all = new ArrayList<>();
        for (int i = 0; i < RACKS; i++) {
            all.add(new Inventory.Rack(
                    rack(i), rack(i).substring(0, 1), List.of(new Inventory.EndpointGroup(3, EACH, 0))));
        }
        return new Fairness(
                new Inventory(
                        CLASSES,
                        new double[2],
                        all,
                        List.of(
                                new Inventory.Tenant("shops", 2, Set.of(), 3),
                                        new Inventory.Tenant("web", 1, Set.of("a"), 3),
                                new Inventory.Tenant("mail", 1, Set.of(), 3),
                                        new Inventory.Tenant("others", 1, Set.of(), 3))),
                new Fairness.Limits(TOLERANCE, 0.05, 0.001, 7 * 86_400_000.0));
    }

    private int all() throws IOException, InterruptedException {
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        ask(1);
        rig.await(
                "somebody coordinates",
                () -> !show().get("coordinator").getAsString().isEmpty());
        daemon(this::watch);
        List<Request> requests = requests();
        long asked = System.nanoTime();
        ask(requests);
        rig.await(
                "all have a time",
                () -> now.size() == requests.size()
                        && now.values().stream().noneMatch(one -> one.state().equals("requested")));
        planMs = (System.nanoTime() - asked) / MS;
        for (int i = 0; i < requests.size(); i++) {
            Request request = requests.get(i);
            int number = i;
            daemon(() -> crew(request, number));
        }
        faults();
        rig.heal();
        Request last = requests.get(requests.size() - 1);
        while (!isOver() && System.currentTimeMillis() < last.latestMs() + STUCK_MS) {
            Thread.sleep(100);
        }
        over = true;
        for (Thread thread : threads) {
            thread.join();
        }
        tenants.close();
        return tell(requests, asked);
    }

    private boolean isOver() {
        return now.values().stream().allMatch(one -> OVER.contains(one.state()));
    }

    private void daemon(Runnable work) {
        Thread thread = new Thread(work, "crew");
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    private JsonObject show() throws IOException, InterruptedException {
        for (int i : rig.all()) {
            HttpResponse<String> answer = rig.isUp(i) ? asked(i, "/maintenance", null) : null;
            if (answer != null && answer.statusCode() == 200) {
                return JsonParser.parseString(answer.body()).getAsJsonObject();
            }
        }
        throw new IOException("nobody knows now");
    }

    private HttpResponse<String> asked(int i, String path, String body) throws InterruptedException {
        try {
            return rig.request(i, path, body);
        } catch (IOException e) {
            // It is killed, or cut off; another one may know.
            return null;
        }
    }

    /** Writes down what is shown of windows, as often as it is asked. */
    private void watch() {
        try {
            while (!over) {
                try {
                    long at = System.nanoTime();
                    for (JsonElement each : show().getAsJsonArray("windows")) {
                        JsonObject one = each.getAsJsonObject();
                        Shown seen = new Shown(
                                at,
                                one.get("name").getAsString(),
                                one.get("steps").getAsLong(),
                                one.get("state").getAsString());
                        if (seen.state().equals("postponed") || seen.state().equals("refused")) {
                            why.put(
                                    seen.window() + " " + seen.state(),
                                    one.get("reasons").toString());
                        }
                        Shown before = now.put(seen.window(), seen);
                        if (before == null
                                || before.steps() != seen.steps()
                                || !before.state().equals(seen.state())) {
                            shown.add(seen);
                        }
                    }
                } catch (IOException e) {
                    Thread.sleep(50);
                }
                Thread.sleep(100);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private List<Request> requests() {
        List<Request> all = new ArrayList<>();
        long from = System.currentTimeMillis();
        // Somewhat more than they take one behind the other in pairs: what is postponed finds another time.
        long within = windows / 2 * (DRAIN_MS + WORK_MS + RETURN_MS) * 6 / 5 + 5000;
        for (int i = 0; i < windows; i++) {
            all.add(new Request(
                    "w" + i,
                    "crew " + i,
                    List.of(rick(i)),
                    WORK_MS,
                    from,
                    from + within,
                    0,
                    WORK_MS,
                    i % 5 == 4 ? Set.of("power") : Set.of(),
                    List.of()));
        }
        return all;
    }

    /** Both zones by turns, in an order that the seed draws. */
    private String rick(int i) {
        return rack((i % 2) * RACKS / 2 + (i / 2 + random.nextInt(2) * 2) % (RACKS / 2));
    }

    private void ask(List<Request> requests) throws IOException, InterruptedException {
        JsonObject body = new JsonObject();
        JsonArray list = new JsonArray();
        requests.forEach(one -> list.add(MaintenanceJson.write(one)));
        body.add("requests", list);
        rig.await("requests are taken", () -> {
            HttpResponse<String> answer =
                    rig.request(random.nextInt(SCHEDULERS), "/maintenance/requests", body.toString());
            if (answer.statusCode() == 400 || answer.statusCode() == 409) {
                throw new IllegalStateException(answer.body());
            }
            return answer.statusCode() == 200;
        });
    }

    // ---- crews ----

    private boolean order(String name, String what) throws InterruptedException {
        for (int i : rig.all()) {
            HttpResponse<String> answer =
                    !rig.isUp(i) ? null : asked(i, "/maintenance/windows/" + name, "{\"do\":\"" + what + "\"}");
            if (answer != null && answer.statusCode() < 500) {
                return answer.statusCode() == 200;
            }
        }
        return false;
    }

    /** Asks for leave far too early and all the time, works, says so; the third is late, the fifth absent. */
    private void crew(Request request, int number) {
        String name = request.name();
        boolean isAbsent = number == 4;
        try {
            while (!over && !OVER.contains(now.get(name).state())) {
                String state = now.get(name).state();
                boolean asks = state.equals("announced") || state.equals("draining") || state.equals("down");
                if (isAbsent && state.equals("returning")) {
                    isAbsent = false;
                }
                if (!asks || isAbsent || !order(name, "begin")) {
                    Thread.sleep(100);
                    continue;
                }
                long began = System.nanoTime();
                Thread.sleep(number == 2 ? WORK_MS + 9000 : WORK_MS);
                long finished = System.nanoTime();
                works.add(new Work(name, request.racks(), began, finished));
                while (!order(name, "finish") && !over) {
                    Thread.sleep(100);
                }
                while (!over && now.get(name).state().equals("down")) {
                    Thread.sleep(50);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- faults ----

    private void faults() throws IOException, InterruptedException {
        pause(2000);
        order("w" + (windows - 1), "abort");
        kill(coordinator());
        doubled();
        cut(coordinator());
        lose();
        kill(rig.leader());
        cut(random.nextInt(SCHEDULERS));
        kill(coordinator());
    }

    private void pause(long least) throws InterruptedException {
        Thread.sleep(least + random.nextInt(1500));
    }

    private int coordinator() throws IOException, InterruptedException {
        int[] one = {-1};
        rig.await("somebody coordinates", () -> {
            String name = show().get("coordinator").getAsString().split("#")[0];
            one[0] = name.isEmpty() ? -1 : Integer.parseInt(name.substring(1)) - 1;
            return one[0] >= 0 && rig.isUp(one[0]);
        });
        return one[0];
    }

    private void kill(int one) throws IOException, InterruptedException {
        if (one < 0) {
            return;
        }
        kills++;
        rig.kill(one);
        pause(2000);
        rig.start(one);
        pause(1500);
    }

    /** One hears nobody and is heard by nobody. */
    private void cut(int one) throws IOException, InterruptedException {
        cuts++;
        rig.isolate(List.of(one));
        pause(2500);
        rig.heal();
        pause(1500);
    }

    private void doubled() throws InterruptedException {
        befell.add(System.nanoTime());
        ask(2);
        pause(5000);
        ask(1);
    }

    private void ask(int times) {
        CLIENTS.forEach(
                (tenant, clients) -> tenants.setClients(tenant, CLASSES.get(CLASS_OF.get(tenant)), times * clients));
    }

    private void lose() throws IOException, InterruptedException {
        String rack = rack(random.nextInt(RACKS));
        long from = System.nanoTime();
        befell.add(from);
        for (int i = 1; i <= EACH; i++) {
            racks.stopEndpoint(rack + "-" + i);
        }
        pause(4000);
        for (int i = 1; i <= EACH; i++) {
            racks.startEndpoint(rack + "-" + i);
        }
        losses.add(new Loss(rack, from, System.nanoTime()));
    }

    // ---- what came of it ----

    private Planner.Input input(Fairness fairness, List<Request> requests) {
        Inventory inventory = fairness.inventory();
        double[][] demand = new double[inventory.tenants().size()][CLASSES.size()];
        for (int t = 0; t < demand.length; t++) {
            for (int k = 0; k < CLASSES.size(); k++) {
                demand[t][k] = inventory.entitlement(t) * DEMAND / CLASSES.size();
            }
        }
        return new Planner.Input(
                new Planner.Parameters(
                        requests.get(0).earliestMs(),
                        STEP_MS,
                        (int) (AHEAD_MS / STEP_MS),
                        DRAIN_MS,
                        RETURN_MS,
                        0,
                        1500),
                new Forecast(0, 1L << 40, List.<double[][]>of(demand)),
                requests,
                List.of(),
                null,
                List.of(),
                List.of(),
                0,
                null);
    }

    /** How many of the racks could be away at once by what is foreseen; both zones by turns. */
    private int together(Fairness fairness, Planner.Input input) {
        double[] due = fairness.due(input.forecast().demands().get(0));
        Set<Integer> away = new HashSet<>();
        for (int i = 0; i < RACKS; i++) {
            away.add(fairness.inventory().rackIndex(rack((i % 2) * RACKS / 2 + i / 2)));
            if (!fairness.isFair(due, fairness.inventory().slotsWithout(away), null)) {
                return i;
            }
        }
        return RACKS;
    }

    private long ended(String state) {
        return now.values().stream().filter(one -> one.state().equals(state)).count();
    }

    private int tell(List<Request> requests, long asked) {
        Fairness fairness = fairness();
        List<Call> calls = new ArrayList<>();
        racks.calls().forEach(one -> calls.add(new Call(one.endpoint, one.owner, one.job, one.beganNs, one.endedNs())));
        MaintenanceHistory history = new MaintenanceHistory(fairness, CLASS_OF, calls, works);
        history.crews();
        history.jobs(tenants.completedJobs(), Set.of("mail"));
        history.steps(shown);
        history.instants(losses, befell);
        history.found().forEach(out::println);
        new TreeMap<>(why).forEach((window, reasons) -> out.println(window + ": " + reasons));
        long stuck = requests.size() - ended("done") - ended("refused") - ended("aborted");
        Map<String, Long> postponed = new HashMap<>();
        shown.stream()
                .filter(one -> one.state().equals("postponed"))
                .forEach(one -> postponed.put(one.window(), one.steps()));
        Planner.Input input = input(fairness, requests);
        int planned = Planner.plan(fairness, input).windows().size();
        int first =
                Planner.firstComeFirstServed(fairness, input, false).windows().size();
        int alone =
                Planner.firstComeFirstServed(fairness, input, true).windows().size();
        long last = works.stream().mapToLong(Work::finishedNs).max().orElse(asked);
        double bound = ended("done") * (double) (DRAIN_MS + WORK_MS + RETURN_MS) / together(fairness, input);
        int lost = history.lost() + tenants.timeouts();
        out.printf(
                Locale.ROOT,
                "requests: answered=%d turned_away=%d connections_broken=%d calls=%d%n",
                tenants.completedJobs().size(),
                tenants.errorResponses(),
                tenants.brokenConnections(),
                calls.size());
        out.printf(
                Locale.ROOT,
                "baselines by the same planner's terms, without faults: ours=%d first_come=%d"
                        + " one_at_a_time=%d of %d%n",
                planned,
                first,
                alone,
                requests.size());
        out.printf(
                Locale.ROOT,
                "maintenance: schedulers=%d racks=%d tenants=%d windows=%d done=%d"
                        + " postponed=%d aborted=%d kills=%d cuts=%d begun_without_leave=%d sent_to_down=%d"
                        + " unfair_instants=%d worst_loss_over_fair=%.2f account_spread=%.2f lost=%d twice=%d"
                        + " double_steps=%d stuck=%d plan_ms=%d makespan_over_bound=%.2f%n",
                SCHEDULERS,
                RACKS,
                CLASS_OF.size(),
                requests.size(),
                ended("done"),
                postponed.size(),
                ended("aborted"),
                kills,
                cuts,
                history.withoutLeave(),
                history.sentToDown(),
                history.unfair(),
                history.worst(),
                history.spread(),
                lost,
                history.twice(),
                history.doubleSteps(),
                stuck,
                planMs,
                bound == 0 ? 0 : (last - asked) / MS / bound);
        return history.found().isEmpty() && lost == 0 && stuck == 0 ? 0 : 1;
    }
}
