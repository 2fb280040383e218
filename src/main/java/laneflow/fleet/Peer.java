package laneflow.fleet;

import com.google.gson.JsonObject;

/**
 * Another scheduler at the end of a link that is up. Two processes of one name, as amid an upgrade or where
 * one has been started anew, are two peers: they differ in their lives.
 */
public interface Peer {
    /** The name that its operators gave it. */
    String name();

    /** The life of the process: unlike that of any other process of this name. */
    String instance();

    /** Name and life. */
    default String id() {
        return name() + "#" + instance();
    }

    /** The version of the messages that both ends know. */
    int version();

    /** Sends a message; false if the link can't take it, and then it ends. */
    boolean send(JsonObject message);
}
