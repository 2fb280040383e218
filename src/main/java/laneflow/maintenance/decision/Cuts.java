package laneflow.maintenance.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Fast fairness check by sums, for the many instants that a planner evaluates. Work fits into cells if and only
 * if, for every union of cell sets in which some of it may run, the work bound to that union fits into it
 * (Gale, 1957). There are few such unions, and the demand per forecast span is known in advance, so most
 * instants are decided by sums and only the undecided ones need a flow.
 */
final class Cuts {
    private static final int MAX_UNIONS = 1024;

    /** Result for an instant. */
    enum Answer {
        NO_LOSS,
        FAIR,
        UNFAIR,
        UNKNOWN
    }

    private final Fairness fairness;
    private final long[] unions;
    private final boolean isComplete;
    /** By span and union: the slots due, and the least of them that is fair without a shortage. */
    private final double[][] due;

    private final double[][] minimumDue;
    private final double[] totalDue;
    private final double maxShortage;

    Cuts(Fairness fairness, List<double[]> dues, double[] accounts) {
        this.fairness = fairness;
        Set<Long> found = new LinkedHashSet<>();
        found.add(0L);
        for (int kind = 0; kind < fairness.kinds() && found.size() <= MAX_UNIONS; kind++) {
            for (long union : found.toArray(Long[]::new)) {
                found.add(union | fairness.cellMask(kind));
            }
        }
        found.remove(0L);
        isComplete = found.size() <= MAX_UNIONS;
        unions = found.stream().mapToLong(Long::longValue).sorted().toArray();
        due = new double[dues.size()][];
        minimumDue = new double[dues.size()][];
        totalDue = new double[dues.size()];
        double entitled = 0;
        int tenants = fairness.inventory().tenants().size();
        for (int t = 0; t < tenants; t++) {
            entitled += fairness.inventory().entitlement(t);
        }
        maxShortage = entitled * fairness.limits().shortage();
        for (int span = 0; span < dues.size(); span++) {
            double[] full = dues.get(span);
            double[] byTenant = fairness.sumByTenant(full);
            double[] reduced = full.clone();
            for (int kind = 0; kind < reduced.length; kind++) {
                int t = fairness.owner(kind);
                double allowedLoss =
                        fairness.tolerance(accounts, t) * fairness.inventory().entitlement(t);
                reduced[kind] *= byTenant[t] <= 0 ? 1 : Math.max(0, 1 - allowedLoss / byTenant[t]);
            }
            due[span] = sums(full);
            minimumDue[span] = sums(reduced);
            totalDue[span] = Arrays.stream(full).sum();
        }
    }

    private double[] sums(double[] work) {
        double[] sums = new double[unions.length];
        for (int u = 0; u < unions.length; u++) {
            for (int kind = 0; kind < work.length; kind++) {
                sums[u] += (fairness.cellMask(kind) & ~unions[u]) == 0 ? work[kind] : 0;
            }
        }
        return sums;
    }

    /** Classifies an instant of that span, given the slots left in each cell. */
    Answer classify(int span, double[] left) {
        if (!isComplete) {
            return Answer.UNKNOWN;
        }
        boolean isFullyServed = true;
        boolean fits = true;
        for (int u = 0; u < unions.length && fits; u++) {
            double capacity = 0;
            for (long rest = unions[u]; rest != 0; rest &= rest - 1) {
                capacity += left[Long.numberOfTrailingZeros(rest)];
            }
            isFullyServed &= due[span][u] <= capacity;
            fits = minimumDue[span][u] <= capacity;
        }
        double shortage = totalDue[span] - Arrays.stream(left).sum();
        if (shortage > maxShortage + Fairness.LOSS_EPSILON) {
            return Answer.UNFAIR;
        }
        return !fits ? Answer.UNKNOWN : isFullyServed ? Answer.NO_LOSS : Answer.FAIR;
    }

    /** Slots due in a span, over all tenants. */
    double totalDue(int span) {
        return totalDue[span];
    }

    static List<double[]> dueBySpan(Fairness fairness, Forecast forecast) {
        List<double[]> dues = new ArrayList<>();
        forecast.demands().forEach(demand -> dues.add(fairness.due(demand)));
        return dues;
    }
}
