package laneflow.maintenance.decision;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import laneflow.maintenance.decision.Inventory.EndpointGroup;
import laneflow.maintenance.decision.Inventory.Rack;
import laneflow.maintenance.decision.Inventory.Tenant;

/** Inventories and demands generated from a seed: uneven racks, tenants restricted to zones and classes. */
final class RandomInventory {
    static final String[] ZONES = {"a", "b", "c", "d"};

    final Inventory inventory;
    final double[] memory;
    private final SplittableRandom random;

    RandomInventory(long seed, int racks, int tenants, boolean lowMemory) {
        random = new SplittableRandom(seed);
        List<Rack> allRacks = new ArrayList<>();
        for (int r = 0; r < racks; r++) {
            // Three kinds of endpoint; the third runs the classes of both others.
            int kind = r % 5 == 0 ? 3 : 1 + r / 4 % 2;
            double slots = 8 * (2 + random.nextInt(5));
            allRacks.add(new Rack("r" + r, ZONES[r % ZONES.length], List.of(new EndpointGroup(kind, slots, slots))));
        }
        List<Tenant> allTenants = new ArrayList<>();
        for (int t = 0; t < tenants; t++) {
            Set<String> zones = new HashSet<>();
            if (random.nextInt(3) == 0) {
                zones.add(ZONES[random.nextInt(4)]);
                zones.add(ZONES[random.nextInt(4)]);
            }
            allTenants.add(new Tenant("t" + t, 1 + random.nextInt(5), zones, random.nextInt(6) == 0 ? 1 : 3));
        }
        memory = lowMemory ? new double[] {0.5, 0.8} : new double[] {0.5, 1 + random.nextDouble()};
        inventory = new Inventory(List.of("quick", "batch"), memory, allRacks, allTenants);
    }

    /** Slots by tenant and class: each tenant at about this fraction of its entitlement, some far above it. */
    double[][] demand(double load) {
        double[][] demand = new double[inventory.tenants().size()][2];
        for (int t = 0; t < demand.length; t++) {
            double slots = inventory.entitlement(t) * load * (0.5 + random.nextDouble());
            slots *= random.nextInt(8) == 0 ? 3 : 1;
            double quick = random.nextDouble();
            demand[t][0] = slots * quick / inventory.slotFactor(0);
            demand[t][1] = slots * (1 - quick) / inventory.slotFactor(1);
        }
        return demand;
    }

    List<Integer> randomRacks(int racks) {
        Set<Integer> chosen = new HashSet<>();
        while (chosen.size() < racks) {
            chosen.add(random.nextInt(inventory.racks().size()));
        }
        return new ArrayList<>(chosen);
    }
}
