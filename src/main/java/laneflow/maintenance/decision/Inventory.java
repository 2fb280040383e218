package laneflow.maintenance.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What a fleet's operators have, as planning needs it: racks with the slots of their endpoints, and tenants
 * with their shares. Endpoints of one zone that run the same classes are one <em>cell</em>: for whoever
 * looks for room they are alike, and there are few cells where there are thousands of endpoints. Never
 * changed; no I/O. The terms are those of {@code docs/maintenance-windows.md}.
 */
public final class Inventory {
    /** The most classes, a bit each, and the most cells, a bit each too. */
    public static final int MOST = 64;

    /**
     * Endpoints of a rack that run the same classes.
     *
     * @param classes a bit for each class that they run
     * @param slots of all of them together
     * @param memory units of memory of all of them together; 0: not counted
     */
    public record EndpointGroup(long classes, double slots, double memory) {}

    /** A rack: it goes down as one. */
    public record Rack(String name, String zone, List<EndpointGroup> parts) {
        public Rack {
            parts = List.copyOf(parts);
        }

        public double slots() {
            return parts.stream().mapToDouble(EndpointGroup::slots).sum();
        }
    }

    /**
     * A tenant, as {@code Req-Owner} names it.
     *
     * @param share its weight among those who may run at a place, over 0
     * @param zones where it may run; empty: everywhere
     * @param classes a bit for each class that it may run
     */
    public record Tenant(String name, double share, Set<String> zones, long classes) {
        public Tenant {
            zones = Set.copyOf(zones);
        }
    }

    private record Key(String zone, long classes) {}

    private final List<String> classes;
    private final double[] stretch;
    private final List<Rack> racks;
    private final List<Tenant> tenants;
    private final Map<String, Integer> rackNumbers = new HashMap<>();
    private final List<Key> cells = new ArrayList<>();
    /** Slots of a rack in a cell, and of all racks. */
    private final double[][] rackSlots;

    private final double[] whole;
    private final double[][] parts;
    private final double[] entitlement;

    /**
     * @param classes the names of the classes
     * @param memory units of memory that a slot of each class takes
     * @throws IllegalArgumentException if there are more classes or cells than bits, a name twice, or a
     * share or size that is none
     */
    public Inventory(List<String> classes, double[] memory, List<Rack> racks, List<Tenant> tenants) {
        if (classes.size() > MOST || memory.length != classes.size()) {
            throw new IllegalArgumentException(classes.size() + " classes, the most are " + MOST);
        }
        this.classes = List.copyOf(classes);
        this.racks = List.copyOf(racks);
        this.tenants = List.copyOf(tenants);
        Map<Key, Integer> index = new LinkedHashMap<>();
        for (Rack rack : racks) {
            if (rackNumbers.put(rack.name(), rackNumbers.size()) != null) {
                throw new IllegalArgumentException("rack " + rack.name() + " is there twice");
            }
            for (EndpointGroup part : rack.parts()) {
                if (!(part.slots() >= 0 && part.memory() >= 0)) {
                    throw new IllegalArgumentException("rack " + rack.name() + ": " + part);
                }
                index.computeIfAbsent(new Key(rack.zone(), part.classes()), key -> index.size());
            }
        }
        if (index.size() > MOST) {
            throw new IllegalArgumentException(index.size() + " kinds of place, the most are " + MOST);
        }
        cells.addAll(index.keySet());
        rackSlots = new double[racks.size()][cells.size()];
        whole = new double[cells.size()];
        double[] cellMemory = new double[cells.size()];
        for (int r = 0; r < racks.size(); r++) {
            for (EndpointGroup part : racks.get(r).parts()) {
                int cell = index.get(new Key(racks.get(r).zone(), part.classes()));
                rackSlots[r][cell] += part.slots();
                whole[cell] += part.slots();
                cellMemory[cell] += part.memory();
            }
        }
        stretch = stretch(memory, cellMemory);
        parts = new double[tenants.size()][cells.size()];
        entitlement = new double[tenants.size()];
        entitle();
    }

    /**
     * What a slot of each class takes of the leanest place where it may run, memory told in slots: a job
     * that needs more memory than comes with its slots fills further slots. That leaves out that others may
     * need less, so it counts against a window, never for it.
     */
    private double[] stretch(double[] memory, double[] cellMemory) {
        double[] factors = new double[classes.size()];
        for (int k = 0; k < factors.length; k++) {
            factors[k] = 1;
            for (int c = 0; c < cells.size(); c++) {
                boolean counted = whole[c] > 0 && cellMemory[c] > 0 && memory[k] > 0;
                if (counted && (cells.get(c).classes() & 1L << k) != 0) {
                    factors[k] = Math.max(factors[k], memory[k] * whole[c] / cellMemory[c]);
                }
            }
        }
        return factors;
    }

    private void entitle() {
        for (int c = 0; c < whole.length; c++) {
            double shares = 0;
            for (int t = 0; t < parts.length; t++) {
                shares += may(t, c) ? tenants.get(t).share() : 0;
            }
            for (int t = 0; t < parts.length; t++) {
                if (!(tenants.get(t).share() > 0)) {
                    throw new IllegalArgumentException(
                            "tenant " + tenants.get(t).name() + ": no share");
                }
                parts[t][c] = may(t, c) ? whole[c] * tenants.get(t).share() / shares : 0;
                entitlement[t] += parts[t][c];
            }
        }
    }

    private boolean may(int tenant, int cell) {
        Tenant one = tenants.get(tenant);
        Key place = cells.get(cell);
        return (one.classes() & place.classes()) != 0
                && (one.zones().isEmpty() || one.zones().contains(place.zone()));
    }

    /** A bit for each cell in which a tenant's jobs of a class may run. */
    public long places(int tenant, int klass) {
        long mask = 0;
        boolean runs = (tenants.get(tenant).classes() & 1L << klass) != 0;
        for (int c = 0; c < cells.size() && runs; c++) {
            boolean here = may(tenant, c) && (cells.get(c).classes() & 1L << klass) != 0;
            mask |= here ? 1L << c : 0;
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
        return whole.length;
    }

    /** A cell in words: its zone and its classes. */
    public String cell(int cell) {
        List<String> names = new ArrayList<>();
        for (int k = 0; k < classes.size(); k++) {
            if ((cells.get(cell).classes() & 1L << k) != 0) {
                names.add(classes.get(k));
            }
        }
        return "zone " + cells.get(cell).zone() + ", " + String.join("+", names);
    }

    /** The rack's number, or -1. */
    public int rackIndex(String name) {
        return rackNumbers.getOrDefault(name, -1);
    }

    /** A rack's slots in a cell. */
    public double slots(int rack, int cell) {
        return rackSlots[rack][cell];
    }

    /** Slots by cell with everything up. */
    public double[] totalSlots() {
        return whole.clone();
    }

    /** Slots by cell without these racks. */
    public double[] slotsWithout(Iterable<Integer> out) {
        double[] left = totalSlots();
        for (int rack : out) {
            for (int c = 0; c < left.length; c++) {
                left[c] = Math.max(0, left[c] - rackSlots[rack][c]);
            }
        }
        return left;
    }

    /** Slots of its own that a slot of a class takes, memory included; at least 1. */
    public double stretch(int klass) {
        return stretch[klass];
    }

    /** What of a cell a tenant is entitled to, in slots. */
    public double part(int tenant, int cell) {
        return parts[tenant][cell];
    }

    /** What a tenant is entitled to, in slots. */
    public double entitlement(int tenant) {
        return entitlement[tenant];
    }

    @Override
    public String toString() {
        return racks.size() + " racks, " + tenants.size() + " tenants, slots by cell " + Arrays.toString(whole);
    }
}
