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
 * Finds times for requests so that every instant stays fair: greedy, the one with the fewest times first,
 * each at the time that others need least (look-ahead); where one finds none, windows in its way are taken
 * out, it is put in, and they are placed anew, or all is as it was (rollback). Windows of the plan before
 * stay where they are as long as they can. No clock and no chance: the same input has the same plan.
 */
public final class Planner {
    private static final int MOST_TAKEN_OUT = 3;
    private static final int MOST_TRIES = 60;

    /**
     * How time is divided, and what is held back.
     *
     * @param fromMs the first instant that is planned, Unix milliseconds; nothing begins before
     * @param stepMs the length of a step
     * @param steps how many there are
     * @param drainMs how long racks may take to drain, and count as away
     * @param returnMs the same for their return
     * @param reserve the part of all slots that no window may take: for what fails amid one
     * @param mostFlows bound of planning; past it, what sums can't tell counts against a window
     */
    public record Parameters(
            long fromMs, long stepMs, int steps, long drainMs, long returnMs, double reserve, int mostFlows) {}

    /**
     * All that a plan is made from.
     *
     * @param requests in the order in which they came
     * @param fixed windows that can't be moved: announced, begun
     * @param before the plan that is in force, or null
     * @param lost racks that are down without a plan
     * @param lostUntilMs until when those are counted as down
     * @param accounts each tenant's account over the mean, or null
     */
    public record Input(
            Parameters times,
            Forecast forecast,
            List<Request> requests,
            List<Window> fixed,
            Plan before,
            List<Freeze> freezes,
            List<String> lost,
            long lostUntilMs,
            double[] accounts) {}

    private final Fairness fairness;
    private final Input input;
    private final Timeline line;
    private final Map<String, Request> open = new LinkedHashMap<>();
    /** For each span of the forecast, how many slots are still to be taken out in it, as far as is known. */
    private final double[] wanted;

    private final Map<String, Integer> room = new HashMap<>();

    /** The steps between which a request may begin, those that it waits for or that wait for it counted. */
    private final Map<String, int[]> bounds = new HashMap<>();

    private Planner(Fairness fairness, Input input) {
        this.fairness = fairness;
        this.input = input;
        List<Integer> lost = input.lost().stream()
                .map(fairness.inventory()::rackIndex)
                .filter(i -> i >= 0)
                .toList();
        line = new Timeline(
                input.times(),
                fairness,
                input.forecast(),
                input.accounts(),
                input.freezes(),
                lost,
                input.lostUntilMs());
        wanted = new double[input.times().steps()];
        input.fixed().forEach(line::add);
        input.requests().stream()
                .filter(one -> !line.windows().containsKey(one.name()))
                .forEach(one -> open.put(one.name(), one));
    }

    /** The plan. All requests are sound: their racks are known and their times are in order. */
    public static Plan plan(Fairness fairness, Input input) {
        Planner planner = new Planner(fairness, input);
        planner.bound();
        planner.keep();
        planner.place();
        return planner.told();
    }

    /** For comparison: each in the order in which they came, at the first time that is fair. */
    public static Plan firstComeFirstServed(Fairness fairness, Input input, boolean oneAtATime) {
        Planner planner = new Planner(fairness, input);
        boolean again = true;
        // One that waits for another comes again behind it.
        while (again) {
            again = false;
            for (Request request : List.copyOf(planner.open.values())) {
                again |= planner.first(request, oneAtATime);
            }
        }
        return planner.told();
    }

    /** An order leaves each of its requests less: one has to end while the next has still time, and so on. */
    private void bound() {
        open.values().forEach(one -> bounds.put(one.name(), new int[] {line.first(one), line.last(one)}));
        boolean again = true;
        for (int round = 0; again && round < open.size(); round++) {
            again = false;
            for (Request request : open.values()) {
                int[] mine = bounds.get(request.name());
                for (String name : request.after()) {
                    int[] before = bounds.get(name);
                    if (before == null) {
                        continue;
                    }
                    int length = line.length(open.get(name));
                    again |= before[0] + length > mine[0] || mine[1] - length < before[1];
                    mine[0] = Math.max(mine[0], before[0] + length);
                    // One that can't be had any more takes no time from the one before it.
                    before[1] = mine[1] < mine[0] ? before[1] : Math.min(before[1], mine[1] - length);
                }
            }
        }
    }

    private int first(Request request) {
        return bounds.get(request.name())[0];
    }

    private int last(Request request) {
        return bounds.get(request.name())[1];
    }

    private boolean first(Request request, boolean oneAtATime) {
        for (int step = line.first(request); step <= line.last(request); step++) {
            Window window = line.at(request, step);
            boolean free = !oneAtATime
                    || line.windows().values().stream().noneMatch(one -> one.meets(window.startMs(), window.endMs()));
            if (free && line.forbids(request, step) == null && line.cost(request, step) >= 0) {
                line.add(window);
                open.remove(request.name());
                return true;
            }
        }
        return false;
    }

    /** What stood in the plan before stands again, unless it can't. */
    private void keep() {
        if (input.before() == null) {
            return;
        }
        for (Window window : input.before().windows()) {
            Request request = open.get(window.request().name());
            if (request == null) {
                continue;
            }
            long offset = window.startMs() - input.times().fromMs();
            // A step that is no whole one any more begins with the next.
            int step = (int) -Math.floorDiv(-offset, input.times().stepMs());
            boolean within = step >= line.first(request) && step <= line.last(request);
            if (within && line.forbids(request, step) == null && line.cost(request, step) >= 0) {
                line.add(line.at(request, step));
                open.remove(request.name());
            }
        }
    }

    private void place() {
        for (Request request : open.values()) {
            room.put(
                    request.name(),
                    last(request) < first(request)
                            ? 0
                            : line.starts(request)
                                    .get(first(request), last(request) + 1)
                                    .cardinality());
            want(request, 1);
        }
        List<Request> order = new ArrayList<>(open.values());
        order.sort(Comparator.comparingDouble(this::slack).thenComparing(Request::name));
        List<Request> left = new ArrayList<>();
        // Those that others wait for go before them, however much time they have.
        Set<String> seen = new HashSet<>();
        for (Request request : order) {
            inOrder(request, seen, left);
        }
        left.removeIf(this::best);
        boolean again = true;
        while (again && !left.isEmpty()) {
            again = left.removeIf(request -> best(request) || makeRoom(request));
        }
    }

    private void inOrder(Request request, Set<String> seen, List<Request> into) {
        if (!seen.add(request.name())) {
            return;
        }
        for (String before : request.after()) {
            if (open.containsKey(before)) {
                inOrder(open.get(before), seen, into);
            }
        }
        into.add(request);
    }

    /** Times that a request has, for what it takes: the fewest first, and of these the greatest. */
    private double slack(Request request) {
        return room.get(request.name()) / (1 + slots(request) * line.length(request) / 100.0);
    }

    private double slots(Request request) {
        return request.racks().stream()
                .mapToDouble(rack -> fairness.inventory()
                        .racks()
                        .get(fairness.inventory().rackIndex(rack))
                        .slots())
                .sum();
    }

    /** A request that has no time yet wants each of its times a little, for as long as it takes. */
    private void want(Request request, int sign) {
        int times = room.get(request.name());
        double running = 0;
        int length = line.length(request);
        BitSet starts = line.starts(request);
        for (int i = first(request); times > 0 && i < last(request) + length; i++) {
            running += i <= last(request) && starts.get(i) ? 1 : 0;
            boolean ended = i - length >= first(request) && i - length <= last(request) && starts.get(i - length);
            running -= ended ? 1 : 0;
            wanted[i] += sign * slots(request) / times * running;
        }
    }

    /** Puts a request where it costs nobody anything, others want it least, and it is over soonest. */
    private boolean best(Request request) {
        int at = -1;
        double least = Double.MAX_VALUE;
        int length = line.length(request);
        BitSet starts = line.starts(request);
        List<Window> related = line.related(request);
        for (int step = first(request); step <= last(request); step++) {
            if (!starts.get(step) || line.forbids(request, step, related) != null) {
                continue;
            }
            int cost = line.cost(request, step);
            if (cost < 0) {
                continue;
            }
            // Where there is room for all that is still to come, sooner is better.
            double contended = 0;
            for (int i = step; i < step + length; i++) {
                contended += Math.max(0, wanted[i] - line.headroom(i) / 4);
            }
            double score = cost * 4.0 + contended + 0.002 * step;
            if (score < least - 1e-9) {
                least = score;
                at = step;
            }
        }
        if (at < 0) {
            return false;
        }
        line.add(line.at(request, at));
        open.remove(request.name());
        want(request, -1);
        return true;
    }

    /** Takes windows out of the way of a request, as long as all of them find another time. */
    private boolean makeRoom(Request request) {
        record Try(int step, List<Window> out, double weight) {}
        List<Try> candidates = new ArrayList<>();
        int stride = Math.max(1, (last(request) - first(request)) / (2 * MOST_TRIES));
        for (int step = first(request); step <= last(request); step += stride) {
            if (!line.starts(request).get(step)) {
                continue;
            }
            Window at = line.at(request, step);
            List<Window> out = new ArrayList<>();
            for (Window other : line.windows().values()) {
                boolean early = request.after().contains(other.request().name()) && at.startMs() < other.endMs();
                if (!other.isFixed() && (early || other.meets(at.startMs(), at.endMs()) && shares(other, request))) {
                    out.add(other);
                }
            }
            // The one with the most other times goes first.
            out.sort(Comparator.comparingInt(
                            (Window one) -> -room.getOrDefault(one.request().name(), 0))
                    .thenComparing(one -> one.request().name()));
            candidates.add(new Try(
                    step,
                    out,
                    out.stream()
                            .limit(MOST_TAKEN_OUT)
                            .mapToDouble(one -> slots(one.request())
                                    / (1 + room.getOrDefault(one.request().name(), 0)))
                            .sum()));
        }
        candidates.sort(Comparator.comparingDouble(Try::weight).thenComparingInt(Try::step));
        for (Try one : candidates.subList(0, Math.min(MOST_TRIES, candidates.size()))) {
            if (swap(request, one.step(), one.out())) {
                return true;
            }
        }
        return false;
    }

    /** True if they need the same cells, or may not go together. */
    private boolean shares(Window window, Request request) {
        for (String mine : request.racks()) {
            for (String other : window.request().racks()) {
                int a = fairness.inventory().rackIndex(mine);
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

    private boolean swap(Request request, int step, List<Window> others) {
        List<Window> out = new ArrayList<>();
        for (int i = 0; i < Math.min(MOST_TAKEN_OUT, others.size()); i++) {
            out.add(line.remove(others.get(i).request().name()));
            if (line.forbids(request, step) == null && line.cost(request, step) >= 0) {
                line.add(line.at(request, step));
                List<Window> back = new ArrayList<>();
                boolean all = true;
                for (Window window : out) {
                    all = all && again(window.request());
                    if (all) {
                        back.add(window);
                    }
                }
                if (all) {
                    open.remove(request.name());
                    want(request, -1);
                    return true;
                }
                back.forEach(window -> line.remove(window.request().name()));
                line.remove(request.name());
                break;
            }
        }
        out.forEach(line::add);
        return false;
    }

    /** Another time for one that was taken out: the first that is fair. */
    private boolean again(Request request) {
        BitSet starts = line.starts(request);
        List<Window> related = line.related(request);
        for (int step = first(request); step <= last(request); step++) {
            if (starts.get(step) && line.forbids(request, step, related) == null && line.cost(request, step) >= 0) {
                line.add(line.at(request, step));
                return true;
            }
        }
        return false;
    }

    private Plan told() {
        List<Window> windows = new ArrayList<>(line.windows().values());
        windows.sort(Comparator.comparingLong(Window::startMs)
                .thenComparing(one -> one.request().name()));
        Map<String, List<String>> refused = new TreeMap<>();
        Reasons reasons = new Reasons(line);
        open.values().forEach(request -> refused.put(request.name(), reasons.whyNot(request)));
        int moved = 0;
        if (input.before() != null) {
            for (Window was : input.before().windows()) {
                Window is = line.windows().get(was.request().name());
                boolean stays = is != null
                        && Math.abs(is.startMs() - was.startMs())
                                < input.times().stepMs();
                moved += stays ? 0 : 1;
            }
        }
        return new Plan(List.copyOf(windows), refused, moved, line.asked(), line.flows());
    }

    /**
     * Who stands against a request beginning at an instant, in words, where the windows of that plan stand.
     * Empty: nobody. For a dry run: nothing is decided.
     */
    public static List<String> against(Fairness fairness, Input input, Request request, long startMs) {
        Planner planner = new Planner(fairness, input);
        planner.keep();
        if (planner.line.windows().containsKey(request.name())) {
            planner.line.remove(request.name());
        }
        int step = (int)
                -Math.floorDiv(input.times().fromMs() - startMs, input.times().stepMs());
        List<String> all = new ArrayList<>();
        if (step < planner.line.first(request)) {
            all.add("is before its earliest beginning or its notice");
        }
        if (step > planner.line.last(request)) {
            all.add("ends after its latest end, or after what is planned");
        }
        if (step >= 0 && step + planner.line.length(request) <= input.times().steps()) {
            all.addAll(planner.line.against(request, step));
        }
        return all;
    }
}
