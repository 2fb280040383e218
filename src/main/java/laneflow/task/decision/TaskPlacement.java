package laneflow.task.decision;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Where spread tasks go: by rendezvous hashing (Thaler and Ravishankar, 1998) each task ranks the processes
 * in an order of its own, and goes to the first that has room; room is bounded at 1.3 of even, as consistent
 * hashing with bounded loads does it (Mirrokni, Thorup, Zadimoghaddam, 2018). A task stays where it is for as
 * long as its holder keeps within the bound: who comes or goes moves no more than it must.
 */
public final class TaskPlacement {
    /** The most that one carries, in shares of even. */
    public static final double BOUND = 1.3;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX_1 = 0xbf58476d1ce4e5b9L;
    private static final long MIX_2 = 0x94d049bb133111ebL;

    private final Map<String, Integer> loads = new HashMap<>();
    private final int most;

    /** @param live those that can take tasks
     * @param tasks all that are to be placed on them */
    public TaskPlacement(Collection<String> live, int tasks) {
        live.forEach(who -> loads.put(who, 0));
        double even = live.isEmpty() ? 0 : (double) tasks / live.size();
        most = Math.max((int) Math.ceil(even), (int) Math.floor(BOUND * even));
    }

    /** How high a task ranks a process: by its name, so that its next life ranks as it did. */
    static long rank(String task, String who) {
        int life = who.lastIndexOf('#');
        String name = life < 0 ? who : who.substring(0, life);
        long hash = FNV_OFFSET;
        for (byte one : (task + "\n" + name).getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ one) * FNV_PRIME;
        }
        hash = (hash ^ hash >>> 30) * MIX_1;
        hash = (hash ^ hash >>> 27) * MIX_2;
        return hash ^ hash >>> 31;
    }

    /** A task is there already. */
    void holds(String who) {
        loads.computeIfPresent(who, (name, load) -> load + 1);
    }

    boolean isOver(String who) {
        return loads.getOrDefault(who, 0) > most;
    }

    /** One of its tasks goes. */
    void sheds(String who) {
        loads.merge(who, -1, Integer::sum);
    }

    boolean hasRoom(Collection<String> among) {
        return among.stream().anyMatch(who -> loads.getOrDefault(who, Integer.MAX_VALUE) < most);
    }

    /** The one of these that gets a task: the highest in rank with room, else the least loaded; or null. */
    String place(String task, Collection<String> among) {
        List<String> ranked = new ArrayList<>(among);
        ranked.removeIf(who -> !loads.containsKey(who));
        ranked.sort(Comparator.comparingLong((String who) -> rank(task, who))
                .reversed()
                .thenComparing(Comparator.naturalOrder()));
        String best = null;
        for (String who : ranked) {
            if (loads.get(who) < most) {
                best = who;
                break;
            }
            best = best == null || loads.get(who) < loads.get(best) ? who : best;
        }
        if (best != null) {
            loads.merge(best, 1, Integer::sum);
        }
        return best;
    }
}
