package laneflow.net;

/** Decides how much of a connection's input is parsed in the current turn of its loop. */
@FunctionalInterface
public interface Pace {
    /**
     * Whether the parser may take another step. If not, it returns with the rest of its input unread, and is called
     * again in a later turn.
     */
    boolean mayContinue();
}
