package laneflow.wire;

/** Input that can't be read: a frame cut short or inconsistent, or settings that make no sense. */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    /** With a message for one line on standard error. */
    public WireException(String message) {
        super(message);
    }
}
