package laneflow.lab.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import laneflow.lab.measure.MaintenanceHistory.Call;
import laneflow.lab.measure.MaintenanceHistory.Loss;
import laneflow.lab.measure.MaintenanceHistory.Observation;
import laneflow.lab.measure.MaintenanceHistory.WorkPeriod;
import laneflow.maintenance.decision.Fairness;
import laneflow.maintenance.decision.Inventory;
import org.junit.jupiter.api.Test;

/** The checker reports every violation that a test puts into the history, and no other. */
class MaintenanceHistoryTest {
    private static final long MS = 1_000_000;
    private final List<Call> calls = new ArrayList<>();
    private final List<WorkPeriod> workPeriods = new ArrayList<>();
    private final List<String> served = new ArrayList<>();

    /** Calls of two tenants on four racks of two slots: each keeps {@code slots} busy for 20 s, outside absent racks. */
    private void addCalls(int slots, Set<String> absentRacks, long fromMs, long toMs) {
        for (String tenant : List.of("shops", "mail")) {
            for (int i = 0; i < slots; i++) {
                for (long ms = 0; ms < 20_000; ms += 100) {
                    int start = i + (tenant.equals("mail") ? slots : 0);
                    String endpoint = null;
                    for (int k = 0; k < 8 && endpoint == null; k++) {
                        String rack = "a" + ((start + k) % 4 + 1);
                        endpoint = absentRacks.contains(rack) && ms + 100 > fromMs && ms < toMs ? null : rack + "-1";
                    }
                    String job = tenant + "-" + i + "-" + ms;
                    calls.add(new Call(endpoint, tenant, job, ms * MS, (ms + 100) * MS));
                    served.add(job);
                }
            }
        }
    }

    private static Fairness fairness() {
        List<Inventory.Rack> racks = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            racks.add(new Inventory.Rack("a" + i, "a", List.of(new Inventory.EndpointGroup(1, 2, 0))));
        }
        return new Fairness(
                new Inventory(
                        List.of("check"),
                        new double[1],
                        racks,
                        List.of(
                                new Inventory.Tenant("shops", 1, Set.of(), 1),
                                new Inventory.Tenant("mail", 1, Set.of(), 1))),
                Fairness.Limits.defaults());
    }

    private MaintenanceHistory check(List<Observation> observations, List<Loss> losses, List<Long> disturbances) {
        MaintenanceHistory history =
                new MaintenanceHistory(fairness(), Map.of("shops", 0, "mail", 0), calls, workPeriods);
        history.checkCrews();
        history.checkJobs(served, Set.of("mail"));
        history.checkSteps(observations);
        history.checkFairness(losses, disturbances);
        return history;
    }

    private MaintenanceHistory check() {
        return check(List.of(), List.of(), List.of());
    }

    @Test
    void validHistoryHasNoViolations() {
        addCalls(2, Set.of("a1"), 4000, 9000);
        workPeriods.add(new WorkPeriod("w", List.of("a1"), 5000 * MS, 8000 * MS));
        MaintenanceHistory history = check(
                List.of(
                        new Observation(1, "w", 1, "requested"),
                        new Observation(2, "w", 2, "planned"),
                        new Observation(3, "w", 2, "planned")),
                List.of(),
                List.of());
        assertEquals(List.of(), history.violations());
        assertEquals(5000, history.absenceMs());
    }

    @Test
    void callDuringTheWorkOfACrewIsReported() {
        addCalls(2, Set.of("a1"), 4000, 9000);
        workPeriods.add(new WorkPeriod("w", List.of("a1"), 5000 * MS, 8000 * MS));
        calls.add(new Call("a1-2", "shops", "late", 6000 * MS, 6001 * MS));
        assertEquals(1, check().callsDuringWork());
    }

    @Test
    void workThatBeginsDuringACallIsReported() {
        addCalls(2, Set.of("a1"), 4000, 9000);
        workPeriods.add(new WorkPeriod("w", List.of("a1"), 5000 * MS, 8000 * MS));
        calls.add(new Call("a1-2", "shops", "long", 3000 * MS, 5001 * MS));
        MaintenanceHistory history = check();
        assertEquals(1, history.begunDuringCall());
        assertEquals(0, history.callsDuringWork());
    }

    @Test
    void repeatedJobAndLostJobAreReported() {
        addCalls(1, Set.of(), 0, 0);
        calls.add(new Call("a2-1", "mail", "mail-0-300", 9000 * MS, 9001 * MS));
        calls.add(new Call("a2-1", "shops", "shops-0-300", 9000 * MS, 9001 * MS));
        served.add("mail-0-none");
        MaintenanceHistory history = check();
        assertEquals(1, history.repeatedJobs(), "only the job that must not run twice");
        assertEquals(1, history.lostJobs());
    }

    @Test
    void stepWithTwoStatesOrADecreaseIsReported() {
        MaintenanceHistory history = check(
                List.of(
                        new Observation(1, "w", 2, "planned"),
                        new Observation(2, "w", 3, "announced"),
                        new Observation(3, "w", 3, "postponed"),
                        new Observation(4, "w", 2, "planned")),
                List.of(),
                List.of());
        assertEquals(2, history.inconsistentSteps());
    }

    @Test
    void unfairInstantIsReportedUnlessADisturbanceCameAfterThePermission() {
        addCalls(3, Set.of("a1", "a2"), 4000, 9000);
        workPeriods.add(new WorkPeriod("w", List.of("a1", "a2"), 5000 * MS, 8000 * MS));
        MaintenanceHistory undisturbed = check();
        assertTrue(undisturbed.unfairInstants() > 20, undisturbed.unfairInstants() + " instants");
        assertTrue(undisturbed.lossSpread() < 0.01, "both tenants must lose the same: " + undisturbed.lossSpread());
        // Two racks under maintenance leave four slots for a demand of six. With a disturbance less than the
        // grace period before the permission, that is excused.
        MaintenanceHistory disturbed = check(List.of(), List.of(), List.of(3900 * MS));
        assertEquals(0, disturbed.unfairInstants());
        // A disturbance long before the permission is no excuse.
        assertTrue(check(List.of(), List.of(), List.of(500 * MS)).unfairInstants() > 20);
    }

    @Test
    void lostRackCountsAsAbsent() {
        addCalls(3, Set.of("a1"), 4000, 9000);
        workPeriods.add(new WorkPeriod("w", List.of("a1"), 5000 * MS, 8000 * MS));
        assertEquals(0, check().unfairInstants());
        Loss lost = new Loss("a2", 1000 * MS, 9000 * MS);
        assertTrue(check(List.of(), List.of(lost), List.of(1000 * MS)).unfairInstants() > 20);
        assertEquals(
                0,
                check(List.of(), List.of(new Loss("a2", 6000 * MS, 9000 * MS)), List.of(6000 * MS))
                        .unfairInstants());
    }
}
