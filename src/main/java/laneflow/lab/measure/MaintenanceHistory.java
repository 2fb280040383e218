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
 * Checks the guarantees of maintenance windows against the records of endpoints, crews and clients, without
 * the schedulers' own window ledger. A rack counts as absent from the end of the last call before its crew
 * began to the start of the first call after the crew finished; a tenant's demand is what endpoints ran for
 * it. All instants are of the machine's monotonic clock.
 */
final class MaintenanceHistory {
    private static final long MS = 1_000_000;
    private static final long SAMPLE_INTERVAL_NS = 100 * MS;
    /** Demand at an instant is the mean over this time on both sides of it. */
    private static final long DEMAND_HALF_SPAN_NS = 500 * MS;
    /** For this long after a disturbance, a permission to begin may still rest on the state before it. */
    private static final long DISTURBANCE_GRACE_NS = 3000 * MS;

    private static final long MAX_ABSENCE_MARGIN_NS = 8000 * MS;

    /** A call as its endpoint recorded it. */
    record Call(String endpoint, String owner, String job, long beganNs, long endedNs) {}

    /**
     * The time in which a crew worked on the racks of a window.
     *
     * @param beganNs when the crew received the permission to begin
     * @param finishedNs just before the crew reported that it has finished
     */
    record WorkPeriod(String window, List<String> racks, long beganNs, long finishedNs) {}

    /** A window's step count and state as a scheduler reported them. */
    record Observation(long atNs, String window, long steps, String state) {}

    /** An unplanned loss of a rack. */
    record Loss(String rack, long fromNs, long toNs) {}

    /** The absence of a rack for maintenance; the permission to begin was given at {@code permittedNs}. */
    private record Absence(String rack, long fromNs, long toNs, long permittedNs) {}

    private final Fairness fairness;
    private final Map<String, Integer> classByTenant;
    private final List<Call> calls;
    private final List<WorkPeriod> workPeriods;
    private final List<Absence> absences = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();
    private int begunDuringCall;
    private int callsDuringWork;
    private int unfairInstants;
    private double worstLossRatio;
    private double lossSpread;
    private int lostJobs;
    private int repeatedJobs;
    private int inconsistentSteps;

    /** @param classByTenant index of the job class that each tenant requests */
    MaintenanceHistory(
            Fairness fairness, Map<String, Integer> classByTenant, List<Call> calls, List<WorkPeriod> workPeriods) {
        this.fairness = fairness;
        this.classByTenant = classByTenant;
        this.calls = calls;
        this.workPeriods = workPeriods;
    }

    /** The rack of an endpoint: the part of the endpoint's name before the hyphen. */
    static String rack(String endpoint) {
        return endpoint.substring(0, endpoint.indexOf('-'));
    }

    /** Checks that no crew begins while a call runs on its racks, and that no call starts there during the work. */
    void checkCrews() {
        for (WorkPeriod work : workPeriods) {
            boolean idle = true;
            for (Call call : calls) {
                if (!work.racks().contains(rack(call.endpoint()))) {
                    continue;
                }
                if (call.beganNs() <= work.beganNs() && call.endedNs() > work.beganNs()) {
                    idle = false;
                    violations.add(work.window() + " began while " + call.job() + " ran at " + call.endpoint());
                }
                if (call.beganNs() > work.beganNs() && call.beganNs() < work.finishedNs()) {
                    callsDuringWork++;
                    violations.add(
                            call.job() + " started at " + call.endpoint() + " during the work of " + work.window());
                }
            }
            begunDuringCall += idle ? 0 : 1;
        }
    }

    /** Checks that no job ran twice that must not, and that every job answered with success has run. */
    void checkJobs(List<String> served, Set<String> nonRepeatableTenants) {
        Map<String, Integer> runs = new HashMap<>();
        calls.forEach(call -> runs.merge(call.job(), 1, Integer::sum));
        for (Call call : calls) {
            if (nonRepeatableTenants.contains(call.owner()) && runs.get(call.job()) > 1) {
                runs.put(call.job(), 1);
                repeatedJobs++;
                violations.add(call.job() + " ran twice");
            }
        }
        for (String job : served) {
            if (!runs.containsKey(job)) {
                lostJobs++;
                violations.add(job + " was answered with success and has not run");
            }
        }
    }

    /** Checks that a window's step count never decreases and that each step has exactly one state. */
    void checkSteps(List<Observation> observations) {
        Map<String, String> stateByStep = new HashMap<>();
        Map<String, Observation> lastByWindow = new HashMap<>();
        for (Observation observation : observations) {
            String otherState =
                    stateByStep.putIfAbsent(observation.window() + " " + observation.steps(), observation.state());
            Observation earlier = lastByWindow.put(observation.window(), observation);
            boolean decreased = earlier != null && earlier.steps() > observation.steps();
            if (decreased || otherState != null && !otherState.equals(observation.state())) {
                inconsistentSteps++;
                violations.add(observation.window() + " was "
                        + (decreased ? earlier.state() + " by step " + earlier.steps() : otherState) + " and then "
                        + observation.state() + " by step " + observation.steps());
            }
        }
    }

    /**
     * Checks every instant at which a rack is absent for a window: the shares of the tenants must be fair,
     * unless all such windows were permitted before a disturbance or within its grace period, since a rack
     * on which a crew works can't be brought back.
     *
     * @param disturbances when a rack was lost, or demand doubled
     */
    void checkFairness(List<Loss> losses, List<Long> disturbances) {
        workPeriods.forEach(this::addAbsences);
        long from = absences.stream().mapToLong(Absence::fromNs).min().orElse(0);
        long to = absences.stream().mapToLong(Absence::toNs).max().orElse(0);
        Inventory inventory = fairness.inventory();
        double[] lossSums = new double[inventory.tenants().size()];
        for (long at = from; at < to; at += SAMPLE_INTERVAL_NS) {
            long now = at;
            long disturbedUntil = disturbances.stream()
                    .filter(ns -> ns <= now)
                    .mapToLong(ns -> ns + DISTURBANCE_GRACE_NS)
                    .max()
                    .orElse(Long.MIN_VALUE);
            List<Absence> current = absences.stream()
                    .filter(absence -> absence.fromNs() <= now && now < absence.toNs())
                    .toList();
            Set<Integer> absentRacks = new HashSet<>();
            current.forEach(absence -> absentRacks.add(inventory.rackIndex(absence.rack())));
            losses.stream()
                    .filter(loss -> loss.fromNs() <= now && now < loss.toNs())
                    .forEach(loss -> absentRacks.add(inventory.rackIndex(loss.rack())));
            if (current.isEmpty()) {
                continue;
            }
            Fairness.Evaluation evaluation =
                    fairness.evaluate(fairness.due(demandAround(now)), inventory.slotsWithout(absentRacks), null);
            for (int t = 0; t < lossSums.length; t++) {
                lossSums[t] += evaluation.loss()[t];
            }
            if (current.stream().noneMatch(absence -> absence.permittedNs() > disturbedUntil)) {
                continue;
            }
            for (int t = 0; t < lossSums.length; t++) {
                worstLossRatio = Math.max(
                        worstLossRatio,
                        evaluation.loss()[t] / Math.max(evaluation.allowed()[t], 1e-9));
            }
            if (!evaluation.fair()) {
                unfairInstants++;
                violations.add("unfair " + (now - from) / MS + " ms after the first rack became absent: "
                        + evaluation.violations());
            }
        }
        for (int t = 0; t < lossSums.length; t++) {
            lossSums[t] /= Math.max(inventory.entitlement(t), 1e-9);
        }
        double mean = Arrays.stream(lossSums).average().orElse(0);
        lossSpread = mean == 0
                ? 0
                : (Arrays.stream(lossSums).max().orElse(0)
                                - Arrays.stream(lossSums).min().orElse(0))
                        / mean;
    }

    private void addAbsences(WorkPeriod work) {
        for (String rack : work.racks()) {
            long from = work.beganNs() - MAX_ABSENCE_MARGIN_NS;
            long to = work.finishedNs() + MAX_ABSENCE_MARGIN_NS;
            for (Call call : calls) {
                if (rack(call.endpoint()).equals(rack)) {
                    from = call.endedNs() <= work.beganNs() ? Math.max(from, call.endedNs()) : from;
                    to = call.beganNs() >= work.finishedNs() ? Math.min(to, call.beganNs()) : to;
                }
            }
            absences.add(new Absence(rack, from, to, work.beganNs()));
        }
    }

    /** Mean number of slots in use around an instant, by tenant and class. */
    private double[][] demandAround(long at) {
        Inventory inventory = fairness.inventory();
        double[][] demand =
                new double[inventory.tenants().size()][inventory.classes().size()];
        for (Call call : calls) {
            long overlapNs = Math.min(call.endedNs(), at + DEMAND_HALF_SPAN_NS)
                    - Math.max(call.beganNs(), at - DEMAND_HALF_SPAN_NS);
            if (overlapNs > 0 && classByTenant.containsKey(call.owner())) {
                for (int t = 0; t < demand.length; t++) {
                    if (inventory.tenants().get(t).name().equals(call.owner())) {
                        demand[t][classByTenant.get(call.owner())] += overlapNs / (2.0 * DEMAND_HALF_SPAN_NS);
                    }
                }
            }
        }
        return demand;
    }

    /** Sum of all absences of racks, in milliseconds. */
    long absenceMs() {
        return absences.stream()
                .mapToLong(absence -> (absence.toNs() - absence.fromNs()) / MS)
                .sum();
    }

    List<String> violations() {
        return violations;
    }

    int begunDuringCall() {
        return begunDuringCall;
    }

    int callsDuringWork() {
        return callsDuringWork;
    }

    int unfairInstants() {
        return unfairInstants;
    }

    double worstLossRatio() {
        return worstLossRatio;
    }

    double lossSpread() {
        return lossSpread;
    }

    int lostJobs() {
        return lostJobs;
    }

    int repeatedJobs() {
        return repeatedJobs;
    }

    int inconsistentSteps() {
        return inconsistentSteps;
    }
}
