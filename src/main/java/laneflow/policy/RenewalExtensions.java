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
        return one == all.get(0) ? FIRST : FIRST + "-" + one.ledgerPart();
    }

    void ride(RenewalExtension.Context by) {
        all.forEach(one -> one.start(by));
    }

    // ---- at a scheduler ----

    void say(JsonObject renewal) {
        for (RenewalExtension one : all) {
            add(renewal, one, one.renewalData());
        }
    }

    void told(JsonObject grant, long sentAt, long heardAt) {
        for (RenewalExtension one : all) {
            if (grant.has(field(one))) {
                one.onGrant(grant.get(field(one)), sentAt, heardAt);
            }
        }
    }

    // ---- at the leader ----

    void leads(int term) {
        all.forEach(one -> one.onElected(term));
    }

    void leadsNoMore() {
        all.forEach(RenewalExtension::onLeadershipLost);
    }

    /** What stands in the ledger for each, by its part's name. */
    Map<String, Object> parts(Ledger ledger) {
        Map<String, Object> parts = new HashMap<>();
        all.forEach(one -> parts.put(one.ledgerPart(), ledger.partView(one.ledgerPart())));
        return parts;
    }

    void confirmed(long submittedAt, Map<String, Object> parts) {
        all.forEach(one -> one.onConfirmed(submittedAt, parts.get(one.ledgerPart())));
    }

    void heard(String who, JsonObject renewal) {
        for (RenewalExtension one : all) {
            if (renewal.has(field(one))) {
                one.onRenewal(who, renewal.get(field(one)));
            }
        }
    }

    void word(JsonObject grant, String who, boolean unasked) {
        for (RenewalExtension one : all) {
            add(grant, one, one.grantData(who, unasked));
        }
    }

    private void add(JsonObject to, RenewalExtension one, JsonElement what) {
        if (what != null) {
            to.add(field(one), what);
        }
    }

    void left(String who) {
        all.forEach(one -> one.onSchedulerLeft(who));
    }

    /** This process's own renewal, asked at that instant, and the answer to it: no message is needed. */
    void ride(String who, long asked, LongSupplier clock) {
        for (RenewalExtension one : all) {
            JsonElement said = one.renewalData();
            if (said != null) {
                one.onRenewal(who, said);
            }
            JsonElement word = one.grantData(who, false);
            if (word != null) {
                one.onGrant(word, asked, clock.getAsLong());
            }
        }
    }
}
