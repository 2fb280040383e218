package laneflow.gearman;

import java.util.ArrayList;
import java.util.List;
import laneflow.core.Request;

/** A job that Gearman clients wait for: one request of the core, and whoever is to hear of it. */
final class Job {
    final String handle;
    final GearmanConfig.Function function;
    final String unique;
    final boolean background;
    /** Clients that submitted it, those that joined by the same unique included. */
    final List<Peer> clients = new ArrayList<>();
    Request request;
    boolean running;
    long done;
    long of;
    /** What the last endpoint said when it failed, or null. */
    byte[] exception;

    Job(String handle, GearmanConfig.Function function, String unique, boolean background) {
        this.handle = handle;
        this.function = function;
        this.unique = unique;
        this.background = background;
    }
}
