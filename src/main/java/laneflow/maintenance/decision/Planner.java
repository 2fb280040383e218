package laneflow.maintenance.decision;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import laneflow.maintenance.decision.Plan.Freeze;
import laneflow.maintenance.decision.Plan.Window;

/**
 * Finds times for requests so that every instant stays fair. Greedy with look-ahead: requests with the fewest
 * possible times go first, each at the time that the others need least. If a request finds none, windows that
 * block it are removed, it is placed, and they are placed again; if that fails everything is rolled back.
 * Windows of the previous plan keep their times where possible. No clock and no randomness: the same input
 * gives the same plan.
 */
public final class Planner {
    private static final int MAX_REMOVED = 3;
    private static final int MAX_CANDIDATES = 60;

    /**
     * Time steps and reserves of a plan.
     *
     * @param fromMs the first instant that is planned, Unix milliseconds; nothing begins before it
     * @param stepMs length of a step
     * @param steps number of steps
     * @param drainMs time for racks to drain, during which they count as away
     * @param returnMs time for racks to return, during which they count as away
     * @param reserve the fraction of all slots that no window may take, kept for failures during a window
     * @param maxFlows limit on flow computations; past it, an instant that sums cannot decide counts against a
     * window
     */
    public record Parameters(
            long fromMs, long stepMs, int steps, long drainMs, long returnMs, double reserve, int maxFlows) {}

    /**
     * Input of a plan.
     *
     * @param requests in the order in which they arrived
     * @param fixed windows that cannot be moved: announced or begun
     * @param previous the plan that is in force, or null
     * @param lost racks that are down without a window
     * @param lostUntilMs until when lost racks count as down
     * @param accounts each tenant's loss rate above the mean, or null
     */
    public record Input(
            Parameters parameters,
            Forecast forecast,
            List<Request> requests,
            List<Window> fixed,
            Plan previous,
            List<Freeze> freezes,
            List<String> lost,
            long lostUntilMs,
            double[] accounts) {}

    private final Fairness fairness;
    private final Input input;
    private final Timeline timeline;
    private final Map<String, Request> unplaced = new LinkedHashMap<>();
    /** Expected slots that unplaced requests still need, by step. */
    private final double[] contention;

    private final Map<String, Integer> startCounts = new HashMap<>();

    /**
     * First and last possible start step of a request, with its order relative to other requests taken into
     * account.
     */
    private final Map<String, int[]> bounds = new HashMap<>();

    private Planner(Fairness fairness, Input input) {
        this.fairness = fairness;
        this.input = input;
        List<Integer> lost = input.lost().stream()
                .map(fairness.inventory()::rackIndex)
                .filter(i -> i >= 0)
                .toList();
        timeline = new Timeline(
                input.parameters(),
                fairness,
                input.forecast(),
                input.accounts(),
                input.freezes(),
                lost,
                input.lostUntilMs());
        contention = new double[input.parameters().steps()];
        input.fixed().forEach(timeline::add);
        input.requests().stream()
                .filter(one -> !timeline.windows().containsKey(one.name()))
                .forEach(one -> unplaced.put(one.name(), one));
    }

    /** Computes a plan. All requests are valid: their racks are known and their times are in order. */
    public static Plan plan(Fairness fairness, Input input) {
        Planner planner = new Planner(fairness, input);
        planner.computeBounds();
        planner.keepPrevious();
        planner.placeAll();
        return planner.result();
    }

    /** Baseline for comparison: places requests in order of arrival, each at the first fair time. */
    public static Plan firstComeFirstServed(Fairness fairness, Input input, boolean oneAtATime) {
        Planner planner = new Planner(fairness, input);
        boolean changed = true;
        // A request that has to come after another is retried once that one is placed.
        while (changed) {
            changed = false;
            for (Request request : List.copyOf(planner.unplaced.values())) {
                changed |= planner.placeFirst(request, oneAtATime);
            }
        }
        return planner.result();
    }

    /**
     * Tightens the start bounds by the order of requests: a request has to end early enough for its successor
     * to fit, and so on.
     */
    private void computeBounds() {
        unplaced.values()
                .forEach(one -> bounds.put(one.name(), new int[] {timeline.firstStep(one), timeline.lastStep(one)}));
        boolean changed = true;
        for (int round = 0; changed && round < unplaced.size(); round++) {
            changed = false;
            for (Request request : unplaced.values()) {
                int[] ownBounds = bounds.get(request.name());
                for (String name : request.after()) {
                    int[] before = bounds.get(name);
                    if (before == null) {
                        continue;
                    }
                    int length = timeline.stepCount(unplaced.get(name));
                    changed |= before[0] + length > ownBounds[0] || ownBounds[1] - length < before[1];
                    ownBounds[0] = Math.max(ownBounds[0], before[0] + length);
                    // An infeasible request does not restrict its predecessor.
                    before[1] = ownBounds[1] < ownBounds[0] ? before[1] : Math.min(before[1], ownBounds[1] - length);
                }
            }
        }
    }

    private int firstStart(Request request) {
        return bounds.get(request.name())[0];
    }

    private int lastStart(Request request) {
        return bounds.get(request.name())[1];
    }

    private boolean placeFirst(Request request, boolean oneAtATime) {
        for (int step = timeline.firstStep(request); step <= timeline.lastStep(request); step++) {
            Window window = timeline.windowAt(request, step);
            boolean free = !oneAtATime
                    || timeline.windows().values().stream()
                            .noneMatch(one -> one.overlaps(window.startMs(), window.endMs()));
            if (free && timeline.conflict(request, step) == null && timeline.cost(request, step) >= 0) {
                timeline.add(window);
                unplaced.remove(request.name());
                return true;
            }
        }
        return false;
    }

    /** Keeps windows of the previous plan at their times where that is still possible. */
    private void keepPrevious() {
        if (input.previous() == null) {
            return;
        }
        for (Window window : input.previous().windows()) {
            Request request = unplaced.get(window.request().name());
            if (request == null) {
                continue;
            }
            long offset = window.startMs() - input.parameters().fromMs();
            // A start between two steps is rounded up.
            int step = (int) -Math.floorDiv(-offset, input.parameters().stepMs());
            boolean within = step >= timeline.firstStep(request) && step <= timeline.lastStep(request);
            if (within && timeline.conflict(request, step) == null && timeline.cost(request, step) >= 0) {
                timeline.add(timeline.windowAt(request, step));
                unplaced.remove(request.name());
            }
        }
    }

    private void placeAll() {
        for (Request request : unplaced.values()) {
            startCounts.put(
                    request.name(),
                    lastStart(request) < firstStart(request)
                            ? 0
                            : timeline.feasibleStarts(request)
                                    .get(firstStart(request), lastStart(request) + 1)
                                    .cardinality());
            addContention(request, 1);
        }
        List<Request> order = new ArrayList<>(unplaced.values());
        order.sort(Comparator.comparingDouble(this::slack).thenComparing(Request::name));
        List<Request> remaining = new ArrayList<>();
        // Predecessors go before their successors, however much slack they have.
        Set<String> seen = new HashSet<>();
        for (Request request : order) {
            appendWithPredecessors(request, seen, remaining);
        }
        remaining.removeIf(this::placeBest);
        boolean changed = true;
        while (changed && !remaining.isEmpty()) {
            changed = remaining.removeIf(request -> placeBest(request) || makeRoom(request));
        }
    }

    private void appendWithPredecessors(Request request, Set<String> seen, List<Request> into) {
        if (!seen.add(request.name())) {
            return;
        }
        for (String before : request.after()) {
            if (unplaced.containsKey(before)) {
                appendWithPredecessors(unplaced.get(before), seen, into);
            }
        }
        into.add(request);
    }

    /** Possible start times per size: requests with the fewest go first, and among these the largest. */
    private double slack(Request request) {
        return startCounts.get(request.name()) / (1 + slots(request) * timeline.stepCount(request) / 100.0);
    }

    private double slots(Request request) {
        return request.racks().stream()
                .mapToDouble(rack -> fairness.inventory()
                        .racks()
                        .get(fairness.inventory().rackIndex(rack))
                        .slots())
                .sum();
    }

    /**
     * Adds (or with sign -1 removes) an unplaced request's expected use of slots, spread evenly over its
     * possible times.
     */
    private void addContention(Request request, int sign) {
        int times = startCounts.get(request.name());
        double coveringStarts = 0;
        int length = timeline.stepCount(request);
        BitSet starts = timeline.feasibleStarts(request);
        for (int i = firstStart(request); times > 0 && i < lastStart(request) + length; i++) {
            coveringStarts += i <= lastStart(request) && starts.get(i) ? 1 : 0;
            boolean ended =
                    i - length >= firstStart(request) && i - length <= lastStart(request) && starts.get(i - length);
            coveringStarts -= ended ? 1 : 0;
            contention[i] += sign * slots(request) / times * coveringStarts;
        }
    }

    /** Places a request at the time with the lowest cost, then the least contention, then the earliest. */
    private boolean placeBest(Request request) {
        int bestStep = -1;
        double minScore = Double.MAX_VALUE;
        int length = timeline.stepCount(request);
        BitSet starts = timeline.feasibleStarts(request);
        List<Window> related = timeline.related(request);
        for (int step = firstStart(request); step <= lastStart(request); step++) {
            if (!starts.get(step) || timeline.conflict(request, step, related) != null) {
                continue;
            }
            int cost = timeline.cost(request, step);
            if (cost < 0) {
                continue;
            }
            // Headroom for everything still to be placed makes an earlier start preferable.
            double contended = 0;
            for (int i = step; i < step + length; i++) {
                contended += Math.max(0, contention[i] - timeline.headroom(i) / 4);
            }
            double score = cost * 4.0 + contended + 0.002 * step;
            if (score < minScore - 1e-9) {
                minScore = score;
                bestStep = step;
            }
        }
        if (bestStep < 0) {
            return false;
        }
        timeline.add(timeline.windowAt(request, bestStep));
        unplaced.remove(request.name());
        addContention(request, -1);
        return true;
    }

    /** Removes windows that block a request, if all of them find another time. */
    private boolean makeRoom(Request request) {
        record Candidate(int step, List<Window> removed, double weight) {}
        List<Candidate> candidates = new ArrayList<>();
        int stride = Math.max(1, (lastStart(request) - firstStart(request)) / (2 * MAX_CANDIDATES));
        for (int step = firstStart(request); step <= lastStart(request); step += stride) {
            if (!timeline.feasibleStarts(request).get(step)) {
                continue;
            }
            Window placement = timeline.windowAt(request, step);
            List<Window> removed = new ArrayList<>();
            for (Window other : timeline.windows().values()) {
                boolean early = request.after().contains(other.request().name()) && placement.startMs() < other.endMs();
                if (!other.isFixed()
                        && (early
                                || other.overlaps(placement.startMs(), placement.endMs())
                                        && conflicts(other, request))) {
                    removed.add(other);
                }
            }
            // Windows with the most alternatives are removed first.
            removed.sort(Comparator.comparingInt((Window one) ->
                            -startCounts.getOrDefault(one.request().name(), 0))
                    .thenComparing(one -> one.request().name()));
            candidates.add(new Candidate(
                    step,
                    removed,
                    removed.stream()
                            .limit(MAX_REMOVED)
                            .mapToDouble(one -> slots(one.request())
                                    / (1
                                            + startCounts.getOrDefault(
                                                    one.request().name(), 0)))
                            .sum()));
        }
        candidates.sort(Comparator.comparingDouble(Candidate::weight).thenComparingInt(Candidate::step));
        for (Candidate one : candidates.subList(0, Math.min(MAX_CANDIDATES, candidates.size()))) {
            if (tryReplacing(request, one.step(), one.removed())) {
                return true;
            }
        }
        return false;
    }

    /** True if they use the same zone or may not overlap. */
    private boolean conflicts(Window window, Request request) {
        for (String ownRack : request.racks()) {
            for (String other : window.request().racks()) {
                int a = fairness.inventory().rackIndex(ownRack);
                int b = fairness.inventory().rackIndex(other);
                if (fairness.inventory()
                        .racks()
                        .get(a)
                        .zone()
                        .equals(fairness.inventory().racks().get(b).zone())) {
                    return true;
                }
            }
        }
        return window.request().apart().stream().anyMatch(request.apart()::contains);
    }

    private boolean tryReplacing(Request request, int step, List<Window> others) {
        List<Window> removed = new ArrayList<>();
        for (int i = 0; i < Math.min(MAX_REMOVED, others.size()); i++) {
            removed.add(timeline.remove(others.get(i).request().name()));
            if (timeline.conflict(request, step) == null && timeline.cost(request, step) >= 0) {
                timeline.add(timeline.windowAt(request, step));
                List<Window> placedAgain = new ArrayList<>();
                boolean allPlaced = true;
                for (Window window : removed) {
                    allPlaced = allPlaced && placeAtFirstFairStep(window.request());
                    if (allPlaced) {
                        placedAgain.add(window);
                    }
                }
                if (allPlaced) {
                    unplaced.remove(request.name());
                    addContention(request, -1);
                    return true;
                }
                placedAgain.forEach(window -> timeline.remove(window.request().name()));
                timeline.remove(request.name());
                break;
            }
        }
        removed.forEach(timeline::add);
        return false;
    }

    /** Places a removed window again, at the first fair time. */
    private boolean placeAtFirstFairStep(Request request) {
        BitSet starts = timeline.feasibleStarts(request);
        List<Window> related = timeline.related(request);
        for (int step = firstStart(request); step <= lastStart(request); step++) {
            if (starts.get(step)
                    && timeline.conflict(request, step, related) == null
                    && timeline.cost(request, step) >= 0) {
                timeline.add(timeline.windowAt(request, step));
                return true;
            }
        }
        return false;
    }

    private Plan result() {
        List<Window> windows = new ArrayList<>(timeline.windows().values());
        windows.sort(Comparator.comparingLong(Window::startMs)
                .thenComparing(one -> one.request().name()));
        Map<String, List<String>> refused = new TreeMap<>();
        Reasons reasons = new Reasons(timeline);
        unplaced.values().forEach(request -> refused.put(request.name(), reasons.explain(request)));
        int moved = 0;
        if (input.previous() != null) {
            for (Window previous : input.previous().windows()) {
                Window planned = timeline.windows().get(previous.request().name());
                boolean stays = planned != null
                        && Math.abs(planned.startMs() - previous.startMs())
                                < input.parameters().stepMs();
                moved += stays ? 0 : 1;
            }
        }
        return new Plan(List.copyOf(windows), refused, moved, timeline.evaluations(), timeline.flows());
    }

    /**
     * Why a request cannot begin at an instant, given the windows of that plan; empty if it can. Used for a
     * dry run: nothing is decided.
     */
    public static List<String> objections(Fairness fairness, Input input, Request request, long startMs) {
        Planner planner = new Planner(fairness, input);
        planner.keepPrevious();
        if (planner.timeline.windows().containsKey(request.name())) {
            planner.timeline.remove(request.name());
        }
        int step = (int) -Math.floorDiv(
                input.parameters().fromMs() - startMs, input.parameters().stepMs());
        List<String> objections = new ArrayList<>();
        if (step < planner.timeline.firstStep(request)) {
            objections.add("is before its earliest beginning or its notice");
        }
        if (step > planner.timeline.lastStep(request)) {
            objections.add("ends after its latest end, or after what is planned");
        }
        if (step >= 0
                && step + planner.timeline.stepCount(request)
                        <= input.parameters().steps()) {
            objections.addAll(planner.timeline.objections(request, step));
        }
        return objections;
    }
}
