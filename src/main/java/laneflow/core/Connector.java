package laneflow.core;

/** How attempts reach an endpoint. Ends are told by {@link Scheduler#ended}, exactly once a call. */
public interface Connector {
    /** Sends the call's request; before its first byte {@link Scheduler#maySend} is asked. */
    void open(Attempt call);

    /**
     * Nobody waits for this call any more; its end is not to be told. True if it can't have run: its endpoint
     * has not got, and will not get, the request's last byte.
     */
    boolean close(Attempt call);

    /**
     * Closes a call whose endpoint has not got the request's last byte; one that has got it goes on. Its end
     * is not to be told.
     *
     * @return true if it was closed, and so can't have run; a connector that can't tell leaves it
     */
    default boolean closeUnsent(Attempt call) {
        return false;
    }

    /** Asks an endpoint for its load; {@link Scheduler#probed} tells. */
    void probe(Endpoint endpoint);

    /** Closes idle connections to an endpoint. */
    void closeIdle(Endpoint endpoint);
}
