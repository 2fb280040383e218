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

    Change opened(long openedNumber) {
        return new Change(name, openedNumber, digest, types, by, State.OPEN, reasons, proposedMs, 0);
    }

    /** Its content goes: what is in force is kept merged, and nothing asks for what was abandoned. */
    Change ended(State outcome, List<String> outcomeReasons, long atMs) {
        return new Change(name, number, digest, null, by, outcome, List.copyOf(outcomeReasons), proposedMs, atMs);
    }

    /** For reports and snapshots; the content only where it is wanted and still there. */
    public JsonObject toJson(boolean includeContent) {
        JsonObject json = new JsonObject();
        json.addProperty("name", name);
        json.addProperty("number", number);
        json.addProperty("state", state.name().toLowerCase(java.util.Locale.ROOT));
        json.addProperty("digest", digest);
        json.addProperty("by", by);
        json.addProperty("proposed_ms", proposedMs);
        if (isDecided()) {
            json.addProperty("ended_ms", endedMs);
        }
        if (!reasons.isEmpty()) {
            JsonArray texts = new JsonArray();
            reasons.forEach(texts::add);
            json.add("reasons", texts);
        }
        if (includeContent && types != null) {
            json.add("types", types);
        }
        return json;
    }

    static Change fromJson(JsonObject json) {
        List<String> reasons = new ArrayList<>();
        if (json.has("reasons")) {
            for (JsonElement reason : json.getAsJsonArray("reasons")) {
                reasons.add(reason.getAsString());
            }
        }
        return new Change(
                json.get("name").getAsString(),
                json.get("number").getAsLong(),
                json.get("digest").getAsString(),
                json.has("types") ? json.getAsJsonObject("types") : null,
                json.get("by").getAsString(),
                State.valueOf(json.get("state").getAsString().toUpperCase(java.util.Locale.ROOT)),
                reasons,
                json.get("proposed_ms").getAsLong(),
                json.has("ended_ms") ? json.get("ended_ms").getAsLong() : 0);
    }
}
