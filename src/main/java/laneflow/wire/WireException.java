package laneflow.wire;

/** Thrown for malformed input: a truncated or inconsistent frame, or invalid settings. */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    /** The message is printed as one line on standard error. */
    public WireException(String message) {
        super(message);
    }
}
