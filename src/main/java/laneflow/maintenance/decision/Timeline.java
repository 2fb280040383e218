package laneflow.maintenance.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import laneflow.maintenance.decision.Cuts.Answer;
import laneflow.maintenance.decision.Plan.Freeze;
import laneflow.maintenance.decision.Plan.Window;

/**
 * The planned time in steps, with the windows placed in it: what is left at each step, and whether one more
 * window would be fair throughout. Not thread-safe.
 */
final class Timeline {
    /** Cost of a time that is unfair at some step. Otherwise the cost is the number of steps with a fair loss. */
    static final int UNFAIR = -1;

    private final Planner.Parameters parameters;
    private final Fairness fairness;
    private final Forecast forecast;
    private final List<double[]> dues;
    private final Cuts cuts;
    private final double[] accounts;
    private final List<Freeze> freezes;
    private final double[] totalSlots;
    private final double[][] slotsLeft;
    private final int[] windowCounts;
    private final int[] spans;
    private final boolean[] frozen;
    private final Map<String, Window> windows = new LinkedHashMap<>();
    /** Flows are expensive, so results are cached by span and remaining slots. */
    private final Map<List<Object>, Boolean> cachedFairness = new HashMap<>();

    private final Map<List<Object>, byte[]> aloneByRacks = new HashMap<>();
    private final Map<String, BitSet> starts = new HashMap<>();
    private long evaluations;
    private int flows;

    Timeline(
            Planner.Parameters parameters,
            Fairness fairness,
            Forecast forecast,
            double[] accounts,
            List<Freeze> freezes,
            List<Integer> lost,
            long lostUntilMs) {
        this.parameters = parameters;
        this.fairness = fairness;
        this.forecast = forecast;
        this.accounts = accounts;
        this.freezes = freezes;
        dues = Cuts.dueBySpan(fairness, forecast);
        cuts = new Cuts(fairness, dues, accounts);
        totalSlots = fairness.inventory().totalSlots();
        slotsLeft = new double[parameters.steps()][];
        windowCounts = new int[parameters.steps()];
        spans = new int[parameters.steps()];
        frozen = new boolean[parameters.steps()];
        double[] remaining = fairness.inventory().slotsWithout(lost);
        for (int i = 0; i < slotsLeft.length; i++) {
            long ms = ms(i);
            boolean isLost = ms < lostUntilMs && !lost.isEmpty();
            slotsLeft[i] = (isLost ? remaining : totalSlots).clone();
            // The reserve is subtracted in advance, so that a failure during a window still finds its slots.
            for (int c = 0; c < slotsLeft[i].length; c++) {
                slotsLeft[i][c] -= parameters.reserve() * totalSlots[c];
            }
            windowCounts[i] = isLost ? 1 : 0;
            spans[i] = forecast.spanAt(ms);
            for (Freeze freeze : freezes) {
                frozen[i] |= freeze.fromMs() < ms + parameters.stepMs() && ms < freeze.toMs();
            }
        }
    }

    long ms(int step) {
        return parameters.fromMs() + step * parameters.stepMs();
    }

    int steps() {
        return slotsLeft.length;
    }

    /** Number of steps that a request takes. */
    int stepCount(Request request) {
        long totalMs = parameters.drainMs() + request.workMs() + parameters.returnMs();
        return (int) ((totalMs + parameters.stepMs() - 1) / parameters.stepMs());
    }

    /** The first step at which a request may begin, by its earliest time and its notice. */
    int firstStep(Request request) {
        long from = Math.max(request.earliestMs(), parameters.fromMs() + request.noticeMs());
        return (int) Math.max(0, (from - parameters.fromMs() + parameters.stepMs() - 1) / parameters.stepMs());
    }

    /** The last step at which a request may begin. */
    int lastStep(Request request) {
        return (int) Math.min(slotsLeft.length, (request.latestMs() - parameters.fromMs()) / parameters.stepMs())
                - stepCount(request);
    }

    Map<String, Window> windows() {
        return windows;
    }

    void add(Window window) {
        windows.put(window.request().name(), window);
        adjust(window, -1);
    }

    Window remove(String request) {
        Window window = windows.remove(request);
        adjust(window, 1);
        return window;
    }

    private void adjust(Window window, int sign) {
        int from = (int) Math.max(0, (window.startMs() - parameters.fromMs()) / parameters.stepMs());
        int to = (int) Math.min(
                slotsLeft.length,
                (window.endMs() - parameters.fromMs() + parameters.stepMs() - 1) / parameters.stepMs());
        for (int i = from; i < to; i++) {
            windowCounts[i] -= sign;
            for (String rack : window.request().racks()) {
                int number = fairness.inventory().rackIndex(rack);
                for (int c = 0; c < slotsLeft[i].length; c++) {
                    slotsLeft[i][c] += sign * fairness.inventory().slots(number, c);
                }
            }
        }
    }

    Window windowAt(Request request, int step) {
        return new Window(request, ms(step), ms(step + stepCount(request)), false);
    }

    /** The windows that may conflict with a request by order or exclusion, whatever the time. */
    List<Window> related(Request request) {
        List<Window> related = new ArrayList<>();
        for (Window other : windows.values()) {
            Request one = other.request();
            if (request.after().contains(one.name())
                    || one.after().contains(request.name())
                    || mustNotOverlap(request, one)) {
                related.add(other);
            }
        }
        return related;
    }

    private static boolean mustNotOverlap(Request a, Request b) {
        return a.apart().stream().anyMatch(b.apart()::contains)
                || a.racks().stream().anyMatch(b.racks()::contains);
    }

    /** Why order, exclusion or a freeze rules out a time, as text; null if nothing does. */
    String conflict(Request request, int step) {
        return conflict(request, step, related(request));
    }

    /** The same, given the related windows. */
    String conflict(Request request, int step, List<Window> related) {
        long from = ms(step);
        long to = ms(step + stepCount(request));
        for (int i = step; i < step + stepCount(request); i++) {
            if (frozen[i]) {
                long ms = ms(i);
                return "freeze "
                        + freezes.stream()
                                .filter(one -> one.fromMs() < ms + parameters.stepMs() && ms < one.toMs())
                                .findFirst()
                                .orElseThrow()
                                .name();
            }
        }
        Freeze own = request.freezeDuring(from, to);
        if (own != null) {
            return "freeze " + own.name();
        }
        for (Window other : related) {
            Request one = other.request();
            if (request.after().contains(one.name()) && from < other.endMs()) {
                return "has to come after " + one.name();
            }
            if (one.after().contains(request.name()) && other.startMs() < to) {
                return "has to come before " + one.name();
            }
            if (other.overlaps(from, to) && mustNotOverlap(request, one)) {
                return "not together with " + one.name();
            }
        }
        for (String before : request.after()) {
            if (!windows.containsKey(before)) {
                return "has to come after " + before + ", which has no time";
            }
        }
        return null;
    }

    /**
     * Number of steps at which some tenant loses something, all of it fairly; {@link #UNFAIR} if any step is
     * unfair.
     */
    int cost(Request request, int step) {
        byte[] answers = answersAlone(request);
        int cost = 0;
        double[] previousSlots = null;
        Answer answer = null;
        for (int i = step; i < step + stepCount(request); i++) {
            if (windowCounts[i] == 0) {
                answer = Answer.values()[answers[spans[i]]];
                previousSlots = null;
            } else if (previousSlots == null
                    || spans[i] != spans[i - 1]
                    || !Arrays.equals(slotsLeft[i], previousSlots)) {
                answer = classifyStep(i, minusRacks(slotsLeft[i], request));
                previousSlots = slotsLeft[i];
            }
            if (answer == Answer.UNFAIR) {
                return UNFAIR;
            }
            cost += answer == Answer.FAIR ? 1 : 0;
        }
        return cost;
    }

    /** Answers for the request's racks with nothing else down, for each span. */
    private byte[] answersAlone(Request request) {
        return aloneByRacks.computeIfAbsent(List.copyOf(request.racks()), racks -> {
            byte[] answers = new byte[dues.size()];
            double[] base = totalSlots.clone();
            for (int c = 0; c < base.length; c++) {
                base[c] *= 1 - parameters.reserve();
            }
            double[] remaining = minusRacks(base, request);
            for (int span = 0; span < answers.length; span++) {
                answers[span] = (byte) classify(span, remaining).ordinal();
            }
            return answers;
        });
    }

    private double[] minusRacks(double[] from, Request request) {
        double[] remaining = from.clone();
        for (String rack : request.racks()) {
            int number = fairness.inventory().rackIndex(rack);
            for (int c = 0; c < remaining.length; c++) {
                remaining[c] -= fairness.inventory().slots(number, c);
            }
        }
        for (int c = 0; c < remaining.length; c++) {
            remaining[c] = Math.max(0, remaining[c]);
        }
        return remaining;
    }

    private Answer classifyStep(int step, double[] remaining) {
        return classify(spans[step], remaining);
    }

    private Answer classify(int span, double[] remaining) {
        evaluations++;
        Answer bySums = cuts.classify(span, remaining);
        if (bySums != Answer.UNKNOWN) {
            return bySums;
        }
        List<Object> key = new ArrayList<>(remaining.length + 1);
        key.add(span);
        for (double slots : remaining) {
            key.add(Math.round(slots * 1000));
        }
        Boolean fair = cachedFairness.get(key);
        if (fair == null) {
            // The limit is a count and not a time, so that the same input gives the same plan on every
            // machine.
            boolean withinLimit = flows < parameters.maxFlows();
            flows += withinLimit ? 1 : 0;
            fair = withinLimit && fairness.isFair(dues.get(span), remaining, accounts);
            cachedFairness.put(key, fair);
        }
        return fair ? Answer.FAIR : Answer.UNFAIR;
    }

    /** Why that time is ruled out, as text; empty if it is not. */
    List<String> objections(Request request, int step) {
        List<String> all = new ArrayList<>();
        String conflict = conflict(request, step);
        if (conflict != null) {
            all.add(conflict);
        }
        for (int i = step; i < step + stepCount(request) && all.size() < 8; i++) {
            double[] remaining = minusRacks(slotsLeft[i], request);
            if (classifyStep(i, remaining) == Answer.UNFAIR) {
                List<String> racksDown = new ArrayList<>();
                for (Window other : windows.values()) {
                    if (other.overlaps(ms(i), ms(i + 1))) {
                        racksDown.addAll(other.request().racks());
                    }
                }
                String racks = racksDown.isEmpty()
                        ? ""
                        : ", with " + String.join(" ", racksDown.subList(0, Math.min(5, racksDown.size()))) + " down";
                fairness.evaluate(dues.get(spans[i]), remaining, accounts).violations().stream()
                        .limit(3)
                        .forEach(text -> all.add(text + racks));
                break;
            }
        }
        return all;
    }

    /** The steps at which a request could begin if no other window were placed; freezes count. */
    BitSet feasibleStarts(Request request) {
        return starts.computeIfAbsent(request.name(), name -> {
            byte[] answers = answersAlone(request);
            BitSet feasible = new BitSet();
            int feasibleSteps = 0;
            for (int i = 0; i < slotsLeft.length; i++) {
                boolean excluded = frozen[i] || request.freezeDuring(ms(i), ms(i + 1)) != null;
                feasibleSteps = excluded || answers[spans[i]] == Answer.UNFAIR.ordinal() ? 0 : feasibleSteps + 1;
                if (feasibleSteps >= stepCount(request)) {
                    feasible.set(i + 1 - stepCount(request));
                }
            }
            return feasible;
        });
    }

    /** Slots left at a step beyond all that is due, in any cell. */
    double headroom(int step) {
        return Arrays.stream(slotsLeft[step]).sum() - cuts.totalDue(spans[step]);
    }

    long evaluations() {
        return evaluations;
    }

    int flows() {
        return flows;
    }
}
