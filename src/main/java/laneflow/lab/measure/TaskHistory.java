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
 * Holds the calls that a receiver has written down against what is promised of tasks: no two holders at work
 * on one task at once, no call accepted behind one with a higher token, none that its holder counted as done
 * and the receiver has not seen.
 */
public final class TaskHistory {
    private final List<Call> calls;
    private final List<String> found = new ArrayList<>();
    private int twoAtOnce;
    private int staleAccepted;
    private int pastCutOff;

    public TaskHistory(List<Call> calls) {
        this.calls = new ArrayList<>(calls);
        this.calls.sort(Comparator.comparingLong(Call::beganNs));
    }

    /** Looks at all of it; empty where every promise was kept. */
    public List<String> check() {
        Map<String, Call> latest = new HashMap<>();
        Map<String, Long> highest = new HashMap<>();
        for (Call call : calls) {
            if (!call.accepted()) {
                continue;
            }
            Call before = latest.get(call.task());
            boolean overlaps =
                    before != null && !before.holder().equals(call.holder()) && call.beganNs() < before.endedNs();
            if (overlaps && (before.closedByCaller() || call.closedByCaller())) {
                // Its receiver worked for one who had closed the connection: no caller can help that.
                pastCutOff++;
            } else if (overlaps) {
                twoAtOnce++;
                found.add(call.task() + ": " + call.holder() + " began " + (before.endedNs() - call.beganNs()) / 1000
                        + " us before " + before.holder() + " had ended");
            }
            if (before == null || call.endedNs() > before.endedNs()) {
                latest.put(call.task(), call);
            }
            long token = highest.getOrDefault(call.task(), 0L);
            if (call.token() < token && call.closedByCaller() && !call.checked()) {
                pastCutOff++;
            } else if (call.token() < token) {
                staleAccepted++;
                found.add(call.task() + ": token " + call.token() + " of " + call.holder() + " was accepted behind "
                        + token);
            }
            highest.put(call.task(), Math.max(token, call.token()));
        }
        return found;
    }

    /** The tasks that this process was the last to call for before that instant. */
    public Set<String> heldBy(String name, long atNs) {
        Map<String, String> last = new HashMap<>();
        for (Call call : calls) {
            if (call.beganNs() < atNs) {
                last.put(call.task(), call.holder());
            }
        }
        Set<String> held = new HashSet<>();
        last.forEach((task, holder) -> {
            if (holder.startsWith(name + "#")) {
                held.add(task);
            }
        });
        return held;
    }

    /** Nanoseconds from that instant until another than these called for the task, or -1: never. */
    public long takenUp(String task, Set<String> names, long atNs) {
        for (Call call : calls) {
            String name = call.holder().substring(0, call.holder().indexOf('#'));
            if (call.beganNs() > atNs && call.task().equals(task) && !names.contains(name)) {
                return call.beganNs() - atNs;
            }
        }
        return -1;
    }

    /** How many tasks the most loaded of these carried between two instants, over even. */
    public double fair(int live, long fromNs, long toNs) {
        Map<String, String> last = new HashMap<>();
        for (Call call : calls) {
            if (call.beganNs() >= fromNs && call.beganNs() < toNs) {
                last.put(call.task(), call.holder());
            }
        }
        Map<String, Integer> loads = new HashMap<>();
        last.values().forEach(holder -> loads.merge(holder, 1, Integer::sum));
        int most = loads.values().stream().mapToInt(one -> one).max().orElse(0);
        return last.isEmpty() ? 0 : most * (double) live / last.size();
    }

    public int twoAtOnce() {
        return twoAtOnce;
    }

    public int staleAccepted() {
        return staleAccepted;
    }

    /** Calls at whose receiver the work went on behind the caller's cut-off, into another holder's. */
    public int pastCutOff() {
        return pastCutOff;
    }

    public int turnedDown() {
        return (int) calls.stream().filter(call -> !call.accepted()).count();
    }
}
