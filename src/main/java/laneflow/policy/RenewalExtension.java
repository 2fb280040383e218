package laneflow.policy;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.function.Consumer;

/**
 * A feature that adds its data to renewals, grants and the voters' log, so that it needs no messages and no
 * majority reads of its own. All methods are called on the loop's thread.
 */
public interface RenewalExtension {
    /** The services that the policy subsystem provides to an extension. */
    interface Context {
        /** This process's clock for leases; callable on any thread. */
        long now();

        /** At the leader: replicates an operation; the answer is null if its fate is unknown. */
        void replicate(JsonObject operation, Consumer<JsonObject> callback);

        /** True if this process is the leader, as far as it knows. */
        boolean isLeader();

        /** At the leader: reads a part of the ledger as a majority holds it now; null if that is unknown. */
        void read(String part, Consumer<Object> callback);

        /** At the leader: sends that process an unsolicited grant. */
        void sendGrant(String processId);

        /** Sends the next renewal at once because something has changed. */
        void renewNow();

        /** Name of the leader, or empty if unknown. */
        String leader();

        /** Duration of a lease in microseconds. */
        long leaseMicros();
    }

    /** The name of its part of the ledger. */
    String ledgerPart();

    /** Starts the extension. */
    void start(Context context);

    // ---- at a scheduler ----

    /** Data to send with the next renewal, or null. */
    JsonElement renewalData();

    /**
     * Data received with a grant. {@code sentAt} is when the renewal that it answers was sent; negative if
     * the grant was unsolicited.
     */
    void onGrant(JsonElement grantData, long sentAt, long receivedAt);

    // ---- at the leader ----

    /** This process is the leader of that term, until another term or {@link #onLeadershipLost}. */
    void onElected(int term);

    void onLeadershipLost();

    /** A majority confirmed the leader; {@code part} is the extension's part of the ledger at that time. */
    void onConfirmed(long submittedAt, Object part);

    void onRenewal(String processId, JsonElement renewalData);

    /** Data to send to a process with a grant, or null. */
    JsonElement grantData(String processId, boolean unsolicited);

    void onSchedulerLeft(String processId);
}
