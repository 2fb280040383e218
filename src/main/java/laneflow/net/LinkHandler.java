package laneflow.net;

/** Receives the events of a connection, on the loop's thread. */
public interface LinkHandler {
    /** The connection is established, whether it was accepted or opened here. */
    default void opened(Link link) {}

    /** The connection could not be established; it is closed already. */
    default void connectFailed(Link link) {}

    /** Bytes have been read into the input ring; those that the handler does not consume stay there. */
    void received(Link link);

    /** The output ring has been written completely, and the output has ended if that was requested. */
    default void flushed(Link link) {}

    /**
     * Whether input that arrives while the input ring is full is read and dropped, so that the end of the connection
     * is noticed behind it (see {@link Link#hasDroppedInput}). Otherwise it stays unread until
     * {@link Link#resumeReads}.
     */
    default boolean dropsInputBeyondRing() {
        return false;
    }

    /**
     * The process holds too many bytes of messages, and this connection holds most of them: the handler ends the
     * message that is under way with an error, or the connection, and so releases its memory.
     */
    default void giveWay(Link link) {}

    /** The peer has ended or reset the connection; it is closed already, and its input was reported before. */
    void disconnected(Link link);
}
