package laneflow.lab.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import laneflow.lab.standin.StandInReceiver.Call;

/**
 * Checks the calls that a receiver has recorded against the guarantees for tasks: no two holders work on one task at
 * the same time, and no call is accepted after one with a higher token.
 */
public final class TaskHistory {
    private final List<Call> calls;
    private final List<String> violations = new ArrayList<>();
    private int twoAtOnce;
    private int staleAccepted;
    private int pastCutOff;

    public TaskHistory(List<Call> calls) {
        this.calls = new ArrayList<>(calls);
        this.calls.sort(Comparator.comparingLong(Call::beganNs));
    }

    /** Checks all recorded calls and describes each violation; the list is empty if there are none. */
    public List<String> check() {
        Map<String, Call> latest = new HashMap<>();
        Map<String, Long> highest = new HashMap<>();
        for (Call call : calls) {
            if (!call.accepted()) {
                continue;
            }
            Call previous = latest.get(call.task());
            boolean overlaps =
                    previous != null && !previous.holder().equals(call.holder()) && call.beganNs() < previous.endedNs();
            if (overlaps && (previous.closedByCaller() || call.closedByCaller())) {
                // The receiver went on working after the caller had closed the connection, which no caller can prevent.
                pastCutOff++;
            } else if (overlaps) {
                twoAtOnce++;
                violations.add(
                        call.task() + ": " + call.holder() + " began " + (previous.endedNs() - call.beganNs()) / 1000
                                + " us before " + previous.holder() + " had ended");
            }
            if (previous == null || call.endedNs() > previous.endedNs()) {
                latest.put(call.task(), call);
            }
            long token = highest.getOrDefault(call.task(), 0L);
            if (call.token() < token && call.closedByCaller() && !call.checked()) {
                pastCutOff++;
            } else if (call.token() < token) {
                staleAccepted++;
                violations.add(call.task() + ": token " + call.token() + " of " + call.holder()
                        + " was accepted after token " + token);
            }
            highest.put(call.task(), Math.max(token, call.token()));
        }
        return violations;
    }

    /** Returns the tasks whose last call before that instant came from this process. */
    public Set<String> heldBy(String name, long atNs) {
        Map<String, String> lastHolders = new HashMap<>();
        for (Call call : calls) {
            if (call.beganNs() < atNs) {
                lastHolders.put(call.task(), call.holder());
            }
        }
        Set<String> tasks = new HashSet<>();
        lastHolders.forEach((task, holder) -> {
            if (holder.startsWith(name + "#")) {
                tasks.add(task);
            }
        });
        return tasks;
    }

    /** Returns the nanoseconds from that instant until a process not in the set called for the task, or -1. */
    public long takenUp(String task, Set<String> names, long atNs) {
        for (Call call : calls) {
            String name = call.holder().substring(0, call.holder().indexOf('#'));
            if (call.beganNs() > atNs && call.task().equals(task) && !names.contains(name)) {
                return call.beganNs() - atNs;
            }
        }
        return -1;
    }

    /**
     * Returns the tasks of the most loaded holder between two instants, divided by an even share.
     *
     * @param liveHolders number of processes that share the tasks
     */
    public double fair(int liveHolders, long fromNs, long toNs) {
        Map<String, String> lastHolders = new HashMap<>();
        for (Call call : calls) {
            if (call.beganNs() >= fromNs && call.beganNs() < toNs) {
                lastHolders.put(call.task(), call.holder());
            }
        }
        Map<String, Integer> loads = new HashMap<>();
        lastHolders.values().forEach(holder -> loads.merge(holder, 1, Integer::sum));
        int maxLoad = loads.values().stream().mapToInt(load -> load).max().orElse(0);
        return lastHolders.isEmpty() ? 0 : maxLoad * (double) liveHolders / lastHolders.size();
    }

    public int twoAtOnce() {
        return twoAtOnce;
    }

    public int staleAccepted() {
        return staleAccepted;
    }

    /** Returns the calls whose work went on after the caller had cut them off, into another holder's work. */
    public int pastCutOff() {
        return pastCutOff;
    }

    public int turnedDown() {
        return (int) calls.stream().filter(call -> !call.accepted()).count();
    }
}
