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
import laneflow.lab.rig.Crew;
import laneflow.lab.rig.Rig;
import laneflow.lab.rig.Trash;
import laneflow.lab.standin.Ledger;
import org.HdrHistogram.Histogram;

/**
 * {@code lab measure policy}: schedulers as processes, three of which vote, under steady traffic. Changes
 * with
 * nothing broken first, for what they cost; then changes while schedulers are killed, stopped, cut off both
 * ways and one way, behind lossy paths, proposed at once from both sides of a cut, forbidden by one
 * scheduler's
 * own file, left by their leader; last the whole fleet is killed and started in another order. All that the
 * processes and the clients have noted is held against what is promised; exit code 1 where a promise is
 * broken.
 */
public final class PolicyMeasure {
    private static final int VOTERS = 3;
    private static final int PER_SECOND = 30;
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
    private final Histogram takeHold = new Histogram(3);
    private final Map<String, Long> proposedNs = new HashMap<>();
    private int changes;
    private int kills;
    private int stalls;
    private int cuts;
    private int stuck;
    private int lateStarts;
    private int lateStartsRight;
    private long thirdDownMs;
    private long leaderLostMostMs;

    private PolicyMeasure(long seed, boolean large, Path folder, PrintStream out, Rig rig, int schedulers) {
        random = new SplittableRandom(seed);
        this.large = large;
        this.schedulers = schedulers;
        this.folder = folder;
        this.out = out;
        this.rig = rig;
        loads = new PolicyLoad[schedulers];
    }

    /** Runs all of it; 0 if every promise was kept. */
    public static int run(long seed, boolean large, PrintStream out) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("laneflow-policy");
        int schedulers = large ? 24 : 9;
        int[] nodes = {Crew.port(), Crew.port(), Crew.port()};
        StringBuilder common = new StringBuilder("zones = [\"z\"]\n[limits]\nsockets = 512\n");
        common.append(classes("safe"));
        common.append(Rig.endpoints(nodes));
        common.append("[policy]\nvoters = VOTERS\ndir = \"FOLDER\"\ntell_policy = true\nlease_ms = ")
                .append(LEASE_MS)
                .append("\n");
        try (Rig rig = new Rig(folder, schedulers, VOTERS, seed, common.toString())) {
            rig.file(schedulers - 1, common.toString().replace(classes("safe"), classes("never")));
            rig.nodes(nodes, large ? 900 : 300);
            return new PolicyMeasure(seed, large, folder, out, rig, schedulers).all();
        } finally {
            Trash.remove(folder);
        }
    }

    private static String classes(String post) {
        return "[classes.check]\naim_ms = 200\ndeadline_ms = 5000\nrepeat = \"safe\"\n[classes.capture]\n"
                + "aim_ms = 200\ndeadline_ms = 5000\n[classes.post]\ndeadline_ms = 5000\nrepeat = \"" + post
                + "\"\n";
    }

    private int all() throws IOException, InterruptedException {
        for (int i : shuffled()) {
            rig.start(i);
        }
        rig.awaitDeciding(0, rig.all());
        for (int i = 0; i < schedulers; i++) {
            loads[i] = new PolicyLoad(Rig.name(i), rig.clientPort(i), 4, PER_SECOND);
            loads[i].start();
        }
        // Young processes are slow: what they cost is no change's doing.
        Thread.sleep(3000);
        long calmFrom = System.nanoTime();
        Thread.sleep(3000);
        long calmTo = System.nanoTime();
        calm();
        long changedTo = System.nanoTime();
        double before = PolicyLoad.served(loads, calmFrom, calmTo);
        double during = PolicyLoad.served(loads, calmTo, changedTo);
        thirdDown();
        leadersLost();
        stalled();
        cut();
        lossy();
        forbidden();
        wholeFleet();
        double idle = idle();
        for (PolicyLoad load : loads) {
            load.stop();
        }
        return tell(before, during, idle);
    }

    private int[] shuffled() {
        int[] all = rig.all();
        for (int i = all.length - 1; i > 0; i--) {
            int k = random.nextInt(i + 1);
            int one = all[i];
            all[i] = all[k];
            all[k] = one;
        }
        return all;
    }

    // ---- changes ----

    /** A change drawn from the seed: a ban of nobody who is there, or other limits. */
    private String types() {
        return random.nextBoolean()
                ? "{\"bans\":[{\"name\":\"gone-" + random.nextInt(1000) + "\"}]}"
                : "{\"limits\":[{\"name\":\"limits\",\"sockets\":512,\"attempts\":" + (2 + random.nextInt(4)) + "}]}";
    }

    private String name() {
        return "c" + ++changes;
    }

    /** Proposes it wherever it is taken, and again by the same name until it is known to be. */
    private void propose(String name, String types, int... at) throws IOException, InterruptedException {
        proposedNs.put(name, System.nanoTime());
        rig.note("propose " + name);
        rig.await(name + " is taken", () -> {
            for (int i : at) {
                if (rig.isUp(i) && taken(i, name, types)) {
                    return true;
                }
            }
            return false;
        });
    }

    private boolean taken(int i, String name, String types) throws InterruptedException {
        try {
            return rig.propose(i, name, types) != null;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits for its outcome; a change without one is stuck. */
    private JsonObject outcome(String name, int... at) throws InterruptedException {
        JsonObject[] found = new JsonObject[1];
        try {
            rig.await(name + " is decided", () -> {
                for (int i : at) {
                    JsonObject now = rig.isUp(i) ? rig.change(i, name) : null;
                    String state = now == null ? "" : now.get("state").getAsString();
                    if (state.equals("applied") || state.equals("abandoned")) {
                        found[0] = now;
                        history.addOutcome(name, now.get("number").getAsLong(), state);
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

    /** Proposes, waits until all of these decide by it, and returns its number. */
    private long change(int... these) throws IOException, InterruptedException {
        String name = name();
        propose(name, types(), these);
        JsonObject now = outcome(name, these);
        long number = now == null ? -1 : now.get("number").getAsLong();
        if (now != null && now.get("state").getAsString().equals("applied")) {
            rig.awaitDeciding(number, these);
        }
        return number;
    }

    private void calm() throws IOException, InterruptedException {
        List<String> names = new ArrayList<>();
        List<Long> numbers = new ArrayList<>();
        for (int i = 0; i < (large ? 60 : 25); i++) {
            names.add("c" + (changes + 1));
            numbers.add(change(rig.all()));
            Thread.sleep(100);
        }
        // By the processes' own stamps: how long until the last of them had begun.
        PolicyHistory begun = new PolicyHistory();
        for (int i = 0; i < schedulers; i++) {
            begun.addLog(Rig.name(i), rig.log(i));
        }
        for (int k = 0; k < names.size(); k++) {
            long last = 0;
            for (int i = 0; i < schedulers; i++) {
                last = Math.max(last, begun.began(Rig.name(i), numbers.get(k)));
            }
            takeHold.recordValue(Math.max(0, last - proposedNs.get(names.get(k))) / 1000);
        }
    }

    private void kill(int i) throws IOException, InterruptedException {
        kills++;
        rig.kill(i);
    }

    /** Started behind a change, it must begin with what holds, and with nothing before it. */
    private void lateStart(int i, long number) throws IOException, InterruptedException {
        int from = rig.log(i).length();
        rig.start(i);
        rig.awaitDeciding(number, i);
        lateStarts++;
        PolicyHistory life = new PolicyHistory();
        life.addLog(Rig.name(i), rig.log(i).substring(from));
        boolean right = life.began(Rig.name(i), number) > 0;
        for (long other = 0; other < number; other++) {
            right &= life.began(Rig.name(i), other) < 0;
        }
        lateStartsRight += right ? 1 : 0;
    }

    private void thirdDown() throws IOException, InterruptedException {
        Set<Integer> down = new HashSet<>();
        int leader = rig.leader();
        // One voter that does not lead, and others that don't vote.
        down.add((leader + 1) % VOTERS);
        while (down.size() < schedulers / 3) {
            down.add(VOTERS + random.nextInt(schedulers - VOTERS));
        }
        for (int i : down) {
            kill(i);
        }
        long from = System.nanoTime();
        long number = change(rig.without(down));
        thirdDownMs = (System.nanoTime() - from) / 1_000_000;
        for (int i : down) {
            lateStart(i, number);
        }
    }

    private void leadersLost() throws IOException, InterruptedException {
        for (int i = 0; i < (large ? 6 : 2); i++) {
            int leader = rig.leader();
            String name = name();
            proposedNs.put(name, System.nanoTime());
            // Killed behind the proposal: it is finished, or was never there and is proposed again.
            boolean asked = taken(leader, name, "{\"bans\":[{\"name\":\"left-" + i + "\"}]}");
            if (random.nextBoolean()) {
                Thread.sleep(random.nextInt(20));
            }
            kill(leader);
            long from = System.nanoTime();
            int[] others = rig.without(Set.of(leader));
            propose(name, "{\"bans\":[{\"name\":\"left-" + i + "\"}]}", others);
            outcome(name, others);
            long number = change(others);
            leaderLostMostMs = Math.max(leaderLostMostMs, (System.nanoTime() - from) / 1_000_000);
            rig.note("leader lost, asked " + asked);
            lateStart(leader, number);
        }
    }

    private int anotherLeads(int former) throws IOException, InterruptedException {
        int[] found = {-1};
        rig.await("another leads", () -> {
            for (int i = 0; i < VOTERS; i++) {
                if (i != former && rig.isUp(i) && rig.policy(i).has("leads")) {
                    found[0] = i;
                }
            }
            return found[0] >= 0;
        });
        return found[0];
    }

    private void stalled() throws IOException, InterruptedException {
        int leader = rig.leader();
        int other = VOTERS + random.nextInt(schedulers - VOTERS);
        rig.stall(leader);
        rig.stall(other);
        stalls += 2;
        anotherLeads(leader);
        long number = change(rig.without(Set.of(leader, other)));
        Thread.sleep(LEASE_MS * 3L / 2);
        rig.wake(other);
        rig.wake(leader);
        rig.awaitDeciding(number, rig.all());
    }

    private void cut() throws IOException, InterruptedException {
        int leader = rig.leader();
        int lone = VOTERS + random.nextInt(schedulers - VOTERS);
        Set<Integer> minority = Set.of(leader, lone);
        rig.partAll(List.copyOf(minority));
        cuts++;
        // From both sides at once: the side without a majority can't have it decided.
        String theirs = name();
        String types = types();
        taken(leader, theirs, types);
        anotherLeads(leader);
        long number = change(rig.without(minority));
        rig.heal();
        rig.awaitDeciding(number, rig.all());
        // What was asked for behind the cut is proposed again by its name, and is the same change.
        propose(theirs, types, rig.all());
        outcome(theirs, rig.all());
        // One way: it is heard, and hears nothing.
        int deaf = VOTERS + random.nextInt(schedulers - VOTERS);
        for (int i = 0; i < VOTERS; i++) {
            rig.cut(i, deaf);
        }
        cuts++;
        number = change(rig.without(Set.of(deaf)));
        rig.heal();
        rig.awaitDeciding(number, rig.all());
    }

    private void lossy() throws IOException, InterruptedException {
        rig.disturb(0.3, 0.1, 200);
        String name = name();
        propose(name, types(), rig.all());
        outcome(name, rig.all());
        rig.heal();
    }

    private void forbidden() throws IOException, InterruptedException {
        String name = name();
        propose(
                name,
                "{\"classes\":[{\"name\":\"check\",\"aim_ms\":200,\"repeat\":\"safe\"},"
                        + "{\"name\":\"capture\",\"aim_ms\":200},{\"name\":\"post\",\"repeat\":\"safe\"}]}",
                rig.all());
        outcome(name, rig.all());
    }

    private void wholeFleet() throws IOException, InterruptedException {
        long number = change(rig.all());
        for (int i : shuffled()) {
            kill(i);
        }
        for (int i : shuffled()) {
            rig.start(i);
        }
        rig.awaitDeciding(number, rig.all());
        change(rig.all());
    }

    // ---- figures ----

    /**
     * Processor time that schedulers need a second while nothing changes and few ask, beyond their
     * clients'.
     */
    private double idle() throws IOException, InterruptedException {
        for (PolicyLoad load : loads) {
            load.stop();
        }
        Thread.sleep(1000);
        double[] cpu = rig.cpu(4000);
        int leader = rig.leader();
        double most = 0;
        double sum = 0;
        for (int i = 0; i < schedulers; i++) {
            sum += i == leader ? 0 : cpu[i];
            most = Math.max(most, cpu[i]);
        }
        out.printf(Locale.ROOT, "idle: the most of one process %.1f ms a second%n", most);
        return sum / (schedulers - 1);
    }

    private int tell(double before, double during, double idle) throws IOException, InterruptedException {
        int applied = 0;
        int abandoned = 0;
        for (int i = 0; i < schedulers; i++) {
            history.addLog(Rig.name(i), rig.log(i));
            int at = i;
            rig.await("its history", () -> rig.ask(at, "/policy/history", null).statusCode() == 200);
            applied = 0;
            abandoned = 0;
            for (var one : JsonParser.parseString(
                            rig.ask(i, "/policy/history", null).body())
                    .getAsJsonArray()) {
                JsonObject change = one.getAsJsonObject();
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
                    history.addAnswer(new PolicyHistory.Answer(Rig.name(i), response.sentNs(), response.policy()));
                }
                // Whatever was decided on names the policy that it came under.
                mixed += response.status() == 200 && response.policy() < 0 ? 1 : 0;
            }
        }
        long twice = twice();
        List<String> found = history.check();
        found.stream().limit(20).forEach(out::println);
        out.printf(
                Locale.ROOT,
                "third down: %d ms; leader lost: next change within %d ms; take hold p50 %.1f ms%n",
                thirdDownMs,
                leaderLostMostMs,
                takeHold.getValueAtPercentile(50) / 1e3);
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
                history.split(),
                history.undecided(),
                history.overlaps(),
                mixed,
                stuck,
                lost,
                twice,
                takeHold.getValueAtPercentile(99) / 1e3,
                history.fenceMostUs() / 1e3,
                lateStartsRight,
                lateStarts,
                (before - during) * 100,
                idle);
        boolean kept = found.isEmpty()
                && mixed + stuck + lost + twice == 0
                && lateStartsRight == lateStarts
                && abandoned > 0
                && applied > 0;
        return kept ? 0 : 1;
    }

    /** Jobs that must not run twice, and did, by the nodes' own book. */
    private long twice() throws IOException {
        Map<String, Integer> runs = new HashMap<>();
        for (Ledger.Line line : Ledger.read(folder.resolve("ran"))) {
            if (line.event().equals("start")) {
                runs.merge(line.job(), 1, Integer::sum);
            }
        }
        return runs.entrySet().stream()
                .filter(one -> one.getValue() > 1 && Long.parseLong(one.getKey().split("-")[1]) % 2 == 1)
                .count();
    }
}
