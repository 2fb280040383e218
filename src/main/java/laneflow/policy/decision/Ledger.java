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

    private static final String ONLY_ON = "only_on";
    private static final String NAME = "[A-Za-z0-9_.-]{1,64}";
    private static final int MOST_REASONS = 32;
    private static final int MOST_REASON = 500;

    /** All changes that are known, by name, in the order in which they were proposed. */
    private final Map<String, Change> changes = new LinkedHashMap<>();
    /** Those of them that are undecided, in their order: the first one is open. */
    private final Map<String, Change> pending = new LinkedHashMap<>();

    private long opened;
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
        void restore(JsonObject from);

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
        look();
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
        op.addProperty(ONLY_ON, expectedInForce);
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
                .limit(MOST_REASONS)
                .map(text -> text.length() > MOST_REASON ? text.substring(0, MOST_REASON) : text)
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
        if (name == null || !name.matches(NAME)) {
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
        Change known = changes.get(name);
        String kind = op.get("op").getAsString();
        if (kind.equals("propose")) {
            return propose(name, known, op);
        }
        boolean applies = kind.equals("apply");
        if (known == null || known.state() != State.OPEN) {
            // Asked twice, or by a leader that did not know yet: the first decision stands.
            return known == null ? error("there is no change '" + name + "'") : known.json(false);
        }
        List<String> reasons = new ArrayList<>();
        if (op.has("reasons")) {
            op.getAsJsonArray("reasons").forEach(one -> reasons.add(one.getAsString()));
        }
        String against = applies ? against(known.types()) : null;
        if (against != null) {
            // What a part needs may have come up behind the proposal.
            applies = false;
            reasons.add(against);
        }
        if (applies) {
            inForce = known.number();
            merged = merge(known.types());
            digest = Canonical.digest(merged);
        }
        Change ended = known.ended(
                applies ? State.APPLIED : State.ABANDONED, reasons, op.get("ms").getAsLong());
        changes.put(name, ended);
        pending.remove(name);
        openNext();
        look();
        return ended.json(false);
    }

    private JsonObject propose(String name, Change known, JsonObject op) {
        JsonObject types = op.getAsJsonObject("types");
        String unfit = invalidReason(name, types);
        if (unfit != null) {
            return error(unfit);
        }
        String of = Canonical.digest(types);
        if (known != null) {
            return known.digest().equals(of)
                    ? known.json(false)
                    : error("the name '" + name + "' is that of a change with another content");
        }
        if (pending.size() > MAX_WAITING) {
            return error(MAX_WAITING + " changes wait already");
        }
        if (op.has(ONLY_ON) && (op.get(ONLY_ON).getAsLong() != inForce || !pending.isEmpty())) {
            return error("another change was applied, or is undecided, since '" + name + "' was made");
        }
        String against = against(types);
        if (against != null) {
            return error(against);
        }
        Change added = new Change(
                name,
                0,
                of,
                types,
                op.get("by").getAsString(),
                State.WAITING,
                List.of(),
                op.get("ms").getAsLong(),
                0);
        changes.put(name, added);
        pending.put(name, added);
        forget();
        openNext();
        look();
        return changes.get(name).json(false);
    }

    private String against(JsonObject types) {
        JsonObject then = merge(types);
        for (Part part : parts.values()) {
            String why = part.rejectionReason(types, then);
            if (why != null) {
                return why;
            }
        }
        return null;
    }

    private void forget() {
        var oldest = changes.values().iterator();
        for (int over = changes.size() - MAX_OUTCOMES; over > 0 && oldest.hasNext(); over--) {
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
                Change open = next.opened(++opened);
                pending.put(open.name(), open);
                changes.put(open.name(), open);
            }
        }
    }

    private JsonObject merge(JsonObject types) {
        JsonObject all = new JsonObject();
        merged.entrySet().forEach(type -> all.add(type.getKey(), type.getValue()));
        types.entrySet().forEach(type -> {
            if (type.getValue().getAsJsonArray().isEmpty()) {
                all.remove(type.getKey());
            } else {
                all.add(type.getKey(), type.getValue());
            }
        });
        return all;
    }

    private static JsonObject error(String text) {
        JsonObject answer = new JsonObject();
        answer.addProperty("error", text);
        return answer;
    }

    private void look() {
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
    public Object part(String name) {
        return parts.get(name).view();
    }

    /** The change of that name, or null. */
    public Change change(String name) {
        return changes.get(name);
    }

    /** The last changes, the newest first. */
    public List<Change> last(int most) {
        List<Change> all = new ArrayList<>(changes.values());
        Collections.reverse(all);
        return all.subList(0, Math.min(most, all.size()));
    }

    /** All of it, for a snapshot of the log. */
    public JsonObject snapshot() {
        JsonObject all = new JsonObject();
        JsonArray list = new JsonArray();
        changes.values().forEach(change -> list.add(change.json(true)));
        all.add("changes", list);
        all.addProperty("opened", opened);
        all.addProperty("in_force", inForce);
        all.add("merged", merged);
        JsonObject others = new JsonObject();
        parts.forEach((name, part) -> others.add(name, part.snapshot()));
        all.add("parts", others);
        return all;
    }

    /** Takes a snapshot's state in place of its own. */
    public void restore(JsonObject from) {
        changes.clear();
        pending.clear();
        for (JsonElement one : from.getAsJsonArray("changes")) {
            Change change = Change.of(one.getAsJsonObject());
            changes.put(change.name(), change);
            if (!change.isDecided()) {
                pending.put(change.name(), change);
            }
        }
        opened = from.get("opened").getAsLong();
        inForce = from.get("in_force").getAsLong();
        merged = from.getAsJsonObject("merged");
        digest = Canonical.digest(merged);
        JsonObject others = from.has("parts") ? from.getAsJsonObject("parts") : new JsonObject();
        parts.forEach((name, part) -> part.restore(others.getAsJsonObject(name)));
        look();
    }
}
