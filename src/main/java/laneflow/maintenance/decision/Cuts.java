package laneflow.maintenance.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The quick answer for the many instants that a planner looks at. Work fits into cells if and only if, for
 * every union of places where some of it may run, the work bound to that union fits into it (Gale, 1957).
 * There are few such unions, and what has to fit is known beforehand for each span of the forecast; so most
 * instants are judged by sums, and the flow is left for those between.
 */
final class Cuts {
    private static final int MOST = 1024;

    /** What an instant was found to be. */
    enum Answer {
        NO_LOSS,
        FAIR,
        UNFAIR,
        UNKNOWN
    }

    private final Fairness fairness;
    private final long[] unions;
    private final boolean whole;
    /** By span and union: what is due there, and the least of it that is fair without any shortage. */
    private final double[][] due;

    private final double[][] least;
    private final double[] dueAll;
    private final double most;

    Cuts(Fairness fairness, List<double[]> dues, double[] accounts) {
        this.fairness = fairness;
        Set<Long> known = new LinkedHashSet<>();
        known.add(0L);
        for (int kind = 0; kind < fairness.kinds() && known.size() <= MOST; kind++) {
            for (long union : known.toArray(Long[]::new)) {
                known.add(union | fairness.places(kind));
            }
        }
        known.remove(0L);
        whole = known.size() <= MOST;
        unions = known.stream().mapToLong(Long::longValue).sorted().toArray();
        due = new double[dues.size()][];
        least = new double[dues.size()][];
        dueAll = new double[dues.size()];
        double entitled = 0;
        int tenants = fairness.inventory().tenants().size();
        for (int t = 0; t < tenants; t++) {
            entitled += fairness.inventory().entitlement(t);
        }
        most = entitled * fairness.limits().shortage();
        for (int span = 0; span < dues.size(); span++) {
            double[] full = dues.get(span);
            double[] byTenant = fairness.byTenant(full);
            double[] held = full.clone();
            for (int kind = 0; kind < held.length; kind++) {
                int t = fairness.owner(kind);
                double may =
                        fairness.tolerance(accounts, t) * fairness.inventory().entitlement(t);
                held[kind] *= byTenant[t] <= 0 ? 1 : Math.max(0, 1 - may / byTenant[t]);
            }
            due[span] = sums(full);
            least[span] = sums(held);
            dueAll[span] = Arrays.stream(full).sum();
        }
    }

    private double[] sums(double[] work) {
        double[] sums = new double[unions.length];
        for (int u = 0; u < unions.length; u++) {
            for (int kind = 0; kind < work.length; kind++) {
                sums[u] += (fairness.places(kind) & ~unions[u]) == 0 ? work[kind] : 0;
            }
        }
        return sums;
    }

    /** What sums say of an instant in that span, with so many slots left by cell. */
    Answer ask(int span, double[] left) {
        if (!whole) {
            return Answer.UNKNOWN;
        }
        boolean none = true;
        boolean held = true;
        for (int u = 0; u < unions.length && held; u++) {
            double room = 0;
            for (long rest = unions[u]; rest != 0; rest &= rest - 1) {
                room += left[Long.numberOfTrailingZeros(rest)];
            }
            none &= due[span][u] <= room;
            held = least[span][u] <= room;
        }
        double shortage = dueAll[span] - Arrays.stream(left).sum();
        if (shortage > most + Fairness.LEAST_LOSS) {
            return Answer.UNFAIR;
        }
        return !held ? Answer.UNKNOWN : none ? Answer.NO_LOSS : Answer.FAIR;
    }

    /** All that is due in a span, in slots. */
    double due(int span) {
        return dueAll[span];
    }

    static List<double[]> dues(Fairness fairness, Forecast forecast) {
        List<double[]> dues = new ArrayList<>();
        forecast.demands().forEach(demand -> dues.add(fairness.due(demand)));
        return dues;
    }
}
