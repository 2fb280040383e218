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
import laneflow.lab.measure.MaintenanceHistory.Observation;
import laneflow.lab.measure.MaintenanceHistory.WorkPeriod;
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
 * {@code lab measure maintenance}: runs five scheduler processes, three of them voters, with stand-in racks
 * and tenants that know nothing of windows, and a crew for each window that asks early for permission to
 * begin. Meanwhile it kills coordinators and the leader, partitions schedulers, loses a rack and doubles the
 * demand; one crew is late, one is absent at first, and one window is aborted. Exit code 1 if a guarantee is
 * broken.
 */
public final class MaintenanceMeasure {
    private static final int SCHEDULERS = 5;
    private static final int VOTERS = 3;
    private static final int RACKS = 8;
    private static final int ENDPOINTS_PER_RACK = 2;
    private static final int JOB_MS = 80;
    private static final int PAUSE_MS = 40;
    private static final long MS = 1_000_000;
    private static final long STEP_MS = 500;
    private static final long DRAIN_MS = 4000;
    private static final long RETURN_MS = 1000;
    private static final long WORK_MS = 1500;
    private static final long HORIZON_MS = 240_000;
    /** A window that is not in a final state this long after its latest end counts as stuck. */
    private static final long STUCK_AFTER_MS = 30_000;

    private static final double DEMAND = 0.7;
    private static final double TOLERANCE = 0.02;
    private static final List<String> CLASSES = List.of("check", "capture");
    private static final Map<String, Integer> CLASS_BY_TENANT = Map.of("shops", 0, "web", 0, "mail", 1);
    private static final Map<String, Integer> CLIENTS = Map.of("shops", 8, "web", 3, "mail", 5);
    private static final Set<String> FINAL_STATES = Set.of("done", "refused", "aborted");

    private final SplittableRandom random;
    private final PrintStream out;
    private final Rig rig;
    private final StandInRacks racks;
    private final StandInTenants tenants;
    private final int windows;
    private final List<WorkPeriod> workPeriods = new CopyOnWriteArrayList<>();
    private final List<Observation> observations = new CopyOnWriteArrayList<>();
    private final Map<String, Observation> latest = new ConcurrentHashMap<>();
    private final Map<String, String> reasons = new ConcurrentHashMap<>();
    private final List<Loss> losses = new ArrayList<>();
    private final List<Long> disturbances = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;
    private int kills;
    private int partitions;
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

    /** Runs the measurement and returns the exit code: 0 if every guarantee was kept. */
    public static int run(long seed, boolean large, PrintStream out) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("laneflow-maintenance");
        Map<String, Integer> ports = new TreeMap<>();
        for (int i = 0; i < RACKS * ENDPOINTS_PER_RACK; i++) {
            ports.put(rack(i / ENDPOINTS_PER_RACK) + "-" + (i % ENDPOINTS_PER_RACK + 1), ChildProcesses.freePort());
        }
        try (StandInRacks racks = new StandInRacks(ports, JOB_MS, true);
                Rig rig = new Rig(folder, SCHEDULERS, VOTERS, seed, configFile(ports))) {
            int[] clients = new int[SCHEDULERS];
            for (int i = 0; i < SCHEDULERS; i++) {
                clients[i] = rig.clientPort(i);
            }
            try (StandInTenants tenants = new StandInTenants(clients, PAUSE_MS, true)) {
                return new MaintenanceMeasure(seed, large ? 3 * RACKS : 2 * RACKS, out, rig, racks, tenants).runAll();
            }
        } finally {
            FileTree.delete(folder);
        }
    }

    private static String rack(int i) {
        return (i < RACKS / 2 ? "a" : "b") + (i % (RACKS / 2) + 1);
    }

    private static String configFile(Map<String, Integer> ports) {
        StringBuilder settings = new StringBuilder("zones = [\"a\", \"b\"]\n[classes.check]\ndeadline_ms = 3000\n"
                + "repeat = \"safe\"\n[classes.capture]\ndeadline_ms = 3000\n[tenants.shops]\nshare = 2\n"
                + "[tenants.web]\nzones = [\"a\"]\n[tenants.mail]\n");
        ports.forEach((name, port) -> settings.append(String.format(
                "[endpoints.%s]\ndial = \"127.0.0.1:%d\"\n" + "zone = \"%s\"\nrack = \"%s\"\nslots = 1\n",
                name, port, name.charAt(0), MaintenanceHistory.rack(name))));
        return settings + "[policy]\nvoters = VOTERS\ndir = \"FOLDER\"\nlease_ms = 1000\n[tasks]\n[maintenance]\n"
                + "step_ms = " + STEP_MS + "\nahead_ms = " + HORIZON_MS + "\ndrain_ms = " + DRAIN_MS
                + "\nreturn_ms = " + RETURN_MS + "\ndemand = " + DEMAND + "\ntolerance = " + TOLERANCE
                + "\nlate_ms = 6000\nearly_ms = 500\nlook_ms = 50\nbegin_ms = 4000\noverrun_ms = 1000\n"
                + "give_back_ms = 5000\nlost_ms = 10000\ndemand_half_ms = 1000\naccounts_ms = 1000\n";
    }

    private static Fairness fairness() {
        List<Inventory.Rack> inventoryRacks = new ArrayList<>();
        for (int i = 0; i < RACKS; i++) {
            inventoryRacks.add(new Inventory.Rack(
                    rack(i), rack(i).substring(0, 1), List.of(new Inventory.EndpointGroup(3, ENDPOINTS_PER_RACK, 0))));
        }
        return new Fairness(
                new Inventory(
                        CLASSES,
                        new double[2],
                        inventoryRacks,
                        List.of(
                                new Inventory.Tenant("shops", 2, Set.of(), 3),
                                        new Inventory.Tenant("web", 1, Set.of("a"), 3),
                                new Inventory.Tenant("mail", 1, Set.of(), 3),
                                        new Inventory.Tenant("others", 1, Set.of(), 3))),
                new Fairness.Limits(TOLERANCE, 0.05, 0.001, 7 * 86_400_000.0));
    }

    private int runAll() throws IOException, InterruptedException {
        rig.startAll();
        rig.awaitDeciding(0, rig.all());
        setDemand(1);
        rig.await(
                "a coordinator",
                () -> !maintenanceStatus().get("coordinator").getAsString().isEmpty());
        startDaemon(this::pollWindows);
        List<Request> requests = requests();
        long requestedNs = System.nanoTime();
        submit(requests);
        rig.await(
                "a planned time for every window",
                () -> latest.size() == requests.size()
                        && latest.values().stream()
                                .noneMatch(observation -> observation.state().equals("requested")));
        planMs = (System.nanoTime() - requestedNs) / MS;
        for (int i = 0; i < requests.size(); i++) {
            Request request = requests.get(i);
            int number = i;
            startDaemon(() -> runCrew(request, number));
        }
        injectFaults();
        rig.heal();
        Request lastRequest = requests.get(requests.size() - 1);
        while (!isFinished() && System.currentTimeMillis() < lastRequest.latestMs() + STUCK_AFTER_MS) {
            Thread.sleep(100);
        }
        stopped = true;
        for (Thread thread : threads) {
            thread.join();
        }
        tenants.close();
        return report(requests, requestedNs);
    }

    private boolean isFinished() {
        return latest.values().stream().allMatch(observation -> FINAL_STATES.contains(observation.state()));
    }

    private void startDaemon(Runnable work) {
        Thread thread = new Thread(work, "crew");
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    private JsonObject maintenanceStatus() throws IOException, InterruptedException {
        for (int i : rig.all()) {
            HttpResponse<String> response = rig.isUp(i) ? tryAsk(i, "/maintenance", null) : null;
            if (response != null && response.statusCode() == 200) {
                return JsonParser.parseString(response.body()).getAsJsonObject();
            }
        }
        throw new IOException("no scheduler answered GET /maintenance with status 200");
    }

    private HttpResponse<String> tryAsk(int i, String path, String body) throws InterruptedException {
        try {
            return rig.request(i, path, body);
        } catch (IOException e) {
            // This scheduler is killed or partitioned; the caller tries another one.
            return null;
        }
    }

    /** Polls the state of all windows and records every change of it. */
    private void pollWindows() {
        try {
            while (!stopped) {
                try {
                    long at = System.nanoTime();
                    for (JsonElement element : maintenanceStatus().getAsJsonArray("windows")) {
                        JsonObject window = element.getAsJsonObject();
                        Observation observation = new Observation(
                                at,
                                window.get("name").getAsString(),
                                window.get("steps").getAsLong(),
                                window.get("state").getAsString());
                        if (observation.state().equals("postponed")
                                || observation.state().equals("refused")) {
                            reasons.put(
                                    observation.window() + " " + observation.state(),
                                    window.get("reasons").toString());
                        }
                        Observation previous = latest.put(observation.window(), observation);
                        if (previous == null
                                || previous.steps() != observation.steps()
                                || !previous.state().equals(observation.state())) {
                            observations.add(observation);
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
        List<Request> requests = new ArrayList<>();
        long from = System.currentTimeMillis();
        // A fifth more than all windows take when two at a time run, so that a postponed one can be planned again.
        long within = windows / 2 * (DRAIN_MS + WORK_MS + RETURN_MS) * 6 / 5 + 5000;
        for (int i = 0; i < windows; i++) {
            requests.add(new Request(
                    "w" + i,
                    "crew " + i,
                    List.of(rackOfWindow(i)),
                    WORK_MS,
                    from,
                    from + within,
                    0,
                    WORK_MS,
                    i % 5 == 4 ? Set.of("power") : Set.of(),
                    List.of()));
        }
        return requests;
    }

    /** The rack of a window: alternates between the two zones; the seed decides the order in each zone. */
    private String rackOfWindow(int i) {
        return rack((i % 2) * RACKS / 2 + (i / 2 + random.nextInt(2) * 2) % (RACKS / 2));
    }

    private void submit(List<Request> requests) throws IOException, InterruptedException {
        JsonObject body = new JsonObject();
        JsonArray list = new JsonArray();
        requests.forEach(request -> list.add(MaintenanceJson.write(request)));
        body.add("requests", list);
        rig.await("the requests are accepted", () -> {
            HttpResponse<String> response =
                    rig.request(random.nextInt(SCHEDULERS), "/maintenance/requests", body.toString());
            if (response.statusCode() == 400 || response.statusCode() == 409) {
                throw new IllegalStateException(response.body());
            }
            return response.statusCode() == 200;
        });
    }

    // ---- crews ----

    private boolean sendCommand(String name, String command) throws InterruptedException {
        for (int i : rig.all()) {
            HttpResponse<String> response =
                    !rig.isUp(i) ? null : tryAsk(i, "/maintenance/windows/" + name, "{\"do\":\"" + command + "\"}");
            if (response != null && response.statusCode() < 500) {
                return response.statusCode() == 200;
            }
        }
        return false;
    }

    /**
     * A crew: asks repeatedly for permission to begin, from long before its start, works, and reports that it
     * has finished. The third crew finishes late; the fifth is absent at its first start.
     */
    private void runCrew(Request request, int number) {
        String name = request.name();
        boolean isAbsent = number == 4;
        try {
            while (!stopped && !FINAL_STATES.contains(latest.get(name).state())) {
                String state = latest.get(name).state();
                boolean mayBegin = state.equals("announced") || state.equals("draining") || state.equals("down");
                if (isAbsent && state.equals("returning")) {
                    isAbsent = false;
                }
                if (!mayBegin || isAbsent || !sendCommand(name, "begin")) {
                    Thread.sleep(100);
                    continue;
                }
                long began = System.nanoTime();
                Thread.sleep(number == 2 ? WORK_MS + 9000 : WORK_MS);
                long finished = System.nanoTime();
                workPeriods.add(new WorkPeriod(name, request.racks(), began, finished));
                while (!sendCommand(name, "finish") && !stopped) {
                    Thread.sleep(100);
                }
                while (!stopped && latest.get(name).state().equals("down")) {
                    Thread.sleep(50);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- faults ----

    private void injectFaults() throws IOException, InterruptedException {
        pause(2000);
        sendCommand("w" + (windows - 1), "abort");
        kill(coordinator());
        doubleDemand();
        partition(coordinator());
        loseRack();
        kill(rig.leader());
        partition(random.nextInt(SCHEDULERS));
        kill(coordinator());
    }

    private void pause(long minMs) throws InterruptedException {
        Thread.sleep(minMs + random.nextInt(1500));
    }

    private int coordinator() throws IOException, InterruptedException {
        int[] index = {-1};
        rig.await("a coordinator that runs", () -> {
            String name = maintenanceStatus().get("coordinator").getAsString().split("#")[0];
            index[0] = name.isEmpty() ? -1 : Integer.parseInt(name.substring(1)) - 1;
            return index[0] >= 0 && rig.isUp(index[0]);
        });
        return index[0];
    }

    private void kill(int index) throws IOException, InterruptedException {
        if (index < 0) {
            return;
        }
        kills++;
        rig.kill(index);
        pause(2000);
        rig.start(index);
        pause(1500);
    }

    /** Cuts a scheduler off from all others in both directions for a while. */
    private void partition(int index) throws IOException, InterruptedException {
        partitions++;
        rig.isolate(List.of(index));
        pause(2500);
        rig.heal();
        pause(1500);
    }

    private void doubleDemand() throws InterruptedException {
        disturbances.add(System.nanoTime());
        setDemand(2);
        pause(5000);
        setDemand(1);
    }

    private void setDemand(int factor) {
        CLIENTS.forEach((tenant, clients) ->
                tenants.setClients(tenant, CLASSES.get(CLASS_BY_TENANT.get(tenant)), factor * clients));
    }

    private void loseRack() throws IOException, InterruptedException {
        String rack = rack(random.nextInt(RACKS));
        long from = System.nanoTime();
        disturbances.add(from);
        for (int i = 1; i <= ENDPOINTS_PER_RACK; i++) {
            racks.stopEndpoint(rack + "-" + i);
        }
        pause(4000);
        for (int i = 1; i <= ENDPOINTS_PER_RACK; i++) {
            racks.startEndpoint(rack + "-" + i);
        }
        losses.add(new Loss(rack, from, System.nanoTime()));
    }

    // ---- results ----

    private Planner.Input plannerInput(Fairness fairness, List<Request> requests) {
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
                        (int) (HORIZON_MS / STEP_MS),
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

    /** Number of racks, taken alternately from both zones, that can be absent at once under the forecast demand. */
    private int maxRacksAwayTogether(Fairness fairness, Planner.Input input) {
        double[] due = fairness.due(input.forecast().demands().get(0));
        Set<Integer> absentRacks = new HashSet<>();
        for (int i = 0; i < RACKS; i++) {
            absentRacks.add(fairness.inventory().rackIndex(rack((i % 2) * RACKS / 2 + i / 2)));
            if (!fairness.isFair(due, fairness.inventory().slotsWithout(absentRacks), null)) {
                return i;
            }
        }
        return RACKS;
    }

    private long countInState(String state) {
        return latest.values().stream()
                .filter(observation -> observation.state().equals(state))
                .count();
    }

    private int report(List<Request> requests, long requestedNs) {
        Fairness fairness = fairness();
        List<Call> calls = new ArrayList<>();
        racks.calls()
                .forEach(
                        call -> calls.add(new Call(call.endpoint, call.owner, call.job, call.beganNs, call.endedNs())));
        MaintenanceHistory history = new MaintenanceHistory(fairness, CLASS_BY_TENANT, calls, workPeriods);
        history.checkCrews();
        history.checkJobs(tenants.completedJobs(), Set.of("mail"));
        history.checkSteps(observations);
        history.checkFairness(losses, disturbances);
        history.violations().forEach(out::println);
        new TreeMap<>(reasons).forEach((window, reason) -> out.println(window + ": " + reason));
        long stuck = requests.size() - countInState("done") - countInState("refused") - countInState("aborted");
        Map<String, Long> postponed = new HashMap<>();
        observations.stream()
                .filter(observation -> observation.state().equals("postponed"))
                .forEach(observation -> postponed.put(observation.window(), observation.steps()));
        Planner.Input input = plannerInput(fairness, requests);
        int planned = Planner.plan(fairness, input).windows().size();
        int firstCome =
                Planner.firstComeFirstServed(fairness, input, false).windows().size();
        int oneAtATime =
                Planner.firstComeFirstServed(fairness, input, true).windows().size();
        long last = workPeriods.stream().mapToLong(WorkPeriod::finishedNs).max().orElse(requestedNs);
        double bound = countInState("done")
                * (double) (DRAIN_MS + WORK_MS + RETURN_MS)
                / maxRacksAwayTogether(fairness, input);
        int lost = history.lostJobs() + tenants.timeouts();
        out.printf(
                Locale.ROOT,
                "requests: answered=%d turned_away=%d connections_broken=%d calls=%d%n",
                tenants.completedJobs().size(),
                tenants.errorResponses(),
                tenants.brokenConnections(),
                calls.size());
        out.printf(
                Locale.ROOT,
                "windows planned without faults, by strategy: ours=%d first_come=%d" + " one_at_a_time=%d of %d%n",
                planned,
                firstCome,
                oneAtATime,
                requests.size());
        out.printf(
                Locale.ROOT,
                "maintenance: schedulers=%d racks=%d tenants=%d windows=%d done=%d"
                        + " postponed=%d aborted=%d kills=%d cuts=%d begun_without_leave=%d sent_to_down=%d"
                        + " unfair_instants=%d worst_loss_over_fair=%.2f account_spread=%.2f lost=%d twice=%d"
                        + " double_steps=%d stuck=%d plan_ms=%d makespan_over_bound=%.2f%n",
                SCHEDULERS,
                RACKS,
                CLASS_BY_TENANT.size(),
                requests.size(),
                countInState("done"),
                postponed.size(),
                countInState("aborted"),
                kills,
                partitions,
                history.begunDuringCall(),
                history.callsDuringWork(),
                history.unfairInstants(),
                history.worstLossRatio(),
                history.lossSpread(),
                lost,
                history.repeatedJobs(),
                history.inconsistentSteps(),
                stuck,
                planMs,
                bound == 0 ? 0 : (last - requestedNs) / MS / bound);
        return history.violations().isEmpty() && lost == 0 && stuck == 0 ? 0 : 1;
    }
}
