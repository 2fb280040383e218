package laneflow.maintenance.decision;

import java.util.Arrays;

/**
 * Losses shared max-min fairly: the largest loss, told in the loser's weight, is as small as can be, then
 * the next largest, and so on. By levels, as in progressive filling (Bertsekas and Gallager, Data Networks,
 * 6.5.2), each level found by Newton's steps over smallest cuts (Megiddo, 1974): a cut says how far the
 * level has to rise for it, and the last one says whom the level binds.
 */
final class Levels {
    private static final double NONE = 1e-9;

    private final Placement placement;
    private final double[] due;
    private final double[] weight;
    private final double[] loss;
    private final boolean[] bound;
    /** The cut that bound the first level, or null where nobody loses. */
    private Placement.Cut first;

    private Levels(Placement placement, double[] due, double[] weight) {
        this.placement = placement;
        this.due = due;
        this.weight = weight;
        loss = new double[due.length];
        bound = new boolean[due.length];
    }

    /**
     * What each owner loses, in slots. The placement has its work and room set.
     *
     * @param due what each is to have
     * @param weight by which losses are compared, over 0
     */
    static Levels fill(Placement placement, double[] due, double[] weight) {
        Levels levels = new Levels(placement, due, weight);
        while (levels.nextLevel()) {
            levels.first = levels.first == null ? levels.last : levels.first;
        }
        return levels;
    }

    private Placement.Cut last;

    /** Binds those whom the next level holds; false where nobody who is not bound loses anything. */
    private boolean nextLevel() {
        double level = 0;
        last = null;
        while (!placement.carries(least(level))) {
            Placement.Cut cut = placement.cut();
            double higher = levelFor(cut);
            last = cut;
            if (higher <= level + NONE) {
                break;
            }
            level = higher;
        }
        if (last == null) {
            return false;
        }
        boolean any = false;
        for (int i = 0; i < due.length; i++) {
            if (last.in()[i] && !bound[i]) {
                bound[i] = true;
                loss[i] = Math.min(due[i], level * weight[i]);
                any |= due[i] > 0;
            }
        }
        return any;
    }

    private double[] least(double level) {
        double[] least = new double[due.length];
        for (int i = 0; i < due.length; i++) {
            least[i] = due[i] - (bound[i] ? loss[i] : Math.min(due[i], level * weight[i]));
        }
        return least;
    }

    /** The lowest level at which those of the cut who are not bound fit into its room. */
    private double levelFor(Placement.Cut cut) {
        double over = -cut.room();
        double[] dues = new double[due.length];
        double[] weights = new double[due.length];
        int n = 0;
        for (int i = 0; i < due.length; i++) {
            if (cut.in()[i]) {
                over += due[i] - loss[i];
                if (!bound[i]) {
                    dues[n] = due[i];
                    weights[n++] = weight[i];
                }
            }
        }
        return level(Arrays.copyOf(dues, n), Arrays.copyOf(weights, n), over);
    }

    /**
     * The level at which losses of min(due, level x weight) add up to that much; if they never do, the one
     * at which all is lost.
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

    /** Who stood in each other's way first; null where nobody loses. */
    Placement.Cut first() {
        return first;
    }
}
