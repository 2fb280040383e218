package laneflow.net;

/** What is known of the other end of a connection, once the input that can be read in bounded time has been read. */
public enum PeerState {
    /** All that it has sent has been read, and it has not ended the connection. */
    CONNECTED,
    /** It has ended or reset the connection. */
    ENDED,
    /** So much of its input is unread that its end may lie behind it. */
    UNSEEN
}
