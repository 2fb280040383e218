package laneflow.lab.measure;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.PrintStream;
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
import laneflow.lab.rig.ChildProcesses;
import laneflow.lab.rig.FileTree;
import laneflow.lab.rig.Rig;
import laneflow.lab.standin.RunLog;
import org.HdrHistogram.Histogram;

/**
 * {@code lab measure policy}: runs a fleet of scheduler processes, three of them voters, under steady
 * traffic. It first measures what policy changes cost without faults. Then it changes the policy while
 * schedulers are killed, suspended, partitioned in both directions and in one, and behind lossy links; from
 * both sides of a partition at once; against the configuration file of one scheduler; and with a leader that
 * is killed right after the proposal. Last it kills the whole fleet and starts it in another order. The logs
 * of the processes and the responses of the clients are checked against the policy guarantees; exit code 1
 * if one is broken.
 */
public final class PolicyMeasure {
    private static final int VOTERS = 3;
    private static final int REQUESTS_PER_SECOND = 30;
    private static final int LEASE_MS = 1000;
    private static final long SECOND = 1_000_000_000L;

    private final SplittableRandom random;
    private final boolean large;
    private final int schedulers;
    private final Path folder;
    private final PrintStream out;
    private final Rig rig;
    private final PolicyLoad[] loads;
    private final PolicyHistory history = new PolicyHistory();
    private final Histogram activationLatencyUs = new Histogram(3);
    private final Map<String, Long> proposedNs = new HashMap<>();
    private int changes;
    private int kills;
    private int stalls;
    private int cuts;
    private int stuck;
    private int lateStarts;
    private int correctLateStarts;
    private long thirdDownMs;
    private long longestLeaderLossMs;

    private PolicyMeasure(long seed, boolean large, Path folder, PrintStream out, Rig rig, int schedulers) {
        random = new SplittableRandom(seed);
        this.large = large;
        this.schedulers = schedulers;
        this.folder = folder;
        this.out = out;
        this.rig = rig;
        loads = new PolicyLoad[schedulers];
    }

    /** Runs the measurement and returns the exit code: 0 if every guarantee was kept. */
    public static int run(long seed, boolean large, PrintStream out) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("laneflow-policy");
        int schedulers = large ? 24 : 9;
        int[] nodes = {ChildProcesses.freePort(), ChildProcesses.freePort(), ChildProcesses.freePort()};
        StringBuilder common = new StringBuilder("zones = [\"z\"]\n[limits]\nsockets = 512\n");
        common.append(classes("safe"));
        common.append(Rig.endpointTables(nodes));
        common.append("[policy]\nvoters = VOTERS\ndir = \"FOLDER\"\ntell_policy = true\nlease_ms = ")
                .append(LEASE_MS)
                .append("\n");
        try (Rig rig = new Rig(folder, schedulers, VOTERS, seed, common.toString())) {
            rig.setConfig(schedulers - 1, common.toString().replace(classes("safe"), classes("never")));
            rig.startNodes(nodes, large ? 900 : 300);
            return new PolicyMeasure(seed, large, folder, out, rig, schedulers).runAll();
        } finally {
            FileTree.delete(folder);
        }
    }

    private static String classes(String post) {
        return "[classes.check]\naim_ms = 200\ndeadline_ms = 5000\nrepeat = \"safe\"\n[classes.capture]\n"
                + "aim_ms = 200\ndeadline_ms = 5000\n[classes.post]\ndeadline_ms = 5000\nrepeat = \"" + post
                + "\"\n";
    }

    private int runAll() throws IOException, InterruptedException {
        for (int i : shuffled()) {
            rig.start(i);
        }
        rig.awaitDeciding(0, rig.all());
        for (int i = 0; i < schedulers; i++) {
            loads[i] = new PolicyLoad(Rig.name(i), rig.clientPort(i), 4, REQUESTS_PER_SECOND);
            loads[i].start();
        }
        // Processes are slow right after their start; that must not count as a cost of the changes.
        Thread.sleep(3000);
        long quietStartNs = System.nanoTime();
        Thread.sleep(3000);
        long quietEndNs = System.nanoTime();
        changesWithoutFaults();
        long changesEndNs = System.nanoTime();
        double shareBefore = PolicyLoad.served(loads, quietStartNs, quietEndNs);
        double shareDuring = PolicyLoad.served(loads, quietEndNs, changesEndNs);
        changeWithAThirdDown();
        killLeaders();
        stallLeader();
        partitionLeader();
        changeOverLossyLinks();
        proposeForbiddenChange();
        restartFleet();
        double idleCpu = idleCpuPerFollower();
        for (PolicyLoad load : loads) {
            load.stop();
        }
        return report(shareBefore, shareDuring, idleCpu);
    }

    private int[] shuffled() {
        int[] all = rig.all();
        for (int i = all.length - 1; i > 0; i--) {
            int k = random.nextInt(i + 1);
            int swapped = all[i];
            all[i] = all[k];
            all[k] = swapped;
        }
        return all;
    }

    // ---- changes ----

    /** A random change as JSON: a ban of an endpoint that does not exist, or new limits. */
    private String randomChange() {
        return random.nextBoolean()
                ? "{\"bans\":[{\"name\":\"gone-" + random.nextInt(1000) + "\"}]}"
                : "{\"limits\":[{\"name\":\"limits\",\"sockets\":512,\"attempts\":" + (2 + random.nextInt(4)) + "}]}";
    }

    private String nextChangeName() {
        return "c" + ++changes;
    }

    /** Proposes the change under the same name at one scheduler after the other until one accepts it. */
    private void propose(String name, String changeJson, int... targets) throws IOException, InterruptedException {
        proposedNs.put(name, System.nanoTime());
        rig.recordEvent("propose " + name);
        rig.await(name + " is accepted", () -> {
            for (int i : targets) {
                if (rig.isUp(i) && tryPropose(i, name, changeJson)) {
                    return true;
                }
            }
            return false;
        });
    }

    private boolean tryPropose(int i, String name, String changeJson) throws InterruptedException {
        try {
            return rig.propose(i, name, changeJson) != null;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until the change is applied or abandoned; null, and counted as stuck, if it never is. */
    private JsonObject awaitOutcome(String name, int... targets) throws InterruptedException {
        JsonObject[] found = new JsonObject[1];
        try {
            rig.await(name + " is decided", () -> {
                for (int i : targets) {
                    JsonObject reported = rig.isUp(i) ? rig.change(i, name) : null;
                    String state = reported == null ? "" : reported.get("state").getAsString();
                    if (state.equals("applied") || state.equals("abandoned")) {
                        found[0] = reported;
                        history.addOutcome(name, reported.get("number").getAsLong(), state);
                        return true;
                    }
                }
                return false;
            });
        } catch (IOException e) {
            stuck++;
            out.println(e.getMessage());
        }
        return found[0];
    }

    /** Proposes a random change, waits until the given schedulers decide by it, and returns its number. */
    private long applyChange(int... schedulerIndexes) throws IOException, InterruptedException {
        String name = nextChangeName();
        propose(name, randomChange(), schedulerIndexes);
        JsonObject decided = awaitOutcome(name, schedulerIndexes);
        long number = decided == null ? -1 : decided.get("number").getAsLong();
        if (decided != null && decided.get("state").getAsString().equals("applied")) {
            rig.awaitDeciding(number, schedulerIndexes);
        }
        return number;
    }

    private void changesWithoutFaults() throws IOException, InterruptedException {
        List<String> names = new ArrayList<>();
        List<Long> numbers = new ArrayList<>();
        for (int i = 0; i < (large ? 60 : 25); i++) {
            names.add("c" + (changes + 1));
            numbers.add(applyChange(rig.all()));
            Thread.sleep(100);
        }
        // Latency until the last scheduler activated the policy, by the times in the schedulers' logs.
        PolicyHistory activations = new PolicyHistory();
        for (int i = 0; i < schedulers; i++) {
            activations.addLog(Rig.name(i), rig.log(i));
        }
        for (int k = 0; k < names.size(); k++) {
            long last = 0;
            for (int i = 0; i < schedulers; i++) {
                last = Math.max(last, activations.firstActivationNs(Rig.name(i), numbers.get(k)));
            }
            activationLatencyUs.recordValue(Math.max(0, last - proposedNs.get(names.get(k))) / 1000);
        }
    }

    private void kill(int i) throws IOException, InterruptedException {
        kills++;
        rig.kill(i);
    }

    /** Starts a scheduler after a change; it must activate the current policy and no earlier one. */
    private void startAfterChange(int i, long number) throws IOException, InterruptedException {
        int from = rig.log(i).length();
        rig.start(i);
        rig.awaitDeciding(number, i);
        lateStarts++;
        PolicyHistory restartHistory = new PolicyHistory();
        restartHistory.addLog(Rig.name(i), rig.log(i).substring(from));
        boolean correct = restartHistory.firstActivationNs(Rig.name(i), number) > 0;
        for (long earlier = 0; earlier < number; earlier++) {
            correct &= restartHistory.firstActivationNs(Rig.name(i), earlier) < 0;
        }
        correctLateStarts += correct ? 1 : 0;
    }

    private void changeWithAThirdDown() throws IOException, InterruptedException {
        Set<Integer> down = new HashSet<>();
        int leader = rig.leader();
        // One voter that is not the leader; the others are non-voters.
        down.add((leader + 1) % VOTERS);
        while (down.size() < schedulers / 3) {
            down.add(VOTERS + random.nextInt(schedulers - VOTERS));
        }
        for (int i : down) {
            kill(i);
        }
        long from = System.nanoTime();
        long number = applyChange(rig.allExcept(down));
        thirdDownMs = (System.nanoTime() - from) / 1_000_000;
        for (int i : down) {
            startAfterChange(i, number);
        }
    }

    private void killLeaders() throws IOException, InterruptedException {
        for (int i = 0; i < (large ? 6 : 2); i++) {
            int leader = rig.leader();
            String name = nextChangeName();
            proposedNs.put(name, System.nanoTime());
            // The leader is killed right after the proposal. The change either survives or was never stored;
            // proposing it again under the same name covers both.
            boolean accepted = tryPropose(leader, name, "{\"bans\":[{\"name\":\"left-" + i + "\"}]}");
            if (random.nextBoolean()) {
                Thread.sleep(random.nextInt(20));
            }
            kill(leader);
            long from = System.nanoTime();
            int[] others = rig.allExcept(Set.of(leader));
            propose(name, "{\"bans\":[{\"name\":\"left-" + i + "\"}]}", others);
            awaitOutcome(name, others);
            long number = applyChange(others);
            longestLeaderLossMs = Math.max(longestLeaderLossMs, (System.nanoTime() - from) / 1_000_000);
            rig.recordEvent("leader lost, proposal accepted: " + accepted);
            startAfterChange(leader, number);
        }
    }

    private int awaitNewLeader(int formerLeader) throws IOException, InterruptedException {
        int[] found = {-1};
        rig.await("a new leader", () -> {
            for (int i = 0; i < VOTERS; i++) {
                if (i != formerLeader && rig.isUp(i) && rig.policy(i).has("leads")) {
                    found[0] = i;
                }
            }
            return found[0] >= 0;
        });
        return found[0];
    }

    private void stallLeader() throws IOException, InterruptedException {
        int leader = rig.leader();
        int stalled = VOTERS + random.nextInt(schedulers - VOTERS);
        rig.suspend(leader);
        rig.suspend(stalled);
        stalls += 2;
        awaitNewLeader(leader);
        long number = applyChange(rig.allExcept(Set.of(leader, stalled)));
        Thread.sleep(LEASE_MS * 3L / 2);
        rig.resume(stalled);
        rig.resume(leader);
        rig.awaitDeciding(number, rig.all());
    }

    private void partitionLeader() throws IOException, InterruptedException {
        int leader = rig.leader();
        int follower = VOTERS + random.nextInt(schedulers - VOTERS);
        Set<Integer> minority = Set.of(leader, follower);
        rig.isolate(List.copyOf(minority));
        cuts++;
        // Both sides propose at once; the side without a majority can't decide its change.
        String minorityChange = nextChangeName();
        String changeJson = randomChange();
        tryPropose(leader, minorityChange, changeJson);
        awaitNewLeader(leader);
        long number = applyChange(rig.allExcept(minority));
        rig.heal();
        rig.awaitDeciding(number, rig.all());
        // The minority's change is proposed again under its name and counts as the same change.
        propose(minorityChange, changeJson, rig.all());
        awaitOutcome(minorityChange, rig.all());
        // One-way partition: the voters receive its datagrams, but it receives none of theirs.
        int isolated = VOTERS + random.nextInt(schedulers - VOTERS);
        for (int i = 0; i < VOTERS; i++) {
            rig.cut(i, isolated);
        }
        cuts++;
        number = applyChange(rig.allExcept(Set.of(isolated)));
        rig.heal();
        rig.awaitDeciding(number, rig.all());
    }

    private void changeOverLossyLinks() throws IOException, InterruptedException {
        rig.disturb(0.3, 0.1, 200);
        String name = nextChangeName();
        propose(name, randomChange(), rig.all());
        awaitOutcome(name, rig.all());
        rig.heal();
    }

    private void proposeForbiddenChange() throws IOException, InterruptedException {
        String name = nextChangeName();
        propose(
                name,
                "{\"classes\":[{\"name\":\"check\",\"aim_ms\":200,\"repeat\":\"safe\"},"
                        + "{\"name\":\"capture\",\"aim_ms\":200},{\"name\":\"post\",\"repeat\":\"safe\"}]}",
                rig.all());
        awaitOutcome(name, rig.all());
    }

    private void restartFleet() throws IOException, InterruptedException {
        long number = applyChange(rig.all());
        for (int i : shuffled()) {
            kill(i);
        }
        for (int i : shuffled()) {
            rig.start(i);
        }
        rig.awaitDeciding(number, rig.all());
        applyChange(rig.all());
    }

    // ---- figures ----

    /** Mean processor time in ms per second that a scheduler other than the leader uses without load or changes. */
    private double idleCpuPerFollower() throws IOException, InterruptedException {
        for (PolicyLoad load : loads) {
            load.stop();
        }
        Thread.sleep(1000);
        double[] cpu = rig.cpuMillisPerSecond(4000);
        int leader = rig.leader();
        double highest = 0;
        double sum = 0;
        for (int i = 0; i < schedulers; i++) {
            sum += i == leader ? 0 : cpu[i];
            highest = Math.max(highest, cpu[i]);
        }
        out.printf(Locale.ROOT, "idle: highest of one process %.1f ms per second%n", highest);
        return sum / (schedulers - 1);
    }

    private int report(double shareBefore, double shareDuring, double idleCpu)
            throws IOException, InterruptedException {
        int applied = 0;
        int abandoned = 0;
        for (int i = 0; i < schedulers; i++) {
            history.addLog(Rig.name(i), rig.log(i));
            int index = i;
            rig.await(
                    "the policy history",
                    () -> rig.request(index, "/policy/history", null).statusCode() == 200);
            applied = 0;
            abandoned = 0;
            for (var element : JsonParser.parseString(
                            rig.request(i, "/policy/history", null).body())
                    .getAsJsonArray()) {
                JsonObject change = element.getAsJsonObject();
                String state = change.get("state").getAsString();
                history.addOutcome(
                        change.get("name").getAsString(), change.get("number").getAsLong(), state);
                applied += state.equals("applied") ? 1 : 0;
                abandoned += state.equals("abandoned") ? 1 : 0;
                stuck += state.equals("open") || state.equals("waiting") ? 1 : 0;
            }
        }
        stuck = Math.min(stuck, 99);
        long lost = 0;
        long mixed = 0;
        for (int i = 0; i < schedulers; i++) {
            lost += loads[i].lost.get();
            for (PolicyLoad.Response response : loads[i].responses) {
                if (response.policy() >= 0) {
                    history.addResponse(new PolicyHistory.Response(Rig.name(i), response.sentNs(), response.policy()));
                }
                // Every served response must name the policy under which it was decided.
                mixed += response.status() == 200 && response.policy() < 0 ? 1 : 0;
            }
        }
        long twice = countForbiddenRepeats();
        List<String> violations = history.check();
        violations.stream().limit(20).forEach(out::println);
        out.printf(
                Locale.ROOT,
                "third down: %d ms; leader lost: next change within %d ms; take hold p50 %.1f ms%n",
                thirdDownMs,
                longestLeaderLossMs,
                activationLatencyUs.getValueAtPercentile(50) / 1e3);
        out.printf(
                Locale.ROOT,
                "policy: schedulers=%d voters=%d changes=%d applied=%d abandoned=%d kills=%d"
                        + " stalls=%d cuts=%d split_decisions=%d used_undecided=%d two_in_force=%d mixed_requests=%d"
                        + " stuck=%d lost=%d twice=%d take_hold_p99_ms=%.1f fence_most_ms=%.1f"
                        + " late_starts_right=%d/%d"
                        + " service_loss_points=%.2f idle_cpu_ms_per_s=%.1f%n",
                schedulers,
                VOTERS,
                changes,
                applied,
                abandoned,
                kills,
                stalls,
                cuts,
                history.contradictions(),
                history.notApplied(),
                history.overlaps(),
                mixed,
                stuck,
                lost,
                twice,
                activationLatencyUs.getValueAtPercentile(99) / 1e3,
                history.longestFenceUs() / 1e3,
                correctLateStarts,
                lateStarts,
                (shareBefore - shareDuring) * 100,
                idleCpu);
        boolean passed = violations.isEmpty()
                && mixed + stuck + lost + twice == 0
                && correctLateStarts == lateStarts
                && abandoned > 0
                && applied > 0;
        return passed ? 0 : 1;
    }

    /** Number of jobs that must not run twice and did, by the ledger of the nodes. */
    private long countForbiddenRepeats() throws IOException {
        Map<String, Integer> runs = new HashMap<>();
        for (RunLog.Entry line : RunLog.read(folder.resolve("ran"))) {
            if (line.event().equals("start")) {
                runs.merge(line.job(), 1, Integer::sum);
            }
        }
        return runs.entrySet().stream()
                .filter(run -> run.getValue() > 1 && Long.parseLong(run.getKey().split("-")[1]) % 2 == 1)
                .count();
    }
}
