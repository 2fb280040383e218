package laneflow.control.decision;

/**
 * A version of one type's resources: the number given by the control service and a digest of the contents.
 * Versions are totally ordered by number, then by digest. If two services give the same number to different
 * contents, all schedulers that receive both settle on the same one, in whichever order they arrive.
 *
 * @param digest lower-case hex
 */
public record Version(long number, String digest) implements Comparable<Version> {
    /** No version; orders before all others. */
    public static final Version NONE = new Version(0, "");

    @Override
    public int compareTo(Version other) {
        int byNumber = Long.compare(number, other.number);
        return byNumber != 0 ? byNumber : digest.compareTo(other.digest);
    }

    /** Formats the version as in {@code version_info}. */
    @Override
    public String toString() {
        return number + (digest.isEmpty() ? "" : "-" + digest);
    }

    /** Parses the format of {@link #toString}; throws IllegalArgumentException if the text is malformed. */
    public static Version parse(String text) {
        int dash = text.indexOf('-');
        String digits = dash < 0 ? text : text.substring(0, dash);
        String digest = dash < 0 ? "" : text.substring(dash + 1);
        if (!digits.matches("0|[1-9][0-9]{0,17}") || !digest.matches("[0-9a-f]{0,64}")) {
            throw new IllegalArgumentException("'" + text + "' is no version: NUMBER-DIGEST");
        }
        return new Version(Long.parseLong(digits), digest);
    }
}
