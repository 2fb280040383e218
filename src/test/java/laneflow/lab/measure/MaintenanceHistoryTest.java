package laneflow.lab.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import laneflow.lab.measure.MaintenanceHistory.Call;
import laneflow.lab.measure.MaintenanceHistory.Loss;
import laneflow.lab.measure.MaintenanceHistory.Shown;
import laneflow.lab.measure.MaintenanceHistory.Work;
import laneflow.maintenance.decision.Fairness;
import laneflow.maintenance.decision.Inventory;
import org.junit.jupiter.api.Test;

/** A checker that finds nothing would be none: what is done wrong on purpose is found, and nothing else. */
class MaintenanceHistoryTest {
    private static final long MS = 1_000_000;
    private final List<Call> calls = new ArrayList<>();
    private final List<Work> works = new ArrayList<>();
    private final List<String> served = new ArrayList<>();

    /** Four racks of two slots; each of both tenants keeps so many slots busy for 20 s, but for what is away. */
    private void day(int slots, Set<String> away, long fromMs, long toMs) {
        for (String tenant : List.of("shops", "mail")) {
            for (int i = 0; i < slots; i++) {
                for (long ms = 0; ms < 20_000; ms += 100) {
                    int start = i + (tenant.equals("mail") ? slots : 0);
                    String endpoint = null;
                    for (int k = 0; k < 8 && endpoint == null; k++) {
                        String rack = "a" + ((start + k) % 4 + 1);
                        endpoint = away.contains(rack) && ms + 100 > fromMs && ms < toMs ? null : rack + "-1";
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

    private MaintenanceHistory checked(List<Shown> shown, List<Loss> losses, List<Long> befell) {
        MaintenanceHistory history = new MaintenanceHistory(fairness(), Map.of("shops", 0, "mail", 0), calls, works);
        history.crews();
        history.jobs(served, Set.of("mail"));
        history.steps(shown);
        history.instants(losses, befell);
        return history;
    }

    private MaintenanceHistory checked() {
        return checked(List.of(), List.of(), List.of());
    }

    @Test
    void aDayOnWhichAllIsKeptHasNoFindings() {
        day(2, Set.of("a1"), 4000, 9000);
        works.add(new Work("w", List.of("a1"), 5000 * MS, 8000 * MS));
        MaintenanceHistory history = checked(
                List.of(
                        new Shown(1, "w", 1, "requested"),
                        new Shown(2, "w", 2, "planned"),
                        new Shown(3, "w", 2, "planned")),
                List.of(),
                List.of());
        assertEquals(List.of(), history.found());
        assertEquals(5000, history.awayMs());
    }

    @Test
    void aCallWhereACrewWorksIsFound() {
        day(2, Set.of("a1"), 4000, 9000);
        works.add(new Work("w", List.of("a1"), 5000 * MS, 8000 * MS));
        calls.add(new Call("a1-2", "shops", "late", 6000 * MS, 6001 * MS));
        assertEquals(1, checked().sentToDown());
    }

    @Test
    void aBeginningAmidACallIsFound() {
        day(2, Set.of("a1"), 4000, 9000);
        works.add(new Work("w", List.of("a1"), 5000 * MS, 8000 * MS));
        calls.add(new Call("a1-2", "shops", "long", 3000 * MS, 5001 * MS));
        MaintenanceHistory history = checked();
        assertEquals(1, history.withoutLeave());
        assertEquals(0, history.sentToDown());
    }

    @Test
    void aSecondRunAndALostOneAreFound() {
        day(1, Set.of(), 0, 0);
        calls.add(new Call("a2-1", "mail", "mail-0-300", 9000 * MS, 9001 * MS));
        calls.add(new Call("a2-1", "shops", "shops-0-300", 9000 * MS, 9001 * MS));
        served.add("mail-0-none");
        MaintenanceHistory history = checked();
        assertEquals(1, history.twice(), "only what must not run twice");
        assertEquals(1, history.lost());
    }

    @Test
    void aStepThatIsTakenTwiceOrTakenBackIsFound() {
        MaintenanceHistory history = checked(
                List.of(
                        new Shown(1, "w", 2, "planned"),
                        new Shown(2, "w", 3, "announced"),
                        new Shown(3, "w", 3, "postponed"),
                        new Shown(4, "w", 2, "planned")),
                List.of(),
                List.of());
        assertEquals(2, history.doubleSteps());
    }

    @Test
    void anUnfairInstantIsFoundUnlessItBefellTheFleetBehindLeave() {
        day(3, Set.of("a1", "a2"), 4000, 9000);
        works.add(new Work("w", List.of("a1", "a2"), 5000 * MS, 8000 * MS));
        MaintenanceHistory alone = checked();
        assertTrue(alone.unfair() > 20, alone.unfair() + " instants");
        assertTrue(alone.spread() < 0.01, "both lose the same: " + alone.spread());
        // Two racks for work are four slots of six that are asked for; the loss came with demand behind leave.
        MaintenanceHistory befell = checked(List.of(), List.of(), List.of(3900 * MS));
        assertEquals(0, befell.unfair());
        // What was there long before leave is no excuse.
        assertTrue(checked(List.of(), List.of(), List.of(500 * MS)).unfair() > 20);
    }

    @Test
    void aRackThatIsLostCounts() {
        day(3, Set.of("a1"), 4000, 9000);
        works.add(new Work("w", List.of("a1"), 5000 * MS, 8000 * MS));
        assertEquals(0, checked().unfair());
        Loss lost = new Loss("a2", 1000 * MS, 9000 * MS);
        assertTrue(checked(List.of(), List.of(lost), List.of(1000 * MS)).unfair() > 20);
        assertEquals(
                0,
                checked(List.of(), List.of(new Loss("a2", 6000 * MS, 9000 * MS)), List.of(6000 * MS))
                        .unfair());
    }
}
