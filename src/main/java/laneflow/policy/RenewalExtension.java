package laneflow.policy;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.function.Consumer;

/**
 * What rides on renewals and grants, and on the voters' log, beside policy: no message and no question to a
 * majority is spent on it alone. All on the loop's thread.
 */
public interface RenewalExtension {
    /** What policy does for it. */
    interface Context {
        /** This process's clock for leases, read now; on any thread. */
        long now();

        /** At a leader: puts an operation into the log; the answer is null where it is not known to be in. */
        void replicate(JsonObject operation, Consumer<JsonObject> then);

        /** True if this process leads the voters, as far as it knows. */
        boolean isLeader();

        /** At a leader: a part of the ledger as a majority holds it now; null: it is not known. */
        void read(String part, Consumer<Object> then);

        /** At a leader: that process is told how things stand, unasked. */
        void sendGrant(String processId);

        /** Something has changed: the next renewal goes out at once. */
        void renewNow();

        /** The voter that leads as far as is known, or empty. */
        String leader();

        /** Microseconds for which a leader's word lasts. */
        long leaseMicros();
    }

    /** Its part of the ledger. */
    String ledgerPart();

    /** It can begin. */
    void start(Context context);

    // ---- at a scheduler ----

    /** What goes with the next renewal; null: nothing. */
    JsonElement renewalData();

    /** The leader's word; it answers what was sent at that instant, or nothing: negative. */
    void onGrant(JsonElement grantData, long sentAt, long heardAt);

    // ---- at the leader ----

    /** This process leads in that term, until another term or {@link #onLeadershipLost}. */
    void onElected(int term);

    void onLeadershipLost();

    /** A majority has confirmed it, with its part of the ledger as it stood then. */
    void onConfirmed(long submittedAt, Object part);

    void onRenewal(String processId, JsonElement renewalData);

    /** What a process is told; null: nothing. */
    JsonElement grantData(String processId, boolean unsolicited);

    void onSchedulerLeft(String processId);
}
