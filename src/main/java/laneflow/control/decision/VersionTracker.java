package laneflow.control.decision;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The versions of one type at one scheduler: which one runs, what was turned down and why, and what each
 * message of the control service is answered. The transport's semantics are xDS's (state of the world and
 * incremental): a response is acknowledged by echoing its version, or turned down by echoing the version
 * that runs, with the reason; both carry the response's nonce. No I/O, no clock: the same messages in any
 * order end at the same version, the greatest that is acceptable and was not taken back.
 */
public final class VersionTracker {
    /** Refusals remembered; the oldest is forgotten first, and its version would be looked at again. */
    private static final int MOST_REFUSED = 256;

    private Version running = Version.NONE;
    /** The last one that has stood its trial: what runs again where a later one has not. */
    private Version good = Version.NONE;
    /** Adopted behind that one, and on trial. */
    private final List<Version> onTrial = new ArrayList<>();

    private final Map<Version, String> refused = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Version, String> eldest) {
            return size() > MOST_REFUSED;
        }
    };
    private long gaps;

    /** What a message is. */
    public enum Kind {
        /** Newer than what runs: to be looked at, then {@link #accept} or {@link #refuse}. */
        LOOK,
        /** What runs already: acknowledged again, nothing changes. */
        REPEAT,
        /** Before what runs: turned down, since going back is the service's to say under a new number. */
        OLDER,
        /** Turned down before: the same answer again, it is not looked at twice. */
        REFUSED,
        /** A change from a version that does not run here: the whole is asked for. */
        WHOLE_WANTED
    }

    /**
     * What a message is answered, as far as that is known before its content is looked at.
     *
     * @param reason for NACKs, else empty
     */
    public record Word(Kind kind, String reason) {
        public boolean isAck() {
            return kind == Kind.REPEAT;
        }
    }

    /** A whole state of the type, under that version. */
    public Word whole(Version offered) {
        int by = offered.compareTo(running);
        String why = refused.get(offered);
        if (by == 0) {
            return new Word(Kind.REPEAT, "");
        }
        if (why != null) {
            return new Word(Kind.REFUSED, why);
        }
        if (by < 0) {
            String what = offered.number() == running.number()
                    ? "version " + running + " runs, of the same number"
                    : "version " + running + " runs, which is newer";
            return new Word(Kind.OLDER, what);
        }
        return new Word(Kind.LOOK, "");
    }

    /** A change of the type from one version to another. */
    public Word change(Version from, Version to) {
        Word word = whole(to);
        if (word.kind() == Kind.LOOK && !from.equals(running)) {
            return new Word(Kind.WHOLE_WANTED, "a change from version " + from + ", and " + running + " runs");
        }
        return word;
    }

    /** What was looked at runs from now on. */
    public void accept(Version offered) {
        if (whole(offered).kind() != Kind.LOOK) {
            throw new IllegalStateException("version " + offered + " was not to be looked at");
        }
        if (offered.number() > running.number() + 1 && !running.equals(Version.NONE)) {
            // Each version is whole, so one that was never seen is not missed; that it happened is counted.
            gaps++;
        }
        running = offered;
        onTrial.add(offered);
    }

    /** What runs has stood its trial. */
    public void settle() {
        good = running;
        onTrial.clear();
    }

    /** True if something runs that has not stood its trial. */
    public boolean isOnTrial() {
        return !onTrial.isEmpty();
    }

    /** What was looked at is turned down, and not looked at again. */
    public void refuse(Version offered, String reason) {
        refused.put(offered, reason);
    }

    /**
     * What is on trial has broken something: the last good one runs again, and none of those adopted since
     * is tried twice. Which of several it was can't be told, and a new number costs the service little.
     */
    public Version takeBack(String reason) {
        onTrial.forEach(version -> refused.put(version, reason));
        onTrial.clear();
        running = good;
        return running;
    }

    /** At the start, from the file of the last good ones. */
    public void startAt(Version lastGood) {
        running = lastGood;
        good = lastGood;
    }

    public Version running() {
        return running;
    }

    /** Versions that were never seen here, because a later one came first. */
    public long gaps() {
        return gaps;
    }

    /** The last one turned down, with the reason, or null. */
    public Map.Entry<Version, String> lastRefused() {
        Map.Entry<Version, String> last = null;
        for (Map.Entry<Version, String> entry : refused.entrySet()) {
            last = entry;
        }
        return last;
    }
}
