package laneflow.durable;

import java.io.IOException;

/** What the store can't do, and what that means for those who asked. */
public final class StoreException extends IOException {
    private static final long serialVersionUID = 1L;

    /** What it means. */
    public enum Kind {
        /** No room: nothing of this was written; asked again later it may go through. */
        FULL,
        /** The disk failed, a sync among it: what is on it is not known. Nothing is asked of it again. */
        BROKEN,
        /** Another process has the store. */
        HELD,
        /** The store is of a format that this build does not read. */
        FORMAT,
        /** What was acknowledged is not there, or not as it was written. */
        DAMAGED
    }

    public final Kind kind;

    public StoreException(Kind kind, String message) {
        super(message);
        this.kind = kind;
    }

    StoreException(Kind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }
}
