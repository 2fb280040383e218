package laneflow.maintenance.decision;

import java.util.Arrays;
import java.util.Set;
import org.jgrapht.alg.flow.PushRelabelMFImpl;
import org.jgrapht.graph.DefaultDirectedWeightedGraph;
import org.jgrapht.graph.DefaultWeightedEdge;

/**
 * Feasibility of placing work in cells, as a maximum flow from each owner over its kinds of work to the cells
 * in which these may run. Decides whether all owners can have a minimum amount at once, and if not, which of
 * them compete (the minimum cut). The flow is JGraphT's push-relabel implementation (Goldberg and Tarjan,
 * 1988); amounts are whole thousandths of a slot, so that no sum depends on the order of addition. Not
 * thread-safe.
 */
final class Placement {
    private static final double UNITS_PER_SLOT = 1000;

    /** Work of an owner that may run in the same cells. */
    record WorkKind(int owner, long cellMask) {}

    private final WorkKind[] kinds;
    private final int owners;
    private final int cells;
    private final DefaultDirectedWeightedGraph<Integer, DefaultWeightedEdge> graph =
            new DefaultDirectedWeightedGraph<>(DefaultWeightedEdge.class);
    private final DefaultWeightedEdge[] ownerEdges;
    private final DefaultWeightedEdge[] kindEdges;
    private final DefaultWeightedEdge[] cellEdges;
    private final double[] kindCapacity;
    private final double[] cellCapacity;
    private PushRelabelMFImpl<Integer, DefaultWeightedEdge> flow;
    private int flowCount;

    Placement(WorkKind[] kinds, int owners, int cells) {
        this.kinds = kinds.clone();
        this.owners = owners;
        this.cells = cells;
        ownerEdges = new DefaultWeightedEdge[owners];
        kindEdges = new DefaultWeightedEdge[kinds.length];
        cellEdges = new DefaultWeightedEdge[cells];
        kindCapacity = new double[kinds.length];
        cellCapacity = new double[cells];
        for (int i = 0; i < 2 + owners + kinds.length + cells; i++) {
            graph.addVertex(i);
        }
        for (int i = 0; i < owners; i++) {
            ownerEdges[i] = graph.addEdge(0, ownerVertex(i));
        }
        for (int i = 0; i < kinds.length; i++) {
            kindEdges[i] = graph.addEdge(ownerVertex(kinds[i].owner()), kindVertex(i));
            for (int c = 0; c < cells; c++) {
                if ((kinds[i].cellMask() & 1L << c) != 0) {
                    graph.setEdgeWeight(graph.addEdge(kindVertex(i), cellVertex(c)), 1e12);
                }
            }
        }
        for (int c = 0; c < cells; c++) {
            cellEdges[c] = graph.addEdge(cellVertex(c), 1);
        }
    }

    private static int ownerVertex(int i) {
        return 2 + i;
    }

    private int kindVertex(int i) {
        return 2 + owners + i;
    }

    private int cellVertex(int c) {
        return 2 + owners + kinds.length + c;
    }

    /** Sets the amount of each kind of work and the capacity of each cell, both in slots. */
    void set(double[] work, double[] capacity) {
        for (int i = 0; i < kinds.length; i++) {
            kindCapacity[i] = Math.ceil(work[i] * UNITS_PER_SLOT);
            graph.setEdgeWeight(kindEdges[i], kindCapacity[i]);
        }
        for (int c = 0; c < cells; c++) {
            cellCapacity[c] = Math.floor(capacity[c] * UNITS_PER_SLOT + 1e-6);
            graph.setEdgeWeight(cellEdges[c], cellCapacity[c]);
        }
    }

    /** True if every owner can have at least its minimum at once, to a thousandth of a slot each. */
    boolean isFeasible(double[] minimums) {
        double sum = 0;
        for (int i = 0; i < owners; i++) {
            double minimum = Math.floor(minimums[i] * UNITS_PER_SLOT + 1e-6);
            sum += minimum;
            graph.setEdgeWeight(ownerEdges[i], minimum);
        }
        flowCount++;
        flow = new PushRelabelMFImpl<>(graph);
        return flow.calculateMaximumFlow(0, 1) >= sum - owners;
    }

    /** The minimum cut after {@link #isFeasible} returned false. */
    Cut minCut() {
        flow.calculateMinCut(0, 1);
        Set<Integer> sourceSide = flow.getSourcePartition();
        boolean[] in = new boolean[owners];
        double capacity = 0;
        for (int i = 0; i < owners; i++) {
            in[i] = sourceSide.contains(ownerVertex(i));
        }
        for (int i = 0; i < kinds.length; i++) {
            capacity += in[kinds[i].owner()] && !sourceSide.contains(kindVertex(i)) ? kindCapacity[i] : 0;
        }
        long cellMask = 0;
        for (int c = 0; c < cells; c++) {
            cellMask |= sourceSide.contains(cellVertex(c)) ? 1L << c : 0;
            capacity += sourceSide.contains(cellVertex(c)) ? cellCapacity[c] : 0;
        }
        return new Cut(in, cellMask, capacity / UNITS_PER_SLOT);
    }

    /**
     * Owners whose minimums together exceed their capacity.
     *
     * @param in whether each owner is one of them
     * @param cellMask the full cells, a bit each
     * @param capacity what all of them can have together, in slots
     */
    record Cut(boolean[] in, long cellMask, double capacity) {
        @Override
        public String toString() {
            return Arrays.toString(in) + " share " + capacity;
        }
    }

    /** Number of flows computed so far. */
    int flowCount() {
        return flowCount;
    }
}
