package laneflow.maintenance.decision;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import laneflow.maintenance.decision.Fairness.Evaluation;
import laneflow.maintenance.decision.Fairness.Limits;
import laneflow.maintenance.decision.Inventory.EndpointGroup;
import laneflow.maintenance.decision.Inventory.Rack;
import laneflow.maintenance.decision.Inventory.Tenant;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.ojalgo.optimisation.Expression;
import org.ojalgo.optimisation.ExpressionsBasedModel;
import org.ojalgo.optimisation.Optimisation;
import org.ojalgo.optimisation.Variable;

/** Checks losses and fairness against the limits, and against a linear program in place of the flow algorithm. */
class FairnessTest {
    private static final Limits LIMITS = Limits.defaults();

    @Property(tries = 150, seed = "7")
    void nothingIsLostWhileNothingIsDown(
            @ForAll @LongRange(min = 0, max = 100_000) long seed,
            @ForAll @DoubleRange(min = 0.1, max = 2) double load) {
        RandomInventory random = new RandomInventory(seed, 24, 9, false);
        Fairness fairness = new Fairness(random.inventory, LIMITS);
        double[][] demand = random.demand(load);
        double[] due = fairness.due(demand);
        double[] dues = fairness.sumByTenant(due);
        for (int t = 0; t < dues.length; t++) {
            double demanded =
                    demand[t][0] * random.inventory.slotFactor(0) + demand[t][1] * random.inventory.slotFactor(1);
            assertTrue(dues[t] <= Math.min(demanded, random.inventory.entitlement(t)) + 0.01);
        }
        Evaluation evaluation = fairness.evaluate(due, random.inventory.totalSlots(), null);
        assertEquals(0, evaluation.totalLoss());
        assertTrue(evaluation.fair());
    }

    /** The amounts due come from sums over unions of cells; a flow over the tenant's entitlements must give the same. */
    @Property(tries = 100, seed = "7")
    void dueAmountsEqualTheFlowOverTheTenantsEntitlements(
            @ForAll @LongRange(min = 0, max = 100_000) long seed,
            @ForAll @DoubleRange(min = 0.3, max = 2.5) double load) {
        RandomInventory random = new RandomInventory(seed, 24, 5, false);
        Fairness fairness = new Fairness(random.inventory, LIMITS);
        double[][] demand = random.demand(load);
        double[] due = fairness.due(demand);
        for (int t = 0; t < 5; t++) {
            Placement.WorkKind[] kinds = new Placement.WorkKind[2];
            double[] demanded = new double[2];
            double[] dueByKind = new double[2];
            for (int k = 0; k < 2; k++) {
                kinds[k] = new Placement.WorkKind(k, random.inventory.eligibleCells(t, k));
                demanded[k] = kinds[k].cellMask() == 0 ? 0 : demand[t][k] * random.inventory.slotFactor(k);
            }
            for (int i = 0; i < due.length; i++) {
                for (int k = 0; k < 2; k++) {
                    dueByKind[k] += fairness.owner(i) == t && fairness.cellMask(i) == kinds[k].cellMask() ? due[i] : 0;
                }
            }
            double[] capacity = new double[random.inventory.cells()];
            for (int c = 0; c < capacity.length; c++) {
                capacity[c] = random.inventory.cellEntitlement(t, c);
            }
            Placement placement = new Placement(kinds, 2, capacity.length);
            placement.set(demanded, capacity);
            double[] loss = MaxMinLosses.fill(
                            placement, demanded, new double[] {Math.max(demanded[0], 1e-9), Math.max(demanded[1], 1e-9)
                            })
                    .loss();
            if (kinds[0].cellMask() == kinds[1].cellMask()) {
                assertEquals(demanded[0] + demanded[1] - loss[0] - loss[1], dueByKind[0], 0.02);
            } else {
                assertArrayEquals(new double[] {demanded[0] - loss[0], demanded[1] - loss[1]}, dueByKind, 0.02);
            }
        }
    }

    /** Solves for the smallest level at which every tenant's loss is at most level x scale, as a linear program. */
    private static double levelByProgram(Fairness fairness, double[] due, double[] left, double[] scale) {
        ExpressionsBasedModel model = new ExpressionsBasedModel();
        Variable level = model.newVariable("level").lower(0).weight(1);
        Expression[] capacity = new Expression[left.length];
        for (int c = 0; c < capacity.length; c++) {
            capacity[c] = model.newExpression("cell" + c).upper(left[c]);
        }
        double[] dues = fairness.sumByTenant(due);
        Expression[] owners = new Expression[dues.length];
        for (int t = 0; t < owners.length; t++) {
            owners[t] = model.newExpression("owner" + t).lower(dues[t]).set(level, scale[t]);
        }
        for (int i = 0; i < due.length; i++) {
            Expression work = model.newExpression("work" + i).upper(due[i]);
            for (int c = 0; c < capacity.length; c++) {
                if ((fairness.cellMask(i) & 1L << c) != 0) {
                    Variable x = model.newVariable("x" + i + "_" + c).lower(0);
                    work.set(x, 1);
                    owners[fairness.owner(i)].set(x, 1);
                    capacity[c].set(x, 1);
                }
            }
        }
        Optimisation.Result result = model.minimise();
        assertTrue(result.getState().isOptimal());
        return result.getValue();
    }

    @Property(tries = 40, seed = "7")
    void theLargestLossIsMinimal(
            @ForAll @LongRange(min = 0, max = 100_000) long seed,
            @ForAll @DoubleRange(min = 0.5, max = 1.2) double load,
            @ForAll @IntRange(min = 1, max = 10) int down) {
        RandomInventory random = new RandomInventory(seed, 20, 7, true);
        Fairness fairness = new Fairness(random.inventory, LIMITS);
        double[] due = fairness.due(random.demand(load));
        double[] left = random.inventory.slotsWithout(random.randomRacks(down));
        Evaluation evaluation = fairness.evaluate(due, left, null);
        double[] scale = new double[evaluation.allowed().length];
        double largest = 0;
        for (int t = 0; t < scale.length; t++) {
            scale[t] = evaluation.allowed()[t] + Fairness.LOSS_EPSILON;
            largest = Math.max(largest, evaluation.loss()[t] / scale[t]);
        }
        double program = levelByProgram(fairness, due, left, scale);
        // Losses below 0.05 slots are reported as none.
        assertEquals(program, largest, largest == 0 ? 0.3 : 0.02 + 0.02 * program);
        double entitled = 0;
        for (int t = 0; t < scale.length; t++) {
            entitled += random.inventory.entitlement(t);
        }
        boolean fair = program <= 1 && evaluation.shortage() <= LIMITS.shortage() * entitled + Fairness.LOSS_EPSILON;
        assertTrue(Math.abs(program - 1) < 0.03 || fair == evaluation.fair(), program + " " + evaluation);
    }

    /** Losses are max-min fair: reducing one tenant's loss would raise another's to the same relative loss. */
    @Property(tries = 60, seed = "7")
    void noLossCanBeReducedByATenantThatLosesLess(
            @ForAll @LongRange(min = 0, max = 100_000) long seed, @ForAll @IntRange(min = 1, max = 8) int down) {
        RandomInventory random = new RandomInventory(seed, 20, 7, true);
        Fairness fairness = new Fairness(random.inventory, LIMITS);
        double[] due = fairness.due(random.demand(0.95));
        double[] left = random.inventory.slotsWithout(random.randomRacks(down));
        Evaluation evaluation = fairness.evaluate(due, left, null);
        double[] dues = fairness.sumByTenant(due);
        Placement placement = placement(fairness, due, left, random.inventory);
        double[] minimums = new double[dues.length];
        for (int t = 0; t < minimums.length; t++) {
            minimums[t] = dues[t] - evaluation.loss()[t] - 0.05;
        }
        assertTrue(placement.isFeasible(minimums), "the reported placement is feasible");
        for (int relieved = 0; relieved < minimums.length; relieved++) {
            double relativeLoss =
                    evaluation.loss()[relieved] / (evaluation.allowed()[relieved] + Fairness.LOSS_EPSILON);
            if (evaluation.loss()[relieved] < 0.5) {
                continue;
            }
            double[] relaxed = new double[dues.length];
            for (int t = 0; t < relaxed.length; t++) {
                double scale = evaluation.allowed()[t] + Fairness.LOSS_EPSILON;
                double acceptedLoss = Math.max(evaluation.loss()[t], Math.min(dues[t], 0.95 * relativeLoss * scale));
                relaxed[t] = Math.max(0, dues[t] - (t == relieved ? evaluation.loss()[t] - 0.4 : acceptedLoss));
            }
            assertFalse(placement.isFeasible(relaxed), "tenant " + relieved + " could lose less");
        }
    }

    private static Placement placement(Fairness fairness, double[] due, double[] left, Inventory inventory) {
        Placement.WorkKind[] kinds = new Placement.WorkKind[fairness.kinds()];
        for (int i = 0; i < kinds.length; i++) {
            kinds[i] = new Placement.WorkKind(fairness.owner(i), fairness.cellMask(i));
        }
        Placement placement = new Placement(kinds, inventory.tenants().size(), inventory.cells());
        placement.set(due, left);
        return placement;
    }

    @Property(tries = 150, seed = "7")
    void theSingleFlowCheckAgreesWithTheEvaluation(
            @ForAll @LongRange(min = 0, max = 100_000) long seed,
            @ForAll @DoubleRange(min = 0.4, max = 1.1) double load,
            @ForAll @IntRange(min = 1, max = 8) int down) {
        RandomInventory random = new RandomInventory(seed, 24, 9, true);
        Fairness fairness = new Fairness(random.inventory, new Limits(0.05, 0.2, 0.001, 1e9));
        double[] due = fairness.due(random.demand(load));
        double[] left = random.inventory.slotsWithout(random.randomRacks(down));
        double[] accounts = new double[9];
        accounts[(int) (seed % 9)] = 0.0007;
        Evaluation evaluation = fairness.evaluate(due, left, accounts);
        boolean nearLimit = false;
        for (int t = 0; t < accounts.length; t++) {
            nearLimit |= Math.abs(evaluation.loss()[t] - evaluation.allowed()[t] - Fairness.LOSS_EPSILON) < 0.05;
        }
        assertTrue(nearLimit || fairness.isFair(due, left, accounts) == evaluation.fair(), evaluation.toString());
    }

    @Property(tries = 80, seed = "7")
    void demandAboveTheEntitlementChangesNoLoss(
            @ForAll @LongRange(min = 0, max = 100_000) long seed, @ForAll @IntRange(min = 1, max = 6) int down) {
        RandomInventory random = new RandomInventory(seed, 24, 6, true);
        Fairness fairness = new Fairness(random.inventory, LIMITS);
        double[][] demand = random.demand(0.8);
        double entitlement = random.inventory.entitlement(0);
        demand[0][0] = entitlement;
        demand[0][1] = entitlement;
        double[] left = random.inventory.slotsWithout(random.randomRacks(down));
        Evaluation honest = fairness.evaluate(fairness.due(demand), left, null);
        demand[0][0] = 50 * entitlement;
        demand[0][1] = 50 * entitlement;
        Evaluation greedy = fairness.evaluate(fairness.due(demand), left, null);
        assertArrayEquals(honest.loss(), greedy.loss(), 0.1);
    }

    /** Memory is converted to slots: a placement that fits the converted slots fits the slots and the memory, too. */
    @Property(tries = 60, seed = "7")
    void memoryIsNeverOverbooked(
            @ForAll @LongRange(min = 0, max = 100_000) long seed, @ForAll @IntRange(min = 0, max = 4) int down) {
        RandomInventory random = new RandomInventory(seed, 20, 5, false);
        Fairness fairness = new Fairness(random.inventory, LIMITS);
        double[] due = fairness.due(random.demand(1));
        double[] left = random.inventory.slotsWithout(random.randomRacks(down));
        // Every slot of a cell has one unit of memory here, so what fits in converted slots fits both.
        double stretched = random.inventory.slotFactor(1);
        assertEquals(Math.max(1, random.memory[1]), stretched, 1e-9);
        Evaluation evaluation = fairness.evaluate(due, left, null);
        double placed = 0;
        double[] dues = fairness.sumByTenant(due);
        for (int t = 0; t < dues.length; t++) {
            placed += dues[t] - evaluation.loss()[t];
        }
        double capacity = 0;
        for (double slots : left) {
            capacity += slots;
        }
        assertTrue(placed <= capacity + 0.5);
    }

    private static Inventory twoRacks(double memory) {
        return new Inventory(
                List.of("quick"),
                new double[] {memory},
                List.of(
                        new Rack("r0", "a", List.of(new EndpointGroup(1, 50, 50))),
                        new Rack("r1", "b", List.of(new EndpointGroup(1, 50, 50)))),
                List.of(new Tenant("bound", 1, Set.of("a"), 1), new Tenant("free", 1, Set.of(), 1)));
    }

    @Test
    void aTenantRestrictedToAZoneLosesItsRackAndIsNamed() {
        Fairness fairness = new Fairness(twoRacks(0), LIMITS);
        assertEquals(25, fairness.inventory().entitlement(0));
        assertEquals(75, fairness.inventory().entitlement(1));
        double[] due = fairness.due(new double[][] {{25}, {20}});
        Evaluation evaluation = fairness.evaluate(due, fairness.inventory().slotsWithout(List.of(0)), null);
        assertFalse(evaluation.fair());
        assertArrayEquals(new double[] {25, 0}, evaluation.loss(), 0.1);
        assertTrue(
                evaluation.violations().get(0).startsWith("tenant bound loses 25.0 slots, its fair share is 0.5"),
                evaluation.violations().toString());
        assertTrue(fairness.evaluate(due, fairness.inventory().slotsWithout(List.of(1)), null)
                .fair());
    }

    @Test
    void memoryCountsAsSlots() {
        Fairness fairness = new Fairness(twoRacks(2), LIMITS);
        double[] due = fairness.due(new double[][] {{20}, {10}});
        assertArrayEquals(new double[] {25, 20}, fairness.sumByTenant(due), 0.01);
    }

    @Test
    void aTenantWithLargerPastLossesHasNoToleranceLeft() {
        Fairness fairness = new Fairness(twoRacks(0), new Limits(0.2, 0.5, 0.001, 1e9));
        // 53 slots are due where 50 are left, so both lose: the restricted tenant gets what the free
        // one leaves.
        double[] due = fairness.due(new double[][] {{12}, {41}});
        double[] left = fairness.inventory().slotsWithout(List.of(1));
        Evaluation even = fairness.evaluate(due, left, null);
        Evaluation after = fairness.evaluate(due, left, new double[] {0.002, -0.001});
        assertTrue(after.loss()[0] < even.loss()[0], even + " and " + after);
        assertEquals(even.totalLoss(), after.totalLoss(), 0.1);
        assertTrue(after.allowed()[0] < even.allowed()[0]);
    }
}
