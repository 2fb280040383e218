package laneflow.maintenance.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What tenants lose while racks are down, and whether that is fair: the formulas of
 * {@code docs/maintenance-windows.md}. Demand and losses are in slots; a level is a loss over an
 * entitlement, without a unit. Not thread-safe; the same questions have the same answers.
 */
public final class Fairness {
    /** A loss of less is none: amounts are whole thousandths of a slot, and a sum of many may be off. */
    public static final double LEAST_LOSS = 0.05;

    private static final int MOST_UNIONS = 6;

    /**
     * What is settled by the operators.
     *
     * @param tolerance what a tenant may lose beyond its fair share, over its entitlement
     * @param shortage how far the fleet as a whole may fall short, over all entitlements, for a window to
     * be given
     * @param debt the account over the others' at which nothing of the tolerance is left
     * @param halfLifeMs in which an account's old losses count half
     */
    public record Limits(double tolerance, double shortage, double debt, double halfLifeMs) {
        public Limits {
            if (!(tolerance >= 0 && shortage >= 0 && debt > 0 && halfLifeMs > 0)) {
                throw new IllegalArgumentException("a term is below its least value");
            }
        }

        /** Two hundredths, five hundredths, a thousandth, a week. */
        public static Limits defaults() {
            return new Limits(0.02, 0.05, 0.001, 7 * 86_400_000.0);
        }
    }

    /**
     * An instant judged.
     *
     * @param loss what each tenant loses, in slots
     * @param allowed what each may lose, in slots
     * @param shortage what would be lost were every slot fit for everybody, in slots
     * @param level its part of the entitlements of those who are due something
     * @param fair true if nobody loses more than allowed, and the shortage is within the terms
     * @param violations why not, in words; who is short of what
     */
    public record Evaluation(
            double[] loss, double[] allowed, double shortage, double level, boolean fair, List<String> violations) {
        public double totalLoss() {
            return Arrays.stream(loss).sum();
        }
    }

    private final Inventory inventory;
    private final Limits terms;
    /** A kind of work is a tenant's classes that may run in the same cells. */
    private final List<Placement.Kind> kinds = new ArrayList<>();

    private final int[][] kindOf;
    private final int[][] kindsOf;
    private final double[] weight;
    private final Placement placement;
    private final boolean[] apart;

    public Fairness(Inventory inventory, Limits terms) {
        this.inventory = inventory;
        this.terms = terms;
        int tenants = inventory.tenants().size();
        kindOf = new int[tenants][inventory.classes().size()];
        kindsOf = new int[tenants][];
        apart = new boolean[tenants];
        weight = new double[tenants];
        for (int t = 0; t < tenants; t++) {
            int from = kinds.size();
            Map<Long, Integer> byPlaces = new LinkedHashMap<>();
            for (int k = 0; k < kindOf[t].length; k++) {
                long places = inventory.places(t, k);
                kindOf[t][k] = places == 0 ? -1 : byPlaces.computeIfAbsent(places, mask -> from + byPlaces.size());
            }
            int owner = t;
            byPlaces.keySet().forEach(places -> kinds.add(new Placement.Kind(owner, places)));
            kindsOf[t] = byPlaces.values().stream().mapToInt(i -> i).toArray();
            long seen = 0;
            apart[t] = true;
            for (long places : byPlaces.keySet()) {
                apart[t] &= (seen & places) == 0;
                seen |= places;
            }
            weight[t] = Math.max(inventory.entitlement(t), 1e-9);
        }
        placement = new Placement(kinds.toArray(Placement.Kind[]::new), tenants, inventory.cells());
    }

    public Inventory inventory() {
        return inventory;
    }

    public Limits limits() {
        return terms;
    }

    int kinds() {
        return kinds.size();
    }

    long places(int kind) {
        return kinds.get(kind).places();
    }

    int owner(int kind) {
        return kinds.get(kind).owner();
    }

    /**
     * What of a demand tenants are due, by kind of work: as much as their own parts of the whole carry.
     * All tenants can have what they are due at once while nothing is down; asking for more gains nothing.
     *
     * @param demand slots by tenant and class
     */
    public double[] due(double[][] demand) {
        double[] due = new double[kinds.size()];
        for (int t = 0; t < kindsOf.length; t++) {
            double[] asked = new double[kinds.size()];
            for (int k = 0; k < kindOf[t].length; k++) {
                if (kindOf[t][k] >= 0) {
                    asked[kindOf[t][k]] += Math.max(0, demand[t][k]) * inventory.stretch(k);
                }
            }
            if (apart[t]) {
                for (int kind : kindsOf[t]) {
                    due[kind] = Math.min(asked[kind], own(t, kinds.get(kind).places()));
                }
            } else {
                dueOf(t, asked, due);
            }
        }
        return due;
    }

    private double own(int tenant, long places) {
        double own = 0;
        for (int c = 0; c < inventory.cells(); c++) {
            own += (places & 1L << c) != 0 ? inventory.part(tenant, c) : 0;
        }
        return own;
    }

    /** Its classes share its own parts max-min fairly, each by what it asks for. */
    private void dueOf(int tenant, double[] asked, double[] due) {
        int n = kindsOf[tenant].length;
        if (n <= MOST_UNIONS) {
            dueByUnions(tenant, asked, due);
            return;
        }
        dueByFlow(tenant, asked, due);
    }

    /**
     * By all unions of its kinds' places: the one that falls shortest binds its kinds, and the rest goes on
     * with what these leave. There are two or three kinds as a rule, and this is asked for each span.
     */
    private void dueByUnions(int tenant, double[] asked, double[] due) {
        int n = kindsOf[tenant].length;
        double[] work = new double[1 << n];
        double[] room = new double[1 << n];
        for (int some = 1; some < 1 << n; some++) {
            long places = 0;
            for (int i = 0; i < n; i++) {
                if ((some & 1 << i) != 0) {
                    work[some] += asked[kindsOf[tenant][i]];
                    places |= kinds.get(kindsOf[tenant][i]).places();
                }
            }
            room[some] = own(tenant, places);
        }
        int bound = 0;
        double placed = 0;
        while (bound < (1 << n) - 1) {
            int worst = (1 << n) - 1;
            double level = 0;
            for (int some = 1; some < 1 << n; some++) {
                double more = work[some & ~bound];
                double lost = (some & bound) != bound || more <= 0 ? 0 : (more - room[some] + placed) / more;
                if (lost > level) {
                    level = Math.min(1, lost);
                    worst = some;
                }
            }
            for (int i = 0; i < n; i++) {
                if ((worst & ~bound & 1 << i) != 0) {
                    due[kindsOf[tenant][i]] = asked[kindsOf[tenant][i]] * (1 - level);
                    placed += due[kindsOf[tenant][i]];
                }
            }
            bound |= worst;
        }
    }

    private void dueByFlow(int tenant, double[] asked, double[] due) {
        int n = kindsOf[tenant].length;
        Placement.Kind[] own = new Placement.Kind[n];
        double[] work = new double[n];
        double[] by = new double[n];
        for (int i = 0; i < n; i++) {
            own[i] = new Placement.Kind(i, kinds.get(kindsOf[tenant][i]).places());
            work[i] = asked[kindsOf[tenant][i]];
            by[i] = Math.max(work[i], 1e-9);
        }
        double[] room = new double[inventory.cells()];
        for (int c = 0; c < room.length; c++) {
            room[c] = inventory.part(tenant, c);
        }
        Placement classes = new Placement(own, n, room.length);
        classes.set(work, room);
        double[] loss = Levels.fill(classes, work, by).loss();
        for (int i = 0; i < n; i++) {
            due[kindsOf[tenant][i]] = work[i] - loss[i];
        }
    }

    /** The same by tenant. */
    public double[] byTenant(double[] due) {
        double[] sum = new double[kindsOf.length];
        for (int i = 0; i < due.length; i++) {
            sum[kinds.get(i).owner()] += due[i];
        }
        return sum;
    }

    /** The level at which a shortage is spread over those who are due something. */
    double level(double[] dueByTenant, double shortage) {
        return Levels.level(dueByTenant, weight, shortage);
    }

    /** What is left of a tenant's tolerance, over its entitlement; less if its account is over the mean. */
    double tolerance(double[] accounts, int tenant) {
        double over = accounts == null ? 0 : accounts[tenant];
        return terms.tolerance() * Math.min(1, Math.max(0, 1 - over / terms.debt()));
    }

    /**
     * True if what is left can be shared so that nobody loses more than allowed: what {@link #evaluate} says
     * of fairness, by a single flow.
     *
     * @param left slots by cell
     * @param accounts each tenant's account over the mean, or null
     */
    public boolean isFair(double[] due, double[] left, double[] accounts) {
        double[] dues = byTenant(due);
        double shortage = shortage(dues, left);
        double level = level(dues, shortage);
        placement.set(due, left);
        double[] least = new double[dues.length];
        double entitled = 0;
        for (int t = 0; t < least.length; t++) {
            double allowed = (level + tolerance(accounts, t)) * weight[t] + LEAST_LOSS;
            least[t] = Math.max(0, dues[t] - allowed);
            entitled += weight[t];
        }
        return shortage <= terms.shortage() * entitled + LEAST_LOSS && placement.carries(least);
    }

    private static double shortage(double[] dues, double[] left) {
        return Math.max(0, Arrays.stream(dues).sum() - Arrays.stream(left).sum());
    }

    /** The losses of an instant, and whether they are fair. */
    public Evaluation evaluate(double[] due, double[] left, double[] accounts) {
        double[] dues = byTenant(due);
        double shortage = shortage(dues, left);
        double level = level(dues, shortage);
        placement.set(due, left);
        double[] by = new double[dues.length];
        double[] allowed = new double[dues.length];
        double entitled = 0;
        for (int t = 0; t < by.length; t++) {
            allowed[t] = (level + tolerance(accounts, t)) * weight[t];
            by[t] = allowed[t] + LEAST_LOSS;
            entitled += weight[t];
        }
        Levels levels = Levels.fill(placement, dues, by);
        double[] loss = levels.loss();
        List<String> violations = new ArrayList<>();
        if (shortage > terms.shortage() * entitled + LEAST_LOSS) {
            violations.add(String.format(
                    Locale.ROOT,
                    "the fleet is %.1f slots short, at most %.1f are allowed",
                    shortage,
                    terms.shortage() * entitled));
        }
        boolean fair = violations.isEmpty();
        for (int t = 0; t < loss.length; t++) {
            loss[t] = loss[t] < LEAST_LOSS ? 0 : loss[t];
            if (loss[t] > allowed[t] + LEAST_LOSS * (1 + 1e-6)) {
                fair = false;
                violations.add(String.format(
                        Locale.ROOT,
                        "tenant %s loses %.1f slots, its fair share" + " is %.1f%s",
                        inventory.tenants().get(t).name(),
                        loss[t],
                        allowed[t],
                        where(levels.first(), t)));
            }
        }
        return new Evaluation(loss, allowed, shortage, level, fair, List.copyOf(violations));
    }

    private String where(Placement.Cut cut, int tenant) {
        if (cut == null || !cut.in()[tenant]) {
            return "";
        }
        List<String> full = new ArrayList<>();
        for (int c = 0; c < inventory.cells() && full.size() < 3; c++) {
            if ((cut.places() & 1L << c) != 0) {
                full.add(inventory.cell(c));
            }
        }
        return full.isEmpty() ? "" : " (full: " + String.join("; ", full) + ")";
    }

    /** Flows asked for so far. */
    int flows() {
        return placement.asked();
    }
}
