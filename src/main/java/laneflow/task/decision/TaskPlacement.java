package laneflow.task.decision;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Placement of tasks by rendezvous hashing (Thaler and Ravishankar, 1998): each task ranks the processes in
 * an order of its own and goes to the first one with room. Room is bounded at 1.3 times the even share, as in
 * consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2018). A task stays where it is as
 * long as its holder is within the bound, so that a process that joins or leaves moves as few tasks as
 * possible.
 */
public final class TaskPlacement {
    /** The largest load of one process, as a multiple of the even share. */
    public static final double MAX_LOAD_FACTOR = 1.3;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_1 = 0xbf58476d1ce4e5b9L;
    private static final long MIX_2 = 0x94d049bb133111ebL;

    private final Map<String, Integer> loads = new HashMap<>();
    private final int maxLoad;

    /** @param live processes that can take tasks
     * @param tasks number of tasks to place on them */
    public TaskPlacement(Collection<String> live, int tasks) {
        live.forEach(process -> loads.put(process, 0));
        double even = live.isEmpty() ? 0 : (double) tasks / live.size();
        maxLoad = Math.max((int) Math.ceil(even), (int) Math.floor(MAX_LOAD_FACTOR * even));
    }

    /** A task's hash for a process. Uses the name without the instance, so that a restart keeps the ranking. */
    static long rank(String task, String process) {
        int separator = process.lastIndexOf('#');
        String name = separator < 0 ? process : process.substring(0, separator);
        long hash = FNV_OFFSET;
        for (byte one : (task + "\n" + name).getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ one) * FNV_PRIME;
        }
        hash = (hash ^ hash >>> 30) * MIX_1;
        hash = (hash ^ hash >>> 27) * MIX_2;
        return hash ^ hash >>> 31;
    }

    /** Counts a task that the process already holds. */
    void addTask(String process) {
        loads.computeIfPresent(process, (name, load) -> load + 1);
    }

    boolean isOverloaded(String process) {
        return loads.getOrDefault(process, 0) > maxLoad;
    }

    /** Discounts a task that is taken from the process. */
    void removeTask(String process) {
        loads.merge(process, -1, Integer::sum);
    }

    boolean hasRoom(Collection<String> candidates) {
        return candidates.stream().anyMatch(process -> loads.getOrDefault(process, Integer.MAX_VALUE) < maxLoad);
    }

    /**
     * Picks the candidate that gets the task and counts the task there: the highest ranked one with room,
     * else the least loaded one, else null.
     */
    String place(String task, Collection<String> candidates) {
        List<String> ranked = new ArrayList<>(candidates);
        ranked.removeIf(process -> !loads.containsKey(process));
        ranked.sort(Comparator.comparingLong((String process) -> rank(task, process))
                .reversed()
                .thenComparing(Comparator.naturalOrder()));
        String best = null;
        for (String process : ranked) {
            if (loads.get(process) < maxLoad) {
                best = process;
                break;
            }
            best = best == null || loads.get(process) < loads.get(best) ? process : best;
        }
        if (best != null) {
            loads.merge(best, 1, Integer::sum);
        }
        return best;
    }
}
