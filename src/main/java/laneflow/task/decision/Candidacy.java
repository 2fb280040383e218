package laneflow.task.decision;

import com.google.gson.JsonArray;
import java.util.Set;
import java.util.TreeSet;
import laneflow.config.Canonical;

/**
 * What one process wants to do for the fleet.
 *
 * @param line tasks that go round among those that want them, in order of want
 * @param spread tasks that are placed so that all live processes carry about the same
 */
public record Candidacy(Set<String> line, Set<String> spread) {
    public static final Candidacy NONE = new Candidacy(Set.of(), Set.of());
    private static final int DIGEST = 16;

    public boolean isNothing() {
        return line.isEmpty() && spread.isEmpty();
    }

    /** The same for the same wants, whatever order they were said in. */
    public String digest() {
        JsonArray all = new JsonArray();
        new TreeSet<>(line).forEach(all::add);
        all.add(line.size());
        new TreeSet<>(spread).forEach(all::add);
        return Canonical.digest(all).substring(0, DIGEST);
    }
}
