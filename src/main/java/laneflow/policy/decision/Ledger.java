package laneflow.policy.decision;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import laneflow.config.Canonical;
import laneflow.policy.decision.Change.State;

/**
 * The state machine that the voters replicate: the same operations in the same order lead to the same state
 * at each voter. Changes are handled in the order in which they were proposed, one open at a time, and each
 * ends applied or abandoned exactly once. The policy in force is kept merged: the newest resources of each
 * type that any applied change named; an empty list returns a type to each scheduler's own file. Not
 * thread-safe; no I/O and no clock: wall-clock times come with the operations.
 */
public final class Ledger {
    /** Number of changes whose outcome is kept; the name of an older one can be used again. */
    public static final int MAX_OUTCOMES = 10_000;
    /** Number of changes that may wait behind the open one. */
    public static final int MAX_WAITING = 16;
    /** Longest content of a change, in characters of its JSON. */
    public static final int MAX_CONTENT_CHARS = 256 * 1024;
    /** The field of an operation that names the part it is for; operations without it are on changes. */
    public static final String PART = "part";

    private static final String EXPECTED_IN_FORCE = "only_on";
    private static final String NAME_PATTERN = "[A-Za-z0-9_.-]{1,64}";
    private static final int MAX_REASONS = 32;
    private static final int MAX_REASON_CHARS = 500;

    /** All known changes by name, in the order in which they were proposed. */
    private final Map<String, Change> changes = new LinkedHashMap<>();
    /** The undecided ones in the same order; the first is open. */
    private final Map<String, Change> pending = new LinkedHashMap<>();

    private long lastNumber;
    private long inForce;
    private JsonObject merged = new JsonObject();
    private String digest = Canonical.digest(merged);
    private View view;

    /**
     * An immutable copy of the state.
     *
     * @param inForce the number of the last change applied; 0 means each scheduler's own file
     * @param merged the resources of each type that applied changes named
     * @param digest digest of {@code merged}
     * @param open the change to be decided, or null
     * @param openMerged the merged policy if the open change is applied, or null
     * @param waiting the names of the changes that wait behind the open one
     */
    public record View(
            long inForce, JsonObject merged, String digest, Change open, JsonObject openMerged, List<String> waiting) {}

    /**
     * A further state machine replicated together with the changes. It must be the same at all voters,
     * whatever their configuration files say.
     */
    public interface Part {
        /** Applies an operation; returns its result, or an object with {@code error}. */
        JsonObject run(JsonObject operation);

        /** An immutable copy of the state. */
        Object view();

        JsonObject snapshot();

        /** Replaces the state by that of a snapshot; null if a build without this part wrote it. */
        void restore(JsonObject snapshot);

        /** Called with the new state of the changes, also after a snapshot is restored. */
        default void onPolicyChanged(View view) {}

        /**
         * Why a change must not come into force, or null. Called when the change is proposed and again when
         * it is to be applied.
         *
         * @param types the types that it names
         * @param merged the whole policy that would be in force
         */
        default String rejectionReason(JsonObject types, JsonObject merged) {
            return null;
        }
    }

    private final Map<String, Part> parts;

    public Ledger() {
        this(Map.of());
    }

    /** @param parts further state machines by name */
    public Ledger(Map<String, Part> parts) {
        // Sorted, so that every voter reports the same part's objection to a change.
        this.parts = new TreeMap<>(parts);
        updateView();
    }

    // ---- operations as written to the log ----

    /** Proposes a change. */
    public static JsonObject propose(String name, JsonObject types, String proposer, long nowMs) {
        JsonObject op = op("propose", name, nowMs);
        op.add("types", types);
        op.addProperty("by", proposer);
        return op;
    }

    /**
     * The same, accepted only if {@code expectedInForce} is the last change applied and none is undecided, so
     * that the proposer knows what the change replaces.
     */
    public static JsonObject propose(String name, JsonObject types, String proposer, long nowMs, long expectedInForce) {
        JsonObject op = propose(name, types, proposer, nowMs);
        op.addProperty(EXPECTED_IN_FORCE, expectedInForce);
        return op;
    }

    /** Applies the open change. */
    public static JsonObject apply(String name, long nowMs) {
        return op("apply", name, nowMs);
    }

    /** Abandons the open change for these reasons. */
    public static JsonObject abandon(String name, List<String> reasons, long nowMs) {
        JsonObject op = op("abandon", name, nowMs);
        JsonArray texts = new JsonArray();
        reasons.stream()
                .limit(MAX_REASONS)
                .map(text -> text.length() > MAX_REASON_CHARS ? text.substring(0, MAX_REASON_CHARS) : text)
                .forEach(texts::add);
        op.add("reasons", texts);
        return op;
    }

    private static JsonObject op(String kind, String name, long nowMs) {
        JsonObject op = new JsonObject();
        op.addProperty("op", kind);
        op.addProperty("name", name);
        op.addProperty("ms", nowMs);
        return op;
    }

    /** Why such a change can't be proposed, whatever the state; null if it can. */
    public static String invalidReason(String name, JsonObject types) {
        if (name == null || !name.matches(NAME_PATTERN)) {
            return "name: must consist of 1 to 64 letters, digits, '_', '.' and '-'";
        }
        if (types == null || types.size() == 0) {
            return "types: must name at least one type";
        }
        for (Map.Entry<String, JsonElement> type : types.entrySet()) {
            if (!type.getValue().isJsonArray()) {
                return "types." + type.getKey() + ": must be a list of resources";
            }
        }
        int length = types.toString().length();
        return length <= MAX_CONTENT_CHARS
                ? null
                : "types: " + length + " characters, the limit is " + MAX_CONTENT_CHARS;
    }

    /**
     * Applies an operation of the log. Returns the change as it then is, or an object with {@code error} if
     * nothing was changed.
     */
    public JsonObject run(JsonObject op) {
        if (op.has(PART)) {
            Part part = parts.get(op.get(PART).getAsString());
            return part == null ? error("this build has no ledger part " + op.get(PART)) : part.run(op);
        }
        String name = op.get("name").getAsString();
        Change change = changes.get(name);
        String kind = op.get("op").getAsString();
        if (kind.equals("propose")) {
            return propose(name, change, op);
        }
        boolean applies = kind.equals("apply");
        if (change == null || change.state() != State.OPEN) {
            // A repeated request, or one of a leader with an old state: the first decision stands.
            return change == null ? error("change '" + name + "' does not exist") : change.toJson(false);
        }
        List<String> reasons = new ArrayList<>();
        if (op.has("reasons")) {
            op.getAsJsonArray("reasons").forEach(reason -> reasons.add(reason.getAsString()));
        }
        String rejection = applies ? rejectionReason(change.types()) : null;
        if (rejection != null) {
            // A part's objection may have arisen since the proposal.
            applies = false;
            reasons.add(rejection);
        }
        if (applies) {
            inForce = change.number();
            merged = merge(change.types());
            digest = Canonical.digest(merged);
        }
        Change ended = change.ended(
                applies ? State.APPLIED : State.ABANDONED, reasons, op.get("ms").getAsLong());
        changes.put(name, ended);
        pending.remove(name);
        openNext();
        updateView();
        return ended.toJson(false);
    }

    private JsonObject propose(String name, Change existing, JsonObject op) {
        JsonObject types = op.getAsJsonObject("types");
        String invalid = invalidReason(name, types);
        if (invalid != null) {
            return error(invalid);
        }
        String proposedDigest = Canonical.digest(types);
        if (existing != null) {
            return existing.digest().equals(proposedDigest)
                    ? existing.toJson(false)
                    : error("change '" + name + "' already exists with different content");
        }
        if (pending.size() > MAX_WAITING) {
            return error(MAX_WAITING + " changes are already waiting");
        }
        if (op.has(EXPECTED_IN_FORCE) && (op.get(EXPECTED_IN_FORCE).getAsLong() != inForce || !pending.isEmpty())) {
            return error("another change was applied or is undecided since '" + name + "' was prepared");
        }
        String rejection = rejectionReason(types);
        if (rejection != null) {
            return error(rejection);
        }
        Change added = new Change(
                name,
                0,
                proposedDigest,
                types,
                op.get("by").getAsString(),
                State.WAITING,
                List.of(),
                op.get("ms").getAsLong(),
                0);
        changes.put(name, added);
        pending.put(name, added);
        dropOldOutcomes();
        openNext();
        updateView();
        return changes.get(name).toJson(false);
    }

    private String rejectionReason(JsonObject types) {
        JsonObject mergedAfter = merge(types);
        for (Part part : parts.values()) {
            String reason = part.rejectionReason(types, mergedAfter);
            if (reason != null) {
                return reason;
            }
        }
        return null;
    }

    private void dropOldOutcomes() {
        var oldest = changes.values().iterator();
        for (int excess = changes.size() - MAX_OUTCOMES; excess > 0 && oldest.hasNext(); excess--) {
            if (!oldest.next().isDecided()) {
                return;
            }
            oldest.remove();
        }
    }

    private void openNext() {
        if (!pending.isEmpty()) {
            Change next = pending.values().iterator().next();
            if (next.state() == State.WAITING) {
                Change open = next.opened(++lastNumber);
                pending.put(open.name(), open);
                changes.put(open.name(), open);
            }
        }
    }

    private JsonObject merge(JsonObject types) {
        JsonObject result = new JsonObject();
        merged.entrySet().forEach(type -> result.add(type.getKey(), type.getValue()));
        types.entrySet().forEach(type -> {
            if (type.getValue().getAsJsonArray().isEmpty()) {
                result.remove(type.getKey());
            } else {
                result.add(type.getKey(), type.getValue());
            }
        });
        return result;
    }

    private static JsonObject error(String message) {
        JsonObject answer = new JsonObject();
        answer.addProperty("error", message);
        return answer;
    }

    private void updateView() {
        List<String> waiting = new ArrayList<>(pending.keySet());
        Change open = waiting.isEmpty() ? null : pending.get(waiting.remove(0));
        view = new View(inForce, merged, digest, open, open == null ? null : merge(open.types()), List.copyOf(waiting));
        parts.values().forEach(part -> part.onPolicyChanged(view));
    }

    // ---- reading ----

    public View view() {
        return view;
    }

    /** The state of the part of that name, which must exist. */
    public Object partView(String name) {
        return parts.get(name).view();
    }

    /** The change of that name, or null. */
    public Change change(String name) {
        return changes.get(name);
    }

    /** The most recent changes, newest first. */
    public List<Change> recent(int limit) {
        List<Change> recent = new ArrayList<>(changes.values());
        Collections.reverse(recent);
        return recent.subList(0, Math.min(limit, recent.size()));
    }

    /** The whole state, for a snapshot of the log. */
    public JsonObject snapshot() {
        JsonObject snapshot = new JsonObject();
        JsonArray list = new JsonArray();
        changes.values().forEach(change -> list.add(change.toJson(true)));
        snapshot.add("changes", list);
        snapshot.addProperty("opened", lastNumber);
        snapshot.addProperty("in_force", inForce);
        snapshot.add("merged", merged);
        JsonObject partSnapshots = new JsonObject();
        parts.forEach((name, part) -> partSnapshots.add(name, part.snapshot()));
        snapshot.add("parts", partSnapshots);
        return snapshot;
    }

    /** Replaces the state by that of a snapshot. */
    public void restore(JsonObject snapshot) {
        changes.clear();
        pending.clear();
        for (JsonElement element : snapshot.getAsJsonArray("changes")) {
            Change change = Change.fromJson(element.getAsJsonObject());
            changes.put(change.name(), change);
            if (!change.isDecided()) {
                pending.put(change.name(), change);
            }
        }
        lastNumber = snapshot.get("opened").getAsLong();
        inForce = snapshot.get("in_force").getAsLong();
        merged = snapshot.getAsJsonObject("merged");
        digest = Canonical.digest(merged);
        JsonObject partSnapshots = snapshot.has("parts") ? snapshot.getAsJsonObject("parts") : new JsonObject();
        parts.forEach((name, part) -> part.restore(partSnapshots.getAsJsonObject(name)));
        updateView();
    }
}
