package laneflow.policy;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import laneflow.policy.decision.Grant;
import laneflow.policy.decision.Renewal;

/** Renewals and grants as they go over the fleet's link. */
final class Words {
    private Words() {}

    static JsonObject renewal(Renewal said) {
        JsonObject all = new JsonObject();
        all.addProperty("t", "renew");
        all.addProperty("term", said.grantTerm());
        all.addProperty("seq", said.grantSeq());
        all.addProperty("begun", said.activePolicy());
        JsonArray ready = new JsonArray();
        said.ready().forEach(ready::add);
        all.add("ready", ready);
        all.addProperty("refused", said.refused());
        JsonArray reasons = new JsonArray();
        said.reasons().forEach(reasons::add);
        all.add("reasons", reasons);
        all.addProperty("round_trip", said.roundTrip());
        return all;
    }

    static Renewal renewal(JsonObject from) {
        Set<Long> ready = new HashSet<>();
        from.getAsJsonArray("ready").forEach(one -> ready.add(one.getAsLong()));
        List<String> reasons = new ArrayList<>();
        from.getAsJsonArray("reasons").forEach(one -> reasons.add(one.getAsString()));
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
     * @param who the process that it is for
     * @param at that process's instant of the renewal that this answers, or -1
     * @param voters the names of those that vote now
     */
    static JsonObject grant(Grant grant, String who, String leader, long at, JsonArray voters) {
        JsonObject all = new JsonObject();
        all.addProperty("t", "grant");
        all.addProperty("for", who);
        all.addProperty("leader", leader);
        all.addProperty("at", at);
        all.addProperty("term", grant.term());
        all.addProperty("seq", grant.seq());
        all.addProperty("now", grant.leaderNow());
        all.addProperty("number", grant.number());
        all.addProperty("from", grant.from());
        all.addProperty("until", grant.until());
        all.addProperty("open", grant.open());
        all.add("voters", voters);
        return all;
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
