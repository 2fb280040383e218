package laneflow.task.decision;

import com.google.gson.JsonArray;
import java.util.Set;
import java.util.TreeSet;
import laneflow.config.Canonical;

/**
 * The tasks for which one process is a candidate.
 *
 * @param rotating tasks that rotate among their candidates, in the order in which these applied
 * @param placed tasks that are distributed evenly over the live candidates
 */
public record Candidacy(Set<String> rotating, Set<String> placed) {
    public static final Candidacy NONE = new Candidacy(Set.of(), Set.of());
    private static final int DIGEST = 16;

    public boolean isNothing() {
        return rotating.isEmpty() && placed.isEmpty();
    }

    /** Digest of both sets, whatever their iteration order. */
    public String digest() {
        JsonArray all = new JsonArray();
        new TreeSet<>(rotating).forEach(all::add);
        all.add(rotating.size());
        new TreeSet<>(placed).forEach(all::add);
        return Canonical.digest(all).substring(0, DIGEST);
    }
}
