package laneflow.net;

/** What the owner of a connection is told. */
public interface LinkHandler {
    /** The connection is up; told of opened ones only. */
    default void opened(Link link) {}

    /** It did not come up. */
    default void connectFailed(Link link) {}

    /** Bytes have come in; what is not taken from the ring stays there. */
    void received(Link link);

    /** All that was put into the outgoing ring is written, and the sending ended if that was asked. */
    default void flushed(Link link) {}

    /**
     * Whether bytes that come while the incoming ring is full are read and dropped, so that the end of the
     * connection is seen behind them ({@link Link#hasDroppedInput}). Otherwise they stay unread until
     * {@link Link#resumeReads}.
     */
    default boolean dropsInputBeyondRing() {
        return false;
    }

    /** The other side has ended or broken it; it is closed already, and what it had sent was told before. */
    void disconnected(Link link);
}
