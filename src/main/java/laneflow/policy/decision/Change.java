package laneflow.policy.decision;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;

/**
 * A policy change as replicated by the voters: any number of resource types, applied or abandoned together,
 * once and for all.
 *
 * @param name chosen by the proposer; proposals with the same name are the same change
 * @param number its position in the order of changes, from 1; 0 while it waits
 * @param digest digest of its content
 * @param types the resources of each type that it names, or null once the content is dropped
 * @param proposer who proposed it
 * @param state its state
 * @param reasons why it was abandoned
 * @param proposedMs when the leader received it: Unix milliseconds of the leader's wall clock, for display
 * only
 * @param endedMs the same for the decision, 0 before it
 */
public record Change(
        String name,
        long number,
        String digest,
        JsonObject types,
        String proposer,
        State state,
        List<String> reasons,
        long proposedMs,
        long endedMs) {
    /** WAITING and OPEN are undecided, the other states are final. */
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
        return new Change(name, openedNumber, digest, types, proposer, State.OPEN, reasons, proposedMs, 0);
    }

    /**
     * Ends the change and drops its content: the ledger keeps the merged policy in force, and nothing reads
     * the content of an abandoned change.
     */
    Change ended(State outcome, List<String> outcomeReasons, long atMs) {
        return new Change(name, number, digest, null, proposer, outcome, List.copyOf(outcomeReasons), proposedMs, atMs);
    }

    /** The form used in reports and snapshots; includes the content if asked for and still there. */
    public JsonObject toJson(boolean includeContent) {
        JsonObject json = new JsonObject();
        json.addProperty("name", name);
        json.addProperty("number", number);
        json.addProperty("state", state.name().toLowerCase(java.util.Locale.ROOT));
        json.addProperty("digest", digest);
        json.addProperty("by", proposer);
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
