package laneflow.maintenance.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import laneflow.maintenance.decision.Inventory.EndpointGroup;
import laneflow.maintenance.decision.Inventory.Rack;
import laneflow.maintenance.decision.Inventory.Tenant;
import laneflow.maintenance.decision.Plan.Freeze;
import laneflow.maintenance.decision.Plan.Window;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks plans against the limits with a checker that is independent of steps, cuts and swaps. */
class PlannerTest {
    private static final long HOUR = RandomPlanInput.HOUR;
    private static final long FROM = RandomPlanInput.FROM;

    private static RandomPlanInput random(long seed) {
        return new RandomPlanInput(seed, 60, 15, 50, 1.5);
    }

    /** All rules that a plan violates. */
    private static List<String> violations(RandomPlanInput random, Plan plan, List<Freeze> freezes) {
        List<String> violations = new ArrayList<>();
        Fairness fairness = new Fairness(random.generated.inventory, Fairness.Limits.defaults());
        List<double[]> dues = Cuts.dueBySpan(fairness, random.forecast);
        Set<Object> seen = new HashSet<>();
        for (long ms = FROM; ms < FROM + 14 * 24 * HOUR; ms += HOUR / 4) {
            Set<Integer> racksAway = new HashSet<>();
            for (Window window : plan.windows()) {
                if (window.overlaps(ms, ms + HOUR / 4)) {
                    for (String rack : window.request().racks()) {
                        if (!racksAway.add(random.generated.inventory.rackIndex(rack))) {
                            violations.add(rack + " is away twice at " + ms);
                        }
                    }
                }
            }
            boolean isNew =
                    !racksAway.isEmpty() && seen.add(List.of(random.forecast.spanAt(ms), Set.copyOf(racksAway)));
            if (isNew
                    && !fairness.isFair(
                            dues.get(random.forecast.spanAt(ms)),
                            random.generated.inventory.slotsWithout(racksAway),
                            null)) {
                violations.add("unfair at " + (ms - FROM) / HOUR + " h");
            }
        }
        for (Window window : plan.windows()) {
            Request request = window.request();
            if (window.startMs() < request.earliestMs()
                    || window.startMs() < FROM + request.noticeMs()
                    || window.endMs() > request.latestMs()
                    || window.endMs() - window.startMs() < request.workMs()) {
                violations.add(request.name() + " is outside its permitted period");
            }
            freezes.stream()
                    .filter(freeze -> window.overlaps(freeze.fromMs(), freeze.toMs()))
                    .forEach(freeze -> violations.add(request.name() + " is in a freeze"));
            for (String before : request.after()) {
                Window first = plan.window(before);
                if (first == null || first.endMs() > window.startMs()) {
                    violations.add(request.name() + " comes before " + before);
                }
            }
            for (Window other : plan.windows()) {
                boolean mustBeApart = other.request().apart().stream().anyMatch(request.apart()::contains);
                if (other != window && mustBeApart && other.overlaps(window.startMs(), window.endMs())) {
                    violations.add(
                            request.name() + " overlaps " + other.request().name());
                }
            }
        }
        return violations;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 6})
    void everyInstantIsFairAndEveryConstraintIsMet(long seed) {
        RandomPlanInput random = random(seed);
        List<Freeze> freezes = List.of(new Freeze("season", FROM + 100 * HOUR, FROM + 120 * HOUR));
        Plan plan = Planner.plan(random.fairness, random.input(random.requests, null, freezes, List.of()));
        assertEquals(List.of(), violations(random, plan, freezes));
        assertEquals(50, plan.windows().size() + plan.refused().size());
        plan.refused().forEach((name, reasons) -> assertFalse(reasons.isEmpty(), name));
        assertTrue(plan.evaluations() < 100_000, plan.evaluations() + " instants looked at");
    }

    /** A calendar binds only the requests that it was sent with. */
    @Test
    void aCalendarBindsTheRequestsThatItCameWith() {
        RandomPlanInput random = new RandomPlanInput(1, 40, 6, 24, 1.2);
        List<Window> free = Planner.plan(random.fairness, random.input()).windows();
        Window middle = free.get(free.size() / 2);
        List<Freeze> calendar = List.of(new Freeze("audit", middle.startMs() - 6 * HOUR, middle.endMs() + 6 * HOUR));
        List<Request> requests = new ArrayList<>();
        random.requests.forEach(item -> requests.add(
                requests.size() % 2 == 0 || item.name().equals(middle.request().name())
                        ? item.withFreezes(calendar)
                        : item));
        Plan plan = Planner.plan(random.fairness, random.input(requests, null, List.of(), List.of()));
        Freeze audit = calendar.get(0);
        assertEquals(List.of(), violations(random, plan, List.of()));
        List<Window> within = plan.windows().stream()
                .filter(item -> item.overlaps(audit.fromMs(), audit.toMs()))
                .toList();
        assertTrue(within.stream().allMatch(item -> item.request().freezes().isEmpty()), within.toString());
        assertFalse(within.isEmpty());
        Request bound = requests.stream()
                .filter(item -> item.name().equals(middle.request().name()))
                .findFirst()
                .orElseThrow();
        assertEquals(calendar, bound.freezes());
        assertEquals(bound, MaintenanceJson.request(MaintenanceJson.write(bound)));
        assertTrue(Planner.objections(
                        random.fairness, random.input(requests, null, List.of(), List.of()), bound, middle.startMs())
                .contains("freeze audit"));
    }

    @Test
    void theCheckerFindsEveryKindOfViolation() {
        RandomPlanInput random = random(1);
        List<Window> windows = new ArrayList<>();
        random.requests.forEach(request ->
                windows.add(new Window(request, FROM + 60 * HOUR, FROM + 60 * HOUR + request.workMs(), false)));
        List<String> violations = violations(
                random,
                new Plan(windows, new java.util.TreeMap<>(), 0, 0, 0),
                List.of(new Freeze("one", FROM + 60 * HOUR, FROM + 61 * HOUR)));
        for (String fault : List.of(
                "unfair at", "is away twice", "is outside its permitted period", "is in a freeze", "overlaps")) {
            assertTrue(violations.stream().anyMatch(text -> text.contains(fault)), fault);
        }
    }

    /**
     * At least a third of the requests that are feasible alone, but that first come, first served rejects, get
     * a time.
     */
    @Test
    void moreRequestsArePlannedThanFirstComeFirstServed() {
        int planned = 0;
        int firstCome = 0;
        int oneAtATime = 0;
        int possible = 0;
        for (long seed = 1; seed <= 6; seed++) {
            RandomPlanInput random = random(seed);
            int plannedHere =
                    Planner.plan(random.fairness, random.input()).windows().size();
            int firstComeHere = Planner.firstComeFirstServed(random.fairness, random.input(), false)
                    .windows()
                    .size();
            assertTrue(plannedHere >= firstComeHere, "seed " + seed + ": " + plannedHere + " and " + firstComeHere);
            planned += plannedHere;
            Timeline timeline = new Timeline(
                    random.input().parameters(), random.fairness, random.forecast, null, List.of(), List.of(), 0);
            for (Request request : random.requests) {
                int start = timeline.feasibleStarts(request).nextSetBit(timeline.firstStep(request));
                possible += start >= 0 && start <= timeline.lastStep(request) ? 1 : 0;
            }
            firstCome += firstComeHere;
            oneAtATime += Planner.firstComeFirstServed(random.fairness, random.input(), true)
                    .windows()
                    .size();
        }
        assertTrue(
                possible - planned <= (possible - firstCome) * 2 / 3,
                planned + " of " + possible + ", first come " + firstCome);
        assertTrue(planned > oneAtATime, planned + ", one at a time " + oneAtATime);
    }

    @Test
    void theSameInputHasTheSamePlan() {
        Plan first = Planner.plan(random(2).fairness, random(2).input());
        Plan second = Planner.plan(random(2).fairness, random(2).input());
        assertEquals(first, second);
    }

    @Test
    void fewWindowsMoveAfterASmallChange() {
        RandomPlanInput random = random(4);
        List<Request> first = random.requests.subList(0, 45);
        Plan before = Planner.plan(random.fairness, random.input(first, null, List.of(), List.of()));
        Plan same = Planner.plan(random.fairness, random.input(first, before, List.of(), List.of()));
        assertEquals(0, same.moved());
        Plan more = Planner.plan(random.fairness, random.input(random.requests, before, List.of(), List.of()));
        assertEquals(List.of(), violations(random, more, List.of()));
        assertTrue(more.moved() <= 6, more.moved() + " moved for 5 new ones");
        Plan lost = Planner.plan(random.fairness, random.input(first, before, List.of(), List.of("r0", "r1")));
        assertTrue(lost.moved() <= 6, lost.moved() + " moved for two racks lost on the first day");
    }

    private static Request request(String name, String rack, String... apart) {
        return new Request(name, "ops", List.of(rack), HOUR, FROM, FROM + 10 * HOUR, 0, 0, Set.of(apart), List.of());
    }

    private static Planner.Input input(double load, List<Freeze> freezes, Request... requests) {
        return new Planner.Input(
                new Planner.Parameters(FROM, HOUR / 4, 40, 0, 0, 0, 100),
                new Forecast(FROM, HOUR, List.<double[][]>of(new double[][] {{25 * load}, {75 * load}})),
                List.of(requests),
                List.of(),
                null,
                freezes,
                List.of(),
                0,
                null);
    }

    /** Three racks of 50 slots; one tenant may run in the first zone only. */
    private static Fairness threeRacks() {
        return new Fairness(
                new Inventory(
                        List.of("quick"),
                        new double[1],
                        List.of(
                                new Rack("r0", "a", List.of(new EndpointGroup(1, 50, 0))),
                                new Rack("r1", "b", List.of(new EndpointGroup(1, 50, 0))),
                                new Rack("r2", "c", List.of(new EndpointGroup(1, 50, 0)))),
                        List.of(new Tenant("bound", 1, Set.of("a"), 1), new Tenant("free", 1, Set.of(), 1))),
                Fairness.Limits.defaults());
    }

    @Test
    void windowsThatAreUnfairTogetherRunInSequence() {
        Plan plan = Planner.plan(threeRacks(), input(0.9, List.of(), request("one", "r1"), request("other", "r2")));
        assertEquals(2, plan.windows().size());
        assertTrue(plan.windows().get(0).endMs() <= plan.windows().get(1).startMs());
    }

    @Test
    void aDryRunNamesTheObjections() {
        Freeze freeze = new Freeze("year's end", FROM, FROM + HOUR);
        Planner.Input input = input(0.9, List.of(freeze), request("one", "r1"));
        assertEquals(
                List.of("freeze year's end"), Planner.objections(threeRacks(), input, request("two", "r2", "x"), FROM));
        List<String> zone = Planner.objections(threeRacks(), input, request("two", "r0"), FROM + 5 * HOUR);
        assertTrue(
                zone.get(0).startsWith("tenant bound loses 22.5 slots, its fair share is 0.5 (full: zone a"),
                zone.toString());
        assertEquals(List.of(), Planner.objections(threeRacks(), input, request("two", "r2"), FROM + 5 * HOUR));
        Plan plan = Planner.plan(threeRacks(), input(0.9, List.of(freeze), request("two", "r0")));
        assertNull(plan.window("two"));
        assertTrue(
                plan.refused().get("two").stream().anyMatch(text -> text.startsWith("tenant bound loses")),
                plan.refused().toString());
        // A dry run moves no window: windows that are already planned count against the request.
        Planner.Input planned = new Planner.Input(
                input.parameters(),
                input.forecast(),
                List.of(request("one", "r1")),
                List.of(),
                Planner.plan(threeRacks(), input),
                input.freezes(),
                List.of(),
                0,
                null);
        long startMs = planned.previous().window("one").startMs();
        assertTrue(
                Planner.objections(threeRacks(), planned, request("two", "r2"), startMs)
                        .toString()
                        .contains("with r1 down"),
                Planner.objections(threeRacks(), planned, request("two", "r2"), startMs)
                        .toString());
    }

    /** The reasons of a refusal end with the smallest change that would have given the request a time. */
    @Test
    void aRefusalNamesTheSmallestChange() {
        Freeze morning = new Freeze("morning", FROM, FROM + 5 * HOUR);
        Request soon =
                new Request("soon", "ops", List.of("r1"), HOUR, FROM, FROM + 4 * HOUR, 0, 0, Set.of(), List.of());
        List<String> reasonsForLate = Planner.plan(threeRacks(), input(0.9, List.of(morning), soon))
                .refused()
                .get("soon");
        assertEquals(
                "would have a time if it might end by " + java.time.Instant.ofEpochMilli(FROM + 6 * HOUR),
                reasonsForLate.get(reasonsForLate.size() - 1));
        Request both =
                new Request("both", "ops", List.of("r1", "r2"), HOUR, FROM, FROM + 4 * HOUR, 0, 0, Set.of(), List.of());
        List<String> reasonsForBoth = Planner.plan(threeRacks(), input(0.9, List.of(), both))
                .refused()
                .get("both");
        assertEquals(
                "would have a time with only r1, at " + java.time.Instant.ofEpochMilli(FROM),
                reasonsForBoth.get(reasonsForBoth.size() - 1));
    }
}
