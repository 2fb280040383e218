package laneflow.policy.decision;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;

/**
 * A change of policy as the voters know it: any number of types as one, with one outcome for ever.
 *
 * @param name given by whoever proposes it; the same name is the same change
 * @param number its place in the order of changes, from 1; 0 while it waits for its turn
 * @param digest of its content
 * @param types the resources of each type that it names, or null where its content is no longer kept
 * @param by who proposed it
 * @param state where it stands
 * @param reasons why it was abandoned
 * @param proposedMs wall clock of the leader that took it, Unix milliseconds; for people, nothing rests on
 * it
 * @param endedMs the same of the decision, 0 before it
 */
public record Change(
        String name,
        long number,
        String digest,
        JsonObject types,
        String by,
        State state,
        List<String> reasons,
        long proposedMs,
        long endedMs) {
    /** WAITING and OPEN are undecided; the others are final. */
    public enum State {
        WAITING,
        OPEN,
        APPLIED,
        ABANDONED
    }

    public boolean isDecided() {
        return state == State.APPLIED || state == State.ABANDONED;
    }

    Change opened(long as) {
        return new Change(name, as, digest, types, by, State.OPEN, reasons, proposedMs, 0);
    }

    /** Its content goes: what is in force is kept merged, and nothing asks for what was abandoned. */
    Change ended(State how, List<String> why, long atMs) {
        return new Change(name, number, digest, null, by, how, List.copyOf(why), proposedMs, atMs);
    }

    /** For reports and snapshots; the content only where it is wanted and still there. */
    public JsonObject json(boolean content) {
        JsonObject all = new JsonObject();
        all.addProperty("name", name);
        all.addProperty("number", number);
        all.addProperty("state", state.name().toLowerCase(java.util.Locale.ROOT));
        all.addProperty("digest", digest);
        all.addProperty("by", by);
        all.addProperty("proposed_ms", proposedMs);
        if (isDecided()) {
            all.addProperty("ended_ms", endedMs);
        }
        if (!reasons.isEmpty()) {
            JsonArray texts = new JsonArray();
            reasons.forEach(texts::add);
            all.add("reasons", texts);
        }
        if (content && types != null) {
            all.add("types", types);
        }
        return all;
    }

    static Change of(JsonObject from) {
        List<String> reasons = new ArrayList<>();
        if (from.has("reasons")) {
            for (JsonElement one : from.getAsJsonArray("reasons")) {
                reasons.add(one.getAsString());
            }
        }
        return new Change(
                from.get("name").getAsString(),
                from.get("number").getAsLong(),
                from.get("digest").getAsString(),
                from.has("types") ? from.getAsJsonObject("types") : null,
                from.get("by").getAsString(),
                State.valueOf(from.get("state").getAsString().toUpperCase(java.util.Locale.ROOT)),
                reasons,
                from.get("proposed_ms").getAsLong(),
                from.has("ended_ms") ? from.get("ended_ms").getAsLong() : 0);
    }
}
