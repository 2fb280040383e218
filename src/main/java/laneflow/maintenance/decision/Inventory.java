package laneflow.maintenance.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The fleet as planning sees it: racks with the slots of their endpoints, and tenants with their shares.
 * Endpoints of one zone that run the same classes form one <em>cell</em>: they are interchangeable for
 * placement, and there are few cells where there are thousands of endpoints. Immutable; no I/O. The terms are
 * those of {@code docs/maintenance-windows.md}.
 */
public final class Inventory {
    /** Limit on classes and on cells, since each takes a bit of a {@code long} mask. */
    public static final int MAX_BITS = 64;

    /**
     * Endpoints of a rack that run the same classes.
     *
     * @param classes bit mask of the classes that they run
     * @param slots total slots
     * @param memory total memory units; 0 if memory is not limited
     */
    public record EndpointGroup(long classes, double slots, double memory) {}

    /** A rack; all its endpoints go down together. */
    public record Rack(String name, String zone, List<EndpointGroup> groups) {
        public Rack {
            groups = List.copyOf(groups);
        }

        public double slots() {
            return groups.stream().mapToDouble(EndpointGroup::slots).sum();
        }
    }

    /**
     * A tenant, named as in {@code Req-Owner}.
     *
     * @param share its weight among the tenants that may run in a cell, greater than 0
     * @param zones where it may run; empty: everywhere
     * @param classes bit mask of the classes that it may run
     */
    public record Tenant(String name, double share, Set<String> zones, long classes) {
        public Tenant {
            zones = Set.copyOf(zones);
        }
    }

    private record CellKey(String zone, long classes) {}

    private final List<String> classes;
    private final double[] slotFactors;
    private final List<Rack> racks;
    private final List<Tenant> tenants;
    private final Map<String, Integer> rackNumbers = new HashMap<>();
    private final List<CellKey> cells = new ArrayList<>();
    /** Slots by rack and cell. */
    private final double[][] rackSlots;

    private final double[] cellSlots;
    private final double[][] cellEntitlements;
    private final double[] entitlement;

    /**
     * @param classes the names of the classes
     * @param memory units of memory that a slot of each class takes
     * @throws IllegalArgumentException if there are more classes or cells than bits, a duplicate rack, or a
     * share, slot count or memory out of range
     */
    public Inventory(List<String> classes, double[] memory, List<Rack> racks, List<Tenant> tenants) {
        if (classes.size() > MAX_BITS || memory.length != classes.size()) {
            throw new IllegalArgumentException(classes.size() + " classes, at most " + MAX_BITS);
        }
        this.classes = List.copyOf(classes);
        this.racks = List.copyOf(racks);
        this.tenants = List.copyOf(tenants);
        Map<CellKey, Integer> index = new LinkedHashMap<>();
        for (Rack rack : racks) {
            if (rackNumbers.put(rack.name(), rackNumbers.size()) != null) {
                throw new IllegalArgumentException("rack " + rack.name() + " is a duplicate");
            }
            for (EndpointGroup group : rack.groups()) {
                if (!(group.slots() >= 0 && group.memory() >= 0)) {
                    throw new IllegalArgumentException("rack " + rack.name() + ": " + group);
                }
                index.computeIfAbsent(new CellKey(rack.zone(), group.classes()), key -> index.size());
            }
        }
        if (index.size() > MAX_BITS) {
            throw new IllegalArgumentException(index.size() + " cells, at most " + MAX_BITS);
        }
        cells.addAll(index.keySet());
        rackSlots = new double[racks.size()][cells.size()];
        cellSlots = new double[cells.size()];
        double[] cellMemory = new double[cells.size()];
        for (int r = 0; r < racks.size(); r++) {
            for (EndpointGroup group : racks.get(r).groups()) {
                int cell = index.get(new CellKey(racks.get(r).zone(), group.classes()));
                rackSlots[r][cell] += group.slots();
                cellSlots[cell] += group.slots();
                cellMemory[cell] += group.memory();
            }
        }
        slotFactors = slotFactors(memory, cellMemory);
        cellEntitlements = new double[tenants.size()][cells.size()];
        entitlement = new double[tenants.size()];
        computeEntitlements();
    }

    /**
     * Slots that a job of each class takes in the cell with the least memory per slot, with memory converted
     * to slots: a job that needs more memory than comes with a slot fills further slots. That ignores that
     * other jobs may need less memory, so it can only count against a window.
     */
    private double[] slotFactors(double[] memory, double[] cellMemory) {
        double[] factors = new double[classes.size()];
        for (int k = 0; k < factors.length; k++) {
            factors[k] = 1;
            for (int c = 0; c < cells.size(); c++) {
                boolean counted = cellSlots[c] > 0 && cellMemory[c] > 0 && memory[k] > 0;
                if (counted && (cells.get(c).classes() & 1L << k) != 0) {
                    factors[k] = Math.max(factors[k], memory[k] * cellSlots[c] / cellMemory[c]);
                }
            }
        }
        return factors;
    }

    private void computeEntitlements() {
        for (int c = 0; c < cellSlots.length; c++) {
            double shares = 0;
            for (int t = 0; t < cellEntitlements.length; t++) {
                shares += isEligible(t, c) ? tenants.get(t).share() : 0;
            }
            for (int t = 0; t < cellEntitlements.length; t++) {
                if (!(tenants.get(t).share() > 0)) {
                    throw new IllegalArgumentException(
                            "tenant " + tenants.get(t).name() + ": no share");
                }
                cellEntitlements[t][c] =
                        isEligible(t, c) ? cellSlots[c] * tenants.get(t).share() / shares : 0;
                entitlement[t] += cellEntitlements[t][c];
            }
        }
    }

    private boolean isEligible(int tenant, int cell) {
        Tenant eligibleTenant = tenants.get(tenant);
        CellKey place = cells.get(cell);
        return (eligibleTenant.classes() & place.classes()) != 0
                && (eligibleTenant.zones().isEmpty() || eligibleTenant.zones().contains(place.zone()));
    }

    /** Bit mask of the cells in which a tenant's jobs of a class may run. */
    public long eligibleCells(int tenant, int klass) {
        long mask = 0;
        boolean runs = (tenants.get(tenant).classes() & 1L << klass) != 0;
        for (int c = 0; c < cells.size() && runs; c++) {
            boolean isCellEligible = isEligible(tenant, c) && (cells.get(c).classes() & 1L << klass) != 0;
            mask |= isCellEligible ? 1L << c : 0;
        }
        return mask;
    }

    public List<String> classes() {
        return classes;
    }

    public List<Rack> racks() {
        return racks;
    }

    public List<Tenant> tenants() {
        return tenants;
    }

    public int cells() {
        return cellSlots.length;
    }

    /** Text for a cell: its zone and its classes. */
    public String describeCell(int cell) {
        List<String> names = new ArrayList<>();
        for (int k = 0; k < classes.size(); k++) {
            if ((cells.get(cell).classes() & 1L << k) != 0) {
                names.add(classes.get(k));
            }
        }
        return "zone " + cells.get(cell).zone() + ", " + String.join("+", names);
    }

    /** The index of a rack, or -1 if it is unknown. */
    public int rackIndex(String name) {
        return rackNumbers.getOrDefault(name, -1);
    }

    /** Slots of a rack in a cell. */
    public double slots(int rack, int cell) {
        return rackSlots[rack][cell];
    }

    /** Slots by cell with all racks up. */
    public double[] totalSlots() {
        return cellSlots.clone();
    }

    /** Slots by cell with these racks down. */
    public double[] slotsWithout(Iterable<Integer> down) {
        double[] left = totalSlots();
        for (int rack : down) {
            for (int c = 0; c < left.length; c++) {
                left[c] = Math.max(0, left[c] - rackSlots[rack][c]);
            }
        }
        return left;
    }

    /** Slots that a job of a class takes, memory included; at least 1. */
    public double slotFactor(int klass) {
        return slotFactors[klass];
    }

    /** Slots of a cell to which a tenant is entitled. */
    public double cellEntitlement(int tenant, int cell) {
        return cellEntitlements[tenant][cell];
    }

    /** Slots to which a tenant is entitled. */
    public double entitlement(int tenant) {
        return entitlement[tenant];
    }

    @Override
    public String toString() {
        return racks.size() + " racks, " + tenants.size() + " tenants, slots by cell " + Arrays.toString(cellSlots);
    }
}
