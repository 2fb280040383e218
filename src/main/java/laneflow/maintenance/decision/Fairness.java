package laneflow.maintenance.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Computes what tenants lose while racks are down and whether that is fair, by the formulas of {@code
 * docs/maintenance-windows.md}. Demand and losses are in slots; a level is a loss divided by an entitlement.
 * Deterministic; not thread-safe.
 */
public final class Fairness {
    /**
     * Losses below this, in slots, count as none: flow amounts are whole thousandths of a slot, and sums of
     * many of them carry rounding errors.
     */
    public static final double LOSS_EPSILON = 0.05;

    private static final int MAX_UNION_KINDS = 6;

    /**
     * Fairness limits set by the operators.
     *
     * @param tolerance what a tenant may lose beyond its fair share, as a fraction of its entitlement
     * @param shortage the largest shortage of the whole fleet at which a window is granted, as a fraction of
     * all entitlements
     * @param debt loss rate above the mean at which no tolerance is left
     * @param halfLifeMs half-life of old losses in the accounts
     */
    public record Limits(double tolerance, double shortage, double debt, double halfLifeMs) {
        public Limits {
            if (!(tolerance >= 0 && shortage >= 0 && debt > 0 && halfLifeMs > 0)) {
                throw new IllegalArgumentException("a fairness limit is out of range");
            }
        }

        /** Tolerance 0.02, shortage 0.05, debt 0.001, half-life one week. */
        public static Limits defaults() {
            return new Limits(0.02, 0.05, 0.001, 7 * 86_400_000.0);
        }
    }

    /**
     * Evaluation of an instant.
     *
     * @param loss what each tenant loses, in slots
     * @param allowed what each tenant may lose, in slots
     * @param shortage what would be lost if every slot suited every tenant, in slots
     * @param level the shortage as a fraction of the entitlements of the tenants that are due something
     * @param fair true if no tenant loses more than allowed and the shortage is within the limit
     * @param violations why it is not fair, as text: which tenant is short of what
     */
    public record Evaluation(
            double[] loss, double[] allowed, double shortage, double level, boolean fair, List<String> violations) {
        public double totalLoss() {
            return Arrays.stream(loss).sum();
        }
    }

    private final Inventory inventory;
    private final Limits limits;
    /** A kind of work is the classes of one tenant that may run in the same cells. */
    private final List<Placement.WorkKind> kinds = new ArrayList<>();

    private final int[][] kindByClass;
    private final int[][] kindsByTenant;
    private final double[] weight;
    private final Placement placement;
    private final boolean[] isDisjoint;

    public Fairness(Inventory inventory, Limits limits) {
        this.inventory = inventory;
        this.limits = limits;
        int tenants = inventory.tenants().size();
        kindByClass = new int[tenants][inventory.classes().size()];
        kindsByTenant = new int[tenants][];
        isDisjoint = new boolean[tenants];
        weight = new double[tenants];
        for (int t = 0; t < tenants; t++) {
            int from = kinds.size();
            Map<Long, Integer> byCellMask = new LinkedHashMap<>();
            for (int k = 0; k < kindByClass[t].length; k++) {
                long cellMask = inventory.eligibleCells(t, k);
                kindByClass[t][k] =
                        cellMask == 0 ? -1 : byCellMask.computeIfAbsent(cellMask, key -> from + byCellMask.size());
            }
            int owner = t;
            byCellMask.keySet().forEach(cellMask -> kinds.add(new Placement.WorkKind(owner, cellMask)));
            kindsByTenant[t] = byCellMask.values().stream().mapToInt(i -> i).toArray();
            long cellsSeen = 0;
            isDisjoint[t] = true;
            for (long cellMask : byCellMask.keySet()) {
                isDisjoint[t] &= (cellsSeen & cellMask) == 0;
                cellsSeen |= cellMask;
            }
            weight[t] = Math.max(inventory.entitlement(t), 1e-9);
        }
        placement = new Placement(kinds.toArray(Placement.WorkKind[]::new), tenants, inventory.cells());
    }

    public Inventory inventory() {
        return inventory;
    }

    public Limits limits() {
        return limits;
    }

    int kinds() {
        return kinds.size();
    }

    long cellMask(int kind) {
        return kinds.get(kind).cellMask();
    }

    int owner(int kind) {
        return kinds.get(kind).owner();
    }

    /**
     * Caps a demand to what tenants are due, by kind of work: as much as their own parts of the whole fleet
     * carry. While nothing is down all tenants can have what they are due at once, and requesting more gains
     * nothing.
     *
     * @param demand slots by tenant and class
     */
    public double[] due(double[][] demand) {
        double[] due = new double[kinds.size()];
        for (int t = 0; t < kindsByTenant.length; t++) {
            double[] requested = new double[kinds.size()];
            for (int k = 0; k < kindByClass[t].length; k++) {
                if (kindByClass[t][k] >= 0) {
                    requested[kindByClass[t][k]] += Math.max(0, demand[t][k]) * inventory.slotFactor(k);
                }
            }
            if (isDisjoint[t]) {
                for (int kind : kindsByTenant[t]) {
                    due[kind] = Math.min(
                            requested[kind], entitlementIn(t, kinds.get(kind).cellMask()));
                }
            } else {
                addDue(t, requested, due);
            }
        }
        return due;
    }

    private double entitlementIn(int tenant, long cellMask) {
        double slots = 0;
        for (int c = 0; c < inventory.cells(); c++) {
            slots += (cellMask & 1L << c) != 0 ? inventory.cellEntitlement(tenant, c) : 0;
        }
        return slots;
    }

    /** Shares the tenant's own cell entitlements max-min fairly among its classes, weighted by demand. */
    private void addDue(int tenant, double[] requested, double[] due) {
        int n = kindsByTenant[tenant].length;
        if (n <= MAX_UNION_KINDS) {
            dueByUnions(tenant, requested, due);
            return;
        }
        dueByFlow(tenant, requested, due);
    }

    /**
     * Enumerates all unions of the kinds' cells: the one with the largest relative shortfall fixes its kinds,
     * and the rest continues with the remaining capacity. A tenant usually has two or three kinds, and this
     * runs for each span of the forecast.
     */
    private void dueByUnions(int tenant, double[] requested, double[] due) {
        int n = kindsByTenant[tenant].length;
        double[] work = new double[1 << n];
        double[] capacity = new double[1 << n];
        for (int subset = 1; subset < 1 << n; subset++) {
            long cellMask = 0;
            for (int i = 0; i < n; i++) {
                if ((subset & 1 << i) != 0) {
                    work[subset] += requested[kindsByTenant[tenant][i]];
                    cellMask |= kinds.get(kindsByTenant[tenant][i]).cellMask();
                }
            }
            capacity[subset] = entitlementIn(tenant, cellMask);
        }
        int boundMask = 0;
        double placed = 0;
        while (boundMask < (1 << n) - 1) {
            int worst = (1 << n) - 1;
            double level = 0;
            for (int subset = 1; subset < 1 << n; subset++) {
                double remaining = work[subset & ~boundMask];
                double lossFraction = (subset & boundMask) != boundMask || remaining <= 0
                        ? 0
                        : (remaining - capacity[subset] + placed) / remaining;
                if (lossFraction > level) {
                    level = Math.min(1, lossFraction);
                    worst = subset;
                }
            }
            for (int i = 0; i < n; i++) {
                if ((worst & ~boundMask & 1 << i) != 0) {
                    due[kindsByTenant[tenant][i]] = requested[kindsByTenant[tenant][i]] * (1 - level);
                    placed += due[kindsByTenant[tenant][i]];
                }
            }
            boundMask |= worst;
        }
    }

    private void dueByFlow(int tenant, double[] requested, double[] due) {
        int n = kindsByTenant[tenant].length;
        Placement.WorkKind[] workKinds = new Placement.WorkKind[n];
        double[] work = new double[n];
        double[] scale = new double[n];
        for (int i = 0; i < n; i++) {
            workKinds[i] = new Placement.WorkKind(
                    i, kinds.get(kindsByTenant[tenant][i]).cellMask());
            work[i] = requested[kindsByTenant[tenant][i]];
            scale[i] = Math.max(work[i], 1e-9);
        }
        double[] capacity = new double[inventory.cells()];
        for (int c = 0; c < capacity.length; c++) {
            capacity[c] = inventory.cellEntitlement(tenant, c);
        }
        Placement classes = new Placement(workKinds, n, capacity.length);
        classes.set(work, capacity);
        double[] loss = MaxMinLosses.fill(classes, work, scale).loss();
        for (int i = 0; i < n; i++) {
            due[kindsByTenant[tenant][i]] = work[i] - loss[i];
        }
    }

    /** Sums amounts by kind of work to amounts by tenant. */
    public double[] sumByTenant(double[] due) {
        double[] sum = new double[kindsByTenant.length];
        for (int i = 0; i < due.length; i++) {
            sum[kinds.get(i).owner()] += due[i];
        }
        return sum;
    }

    /** The level at which a shortage is spread over the tenants that are due something. */
    double level(double[] dueByTenant, double shortage) {
        return MaxMinLosses.level(dueByTenant, weight, shortage);
    }

    /**
     * Remaining tolerance of a tenant, as a fraction of its entitlement; reduced if its loss rate is above the
     * mean.
     */
    double tolerance(double[] accounts, int tenant) {
        double over = accounts == null ? 0 : accounts[tenant];
        return limits.tolerance() * Math.min(1, Math.max(0, 1 - over / limits.debt()));
    }

    /**
     * True if the remaining slots can be shared so that no tenant loses more than allowed: the {@code fair}
     * result of {@link #evaluate}, computed with a single flow.
     *
     * @param left slots by cell
     * @param accounts each tenant's loss rate above the mean, or null
     */
    public boolean isFair(double[] due, double[] left, double[] accounts) {
        double[] dues = sumByTenant(due);
        double shortage = shortage(dues, left);
        double level = level(dues, shortage);
        placement.set(due, left);
        double[] minimums = new double[dues.length];
        double entitled = 0;
        for (int t = 0; t < minimums.length; t++) {
            double allowed = (level + tolerance(accounts, t)) * weight[t] + LOSS_EPSILON;
            minimums[t] = Math.max(0, dues[t] - allowed);
            entitled += weight[t];
        }
        return shortage <= limits.shortage() * entitled + LOSS_EPSILON && placement.isFeasible(minimums);
    }

    private static double shortage(double[] dues, double[] left) {
        return Math.max(0, Arrays.stream(dues).sum() - Arrays.stream(left).sum());
    }

    /** Computes the losses at an instant and whether they are fair. */
    public Evaluation evaluate(double[] due, double[] left, double[] accounts) {
        double[] dues = sumByTenant(due);
        double shortage = shortage(dues, left);
        double level = level(dues, shortage);
        placement.set(due, left);
        double[] scale = new double[dues.length];
        double[] allowed = new double[dues.length];
        double entitled = 0;
        for (int t = 0; t < scale.length; t++) {
            allowed[t] = (level + tolerance(accounts, t)) * weight[t];
            scale[t] = allowed[t] + LOSS_EPSILON;
            entitled += weight[t];
        }
        MaxMinLosses levels = MaxMinLosses.fill(placement, dues, scale);
        double[] loss = levels.loss();
        List<String> violations = new ArrayList<>();
        if (shortage > limits.shortage() * entitled + LOSS_EPSILON) {
            violations.add(String.format(
                    Locale.ROOT,
                    "the fleet is %.1f slots short, at most %.1f are allowed",
                    shortage,
                    limits.shortage() * entitled));
        }
        boolean fair = violations.isEmpty();
        for (int t = 0; t < loss.length; t++) {
            loss[t] = loss[t] < LOSS_EPSILON ? 0 : loss[t];
            if (loss[t] > allowed[t] + LOSS_EPSILON * (1 + 1e-6)) {
                fair = false;
                violations.add(String.format(
                        Locale.ROOT,
                        "tenant %s loses %.1f slots, its fair share" + " is %.1f%s",
                        inventory.tenants().get(t).name(),
                        loss[t],
                        allowed[t],
                        describeFullCells(levels.firstCut(), t)));
            }
        }
        return new Evaluation(loss, allowed, shortage, level, fair, List.copyOf(violations));
    }

    private String describeFullCells(Placement.Cut cut, int tenant) {
        if (cut == null || !cut.in()[tenant]) {
            return "";
        }
        List<String> full = new ArrayList<>();
        for (int c = 0; c < inventory.cells() && full.size() < 3; c++) {
            if ((cut.cellMask() & 1L << c) != 0) {
                full.add(inventory.describeCell(c));
            }
        }
        return full.isEmpty() ? "" : " (full: " + String.join("; ", full) + ")";
    }

    /** Number of flows computed so far. */
    int flowCount() {
        return placement.flowCount();
    }
}
