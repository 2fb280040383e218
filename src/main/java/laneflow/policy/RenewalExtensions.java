package laneflow.policy;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import laneflow.policy.decision.Ledger;

/** All renewal extensions together; each has a field of its own in the messages. */
final class RenewalExtensions {
    /** The first extension keeps the field name that earlier builds know it by. */
    private static final String FIRST_FIELD = "rider";

    private final List<RenewalExtension> extensions;

    RenewalExtensions(List<RenewalExtension> extensions) {
        this.extensions = List.copyOf(extensions);
    }

    private String field(RenewalExtension extension) {
        return extension == extensions.get(0) ? FIRST_FIELD : FIRST_FIELD + "-" + extension.ledgerPart();
    }

    void start(RenewalExtension.Context context) {
        extensions.forEach(extension -> extension.start(context));
    }

    // ---- at a scheduler ----

    void addRenewalData(JsonObject renewal) {
        for (RenewalExtension extension : extensions) {
            add(renewal, extension, extension.renewalData());
        }
    }

    void onGrant(JsonObject grant, long sentAt, long receivedAt) {
        for (RenewalExtension extension : extensions) {
            if (grant.has(field(extension))) {
                extension.onGrant(grant.get(field(extension)), sentAt, receivedAt);
            }
        }
    }

    // ---- at the leader ----

    void onElected(int term) {
        extensions.forEach(extension -> extension.onElected(term));
    }

    void onLeadershipLost() {
        extensions.forEach(RenewalExtension::onLeadershipLost);
    }

    /** Each extension's part of the ledger, by the part's name. */
    Map<String, Object> partViews(Ledger ledger) {
        Map<String, Object> parts = new HashMap<>();
        extensions.forEach(extension -> parts.put(extension.ledgerPart(), ledger.partView(extension.ledgerPart())));
        return parts;
    }

    void onConfirmed(long submittedAt, Map<String, Object> parts) {
        extensions.forEach(extension -> extension.onConfirmed(submittedAt, parts.get(extension.ledgerPart())));
    }

    void onRenewal(String processId, JsonObject renewal) {
        for (RenewalExtension extension : extensions) {
            if (renewal.has(field(extension))) {
                extension.onRenewal(processId, renewal.get(field(extension)));
            }
        }
    }

    void addGrantData(JsonObject grant, String processId, boolean unsolicited) {
        for (RenewalExtension extension : extensions) {
            add(grant, extension, extension.grantData(processId, unsolicited));
        }
    }

    private void add(JsonObject message, RenewalExtension extension, JsonElement data) {
        if (data != null) {
            message.add(field(extension), data);
        }
    }

    void onSchedulerLeft(String processId) {
        extensions.forEach(extension -> extension.onSchedulerLeft(processId));
    }

    /** Handles this process's own renewal and its answer without sending a message. */
    void renewLocally(String processId, long renewalSentAt, LongSupplier clock) {
        for (RenewalExtension extension : extensions) {
            JsonElement renewalData = extension.renewalData();
            if (renewalData != null) {
                extension.onRenewal(processId, renewalData);
            }
            JsonElement grantData = extension.grantData(processId, false);
            if (grantData != null) {
                extension.onGrant(grantData, renewalSentAt, clock.getAsLong());
            }
        }
    }
}
