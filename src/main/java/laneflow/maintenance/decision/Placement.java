package laneflow.maintenance.decision;

import java.util.Arrays;
import java.util.Set;
import org.jgrapht.alg.flow.PushRelabelMFImpl;
import org.jgrapht.graph.DefaultDirectedWeightedGraph;
import org.jgrapht.graph.DefaultWeightedEdge;

/**
 * Who can be placed where, as a flow: from each owner over its kinds of work to the cells in which that may
 * run. Says whether all owners can have a least amount at once, and if not which of them are in each
 * other's way (the smallest cut). The flow is JGraphT's (push and relabel, Goldberg and Tarjan, 1988);
 * amounts go in as whole thousandths of a slot, so that no sum depends on an order. Not thread-safe.
 */
final class Placement {
    private static final double UNIT = 1000;

    /** Work of an owner that may run in the same cells. */
    record Kind(int owner, long places) {}

    private final Kind[] kinds;
    private final int owners;
    private final int cells;
    private final DefaultDirectedWeightedGraph<Integer, DefaultWeightedEdge> graph =
            new DefaultDirectedWeightedGraph<>(DefaultWeightedEdge.class);
    private final DefaultWeightedEdge[] ofOwner;
    private final DefaultWeightedEdge[] ofKind;
    private final DefaultWeightedEdge[] ofCell;
    private final double[] roomOfKind;
    private final double[] roomOfCell;
    private PushRelabelMFImpl<Integer, DefaultWeightedEdge> flow;
    private int asked;

    Placement(Kind[] kinds, int owners, int cells) {
        this.kinds = kinds.clone();
        this.owners = owners;
        this.cells = cells;
        ofOwner = new DefaultWeightedEdge[owners];
        ofKind = new DefaultWeightedEdge[kinds.length];
        ofCell = new DefaultWeightedEdge[cells];
        roomOfKind = new double[kinds.length];
        roomOfCell = new double[cells];
        for (int i = 0; i < 2 + owners + kinds.length + cells; i++) {
            graph.addVertex(i);
        }
        for (int i = 0; i < owners; i++) {
            ofOwner[i] = graph.addEdge(0, owner(i));
        }
        for (int i = 0; i < kinds.length; i++) {
            ofKind[i] = graph.addEdge(owner(kinds[i].owner()), kind(i));
            for (int c = 0; c < cells; c++) {
                if ((kinds[i].places() & 1L << c) != 0) {
                    graph.setEdgeWeight(graph.addEdge(kind(i), cell(c)), 1e12);
                }
            }
        }
        for (int c = 0; c < cells; c++) {
            ofCell[c] = graph.addEdge(cell(c), 1);
        }
    }

    private static int owner(int i) {
        return 2 + i;
    }

    private int kind(int i) {
        return 2 + owners + i;
    }

    private int cell(int c) {
        return 2 + owners + kinds.length + c;
    }

    /** What there is of each kind of work, and what room in each cell, both in slots. */
    void set(double[] work, double[] room) {
        for (int i = 0; i < kinds.length; i++) {
            roomOfKind[i] = Math.ceil(work[i] * UNIT);
            graph.setEdgeWeight(ofKind[i], roomOfKind[i]);
        }
        for (int c = 0; c < cells; c++) {
            roomOfCell[c] = Math.floor(room[c] * UNIT + 1e-6);
            graph.setEdgeWeight(ofCell[c], roomOfCell[c]);
        }
    }

    /** True if every owner can have at least so many slots at once, to a thousandth each. */
    boolean carries(double[] least) {
        double sum = 0;
        for (int i = 0; i < owners; i++) {
            double want = Math.floor(least[i] * UNIT + 1e-6);
            sum += want;
            graph.setEdgeWeight(ofOwner[i], want);
        }
        asked++;
        flow = new PushRelabelMFImpl<>(graph);
        return flow.calculateMaximumFlow(0, 1) >= sum - owners;
    }

    /** The flow's source side behind {@link #carries} was false: who is in each other's way. */
    Cut cut() {
        flow.calculateMinCut(0, 1);
        Set<Integer> side = flow.getSourcePartition();
        boolean[] in = new boolean[owners];
        double room = 0;
        for (int i = 0; i < owners; i++) {
            in[i] = side.contains(owner(i));
        }
        for (int i = 0; i < kinds.length; i++) {
            room += in[kinds[i].owner()] && !side.contains(kind(i)) ? roomOfKind[i] : 0;
        }
        long places = 0;
        for (int c = 0; c < cells; c++) {
            places |= side.contains(cell(c)) ? 1L << c : 0;
            room += side.contains(cell(c)) ? roomOfCell[c] : 0;
        }
        return new Cut(in, places, room / UNIT);
    }

    /**
     * Owners whose least amounts together exceed what can be had.
     *
     * @param in who is one of them
     * @param places the cells that are full, a bit each
     * @param room what all of them can have together, in slots
     */
    record Cut(boolean[] in, long places, double room) {
        @Override
        public String toString() {
            return Arrays.toString(in) + " share " + room;
        }
    }

    /** How often a flow was asked for. */
    int asked() {
        return asked;
    }
}
