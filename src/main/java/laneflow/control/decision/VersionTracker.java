package laneflow.control.decision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks the versions of one resource type at one scheduler: the running one, the rejected ones with their
 * reasons, and the reply to each message of the control service. The protocol follows xDS (state of the world
 * and incremental): an ACK echoes the version of the response, a NACK echoes the running version and gives
 * the reason, and both carry the response's nonce. No I/O, no clock. The same messages in any order lead to
 * the same version: the greatest that is acceptable and was not rolled back.
 */
public final class VersionTracker {
    /** Rejected versions remembered; the oldest is evicted first and would be checked again if offered. */
    private static final int MAX_REFUSED = 256;

    private Version running = Version.NONE;
    /** The last version that passed its trial; the target of a rollback. */
    private Version lastGoodVersion = Version.NONE;
    /** Versions adopted after the last good one and still on trial. */
    private final List<Version> onTrial = new ArrayList<>();

    private final Map<Version, String> refused = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Version, String> eldest) {
            return size() > MAX_REFUSED;
        }
    };
    private long gaps;

    /** How a message relates to the running version. */
    public enum Kind {
        /** Newer than the running version: to be checked, then passed to {@link #accept} or {@link #refuse}. */
        CHECK,
        /** The running version: acknowledged again without a change. */
        REPEAT,
        /** Older than the running version: rejected, since the service reverts by sending a new number. */
        OLDER,
        /** Rejected before: rejected again for the same reason, without another check. */
        REFUSED,
        /** A delta from a version that is not the running one: the full state is requested. */
        FULL_STATE_NEEDED
    }

    /**
     * The reply to a message, as far as it is known before the contents are checked.
     *
     * @param reason for a NACK; empty otherwise
     */
    public record Reply(Kind kind, String reason) {
        public boolean isAck() {
            return kind == Kind.REPEAT;
        }
    }

    /** Classifies a full state of the type. */
    public Reply classifyFull(Version offered) {
        int order = offered.compareTo(running);
        String refusal = refused.get(offered);
        if (order == 0) {
            return new Reply(Kind.REPEAT, "");
        }
        if (refusal != null) {
            return new Reply(Kind.REFUSED, refusal);
        }
        if (order < 0) {
            String reason = offered.number() == running.number()
                    ? "version " + running + " runs, of the same number"
                    : "version " + running + " runs, which is newer";
            return new Reply(Kind.OLDER, reason);
        }
        return new Reply(Kind.CHECK, "");
    }

    /** Classifies a delta of the type from one version to another. */
    public Reply classifyDelta(Version from, Version to) {
        Reply reply = classifyFull(to);
        if (reply.kind() == Kind.CHECK && !from.equals(running)) {
            return new Reply(Kind.FULL_STATE_NEEDED, "a change from version " + from + ", and " + running + " runs");
        }
        return reply;
    }

    /** Makes a checked version the running one. */
    public void accept(Version offered) {
        if (classifyFull(offered).kind() != Kind.CHECK) {
            throw new IllegalStateException("version " + offered + " is not one to check");
        }
        if (offered.number() > running.number() + 1 && !running.equals(Version.NONE)) {
            // Every version holds the full state, so a skipped one loses nothing; it is only counted.
            gaps++;
        }
        running = offered;
        onTrial.add(offered);
    }

    /** Marks the running version as good after it has passed its trial. */
    public void settle() {
        lastGoodVersion = running;
        onTrial.clear();
    }

    /** Returns whether the running version has yet to pass its trial. */
    public boolean isOnTrial() {
        return !onTrial.isEmpty();
    }

    /** Rejects a checked version; it is not checked again. */
    public void refuse(Version offered, String reason) {
        refused.put(offered, reason);
    }

    /**
     * Rolls back to the last good version and rejects every version on trial. It is unknown which of several
     * caused the fault, and the service can offer the harmless ones again under a new number.
     */
    public Version takeBack(String reason) {
        onTrial.forEach(version -> refused.put(version, reason));
        onTrial.clear();
        running = lastGoodVersion;
        return running;
    }

    /** Sets the initial version, read from the last-good file. */
    public void startAt(Version lastGood) {
        running = lastGood;
        lastGoodVersion = lastGood;
    }

    public Version running() {
        return running;
    }

    /** Number of times that version numbers were skipped. */
    public long gaps() {
        return gaps;
    }

    /** The last rejected version with its reason, or null. */
    public Map.Entry<Version, String> lastRefused() {
        Map.Entry<Version, String> last = null;
        for (Map.Entry<Version, String> entry : refused.entrySet()) {
            last = entry;
        }
        return last;
    }
}
