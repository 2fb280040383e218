package laneflow.fleet;

import com.google.gson.JsonObject;

/**
 * Another scheduler at the other end of a link that is up. Two processes with the same name, as during an
 * upgrade or after a restart, are two peers with different instances.
 */
public interface Peer {
    /** The configured name of the scheduler. */
    String name();

    /** Identifies the process among all those that run or have run under its name. */
    String instance();

    /** Name and instance. */
    default String id() {
        return name() + "#" + instance();
    }

    /** The negotiated version of the messages. */
    int version();

    /** Sends a message. Returns false if the link can't take it; the link then ends. */
    boolean send(JsonObject message);
}
