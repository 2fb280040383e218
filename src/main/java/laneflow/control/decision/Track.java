package laneflow.control.decision;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The versions of one type at one scheduler: which one runs, what was turned down and why, and what each
 * message of the control service is answered. The transport's semantics are xDS's (state of the world and
 * incremental): a response is acknowledged by echoing its version, or turned down by echoing the version
 * that runs, with the reason; both carry the response's nonce. No I/O, no clock: the same messages in any
 * order end at the same version, the greatest that is acceptable and was not taken back.
 */
public final class Track {
    /** Refusals remembered; the oldest is forgotten first, and its version would be looked at again. */
    private static final int MOST_REFUSED = 256;

    private Version running = Version.NONE;
    private Version before = Version.NONE;
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
            String what = offered.number() == running.number() ? "version " + running
                    + " runs, of the same number"
                    : "version " + running + " runs, which is newer";
            return new Word(Kind.OLDER, what);
        }
        return new Word(Kind.LOOK, "");
    }

    /** A change of the type from one version to another. */
    public Word change(Version from, Version to) {
        Word word = whole(to);
        if (word.kind() == Kind.LOOK && !from.equals(running)) {
            return new Word(Kind.WHOLE_WANTED, "a change from version " + from + ", and " + running
                    + " runs");
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
        before = running;
        running = offered;
    }

    /** What was looked at is turned down, and not looked at again. */
    public void refuse(Version offered, String reason) {
        refused.put(offered, reason);
    }

    /** What runs has broken something: the one before runs again, and this one is not tried twice. */
    public Version takeBack(String reason) {
        refused.put(running, reason);
        running = before;
        return running;
    }

    /** At the start, from the file of the last good ones. */
    public void startAt(Version lastGood) {
        running = lastGood;
        before = lastGood;
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
