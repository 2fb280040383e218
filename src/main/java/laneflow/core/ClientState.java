package laneflow.core;

/** Whether the client of a request is still there. */
public enum ClientState {
    PRESENT,
    /** It has closed its connection, so nothing more may begin for it. */
    LEFT,
    /** So much that it has sent is unread that its end may lie behind it: nothing more may begin for it either. */
    UNSEEN
}
