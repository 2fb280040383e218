package laneflow.policy;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import laneflow.policy.decision.Grant;
import laneflow.policy.decision.Renewal;

/** Conversion of renewals and grants to and from the messages of the fleet link. */
final class PolicyMessages {
    private PolicyMessages() {}

    static JsonObject renewal(Renewal renewal) {
        JsonObject message = new JsonObject();
        message.addProperty("t", "renew");
        message.addProperty("term", renewal.grantTerm());
        message.addProperty("seq", renewal.grantSeq());
        message.addProperty("begun", renewal.activePolicy());
        JsonArray ready = new JsonArray();
        renewal.ready().forEach(ready::add);
        message.add("ready", ready);
        message.addProperty("refused", renewal.refused());
        JsonArray reasons = new JsonArray();
        renewal.reasons().forEach(reasons::add);
        message.add("reasons", reasons);
        message.addProperty("round_trip", renewal.roundTrip());
        return message;
    }

    static Renewal renewal(JsonObject from) {
        Set<Long> ready = new HashSet<>();
        from.getAsJsonArray("ready").forEach(element -> ready.add(element.getAsLong()));
        List<String> reasons = new ArrayList<>();
        from.getAsJsonArray("reasons").forEach(element -> reasons.add(element.getAsString()));
        return new Renewal(
                from.get("term").getAsInt(),
                from.get("seq").getAsLong(),
                from.get("begun").getAsLong(),
                ready,
                from.get("refused").getAsLong(),
                reasons,
                from.get("round_trip").getAsLong());
    }

    /**
     * @param processId the process that it is for
     * @param renewalSentAt when that process sent the renewal, by its own clock, or -1 if the grant is
     * unsolicited
     * @param voters the names of the current voters
     */
    static JsonObject grant(Grant grant, String processId, String leader, long renewalSentAt, JsonArray voters) {
        JsonObject message = new JsonObject();
        message.addProperty("t", "grant");
        message.addProperty("for", processId);
        message.addProperty("leader", leader);
        message.addProperty("at", renewalSentAt);
        message.addProperty("term", grant.term());
        message.addProperty("seq", grant.seq());
        message.addProperty("now", grant.leaderNow());
        message.addProperty("number", grant.number());
        message.addProperty("from", grant.from());
        message.addProperty("until", grant.until());
        message.addProperty("open", grant.open());
        message.add("voters", voters);
        return message;
    }

    static Grant grant(JsonObject from) {
        return new Grant(
                from.get("term").getAsInt(),
                from.get("seq").getAsLong(),
                from.get("now").getAsLong(),
                from.get("number").getAsLong(),
                from.get("from").getAsLong(),
                from.get("until").getAsLong(),
                from.get("open").getAsLong());
    }
}
