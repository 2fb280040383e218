package laneflow.core;

/** Performs attempts at endpoints and reports the end of each to {@link Scheduler#ended}, exactly once. */
public interface Connector {
    /** Sends the attempt's request; {@link Scheduler#maySend} is asked before its first byte. */
    void open(Attempt attempt);

    /**
     * Whether attempts may wait here until their endpoint asks for them. Such a connector asks for an attempt's lease
     * by {@link Scheduler#lease} when it is about to send it; for others the lease is recorded before {@link #open}.
     */
    default boolean queuesAttempts() {
        return false;
    }

    /**
     * Closes an attempt that nobody waits for any more; its end is not reported.
     *
     * @return true if it cannot have run: its endpoint has not received the request's last byte and will not
     */
    boolean close(Attempt attempt);

    /**
     * Closes an attempt whose endpoint has not received the request's last byte; otherwise the attempt goes on.
     * The end of a closed attempt is not reported.
     *
     * @return true if it was closed and so cannot have run; a connector that cannot tell returns false
     */
    default boolean closeUnsent(Attempt attempt) {
        return false;
    }

    /** Asks an endpoint for its load; the result goes to {@link Scheduler#probed}. */
    void probe(Endpoint endpoint);

    /** Closes the idle connections to an endpoint. */
    void closeIdle(Endpoint endpoint);
}
