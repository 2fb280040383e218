package laneflow.policy;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import laneflow.policy.decision.Ledger;

/** All that rides on renewals and grants, as one: each has a field of its own in the messages. */
final class RenewalExtensions {
    /** Of the first that rode, by which builds before this one know it. */
    private static final String FIRST = "rider";

    private final List<RenewalExtension> all;

    RenewalExtensions(List<RenewalExtension> all) {
        this.all = List.copyOf(all);
    }

    private String field(RenewalExtension one) {
        return one == all.get(0) ? FIRST : FIRST + "-" + one.part();
    }

    void ride(RenewalExtension.Carriage by) {
        all.forEach(one -> one.ride(by));
    }

    // ---- at a scheduler ----

    void say(JsonObject renewal) {
        for (RenewalExtension one : all) {
            add(renewal, one, one.says());
        }
    }

    void told(JsonObject grant, long sentAt, long heardAt) {
        for (RenewalExtension one : all) {
            if (grant.has(field(one))) {
                one.told(grant.get(field(one)), sentAt, heardAt);
            }
        }
    }

    // ---- at the leader ----

    void leads(int term) {
        all.forEach(one -> one.leads(term));
    }

    void leadsNoMore() {
        all.forEach(RenewalExtension::leadsNoMore);
    }

    /** What stands in the ledger for each, by its part's name. */
    Map<String, Object> parts(Ledger ledger) {
        Map<String, Object> parts = new HashMap<>();
        all.forEach(one -> parts.put(one.part(), ledger.part(one.part())));
        return parts;
    }

    void confirmed(long submittedAt, Map<String, Object> parts) {
        all.forEach(one -> one.confirmed(submittedAt, parts.get(one.part())));
    }

    void heard(String who, JsonObject renewal) {
        for (RenewalExtension one : all) {
            if (renewal.has(field(one))) {
                one.heard(who, renewal.get(field(one)));
            }
        }
    }

    void word(JsonObject grant, String who, boolean unasked) {
        for (RenewalExtension one : all) {
            add(grant, one, one.word(who, unasked));
        }
    }

    private void add(JsonObject to, RenewalExtension one, JsonElement what) {
        if (what != null) {
            to.add(field(one), what);
        }
    }

    void left(String who) {
        all.forEach(one -> one.left(who));
    }

    /** This process's own renewal, asked at that instant, and the answer to it: no message is needed. */
    void ride(String who, long asked, LongSupplier clock) {
        for (RenewalExtension one : all) {
            JsonElement said = one.says();
            if (said != null) {
                one.heard(who, said);
            }
            JsonElement word = one.word(who, false);
            if (word != null) {
                one.told(word, asked, clock.getAsLong());
            }
        }
    }
}
