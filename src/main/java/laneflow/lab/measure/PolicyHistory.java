package laneflow.lab.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks the policy guarantees against the logs of all schedulers of a fleet and the responses of their
 * clients: no scheduler activates a policy that was not applied, and none decides by a policy after any
 * scheduler has activated a later one. All instants are of the machine's monotonic clock.
 */
public final class PolicyHistory {
    /** Permitted overlap of two policies: clock drift (1/1000 of a lease of one second) plus one loop iteration. */
    public static final long MAX_OVERLAP_NS = 6_000_000;

    private static final Pattern ACTIVATION_LOG_LINE = Pattern.compile(
            "policy begins number=(\\d+) before=(\\d+)" + " last_decided_ns=(\\d+) began_ns=(\\d+) fence_us=(\\d+)");

    /**
     * A response that a client received.
     *
     * @param sentNs when the client began to send the request; the scheduler accepted it no earlier
     * @param policy number of the policy that the response's header names
     */
    public record Response(String scheduler, long sentNs, long policy) {}

    /** An activation of a policy, as the scheduler logged it. */
    private record Activation(
            String scheduler, long number, long previous, long lastDecidedNs, long activatedNs, long fenceUs) {}

    private final List<Activation> activations = new ArrayList<>();
    private final List<Response> responses = new ArrayList<>();
    /** First reported state and number of each decided change, by the change's name. */
    private final Map<String, String> outcomes = new HashMap<>();

    private final Map<Long, Boolean> applied = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private int contradictions;
    private int notApplied;
    private int overlaps;

    /** Adds the activations from a scheduler's log. */
    public void addLog(String scheduler, String text) {
        Matcher matcher = ACTIVATION_LOG_LINE.matcher(text);
        while (matcher.find()) {
            activations.add(new Activation(
                    scheduler,
                    Long.parseLong(matcher.group(1)),
                    Long.parseLong(matcher.group(2)),
                    Long.parseLong(matcher.group(3)),
                    Long.parseLong(matcher.group(4)),
                    Long.parseLong(matcher.group(5))));
        }
    }

    public void addResponse(Response response) {
        responses.add(response);
    }

    /** Adds a change's state as reported by a scheduler; ignored while the change is undecided. */
    public void addOutcome(String name, long number, String state) {
        if (!state.equals("applied") && !state.equals("abandoned")) {
            return;
        }
        String previous = outcomes.putIfAbsent(name, state + " " + number);
        if (previous != null && !previous.equals(state + " " + number)) {
            contradictions++;
            violations.add("change " + name + " was reported as " + previous + " and as " + state + " " + number);
        }
        applied.put(number, state.equals("applied"));
    }

    /** Returns all violations; empty if every guarantee was kept. */
    public List<String> check() {
        TreeMap<Long, Long> firstActivations = new TreeMap<>();
        for (Activation activation : activations) {
            firstActivations.merge(activation.number, activation.activatedNs, Math::min);
            if (activation.number > 0 && !applied.getOrDefault(activation.number, false)) {
                notApplied++;
                violations.add(
                        activation.scheduler + " activated policy " + activation.number + ", which was not applied");
            }
        }
        for (Activation activation : activations) {
            checkOverlap(
                    firstActivations, activation.scheduler, activation.previous, activation.lastDecidedNs, "decided");
        }
        for (Response response : responses) {
            checkOverlap(firstActivations, response.scheduler, response.policy, response.sentNs, "accepted a request");
        }
        return violations;
    }

    private void checkOverlap(
            TreeMap<Long, Long> firstActivations, String scheduler, long policyInUse, long lastUseNs, String action) {
        for (Map.Entry<Long, Long> laterPolicy :
                firstActivations.tailMap(policyInUse, false).entrySet()) {
            if (lastUseNs > laterPolicy.getValue() + MAX_OVERLAP_NS) {
                overlaps++;
                violations.add(scheduler + " " + action + " under policy " + policyInUse + ", "
                        + (lastUseNs - laterPolicy.getValue()) / 1000 + " us after the first activation of policy "
                        + laterPolicy.getKey());
                return;
            }
        }
    }

    /** When the scheduler first activated the policy, or -1. */
    public long firstActivationNs(String scheduler, long number) {
        return activations.stream()
                .filter(activation -> activation.scheduler.equals(scheduler) && activation.number == number)
                .mapToLong(Activation::activatedNs)
                .min()
                .orElse(-1);
    }

    /** The longest time for which a scheduler decided by neither policy while it changed from one to the next. */
    public long longestFenceUs() {
        return activations.stream().mapToLong(Activation::fenceUs).max().orElse(0);
    }

    /** Changes that were reported with two different outcomes. */
    public int contradictions() {
        return contradictions;
    }

    /** Activations of a policy that was not applied. */
    public int notApplied() {
        return notApplied;
    }

    /** Uses of a policy after the first activation of a later one. */
    public int overlaps() {
        return overlaps;
    }
}
