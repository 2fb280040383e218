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
 * What the voters agree on, as a state machine: the same operations in the same order lead to the same
 * state at each of them. Changes are taken in the order in which they were proposed, one open at a time;
 * each ends applied or abandoned, once. What is in force is kept merged: the newest resources of each type
 * that any applied change named; an empty list gives a type back to each scheduler's own file. Not
 * thread-safe; no I/O, no clock: wall times come with the operations.
 */
public final class Ledger {
    /** Outcomes kept by name; an older name can be used again. */
    public static final int MAX_OUTCOMES = 10_000;
    /** Changes that may wait behind the open one. */
    public static final int MAX_WAITING = 16;
    /** The longest content of a change, in characters of its JSON. */
    public static final int MAX_CONTENT_CHARS = 256 * 1024;
    /** The field of an operation that names the part that it is for; without it, it is on changes. */
    public static final String PART = "part";

    private static final String EXPECTED_IN_FORCE = "only_on";
    private static final String NAME_PATTERN = "[A-Za-z0-9_.-]{1,64}";
    private static final int MAX_REASONS = 32;
    private static final int MAX_REASON_CHARS = 500;

    /** All changes that are known, by name, in the order in which they were proposed. */
    private final Map<String, Change> changes = new LinkedHashMap<>();
    /** Those of them that are undecided, in their order: the first one is open. */
    private final Map<String, Change> pending = new LinkedHashMap<>();

    private long lastNumber;
    private long inForce;
    private JsonObject merged = new JsonObject();
    private String digest = Canonical.digest(merged);
    private View view;

    /**
     * The state at one moment; never changed.
     *
     * @param inForce the number of the last change applied; 0: each scheduler's own file
     * @param merged the resources of each type that applied changes named
     * @param digest of these
     * @param open the change that is to be decided, or null
     * @param openMerged what will be in force if that is applied, or null
     * @param waiting the names behind it
     */
    public record View(
            long inForce, JsonObject merged, String digest, Change open, JsonObject openMerged, List<String> waiting) {}

    /**
     * More that the voters agree on, beside changes: a state machine of its own. It has to be the same at all
     * voters, whatever their files say.
     */
    public interface Part {
        /** Carries out an operation; the answer says what came of it, or {@code error}. */
        JsonObject run(JsonObject operation);

        /** The state at this moment, as something that never changes. */
        Object view();

        JsonObject snapshot();

        /** Takes a snapshot's state in place of its own; null: one of a build that did not know this part. */
        void restore(JsonObject snapshot);

        /** What holds of the changes from now on; told behind a snapshot's restoring, too. */
        default void onPolicyChanged(View now) {}

        /**
         * Why a change must not come into force, or null. Asked when it is proposed, and again when it is
         * to be applied.
         *
         * @param types those that it names
         * @param merged what would be in force, all of it
         */
        default String rejectionReason(JsonObject types, JsonObject merged) {
            return null;
        }
    }

    private final Map<String, Part> parts;

    public Ledger() {
        this(Map.of());
    }

    /** @param parts by name */
    public Ledger(Map<String, Part> parts) {
        // In one order everywhere: what the first of them has against a change is told.
        this.parts = new TreeMap<>(parts);
        updateView();
    }

    // ---- operations, as they stand in the log ----

    /** A proposal. */
    public static JsonObject propose(String name, JsonObject types, String by, long nowMs) {
        JsonObject op = op("propose", name, nowMs);
        op.add("types", types);
        op.addProperty("by", by);
        return op;
    }

    /**
     * The same, taken only where that change is the last applied and none is undecided: what it replaces is
     * known to whoever proposes it.
     */
    public static JsonObject propose(String name, JsonObject types, String by, long nowMs, long expectedInForce) {
        JsonObject op = propose(name, types, by, nowMs);
        op.addProperty(EXPECTED_IN_FORCE, expectedInForce);
        return op;
    }

    /** The open change is applied. */
    public static JsonObject apply(String name, long nowMs) {
        return op("apply", name, nowMs);
    }

    /** The open change is abandoned, for these reasons. */
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

    /** Why these can't be proposed, whatever the state; null if they can. */
    public static String invalidReason(String name, JsonObject types) {
        if (name == null || !name.matches(NAME_PATTERN)) {
            return "name: a change is named by up to 64 letters, digits, '_', '.' and '-'";
        }
        if (types == null || types.size() == 0) {
            return "types: a change holds at least one type";
        }
        for (Map.Entry<String, JsonElement> type : types.entrySet()) {
            if (!type.getValue().isJsonArray()) {
                return "types." + type.getKey() + ": is no list of resources";
            }
        }
        int length = types.toString().length();
        return length <= MAX_CONTENT_CHARS
                ? null
                : "types: " + length + " characters, the most are " + MAX_CONTENT_CHARS;
    }

    /**
     * Carries out an operation of the log. The answer is the change as it then stands, or {@code error}
     * with the reason why nothing was changed.
     */
    public JsonObject run(JsonObject op) {
        if (op.has(PART)) {
            Part part = parts.get(op.get(PART).getAsString());
            return part == null ? error("this build knows no part " + op.get(PART)) : part.run(op);
        }
        String name = op.get("name").getAsString();
        Change change = changes.get(name);
        String kind = op.get("op").getAsString();
        if (kind.equals("propose")) {
            return propose(name, change, op);
        }
        boolean applies = kind.equals("apply");
        if (change == null || change.state() != State.OPEN) {
            // Asked twice, or by a leader that did not know yet: the first decision stands.
            return change == null ? error("there is no change '" + name + "'") : change.toJson(false);
        }
        List<String> reasons = new ArrayList<>();
        if (op.has("reasons")) {
            op.getAsJsonArray("reasons").forEach(reason -> reasons.add(reason.getAsString()));
        }
        String rejection = applies ? rejectionReason(change.types()) : null;
        if (rejection != null) {
            // What a part needs may have come up behind the proposal.
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
                    : error("the name '" + name + "' is that of a change with another content");
        }
        if (pending.size() > MAX_WAITING) {
            return error(MAX_WAITING + " changes wait already");
        }
        if (op.has(EXPECTED_IN_FORCE) && (op.get(EXPECTED_IN_FORCE).getAsLong() != inForce || !pending.isEmpty())) {
            return error("another change was applied, or is undecided, since '" + name + "' was made");
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

    private static JsonObject error(String text) {
        JsonObject answer = new JsonObject();
        answer.addProperty("error", text);
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

    /** The state of the part of that name; there must be one. */
    public Object partView(String name) {
        return parts.get(name).view();
    }

    /** The change of that name, or null. */
    public Change change(String name) {
        return changes.get(name);
    }

    /** The last changes, the newest first. */
    public List<Change> recent(int limit) {
        List<Change> recent = new ArrayList<>(changes.values());
        Collections.reverse(recent);
        return recent.subList(0, Math.min(limit, recent.size()));
    }

    /** All of it, for a snapshot of the log. */
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

    /** Takes a snapshot's state in place of its own. */
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
