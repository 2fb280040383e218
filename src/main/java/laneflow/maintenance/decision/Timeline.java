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
 * The time that is planned, in steps, with the windows that stand in it: what is left at each step, and
 * whether one more window would be fair throughout. Not thread-safe.
 */
final class Timeline {
    /** What a time costs: no loss is better than one that is fair. Below 0 where it can't be. */
    static final int UNFAIR = -1;

    private final Planner.Parameters times;
    private final Fairness fairness;
    private final Forecast forecast;
    private final List<double[]> dues;
    private final Cuts cuts;
    private final double[] accounts;
    private final List<Freeze> freezes;
    private final double[] nothing;
    private final double[][] left;
    private final int[] standing;
    private final int[] spans;
    private final boolean[] frozen;
    private final Map<String, Window> windows = new LinkedHashMap<>();
    /** Flows are dear: answers are kept by span and what is left. */
    private final Map<List<Object>, Boolean> known = new HashMap<>();

    private final Map<List<Object>, byte[]> alone = new HashMap<>();
    private final Map<String, BitSet> starts = new HashMap<>();
    private long asked;
    private int flows;

    Timeline(
            Planner.Parameters times,
            Fairness fairness,
            Forecast forecast,
            double[] accounts,
            List<Freeze> freezes,
            List<Integer> lost,
            long lostUntilMs) {
        this.times = times;
        this.fairness = fairness;
        this.forecast = forecast;
        this.accounts = accounts;
        this.freezes = freezes;
        dues = Cuts.dues(fairness, forecast);
        cuts = new Cuts(fairness, dues, accounts);
        nothing = fairness.inventory().totalSlots();
        left = new double[times.steps()][];
        standing = new int[times.steps()];
        spans = new int[times.steps()];
        frozen = new boolean[times.steps()];
        double[] without = fairness.inventory().slotsWithout(lost);
        for (int i = 0; i < left.length; i++) {
            long ms = ms(i);
            boolean amid = ms < lostUntilMs && !lost.isEmpty();
            left[i] = (amid ? without : nothing).clone();
            // Headroom that is not lent out: what may fail amid a window has to have gone beforehand.
            for (int c = 0; c < left[i].length; c++) {
                left[i][c] -= times.reserve() * nothing[c];
            }
            standing[i] = amid ? 1 : 0;
            spans[i] = forecast.at(ms);
            for (Freeze freeze : freezes) {
                frozen[i] |= freeze.fromMs() < ms + times.stepMs() && ms < freeze.toMs();
            }
        }
    }

    long ms(int step) {
        return times.fromMs() + step * times.stepMs();
    }

    int steps() {
        return left.length;
    }

    /** The steps that a request takes. */
    int length(Request request) {
        long whole = times.drainMs() + request.workMs() + times.returnMs();
        return (int) ((whole + times.stepMs() - 1) / times.stepMs());
    }

    /** The first step at which it may begin, by its own words and its notice. */
    int first(Request request) {
        long from = Math.max(request.earliestMs(), times.fromMs() + request.noticeMs());
        return (int) Math.max(0, (from - times.fromMs() + times.stepMs() - 1) / times.stepMs());
    }

    /** The last such step. */
    int last(Request request) {
        return (int) Math.min(left.length, (request.latestMs() - times.fromMs()) / times.stepMs()) - length(request);
    }

    Map<String, Window> windows() {
        return windows;
    }

    void add(Window window) {
        windows.put(window.request().name(), window);
        lay(window, -1);
    }

    Window remove(String request) {
        Window window = windows.remove(request);
        lay(window, 1);
        return window;
    }

    private void lay(Window window, int sign) {
        int from = (int) Math.max(0, (window.startMs() - times.fromMs()) / times.stepMs());
        int to = (int) Math.min(left.length, (window.endMs() - times.fromMs() + times.stepMs() - 1) / times.stepMs());
        for (int i = from; i < to; i++) {
            standing[i] -= sign;
            for (String rack : window.request().racks()) {
                int number = fairness.inventory().rackIndex(rack);
                for (int c = 0; c < left[i].length; c++) {
                    left[i][c] += sign * fairness.inventory().slots(number, c);
                }
            }
        }
    }

    Window at(Request request, int step) {
        return new Window(request, ms(step), ms(step + length(request)), false);
    }

    /** The windows that may be in a request's way by order or company, whatever the time. */
    List<Window> related(Request request) {
        List<Window> related = new ArrayList<>();
        for (Window other : windows.values()) {
            Request one = other.request();
            if (request.after().contains(one.name()) || one.after().contains(request.name()) || isApart(request, one)) {
                related.add(other);
            }
        }
        return related;
    }

    private static boolean isApart(Request a, Request b) {
        return a.apart().stream().anyMatch(b.apart()::contains)
                || a.racks().stream().anyMatch(b.racks()::contains);
    }

    /** Why order or company forbid that time, in words; null if they don't. */
    String forbids(Request request, int step) {
        return forbids(request, step, related(request));
    }

    /** The same among windows that are known to be related. */
    String forbids(Request request, int step, List<Window> related) {
        long from = ms(step);
        long to = ms(step + length(request));
        for (int i = step; i < step + length(request); i++) {
            if (frozen[i]) {
                long ms = ms(i);
                return "freeze "
                        + freezes.stream()
                                .filter(one -> one.fromMs() < ms + times.stepMs() && ms < one.toMs())
                                .findFirst()
                                .orElseThrow()
                                .name();
            }
        }
        Freeze own = request.freeze(from, to);
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
            if (other.meets(from, to) && isApart(request, one)) {
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

    /** The steps of that time at which somebody loses, all fairly; {@link #UNFAIR} if it can't be. */
    int cost(Request request, int step) {
        byte[] by = alone(request);
        int cost = 0;
        double[] before = null;
        Answer answer = null;
        for (int i = step; i < step + length(request); i++) {
            if (standing[i] == 0) {
                answer = Answer.values()[by[spans[i]]];
                before = null;
            } else if (before == null || spans[i] != spans[i - 1] || !Arrays.equals(left[i], before)) {
                answer = answer(i, less(left[i], request));
                before = left[i];
            }
            if (answer == Answer.UNFAIR) {
                return UNFAIR;
            }
            cost += answer == Answer.FAIR ? 1 : 0;
        }
        return cost;
    }

    /** The same racks with nothing else down, for each span. */
    private byte[] alone(Request request) {
        return alone.computeIfAbsent(List.copyOf(request.racks()), racks -> {
            byte[] by = new byte[dues.size()];
            double[] base = nothing.clone();
            for (int c = 0; c < base.length; c++) {
                base[c] *= 1 - times.reserve();
            }
            double[] without = less(base, request);
            for (int span = 0; span < by.length; span++) {
                by[span] = (byte) judge(span, without).ordinal();
            }
            return by;
        });
    }

    private double[] less(double[] from, Request request) {
        double[] less = from.clone();
        for (String rack : request.racks()) {
            int number = fairness.inventory().rackIndex(rack);
            for (int c = 0; c < less.length; c++) {
                less[c] -= fairness.inventory().slots(number, c);
            }
        }
        for (int c = 0; c < less.length; c++) {
            less[c] = Math.max(0, less[c]);
        }
        return less;
    }

    private Answer answer(int step, double[] without) {
        return judge(spans[step], without);
    }

    private Answer judge(int span, double[] without) {
        asked++;
        Answer quick = cuts.ask(span, without);
        if (quick != Answer.UNKNOWN) {
            return quick;
        }
        List<Object> key = new ArrayList<>(without.length + 1);
        key.add(span);
        for (double slots : without) {
            key.add(Math.round(slots * 1000));
        }
        Boolean fair = known.get(key);
        if (fair == null) {
            // The bound is a count and no clock: the same input has the same plan on every machine.
            boolean may = flows < times.mostFlows();
            flows += may ? 1 : 0;
            fair = may && fairness.isFair(dues.get(span), without, accounts);
            known.put(key, fair);
        }
        return fair ? Answer.FAIR : Answer.UNFAIR;
    }

    /** Who stands against that time, in words; empty if nobody does. */
    List<String> against(Request request, int step) {
        List<String> all = new ArrayList<>();
        String forbids = forbids(request, step);
        if (forbids != null) {
            all.add(forbids);
        }
        for (int i = step; i < step + length(request) && all.size() < 8; i++) {
            double[] without = less(left[i], request);
            if (answer(i, without) == Answer.UNFAIR) {
                List<String> with = new ArrayList<>();
                for (Window other : windows.values()) {
                    if (other.meets(ms(i), ms(i + 1))) {
                        with.addAll(other.request().racks());
                    }
                }
                String racks = with.isEmpty()
                        ? ""
                        : ", with " + String.join(" ", with.subList(0, Math.min(5, with.size()))) + " down";
                fairness.evaluate(dues.get(spans[i]), without, accounts).violations().stream()
                        .limit(3)
                        .forEach(text -> all.add(text + racks));
                break;
            }
        }
        return all;
    }

    /** The steps at which it could begin if no other window stood; freezes and what is lost count. */
    BitSet starts(Request request) {
        return starts.computeIfAbsent(request.name(), name -> {
            byte[] by = alone(request);
            BitSet found = new BitSet();
            int run = 0;
            for (int i = 0; i < left.length; i++) {
                boolean not = frozen[i] || request.freeze(ms(i), ms(i + 1)) != null;
                run = not || by[spans[i]] == Answer.UNFAIR.ordinal() ? 0 : run + 1;
                if (run >= length(request)) {
                    found.set(i + 1 - length(request));
                }
            }
            return found;
        });
    }

    /** Slots that are left at a step beyond all that is due, wherever they are. */
    double headroom(int step) {
        return Arrays.stream(left[step]).sum() - cuts.due(spans[step]);
    }

    long asked() {
        return asked;
    }

    int flows() {
        return flows;
    }
}
