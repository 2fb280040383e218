package laneflow.maintenance.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import laneflow.policy.decision.Lease;

/**
 * What the leader of one term knows of who may still have calls at endpoints that the policy in force bans.
 * Whoever has said that it has begun that policy, and that no call of its is out there, never has one again
 * while the policy bans them. Of all others the longest counts: whoever is silent may decide until its lease
 * is over, and may have a call out for the longest deadline behind that; and so may those that only a former
 * leader has heard of. No I/O, no clock of its own; microseconds.
 */
public final class Sending {
    private static final long SLACK = 5_000;

    /**
     * A scheduler's word.
     *
     * @param policy the one that it had begun when it looked
     * @param busy endpoints that this policy bans and to which a call was out
     * @param lost endpoints that it can't reach
     */
    public record Said(long policy, Set<String> busy, Set<String> lost) {}

    private static final class Holder {
        private Said said;
        private long at;
        private long heardAt;
    }

    private final long electedAt;
    private final long lasts;
    private long outlives;
    private final long live;
    private final Map<String, Holder> holders = new TreeMap<>();

    /**
     * @param electedAt an instant behind the election
     * @param lease how long a grant lasts
     * @param longest how long a call may be out
     */
    public Sending(long electedAt, long lease, long longest) {
        this.electedAt = electedAt;
        lasts = (long) (lease * (1 + 2 * Lease.MAX_DRIFT)) + SLACK;
        outlives = lasts + longest;
        live = lease;
    }

    /** Calls may be out for so long now, if that is longer than what was known. */
    public void longest(long now) {
        outlives = Math.max(outlives, lasts + now);
    }

    private Holder holder(String who) {
        return holders.computeIfAbsent(who, name -> new Holder());
    }

    /** A scheduler has said how things stand with its calls. */
    public void heard(long now, String who, Said said) {
        Holder holder = holder(who);
        holder.said = said;
        holder.heardAt = now;
        holder.at = now;
    }

    /** A scheduler was told something, and may have been granted a lease by it. */
    public void told(long now, String who) {
        holder(who).at = now;
        holders.values().removeIf(one -> now > one.at + 2 * outlives);
    }

    /** A scheduler ends in order: all its calls are over, and it has said so. */
    public void left(String who) {
        holders.remove(who);
    }

    /** Who may have a call out at an endpoint that this policy, in force, bans; empty: nobody has. */
    public List<String> sending(long now, long policy, String endpoint) {
        List<String> all = new ArrayList<>();
        if (now < electedAt + outlives) {
            // Those that this leader has heard of need not be all.
            all.add("those that a former leader knew");
        }
        holders.forEach((who, holder) -> {
            boolean ended = holder.said != null
                    && holder.said.policy() == policy
                    && !holder.said.busy().contains(endpoint);
            if (!ended && now < holder.at + outlives) {
                all.add(who);
            }
        });
        return all;
    }

    /** True if all that are live have begun that policy. */
    public boolean hasBegun(long now, long policy) {
        // A leader that has just been elected has not heard of all yet.
        return now > electedAt + live
                && holders.values().stream()
                        .allMatch(holder ->
                                now - holder.at > live || holder.said != null && holder.said.policy() == policy);
    }

    /** Endpoints that at least half of those that are live can't reach. */
    public Set<String> lost(long now) {
        Map<String, Integer> against = new TreeMap<>();
        int voices = 0;
        for (Holder holder : holders.values()) {
            if (holder.said != null && now - holder.heardAt <= live) {
                voices++;
                holder.said.lost().forEach(name -> against.merge(name, 1, Integer::sum));
            }
        }
        int all = voices;
        Set<String> lost = new TreeSet<>();
        against.forEach((name, count) -> {
            if (2 * count >= all) {
                lost.add(name);
            }
        });
        return lost;
    }
}
