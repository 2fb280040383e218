package laneflow.lab.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads what the processes of a fleet have written, all on the machine's one monotonic clock, and holds it
 * against what is promised: nobody begins with a policy that was not applied, and nobody decides by a policy
 * behind the first beginning of a later one anywhere.
 */
public final class PolicyHistory {
    /** What clocks and a turn may make of it: a thousandth of a lease of a second, and a turn of the loop. */
    public static final long BOUND_NS = 6_000_000;

    private static final Pattern BEGINS = Pattern.compile(
            "policy begins number=(\\d+) before=(\\d+)" + " last_decided_ns=(\\d+) began_ns=(\\d+) fence_us=(\\d+)");

    /**
     * An answer that a client has had.
     *
     * @param sentNs when it began to ask: it was taken no sooner
     * @param policy that it came under, by the answer's head
     */
    public record Answer(String scheduler, long sentNs, long policy) {}

    /** A beginning that a process has logged. */
    private record Begin(String scheduler, long number, long before, long lastDecidedNs, long beganNs, long fenceUs) {}

    private final List<Begin> begins = new ArrayList<>();
    private final List<Answer> answers = new ArrayList<>();
    /** Outcomes by name, as told at any time by any voter. */
    private final Map<String, String> outcomes = new HashMap<>();

    private final Map<Long, Boolean> applied = new HashMap<>();
    private final List<String> found = new ArrayList<>();
    private int split;
    private int undecided;
    private int overlaps;

    /** All that a scheduler has logged. */
    public void addLog(String scheduler, String text) {
        Matcher one = BEGINS.matcher(text);
        while (one.find()) {
            begins.add(new Begin(
                    scheduler,
                    Long.parseLong(one.group(1)),
                    Long.parseLong(one.group(2)),
                    Long.parseLong(one.group(3)),
                    Long.parseLong(one.group(4)),
                    Long.parseLong(one.group(5))));
        }
    }

    public void addAnswer(Answer answer) {
        answers.add(answer);
    }

    /** A change as some scheduler has told it; one that is undecided says nothing. */
    public void addOutcome(String name, long number, String state) {
        if (!state.equals("applied") && !state.equals("abandoned")) {
            return;
        }
        String before = outcomes.putIfAbsent(name, state + " " + number);
        if (before != null && !before.equals(state + " " + number)) {
            split++;
            found.add("change " + name + " was told as " + before + " and as " + state + " " + number);
        }
        applied.put(number, state.equals("applied"));
    }

    /** Looks at all of it; empty where every promise was kept. */
    public List<String> check() {
        TreeMap<Long, Long> first = new TreeMap<>();
        for (Begin begin : begins) {
            first.merge(begin.number, begin.beganNs, Math::min);
            if (begin.number > 0 && !applied.getOrDefault(begin.number, false)) {
                undecided++;
                found.add(begin.scheduler + " began with " + begin.number + ", which was not applied");
            }
        }
        for (Begin begin : begins) {
            overlap(first, begin.scheduler, begin.before, begin.lastDecidedNs, "decided");
        }
        for (Answer answer : answers) {
            overlap(first, answer.scheduler, answer.policy, answer.sentNs, "took a request");
        }
        return found;
    }

    private void overlap(TreeMap<Long, Long> first, String scheduler, long by, long atNs, String what) {
        for (Map.Entry<Long, Long> later : first.tailMap(by, false).entrySet()) {
            if (atNs > later.getValue() + BOUND_NS) {
                overlaps++;
                found.add(scheduler + " " + what + " by " + by + " " + (atNs - later.getValue()) / 1000
                        + " us behind the first beginning of " + later.getKey());
                return;
            }
        }
    }

    /** When a scheduler first began with a policy, or -1. */
    public long began(String scheduler, long number) {
        return begins.stream()
                .filter(one -> one.scheduler.equals(scheduler) && one.number == number)
                .mapToLong(Begin::beganNs)
                .min()
                .orElse(-1);
    }

    /** The longest time for which one decided by neither policy while it went from one to the next. */
    public long fenceMostUs() {
        return begins.stream().mapToLong(Begin::fenceUs).max().orElse(0);
    }

    public int split() {
        return split;
    }

    public int undecided() {
        return undecided;
    }

    public int overlaps() {
        return overlaps;
    }
}
