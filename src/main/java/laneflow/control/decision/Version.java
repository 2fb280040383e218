package laneflow.control.decision;

/**
 * A version of one type's resources: the control service's number and the digest of what it holds. Versions
 * have a total order, by number and then by digest. Where two services give one number to different
 * contents, every scheduler that has seen both ends at the same one, whichever came first.
 *
 * @param digest lower-case hex
 */
public record Version(long number, String digest) implements Comparable<Version> {
    /** Before any. */
    public static final Version NONE = new Version(0, "");

    @Override
    public int compareTo(Version other) {
        int by = Long.compare(number, other.number);
        return by != 0 ? by : digest.compareTo(other.digest);
    }

    /** As {@code version_info} has it. */
    @Override
    public String toString() {
        return number + (digest.isEmpty() ? "" : "-" + digest);
    }

    /** Reads the form of {@link #toString}; what is none is an IllegalArgumentException that says so. */
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
