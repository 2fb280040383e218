package laneflow.durable;

import java.io.IOException;

/** A failure of the store, with the consequence for the caller. */
public final class StoreException extends IOException {
    private static final long serialVersionUID = 1L;

    /** The kind of failure. */
    public enum Kind {
        /** The store is full: nothing was written; a later retry may succeed. */
        FULL,
        /** The disk failed, for example a sync: its contents are unknown, and the store is not used again. */
        BROKEN,
        /** Another process holds the store. */
        HELD,
        /** This build cannot read the store's format. */
        FORMAT,
        /** Acknowledged data is missing or was altered. */
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
