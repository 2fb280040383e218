package laneflow.lab.measure;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import laneflow.maintenance.decision.Fairness;
import laneflow.maintenance.decision.Inventory;

/**
 * Holds what endpoints, crews and clients have written down against what is promised of windows. It never
 * asks the ledger: a rack is away from the end of the last call before its crew began to the first call
 * behind the crew's word, and a tenant's demand is what endpoints ran for it. All instants are those of the
 * machine's one monotonic clock.
 */
final class MaintenanceHistory {
    private static final long MS = 1_000_000;
    private static final long STEP_NS = 100 * MS;
    /** Demand is averaged over so long on both sides of an instant. */
    private static final long SPAN_NS = 500 * MS;
    /** So long behind what befell the fleet a leave may still rest on what was there before. */
    private static final long GRACE_NS = 3000 * MS;

    private static final long LONGEST_GAP_NS = 8000 * MS;

    /** A call as its endpoint has it. */
    record Call(String endpoint, String owner, String job, long beganNs, long endedNs) {}

    /**
     * A crew's work.
     *
     * @param beganNs when it had the answer that it may begin
     * @param finishedNs when it was about to say that it has finished
     */
    record Work(String window, List<String> racks, long beganNs, long finishedNs) {}

    /** A window as somebody was shown it. */
    record Shown(long atNs, String window, long steps, String state) {}

    /** A rack that was lost without a plan. */
    record Loss(String rack, long fromNs, long toNs) {}

    /** A rack away for a crew's work. */
    private record Away(String rack, long fromNs, long toNs, long leaveNs) {}

    private final Fairness fairness;
    private final Map<String, Integer> classOf;
    private final List<Call> calls;
    private final List<Work> works;
    private final List<Away> away = new ArrayList<>();
    private final List<String> found = new ArrayList<>();
    private int withoutLeave;
    private int sentToDown;
    private int unfair;
    private double worst;
    private double spread;
    private int lost;
    private int twice;
    private int doubleSteps;

    /** @param classOf the number of the class for which each tenant asks */
    MaintenanceHistory(Fairness fairness, Map<String, Integer> classOf, List<Call> calls, List<Work> works) {
        this.fairness = fairness;
        this.classOf = classOf;
        this.calls = calls;
        this.works = works;
    }

    /** The rack in whose name the endpoint's begins. */
    static String rack(String endpoint) {
        return endpoint.substring(0, endpoint.indexOf('-'));
    }

    /** Nobody works where a call goes on, and nobody calls where somebody works. */
    void crews() {
        for (Work work : works) {
            boolean quiet = true;
            for (Call call : calls) {
                if (!work.racks().contains(rack(call.endpoint()))) {
                    continue;
                }
                if (call.beganNs() <= work.beganNs() && call.endedNs() > work.beganNs()) {
                    quiet = false;
                    found.add(work.window() + " was begun while " + call.job() + " ran at " + call.endpoint());
                }
                if (call.beganNs() > work.beganNs() && call.beganNs() < work.finishedNs()) {
                    sentToDown++;
                    found.add(call.job() + " came to " + call.endpoint() + " amid " + work.window());
                }
            }
            withoutLeave += quiet ? 0 : 1;
        }
    }

    /** No job that must not run twice did, and none that was answered has not run. */
    void jobs(List<String> served, Set<String> once) {
        Map<String, Integer> runs = new HashMap<>();
        calls.forEach(call -> runs.merge(call.job(), 1, Integer::sum));
        for (Call call : calls) {
            if (once.contains(call.owner()) && runs.get(call.job()) > 1) {
                runs.put(call.job(), 1);
                twice++;
                found.add(call.job() + " ran twice");
            }
        }
        for (String job : served) {
            if (!runs.containsKey(job)) {
                lost++;
                found.add(job + " was answered and has not run");
            }
        }
    }

    /** A window's steps only rise, and each of them leads to one state. */
    void steps(List<Shown> shown) {
        Map<String, String> states = new HashMap<>();
        Map<String, Shown> last = new HashMap<>();
        for (Shown one : shown) {
            String other = states.putIfAbsent(one.window() + " " + one.steps(), one.state());
            Shown before = last.put(one.window(), one);
            boolean fell = before != null && before.steps() > one.steps();
            if (fell || other != null && !other.equals(one.state())) {
                doubleSteps++;
                found.add(one.window() + " was " + (fell ? before.state() + " by step " + before.steps() : other)
                        + " and then " + one.state() + " by step " + one.steps());
            }
        }
    }

    /**
     * Every instant at which a rack is away for a window is fair, unless all such windows had their leave
     * before what made it unfair: what is down with a crew at it can't be wished up.
     *
     * @param befell when a rack was lost, or demand doubled
     */
    void instants(List<Loss> losses, List<Long> befell) {
        works.forEach(this::gaps);
        long from = away.stream().mapToLong(Away::fromNs).min().orElse(0);
        long to = away.stream().mapToLong(Away::toNs).max().orElse(0);
        Inventory inventory = fairness.inventory();
        double[] account = new double[inventory.tenants().size()];
        for (long at = from; at < to; at += STEP_NS) {
            long now = at;
            long disturbed = befell.stream()
                    .filter(ns -> ns <= now)
                    .mapToLong(ns -> ns + GRACE_NS)
                    .max()
                    .orElse(Long.MIN_VALUE);
            List<Away> there = away.stream()
                    .filter(one -> one.fromNs() <= now && now < one.toNs())
                    .toList();
            Set<Integer> out = new HashSet<>();
            there.forEach(one -> out.add(inventory.rackIndex(one.rack())));
            losses.stream()
                    .filter(one -> one.fromNs() <= now && now < one.toNs())
                    .forEach(one -> out.add(inventory.rackIndex(one.rack())));
            if (there.isEmpty()) {
                continue;
            }
            Fairness.Evaluation evaluation =
                    fairness.evaluate(fairness.due(demand(now)), inventory.slotsWithout(out), null);
            for (int t = 0; t < account.length; t++) {
                account[t] += evaluation.loss()[t];
            }
            if (there.stream().noneMatch(one -> one.leaveNs() > disturbed)) {
                continue;
            }
            for (int t = 0; t < account.length; t++) {
                worst = Math.max(
                        worst, evaluation.loss()[t] / Math.max(evaluation.allowed()[t], 1e-9));
            }
            if (!evaluation.fair()) {
                unfair++;
                found.add("unfair " + (now - from) / MS + " ms behind the first drain: " + evaluation.violations());
            }
        }
        for (int t = 0; t < account.length; t++) {
            account[t] /= Math.max(inventory.entitlement(t), 1e-9);
        }
        double mean = Arrays.stream(account).average().orElse(0);
        spread = mean == 0
                ? 0
                : (Arrays.stream(account).max().orElse(0)
                                - Arrays.stream(account).min().orElse(0))
                        / mean;
    }

    private void gaps(Work work) {
        for (String rack : work.racks()) {
            long from = work.beganNs() - LONGEST_GAP_NS;
            long to = work.finishedNs() + LONGEST_GAP_NS;
            for (Call call : calls) {
                if (rack(call.endpoint()).equals(rack)) {
                    from = call.endedNs() <= work.beganNs() ? Math.max(from, call.endedNs()) : from;
                    to = call.beganNs() >= work.finishedNs() ? Math.min(to, call.beganNs()) : to;
                }
            }
            away.add(new Away(rack, from, to, work.beganNs()));
        }
    }

    /** Slots that endpoints ran for each tenant around that instant. */
    private double[][] demand(long at) {
        Inventory inventory = fairness.inventory();
        double[][] demand =
                new double[inventory.tenants().size()][inventory.classes().size()];
        for (Call call : calls) {
            long both = Math.min(call.endedNs(), at + SPAN_NS) - Math.max(call.beganNs(), at - SPAN_NS);
            if (both > 0 && classOf.containsKey(call.owner())) {
                for (int t = 0; t < demand.length; t++) {
                    if (inventory.tenants().get(t).name().equals(call.owner())) {
                        demand[t][classOf.get(call.owner())] += both / (2.0 * SPAN_NS);
                    }
                }
            }
        }
        return demand;
    }

    /** Milliseconds for which racks were away, all together. */
    long awayMs() {
        return away.stream().mapToLong(one -> (one.toNs() - one.fromNs()) / MS).sum();
    }

    List<String> found() {
        return found;
    }

    int withoutLeave() {
        return withoutLeave;
    }

    int sentToDown() {
        return sentToDown;
    }

    int unfair() {
        return unfair;
    }

    double worst() {
        return worst;
    }

    double spread() {
        return spread;
    }

    int lost() {
        return lost;
    }

    int twice() {
        return twice;
    }

    int doubleSteps() {
        return doubleSteps;
    }
}
