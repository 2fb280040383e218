package laneflow.maintenance.decision;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Why a request has no time, in words, and by which change it would have one. */
final class Reasons {
    private final Timeline line;

    Reasons(Timeline line) {
        this.line = line;
    }

    /** What stands against a request at a few of its times, and each reason at how many of them. */
    List<String> whyNot(Request request) {
        int first = line.first(request);
        int last = line.last(request);
        List<String> all = new ArrayList<>();
        if (last < first) {
            all.add("no whole window lies between its earliest beginning, its notice and its end");
            change(request, all);
            return all;
        }
        Map<String, Integer> counts = new LinkedHashMap<>();
        int looked = 0;
        for (int step = first; step <= last; step += Math.max(1, (last - first) / 12)) {
            looked++;
            line.against(request, step).forEach(text -> counts.merge(text, 1, Integer::sum));
        }
        int of = looked;
        counts.entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
                .limit(6)
                .forEach(
                        entry -> all.add(entry.getKey() + " (" + entry.getValue() + " of " + of + " times looked at)"));
        change(request, all);
        return all;
    }

    /** The smallest change by which it would have a time: a later end, or fewer racks at once. */
    private void change(Request request, List<String> into) {
        int later = search(request, Math.max(line.first(request), line.last(request) + 1), Integer.MAX_VALUE);
        if (later >= 0) {
            into.add("would have a time if it might end by "
                    + Instant.ofEpochMilli(line.at(request, later).endMs()));
        }
        for (int racks = request.racks().size() - 1; racks > 0; racks--) {
            Request less = new Request(
                    request.name(),
                    request.owner(),
                    request.racks().subList(0, racks),
                    request.workMs(),
                    request.earliestMs(),
                    request.latestMs(),
                    request.noticeMs(),
                    request.abortMs(),
                    request.apart(),
                    request.after(),
                    request.freezes());
            int at = search(less, line.first(less), line.last(less));
            if (at >= 0) {
                into.add("would have a time with only " + String.join(" ", less.racks()) + ", at "
                        + Instant.ofEpochMilli(line.ms(at)));
                return;
            }
        }
    }

    private int search(Request request, int from, int to) {
        for (int step = from; step <= Math.min(to, line.steps() - line.length(request)); step++) {
            if (line.forbids(request, step) == null && line.cost(request, step) >= 0) {
                return step;
            }
        }
        return -1;
    }
}
