package laneflow.maintenance.decision;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Explains why a request has no time, and which change would give it one. */
final class Reasons {
    private final Timeline timeline;

    Reasons(Timeline timeline) {
        this.timeline = timeline;
    }

    /** Samples possible start times of a request and counts each reason that excludes them. */
    List<String> explain(Request request) {
        int first = timeline.firstStep(request);
        int last = timeline.lastStep(request);
        List<String> reasons = new ArrayList<>();
        if (last < first) {
            reasons.add("no whole window lies between its earliest beginning, its notice and its end");
            addSmallestChange(request, reasons);
            return reasons;
        }
        Map<String, Integer> counts = new LinkedHashMap<>();
        int sampled = 0;
        for (int step = first; step <= last; step += Math.max(1, (last - first) / 12)) {
            sampled++;
            timeline.objections(request, step).forEach(text -> counts.merge(text, 1, Integer::sum));
        }
        int total = sampled;
        counts.entrySet().stream()
                .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
                .limit(6)
                .forEach(entry ->
                        reasons.add(entry.getKey() + " (" + entry.getValue() + " of " + total + " times looked at)"));
        addSmallestChange(request, reasons);
        return reasons;
    }

    /** Adds the smallest change that would give the request a time: a later end, or fewer racks at once. */
    private void addSmallestChange(Request request, List<String> into) {
        int later = firstFairStep(
                request, Math.max(timeline.firstStep(request), timeline.lastStep(request) + 1), Integer.MAX_VALUE);
        if (later >= 0) {
            into.add("would have a time if it might end by "
                    + Instant.ofEpochMilli(timeline.windowAt(request, later).endMs()));
        }
        for (int racks = request.racks().size() - 1; racks > 0; racks--) {
            Request fewer = new Request(
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
            int step = firstFairStep(fewer, timeline.firstStep(fewer), timeline.lastStep(fewer));
            if (step >= 0) {
                into.add("would have a time with only " + String.join(" ", fewer.racks()) + ", at "
                        + Instant.ofEpochMilli(timeline.ms(step)));
                return;
            }
        }
    }

    private int firstFairStep(Request request, int from, int to) {
        for (int step = from; step <= Math.min(to, timeline.steps() - timeline.stepCount(request)); step++) {
            if (timeline.conflict(request, step) == null && timeline.cost(request, step) >= 0) {
                return step;
            }
        }
        return -1;
    }
}
