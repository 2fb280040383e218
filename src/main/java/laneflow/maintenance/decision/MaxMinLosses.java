package laneflow.maintenance.decision;

import java.util.Arrays;

/**
 * Max-min fair sharing of losses: minimises the largest weighted loss, then the next largest, and so on.
 * Progressive filling (Bertsekas and Gallager, Data Networks, 6.5.2), where each level is found by Newton
 * steps over minimum cuts (Megiddo, 1974): a cut gives the level it requires, and the last cut gives the
 * owners that the level binds.
 */
final class MaxMinLosses {
    private static final double EPSILON = 1e-9;

    private final Placement placement;
    private final double[] due;
    private final double[] weight;
    private final double[] loss;
    private final boolean[] bound;
    /** The cut that bound the first level, or null if no owner loses anything. */
    private Placement.Cut firstCut;

    private MaxMinLosses(Placement placement, double[] due, double[] weight) {
        this.placement = placement;
        this.due = due;
        this.weight = weight;
        loss = new double[due.length];
        bound = new boolean[due.length];
    }

    /**
     * Computes what each owner loses, in slots. The placement has its work and capacity set.
     *
     * @param due what each owner is due
     * @param weight by which losses are compared, greater than 0
     */
    static MaxMinLosses fill(Placement placement, double[] due, double[] weight) {
        MaxMinLosses losses = new MaxMinLosses(placement, due, weight);
        while (losses.nextLevel()) {
            losses.firstCut = losses.firstCut == null ? losses.lastCut : losses.firstCut;
        }
        return losses;
    }

    private Placement.Cut lastCut;

    /** Binds the owners that the next level fixes; false if no unbound owner loses anything. */
    private boolean nextLevel() {
        double level = 0;
        lastCut = null;
        while (!placement.isFeasible(minimums(level))) {
            Placement.Cut cut = placement.minCut();
            double next = levelFor(cut);
            lastCut = cut;
            if (next <= level + EPSILON) {
                break;
            }
            level = next;
        }
        if (lastCut == null) {
            return false;
        }
        boolean any = false;
        for (int i = 0; i < due.length; i++) {
            if (lastCut.in()[i] && !bound[i]) {
                bound[i] = true;
                loss[i] = Math.min(due[i], level * weight[i]);
                any |= due[i] > 0;
            }
        }
        return any;
    }

    private double[] minimums(double level) {
        double[] minimums = new double[due.length];
        for (int i = 0; i < due.length; i++) {
            minimums[i] = due[i] - (bound[i] ? loss[i] : Math.min(due[i], level * weight[i]));
        }
        return minimums;
    }

    /** The lowest level at which the unbound owners of the cut fit into its capacity. */
    private double levelFor(Placement.Cut cut) {
        double excess = -cut.capacity();
        double[] dues = new double[due.length];
        double[] weights = new double[due.length];
        int n = 0;
        for (int i = 0; i < due.length; i++) {
            if (cut.in()[i]) {
                excess += due[i] - loss[i];
                if (!bound[i]) {
                    dues[n] = due[i];
                    weights[n++] = weight[i];
                }
            }
        }
        return level(Arrays.copyOf(dues, n), Arrays.copyOf(weights, n), excess);
    }

    /**
     * The level at which losses of min(due, level x weight) add up to {@code loss}; if they never do, the
     * level at which everything is lost.
     */
    static double level(double[] due, double[] weight, double loss) {
        if (loss <= 0) {
            return 0;
        }
        Integer[] order = new Integer[due.length];
        Arrays.setAll(order, i -> i);
        Arrays.sort(order, (a, b) -> Double.compare(due[a] / weight[a], due[b] / weight[b]));
        double weights = Arrays.stream(weight).sum();
        double lost = 0;
        double level = 0;
        for (int i : order) {
            double ends = due[i] / weight[i];
            if (lost + (ends - level) * weights >= loss) {
                return level + (loss - lost) / weights;
            }
            lost += (ends - level) * weights;
            level = ends;
            weights -= weight[i];
        }
        return level;
    }

    double[] loss() {
        return loss.clone();
    }

    /** The first cut that was binding; null if no owner loses anything. */
    Placement.Cut firstCut() {
        return firstCut;
    }
}
